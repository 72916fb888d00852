//! Checks the reflector against the store emulator: it receives all changes, and a prefix that
//! changes often does not cost one watch call per change.

use std::time::Duration;

use foxwheel_platform_emu::{server, settings::PlatformSettings};
use foxwheel_store::client::StoreClient;
use foxwheel_store::reflector::Reflector;
use tokio_util::sync::CancellationToken;

#[actix_web::test]
async fn one_watch_call_returns_several_changes() {
    let cancel = CancellationToken::new();
    let (addr, server) =
        server::start(&PlatformSettings::for_test(), cancel.clone()).expect("store starts");
    actix_web::rt::spawn(server);
    let store = StoreClient::new(format!("http://{addr}"));
    let reflector = Reflector::new("members/");
    actix_web::rt::spawn(reflector.clone().run(store.clone(), cancel.clone()));
    for n in 0..60 {
        let key = format!("members/draftsman/host-{}", n % 20);
        store.put(&key, &n, None).await.expect("write");
    }
    for _ in 0..500 {
        if reflector.read(|state| state.revision) == 60 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let values: Vec<(u64, _)> = reflector.snapshot().decode_all("test");
    let mut values: Vec<u64> = values.into_iter().map(|(value, _)| value).collect();
    values.sort_unstable();
    assert_eq!(
        values,
        (40..60).collect::<Vec<u64>>(),
        "the last value of each key"
    );
    let watches = store.stats().await.expect("stats").watches;
    assert!(watches <= 30, "{watches} watch calls for 60 changes");
    cancel.cancel();
}
