//! Records of non-idempotent calls, kept in the store so that a call runs at most once.
//!
//! Before the call, the gateway creates `idempotency/<service>/<key>` (only if absent) in
//! state `started`. A resend finds the record: if the call finished, its stored answer is
//! replayed; if it is still running or its outcome is unknown, the caller is told so and
//! nothing runs again. A store reply lost after the create took effect is resolved by
//! reading the record back and comparing the attempt's nonce.

use serde::{Deserialize, Serialize};

use foxwheel_core::ids::Version;
use foxwheel_core::{fingerprint, time};
use foxwheel_store::client::{StoreClient, StoreError};

/// Tries of a write whose reply was lost, before giving up.
const LOST_REPLY_TRIES: u32 = 3;

/// Where a call stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallState {
    /// Sent or about to be sent; the outcome is not recorded yet.
    Started,
    /// Finished; the answer is stored.
    Done,
    /// Refused before any backend received it; a resend may run it.
    NotRun,
}

/// The stored record of one non-idempotent call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Where it stands.
    pub state: CallState,
    /// A fingerprint of the method, path and body; a resend with the same key but another
    /// request is refused.
    pub request: String,
    /// A random number for this attempt, to recognise our own write after a lost reply.
    pub nonce: u64,
    /// When it started, Unix milliseconds.
    pub started_ms: u64,
    /// The answer's status, when done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// The answer's body, when done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
}

/// What the caller of [`begin`] is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begin {
    /// Run the call; the record is at `version`.
    Run {
        /// The record's version.
        version: Version,
        /// The record as written.
        record: CallRecord,
    },
    /// The call already ran: answer with this.
    Replay {
        /// Status.
        status: u16,
        /// Body.
        body: String,
    },
    /// The call was started before and its outcome is not known.
    InProgress,
    /// The key was used for another request.
    KeyReused,
}

/// The fingerprint of a request.
pub fn request_fingerprint(method: &str, path: &str, body: &[u8]) -> String {
    fingerprint::of(&[method.as_bytes(), path.as_bytes(), body])
}

/// Claims the right to run the call recorded under `store_key`, or says why not.
pub async fn begin(
    store: &StoreClient,
    store_key: &str,
    request: String,
) -> Result<Begin, StoreError> {
    let record = CallRecord {
        state: CallState::Started,
        request,
        nonce: rand::random(),
        started_ms: time::unix_ms(),
        status: None,
        body: None,
    };
    let mut if_version = 0;
    for _ in 0..LOST_REPLY_TRIES {
        match store.put(store_key, &record, Some(if_version)).await {
            Ok(object) => {
                return Ok(Begin::Run {
                    version: object.version,
                    record,
                })
            }
            Err(StoreError::Conflict { .. }) | Err(StoreError::Unavailable { .. }) => {}
            Err(e) => return Err(e),
        }
        let Some((found, version)) = store.get_value::<CallRecord>(store_key).await? else {
            continue;
        };
        if found.nonce == record.nonce {
            return Ok(Begin::Run { version, record });
        }
        if found.request != record.request {
            return Ok(Begin::KeyReused);
        }
        match found.state {
            CallState::Done => {
                return Ok(Begin::Replay {
                    status: found.status.unwrap_or(200),
                    body: found.body.unwrap_or_default(),
                })
            }
            CallState::Started => return Ok(Begin::InProgress),
            CallState::NotRun => if_version = version,
        }
    }
    Err(StoreError::Unavailable {
        step: "claim idempotency key",
        peer: store.base_url().to_owned(),
        detail: "no answer after retries".to_owned(),
    })
}

/// Records the call's outcome; on a lost reply reads back whether it took effect.
pub async fn finish(
    store: &StoreClient,
    store_key: &str,
    version: Version,
    mut record: CallRecord,
    outcome: CallState,
    answer: Option<(u16, String)>,
) -> Result<(), StoreError> {
    record.state = outcome;
    if let Some((status, body)) = answer {
        record.status = Some(status);
        record.body = Some(body);
    }
    for _ in 0..LOST_REPLY_TRIES {
        match store.put(store_key, &record, Some(version)).await {
            Ok(_) => return Ok(()),
            Err(StoreError::Unavailable { .. }) => {
                if let Some((found, _)) = store
                    .get_value::<CallRecord>(store_key)
                    .await
                    .ok()
                    .flatten()
                {
                    if found == record {
                        return Ok(());
                    }
                }
            }
            Err(e) => return Err(e),
        }
    }
    Err(StoreError::Unavailable {
        step: "record call outcome",
        peer: store.base_url().to_owned(),
        detail: "no answer after retries".to_owned(),
    })
}
