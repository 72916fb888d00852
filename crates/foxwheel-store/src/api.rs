//! Objects of the platform's store under this project's own keys, and the faults and counters of
//! its stand-in `foxwheel-platform-emu`.
//!
//! The version of an object is the store-wide revision of its last write, so versions only
//! increase.

use serde::{Deserialize, Serialize};

use foxwheel_core::ids::Version;

/// A stored object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Key of the object, e.g. `config/rules`.
    pub key: String,
    /// Revision of its last write; never 0.
    pub version: Version,
    /// Value of the object, at most 1 MiB when encoded.
    pub value: serde_json::Value,
}

/// Response to a list call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListResponse {
    /// Objects under the prefix, sorted by key.
    pub objects: Vec<Object>,
    /// Revision of the store when it made the list; a watch for later changes starts from it.
    pub revision: Version,
}

/// One change that a watch returns.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Key of the object that changed.
    pub key: String,
    /// Revision of the change.
    pub version: Version,
    /// New value; `None` if the object was deleted.
    pub value: Option<serde_json::Value>,
}

/// Response to a watch call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Changes after `from_version`, oldest first; empty if there was none before the timeout.
    pub events: Vec<Event>,
    /// Revision from which the next watch continues.
    pub revision: Version,
}

/// Counters of the stand-in: its calls since it started and what it stores now. Capacity
/// measurements read them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Number of gets and lists.
    pub reads: u64,
    /// Number of puts and deletes, whether applied or not.
    pub writes: u64,
    /// Number of watch calls; a watch that waits counts once.
    pub watches: u64,
    /// Number of calls refused because of an injected fault or a rate limit.
    pub refused: u64,
    /// Size of all stored values, in bytes.
    pub stored_bytes: u64,
    /// Number of stored objects.
    pub objects: u64,
}

/// How the stand-in refuses calls during an injected outage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// Responds with status 503 without executing the call.
    #[default]
    Busy,
    /// Responds with status 429 without executing the call.
    RateLimited,
    /// Closes the connection.
    Reset,
    /// Keeps the connection open and never responds.
    Silent,
}

/// Faults that the stand-in injects, set with `POST /faults`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// Refuse every call.
    #[serde(default)]
    pub outage: bool,
    /// How calls are refused during an outage.
    #[serde(default)]
    pub refusal: Refusal,
    /// Addresses whose calls an outage refuses; if empty, it refuses all calls.
    #[serde(default)]
    pub only_hosts: Vec<std::net::IpAddr>,
    /// Delay of every call, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Delay between reading the changes for a watch and sending its response, in milliseconds.
    #[serde(default)]
    pub watch_delay_ms: u64,
    /// Respond to every write with status 429, as if the rate of writes were used up.
    #[serde(default)]
    pub limit_writes: bool,
    /// Never respond to the watches that begin now; their connections stay open. All other calls are
    /// served.
    #[serde(default)]
    pub lose_watches: bool,
    /// Lose the reply of every n-th write: apply the write and close the connection without a
    /// response; 0 turns this off.
    #[serde(default)]
    pub lose_reply_every: u64,
    /// Delay, in milliseconds, after which a write whose response is lost is applied, if its condition
    /// still holds then.
    #[serde(default)]
    pub late_ms: u64,
    /// Largest size of an object's spec and status together that is accepted, in bytes of JSON; 0 is
    /// the usual limit.
    #[serde(default)]
    pub max_value_bytes: u64,
}
