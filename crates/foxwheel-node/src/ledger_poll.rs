//! Following the ledger: which jobs nobody runs, which were ended, which can be forgotten.

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

/// How often the ledger is read for jobs that nobody runs and jobs that were ended. Below
/// the time within which an ended job's items must stop (3 s), for the case that the call
/// that tells of the end is lost.
pub const LEDGER_POLL_INTERVAL: Duration = Duration::from_millis(2_000);

/// Least time from a reason to read the ledger until it is read: several reasons come
/// together when a worker dies.
const LEDGER_PAUSE: Duration = Duration::from_millis(150);

/// Longest time for one change of the ledger.
pub const LEDGER_UPDATE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// How long closed jobs are remembered beyond the time their results stay readable:
/// covers repeats of a submission that are still on their way.
const REMEMBER_CLOSED: Duration = Duration::from_secs(120);

/// Age from which a job of the ledger is looked for in the store and withdrawn if it was
/// never stored: far above the time for which clients send a job again.
const WITHDRAW_AFTER: Duration = Duration::from_secs(90);

/// Hands the open jobs of the ledger to the scheduler, and ends held ones that are closed.
pub async fn poll_ledger(jobs: Arc<WorkerJobs>, news: mpsc::Sender<Vec<JobId>>) {
    // Nothing can be taken before the other workers were heard.
    let first_at = tokio::time::Instant::now() + ownership::HEARD_AFTER;
    let mut ticks = tokio::time::interval_at(first_at, LEDGER_POLL_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = jobs.ledger_poll_request.notified() => tokio::time::sleep(LEDGER_PAUSE).await,
        }
        let deadline = Instant::now() + LEDGER_POLL_INTERVAL;
        let ledger = match jobs.store.read_ledger(deadline).await {
            Ok(ledger) => ledger,
            Err(e) => {
                log::info!(error:% = e; "ledger not read");
                continue;
            }
        };
        withdraw_unstored(&jobs, &ledger.open).await;
        for closed in &ledger.closed {
            jobs.end_job(&closed.id, "ledger");
        }
        let open = ledger.open.into_iter().map(|job| job.id).collect();
        if news.send(open).await.is_err() {
            return;
        }
    }
}

/// Forgets jobs that stand in the ledger for long and were never stored: their fronts
/// failed between the two writes and their clients did not come again.
async fn withdraw_unstored(jobs: &WorkerJobs, open: &[OpenJob]) {
    let now_unix = unix_now();
    let old = |job: &&OpenJob| now_unix.saturating_sub(job.accepted_unix) > WITHDRAW_AFTER;
    for job in open.iter().filter(old) {
        let held = jobs.with_entry(&job.id, |entry| entry.owned) == Some(true);
        let deadline = Instant::now() + LEDGER_POLL_INTERVAL;
        if held || !matches!(jobs.store.load_job(&job.id, deadline).await, Ok(None)) {
            continue;
        }
        log::warn!(job = job.id; "job was never stored, withdrawn from the ledger");
        let withdraw = LedgerChange::Withdraw { id: job.id.clone() };
        if let Err(e) = jobs.change_ledger(withdraw, deadline).await {
            log::warn!(job = job.id, error:% = e; "job not withdrawn, trying again");
        }
    }
}

/// Age from which the saved progress of a worker is of no use: its jobs are adopted within
/// seconds of its end, or when the store is back.
const KEEP_CHECKPOINTS: Duration = Duration::from_secs(600);

/// Forgets closed jobs, old checkpoints and old quarantines, so that the store stays small; one
/// worker does it for all.
pub async fn prune_stored(node: &Node, jobs: &WorkerJobs) {
    let keep = node.settings.results_readable + REMEMBER_CLOSED;
    loop {
        tokio::time::sleep(REMEMBER_CLOSED).await;
        let first = {
            let live = node.peers.live_processes(Role::Worker, Instant::now());
            live.first()
                .is_none_or(|(host, _)| *host >= node.settings.host)
        };
        if !first {
            continue;
        }
        let now_unix = unix_now();
        let deadline = Instant::now() + LEDGER_UPDATE_TIMEOUT;
        let pruned = jobs
            .store
            .update_ledger(deadline, |ledger| ledger.prune(now_unix, keep));
        if let Err(e) = pruned.await {
            log::warn!(error:% = e; "ledger not pruned");
        }
        let before_unix = now_unix.saturating_sub(KEEP_CHECKPOINTS);
        match jobs.store.prune_checkpoints(before_unix).await {
            Ok(removed) => log::info!(removed; "old checkpoints removed"),
            Err(e) => log::warn!(error:% = e; "old checkpoints not removed"),
        }
        if let Err(e) = quarantine_store::delete_expired(node).await {
            log::warn!(error:% = e; "old quarantines not removed");
        }
    }
}

/// The time of day, since the Unix epoch.
pub fn unix_now() -> Duration {
    Duration::from_millis(time::unix_ms())
}
