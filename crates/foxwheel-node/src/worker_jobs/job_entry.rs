//! A job in a worker's memory.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_policy::batch::job::JobProgress;
use foxwheel_policy::batch::job_route::JobRoute;
use foxwheel_policy::batch::ownership::{ClaimStatus, JobClaim};
use foxwheel_policy::batch::packing;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::peer_calls::{ResultsQuery, ResultsResponse};

/// Minimum time between two reads of the store for new results of a job that another worker
/// owns.
pub(super) const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// How long a closed job is reported to other processes, so that they know how many parts its
/// results have. This is several times the time after which a silent process counts as dead.
const REPORT_CLOSED_DURATION: Duration = Duration::from_secs(10);

/// A job in memory.
#[derive(Debug)]
pub struct JobEntry {
    /// Progress of the job's items.
    pub progress: JobProgress,
    /// Whether this worker owns the job and runs its items.
    pub owned: bool,
    /// The job's route in the configuration in force.
    pub route: JobRoute,
    /// Whether results of the job are being stored.
    pub storing: bool,
    /// When the job was closed, if it was.
    pub(super) closed_at: Option<Instant>,
    /// When this worker last became the owner of the job.
    pub(super) owned_since: Instant,
    /// Cancelled when the items of the job must stop running.
    pub cancel: CancellationToken,
    /// Notified when more results of the job have been stored and can be read.
    pub(super) new_results: Arc<Notify>,
    /// When the store was last queried for more parts.
    pub(super) refreshed_at: Instant,
    /// When the job was last read or changed.
    pub(super) used_at: Instant,
}

impl JobEntry {
    pub(super) fn new(progress: JobProgress, owned: bool) -> Self {
        let now = Instant::now();
        Self {
            progress,
            owned,
            route: JobRoute::default(),
            storing: false,
            closed_at: None,
            owned_since: now,
            cancel: CancellationToken::new(),
            new_results: Arc::new(Notify::new()),
            refreshed_at: now,
            used_at: now,
        }
    }

    /// Applies progress that was loaded from the store, unless it is older than what is known,
    /// and sets whether this worker owns the job. Owned and ended jobs stay as they are.
    pub(super) fn update(&mut self, loaded: JobProgress, owned: bool) {
        if self.owned || self.progress.ended {
            return;
        }
        if loaded.stored_parts >= self.progress.stored_parts {
            self.progress = loaded;
        }
        self.owned = owned;
        self.route = JobRoute::default();
        self.used_at = Instant::now();
        self.owned_since = self.used_at;
    }

    /// Returns what this worker reports of the job to other processes, or `None` if it neither
    /// owns the job nor closed it recently.
    pub(super) fn current_claim(&self, now: Instant) -> Option<JobClaim> {
        let status = if self.owned {
            ClaimStatus::Owned
        } else {
            let closed_at = self.closed_at?;
            let is_recent = now.duration_since(closed_at) < REPORT_CLOSED_DURATION;
            is_recent.then_some(ClaimStatus::Closed)?
        };
        Some(JobClaim {
            job: self.progress.spec.id.clone(),
            stored_parts: self.progress.stored_parts,
            status,
        })
    }

    /// Returns the results that `query` asks for as far as they are stored, at least one if there
    /// is any, and the notification of new results.
    pub(super) fn read_results(&mut self, query: ResultsQuery) -> (ResultsResponse, Arc<Notify>) {
        self.used_at = Instant::now();
        let available = || self.progress.stored_results.iter().skip(query.from);
        // The codec between processes leaves text as it is.
        let sizes = available().map(|result| result.output.len());
        let count = packing::leading_values_that_fit(sizes, query.max_bytes);
        let response = ResultsResponse::Results {
            item_count: self.progress.spec.items.len(),
            results: available().take(count).cloned().collect(),
        };
        (response, Arc::clone(&self.new_results))
    }

    /// Returns whether the store may hold parts that are not in memory: other workers report
    /// more parts, or another worker owns the job and the store was not read recently.
    pub(super) fn should_refresh(&mut self, known_parts: u32, now: Instant) -> bool {
        let is_current = self.owned || self.storing || self.progress.is_fully_stored();
        let is_stale = !is_current && now.duration_since(self.refreshed_at) >= REFRESH_INTERVAL;
        if is_stale {
            self.refreshed_at = now;
        }
        is_stale || self.progress.stored_parts < known_parts
    }

    /// Returns the number of the next part to load, or `None` if all results are stored.
    pub(super) fn next_part(&self) -> Option<u32> {
        (!self.progress.is_fully_stored()).then_some(self.progress.stored_parts)
    }
}
