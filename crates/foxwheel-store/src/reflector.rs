//! Keeps a local copy of all objects under a key prefix.
//!
//! A [`Reflector`] lists the objects once, at the start or after it has missed changes, and then
//! keeps one watch call open at a time. Readers use the copy without any call to the store.

use std::collections::BTreeMap;
use std::sync::{Arc, RwLock};
use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio_util::sync::CancellationToken;

use foxwheel_core::ids::Version;

use crate::api;
use crate::client::{StoreClient, StoreError};

/// Longest time that one watch call waits for a change. A watch whose response is lost is found out after
/// this and the grace of the client, within the 5 s for changes of the configuration.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay after a watch call that returned changes. The changes of a prefix with many writes, such
/// as membership renewals, are then returned together, so the number of watch calls does not grow
/// with the fleet.
const NEXT_WATCH_DELAY: Duration = Duration::from_millis(200);
/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Timeout for fetching a peer's copy.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest copy accepted from a peer, in bytes.
const MAX_COPY_BYTES: usize = 64 * 1024 * 1024;

/// Fetches a peer's copy of `prefix`; returns `None` if the peer has none or the call fails.
async fn fetch_copy(peer: &str, prefix: &str) -> Option<api::ListResponse> {
    let http = awc::Client::builder().timeout(PEER_TIMEOUT).finish();
    let url = format!("{peer}/snapshot?prefix={prefix}");
    let mut response = http.get(url).send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    response.json().limit(MAX_COPY_BYTES).await.ok()
}

/// The objects under a key prefix as of one revision of the store.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Value and version of each object, by key.
    pub objects: BTreeMap<String, (serde_json::Value, Version)>,
    /// Revision of the store that the objects reflect; 0 before the first list.
    pub revision: Version,
}

impl Snapshot {
    /// Returns every value that decodes as `T`, with its version, in order of the keys.
    ///
    /// Other values are skipped and logged with the name `reader`, so that one invalid object does
    /// not make the valid ones unusable.
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

/// A copy of the objects under one key prefix. Clones share the copy, and it stays readable while
/// the store is down.
#[derive(Debug, Clone)]
pub struct Reflector {
    prefix: String,
    /// Base URLs of processes that keep a copy of the same prefix.
    peers: Arc<Vec<String>>,
    shared: Arc<RwLock<Snapshot>>,
    revision_sender: Arc<tokio::sync::watch::Sender<Version>>,
}

impl Reflector {
    /// Creates a reflector of `prefix`. Its copy is empty until [`Self::run`] has listed the objects.
    pub fn new(prefix: impl Into<String>) -> Self {
        Self {
            prefix: prefix.into(),
            peers: Arc::default(),
            shared: Arc::default(),
            revision_sender: Arc::new(tokio::sync::watch::Sender::new(0)),
        }
    }

    /// Sets the peers whose copies are used as long as the first list from the store fails. `peers`
    /// are base URLs of processes that serve `GET /snapshot?prefix=`.
    pub fn with_peers(mut self, peers: Vec<String>) -> Self {
        self.peers = Arc::new(peers);
        self
    }

    /// Returns the copy as the response to a list call, for peers that request it.
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

    /// Returns the key prefix whose objects are copied.
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Returns a clone of the current copy.
    pub fn snapshot(&self) -> Snapshot {
        self.shared.read().expect("reflector lock").clone()
    }

    /// Calls `f` with the current copy, which is not cloned, and returns its result. The copy cannot
    /// be updated until `f` returns.
    pub fn read<R>(&self, f: impl FnOnce(&Snapshot) -> R) -> R {
        f(&self.shared.read().expect("reflector lock"))
    }

    /// Returns a receiver of the copy's revision, which is notified of each change. A change between
    /// this call and the receiver's first wait is not missed.
    pub fn subscribe(&self) -> tokio::sync::watch::Receiver<Version> {
        self.revision_sender.subscribe()
    }

    /// Keeps the copy up to date until `cancel` is cancelled. During a store outage there are no
    /// updates and the last copy stays readable. The revision of the copy never decreases.
    pub async fn run(self, store: StoreClient, cancel: CancellationToken) {
        let mut listed = false;
        while !cancel.is_cancelled() {
            let result = if listed {
                self.watch_once(&store, &cancel).await
            } else {
                self.list_once(&store).await
            };
            match result {
                Ok(()) => listed = true,
                Err(StoreError::HistoryExpired) => listed = false,
                Err(e) => {
                    log::debug!("reflector {}: {e}", self.prefix);
                    if self.read(|snapshot| snapshot.revision) == 0 {
                        self.copy_from_peers().await;
                    }
                    tokio::select! {
                        _ = cancel.cancelled() => return,
                        _ = tokio::time::sleep(RETRY_DELAY) => {}
                    }
                }
            }
        }
    }

    async fn list_once(&self, store: &StoreClient) -> Result<(), StoreError> {
        self.replace_copy(store.list(&self.prefix).await?);
        Ok(())
    }

    /// Uses the newest copy that any peer has, until the store can be listed again.
    async fn copy_from_peers(&self) {
        let copies = self.peers.iter().map(|peer| fetch_copy(peer, &self.prefix));
        let copies = futures::future::join_all(copies).await;
        let newest = copies.into_iter().flatten().max_by_key(|c| c.revision);
        if let Some(copy) = newest.filter(|copy| copy.revision > 0) {
            log::info!(
                "{}: store unavailable, using a peer's copy at revision {}",
                self.prefix,
                copy.revision
            );
            self.replace_copy(copy);
        }
    }

    /// Replaces the copy with `listed`, unless the copy is newer.
    fn replace_copy(&self, listed: api::ListResponse) {
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
        self.revision_sender.send_replace(listed.revision);
    }

    async fn watch_once(
        &self,
        store: &StoreClient,
        cancel: &CancellationToken,
    ) -> Result<(), StoreError> {
        let from_version = self.read(|s| s.revision);
        let response = tokio::select! {
            _ = cancel.cancelled() => return Ok(()),
            watched = store.watch(&self.prefix, from_version, WATCH_TIMEOUT) => watched?,
        };
        if self.apply_changes(response) {
            tokio::select! {
                () = cancel.cancelled() => {}
                () = tokio::time::sleep(NEXT_WATCH_DELAY) => {}
            }
        }
        Ok(())
    }

    /// Applies the changes that a watch returned. Returns whether any of them was new.
    fn apply_changes(&self, response: api::WatchResponse) -> bool {
        let mut shared = self.shared.write().expect("reflector lock");
        let mut changed = false;
        for event in response.events {
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
        shared.revision = shared.revision.max(response.revision);
        let revision = shared.revision;
        drop(shared);
        if changed {
            self.revision_sender.send_replace(revision);
        }
        changed
    }
}
