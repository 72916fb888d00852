//! Which backend server takes a request, and when none should.
//!
//! Load pattern: steps of five times the trough every few seconds against engines that
//! batch a fixed number of requests and queue the rest in order of arrival. A request
//! that queues behind a full engine misses its target, so the least loaded engine is
//! taken, the caller's own zone first.

use std::time::Duration;

use foxwheel_core::ids::{Incarnation, ServerId, Zone};
use serde::{Deserialize, Serialize};

use crate::membership::ServerInstance;

/// What is known of one server at the time of a choice.
#[derive(Debug, Clone, Default)]
pub struct Candidate {
    /// The server.
    pub id: ServerId,
    /// Tells its starts apart.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: Zone,
    /// Requests it runs at once; at least 1.
    pub slots: u32,
    /// Requests in flight there: this process's own and what peers last told.
    pub in_flight: u32,
    /// Batch items among `in_flight`.
    pub batch_in_flight: u32,
    /// Batch items of this process's own among `batch_in_flight`.
    pub own_batch_in_flight: u32,
    /// Its list entry vanished a moment ago.
    pub entry_expired: bool,
    /// It has been silent or could not be connected to lately.
    pub suspect: bool,
    /// The share of requests that it is expected to fail, from 0 to 1.
    pub failure_rate: f64,
    /// This process gives out its batch slots.
    pub is_slot_manager: bool,
}

impl Candidate {
    /// The start of the server that is meant.
    pub fn instance(&self) -> ServerInstance {
        ServerInstance {
            id: self.id.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// Load, as a share of a server's slots, that a server in another zone must be below a
/// local one to be preferred. What is known of other zones is 0.3 s old, so fronts that go
/// there readily fill the same servers together: with 0.25 instead 3.1% of the requests of a
/// small fleet had their first token after 300 ms, with 0.45 0.8% (`foxwheel-load model`).
const CROSS_ZONE_PENALTY: f64 = 0.45;

/// Ranks lapsed servers behind all others that are not suspect.
const LAPSED_PENALTY: f64 = 4.0;

/// Load, as a share of a server's slots, that a server which fails every request counts as
/// more than it has. One that fails two in five ranks behind sound ones that are full, and
/// before none at all: a failed request is lost or runs again.
const FAILURE_PENALTY: f64 = 4.0;

/// Ranks suspect servers last.
const SUSPECT_PENALTY: f64 = 16.0;

/// Requests beyond its slots, as a share of them, with which a server is still given online
/// work. A longer queue makes all of them late: on a fleet with steps a third above what it
/// carries 55% of the requests were in time with a half, 64% with a quarter, and 0.5% instead
/// of none were refused twice (`foxwheel-load model`).
const ONLINE_QUEUE_SHARE: f64 = 0.25;

/// What a batch item counts of an online request where an online request is placed: it is
/// taken off within tens of milliseconds once online requests exceed the slots, while an
/// online request holds its slot for half a second. Counted whole, requests of a full zone
/// queued behind each other beside zones that batch filled: 0.6% of a small fleet's requests
/// were late, 0.1% with this (`foxwheel-load model`).
const BATCH_WEIGHT: f64 = 0.2;

/// A server with a free slot is found for most requests of a trough, so that few stop a run.
const KEEPER_RESERVE_SHARE: f64 = 1.0 / 8.0;

/// Workers that see one free slot at a server whose slots none of them gives out would all
/// fill it before they hear of each other.
const GUEST_RESERVE_SHARE: f64 = 1.0 / 2.0;

/// How far servers are filled. The processes use the default; the load model weighs others.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FillLimits {
    /// Requests beyond its slots, as a share of them, with which a server is still given
    /// online work.
    pub online_queue_share: f64,
    /// What a batch item counts of an online request where an online request is placed.
    pub batch_weight: f64,
    /// Share of a server's slots that batch items leave free for online requests that come
    /// before the next look at its load; one slot at least.
    pub keeper_reserve_share: f64,
    /// The same at a server whose batch slots another worker gives out.
    pub guest_reserve_share: f64,
}

impl Default for FillLimits {
    fn default() -> Self {
        Self {
            online_queue_share: ONLINE_QUEUE_SHARE,
            batch_weight: BATCH_WEIGHT,
            keeper_reserve_share: KEEPER_RESERVE_SHARE,
            guest_reserve_share: GUEST_RESERVE_SHARE,
        }
    }
}

impl FillLimits {
    /// Picks the server for an online request. `draw` breaks ties. None when every server is
    /// at its slots and queue allowance: the request would miss its target anywhere.
    pub fn pick_online<'a>(
        &self,
        candidates: &'a [Candidate],
        own_zone: &str,
        draw: usize,
    ) -> Option<&'a Candidate> {
        let cost = |one: &Candidate| share(self.online_load(one), one) + surcharge(one, own_zone);
        let best = cheapest(candidates, draw, cost)?;
        let limit = f64::from(best.slots) * (1.0 + self.online_queue_share);
        (self.online_load(best) < limit).then_some(best)
    }

    /// Picks the server for a batch item: one with a slot that online work leaves free and
    /// the reserve besides. None when there is none; the item waits.
    pub fn pick_batch<'a>(
        &self,
        candidates: &'a [Candidate],
        own_zone: &str,
        draw: usize,
    ) -> Option<&'a Candidate> {
        let has_room =
            |one: &Candidate| !one.suspect && one.in_flight + self.reserve(one) < one.slots;
        let cost = |one: &Candidate| match has_room(one) {
            true => cost(one, own_zone),
            false => f64::INFINITY,
        };
        cheapest(candidates, draw, cost).filter(|best| has_room(best))
    }

    /// The load at a server that an online request meets, in online requests.
    fn online_load(&self, candidate: &Candidate) -> f64 {
        let batch = f64::from(candidate.batch_in_flight);
        f64::from(candidate.in_flight) - batch * (1.0 - self.batch_weight)
    }

    /// Slots that batch items leave free at a server. A server with a single slot has none to
    /// spare: batch items run there while it is idle.
    fn reserve(&self, candidate: &Candidate) -> u32 {
        let share = match candidate.is_slot_manager {
            true => self.keeper_reserve_share,
            false => self.guest_reserve_share,
        };
        let reserve = (f64::from(candidate.slots) * share).ceil() as u32;
        reserve.min(candidate.slots.saturating_sub(1))
    }
}

/// Picks the server for an online request with the usual limits.
pub fn pick_online<'a>(
    candidates: &'a [Candidate],
    own_zone: &str,
    draw: usize,
) -> Option<&'a Candidate> {
    FillLimits::default().pick_online(candidates, own_zone, draw)
}

/// Picks the server for a batch item with the usual limits.
pub fn pick_batch<'a>(
    candidates: &'a [Candidate],
    own_zone: &str,
    draw: usize,
) -> Option<&'a Candidate> {
    FillLimits::default().pick_batch(candidates, own_zone, draw)
}

/// Longest wait behind a full server that is expected: beyond it silence is a fault.
const LONGEST_EXPECTED_WAIT: Duration = Duration::from_secs(2);

/// How long a request sent to `candidate` waits for a slot there, if each request holds one
/// for `hold_time`.
pub fn expected_wait(candidate: &Candidate, hold_time: Duration) -> Duration {
    let slots = candidate.slots.max(1);
    let ahead = (candidate.in_flight + 1).saturating_sub(slots);
    let wait = hold_time * ahead / slots;
    wait.min(LONGEST_EXPECTED_WAIT)
}

/// Age below which a batch run is not stopped. A run started a moment ago costs its slot
/// for a few milliseconds more, but stopping it wastes its prompt and its connection, and
/// an item that fails at once would fail again and again without ever being heard.
pub const MIN_RUN_TIME: Duration = Duration::from_millis(120);

/// Pause before a stopped item runs again, so that it does not return into the same step.
pub const PREEMPTED_RETRY_DELAY: Duration = Duration::from_millis(150);

/// This process's batch items to take off a server so that its online requests have
/// slots: its share of what all processes have there, rounded up.
pub fn batch_items_to_preempt(candidate: &Candidate) -> u32 {
    let over = candidate.in_flight.saturating_sub(candidate.slots);
    let excess = over.min(candidate.batch_in_flight);
    let share = (excess * candidate.own_batch_in_flight).div_ceil(candidate.batch_in_flight.max(1));
    share.min(candidate.own_batch_in_flight)
}

/// The server at which a request waits least, whether or not it has a slot: for callers
/// whose servers keep a queue of their own and refuse when that is full. `draw` breaks ties.
pub fn least_loaded<'a>(
    candidates: &'a [Candidate],
    own_zone: &str,
    draw: usize,
) -> Option<&'a Candidate> {
    cheapest(candidates, draw, |one| cost(one, own_zone))
}

/// The candidate that costs least; of equals the first from the one that `draw` means on.
fn cheapest(
    candidates: &[Candidate],
    draw: usize,
    cost: impl Fn(&Candidate) -> f64,
) -> Option<&Candidate> {
    let count = candidates.len();
    (0..count)
        .map(|step| &candidates[(draw + step) % count])
        .min_by(|a, b| cost(a).total_cmp(&cost(b)))
}

fn cost(candidate: &Candidate, own_zone: &str) -> f64 {
    share(f64::from(candidate.in_flight), candidate) + surcharge(candidate, own_zone)
}

/// A load as a share of a server's slots.
fn share(load: f64, candidate: &Candidate) -> f64 {
    load / f64::from(candidate.slots.max(1))
}

/// What speaks against a server beside its load, as a share of its slots.
fn surcharge(candidate: &Candidate, own_zone: &str) -> f64 {
    let mut surcharge = candidate.failure_rate * FAILURE_PENALTY;
    if candidate.zone != own_zone {
        surcharge += CROSS_ZONE_PENALTY;
    }
    if candidate.entry_expired {
        surcharge += LAPSED_PENALTY;
    }
    if candidate.suspect {
        surcharge += SUSPECT_PENALTY;
    }
    surcharge
}
