//! When callers that were refused for lack of slots come back.
//!
//! Load pattern: a step of traffic, or all callers at once after a loss of hosts, fills every
//! slot within a second. Callers that are all told the same short time return together into
//! the same full servers and are refused for good, as most come back only once. Told to come
//! one after the other, as fast as slots are freed, each finds one.

use std::time::{Duration, Instant};

/// Least time that a refused caller is told, for services whose requests end sooner: a round
/// trip and a look at the servers.
const LEAST: Duration = Duration::from_millis(100);

/// Most time from a refusal to the first return; more would keep callers of slow services
/// away from slots that are freed meanwhile.
const MOST_TO_FIRST: Duration = Duration::from_millis(800);

/// Most time that a refused caller is told. Callers that wait about 5 s for an answer follow
/// a time of up to a third of what they have left.
const MOST: Duration = Duration::from_millis(1_500);

/// Return times beyond the most are spread over this part of it, from its end.
const SPREAD: f64 = 0.5;

/// How fast slots are freed for the callers of one front.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotSupply {
    /// Slots of all servers that may take the requests.
    pub slots: u32,
    /// How long a request holds its slot.
    pub hold_time: Duration,
    /// Fronts that share the servers, this one included; at least 1.
    pub fronts: usize,
}

impl SlotSupply {
    /// Time from one freed slot to the next, as far as this front's share goes.
    fn between_slots(&self) -> Duration {
        let slots = self.slots.max(1);
        self.hold_time * self.fronts.max(1) as u32 / slots
    }
}

/// The return times told to refused callers of one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetrySchedule {
    /// When the last refused caller was told to come back.
    last: Option<Instant>,
}

impl RetrySchedule {
    /// When the caller that is refused now should come back. `draw`, from 0 to 1, spreads
    /// those for whom no slot will be free in time.
    pub fn next_retry_after(&mut self, supply: SlotSupply, draw: f64, now: Instant) -> Duration {
        // By then every slot that is taken now was freed.
        let earliest = now + supply.hold_time.clamp(LEAST, MOST_TO_FIRST);
        let after_last = self.last.map(|last| last + supply.between_slots());
        let at = after_last.map_or(earliest, |at| at.max(earliest));
        if at > now + MOST {
            return MOST.mul_f64(1.0 - SPREAD * draw);
        }
        self.last = Some(at);
        at - now
    }
}
