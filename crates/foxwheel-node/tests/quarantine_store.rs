//! Objects of quarantined contents that no process deletes when the content is cleared.

mod common;

use std::time::{Duration, Instant};

use foxwheel_node::node::Node;
use foxwheel_node::quarantine_store;
use foxwheel_node::settings::Role;
use foxwheel_platform_emu::settings::PlatformSettings;
use foxwheel_policy::quarantine::{ObservedCrash, Quarantine, RunKind, CRASHES_TO_QUARANTINE};
use foxwheel_store::client::StoreClient;
use serde_json::json;
use tokio_util::sync::CancellationToken;

/// The process that saved a quarantine died before a response cleared the content.
#[actix_web::test]
async fn object_of_a_cleared_content_is_deleted_on_behalf_of_a_dead_process() {
    let cancel = CancellationToken::new();
    let settings = PlatformSettings::for_test();
    let (addr, server) =
        foxwheel_platform_emu::server::start(&settings, cancel.clone()).expect("store starts");
    actix_web::rt::spawn(server);
    let store = StoreClient::new(format!("http://{addr}"));
    let node = Node::new(
        common::single_process_settings(Role::Worker, addr),
        cancel.clone(),
    );
    let start = Instant::now();
    for content in ["cleared", "quarantined"] {
        let mut observer = Quarantine::default();
        for server in 0..CRASHES_TO_QUARANTINE as u64 {
            let cut_off_at = start + Duration::from_millis(100 * server);
            let crash = ObservedCrash {
                server,
                service: "model".to_owned(),
                sent_at: cut_off_at - Duration::from_millis(20),
                cut_off_at,
                run_kind: RunKind::Online,
            };
            observer.record_crash(content, crash, cut_off_at);
        }
        let crashes = observer.reports(start + Duration::from_secs(1));
        node.apply_crash_reports(&crashes, "peer");
        let unix_ms = foxwheel_core::time::unix_ms();
        let record = json!({"saved_unix_ms": unix_ms, "crashes": crashes});
        let key = format!("foxwheel-quarantine/{content}");
        store.put(&key, &record, None).await.expect("written");
    }
    let cleared = {
        let mut quarantine = node.quarantine.lock().expect("quarantine lock");
        quarantine.record_success("cleared", "model")
    };
    assert!(cleared);
    let deleted = quarantine_store::delete_obsolete(&node).await;
    assert_eq!(deleted.expect("the store responds"), 1);
    let stored = store.list("foxwheel-quarantine/").await.expect("listed");
    assert_eq!(stored.objects.len(), 1);
    assert!(stored.objects[0].key.ends_with("quarantined"));
    cancel.cancel();
}
