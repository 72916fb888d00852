//! Which worker runs a job.
//!
//! Ownership saves work; it does not protect results. Two workers that both believe they
//! own a job waste runs, but each part of the results can be created only once in the
//! store, so the results stay whole.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use foxwheel_core::ids::{JobId, NodeId};

/// How long a job may stand in the ledger unheld before any worker but the first choice
/// looks after it: a few heartbeats between zones (300 ms each).
const UNHELD_PATIENCE: Duration = Duration::from_millis(1_500);

/// A live worker as its last heartbeat tells it.
#[derive(Debug, Clone)]
pub struct Worker {
    /// The worker's name.
    pub node: NodeId,
    /// It takes no new jobs and gives back those it holds.
    pub leaving: bool,
    /// Jobs it holds; sorted.
    pub held: Vec<JobId>,
}

/// The worker that should take `job`, or none if all are leaving.
pub fn first_choice<'a>(job: &str, workers: &'a [Worker]) -> Option<&'a Worker> {
    workers
        .iter()
        .filter(|worker| !worker.leaving)
        .max_by_key(|worker| (rank(job, &worker.node), &worker.node))
}

/// Whether the worker `own` should take a job that it does not hold, which it has known
/// as unheld since `unheld_since`. `workers` are the live workers, `own` among them.
pub fn should_take(
    job: &str,
    own: &str,
    workers: &[Worker],
    unheld_since: Instant,
    now: Instant,
) -> bool {
    let held = workers.iter().any(|worker| {
        worker
            .held
            .binary_search_by(|held| held.as_str().cmp(job))
            .is_ok()
    });
    if held {
        return false;
    }
    let Some(first) = first_choice(job, workers) else {
        return false;
    };
    first.node == own || now.duration_since(unheld_since) >= UNHELD_PATIENCE
}

fn rank(job: &str, node: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    job.hash(&mut hasher);
    node.hash(&mut hasher);
    hasher.finish()
}
