//! The crashes of backend servers under one request content.

use std::time::{Duration, Instant};

use foxwheel_core::ids::{ContentFingerprint, ServiceName};

use crate::quarantine::{RunKind, CRASHES_TO_QUARANTINE};
use crate::zone_loads::ServerFingerprint;

/// Time between two crashes from which on they count as separate failures, even if the request was
/// sent to both servers before the first one crashed. The simultaneous loss of many servers is
/// observed by all processes within tens of milliseconds.
pub const MIN_CRASH_SEPARATION: Duration = Duration::from_millis(250);

/// Maximum number of crashes kept per content.
const MAX_CRASHES: usize = 8;

/// A crash that this process keeps.
#[derive(Debug, Clone)]
pub struct Crash {
    /// The server instance that crashed.
    pub server: ServerFingerprint,
    /// The server's service.
    pub service: ServiceName,
    /// When the request was sent to the server.
    pub sent_at: Instant,
    /// When the server crashed.
    pub at: Instant,
    /// The content was cleared by a complete response after the crash.
    pub cleared: bool,
    /// This process observed the crash itself.
    pub observed_locally: bool,
    /// [`RunKind::Online`] if any of the runs that were cut off was an online request.
    pub run_kind: RunKind,
}

/// A content and the crashes of servers that ran it.
#[derive(Debug, Clone)]
pub struct SuspectedContent {
    /// Fingerprint of the request's content.
    pub content: ContentFingerprint,
    /// Sorted by server; never empty, at most [`MAX_CRASHES`].
    pub crashes: Vec<Crash>,
    /// Number of successive crashes that the last [`QuarantineEvidence`] listed; 0 before the
    /// first one.
    ///
    /// [`QuarantineEvidence`]: super::QuarantineEvidence
    pub reported_crash_count: usize,
}

impl SuspectedContent {
    /// Returns the crashes that count against the content: those of online requests, which it was not
    /// cleared of.
    pub fn counted_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.uncleared_crashes()
            .filter(|crash| crash.run_kind == RunKind::Online)
    }

    fn uncleared_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| !crash.cleared)
    }

    /// Returns whether enough servers crashed under the content, whatever the kind of the runs, to
    /// hold a batch item with it back.
    pub fn holds_items(&self) -> bool {
        successive(self.uncleared_crashes()).len() >= CRASHES_TO_QUARANTINE
    }

    /// Returns the time of the last crash that the content was not cleared of.
    pub fn last_crash_at(&self) -> Option<Instant> {
        self.uncleared_crashes().map(|crash| crash.at).max()
    }

    /// Returns the crash of `server` under the content, or `None` if the content did not run there.
    pub fn crash_of(&self, server: ServerFingerprint) -> Option<&Crash> {
        let found = self
            .crashes
            .binary_search_by_key(&server, |crash| crash.server);
        found.ok().map(|at| &self.crashes[at])
    }

    /// Returns the time of the last crash that counts against the content.
    pub fn last_counted_at(&self) -> Option<Instant> {
        self.counted_crashes().map(|crash| crash.at).max()
    }

    /// Returns the servers whose crashes count against the content and were successive.
    pub fn successive_crashes(&self) -> Vec<ServerFingerprint> {
        successive(self.counted_crashes())
    }

    /// Returns whether enough servers crashed under the content to quarantine it.
    pub fn has_quarantining_crashes(&self) -> bool {
        self.successive_crashes().len() >= CRASHES_TO_QUARANTINE
    }

    /// Adds a crash, or merges it with the known one of the same server. Returns whether that
    /// changed anything.
    pub fn add_crash(&mut self, crash: Crash) -> bool {
        let found = self
            .crashes
            .binary_search_by_key(&crash.server, |known| known.server);
        match found {
            Ok(at) => {
                let known = &mut self.crashes[at];
                let is_newly_online =
                    crash.run_kind == RunKind::Online && known.run_kind != RunKind::Online;
                let is_new = is_newly_online || (crash.cleared && !known.cleared);
                if is_newly_online {
                    known.run_kind = RunKind::Online;
                    known.sent_at = crash.sent_at;
                    known.at = crash.at;
                }
                known.cleared |= crash.cleared;
                known.observed_locally |= crash.observed_locally;
                is_new
            }
            Err(at) => {
                self.crashes.insert(at, crash);
                if self.crashes.len() > MAX_CRASHES {
                    self.drop_least_relevant();
                }
                true
            }
        }
    }

    /// Drops the oldest crash, preferably one that is not counted as successive.
    fn drop_least_relevant(&mut self) {
        let counted = self.successive_crashes();
        let all = successive(self.uncleared_crashes());
        let crashes = self.crashes.iter().enumerate();
        let least = crashes.min_by_key(|(_, crash)| {
            let (is_counted, is_successive) =
                (counted.contains(&crash.server), all.contains(&crash.server));
            (is_counted, is_successive, crash.at)
        });
        if let Some((at, _)) = least {
            self.crashes.remove(at);
        }
    }

    /// Returns the number of crashes that count against the content and the time of the last crash.
    /// The content with the lowest value is dropped first.
    pub fn eviction_rank(&self) -> (usize, Option<Instant>) {
        (
            self.counted_crashes().count(),
            self.crashes.iter().map(|crash| crash.at).max(),
        )
    }
}

/// Returns the servers whose crashes were successive: the request was sent after the previous
/// crash, or the server crashed at least [`MIN_CRASH_SEPARATION`] later. Servers that are lost
/// together, each while running a popular content, count as one.
fn successive<'a>(crashes: impl Iterator<Item = &'a Crash>) -> Vec<ServerFingerprint> {
    let mut crashes: Vec<&Crash> = crashes.collect();
    crashes.sort_unstable_by_key(|crash| crash.at);
    let mut successive = Vec::new();
    let mut last = None;
    for crash in crashes {
        let is_next = last.is_none_or(|last: Instant| {
            crash.sent_at >= last || crash.at >= last + MIN_CRASH_SEPARATION
        });
        if is_next {
            successive.push(crash.server);
            last = Some(crash.at);
        }
    }
    successive
}
