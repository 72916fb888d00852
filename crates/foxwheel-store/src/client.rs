//! The platform's store under the project's own keys.
//!
//! A thin layer over the platform's one client: it turns keys into kinds and names, and
//! writes at a version into the store's conditional calls. Every error says the step and
//! the store's address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foxwheel_core::ids::Version;
use foxwheel_core::keys;
use foxwheel_platform::store::{self, Store, WatchOutcome, Write, WriteOutcome};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::api;

/// Why a store call failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The store could not be reached or answered with a server error; a write may or may
    /// not have taken effect.
    #[error("store unavailable at step '{step}' with peer {peer}: {detail}")]
    Unavailable {
        /// The call, e.g. `put`.
        step: &'static str,
        /// The store's address.
        peer: String,
        /// What went wrong.
        detail: String,
    },
    /// The store's rate limit refused the call before it took effect.
    #[error("store rate limit at step '{step}' with peer {peer}")]
    RateLimited {
        /// The call.
        step: &'static str,
        /// The store's address.
        peer: String,
    },
    /// The value is larger than the store holds.
    #[error("value too large at step '{step}' with peer {peer}")]
    TooLarge {
        /// The call.
        step: &'static str,
        /// The store's address.
        peer: String,
    },
    /// A conditional write found another version.
    #[error("version conflict: the object is at version {current_version}")]
    Conflict {
        /// The version found; 0 when the object does not exist.
        current_version: Version,
    },
    /// The object does not exist.
    #[error("not found")]
    NotFound,
    /// A watch started from a version the store no longer keeps; list again.
    #[error("watch version too old")]
    HistoryExpired,
    /// The answer could not be decoded.
    #[error("bad answer at step '{step}' with peer {peer}: {detail}")]
    Decode {
        /// The call.
        step: &'static str,
        /// The store's address.
        peer: String,
        /// The decoder's complaint.
        detail: String,
    },
}

impl StoreError {
    /// Whether trying the same call later may help.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Unavailable { .. } | Self::RateLimited { .. })
    }
}

/// A client of one store, addressed by its base URL, e.g. `http://127.0.0.1:7100`. Use it
/// on one runtime only: its connections live there.
#[derive(Debug, Clone)]
pub struct StoreClient {
    base_url: String,
    /// None when the base URL holds no `ip:port`: every call then fails and says so.
    store: Option<Arc<Store>>,
}

impl StoreClient {
    /// A client for the store at `base_url`.
    pub fn new(base_url: impl Into<String>) -> Self {
        let base_url = base_url.into().trim_end_matches('/').to_owned();
        let addr = base_url.rsplit('/').next().unwrap_or_default();
        let addr: Option<SocketAddr> = addr.parse().ok();
        Self {
            store: addr.map(|addr| Arc::new(Store::new(addr))),
            base_url,
        }
    }

    /// The store's base URL.
    pub fn base_url(&self) -> &str {
        &self.base_url
    }

    /// Reads one object.
    pub async fn get(&self, key: &str) -> Result<api::Object, StoreError> {
        const STEP: &str = "get";
        let (kind, name) = keys::kind_and_name(key);
        let got = self.store(STEP)?.get(&kind, &name).await;
        let found = got.map_err(|e| self.error(STEP, e))?;
        found
            .map(|object| object_at(key.to_owned(), object))
            .ok_or(StoreError::NotFound)
    }

    /// Reads one object and decodes its value; `None` when absent.
    pub async fn get_value<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<(T, Version)>, StoreError> {
        match self.get(key).await {
            Ok(object) => {
                let decoded = serde_json::from_value(object.value);
                let value = decoded.map_err(|e| self.decode_error("get", &e))?;
                Ok(Some((value, object.version)))
            }
            Err(StoreError::NotFound) => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Writes `value`; with `if_version` only if the object is at that version (0: absent).
    pub async fn put<T: Serialize>(
        &self,
        key: &str,
        value: &T,
        if_version: Option<Version>,
    ) -> Result<api::Object, StoreError> {
        const STEP: &str = "put";
        let value = serde_json::to_value(value).map_err(|e| self.decode_error(STEP, &e))?;
        let (kind, name) = keys::kind_and_name(key);
        let spec = value.to_string();
        let create = Write::Create {
            kind: kind.clone(),
            name: name.clone(),
            spec: spec.clone(),
        };
        let replace = |revision| Write::Replace {
            kind,
            name,
            spec,
            revision,
        };
        let written = match if_version {
            Some(0) => self.write(STEP, &create).await?,
            Some(version) => self.write(STEP, &replace(Some(version))).await?,
            None => {
                let replace = replace(None);
                match self.write(STEP, &replace).await? {
                    WriteOutcome::Missing => match self.write(STEP, &create).await? {
                        // Created by another writer in between.
                        WriteOutcome::Conflict(_) => self.write(STEP, &replace).await?,
                        created => created,
                    },
                    replaced => replaced,
                }
            }
        };
        match written {
            WriteOutcome::Done(object) => Ok(api::Object {
                key: key.to_owned(),
                version: object.revision,
                value,
            }),
            WriteOutcome::Conflict(object) => Err(StoreError::Conflict {
                current_version: object.map_or(0, |object| object.revision),
            }),
            WriteOutcome::Missing => Err(StoreError::Conflict { current_version: 0 }),
        }
    }

    /// Deletes an object; with `if_version` only if it is at that version.
    pub async fn delete(&self, key: &str, if_version: Option<Version>) -> Result<(), StoreError> {
        let (kind, name) = keys::kind_and_name(key);
        let delete = Write::Delete {
            kind,
            name,
            revision: if_version,
        };
        match self.write("delete", &delete).await? {
            WriteOutcome::Done(_) | WriteOutcome::Missing => Ok(()),
            WriteOutcome::Conflict(object) => Err(StoreError::Conflict {
                current_version: object.map_or(0, |object| object.revision),
            }),
        }
    }

    /// Lists the objects under `prefix`, sorted by key.
    pub async fn list(&self, prefix: &str) -> Result<api::ListResponse, StoreError> {
        const STEP: &str = "list";
        let (kind, names) = self.kind_of(STEP, prefix)?;
        let listed = self.store(STEP)?.list(&kind).await;
        let listing = listed.map_err(|e| self.error(STEP, e))?;
        let objects = listing.objects.into_iter();
        Ok(api::ListResponse {
            objects: objects
                .filter(|object| object.name.starts_with(&names))
                .map(|object| object_at(keys::join_key(&kind, &object.name), object))
                .collect(),
            revision: listing.revision,
        })
    }

    /// Waits up to `wait` for changes under `prefix` after `from_version`.
    pub async fn watch(
        &self,
        prefix: &str,
        from_version: Version,
        wait: Duration,
    ) -> Result<api::WatchResponse, StoreError> {
        const STEP: &str = "watch";
        let (kind, names) = self.kind_of(STEP, prefix)?;
        let watched = self.store(STEP)?.watch(&kind, from_version, wait).await;
        match watched.map_err(|e| self.error(STEP, e))? {
            WatchOutcome::HistoryExpired => Err(StoreError::HistoryExpired),
            WatchOutcome::Changes { changes, revision } => {
                let changes = changes.into_iter();
                let events = changes
                    .filter(|change| change.object.name.starts_with(&names))
                    .map(|change| api::Event {
                        key: keys::join_key(&kind, &change.object.name),
                        version: change.object.revision,
                        value: (!change.removed).then_some(change.object.spec),
                    });
                Ok(api::WatchResponse {
                    events: events.collect(),
                    revision,
                })
            }
        }
    }

    /// The stand-in's call counters.
    pub async fn stats(&self) -> Result<api::CallCounts, StoreError> {
        let request = awc::Client::default().get(format!("{}/stats", self.base_url));
        let mut response = request
            .send()
            .await
            .map_err(|e| self.unavailable("stats", e))?;
        response
            .json()
            .await
            .map_err(|e| self.unavailable("stats", e))
    }

    /// Sets the stand-in's faults.
    pub async fn set_faults(&self, faults: &api::Faults) -> Result<(), StoreError> {
        let request = awc::Client::default().post(format!("{}/faults", self.base_url));
        let sent = request.send_json(faults).await;
        sent.map(|_| ())
            .map_err(|e| self.unavailable("set faults", e))
    }

    /// Makes the stand-in forget the changes it kept for watches.
    pub async fn drop_history(&self) -> Result<(), StoreError> {
        let request = awc::Client::default().post(format!("{}/drop-history", self.base_url));
        let sent = request.send().await;
        sent.map(|_| ())
            .map_err(|e| self.unavailable("drop history", e))
    }

    async fn write(&self, step: &'static str, write: &Write) -> Result<WriteOutcome, StoreError> {
        let written = self.store(step)?.write(write).await;
        written.map_err(|e| self.error(step, e))
    }

    fn store(&self, step: &'static str) -> Result<&Store, StoreError> {
        self.store
            .as_deref()
            .ok_or_else(|| self.unavailable(step, "the base URL holds no ip:port"))
    }

    fn kind_of(&self, step: &'static str, prefix: &str) -> Result<(String, String), StoreError> {
        keys::kind_and_name_prefix(prefix)
            .ok_or_else(|| self.unavailable(step, format!("'{prefix}' spans several kinds")))
    }

    fn error(&self, step: &'static str, error: store::StoreError) -> StoreError {
        let peer = self.base_url.clone();
        match error {
            store::StoreError::RateLimited { .. } => StoreError::RateLimited { step, peer },
            store::StoreError::TooLarge { .. } => StoreError::TooLarge { step, peer },
            store::StoreError::InvalidResponse { reason, .. } => StoreError::Decode {
                step,
                peer,
                detail: reason,
            },
            other => self.unavailable(step, other),
        }
    }

    fn unavailable(&self, step: &'static str, detail: impl std::fmt::Display) -> StoreError {
        StoreError::Unavailable {
            step,
            peer: self.base_url.clone(),
            detail: detail.to_string(),
        }
    }

    fn decode_error(&self, step: &'static str, error: &serde_json::Error) -> StoreError {
        StoreError::Decode {
            step,
            peer: self.base_url.clone(),
            detail: error.to_string(),
        }
    }
}

fn object_at(key: String, object: store::Object) -> api::Object {
    api::Object {
        key,
        version: object.revision,
        value: object.spec,
    }
}
