//! Persistence of quarantined request contents in the platform's store, so that they outlive a
//! stop of all processes. A process that observed a crash creates the object of a content once;
//! processes read the objects when they start.

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

const OBJECT_KIND: &str = "foxwheel-quarantine";

/// How long a starting front waits for a heartbeat of a worker: a few heartbeat intervals. Workers
/// read the saved crashes, and fronts receive them from the workers.
const WORKER_WAIT_TIMEOUT: Duration = Duration::from_millis(500);

/// The stored record of the crashes under one content.
#[derive(Serialize, Deserialize)]
struct CrashRecord {
    /// When the record was saved, as time since the Unix epoch. The ages in `crashes` are those at
    /// this time.
    #[serde(rename = "saved_unix_ms")]
    #[serde(with = "serde_with::As::<serde_with::DurationMilliSeconds<u64>>")]
    saved_unix: Duration,
    crashes: Vec<CrashReport>,
}

/// Loads the saved crashes and meanwhile saves the quarantined contents that this process
/// observes. Never returns.
pub async fn run(node: &Node) {
    tokio::join!(load_saved(node), save_quarantined(node));
}

/// Loads the crashes saved before this process started. Workers load them for all processes. A
/// front loads them only if it receives no worker's heartbeat, so that the number of store calls
/// does not grow with the number of fronts.
async fn load_saved(node: &Node) {
    if node.settings.role == Role::Front {
        tokio::time::sleep(WORKER_WAIT_TIMEOUT).await;
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
        match node.store.list(OBJECT_KIND).await {
            Ok(listing) => break listing.objects,
            Err(_) => node.store.wait_before_retry(backoff.next_delay()).await,
        }
    };
    let now_unix = Duration::from_millis(time::unix_ms());
    for object in &objects {
        match decode_crashes(object, now_unix) {
            Ok(crashes) => node.apply_crash_reports(&crashes, "store"),
            Err(e) => {
                log::warn!(content = object.name, error:% = e; "saved crash record skipped: it cannot be decoded")
            }
        }
    }
}

/// Decodes the crashes of an object, with their ages adjusted to `now_unix`.
fn decode_crashes(
    object: &Object,
    now_unix: Duration,
) -> Result<Vec<CrashReport>, serde_json::Error> {
    let record: CrashRecord = serde_json::from_value(object.spec.clone())?;
    let since_saved = now_unix.saturating_sub(record.saved_unix);
    let crashes = record.crashes.into_iter().map(|crash| CrashReport {
        age: crash.age + since_saved,
        ..crash
    });
    Ok(crashes.collect())
}

/// Saves each quarantined content under which this process observed a crash. Never returns.
async fn save_quarantined(node: &Node) {
    // Contents saved by this process; sorted.
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
            match save_content(node, &content).await {
                Ok(()) => {
                    log::info!(content; "quarantine saved");
                    let index = saved.partition_point(|known| *known < content);
                    saved.insert(index, content);
                    backoff = Backoff::default();
                }
                Err(e) => {
                    log::warn!(content, error:% = e; "quarantine not saved; will retry");
                    node.store.wait_before_retry(backoff.next_delay()).await;
                    node.crashes_changed.notify_one();
                }
            }
        }
    }
}

async fn save_content(node: &Node, content: &ContentFingerprint) -> Result<(), StoreError> {
    let record = CrashRecord {
        saved_unix: Duration::from_millis(time::unix_ms()),
        crashes: {
            let quarantine = node.quarantine.lock().expect("quarantine lock");
            quarantine.reports_on(content, Instant::now())
        },
    };
    let spec: EncodedJson = serde_json::json!(record).to_string();
    let create = Write::Create {
        kind: OBJECT_KIND.to_owned(),
        name: content.clone(),
        spec,
    };
    // If the object exists, this process or another one that observed a crash has created it.
    store_relay::write(node, &create).await.map(|_| ())
}

/// Deletes the objects whose crashes are all older than the retention time, or that cannot be
/// decoded. Returns the number of deleted objects, or an error if a store call fails.
pub async fn delete_expired(node: &Node) -> Result<usize, StoreError> {
    let listing = node.store.list(OBJECT_KIND).await?;
    let now_unix = Duration::from_millis(time::unix_ms());
    let is_expired = |object: &&Object| {
        let crashes = decode_crashes(object, now_unix).unwrap_or_default();
        let mut ages = crashes.iter().map(|crash| crash.age);
        ages.all(|age| age >= quarantine::CRASH_RETENTION)
    };
    let expired: Vec<&Object> = listing.objects.iter().filter(is_expired).collect();
    for object in &expired {
        let delete = Write::Delete {
            kind: OBJECT_KIND.to_owned(),
            name: object.name.clone(),
            revision: Some(object.revision),
        };
        node.store.write(&delete).await?;
    }
    Ok(expired.len())
}
