//! Storing the results of jobs part by part, and closing jobs that are whole.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_core::ids::JobId;
use foxwheel_policy::batch::ledger::LedgerChange;

use crate::job_store::{JobStoreError, PartCreated};
use crate::ledger_poll;
use crate::store_access::Backoff;
use crate::worker_jobs::WorkerJobs;

/// Stores the finished results of `job`, which are due at `due_unix`, part by part; closes
/// the job when it is whole.
pub async fn store_results(jobs: Arc<WorkerJobs>, job: JobId, due_unix: Duration) {
    if let Err(e) = store_parts(&jobs, &job, due_unix).await {
        log::warn!(job, error:% = e; "results not stored, trying again");
        tokio::time::sleep(Backoff::default().next_delay()).await;
    }
    let finished = jobs.with_entry(&job, |entry| entry.progress.is_listed());
    if finished == Some(true) {
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
    let max_bytes = jobs.store.part_bytes();
    loop {
        let next = jobs.with_entry(job, |entry| {
            (entry.progress.parts, entry.progress.next_part(max_bytes))
        });
        let Some((number, results)) = next.filter(|(_, results)| !results.is_empty()) else {
            return Ok(());
        };
        match jobs.store.create_part(job, number, &results).await? {
            PartCreated::Done => {
                let on_time = ledger_poll::unix_now() <= due_unix;
                log::info!(job, part = number, results = results.len(), on_time; "results stored");
                jobs.apply_part(job, number, results);
            }
            PartCreated::Taken(others) => {
                log::info!(job, part = number, results = others.len(); "results of another worker met");
                jobs.apply_part(job, number, others);
            }
        }
    }
}

/// Marks a job as closed in the ledger; the next look at the ledger repeats a failure.
async fn close_job(jobs: &WorkerJobs, job: &JobId) {
    let now_unix = ledger_poll::unix_now();
    let deadline = Instant::now() + ledger_poll::LEDGER_UPDATE_TIMEOUT;
    let close = LedgerChange::Close {
        id: job.clone(),
        now_unix,
    };
    match jobs.change_ledger(close, deadline).await {
        Ok(_) => jobs.end_job(job, "completion"),
        Err(e) => log::warn!(job, error:% = e; "job not closed, trying again"),
    }
}
