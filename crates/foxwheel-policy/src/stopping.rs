//! The schedule of a planned stop of a front.
//!
//! Load pattern: callers keep sending while no other front of their zone is ready, even shortly
//! before the process has to exit. A request accepted too late would be cut off in the middle
//! of its response.

use std::time::{Duration, Instant};

/// How long a stopping front accepts new connections and keeps idle ones open: the platform
/// checks readiness once a second and redirects callers after two negative checks.
const ANNOUNCEMENT_TIME: Duration = Duration::from_millis(3_000);

/// Time reserved for the requests accepted last: several times the usual length of a generation
/// (0.7 to 1.5 s).
const COMPLETION_TIME: Duration = Duration::from_millis(3_000);

/// Time left when the process exits, so that it is gone before it is killed.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// The times of the steps of a front's stop, always in the order of the fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// When idle connections are closed.
    pub close_idle_at: Instant,
    /// From when on new requests are refused as not run.
    pub refuse_from: Instant,
    /// When the process exits, even if requests are still in flight.
    pub end_at: Instant,
}

impl StopPlan {
    /// Creates the plan of a front that is asked to stop at `requested_at` and is killed after
    /// `grace`.
    pub fn new(requested_at: Instant, grace: Duration) -> Self {
        let usable = grace.saturating_sub(EXIT_MARGIN);
        Self {
            close_idle_at: requested_at + ANNOUNCEMENT_TIME.min(usable / 2),
            refuse_from: requested_at + usable.saturating_sub(COMPLETION_TIME).max(usable / 2),
            end_at: requested_at + usable,
        }
    }
}
