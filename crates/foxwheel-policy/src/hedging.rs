//! When a request is sent to a second backend server while the first one is silent.
//!
//! Load pattern: a sound server sends nothing for a second or so and goes on, or a hung one never
//! does. The two cannot be told apart while they are silent. The second server may have no free slot,
//! reject the request, or be silent as well. The first one is therefore kept until the second has
//! accepted the request, and to the end if no second one may run it.

use std::time::{Duration, Instant};

use crate::retry::Attempts;

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AwaitedPart {
    /// The head of the response.
    Head,
    /// Data of the body.
    Data,
}

/// How long a response head may be missing: many times the usual response time, and a third of the
/// time that a caller usually waits.
const HEAD_PATIENCE: Duration = Duration::from_millis(1_200);

/// How long a stream may pause: several times the longest pause that callers count as on time, and far
/// below the time after which they give up.
const DATA_PATIENCE: Duration = Duration::from_millis(900);

/// Delay before the second server is looked for again after a first refusal. It doubles with each
/// further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long two servers may have one request: many times the usual response time, and long enough for
/// a rejection. After it, the first server is given up if it is still silent, else the second one.
pub const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// Patience, in multiples of the usual one, before a silent server is used as the second one, be it
/// another one or the same. Until then it is more likely to go on with what it has.
const SILENT_SERVER_PATIENCE: u32 = 2;

/// A timer that fires so late shows that the process itself stood still.
const LATE_TIMER: Duration = Duration::from_millis(100);

impl AwaitedPart {
    /// Returns how long a server may be silent before a second one is tried.
    pub fn patience(self) -> Duration {
        match self {
            Self::Head => HEAD_PATIENCE,
            Self::Data => DATA_PATIENCE,
        }
    }
}

/// When a second server is tried beside a silent one.
#[derive(Debug, Clone)]
pub struct HedgePlan {
    next_attempt_at: Instant,
    silent_servers_from: Instant,
    is_postponed: bool,
    retry_delay: Duration,
}

impl HedgePlan {
    /// Creates the plan of a request that waits for its server since `waits_since`.
    pub fn new(awaited: AwaitedPart, waits_since: Instant) -> Self {
        Self {
            next_attempt_at: waits_since + awaited.patience(),
            silent_servers_from: waits_since + awaited.patience() * SILENT_SERVER_PATIENCE,
            is_postponed: false,
            retry_delay: FIRST_RETRY_DELAY,
        }
    }

    /// Returns when to try a second server if the first one is still silent then; `None` if the
    /// request may not run once more, so that it waits for the first one alone.
    pub fn next_attempt_at(&self, attempts: &Attempts) -> Option<Instant> {
        attempts.may_run_again().then_some(self.next_attempt_at)
    }

    /// Postpones an attempt that is late, once. The process stood still, and what the first server sent
    /// meanwhile may not have been read yet. Returns whether the attempt is postponed.
    pub fn postpone_late_attempt(&mut self, now: Instant) -> bool {
        let is_late = now >= self.next_attempt_at + LATE_TIMER;
        if !is_late || self.is_postponed {
            return false;
        }
        self.is_postponed = true;
        self.next_attempt_at = now + FIRST_RETRY_DELAY;
        true
    }

    /// Returns whether the second run may be at a silent server, the first one included, if there is
    /// no other.
    pub fn may_use_silent_servers(&self, now: Instant) -> bool {
        now >= self.silent_servers_from
    }

    /// Records that no second server ran the request.
    pub fn record_refusal(&mut self, now: Instant) {
        self.next_attempt_at = now + self.retry_delay;
        self.retry_delay *= 2;
    }
}
