//! Records of non-idempotent calls, kept in the store so that a call runs at most once.
//!
//! Before a call, the gateway creates the call's record in state `started`, only if there is
//! none. A resend finds the record: if the call has finished, the stored response is replayed; if
//! it is still running or its outcome is unknown, the resend is refused and nothing runs again.
//! If the store's response to the create is lost, the gateway reads the record back and compares
//! its nonce to find out whether the create took effect.

use foxwheel_core::ids::Version;
use foxwheel_core::{fingerprint, time};
use foxwheel_store::client::{StoreClient, StoreError};
use serde::{Deserialize, Serialize};

/// Maximum number of times that a write is sent whose response is lost.
const MAX_LOST_REPLY_TRIES: u32 = 3;

/// State of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallState {
    /// The call was sent or is about to be sent, and its outcome is not recorded yet.
    Started,
    /// The call finished with this response.
    Done {
        /// Status.
        status: u16,
        /// Body.
        body: String,
    },
    /// The call was refused before any backend ran it, so a resend may run it.
    NotRun,
}

/// The stored record of one non-idempotent call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// State of the call.
    pub state: CallState,
    /// Fingerprint of the method, path and body. A resend with the same key but another request is
    /// refused.
    pub request: String,
    /// Random number of this attempt, by which a gateway recognizes its own write after the
    /// response to it was lost.
    pub nonce: u64,
    /// Time when the call started, in Unix milliseconds.
    pub started_ms: u64,
}

/// The right to run a call once, with the record that this gateway has written for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Key of the record in the store.
    pub store_key: String,
    /// Version of the record in the store.
    version: Version,
    record: CallRecord,
}

/// Result of [`claim_call`], which says what to do with the call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// Run the call, then pass the claim to [`record_outcome`].
    Run(Claim),
    /// The call has already run. Return this stored response.
    Replay {
        /// Status.
        status: u16,
        /// Body.
        body: String,
    },
    /// The call was started before, and its outcome is not known.
    InProgress,
    /// The key was already used for another request.
    KeyReused,
}

/// Returns the fingerprint of a request.
pub fn request_fingerprint(method: &str, path: &str, body: &[u8]) -> String {
    fingerprint::hash_parts(&[method.as_bytes(), path.as_bytes(), body])
}

/// Claims the right to run the call recorded under `store_key`, or returns why it must not run.
/// Returns an error if the store is unavailable or fails the write.
pub async fn claim_call(
    store: &StoreClient,
    store_key: &str,
    request: String,
) -> Result<ClaimResult, StoreError> {
    let record = CallRecord {
        state: CallState::Started,
        request,
        nonce: rand::random(),
        started_ms: time::unix_ms(),
    };
    let to_claim = |version| {
        ClaimResult::Run(Claim {
            store_key: store_key.to_owned(),
            version,
            record: record.clone(),
        })
    };
    let mut expected_version = 0;
    for _ in 0..MAX_LOST_REPLY_TRIES {
        match store.put(store_key, &record, Some(expected_version)).await {
            Ok(object) => return Ok(to_claim(object.version)),
            Err(StoreError::Conflict { .. } | StoreError::Unavailable { .. }) => {}
            Err(e) => return Err(e),
        }
        let Some((found, version)) = store.get_value::<CallRecord>(store_key).await? else {
            continue;
        };
        if found.nonce == record.nonce {
            return Ok(to_claim(version));
        }
        if found.request != record.request {
            return Ok(ClaimResult::KeyReused);
        }
        match found.state {
            CallState::Done { status, body } => return Ok(ClaimResult::Replay { status, body }),
            CallState::Started => return Ok(ClaimResult::InProgress),
            CallState::NotRun => expected_version = version,
        }
    }
    Err(store_unavailable_error(store, "claim idempotency key"))
}

/// Records the outcome of a claimed call. If the store's response is lost, reads the record back to
/// find out whether the write took effect. Returns an error if the outcome could not be recorded.
pub async fn record_outcome(
    store: &StoreClient,
    claim: Claim,
    outcome: CallState,
) -> Result<(), StoreError> {
    let record = CallRecord {
        state: outcome,
        ..claim.record
    };
    for _ in 0..MAX_LOST_REPLY_TRIES {
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
    Err(store_unavailable_error(store, "record call outcome"))
}

fn store_unavailable_error(store: &StoreClient, step: &'static str) -> StoreError {
    StoreError::Unavailable {
        step,
        peer: store.base_url().to_owned(),
        detail: "no answer after retries".to_owned(),
    }
}
