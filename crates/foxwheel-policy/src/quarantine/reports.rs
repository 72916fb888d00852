//! What processes observe of crashes and report to each other and to the log.

use std::time::{Duration, Instant};

use foxwheel_core::ids::{ContentFingerprint, ServiceName};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::quarantine::Doubt;
use crate::zone_loads::ServerFingerprint;

/// The kind of a run that a crash cut off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunKind {
    /// An online request, which may be the cause of the crash.
    #[default]
    Online,
    /// A batch item, which is never the cause: users submit no items that crash servers.
    BatchItem,
}

/// One crash, as processes report it to each other.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request's content.
    pub content: ContentFingerprint,
    /// The server instance that crashed.
    pub server: ServerFingerprint,
    /// The server's service.
    pub service: ServiceName,
    /// Time since the crash.
    #[serde(rename = "age_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Time between sending the request to the server and the crash.
    #[serde(rename = "ran_for_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub ran_for: Duration,
    /// The content was cleared by a complete response after the crash.
    pub cleared: bool,
    /// The kind of the run that was cut off.
    #[serde(default)]
    pub run_kind: RunKind,
}

/// Maximum number of other contents in [`QuarantineEvidence`].
pub const MAX_OTHER_CONTENTS: usize = 4;

/// A crash observed by the process that had a request in flight at the server.
#[derive(Debug, Clone)]
pub struct ObservedCrash {
    /// The server instance that crashed.
    pub server: ServerFingerprint,
    /// The server's service.
    pub service: ServiceName,
    /// When the request was sent to the server.
    pub sent_at: Instant,
    /// When the response was cut off.
    pub cut_off_at: Instant,
    /// The kind of the run that was cut off.
    pub run_kind: RunKind,
}

/// What the quarantine of a content rests on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineEvidence {
    /// Fingerprint of the request's content.
    pub content: ContentFingerprint,
    /// How long the content must not run.
    pub time_left: Duration,
    /// What speaks against the content being the cause; `None` if nothing does.
    pub doubt: Option<Doubt>,
    /// The crashes that count against the content, the first one first.
    pub crashes: Vec<CrashReport>,
    /// Other contents that ran at one of these servers when it crashed; at most
    /// [`MAX_OTHER_CONTENTS`].
    pub other_contents: Vec<ContentFingerprint>,
}
