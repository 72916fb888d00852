//! A local copy of a key prefix, kept current by listing once and then watching.
//!
//! This is how controllers read the store: one list at start or after a gap, then one
//! waiting watch at a time. Readers take a snapshot without any call to the store.

use std::collections::BTreeMap;
use std::sync::{Arc, RwLock};
use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio_util::sync::CancellationToken;

use foxwheel_core::ids::Version;

use crate::client::{StoreClient, StoreError};

/// How long one watch call waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// The pause after a failed call before trying again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The copy itself: objects by key with the revision it is current to.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Values by key, as of `revision`.
    pub objects: BTreeMap<String, (serde_json::Value, Version)>,
    /// The store revision this copy reflects; 0 before the first list.
    pub revision: Version,
}

impl Snapshot {
    /// Every value that decodes as `T`, with its version, in key order; the others are
    /// logged under `reader` and skipped, so one bad write cannot take the rest down.
    pub fn decode_all<T: DeserializeOwned>(&self, reader: &str) -> Vec<(T, Version)> {
        let decode = |(key, (value, version)): (&String, &(serde_json::Value, Version))| {
            match T::deserialize(value) {
                Ok(decoded) => Some((decoded, *version)),
                Err(e) => {
                    log::warn!("{reader}: {key} does not decode: {e}");
                    None
                }
            }
        };
        self.objects.iter().filter_map(decode).collect()
    }
}

/// A shared, always-readable copy of one prefix.
#[derive(Debug, Clone)]
pub struct Reflector {
    prefix: String,
    shared: Arc<RwLock<Snapshot>>,
    changed: Arc<tokio::sync::watch::Sender<Version>>,
}

impl Reflector {
    /// A reflector of `prefix`; it holds nothing until [`Self::run`] has listed.
    pub fn new(prefix: impl Into<String>) -> Self {
        Self {
            prefix: prefix.into(),
            shared: Arc::default(),
            changed: Arc::new(tokio::sync::watch::Sender::new(0)),
        }
    }

    /// The current copy.
    pub fn snapshot(&self) -> Snapshot {
        self.shared.read().expect("reflector lock").clone()
    }

    /// Reads through the copy without cloning it.
    pub fn read<R>(&self, f: impl FnOnce(&Snapshot) -> R) -> R {
        f(&self.shared.read().expect("reflector lock"))
    }

    /// A receiver that sees the revision each time the copy changes; a change made before
    /// the receiver waits is not missed.
    pub fn subscribe(&self) -> tokio::sync::watch::Receiver<Version> {
        self.changed.subscribe()
    }

    /// Keeps the copy current until `cancel` fires. Store outages pause updates; the last
    /// copy stays readable meanwhile, and versions never go backwards.
    pub async fn run(self, store: StoreClient, cancel: CancellationToken) {
        let mut listed = false;
        while !cancel.is_cancelled() {
            let step = if listed {
                self.watch_once(&store, &cancel).await
            } else {
                self.list_once(&store).await
            };
            match step {
                Ok(()) => listed = true,
                Err(StoreError::Gone) => listed = false,
                Err(e) => {
                    log::debug!("reflector {}: {e}", self.prefix);
                    tokio::select! {
                        _ = cancel.cancelled() => return,
                        _ = tokio::time::sleep(RETRY_PAUSE) => {}
                    }
                }
            }
        }
    }

    async fn list_once(&self, store: &StoreClient) -> Result<(), StoreError> {
        let listed = store.list(&self.prefix).await?;
        let mut shared = self.shared.write().expect("reflector lock");
        if listed.revision < shared.revision {
            return Ok(());
        }
        shared.objects = listed
            .objects
            .into_iter()
            .map(|o| (o.key, (o.value, o.version)))
            .collect();
        shared.revision = listed.revision;
        drop(shared);
        self.changed.send_replace(listed.revision);
        Ok(())
    }

    async fn watch_once(
        &self,
        store: &StoreClient,
        cancel: &CancellationToken,
    ) -> Result<(), StoreError> {
        let from = self.read(|s| s.revision);
        let answer = tokio::select! {
            _ = cancel.cancelled() => return Ok(()),
            answer = store.watch(&self.prefix, from, WATCH_WAIT) => answer?,
        };
        let mut shared = self.shared.write().expect("reflector lock");
        let mut changed = false;
        for event in answer.events {
            if event.version <= shared.revision {
                continue;
            }
            changed = true;
            match event.value {
                Some(value) => {
                    shared.objects.insert(event.key, (value, event.version));
                }
                None => {
                    shared.objects.remove(&event.key);
                }
            }
        }
        shared.revision = shared.revision.max(answer.revision);
        let revision = shared.revision;
        drop(shared);
        if changed {
            self.changed.send_replace(revision);
        }
        Ok(())
    }
}
