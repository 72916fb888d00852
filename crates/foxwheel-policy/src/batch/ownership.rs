//! Which worker runs a job.
//!
//! Ownership saves work; it does not protect results. Two workers that both believe they
//! own a job waste runs, but each part of the results can be created only once in the
//! store, so the results stay whole.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use foxwheel_core::ids::{JobId, NodeId, Zone};
use serde::{Deserialize, Serialize};

/// How long a job must stand in the ledger unheld before any worker but the first choice
/// takes it. Above the time in which the first choice looks at the ledger (2 s) and its
/// claim is heard between zones (0.3 s): with 1.5 s two workers took one job at once.
const UNHELD_PATIENCE: Duration = Duration::from_millis(3_500);

/// The same if the first choice lives but is not heard here: it probably runs the job and
/// cannot say so. Paths between hosts were cut for about 5 s; jobs are due in 18 s.
const UNHEARD_PATIENCE: Duration = Duration::from_millis(9_000);

/// How long a worker runs until it has heard of every live one: two heartbeats between zones
/// (0.3 s each), the second to those of whom the first told, and one that is lost. After a
/// start of the whole fleet jobs stand still until then: 1.1 s, and 2.2 to 2.6 s when a second
/// read of the ledger was waited for.
pub const ALL_HEARTBEATS_DELAY: Duration = Duration::from_millis(1_000);

/// Whether a worker still runs a job that it tells of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimStatus {
    /// It runs the job.
    Held,
    /// The job was closed a short while ago.
    Closed,
}

/// What a worker tells of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobClaim {
    /// The job.
    pub job: JobId,
    /// Parts of its results that the worker knows to be stored; only grows.
    pub parts: u32,
    /// Whether it runs the job.
    pub standing: ClaimStatus,
}

/// A live worker as its last heartbeat tells it.
#[derive(Debug, Clone)]
pub struct Worker {
    /// The worker's name.
    pub node: NodeId,
    /// Its availability zone.
    pub zone: Zone,
    /// It takes no new jobs and gives back those it holds.
    pub leaving: bool,
    /// It is heard by this process, and its claims are new. Otherwise only others hear it:
    /// it lives, but what it took since is not known here.
    pub has_current_claims: bool,
    /// Jobs it tells of; sorted by job.
    pub claims: Vec<JobClaim>,
    /// Items of its jobs that could run now and found no slot.
    pub waiting_items: u32,
}

impl Worker {
    /// What it tells of `job`.
    pub fn claim(&self, job: &str) -> Option<&JobClaim> {
        let found = self
            .claims
            .binary_search_by(|claim| claim.job.as_str().cmp(job));
        found.ok().map(|at| &self.claims[at])
    }

    /// Whether it stays and, as far as is known, has items that wait for a slot.
    fn may_need_slots(&self) -> bool {
        !self.leaving && (self.waiting_items > 0 || !self.has_current_claims)
    }

    /// Whether it runs `job`.
    pub fn owns(&self, job: &str) -> bool {
        self.claim(job)
            .is_some_and(|claim| claim.standing == ClaimStatus::Held)
    }
}

/// The worker that should take `job`, or none if all are leaving.
pub fn preferred_worker<'a>(job: &str, workers: &'a [Worker]) -> Option<&'a Worker> {
    workers
        .iter()
        .filter(|worker| !worker.leaving)
        .max_by_key(|worker| (rank(job, &worker.node), &worker.node))
}

/// Whether the worker `one` is chosen before `other` for `job`.
pub fn outranks(job: &str, one: &str, other: &str) -> bool {
    (rank(job, one), one) > (rank(job, other), other)
}

/// The worker that gives out the batch slots of a server in `zone`. Workers that look at the
/// same free slots at once would overfill them. Of those whose items wait it is one of that
/// zone if there is any; jobs are not spread evenly, and slots that a worker without waiting
/// items gives out would be left half empty by the others (3 workers, 39 servers, six runs of
/// some 1,350 items each: 536 results late, 373 with this).
pub fn slot_manager<'a>(server: &str, zone: &str, workers: &'a [Worker]) -> Option<&'a Worker> {
    let any_waits = workers.iter().any(Worker::may_need_slots);
    let eligible = |worker: &&Worker| !worker.leaving && (!any_waits || worker.may_need_slots());
    let staying = || workers.iter().filter(eligible);
    let any_local = staying().any(|worker| worker.zone == zone);
    staying()
        .filter(|worker| !any_local || worker.zone == zone)
        .max_by_key(|worker| (rank(server, &worker.node), &worker.node))
}

/// Parts of the results of `job` that some worker knows to be stored. A reader that knows
/// fewer must look in the store before it answers.
pub fn known_stored_parts(job: &str, workers: &[Worker]) -> u32 {
    let claims = workers.iter().filter_map(|worker| worker.claim(job));
    claims.map(|claim| claim.parts).max().unwrap_or(0)
}

/// Whether a worker that started at `started_at` has heard of every live one, so that it can
/// tell which jobs nobody runs.
pub fn has_received_all_heartbeats(started_at: Instant, now: Instant) -> bool {
    now.duration_since(started_at) >= ALL_HEARTBEATS_DELAY
}

/// Whether the worker `own` should take a job that it does not hold, which it has known
/// as unheld since `unheld_since`. `workers` are the live workers, `own` among them.
pub fn should_take_over(
    job: &str,
    own: &str,
    workers: &[Worker],
    unheld_since: Instant,
    now: Instant,
) -> bool {
    if workers.iter().any(|worker| worker.claim(job).is_some()) {
        return false;
    }
    let Some(first) = preferred_worker(job, workers) else {
        return false;
    };
    let patience = match first.has_current_claims {
        true => UNHELD_PATIENCE,
        false => UNHEARD_PATIENCE,
    };
    first.node == own || now.duration_since(unheld_since) >= patience
}

/// Whether the worker `own`, which runs `job` and knows `own_parts` of its results, should
/// leave it to another that runs it too: to the one that knows more, else by rank. Of two
/// such workers at most one yields, however late they hear of each other, because claims
/// only grow.
pub fn should_release(job: &str, own: &str, own_parts: u32, others: &[Worker]) -> bool {
    let own_rank = (own_parts, rank(job, own), own);
    others
        .iter()
        .filter(|worker| worker.node != own && !worker.leaving && worker.owns(job))
        .filter_map(|worker| worker.claim(job).map(|claim| (worker, claim)))
        .any(|(worker, claim)| {
            (claim.parts, rank(job, &worker.node), worker.node.as_str()) > own_rank
        })
}

fn rank(job: &str, node: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    job.hash(&mut hasher);
    node.hash(&mut hasher);
    hasher.finish()
}
