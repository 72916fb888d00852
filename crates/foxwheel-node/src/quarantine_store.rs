//! Persistence of quarantined request contents in the platform's store, so that they outlive a
//! stop of all processes. A process that observed a crash creates the object of a content once;
//! processes read the objects when they start. Each process that created or read an object deletes
//! it when the content is cleared.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use foxwheel_core::ids::ContentFingerprint;
use foxwheel_core::time;
use foxwheel_platform::store::{EncodedJson, Object, StoreError, Write};
use foxwheel_policy::quarantine::{self, ContentStatus, CrashReport, Quarantine};
use foxwheel_policy::zone_loads::ServerFingerprint;
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

/// The contents that have an object in the store, as far as this process knows; sorted.
#[derive(Default)]
struct StoredContents(Mutex<Vec<ContentFingerprint>>);

impl StoredContents {
    fn insert(&self, content: ContentFingerprint) {
        let mut contents = self.0.lock().expect("stored contents lock");
        if let Err(at) = contents.binary_search(&content) {
            contents.insert(at, content);
        }
    }

    fn remove(&self, content: &ContentFingerprint) {
        let mut contents = self.0.lock().expect("stored contents lock");
        contents.retain(|known| known != content);
    }

    /// Returns the contents for which the store and `quarantine` differ: those to save, and those
    /// to delete.
    fn differences(
        &self,
        quarantine: &Quarantine,
        explained: &[ServerFingerprint],
        now: Instant,
    ) -> (Vec<ContentFingerprint>, Vec<ContentFingerprint>) {
        let contents = self.0.lock().expect("stored contents lock");
        let mut unsaved = quarantine.quarantined_locally(explained, now);
        unsaved.retain(|content| contents.binary_search(content).is_err());
        let mut cleared = contents.clone();
        cleared.retain(|content| quarantine.status(content, now) == ContentStatus::Clear);
        (unsaved, cleared)
    }
}

/// Loads the saved crashes and meanwhile keeps the store's objects like the quarantined contents
/// that this process observes. Never returns.
pub async fn run(node: &Node) {
    let stored = StoredContents::default();
    tokio::join!(load_saved(node, &stored), update_stored(node, &stored));
}

/// Loads the crashes saved before this process started. Workers load them for all processes. A
/// front loads them only if it receives no worker's heartbeat, so that the number of store calls
/// does not grow with the number of fronts.
async fn load_saved(node: &Node, stored: &StoredContents) {
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
            Ok(crashes) => {
                node.apply_crash_reports(&crashes, "store");
                stored.insert(object.name.clone());
            }
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

/// Saves each quarantined content under which this process observed a crash, and deletes the
/// object of each content that was cleared. Never returns.
async fn update_stored(node: &Node, stored: &StoredContents) {
    let mut backoff = Backoff::default();
    loop {
        node.crashes_changed.notified().await;
        let explained = node.servers_explained_by_parts();
        let (unsaved, cleared) = {
            let quarantine = node.quarantine.lock().expect("quarantine lock");
            stored.differences(&quarantine, &explained, Instant::now())
        };
        let updated = async {
            for content in unsaved {
                save_content(node, &content).await?;
                log::info!(content; "quarantine saved");
                stored.insert(content);
            }
            for content in cleared {
                delete_content(node, &content).await?;
                log::info!(content; "saved quarantine deleted");
                stored.remove(&content);
            }
            Ok::<_, StoreError>(())
        };
        match updated.await {
            Ok(()) => backoff = Backoff::default(),
            Err(e) => {
                log::warn!(error:% = e; "stored quarantines not updated; will retry");
                node.store.wait_before_retry(backoff.next_delay()).await;
                node.crashes_changed.notify_one();
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

async fn delete_content(node: &Node, content: &ContentFingerprint) -> Result<(), StoreError> {
    let delete = Write::Delete {
        kind: OBJECT_KIND.to_owned(),
        name: content.clone(),
        revision: None,
    };
    // If the object does not exist, another process has deleted it.
    store_relay::write(node, &delete).await.map(|_| ())
}

/// Deletes the objects whose crashes are all older than the retention time, whose content is
/// cleared, or that cannot be decoded. Returns the number of deleted objects, or an error if a store
/// call fails.
pub async fn delete_obsolete(node: &Node) -> Result<usize, StoreError> {
    let listing = node.store.list(OBJECT_KIND).await?;
    let now_unix = Duration::from_millis(time::unix_ms());
    let is_expired = |object: &Object| {
        let crashes = decode_crashes(object, now_unix).unwrap_or_default();
        let mut ages = crashes.iter().map(|crash| crash.age);
        ages.all(|age| age >= quarantine::CRASH_RETENTION)
    };
    let obsolete: Vec<&Object> = {
        let quarantine = node.quarantine.lock().expect("quarantine lock");
        let objects = listing.objects.iter();
        objects
            .filter(|object| is_expired(object) || quarantine.is_cleared(&object.name))
            .collect()
    };
    for object in &obsolete {
        let delete = Write::Delete {
            kind: OBJECT_KIND.to_owned(),
            name: object.name.clone(),
            revision: Some(object.revision),
        };
        node.store.write(&delete).await?;
    }
    Ok(obsolete.len())
}
