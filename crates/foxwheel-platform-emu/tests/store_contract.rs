//! Contract of the platform object API, as the stand-in serves it and foxwheel's client
//! reads it, with its fault cases in a table.

use std::time::Duration;

use foxwheel_platform::store::{Store, WatchOutcome, Write, WriteOutcome};
use foxwheel_platform_emu::{server, settings::PlatformSettings};
use foxwheel_store::api::{Faults, Refusal};
use foxwheel_store::client::{StoreClient, StoreError};
use tokio_util::sync::CancellationToken;

fn settings(history_len: usize) -> PlatformSettings {
    PlatformSettings {
        history_len,
        ..PlatformSettings::for_test()
    }
}

fn start(settings: &PlatformSettings) -> (StoreClient, CancellationToken) {
    let cancel = CancellationToken::new();
    let (addr, server) = server::start(settings, cancel.clone()).expect("store starts");
    actix_web::rt::spawn(server);
    (StoreClient::new(format!("http://{addr}")), cancel)
}

/// What a case expects of its last call.
#[derive(Debug)]
enum Expect {
    Ok,
    NotFound,
    Conflict,
    Unavailable,
}

fn judge<T: std::fmt::Debug>(name: &str, result: Result<T, StoreError>, expect: &Expect) {
    let ok = matches!(
        (&result, expect),
        (Ok(_), Expect::Ok)
            | (Err(StoreError::NotFound), Expect::NotFound)
            | (Err(StoreError::Conflict { .. }), Expect::Conflict)
            | (Err(StoreError::Unavailable { .. }), Expect::Unavailable)
    );
    assert!(ok, "case '{name}': expected {expect:?}, got {result:?}");
}

#[actix_web::test]
async fn conditional_updates_follow_the_contract() {
    let (store, _cancel) = start(&settings(100));
    let value = serde_json::json!({"a": 1});
    let first = store.put("k/1", &value, Some(0)).await.expect("create");
    // (case, key, if_version, expected)
    let cases: &[(&str, &str, Option<u64>, Expect)] = &[
        (
            "create again when present",
            "k/1",
            Some(0),
            Expect::Conflict,
        ),
        (
            "update at a stale version",
            "k/1",
            Some(first.version + 100),
            Expect::Conflict,
        ),
        (
            "update at the current version",
            "k/1",
            Some(first.version),
            Expect::Ok,
        ),
        ("unconditional write", "k/1", None, Expect::Ok),
        ("create when absent", "k/2", Some(0), Expect::Ok),
        ("update of an absent key", "k/3", Some(5), Expect::Conflict),
    ];
    for (name, key, if_version, expect) in cases {
        judge(name, store.put(key, &value, *if_version).await, expect);
    }
    judge(
        "get of an absent key",
        store.get("k/none").await,
        &Expect::NotFound,
    );
    let listed = store.list("k/").await.expect("list");
    assert_eq!(listed.objects.len(), 2);
    assert!(listed.objects.windows(2).all(|w| w[0].key < w[1].key));
}

#[actix_web::test]
async fn faults_follow_the_contract() {
    let (store, _cancel) = start(&settings(100));
    let value = serde_json::json!({"v": 1});
    // (case, faults, expected of a put, whether the write takes effect)
    let cases: &[(&str, Faults, Expect, bool)] = &[
        ("no fault", Faults::default(), Expect::Ok, true),
        (
            "outage",
            Faults {
                outage: true,
                ..Faults::default()
            },
            Expect::Unavailable,
            false,
        ),
        (
            "slow store",
            Faults {
                delay_ms: 200,
                ..Faults::default()
            },
            Expect::Ok,
            true,
        ),
        (
            "reply lost after the write took effect",
            Faults {
                lose_reply_every: 1,
                ..Faults::default()
            },
            Expect::Unavailable,
            true,
        ),
    ];
    for (i, (name, faults, expect, takes_effect)) in cases.iter().enumerate() {
        store.set_faults(faults).await.expect("faults set");
        let key = format!("f/{i}");
        judge(name, store.put(&key, &value, Some(0)).await, expect);
        store
            .set_faults(&Faults::default())
            .await
            .expect("faults cleared");
        let found = store.get(&key).await.is_ok();
        assert_eq!(found, *takes_effect, "case '{name}': write took effect");
    }
}

#[actix_web::test]
async fn watch_sees_every_change_after_its_version() {
    let (store, _cancel) = start(&settings(100));
    let from = store.list("w/").await.expect("list").revision;
    let writer = store.clone();
    actix_web::rt::spawn(async move {
        tokio::time::sleep(Duration::from_millis(50)).await;
        writer.put("w/a", &1, None).await.expect("write a");
        writer.put("other/x", &1, None).await.expect("write x");
        writer.delete("w/a", None).await.expect("delete a");
    });
    let mut seen = Vec::new();
    let mut revision = from;
    while seen.len() < 2 {
        let answer = store
            .watch("w/", revision, Duration::from_secs(5))
            .await
            .expect("watch");
        revision = answer.revision;
        seen.extend(answer.events);
    }
    assert_eq!(seen[0].key, "w/a");
    assert!(seen[0].value.is_some());
    assert!(
        seen[1].value.is_none(),
        "the delete is seen as an event without value"
    );
    assert!(seen[0].version < seen[1].version);
}

#[actix_web::test]
async fn watch_from_a_version_no_longer_kept_is_gone() {
    let (store, _cancel) = start(&settings(2));
    for i in 0..5 {
        store.put("g/k", &i, None).await.expect("write");
    }
    let answer = store.watch("g/", 1, Duration::from_millis(10)).await;
    assert!(
        matches!(answer, Err(StoreError::HistoryExpired)),
        "got {answer:?}"
    );
}

#[actix_web::test]
async fn rate_limit_refuses_writes_over_budget() {
    let mut limited = settings(100);
    limited.write_limit_per_s = 3;
    let (store, _cancel) = start(&limited);
    let mut refused = 0;
    for i in 0..10 {
        match store.put(&format!("r/{i}"), &i, Some(0)).await {
            Ok(_) => {}
            Err(StoreError::RateLimited { .. }) => refused += 1,
            Err(e) => panic!("a refusal by the rate limit took no effect and says so: {e}"),
        }
    }
    assert!(
        refused >= 4,
        "refused {refused} of 10 writes over a budget of 3 a second"
    );
    let counts = store.stats().await.expect("stats");
    assert_eq!(counts.writes, 10);
}

#[actix_web::test]
async fn objects_and_versions_survive_a_restart() {
    let folder = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("restart");
    std::fs::create_dir_all(&folder).expect("folder");
    let data_file = folder.join("objects.json");
    let _ = std::fs::remove_file(&data_file);
    let settings = PlatformSettings {
        data_file: Some(data_file),
        ..settings(100)
    };
    let (addr, server) = {
        let cancel = CancellationToken::new();
        let (addr, server) = server::start(&settings, cancel.clone()).expect("store starts");
        let server = actix_web::rt::spawn(server);
        let store = StoreClient::new(format!("http://{addr}"));
        store.put("k/1", &1, Some(0)).await.expect("create");
        store.put("k/1", &2, Some(1)).await.expect("update");
        store.put("k/2", &3, Some(0)).await.expect("create");
        store.delete("k/2", None).await.expect("delete");
        cancel.cancel();
        (addr, server)
    };
    server.await.expect("stopped").expect("stopped well");
    let (store, _cancel) = start(&PlatformSettings {
        listen_addr: addr.to_string(),
        ..settings
    });
    let stored = store.stats().await.expect("stats").objects;
    assert_eq!(stored, 1, "no object of any kind comes back");
    let listed = store.list("k/").await.expect("list");
    assert_eq!(listed.revision, 4, "versions go on from where they were");
    assert_eq!(listed.objects.len(), 1);
    assert_eq!(listed.objects[0].version, 2);
    judge(
        "a stale version is still refused",
        store.put("k/1", &9, Some(1)).await,
        &Expect::Conflict,
    );
    assert!(
        matches!(
            store.watch("k/", 1, Duration::from_millis(10)).await,
            Err(StoreError::HistoryExpired)
        ),
        "a watch from before the restart must list again"
    );
}

/// How the stand-in turns calls away, and what the client makes of it: a call that was
/// certainly not done may be made again without a look.
#[actix_web::test]
async fn every_kind_of_refusal_says_what_is_known() {
    let (client, _cancel) = start(&settings(100));
    let addr = client.base_url().rsplit('/').next().expect("an address");
    let store = Store::new(addr.parse().expect("an address"));
    let create = |name: &str| Write::Create {
        kind: "k".to_owned(),
        name: name.to_owned(),
        spec: "1".to_owned(),
    };
    // (refusal, whether the client knows that nothing was done)
    let cases = [
        (Refusal::Busy, true),
        (Refusal::RateLimited, true),
        (Refusal::Reset, false),
        (Refusal::Silent, false),
    ];
    for (refusal, not_done) in cases {
        let faults = Faults {
            outage: true,
            refusal,
            ..Faults::default()
        };
        client.set_faults(&faults).await.expect("faults set");
        let error = store.write(&create("x")).await.expect_err("turned away");
        assert_eq!(error.is_not_done(), not_done, "{refusal:?}: {error}");
    }
    client
        .set_faults(&Faults::default())
        .await
        .expect("faults cleared");
    assert_eq!(store.get("k", "x").await.expect("read"), None);
}

/// Only some hosts are turned away; the others and the operator are served.
#[actix_web::test]
async fn an_outage_may_concern_some_hosts_only() {
    let (client, _cancel) = start(&settings(100));
    let faults = |host: &str| Faults {
        outage: true,
        only_hosts: vec![host.parse().expect("an address")],
        ..Faults::default()
    };
    client
        .set_faults(&faults("127.0.0.9"))
        .await
        .expect("faults set");
    client
        .put("k/1", &1, Some(0))
        .await
        .expect("another host is served");
    client
        .set_faults(&faults("127.0.0.1"))
        .await
        .expect("faults set");
    judge("own host", client.get("k/1").await, &Expect::Unavailable);
}

/// A write whose answer is lost may be done seconds later, if its condition still holds.
#[actix_web::test]
async fn a_late_write_is_done_only_if_its_condition_still_holds() {
    let (client, _cancel) = start(&settings(100));
    client.put("k/1", &1, Some(0)).await.expect("create");
    client.put("k/2", &1, Some(0)).await.expect("create");
    let faults = Faults {
        lose_reply_every: 1,
        late_ms: 150,
        ..Faults::default()
    };
    client.set_faults(&faults).await.expect("faults set");
    judge(
        "late write",
        client.put("k/1", &2, Some(1)).await,
        &Expect::Unavailable,
    );
    judge(
        "late write",
        client.put("k/2", &2, Some(2)).await,
        &Expect::Unavailable,
    );
    client
        .set_faults(&Faults::default())
        .await
        .expect("faults cleared");
    client
        .put("k/2", &3, Some(2))
        .await
        .expect("overtakes the late write");
    let mut late = 1;
    for _ in 0..200 {
        late = client
            .get_value("k/1")
            .await
            .expect("read")
            .map_or(0, |(value, _)| value);
        if late == 2 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(late, 2, "its condition held");
    let (overtaken, _) = client
        .get_value::<u64>("k/2")
        .await
        .expect("read")
        .expect("there");
    assert_eq!(overtaken, 3, "its condition did not hold any more");
}

/// Lists come in pages, writes that alter nothing make no event, and a status is written
/// apart from the rest.
#[actix_web::test]
async fn lists_statuses_and_events_follow_the_protocol() {
    let (client, _cancel) = start(&settings(10_000));
    let addr = client.base_url().rsplit('/').next().expect("an address");
    let store = Store::new(addr.parse().expect("an address"));
    for at in 0..1_200 {
        client
            .put(&format!("k/{at:05}"), &at, Some(0))
            .await
            .expect("create");
    }
    let listing = store.list("k").await.expect("list");
    assert_eq!(listing.objects.len(), 1_200);
    assert!(listing
        .objects
        .windows(2)
        .all(|pair| pair[0].name < pair[1].name));
    let status = Write::SetStatus {
        kind: "k".to_owned(),
        name: "00007".to_owned(),
        status: "{\"state\":\"running\"}".to_owned(),
    };
    for _ in 0..2 {
        assert!(matches!(
            store.write(&status).await,
            Ok(WriteOutcome::Done(_))
        ));
    }
    let watched = store
        .watch("k", listing.revision, Duration::from_secs(1))
        .await;
    let Ok(WatchOutcome::Changes { changes, revision }) = watched else {
        panic!("{watched:?}");
    };
    assert_eq!(changes.len(), 1, "the repeat altered nothing");
    assert_eq!(changes[0].object.spec, 7);
    assert_eq!(changes[0].object.status["state"], "running");
    assert_eq!(revision, listing.revision + 1);
}
