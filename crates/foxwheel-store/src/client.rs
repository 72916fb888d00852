//! An HTTP client of the platform object API.
//!
//! Built on `awc`, so it lives on one actix thread; make one per thread or task group.
//! Every error says the step and the store's address.

use std::time::Duration;

use awc::http::StatusCode;
use serde::de::DeserializeOwned;
use serde::Serialize;

use foxwheel_core::ids::Version;

use crate::api;

/// Largest body the client reads, in bytes: a value holds at most 1 MiB, a list more.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// How long a plain call may take before it counts as failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

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
    Busy {
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
    Gone,
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
        matches!(self, Self::Unavailable { .. } | Self::Busy { .. })
    }
}

/// A client of one store, addressed by its base URL, e.g. `http://127.0.0.1:7100`.
#[derive(Clone)]
pub struct StoreClient {
    base_url: String,
    http: awc::Client,
}

impl StoreClient {
    /// A client for the store at `base_url` (no trailing slash).
    pub fn new(base_url: impl Into<String>) -> Self {
        let http = awc::Client::builder()
            .timeout(CALL_TIMEOUT)
            .disable_redirects()
            .finish();
        Self {
            base_url: base_url.into().trim_end_matches('/').to_owned(),
            http,
        }
    }

    /// The store's base URL.
    pub fn base_url(&self) -> &str {
        &self.base_url
    }

    /// Reads one object.
    pub async fn get(&self, key: &str) -> Result<api::Object, StoreError> {
        let url = format!("{}/objects/{}", self.base_url, key);
        let response = self.http.get(url).send();
        self.answer("get", response).await
    }

    /// Reads one object and decodes its value; `None` when absent.
    pub async fn get_value<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<(T, Version)>, StoreError> {
        match self.get(key).await {
            Ok(object) => Ok(Some((self.decode("get", object.value)?, object.version))),
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
        let url = format!("{}/objects/{}", self.base_url, key);
        let value = serde_json::to_value(value).map_err(|e| self.decode_error("put", e))?;
        let body = api::PutRequest { value, if_version };
        let response = self.http.put(url).send_json(&body);
        self.answer("put", response).await
    }

    /// Deletes an object; with `if_version` only if it is at that version.
    pub async fn delete(&self, key: &str, if_version: Option<Version>) -> Result<(), StoreError> {
        let mut url = format!("{}/objects/{}", self.base_url, key);
        if let Some(v) = if_version {
            url.push_str(&format!("?if_version={v}"));
        }
        let response = self.http.delete(url).send();
        match self.answer::<serde_json::Value>("delete", response).await {
            Ok(_) | Err(StoreError::NotFound) => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Lists the objects under `prefix`.
    pub async fn list(&self, prefix: &str) -> Result<api::ListResponse, StoreError> {
        let url = format!("{}/list?prefix={}", self.base_url, prefix);
        let response = self.http.get(url).send();
        self.answer("list", response).await
    }

    /// Waits up to `wait` for changes under `prefix` after `from_version`.
    pub async fn watch(
        &self,
        prefix: &str,
        from_version: Version,
        wait: Duration,
    ) -> Result<api::WatchResponse, StoreError> {
        let url = format!(
            "{}/watch?prefix={}&from_version={}&timeout_ms={}",
            self.base_url,
            prefix,
            from_version,
            wait.as_millis()
        );
        let response = self.http.get(url).timeout(wait + CALL_TIMEOUT).send();
        self.answer("watch", response).await
    }

    /// The store's call counters.
    pub async fn stats(&self) -> Result<api::CallCounts, StoreError> {
        let url = format!("{}/stats", self.base_url);
        let response = self.http.get(url).send();
        self.answer("stats", response).await
    }

    /// Sets the emulator's faults.
    pub async fn set_faults(&self, faults: &api::Faults) -> Result<(), StoreError> {
        let url = format!("{}/faults", self.base_url);
        let response = self.http.post(url).send_json(faults);
        self.answer::<serde_json::Value>("set faults", response)
            .await
            .map(|_| ())
    }

    async fn answer<T: DeserializeOwned>(
        &self,
        step: &'static str,
        request: awc::SendClientRequest,
    ) -> Result<T, StoreError> {
        let mut response = request
            .await
            .map_err(|e| self.unavailable(step, e.to_string()))?;
        let status = response.status();
        let body = response
            .body()
            .limit(MAX_BODY_BYTES)
            .await
            .map_err(|e| self.unavailable(step, e.to_string()))?;
        match status {
            s if s.is_success() => {
                let body = if body.is_empty() { &b"null"[..] } else { &body };
                serde_json::from_slice(body).map_err(|e| self.decode_error(step, e))
            }
            StatusCode::NOT_FOUND => Err(StoreError::NotFound),
            StatusCode::GONE => Err(StoreError::Gone),
            StatusCode::TOO_MANY_REQUESTS => Err(StoreError::Busy {
                step,
                peer: self.base_url.clone(),
            }),
            StatusCode::PAYLOAD_TOO_LARGE => Err(StoreError::TooLarge {
                step,
                peer: self.base_url.clone(),
            }),
            StatusCode::CONFLICT => {
                let conflict: api::Conflict =
                    serde_json::from_slice(&body).map_err(|e| self.decode_error(step, e))?;
                Err(StoreError::Conflict {
                    current_version: conflict.current_version,
                })
            }
            s => Err(self.unavailable(
                step,
                format!("status {s}: {}", String::from_utf8_lossy(&body)),
            )),
        }
    }

    fn decode<T: DeserializeOwned>(
        &self,
        step: &'static str,
        value: serde_json::Value,
    ) -> Result<T, StoreError> {
        serde_json::from_value(value).map_err(|e| self.decode_error(step, e))
    }

    fn unavailable(&self, step: &'static str, detail: String) -> StoreError {
        StoreError::Unavailable {
            step,
            peer: self.base_url.clone(),
            detail,
        }
    }

    fn decode_error(&self, step: &'static str, e: serde_json::Error) -> StoreError {
        StoreError::Decode {
            step,
            peer: self.base_url.clone(),
            detail: e.to_string(),
        }
    }
}
