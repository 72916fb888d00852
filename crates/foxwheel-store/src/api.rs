//! Values of the platform's store under the project's own keys, and the stand-in's faults.
//!
//! Every object's version is the store-wide revision of its last write, so versions only
//! grow.

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

/// How the stand-in turns calls away.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// With 503: nothing was done.
    #[default]
    Busy,
    /// With 429: nothing was done.
    RateLimited,
    /// By closing the connection.
    Reset,
    /// By never answering.
    Silent,
}

/// Faults the stand-in can be told to inject, via `POST /faults`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// Turn every call away.
    #[serde(default)]
    pub outage: bool,
    /// In this way.
    #[serde(default)]
    pub refusal: Refusal,
    /// Only calls from these addresses; empty is all.
    #[serde(default)]
    pub only_hosts: Vec<std::net::IpAddr>,
    /// Delay every call by this many milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Hand a watch's answer out only this many milliseconds after it was read.
    #[serde(default)]
    pub watch_delay_ms: u64,
    /// Do every n-th write, then close the connection without an answer; 0 turns it off.
    #[serde(default)]
    pub lose_reply_every: u64,
    /// Do such a write only after this many milliseconds, if its condition still holds.
    #[serde(default)]
    pub late_ms: u64,
}
