//! How a process's calls to the store wait while it is away.

use std::sync::Arc;
use std::time::Duration;

use foxwheel_node::metrics::Metrics;
use foxwheel_node::store_access::StoreAccess;
use foxwheel_platform::store::Write;
use foxwheel_platform_emu::settings::PlatformSettings;
use foxwheel_soak::proxy::{Path, PathFault};
use foxwheel_store::api::{Faults, Refusal};
use foxwheel_store::client::StoreClient;
use tokio_util::sync::CancellationToken;

/// Far above any pause between tries, so that only the store's return can end the wait.
const LONG_PAUSE: Duration = Duration::from_secs(3_600);

/// Longest wait of the test for something that takes milliseconds.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

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
            tokio::spawn(async move { store.wait_before_retry(LONG_PAUSE).await })
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
        let woken = tokio::time::timeout(WAIT_TIMEOUT, one).await;
        woken
            .expect("woken by the store's return")
            .expect("it ends");
    }
    cancel.cancel();
}

/// A write that got no answer was given up and made in another way; seconds later it was done
/// all the same.
#[actix_web::test]
async fn a_write_that_was_given_up_is_not_done_later() {
    let cancel = CancellationToken::new();
    let settings = PlatformSettings::for_test();
    let (addr, server) =
        foxwheel_platform_emu::server::start(&settings, cancel.clone()).expect("store starts");
    actix_web::rt::spawn(server);
    let any = "127.0.0.1:0".parse().expect("an address");
    let path = Path::open(any, addr, cancel.clone()).await.expect("a path");
    let store = StoreAccess::new(path.addr, Metrics::default());
    path.set(PathFault::Silence);
    let write = Write::Create {
        kind: "results".to_owned(),
        name: "late".to_owned(),
        spec: "1".to_owned(),
    };
    store.write(&write).await.expect_err("no answer");
    path.heal();
    // By then what the path held back has arrived.
    tokio::time::sleep(Duration::from_millis(700)).await;
    let found = store.get("results", "late").await.expect("answered");
    assert_eq!(found, None);
    cancel.cancel();
}
