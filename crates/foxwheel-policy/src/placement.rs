//! Selection of the backend server for a request, or of none if all are too full.
//!
//! Load pattern: every few seconds, steps of five times the lowest traffic against engines that
//! run a fixed number of requests as one batch and queue the others in order of arrival. A
//! request that is queued behind a full engine misses its latency target, so the least loaded
//! engine is selected, preferably in the caller's own zone.

use std::time::Duration;

use foxwheel_core::ids::{Incarnation, ServerId, Zone};
use serde::{Deserialize, Serialize};

use crate::membership::ServerInstance;

/// What a process knows about a server when it selects one.
#[derive(Debug, Clone, Default)]
pub struct Candidate {
    /// The server's id.
    pub id: ServerId,
    /// Distinguishes the server's instances.
    pub incarnation: Incarnation,
    /// The server's availability zone.
    pub zone: Zone,
    /// Number of requests that the server runs concurrently; at least 1.
    pub slots: u32,
    /// Requests in flight at the server: those of this process and those that peers last reported.
    pub in_flight: u32,
    /// Batch items included in `in_flight`.
    pub batch_in_flight: u32,
    /// Batch items of this process included in `batch_in_flight`.
    pub own_batch_in_flight: u32,
    /// The server's list entry was removed recently and may only have expired.
    pub entry_expired: bool,
    /// The server recently did not respond, or no connection to it could be opened.
    pub is_suspected: bool,
    /// Expected share of requests that fail at the server, from 0 to 1.
    pub failure_rate: f64,
    /// This process is the slot manager of the server: it assigns the server's batch slots.
    pub is_slot_manager: bool,
}

impl Candidate {
    /// Returns the server instance of the candidate.
    pub fn instance(&self) -> ServerInstance {
        ServerInstance {
            id: self.id.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// Load added to a server in another zone, as a share of its slots: a remote server is preferred
/// only if its load is lower than that of the local ones by more than this. Loads of other zones
/// are 0.3 s old, so fronts that select remote servers too readily all fill the same ones: with
/// 0.25, 3.1% of the requests of a small fleet had their first token after 300 ms; with 0.45,
/// 0.8% (`foxwheel-load model`).
const CROSS_ZONE_PENALTY: f64 = 0.45;

/// Load added to a server with an expired entry, so that it ranks behind all others that are not
/// suspected.
const EXPIRED_ENTRY_PENALTY: f64 = 4.0;

/// Load added to a server that fails every request, as a share of its slots; at lower failure
/// rates proportionally less. A server that fails two in five requests ranks behind full servers
/// without failures, because a failed request is lost or has to run again, but it is still used
/// if there is no other.
const FAILURE_PENALTY: f64 = 4.0;

/// Load added to a suspected server, so that it ranks last.
const SUSPECT_PENALTY: f64 = 16.0;

/// Length of a server's queue, as a share of its slots, up to which it still gets online
/// requests. A longer queue makes all of them late: on a fleet with traffic steps a third above
/// its capacity, 55% of the requests were in time with a half and 64% with a quarter, while with
/// a quarter 0.5% instead of none were refused twice (`foxwheel-load model`).
const ONLINE_QUEUE_SHARE: f64 = 0.25;

/// The same for a request that goes on with a stream of which its caller has a part. Only servers of
/// one version can serve it, and what the caller was sent so far is lost if none does, while a new
/// request can be served elsewhere or a moment later.
const RESUMED_QUEUE_SHARE: f64 = 1.0;

/// Weight of a batch item, relative to an online request, in the load that an online request is
/// placed by. Batch items are preempted within tens of milliseconds once online requests exceed
/// the slots, while an online request holds its slot for half a second. With a weight of 1,
/// online requests queued in a full zone while other zones were filled only by batch items: 0.6%
/// of a small fleet's requests were late, 0.1% with this weight (`foxwheel-load model`).
const BATCH_WEIGHT: f64 = 0.2;

/// Share of the slots that the slot manager leaves free of batch items. With it, most requests of
/// a period of low traffic find a server with a free slot, so that few of them preempt a batch
/// item.
const MANAGED_RESERVE_SHARE: f64 = 1.0 / 8.0;

/// Share of the slots that workers leave free of batch items at a server that another worker
/// manages. Otherwise several workers that see the same free slot would all fill it before they
/// receive each other's loads.
const UNMANAGED_RESERVE_SHARE: f64 = 1.0 / 2.0;

/// Limits up to which servers are filled. The processes use the default values; the load model
/// compares others.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FillLimits {
    /// Length of a server's queue, as a share of its slots, up to which it still gets online
    /// requests.
    pub online_queue_share: f64,
    /// Weight of a batch item, relative to an online request, in the load that an online request
    /// is placed by.
    pub batch_weight: f64,
    /// Share of a server's slots that its slot manager leaves free of batch items, for online
    /// requests that arrive before the load is checked again; at least one slot.
    #[serde(rename = "keeper_reserve_share")]
    pub managed_reserve_share: f64,
    /// The same for a server whose batch slots another worker manages.
    #[serde(rename = "guest_reserve_share")]
    pub unmanaged_reserve_share: f64,
}

impl Default for FillLimits {
    fn default() -> Self {
        Self {
            online_queue_share: ONLINE_QUEUE_SHARE,
            batch_weight: BATCH_WEIGHT,
            managed_reserve_share: MANAGED_RESERVE_SHARE,
            unmanaged_reserve_share: UNMANAGED_RESERVE_SHARE,
        }
    }
}

impl FillLimits {
    /// Returns the server for an online request; `draw` breaks ties. Returns `None` if the slots
    /// and the permitted queue of every server are full: the request would miss its latency
    /// target at any of them.
    pub fn pick_online<'a>(
        &self,
        candidates: &'a [Candidate],
        own_zone: &str,
        draw: usize,
    ) -> Option<&'a Candidate> {
        let cost = |candidate: &Candidate| {
            share_of_slots(self.online_load(candidate), candidate) + penalty(candidate, own_zone)
        };
        let best = cheapest(candidates, draw, cost)?;
        let limit = f64::from(best.slots) * (1.0 + self.online_queue_share);
        (self.online_load(best) < limit).then_some(best)
    }

    /// Returns the server for a batch item; `draw` breaks ties. Returns `None` if no server that
    /// is not suspected has a free slot beyond the reserve for online requests; the item then waits.
    pub fn pick_batch<'a>(
        &self,
        candidates: &'a [Candidate],
        own_zone: &str,
        draw: usize,
    ) -> Option<&'a Candidate> {
        let has_room = |candidate: &Candidate| {
            !candidate.is_suspected
                && candidate.in_flight + self.reserved_slots(candidate) < candidate.slots
        };
        let cost = |candidate: &Candidate| match has_room(candidate) {
            true => cost(candidate, own_zone),
            false => f64::INFINITY,
        };
        cheapest(candidates, draw, cost).filter(|best| has_room(best))
    }

    /// Returns the load of a server in units of online requests, as it affects an online request.
    fn online_load(&self, candidate: &Candidate) -> f64 {
        let batch = f64::from(candidate.batch_in_flight);
        f64::from(candidate.in_flight) - batch * (1.0 - self.batch_weight)
    }

    /// Returns the number of slots that batch items leave free at a server. A server with a single
    /// slot has no reserve: batch items run there while it is idle.
    fn reserved_slots(&self, candidate: &Candidate) -> u32 {
        let share = match candidate.is_slot_manager {
            true => self.managed_reserve_share,
            false => self.unmanaged_reserve_share,
        };
        let reserve = (f64::from(candidate.slots) * share).ceil() as u32;
        reserve.min(candidate.slots.saturating_sub(1))
    }
}

/// Returns the server for an online request that also runs at another server, which is silent. Returns
/// `None` unless a slot is free: in a queue, the request would help its caller late, if at all, and
/// hold up the requests behind it.
pub fn pick_second<'a>(
    candidates: &'a [Candidate],
    own_zone: &str,
    draw: usize,
) -> Option<&'a Candidate> {
    let limits = FillLimits {
        online_queue_share: 0.0,
        ..FillLimits::default()
    };
    limits.pick_online(candidates, own_zone, draw)
}

/// Returns the server for a request that goes on with a stream; `draw` breaks ties. It may wait in a
/// queue in which no new request is placed.
pub fn pick_resumed<'a>(
    candidates: &'a [Candidate],
    own_zone: &str,
    draw: usize,
) -> Option<&'a Candidate> {
    let limits = FillLimits {
        online_queue_share: RESUMED_QUEUE_SHARE,
        ..FillLimits::default()
    };
    limits.pick_online(candidates, own_zone, draw)
}

/// Calls [`FillLimits::pick_online`] with the default limits.
pub fn pick_online<'a>(
    candidates: &'a [Candidate],
    own_zone: &str,
    draw: usize,
) -> Option<&'a Candidate> {
    FillLimits::default().pick_online(candidates, own_zone, draw)
}

/// Calls [`FillLimits::pick_batch`] with the default limits.
pub fn pick_batch<'a>(
    candidates: &'a [Candidate],
    own_zone: &str,
    draw: usize,
) -> Option<&'a Candidate> {
    FillLimits::default().pick_batch(candidates, own_zone, draw)
}

/// Longest wait for a slot of a full server that counts as normal. A server that does not respond
/// for longer counts as faulty.
const MAX_EXPECTED_WAIT: Duration = Duration::from_secs(2);

/// Returns how long a request sent to `candidate` is expected to wait for a slot there if each
/// request holds its slot for `hold_time`; at most 2 s.
pub fn expected_wait(candidate: &Candidate, hold_time: Duration) -> Duration {
    let slots = candidate.slots.max(1);
    let ahead = (candidate.in_flight + 1).saturating_sub(slots);
    let wait = hold_time * ahead / slots;
    wait.min(MAX_EXPECTED_WAIT)
}

/// Minimum age of a batch run before it may be preempted. Letting a new run continue occupies its
/// slot for a few milliseconds more, whereas preempting it wastes the processing of its prompt and
/// its connection. An item that fails immediately would also be preempted and run again each time
/// before its failure is reported.
pub const MIN_RUN_TIME: Duration = Duration::from_millis(120);

/// Delay before a preempted item runs again, so that the same traffic step does not preempt it
/// again.
pub const PREEMPTED_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Returns how many of this process's batch items to preempt at a server so that the online
/// requests there have slots: the process's share of the batch items of all processes there,
/// rounded up.
pub fn batch_items_to_preempt(candidate: &Candidate) -> u32 {
    let over = candidate.in_flight.saturating_sub(candidate.slots);
    let excess = over.min(candidate.batch_in_flight);
    let share = (excess * candidate.own_batch_in_flight).div_ceil(candidate.batch_in_flight.max(1));
    share.min(candidate.own_batch_in_flight)
}

/// Returns the server at which a request waits least, whether or not it has a free slot; `draw`
/// breaks ties. For callers whose servers have a queue of their own and refuse requests when it
/// is full.
pub fn least_loaded<'a>(
    candidates: &'a [Candidate],
    own_zone: &str,
    draw: usize,
) -> Option<&'a Candidate> {
    cheapest(candidates, draw, |candidate| cost(candidate, own_zone))
}

/// Returns the candidate with the lowest cost; of equal ones the first from position `draw` on.
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
    share_of_slots(f64::from(candidate.in_flight), candidate) + penalty(candidate, own_zone)
}

/// Returns `load` as a share of the candidate's slots.
fn share_of_slots(load: f64, candidate: &Candidate) -> f64 {
    load / f64::from(candidate.slots.max(1))
}

/// Returns the load added to a server for reasons other than its requests, as a share of its
/// slots.
fn penalty(candidate: &Candidate, own_zone: &str) -> f64 {
    let mut penalty = candidate.failure_rate * FAILURE_PENALTY;
    if candidate.zone != own_zone {
        penalty += CROSS_ZONE_PENALTY;
    }
    if candidate.entry_expired {
        penalty += EXPIRED_ENTRY_PENALTY;
    }
    if candidate.is_suspected {
        penalty += SUSPECT_PENALTY;
    }
    penalty
}
