//! How a process's calls to the store wait while it is away.

use std::sync::Arc;
use std::time::Duration;

use foxwheel_node::metrics::Metrics;
use foxwheel_node::store_access::StoreAccess;
use foxwheel_platform_emu::settings::PlatformSettings;
use foxwheel_store::api::{Faults, Refusal};
use foxwheel_store::client::StoreClient;
use tokio_util::sync::CancellationToken;

/// Far above any pause between tries, so that only the store's return can end the wait.
const LONG_PAUSE: Duration = Duration::from_secs(3_600);

/// Longest wait of the test for something that takes milliseconds.
const PATIENCE: Duration = Duration::from_secs(20);

#[actix_web::test]
async fn whoever_waits_goes_on_when_any_call_is_answered_again() {
    let cancel = CancellationToken::new();
    let settings = PlatformSettings::for_test();
    let (addr, server) =
        foxwheel_platform_emu::server::start(&settings, cancel.clone()).expect("store starts");
    actix_web::rt::spawn(server);
    let operator = StoreClient::new(format!("http://{addr}"));
    let store = Arc::new(StoreAccess::new(addr, Metrics::default()));
    let outage = Faults {
        outage: true,
        refusal: Refusal::Busy,
        ..Faults::default()
    };
    operator.set_faults(&outage).await.expect("faults set");
    store
        .get("config", "main")
        .await
        .expect_err("the store is away");
    let waiting: Vec<_> = (0..3)
        .map(|_| {
            let store = Arc::clone(&store);
            tokio::spawn(async move { store.pause(LONG_PAUSE).await })
        })
        .collect();
    tokio::task::yield_now().await;
    store.get("config", "main").await.expect_err("still away");
    assert!(waiting.iter().all(|one| !one.is_finished()));
    operator.set_faults(&Faults::default()).await.expect("set");
    store
        .get("config", "main")
        .await
        .expect("the store is back");
    for one in waiting {
        let woken = tokio::time::timeout(PATIENCE, one).await;
        woken
            .expect("woken by the store's return")
            .expect("it ends");
    }
    cancel.cancel();
}
