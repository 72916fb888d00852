//! Wire types of the platform object API (JSON over HTTP).
//!
//! Routes:
//! - `GET /objects/{key}` answers an [`Object`], or 404.
//! - `PUT /objects/{key}` takes a [`PutRequest`]; `if_version` makes it conditional
//!   (0: only if absent). Answers the stored [`Object`], or 409 with a [`Conflict`].
//! - `DELETE /objects/{key}?if_version=V` answers 204, or 409.
//! - `GET /list?prefix=P` answers a [`ListResponse`].
//! - `GET /watch?prefix=P&from_version=V&timeout_ms=T` waits until something under the
//!   prefix changes after `V` and answers a [`WatchResponse`]; 410 when `V` is too old.
//! - `GET /stats` answers [`CallCounts`].
//!
//! Every object's version is the store-wide revision of its last write, so versions only grow.

use serde::{Deserialize, Serialize};

use foxwheel_core::ids::Version;

/// A stored object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// The object's key, e.g. `config/rules`.
    pub key: String,
    /// The revision of its last write; never zero.
    pub version: Version,
    /// Its value, at most 1 MiB when encoded.
    pub value: serde_json::Value,
}

/// The body of a put.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PutRequest {
    /// The new value.
    pub value: serde_json::Value,
    /// Write only if the object's version is this; 0 means only if it does not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub if_version: Option<Version>,
}

/// The body of a 409: the version found instead of the one asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The object's current version; 0 when it does not exist.
    pub current_version: Version,
}

/// The answer to a list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListResponse {
    /// Objects under the prefix, sorted by key.
    pub objects: Vec<Object>,
    /// The store's revision when listed; watch from here.
    pub revision: Version,
}

/// One change seen by a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// The key that changed.
    pub key: String,
    /// The revision of the change.
    pub version: Version,
    /// The new value; `None` when deleted.
    pub value: Option<serde_json::Value>,
}

/// The answer to a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Changes after `from_version`, oldest first; empty when the wait timed out.
    pub events: Vec<Event>,
    /// Watch again from here.
    pub revision: Version,
}

/// Calls counted by the store, for capacity measurements.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Gets and lists.
    pub reads: u64,
    /// Puts and deletes, applied or not.
    pub writes: u64,
    /// Watch calls; each waiting watch counts once.
    pub watches: u64,
    /// Calls refused by a fault or a rate limit.
    pub refused: u64,
    /// Bytes of values stored now.
    pub stored_bytes: u64,
    /// Objects stored now.
    pub objects: u64,
}

/// Faults the emulator can be told to inject, via `POST /faults`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// Refuse every call with 503.
    #[serde(default)]
    pub outage: bool,
    /// Delay every call by this many milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Apply every n-th write, then answer 503 as if the reply was lost; 0 turns it off.
    #[serde(default)]
    pub lose_reply_every: u64,
}
