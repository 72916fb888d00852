//! Takes over jobs whose owners are gone.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_core::ids::JobId;
use foxwheel_policy::batch::checkpoint::JobCheckpoint;
use foxwheel_policy::batch::job::JobProgress;
use foxwheel_policy::batch::ledger::{JobStatus, Ledger};

use crate::job_store::JobStoreError;
use crate::worker_jobs::{WorkerJobs, LOAD_TIMEOUT};

/// How long a worker that did not find a job in the store leaves further attempts to take it
/// over to the job's preferred worker. Each attempt of each worker is a call to the store.
const MISSING_JOB_RETRY_DELAY: Duration = Duration::from_secs(20);

/// How long checkpoints that were read are reused. The jobs of a dead worker are taken over
/// within some hundred milliseconds of each other, so one read serves them all.
pub(super) const CHECKPOINT_CACHE_TTL: Duration = Duration::from_millis(1_000);

impl WorkerJobs {
    /// Takes over a job that no live worker owns, and resumes it from its stored results and
    /// checkpoints. Does nothing if that is in progress already.
    pub async fn take_over(&self, id: &JobId) -> Result<(), JobStoreError> {
        {
            let mut taking_over = self.taking_over.lock().expect("take-over lock");
            match taking_over.binary_search(id) {
                Ok(_) => return Ok(()),
                Err(at) => taking_over.insert(at, id.clone()),
            }
        }
        let taken = self.load_and_own(id).await;
        let mut taking_over = self.taking_over.lock().expect("take-over lock");
        taking_over.retain(|job| job != id);
        taken
    }

    async fn load_and_own(&self, id: &JobId) -> Result<(), JobStoreError> {
        let Ok(_permit) = self.take_overs.acquire().await else {
            return Err(JobStoreError::Busy);
        };
        if !self.has_room_for(id, self.known_size(id).unwrap_or_default()) {
            return Ok(());
        }
        let deadline = Instant::now() + 4 * LOAD_TIMEOUT;
        let Some(mut progress) = self.store.load_progress(id, deadline).await? else {
            // The front has not confirmed the job, and its client may submit it again.
            self.record_missing(id, Instant::now());
            return Ok(());
        };
        if !self.has_room_for(id, progress.size_bytes()) {
            return Ok(());
        }
        let restored = self.restore_checkpoints(&mut progress).await;
        // Loading may have taken seconds, in which the job may have ended.
        let loaded_at = Instant::now();
        let ledger = self.read_ledger_since(loaded_at).await?;
        let status = ledger.job_status(id);
        if status != JobStatus::Open {
            log::info!(job = id, status:?; "job not adopted: it is no longer open");
            return Ok(());
        }
        let result_count = progress.stored_results.len();
        let ledger_age_ms = loaded_at.elapsed().as_millis() as u64;
        log::info!(job = id, listed = result_count, parts = progress.stored_parts, restored, ledger_age_ms; "job adopted");
        self.insert_job(progress, true);
        Ok(())
    }

    /// Returns the ledger as read at `since` or later. One read serves all jobs that are taken over
    /// at the same time.
    async fn read_ledger_since(&self, since: Instant) -> Result<Arc<Ledger>, JobStoreError> {
        let mut cached = self.cached_ledger.lock().await;
        if let Some((_, ledger)) = cached.as_ref().filter(|(began_at, _)| *began_at >= since) {
            return Ok(Arc::clone(ledger));
        }
        let began_at = Instant::now();
        let ledger = Arc::new(self.store.read_ledger(began_at + LOAD_TIMEOUT).await?);
        *cached = Some((began_at, Arc::clone(&ledger)));
        Ok(ledger)
    }

    /// Adds the progress saved by the job's earlier owners to `progress`. Returns the number
    /// of items with saved progress.
    async fn restore_checkpoints(&self, progress: &mut JobProgress) -> usize {
        let saved = match self.read_checkpoints().await {
            Ok(saved) => saved,
            Err(e) => {
                log::info!(job = progress.spec.id, error:% = e; "could not read checkpoints; resuming without them");
                return 0;
            }
        };
        let mut items = 0;
        for checkpoint in saved.iter() {
            if checkpoint.job != progress.spec.id {
                continue;
            }
            items += checkpoint.items.len();
            checkpoint.restore(progress, Instant::now());
        }
        items
    }

    /// Returns the checkpoints of all workers. They are read once for all jobs that are taken
    /// over at the same time.
    async fn read_checkpoints(&self) -> Result<Arc<Vec<JobCheckpoint>>, JobStoreError> {
        let mut cached = self.cached_checkpoints.lock().await;
        if let Some((read_at, saved)) = cached.as_ref() {
            if read_at.elapsed() < CHECKPOINT_CACHE_TTL {
                return Ok(Arc::clone(saved));
            }
        }
        let saved = Arc::new(self.store.load_checkpoints().await?);
        *cached = Some((Instant::now(), Arc::clone(&saved)));
        Ok(saved)
    }

    fn record_missing(&self, id: &JobId, now: Instant) {
        log::info!(job = id; "job of the ledger is not in the store");
        let mut missing = self.missing_jobs.lock().expect("missing jobs lock");
        missing.retain(|(_, at)| now.duration_since(*at) < MISSING_JOB_RETRY_DELAY);
        match missing.binary_search_by(|(job, _)| job.cmp(id)) {
            Ok(at) => missing[at].1 = now,
            Err(at) => missing.insert(at, (id.clone(), now)),
        }
    }

    /// Returns whether a recent attempt to take over the job did not find it in the store.
    pub fn was_recently_missing(&self, id: &JobId, now: Instant) -> bool {
        let missing = self.missing_jobs.lock().expect("missing jobs lock");
        let found = missing.binary_search_by(|(job, _)| job.cmp(id));
        found.is_ok_and(|at| now.duration_since(missing[at].1) < MISSING_JOB_RETRY_DELAY)
    }
}
