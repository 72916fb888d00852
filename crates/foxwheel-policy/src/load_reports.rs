//! When a process tells the others of its load.
//!
//! Load pattern: steps of traffic near what a zone's servers carry, spread over several fronts
//! that choose servers by each other's load. Fronts that hear of each other every 25 ms send a
//! tenth of the requests to servers that others have just filled. So each change is told at
//! once to those who choose among the same servers, and a whole report now and then makes
//! good what was lost on the way.

use std::time::{Duration, Instant};

/// Time between whole reports within a zone.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Silence after which a process counts as dead: five heartbeats between workers of different
/// zones, so that a lost datagram or two changes nothing.
pub const DEAD_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Reports within the zone for each one between workers of different zones, whose bytes are
/// priced: every 300 ms.
pub const REPORTS_PER_REMOTE_REPORT: u64 = 3;

/// Processes of the zone that are all told by each report. In a larger zone only the speakers
/// and those who named this process as one are; the others with every third report, as changes
/// of load reach them at once all the same: with 50 processes a zone, whole reports to all of
/// them took half of the bytes that a front sent.
pub const MAX_FULL_RATE_RECIPIENTS: usize = 8;

/// Reports to the speakers for each one to all processes of a larger zone: every 300 ms.
pub const REPORTS_PER_ZONE_WIDE_REPORT: u64 = 3;

/// Whether the report of that number goes to all processes of the zone, of which there are
/// `recipients`.
pub fn is_zone_wide(number: u64, recipients: usize) -> bool {
    recipients <= MAX_FULL_RATE_RECIPIENTS || number % REPORTS_PER_ZONE_WIDE_REPORT == 1
}

/// Reports within the zone for each summary that a zone's speaker sends to other zones: every
/// 200 ms. It is then passed on with the next report, so views of other zones are as old as if
/// each process told each every 300 ms.
pub const REPORTS_PER_SUMMARY: u64 = 2;

/// The same for the zone's second speaker, whose summaries arrive where the path from the first
/// one is cut: every 600 ms, well within the time after which a zone counts as silent.
pub const REPORTS_PER_SECONDARY_SUMMARY: u64 = 6;

/// How long a zone's first speaker may pass on nothing of another zone before the second one
/// passes on what it heard of it.
pub const SECONDARY_RELAY_DELAY: Duration = Duration::from_millis(500);

/// Least time between two reports of a process's load to another zone at whose servers it has
/// requests: as within the zone, since those who choose there count them in the same way.
pub const MIN_CROSS_ZONE_LOADS_INTERVAL: Duration = MIN_CHANGES_INTERVAL;

/// Least time between two reports of changes; what changes meanwhile is told together. Below
/// it fronts hardly gain: views of 5 ms and of 1 ms differ by 1 in 100 requests in time
/// (`foxwheel-load model`), and at 1,600 requests a second it halves the datagrams.
pub const MIN_CHANGES_INTERVAL: Duration = Duration::from_millis(2);

/// Bytes of a report up to which the times above hold: one packet on the usual path. A larger
/// one is sent as many times more rarely, so that the bytes a second stay bounded.
const USUAL_BYTES: usize = 1_400;

/// The least time until the next whole report after one of `bytes`.
pub fn min_delay_after(bytes: usize) -> Duration {
    let packets = bytes.div_ceil(USUAL_BYTES).max(1) as u32;
    HEARTBEAT_INTERVAL * (packets - 1)
}

/// When changes of load are told.
#[derive(Debug, Clone, Copy)]
pub struct ReportTimer {
    gap: Duration,
    /// Earliest time of the next report of changes; none before the first.
    next_at: Option<Instant>,
}

impl ReportTimer {
    /// A clock for reports that are at least `gap` apart; the first one is due.
    pub fn new(gap: Duration) -> Self {
        Self { gap, next_at: None }
    }

    /// When changes may be told; none if at once.
    pub fn next_at(&self) -> Option<Instant> {
        self.next_at
    }

    /// Whether changes may be told now.
    pub fn is_due(&self, now: Instant) -> bool {
        self.next_at.is_none_or(|at| at <= now)
    }

    /// Takes note that changes were told.
    pub fn record_report(&mut self, now: Instant) {
        self.next_at = Some(now + self.gap);
    }
}
