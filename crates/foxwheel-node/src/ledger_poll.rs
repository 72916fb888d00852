//! Polls the ledger of accepted jobs: finds jobs without an owner and jobs that were closed,
//! and removes entries that are no longer needed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_core::ids::JobId;
use foxwheel_core::time;
use foxwheel_policy::batch::ledger::{LedgerChange, OpenJob};
use foxwheel_policy::batch::ownership;
use tokio::sync::mpsc;

use crate::node::Node;
use crate::quarantine_store;
use crate::settings::Role;
use crate::worker_jobs::WorkerJobs;

/// Interval at which the ledger is read. It is below the time within which the items of an
/// ended job must stop (3 s), in case the call that reports the end is lost.
pub const LEDGER_POLL_INTERVAL: Duration = Duration::from_millis(2_000);

/// Delay between a request to read the ledger and the read. When a worker dies, several
/// requests arrive together and are served by one read.
const LEDGER_POLL_DELAY: Duration = Duration::from_millis(150);

/// Time limit for one change of the ledger.
pub const LEDGER_UPDATE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// How long closed jobs stay in the ledger after their results cease to be readable, so that
/// late repeats of a submission are recognised. Also the interval at which expired objects
/// are removed from the store.
const CLOSED_JOB_RETENTION: Duration = Duration::from_secs(120);

/// Age at which a job in the ledger is withdrawn if it is not in the store. This is far
/// longer than clients keep sending a job again.
const UNSTORED_JOB_GRACE: Duration = Duration::from_secs(90);

/// Reads the ledger at an interval and when requested: sends its open jobs through
/// `open_jobs`, ends the jobs that it does not list as open, and withdraws jobs that were never
/// stored. Returns when the receiver of `open_jobs` is dropped.
pub async fn poll_ledger(jobs: Arc<WorkerJobs>, open_jobs: mpsc::Sender<Vec<JobId>>) {
    // No job can be taken over before this worker has received the other workers'
    // heartbeats.
    let first_at = tokio::time::Instant::now() + ownership::ALL_HEARTBEATS_DELAY;
    let mut ticks = tokio::time::interval_at(first_at, LEDGER_POLL_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = jobs.ledger_poll_request.notified() => tokio::time::sleep(LEDGER_POLL_DELAY).await,
        }
        let began_at = Instant::now();
        let deadline = began_at + LEDGER_POLL_INTERVAL;
        let ledger = match jobs.store.read_ledger(deadline).await {
            Ok(ledger) => ledger,
            Err(e) => {
                log::info!(error:% = e; "could not read the ledger");
                continue;
            }
        };
        withdraw_unstored(&jobs, &ledger.open).await;
        jobs.end_unlisted_jobs(&ledger, began_at);
        for closed in &ledger.closed {
            jobs.end_job(&closed.id, "ledger");
        }
        let open = ledger.open.into_iter().map(|job| job.id).collect();
        if open_jobs.send(open).await.is_err() {
            return;
        }
    }
}

/// Withdraws jobs that have been in the ledger for long and were never stored. Their fronts
/// failed between the two writes and their clients did not submit them again.
async fn withdraw_unstored(jobs: &WorkerJobs, open: &[OpenJob]) {
    let now_unix = unix_now();
    let is_old = |job: &&OpenJob| now_unix.saturating_sub(job.accepted_unix) > UNSTORED_JOB_GRACE;
    for job in open.iter().filter(is_old) {
        let is_owned = jobs.with_entry(&job.id, |entry| entry.owned) == Some(true);
        let deadline = Instant::now() + LEDGER_POLL_INTERVAL;
        if is_owned || !matches!(jobs.store.load_job(&job.id, deadline).await, Ok(None)) {
            continue;
        }
        log::warn!(job = job.id; "job was never stored; withdrawing it from the ledger");
        let change = LedgerChange::Withdraw { id: job.id.clone() };
        if let Err(e) = jobs.change_ledger(change, deadline).await {
            log::warn!(job = job.id, error:% = e; "could not withdraw the job from the ledger; the next poll retries");
        }
    }
}

/// Age at which checkpoints are removed. A worker's jobs are taken over within seconds of
/// its end, or once the store is reachable again, so older checkpoints are of no use.
const CHECKPOINT_RETENTION: Duration = Duration::from_secs(600);

/// Removes expired closed jobs, checkpoints and quarantines from the store at an interval, so
/// that the store stays small. Only the worker with the first host name does it, on behalf of
/// all.
pub async fn prune_store(node: &Node, jobs: &WorkerJobs) {
    let retention = node.settings.results_readable + CLOSED_JOB_RETENTION;
    loop {
        tokio::time::sleep(CLOSED_JOB_RETENTION).await;
        let is_first = {
            let live = node.peers.live_processes(Role::Worker, Instant::now());
            live.first()
                .is_none_or(|(host, _)| *host >= node.settings.host)
        };
        if !is_first {
            continue;
        }
        let now_unix = unix_now();
        let deadline = Instant::now() + LEDGER_UPDATE_TIMEOUT;
        let pruned = jobs
            .store
            .update_ledger(deadline, |ledger| ledger.prune_closed(now_unix, retention));
        if let Err(e) = pruned.await {
            log::warn!(error:% = e; "could not prune the ledger");
        }
        let before_unix = now_unix.saturating_sub(CHECKPOINT_RETENTION);
        match jobs.store.prune_checkpoints(before_unix).await {
            Ok(removed) => log::info!(removed; "removed expired checkpoints"),
            Err(e) => log::warn!(error:% = e; "could not remove expired checkpoints"),
        }
        if let Err(e) = quarantine_store::delete_obsolete(node).await {
            log::warn!(error:% = e; "could not remove obsolete quarantines");
        }
    }
}

/// Returns the current wall-clock time since the Unix epoch.
pub fn unix_now() -> Duration {
    Duration::from_millis(time::unix_ms())
}
