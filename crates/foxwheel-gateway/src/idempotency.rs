//! Records of non-idempotent calls, kept in the store so that a call runs at most once.
//!
//! Before the call, the gateway creates the call's record (only if absent) in state
//! `started`. A resend finds it: if the call finished, its stored answer is replayed; if it
//! is still running or its outcome is unknown, the caller is told so and nothing runs again.
//! A store reply lost after the create took effect is resolved by reading the record back
//! and comparing the attempt's nonce.

use foxwheel_core::ids::Version;
use foxwheel_core::{fingerprint, time};
use foxwheel_store::client::{StoreClient, StoreError};
use serde::{Deserialize, Serialize};

/// Tries of a write whose reply was lost, before giving up.
const LOST_REPLY_TRIES: u32 = 3;

/// Where a call stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallState {
    /// Sent or about to be sent; the outcome is not recorded yet.
    Started,
    /// Finished with this answer.
    Done {
        /// Status.
        status: u16,
        /// Body.
        body: String,
    },
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
}

/// The right to run a call once: its record as this gateway wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The record's key.
    pub store_key: String,
    /// The record's version.
    version: Version,
    record: CallRecord,
}

/// What the caller of [`begin`] is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begin {
    /// Run the call, then [`finish`] it.
    Run(Claim),
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
    fingerprint::hash_parts(&[method.as_bytes(), path.as_bytes(), body])
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
    };
    let claim = |version| {
        Begin::Run(Claim {
            store_key: store_key.to_owned(),
            version,
            record: record.clone(),
        })
    };
    let mut if_version = 0;
    for _ in 0..LOST_REPLY_TRIES {
        match store.put(store_key, &record, Some(if_version)).await {
            Ok(object) => return Ok(claim(object.version)),
            Err(StoreError::Conflict { .. } | StoreError::Unavailable { .. }) => {}
            Err(e) => return Err(e),
        }
        let Some((found, version)) = store.get_value::<CallRecord>(store_key).await? else {
            continue;
        };
        if found.nonce == record.nonce {
            return Ok(claim(version));
        }
        if found.request != record.request {
            return Ok(Begin::KeyReused);
        }
        match found.state {
            CallState::Done { status, body } => return Ok(Begin::Replay { status, body }),
            CallState::Started => return Ok(Begin::InProgress),
            CallState::NotRun => if_version = version,
        }
    }
    Err(no_answer(store, "claim idempotency key"))
}

/// Records a claimed call's outcome; on a lost reply reads back whether it took effect.
pub async fn finish(
    store: &StoreClient,
    claim: Claim,
    outcome: CallState,
) -> Result<(), StoreError> {
    let record = CallRecord {
        state: outcome,
        ..claim.record
    };
    for _ in 0..LOST_REPLY_TRIES {
        match store
            .put(&claim.store_key, &record, Some(claim.version))
            .await
        {
            Ok(_) => return Ok(()),
            Err(StoreError::Unavailable { .. }) => {
                let found = store.get_value::<CallRecord>(&claim.store_key).await;
                if matches!(found, Ok(Some((found, _))) if found == record) {
                    return Ok(());
                }
            }
            Err(e) => return Err(e),
        }
    }
    Err(no_answer(store, "record call outcome"))
}

fn no_answer(store: &StoreClient, step: &'static str) -> StoreError {
    StoreError::Unavailable {
        step,
        peer: store.base_url().to_owned(),
        detail: "no answer after retries".to_owned(),
    }
}
