//! Client of the platform's store under this project's own keys.
//!
//! A thin layer over the client of `foxwheel_platform::store`. It splits a key into the kind and
//! name of the stored object and turns writes with an expected version into the store's
//! conditional calls. Errors name the step and the store's address, except for a version conflict, a
//! missing object and an expired history, which are regular results of a call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foxwheel_core::ids::Version;
use foxwheel_core::keys;
use foxwheel_platform::store::{self, Store, WatchOutcome, Write, WriteOutcome};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::api;

/// How long after its wait the response to a watch may arrive.
const WATCH_GRACE: Duration = Duration::from_millis(500);

/// Why a store call failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The store could not be reached or responded with a server error. A write may or may not
    /// have taken effect.
    #[error("store unavailable at step '{step}' with peer {peer}: {detail}")]
    Unavailable {
        /// Call that failed, e.g. `put`.
        step: &'static str,
        /// Base URL of the store.
        peer: String,
        /// Description of the failure.
        detail: String,
    },
    /// The store refused the call because of its rate limit. The call had no effect.
    #[error("store rate limit at step '{step}' with peer {peer}")]
    RateLimited {
        /// Call that failed.
        step: &'static str,
        /// Base URL of the store.
        peer: String,
    },
    /// The value is larger than the store accepts.
    #[error("value too large at step '{step}' with peer {peer}")]
    TooLarge {
        /// Call that failed.
        step: &'static str,
        /// Base URL of the store.
        peer: String,
    },
    /// A conditional write found the object at another version than expected.
    #[error("version conflict: the object is at version {current_version}")]
    Conflict {
        /// Version that the store has; 0 if the object does not exist.
        current_version: Version,
    },
    /// The object does not exist.
    #[error("not found")]
    NotFound,
    /// The store no longer keeps all changes since the version that a watch starts from. The caller
    /// has to list again.
    #[error("watch version too old")]
    HistoryExpired,
    /// A response could not be decoded, or a value not encoded.
    #[error("bad answer at step '{step}' with peer {peer}: {detail}")]
    Decode {
        /// Call that failed.
        step: &'static str,
        /// Base URL of the store.
        peer: String,
        /// Error of the decoder or encoder.
        detail: String,
    },
}

impl StoreError {
    /// Returns whether the same call may succeed later.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Unavailable { .. } | Self::RateLimited { .. })
    }
}

/// A client of one store, which is addressed by its base URL, e.g. `http://127.0.0.1:7100`. It may
/// be used on one runtime only, because its connections are driven by tasks of that runtime.
#[derive(Debug, Clone)]
pub struct StoreClient {
    base_url: String,
    /// `None` if the base URL does not end with `ip:port`; every call then returns an error that
    /// says so.
    platform_store: Option<Arc<Store>>,
}

impl StoreClient {
    /// Creates a client of the store at `base_url`. A URL without `ip:port` is reported by the first
    /// call.
    pub fn new(base_url: impl Into<String>) -> Self {
        let base_url = base_url.into().trim_end_matches('/').to_owned();
        let addr = base_url.rsplit('/').next().unwrap_or_default();
        let addr: Option<SocketAddr> = addr.parse().ok();
        Self {
            platform_store: addr.map(|addr| Arc::new(Store::new(addr))),
            base_url,
        }
    }

    /// Returns the base URL of the store, without a trailing slash.
    pub fn base_url(&self) -> &str {
        &self.base_url
    }

    /// Reads one object. Returns [`StoreError::NotFound`] if it does not exist.
    pub async fn get(&self, key: &str) -> Result<api::Object, StoreError> {
        const STEP: &str = "get";
        let (kind, name) = keys::kind_and_name(key);
        let result = self.platform_store(STEP)?.get(&kind, &name).await;
        let found = result.map_err(|e| self.convert_error(STEP, e))?;
        found
            .map(|object| keyed_object(key.to_owned(), object))
            .ok_or(StoreError::NotFound)
    }

    /// Reads one object and decodes its value; returns `None` if the object does not exist and
    /// [`StoreError::Decode`] if its value is not a `T`.
    pub async fn get_value<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<(T, Version)>, StoreError> {
        match self.get(key).await {
            Ok(object) => {
                let decoded = serde_json::from_value(object.value);
                let value = decoded.map_err(|e| self.codec_error("get", &e))?;
                Ok(Some((value, object.version)))
            }
            Err(StoreError::NotFound) => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Writes `value` and returns the stored object.
    ///
    /// With `if_version`, writes only if the object is at that version (0: does not exist) and
    /// returns [`StoreError::Conflict`] otherwise.
    pub async fn put<T: Serialize>(
        &self,
        key: &str,
        value: &T,
        if_version: Option<Version>,
    ) -> Result<api::Object, StoreError> {
        const STEP: &str = "put";
        let value = serde_json::to_value(value).map_err(|e| self.codec_error(STEP, &e))?;
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
                        // Another writer created the object between the two calls.
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

    /// Deletes an object, with `if_version` only if it is at that version: otherwise returns
    /// [`StoreError::Conflict`]. Deleting an object that does not exist succeeds.
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

    /// Lists the objects whose keys start with `prefix`, sorted by key. Fails if `prefix` covers more
    /// than one kind of object.
    pub async fn list(&self, prefix: &str) -> Result<api::ListResponse, StoreError> {
        const STEP: &str = "list";
        let (kind, name_prefix) = self.split_prefix(STEP, prefix)?;
        let listed = self.platform_store(STEP)?.list(&kind).await;
        let listing = listed.map_err(|e| self.convert_error(STEP, e))?;
        let objects = listing.objects.into_iter();
        Ok(api::ListResponse {
            objects: objects
                .filter(|object| object.name.starts_with(&name_prefix))
                .map(|object| keyed_object(keys::join_key(&kind, &object.name), object))
                .collect(),
            revision: listing.revision,
        })
    }

    /// Waits up to `wait` for changes after `from_version` to objects whose keys start with `prefix`.
    /// Returns [`StoreError::HistoryExpired`] if the store no longer keeps all of these changes.
    pub async fn watch(
        &self,
        prefix: &str,
        from_version: Version,
        wait: Duration,
    ) -> Result<api::WatchResponse, StoreError> {
        const STEP: &str = "watch";
        let (kind, name_prefix) = self.split_prefix(STEP, prefix)?;
        let watched = self
            .platform_store(STEP)?
            .watch(&kind, from_version, wait, WATCH_GRACE)
            .await;
        match watched.map_err(|e| self.convert_error(STEP, e))? {
            WatchOutcome::HistoryExpired => Err(StoreError::HistoryExpired),
            WatchOutcome::Changes { changes, revision } => {
                let changes = changes.into_iter();
                let events = changes
                    .filter(|change| change.object.name.starts_with(&name_prefix))
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

    /// Returns the counters of the stand-in.
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

    /// Replaces the faults that the stand-in injects.
    pub async fn set_faults(&self, faults: &api::Faults) -> Result<(), StoreError> {
        let request = awc::Client::default().post(format!("{}/faults", self.base_url));
        let sent = request.send_json(faults).await;
        sent.map(|_| ())
            .map_err(|e| self.unavailable("set faults", e))
    }

    /// Makes the stand-in discard the changes that it keeps for watches, so that watches from older
    /// versions return [`StoreError::HistoryExpired`].
    pub async fn drop_history(&self) -> Result<(), StoreError> {
        let request = awc::Client::default().post(format!("{}/drop-history", self.base_url));
        let sent = request.send().await;
        sent.map(|_| ())
            .map_err(|e| self.unavailable("drop history", e))
    }

    async fn write(&self, step: &'static str, write: &Write) -> Result<WriteOutcome, StoreError> {
        let written = self.platform_store(step)?.write(write).await;
        written.map_err(|e| self.convert_error(step, e))
    }

    fn platform_store(&self, step: &'static str) -> Result<&Store, StoreError> {
        self.platform_store
            .as_deref()
            .ok_or_else(|| self.unavailable(step, "the base URL holds no ip:port"))
    }

    fn split_prefix(
        &self,
        step: &'static str,
        prefix: &str,
    ) -> Result<(String, String), StoreError> {
        keys::kind_and_name_prefix(prefix)
            .ok_or_else(|| self.unavailable(step, format!("'{prefix}' spans several kinds")))
    }

    fn convert_error(&self, step: &'static str, error: store::StoreError) -> StoreError {
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

    fn codec_error(&self, step: &'static str, error: &serde_json::Error) -> StoreError {
        StoreError::Decode {
            step,
            peer: self.base_url.clone(),
            detail: error.to_string(),
        }
    }
}

fn keyed_object(key: String, object: store::Object) -> api::Object {
    api::Object {
        key,
        version: object.revision,
        value: object.spec,
    }
}
