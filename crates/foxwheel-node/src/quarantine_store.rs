//! Quarantined contents in the platform's store: what outlives a stop of every process. Each
//! is created once, by a process that saw a crash, and read by processes that start.

use std::time::{Duration, Instant};

use foxwheel_core::ids::ContentFingerprint;
use foxwheel_core::time;
use foxwheel_platform::store::{EncodedJson, Object, StoreError, Write};
use foxwheel_policy::quarantine::{self, CrashReport};
use serde::{Deserialize, Serialize};

use crate::node::Node;
use crate::settings::Role;
use crate::store_access::Backoff;
use crate::store_relay;

const KIND: &str = "foxwheel-quarantine";

/// How long a front that starts waits to hear of a worker, which reads what is saved for all:
/// a few heartbeats.
const HEAR_WORKERS_FOR: Duration = Duration::from_millis(500);

/// The crashes under one content.
#[derive(Serialize, Deserialize)]
struct CrashRecord {
    /// When the crashes were as old as the reports say, since the Unix epoch.
    #[serde(rename = "saved_unix_ms")]
    #[serde(with = "serde_with::As::<serde_with::DurationMilliSeconds<u64>>")]
    saved_unix: Duration,
    crashes: Vec<CrashReport>,
}

/// Reads what was saved, then saves what this process sees.
pub async fn run(node: &Node) {
    tokio::join!(load(node), save(node));
}

/// Takes what was saved before this process started. Workers read it for all: a front only
/// does that hears no worker, so that calls do not grow with the fronts.
async fn load(node: &Node) {
    if node.settings.role == Role::Front {
        tokio::time::sleep(HEAR_WORKERS_FOR).await;
        if !node
            .peers
            .live_processes(Role::Worker, Instant::now())
            .is_empty()
        {
            return;
        }
    }
    let mut backoff = Backoff::default();
    let objects = loop {
        match node.store.list(KIND).await {
            Ok(listing) => break listing.objects,
            Err(_) => node.store.wait_before_retry(backoff.next_delay()).await,
        }
    };
    let now_unix = Duration::from_millis(time::unix_ms());
    for object in &objects {
        match decode(object, now_unix) {
            Ok(crashes) => node.apply_crash_reports(&crashes, "store"),
            Err(e) => log::warn!(content = object.name, error:% = e; "saved crashes passed over"),
        }
    }
}

/// The crashes of an object, as old as they are now.
fn decode(object: &Object, now_unix: Duration) -> Result<Vec<CrashReport>, serde_json::Error> {
    let record: CrashRecord = serde_json::from_value(object.spec.clone())?;
    let since_saved = now_unix.saturating_sub(record.saved_unix);
    let crashes = record.crashes.into_iter().map(|crash| CrashReport {
        age: crash.age + since_saved,
        ..crash
    });
    Ok(crashes.collect())
}

/// Saves each quarantined content of which this process saw a crash.
async fn save(node: &Node) {
    // Sorted.
    let mut saved: Vec<ContentFingerprint> = Vec::new();
    let mut backoff = Backoff::default();
    loop {
        node.crashes_changed.notified().await;
        let unsaved = {
            let quarantine = node.quarantine.lock().expect("quarantine lock");
            let mut quarantined = quarantine.quarantined_locally(Instant::now());
            quarantined.retain(|content| saved.binary_search(content).is_err());
            quarantined
        };
        for content in unsaved {
            match save_one(node, &content).await {
                Ok(()) => {
                    log::info!(content; "quarantine saved");
                    let at = saved.partition_point(|known| *known < content);
                    saved.insert(at, content);
                    backoff = Backoff::default();
                }
                Err(e) => {
                    log::warn!(content, error:% = e; "quarantine not saved yet");
                    node.store.wait_before_retry(backoff.next_delay()).await;
                    node.crashes_changed.notify_one();
                }
            }
        }
    }
}

async fn save_one(node: &Node, content: &ContentFingerprint) -> Result<(), StoreError> {
    let record = CrashRecord {
        saved_unix: Duration::from_millis(time::unix_ms()),
        crashes: {
            let quarantine = node.quarantine.lock().expect("quarantine lock");
            quarantine.reports_on(content, Instant::now())
        },
    };
    let spec: EncodedJson = serde_json::json!(record).to_string();
    let create = Write::Create {
        kind: KIND.to_owned(),
        name: content.clone(),
        spec,
    };
    // One that stands was created by another process that saw a crash, or by this one.
    store_relay::write(node, &create).await.map(|_| ())
}

/// Removes what is too old to be remembered; answers how much.
pub async fn delete_expired(node: &Node) -> Result<usize, StoreError> {
    let listing = node.store.list(KIND).await?;
    let now_unix = Duration::from_millis(time::unix_ms());
    let is_old = |object: &&Object| {
        let crashes = decode(object, now_unix).unwrap_or_default();
        let mut ages = crashes.iter().map(|crash| crash.age);
        ages.all(|age| age >= quarantine::CRASH_RETENTION)
    };
    let old: Vec<&Object> = listing.objects.iter().filter(is_old).collect();
    for object in &old {
        let delete = Write::Delete {
            kind: KIND.to_owned(),
            name: object.name.clone(),
            revision: Some(object.revision),
        };
        node.store.write(&delete).await?;
    }
    Ok(old.len())
}
