//! Runs batch jobs at a worker: schedules their items, stores results, takes over the jobs of
//! dead workers, and hands its own jobs over when the process leaves.
//!
//! [`scheduling`] starts and stops runs, [`ownership`] takes over and releases jobs, and
//! [`checkpointing`] saves their progress.

mod checkpointing;
mod ownership;
mod scheduling;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_core::ids::JobId;
use foxwheel_policy::batch::item::{ItemOutcome, ItemState, RunEnd};
use foxwheel_policy::batch::schedule::RunEstimate;
use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::routes::Config;
use tokio_util::sync::CancellationToken;

use crate::item_run::{self, ItemRun, SharedOutput};
use crate::node::Node;
use crate::worker::checkpointing::Checkpoints;
use crate::worker_jobs::job_entry::JobEntry;
use crate::worker_jobs::WorkerJobs;
use crate::{ledger_poll, result_store, retirement_watch};

/// Maximum time between two scheduling rounds.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time between two scheduling rounds that are caused by updates of peers only. Each
/// round goes over all jobs and the servers where they run, and with a dozen fronts in the
/// zone load changes arrive every few milliseconds. An item may start this much later, which
/// is little compared with its run time of some hundred milliseconds.
const PEER_UPDATE_INTERVAL: Duration = Duration::from_millis(10);

/// A run of an item that is in progress.
struct Run {
    job: JobId,
    /// Index of the item in its job.
    item: usize,
    server: ServerInstance,
    started_at: Instant,
    output: SharedOutput,
    cancel: CancellationToken,
}

/// The scheduler of a worker.
pub struct Worker {
    node: Arc<Node>,
    jobs: Arc<WorkerJobs>,
    runs: Vec<Run>,
    run_end_sender: tokio::sync::mpsc::UnboundedSender<EndedRun>,
    /// Estimate of how long items run.
    estimate: RunEstimate,
    checkpoints: Checkpoints,
    /// Jobs of the ledger without an owner, and since when; sorted by job.
    unowned: Vec<(JobId, Instant)>,
    /// Jobs that other workers reported in the last round; sorted.
    reported_by_others: Vec<JobId>,
    /// Set while the process is leaving: it is stopping, or its host is being retired.
    leaving: Option<Leaving>,
    started_at: Instant,
}

/// The steps in which a leaving worker hands over its jobs.
enum Leaving {
    /// The runs have been cancelled; their output so far is being collected.
    StoppingRuns,
    /// The progress of the items is being saved, so that the next owners resume there. The
    /// flag is set once the attempt has finished, whether or not it succeeded.
    SavingProgress(Arc<AtomicBool>),
    /// Jobs are released to other workers as soon as their finished results are stored.
    ReleasingJobs,
}

/// A run of an item that has ended.
struct EndedRun {
    job: JobId,
    /// Index of the item in its job.
    item: usize,
    end: RunEnd,
    output: SharedOutput,
    /// Number of events received in the run.
    new_events: u64,
    elapsed: Duration,
}

/// Runs batch jobs. Returns when cancelled, or when the process is stopping and all jobs have
/// been handed over.
pub async fn run(node: Arc<Node>, jobs: Arc<WorkerJobs>, cancel: CancellationToken) {
    let (run_end_sender, mut ended_runs) = tokio::sync::mpsc::unbounded_channel();
    let mut worker = Worker {
        node: Arc::clone(&node),
        jobs: Arc::clone(&jobs),
        runs: Vec::new(),
        run_end_sender,
        estimate: RunEstimate::default(),
        checkpoints: Checkpoints::default(),
        unowned: Vec::new(),
        reported_by_others: Vec::new(),
        leaving: None,
        started_at: Instant::now(),
    };
    let background = tokio::spawn(run_background(Arc::clone(&node), Arc::clone(&jobs)));
    let (ledger_sender, mut ledger_updates) = tokio::sync::mpsc::channel(1);
    let ledger_polling = tokio::spawn(ledger_poll::poll_ledger(Arc::clone(&jobs), ledger_sender));
    let mut last_round_at = Instant::now();
    loop {
        let peers_changed = async {
            node.peers_changed.notified().await;
            tokio::time::sleep_until((last_round_at + PEER_UPDATE_INTERVAL).into()).await;
        };
        tokio::select! {
            () = cancel.cancelled() => break,
            Some(ended) = ended_runs.recv() => worker.record_run_end(ended),
            Some(open) = ledger_updates.recv() => worker.take_over_unowned(&open),
            () = node.loads.slot_freed.notified() => {}
            () = peers_changed => {}
            () = jobs.wake.notified() => {}
            () = tokio::time::sleep(SCHEDULE_INTERVAL) => {}
        }
        last_round_at = Instant::now();
        worker.release_duplicate_jobs();
        worker.check_abandoned_jobs();
        worker.free_online_slots();
        worker.store_results();
        worker.save_progress();
        if worker.advance_leaving() {
            break;
        }
        worker.start_items();
    }
    background.abort();
    ledger_polling.abort();
}

impl Worker {
    fn record_run_end(&mut self, ended: EndedRun) {
        self.runs
            .retain(|run| run.job != ended.job || run.item != ended.item);
        let output = ended.output.lock().expect("output lock").clone();
        self.estimate.record_run(ended.new_events, ended.elapsed);
        if ended.end == RunEnd::Whole {
            self.estimate.record_full_output(output.event_count());
        }
        let max_failures = self.max_failures(&ended.job);
        self.jobs.with_entry(&ended.job, |entry| {
            let now = Instant::now();
            let progress = &mut entry.progress;
            progress.record_run_end(ended.item, ended.end, output, max_failures, now);
            let item = &progress.items[ended.item];
            if matches!(&item.state, ItemState::Finished(result) if result.outcome == ItemOutcome::GivenUp) {
                let id = &progress.spec.items[ended.item].id;
                log::warn!(request_id = id, job = ended.job, reason:? = ended.end, failures = item.failures, max_failures; "item given up");
            }
        });
    }

    fn max_failures(&self, job: &JobId) -> u32 {
        let config = self.node.config();
        let now = Instant::now();
        let route_limit = |entry: &mut JobEntry| {
            let spec = &entry.progress.spec;
            let route = entry.route.find(config.as_ref()?, spec, now)?;
            Some(route.max_attempts)
        };
        // Without a route no item is given up because of failures.
        self.jobs
            .with_entry(job, route_limit)
            .flatten()
            .unwrap_or(u32::MAX)
    }

    fn start_run(&mut self, item: usize, run: ItemRun) {
        self.runs.push(Run {
            job: run.job.clone(),
            item,
            server: run.slot.server().clone(),
            started_at: Instant::now(),
            output: Arc::clone(&run.output),
            cancel: run.cancel.clone(),
        });
        let node = Arc::clone(&self.node);
        let run_end_sender = self.run_end_sender.clone();
        tokio::spawn(async move {
            let job = run.job.clone();
            let output = Arc::clone(&run.output);
            let event_count =
                |output: &SharedOutput| output.lock().expect("output lock").event_count();
            let events_before = event_count(&output);
            let started_at = Instant::now();
            let end = item_run::run_item(node, run).await;
            // Sending fails only when the process stops and the scheduler has been dropped.
            let _ = run_end_sender.send(EndedRun {
                job,
                item,
                end,
                // An output that is too large is discarded.
                new_events: event_count(&output).saturating_sub(events_before),
                elapsed: started_at.elapsed(),
                output,
            });
        });
    }

    /// Starts to store the results of jobs for which it is time, and to close jobs whose
    /// results are all stored.
    fn store_results(&mut self) {
        let now = Instant::now();
        let config = self.node.config();
        let leaving = self.leaving.is_some();
        let mut due = Vec::new();
        self.jobs.for_each_owned(|entry| {
            let mut nearly_due = false;
            if let Some(config) = &config {
                give_up_expired_job(entry, config, now);
                let due_in = due_unix(entry, config, now).saturating_sub(ledger_poll::unix_now());
                nearly_due = entry.progress.should_store_before_due(due_in);
            }
            let should_store = nearly_due || entry.progress.should_store(now, leaving);
            if should_store && !entry.storing {
                entry.storing = true;
                let due_unix = config.as_ref().map(|config| due_unix(entry, config, now));
                // Without a configuration there is no due time, so nothing is late.
                let due_unix = due_unix.unwrap_or(Duration::MAX);
                due.push((entry.progress.spec.id.clone(), due_unix));
            }
        });
        for (job, due_unix) in due {
            tokio::spawn(result_store::store_results(
                Arc::clone(&self.jobs),
                job,
                due_unix,
            ));
        }
        self.jobs.evict_unused(now);
    }

    /// Performs the next step of leaving if the process is leaving. Returns whether all jobs
    /// have been handed over and the process must stop.
    ///
    /// All jobs are handed over immediately rather than as their runs end, because waiting items
    /// would make no progress while other items run on for seconds.
    fn advance_leaving(&mut self) -> bool {
        if !self.node.is_leaving() {
            self.leaving = None;
            return false;
        }
        match &self.leaving {
            None => {
                for run in &self.runs {
                    run.cancel.cancel();
                }
                log::info!(runs = self.runs.len(); "leaving; cancelled all runs");
                self.leaving = Some(Leaving::StoppingRuns);
            }
            Some(Leaving::StoppingRuns) if self.runs.is_empty() && !self.is_saving() => {
                self.leaving = Some(Leaving::SavingProgress(self.save_progress_now()));
            }
            Some(Leaving::SavingProgress(saved)) if saved.load(Ordering::Relaxed) => {
                self.leaving = Some(Leaving::ReleasingJobs);
            }
            Some(Leaving::ReleasingJobs) => self.release_stored(),
            Some(Leaving::StoppingRuns | Leaving::SavingProgress(_)) => {}
        }
        self.runs.is_empty() && !self.node.has_owned_jobs() && self.node.leaving.is_cancelled()
    }

    /// Releases the jobs whose finished results are all stored.
    fn release_stored(&mut self) {
        let mut stored = Vec::new();
        self.jobs.for_each_owned(|entry| {
            if !entry.storing && entry.progress.unstored_since.is_none() {
                stored.push(entry.progress.spec.id.clone());
            }
        });
        for job in stored {
            log::info!(job; "job released");
            self.jobs.release_job(&job);
        }
    }
}

/// Returns when the results of a job are due, since the Unix epoch. Without a route they are
/// due immediately.
fn due_unix(entry: &JobEntry, config: &Config, now: Instant) -> Duration {
    let spec = &entry.progress.spec;
    let route = entry.route.find(config, spec, now);
    spec.submitted_unix
        + route
            .map(|route| route.completion_target)
            .unwrap_or_default()
}

/// Gives up the unfinished items of a job if the retention time of its route has passed or its
/// route no longer exists.
fn give_up_expired_job(entry: &mut JobEntry, config: &Config, now: Instant) {
    let spec = &entry.progress.spec;
    let config_version = config.version;
    if entry.route.update(config, spec, now) {
        log::warn!(job = spec.id, route = spec.route, config_version; "the route of the job is missing");
    }
    let age = ledger_poll::unix_now().saturating_sub(spec.submitted_unix);
    let should_give_up = entry.route.should_give_up(config, spec, age, now);
    if !should_give_up || entry.progress.is_finished() {
        return;
    }
    let routed = entry.route.find(config, spec, now).is_some();
    log::warn!(job = spec.id, route = spec.route, config_version, age_ms = age.as_millis() as u64, routed; "giving up the unfinished items of the job");
    entry.progress.give_up_unfinished(now);
    entry.cancel.cancel();
}

/// Runs the worker's tasks other than scheduling: pruning the store, watching for retirement
/// requests and writing the ledger.
async fn run_background(node: Arc<Node>, jobs: Arc<WorkerJobs>) {
    tokio::join!(
        ledger_poll::prune_store(&node, &jobs),
        retirement_watch::run(&node),
        jobs.ledger_writer.run(&jobs.store, &node.settings.host),
    );
}
