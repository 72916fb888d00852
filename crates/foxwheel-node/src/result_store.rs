//! Stores the results of jobs in parts and closes jobs whose results are all stored.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_core::ids::JobId;
use foxwheel_platform::store::StoreError;
use foxwheel_policy::batch::ledger::LedgerChange;

use crate::job_store::{self, JobStoreError, PartCreation};
use crate::ledger_poll;
use crate::store_access::Backoff;
use crate::worker_jobs::WorkerJobs;

/// Delay before results are stored again that the store refused in the smallest chunks.
const REFUSED_RESULTS_DELAY: Duration = Duration::from_secs(10);

/// Stores the finished results of `job` in parts, and closes the job once all its results
/// are stored. `due_unix` is the time since the Unix epoch by which the results are due; it
/// only affects the log.
pub async fn store_results(jobs: Arc<WorkerJobs>, job: JobId, due_unix: Duration) {
    if let Err(e) = store_parts(&jobs, &job, due_unix).await {
        let may_succeed_later = e.store_error().is_none_or(StoreError::may_succeed_later);
        let delay = match may_succeed_later {
            true => Backoff::default().next_delay(),
            false => REFUSED_RESULTS_DELAY,
        };
        log::warn!(job, error:% = e, may_succeed_later; "could not store the results; retrying");
        tokio::time::sleep(delay).await;
    }
    let all_stored = jobs.with_entry(&job, |entry| entry.progress.is_fully_stored());
    if all_stored == Some(true) {
        close_job(&jobs, &job).await;
    }
    jobs.with_entry(&job, |entry| entry.storing = false);
    jobs.wake.notify_one();
}

async fn store_parts(
    jobs: &WorkerJobs,
    job: &JobId,
    due_unix: Duration,
) -> Result<(), JobStoreError> {
    let max_bytes = jobs.store.max_payload_bytes();
    loop {
        let next = jobs.with_entry(job, |entry| {
            (
                entry.progress.stored_parts,
                entry
                    .progress
                    .next_part(max_bytes, job_store::encoded_bytes),
            )
        });
        let Some((number, results)) = next.filter(|(_, results)| !results.is_empty()) else {
            return Ok(());
        };
        match jobs.store.create_part(job, number, &results).await? {
            PartCreation::Created => {
                let on_time = ledger_poll::unix_now() <= due_unix;
                log::info!(job, part = number, results = results.len(), on_time; "results stored");
                jobs.apply_part(job, number, results);
            }
            PartCreation::AlreadyExists(stored) => {
                log::info!(job, part = number, results = stored.len(); "another worker stored this part before");
                jobs.apply_part(job, number, stored);
            }
        }
    }
}

/// Marks a job as closed in the ledger. If that fails, the job stays open and this is tried
/// again.
async fn close_job(jobs: &WorkerJobs, job: &JobId) {
    let now_unix = ledger_poll::unix_now();
    let deadline = Instant::now() + ledger_poll::LEDGER_UPDATE_TIMEOUT;
    let change = LedgerChange::Close {
        id: job.clone(),
        now_unix,
    };
    match jobs.change_ledger(change, deadline).await {
        Ok(_) => jobs.end_job(job, "completion"),
        Err(e) => log::warn!(job, error:% = e; "could not close the job; retrying"),
    }
}
