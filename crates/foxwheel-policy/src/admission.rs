//! Retry times for callers that were refused because every slot was taken.
//!
//! Load pattern: a step of traffic, or all callers retrying together after hosts are lost, fills
//! every slot within a second. If all refused callers get the same short retry time, they come
//! back together, find the servers full again and are refused for good, because most of them
//! retry only once. Retry times are therefore staggered at the rate at which slots are freed,
//! so that each caller finds a free one.

use std::time::{Duration, Instant};

/// Shortest retry time, for services with shorter requests: a round trip and one selection of
/// a server.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest retry time of the first refused caller. A longer one would keep callers of slow
/// services away from slots that are freed in the meantime.
const MAX_FIRST_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Longest retry time of any refused caller. Callers that wait about 5 s for a response accept
/// a retry time of up to a third of the time they have left.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// Retry times that would exceed [`MAX_RETRY_AFTER`] are spread over this fraction at its end.
const SPREAD_FRACTION: f64 = 0.5;

/// The rate at which slots are freed for the callers of one front.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotSupply {
    /// Slots of all servers that may take the requests.
    pub slots: u32,
    /// How long a request occupies its slot.
    pub hold_time: Duration,
    /// Number of fronts that share the servers, including this one; at least 1.
    pub fronts: usize,
}

impl SlotSupply {
    /// Returns the average time between two freed slots of this front's share.
    fn slot_interval(&self) -> Duration {
        let slots = self.slots.max(1);
        self.hold_time * self.fronts.max(1) as u32 / slots
    }
}

/// The retry times given to refused callers of one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetrySchedule {
    /// The latest time at which a refused caller was told to retry.
    last_retry_at: Option<Instant>,
}

impl RetrySchedule {
    /// Returns how long the caller refused at `now` should wait before it retries.
    ///
    /// `draw`, from 0 to 1, spreads the callers for which no slot becomes free within the longest
    /// retry time, 1.5 s.
    pub fn next_retry_after(&mut self, supply: SlotSupply, draw: f64, now: Instant) -> Duration {
        // Every request that holds a slot now has ended by then.
        let earliest = now
            + supply
                .hold_time
                .clamp(MIN_RETRY_AFTER, MAX_FIRST_RETRY_AFTER);
        let after_last = self.last_retry_at.map(|last| last + supply.slot_interval());
        let at = after_last.map_or(earliest, |at| at.max(earliest));
        if at > now + MAX_RETRY_AFTER {
            return MAX_RETRY_AFTER.mul_f64(1.0 - SPREAD_FRACTION * draw);
        }
        self.last_retry_at = Some(at);
        at - now
    }
}
