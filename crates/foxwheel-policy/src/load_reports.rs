//! When a process reports its load to the other processes.
//!
//! Load pattern: steps of traffic close to the capacity of a zone, spread over several fronts
//! that choose servers by each other's load. Fronts that exchange loads only every 25 ms send a
//! tenth of the requests to servers that others have just filled. So each change is reported
//! immediately to the processes that choose among the same servers, and periodic full reports
//! make up for lost datagrams.

use std::time::{Duration, Instant};

/// Interval between full reports within a zone.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a report after which a process counts as dead: five heartbeats between workers
/// of different zones, so that one or two lost datagrams have no effect.
pub const DEAD_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Number of reports within the zone per report between workers of different zones, where
/// traffic is charged by the byte: one every 300 ms.
pub const REPORTS_PER_REMOTE_REPORT: u64 = 3;

/// Largest number of processes in the zone to which every report is sent. In a larger zone,
/// every report goes only to the representatives and to those that selected this process as
/// one. The others get every third report, because load changes still reach them immediately:
/// with 50 processes in a zone, full reports to all of them were half of the bytes that a front
/// sent.
pub const MAX_FULL_RATE_RECIPIENTS: usize = 8;

/// Number of reports to the representatives per report to all processes of a larger zone: one
/// every 300 ms.
pub const REPORTS_PER_ZONE_WIDE_REPORT: u64 = 3;

/// Returns whether report `number` goes to all processes of the zone, of which there are
/// `recipients`.
pub fn is_zone_wide(number: u64, recipients: usize) -> bool {
    recipients <= MAX_FULL_RATE_RECIPIENTS || number % REPORTS_PER_ZONE_WIDE_REPORT == 1
}

/// Number of reports within the zone per load summary that the primary representative sends to
/// other zones: one every 200 ms. The receiving zone distributes it with its next report, so
/// that the view of another zone is as old as if every process reported to every other one every
/// 300 ms.
pub const REPORTS_PER_SUMMARY: u64 = 2;

/// The same for the secondary representative, whose summaries arrive while the path from the
/// primary is cut: one every 600 ms, well within the time after which a zone counts as silent.
pub const REPORTS_PER_SECONDARY_SUMMARY: u64 = 6;

/// How long the primary representative may relay no summary of another zone before the secondary
/// relays the ones it received.
pub const SECONDARY_RELAY_DELAY: Duration = Duration::from_millis(500);

/// Minimum interval between two reports of a process to another zone at whose servers it has
/// requests. It is the same as within the zone, because the processes there use these loads in
/// the same way to choose servers.
pub const MIN_CROSS_ZONE_LOADS_INTERVAL: Duration = MIN_CHANGES_INTERVAL;

/// Minimum interval between two reports of load changes; changes in between are combined into
/// one report. A shorter interval gains fronts almost nothing: between views that are 5 ms and
/// 1 ms old, 1 in 100 requests more is in time (`foxwheel-load model`), and at 1,600 requests
/// per second this interval halves the number of datagrams.
pub const MIN_CHANGES_INTERVAL: Duration = Duration::from_millis(2);

/// Size of a report up to which the intervals above apply: one packet on the usual path. Larger
/// reports are sent proportionally less often, which bounds the bytes per second.
const PACKET_BYTES: usize = 1_400;

/// Returns the minimum delay of the next full report after one of `bytes` bytes.
pub fn min_delay_after(bytes: usize) -> Duration {
    let packets = bytes.div_ceil(PACKET_BYTES).max(1) as u32;
    HEARTBEAT_INTERVAL * (packets - 1)
}

/// Limits the rate of load change reports.
#[derive(Debug, Clone, Copy)]
pub struct ReportTimer {
    min_interval: Duration,
    /// Earliest time of the next report; `None` before the first one.
    next_at: Option<Instant>,
}

impl ReportTimer {
    /// Creates a timer for reports that are at least `min_interval` apart. The first report is
    /// due immediately.
    pub fn new(min_interval: Duration) -> Self {
        Self {
            min_interval,
            next_at: None,
        }
    }

    /// Returns the earliest time of the next report, or `None` if none was sent yet.
    pub fn next_at(&self) -> Option<Instant> {
        self.next_at
    }

    /// Returns whether a report may be sent at `now`.
    pub fn is_due(&self, now: Instant) -> bool {
        self.next_at.is_none_or(|at| at <= now)
    }

    /// Records that a report was sent at `now`.
    pub fn record_report(&mut self, now: Instant) {
        self.next_at = Some(now + self.min_interval);
    }
}
