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

use crate::api;
use crate::client::{StoreClient, StoreError};

/// How long one watch call waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// The pause after a watch that brought changes: those of a busy prefix (member renewals)
/// come together, so the store's watch calls do not grow with the fleet.
const WATCH_PAUSE: Duration = Duration::from_millis(200);
/// The pause after a failed call before trying again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// How long a peer may take to answer.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest copy read from a peer, in bytes.
const MAX_COPY_BYTES: usize = 64 * 1024 * 1024;

/// A peer's copy of `prefix`; `None` when it has none or does not answer.
async fn fetch_copy(peer: &str, prefix: &str) -> Option<api::ListResponse> {
    let http = awc::Client::builder().timeout(PEER_TIMEOUT).finish();
    let url = format!("{peer}/snapshot?prefix={prefix}");
    let mut response = http.get(url).send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    response.json().limit(MAX_COPY_BYTES).await.ok()
}

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
    /// Base URLs of processes that keep the same copy.
    peers: Arc<Vec<String>>,
    shared: Arc<RwLock<Snapshot>>,
    changed: Arc<tokio::sync::watch::Sender<Version>>,
}

impl Reflector {
    /// A reflector of `prefix`; it holds nothing until [`Self::run`] has listed.
    pub fn new(prefix: impl Into<String>) -> Self {
        Self {
            prefix: prefix.into(),
            peers: Arc::default(),
            shared: Arc::default(),
            changed: Arc::new(tokio::sync::watch::Sender::new(0)),
        }
    }

    /// Asks `peers` (base URLs that answer `GET /snapshot?prefix=`) for their copy while
    /// the store cannot be listed for the first time.
    pub fn with_peers(mut self, peers: Vec<String>) -> Self {
        self.peers = Arc::new(peers);
        self
    }

    /// The copy as a list answer, for peers.
    pub fn to_list_response(&self) -> api::ListResponse {
        self.read(|snapshot| api::ListResponse {
            objects: snapshot
                .objects
                .iter()
                .map(|(key, (value, version))| api::Object {
                    key: key.clone(),
                    version: *version,
                    value: value.clone(),
                })
                .collect(),
            revision: snapshot.revision,
        })
    }

    /// The prefix this is a copy of.
    pub fn prefix(&self) -> &str {
        &self.prefix
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
                Err(StoreError::HistoryExpired) => listed = false,
                Err(e) => {
                    log::debug!("reflector {}: {e}", self.prefix);
                    if self.read(|snapshot| snapshot.revision) == 0 {
                        self.list_from_peers().await;
                    }
                    tokio::select! {
                        _ = cancel.cancelled() => return,
                        _ = tokio::time::sleep(RETRY_PAUSE) => {}
                    }
                }
            }
        }
    }

    async fn list_once(&self, store: &StoreClient) -> Result<(), StoreError> {
        self.replace(store.list(&self.prefix).await?);
        Ok(())
    }

    /// Takes the newest copy any peer has. The store's own list replaces it when it comes.
    async fn list_from_peers(&self) {
        let copies = self.peers.iter().map(|peer| fetch_copy(peer, &self.prefix));
        let copies = futures::future::join_all(copies).await;
        let newest = copies.into_iter().flatten().max_by_key(|c| c.revision);
        if let Some(copy) = newest.filter(|copy| copy.revision > 0) {
            log::info!(
                "{}: copy at revision {} from a peer, the store being down",
                self.prefix,
                copy.revision
            );
            self.replace(copy);
        }
    }

    /// Replaces the copy unless it is newer than `listed`.
    fn replace(&self, listed: api::ListResponse) {
        let mut shared = self.shared.write().expect("reflector lock");
        if listed.revision < shared.revision {
            return;
        }
        shared.objects = listed
            .objects
            .into_iter()
            .map(|o| (o.key, (o.value, o.version)))
            .collect();
        shared.revision = listed.revision;
        drop(shared);
        self.changed.send_replace(listed.revision);
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
        if self.apply(answer) {
            tokio::select! {
                () = cancel.cancelled() => {}
                () = tokio::time::sleep(WATCH_PAUSE) => {}
            }
        }
        Ok(())
    }

    /// Applies a watch's changes; answers whether there were any new ones.
    fn apply(&self, answer: api::WatchResponse) -> bool {
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
        changed
    }
}
