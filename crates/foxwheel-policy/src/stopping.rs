//! The steps of a planned stop of a front.
//!
//! Load pattern: callers go on sending for as long as no other front of their zone is
//! ready, also shortly before the process must be gone. A request taken too late would be
//! cut in the middle of its answer.

use std::time::{Duration, Instant};

/// How long a stopping front still takes new connections without closing idle ones: the
/// platform asks once a second and needs two refusals to send callers elsewhere.
const ANNOUNCE: Duration = Duration::from_millis(3_000);

/// Time kept for the requests taken last: several times a usual generation (0.7 to 1.5 s).
const LAST_ANSWERS: Duration = Duration::from_millis(3_000);

/// Left of the time to stop when the process ends: it must be gone before it is killed.
const MARGIN: Duration = Duration::from_millis(500);

/// When a stopping front does what. The moments never come in another order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// Idle connections are closed.
    pub close_idle_at: Instant,
    /// New requests are refused as not run.
    pub refuse_from: Instant,
    /// The process ends, whatever is still under way.
    pub end_at: Instant,
}

impl StopPlan {
    /// The plan of a front that was told to stop at `told_at` and is killed after `grace`.
    pub fn new(told_at: Instant, grace: Duration) -> Self {
        let usable = grace.saturating_sub(MARGIN);
        Self {
            close_idle_at: told_at + ANNOUNCE.min(usable / 2),
            refuse_from: told_at + usable.saturating_sub(LAST_ANSWERS).max(usable / 2),
            end_at: told_at + usable,
        }
    }
}
