//! Running batch jobs: which item runs next and where, when results are stored, taking over
//! jobs of workers that died, and leaving.
//!
//! [`scheduling`] starts and stops runs, [`ownership`] takes and leaves jobs,
//! [`checkpointing`] saves how far they got.

mod checkpointing;
mod ownership;
mod scheduling;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_core::ids::JobId;
use foxwheel_policy::batch::item::{Ending, ItemState, RunEnd};
use foxwheel_policy::batch::job;
use foxwheel_policy::batch::schedule::RunEstimate;
use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::routes::{Config, Route, RouteKind};
use tokio_util::sync::CancellationToken;

use crate::item_run::{self, ItemRun, SharedOutput};
use crate::node::Node;
use crate::worker::checkpointing::Checkpoints;
use crate::worker_jobs::{JobEntry, WorkerJobs};
use crate::{ledger_poll, result_store, retirement_watch};

/// Longest pause between looks at what could run.
const SCHEDULE_EVERY: Duration = Duration::from_millis(50);

/// Least time between two looks for news of peers alone: each look goes over all jobs and the
/// servers they run at, and with a dozen fronts in the zone changes of load come every few
/// milliseconds. An item then starts this much later, of some hundred that it runs.
const PEER_NEWS_PAUSE: Duration = Duration::from_millis(10);

/// A run of an item under way.
struct Run {
    job: JobId,
    item: usize,
    server: ServerInstance,
    started_at: Instant,
    output: SharedOutput,
    cancel: CancellationToken,
}

/// A worker's running state.
pub struct Worker {
    node: Arc<Node>,
    jobs: Arc<WorkerJobs>,
    runs: Vec<Run>,
    ended: tokio::sync::mpsc::UnboundedSender<EndedRun>,
    /// How long items run.
    estimate: RunEstimate,
    checkpoints: Checkpoints,
    /// Jobs of the ledger that nobody runs and since when; sorted by job.
    unheld: Vec<(JobId, Instant)>,
    /// Jobs that other workers told of at the last look; sorted.
    told_elsewhere: Vec<JobId>,
    /// Set while the process must leave.
    leaving: Option<Leaving>,
    started_at: Instant,
}

/// How far a leaving worker has handed over its jobs.
enum Leaving {
    /// Its runs were told to stop; what they got so far comes in.
    StoppingRuns,
    /// The progress of its items is on its way to the store, so that whoever takes the jobs
    /// goes on there. Set when it is saved, or could not be.
    SavingProgress(Arc<AtomicBool>),
    /// Others may take its jobs.
    Released,
}

struct EndedRun {
    job: JobId,
    item: usize,
    end: RunEnd,
    output: SharedOutput,
    /// Events that the run brought.
    new_events: u64,
    /// How long it took.
    took: Duration,
}

/// Runs batch jobs until nothing is left to do after the process was told to leave, or
/// until cancelled.
pub async fn run(node: Arc<Node>, jobs: Arc<WorkerJobs>, cancel: CancellationToken) {
    let (ended, mut ended_runs) = tokio::sync::mpsc::unbounded_channel();
    let mut worker = Worker {
        node: Arc::clone(&node),
        jobs: Arc::clone(&jobs),
        runs: Vec::new(),
        ended,
        estimate: RunEstimate::default(),
        checkpoints: Checkpoints::default(),
        unheld: Vec::new(),
        told_elsewhere: Vec::new(),
        leaving: None,
        started_at: Instant::now(),
    };
    let background = tokio::spawn(run_background(Arc::clone(&node), Arc::clone(&jobs)));
    let (ledger_sender, mut ledger_news) = tokio::sync::mpsc::channel(1);
    let reading = tokio::spawn(ledger_poll::poll_ledger(Arc::clone(&jobs), ledger_sender));
    let mut looked_at = Instant::now();
    loop {
        let peer_update = async {
            node.peer_update.notified().await;
            tokio::time::sleep_until((looked_at + PEER_NEWS_PAUSE).into()).await;
        };
        tokio::select! {
            () = cancel.cancelled() => break,
            Some(ended) = ended_runs.recv() => worker.take_end(ended),
            Some(open) = ledger_news.recv() => worker.take_ledger(&open),
            () = node.loads.slot_freed.notified() => {}
            () = peer_update => {}
            () = jobs.wake.notified() => {}
            () = tokio::time::sleep(SCHEDULE_EVERY) => {}
        }
        looked_at = Instant::now();
        worker.yield_jobs();
        worker.notice_orphans();
        worker.yield_slots();
        worker.store_results();
        worker.save_progress();
        if worker.is_done() {
            break;
        }
        worker.start_items();
    }
    background.abort();
    reading.abort();
}

impl Worker {
    fn take_end(&mut self, ended: EndedRun) {
        self.runs
            .retain(|run| run.job != ended.job || run.item != ended.item);
        let output = ended.output.lock().expect("output lock").clone();
        self.estimate.note_run(ended.new_events, ended.took);
        if ended.end == RunEnd::Whole {
            self.estimate.note_whole(output.events());
        }
        let max_failures = self.max_failures(&ended.job);
        self.jobs.with_entry(&ended.job, |entry| {
            let now = Instant::now();
            let progress = &mut entry.progress;
            progress.run_ended(ended.item, ended.end, output, max_failures, now);
            let item = &progress.items[ended.item];
            if matches!(&item.state, ItemState::Done(result) if result.ending == Ending::GivenUp) {
                let id = &progress.spec.items[ended.item].id;
                log::warn!(request_id = id, job = ended.job, reason:? = ended.end, failures = item.failures, max_failures; "item given up");
            }
        });
    }

    fn max_failures(&self, job: &JobId) -> u32 {
        let config = self.node.config();
        let of_route = |entry: &mut JobEntry| {
            let spec = &entry.progress.spec;
            let route = config.as_ref()?.match_route(&spec.host, &spec.path)?;
            Some(route.max_attempts)
        };
        // Without a route nothing is given up for failures.
        self.jobs
            .with_entry(job, of_route)
            .flatten()
            .unwrap_or(u32::MAX)
    }

    fn start(&mut self, item: usize, run: ItemRun) {
        self.runs.push(Run {
            job: run.job.clone(),
            item,
            server: run.slot.server().clone(),
            started_at: Instant::now(),
            output: Arc::clone(&run.output),
            cancel: run.cancel.clone(),
        });
        let node = Arc::clone(&self.node);
        let ended = self.ended.clone();
        tokio::spawn(async move {
            let job = run.job.clone();
            let output = Arc::clone(&run.output);
            let events = |output: &SharedOutput| output.lock().expect("output lock").events();
            let events_before = events(&output);
            let started_at = Instant::now();
            let end = item_run::run_item(node, run).await;
            // The scheduler is gone only when the process stops.
            let _ = ended.send(EndedRun {
                job,
                item,
                end,
                new_events: events(&output) - events_before,
                took: started_at.elapsed(),
                output,
            });
        });
    }

    /// Stores finished results whose time has come, and closes jobs that are whole.
    fn store_results(&mut self) {
        let now = Instant::now();
        let config = self.node.config();
        let leaving = self.leaving.is_some();
        let mut due = Vec::new();
        self.jobs.for_each_owned(|entry| {
            let mut nearly_due = false;
            if let Some(config) = &config {
                let known_for = now.duration_since(self.started_at);
                give_up_overdue(entry, config, known_for, now);
                let due_in = due_unix(entry, config).saturating_sub(ledger_poll::unix_now());
                nearly_due = entry.progress.is_nearly_due(due_in);
            }
            let store = nearly_due || entry.progress.should_store(now, leaving);
            if store && !entry.storing {
                entry.storing = true;
                let due_unix = config.as_ref().map(|config| due_unix(entry, config));
                // Nothing is late that no configuration gives a time for.
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

    /// Whether a leaving worker has nothing left. Hands its jobs over on the way, at once:
    /// items that wait would stand still while others run on for seconds.
    fn is_done(&mut self) -> bool {
        if !self.node.is_leaving() {
            self.leaving = None;
            return false;
        }
        match &self.leaving {
            None => {
                for run in &self.runs {
                    run.cancel.cancel();
                }
                log::info!(runs = self.runs.len(); "leaving, runs stopped");
                self.leaving = Some(Leaving::StoppingRuns);
            }
            Some(Leaving::StoppingRuns) if self.runs.is_empty() && !self.is_saving() => {
                self.leaving = Some(Leaving::SavingProgress(self.save_progress_now()));
            }
            Some(Leaving::SavingProgress(saved)) if saved.load(Ordering::Relaxed) => {
                self.leaving = Some(Leaving::Released);
            }
            Some(Leaving::Released) => self.release_stored(),
            Some(Leaving::StoppingRuns | Leaving::SavingProgress(_)) => {}
        }
        self.runs.is_empty() && !self.node.has_owned_jobs() && self.node.leaving.is_cancelled()
    }

    /// Leaves the jobs to others whose finished results are stored.
    fn release_stored(&mut self) {
        let mut idle = Vec::new();
        self.jobs.for_each_owned(|entry| {
            if !entry.storing && entry.progress.unstored_since.is_none() {
                idle.push(entry.progress.spec.id.clone());
            }
        });
        for job in idle {
            log::info!(job; "job released");
            self.jobs.release_job(&job);
        }
    }
}

fn batch_route<'a>(config: &'a Config, host: &str, path: &str) -> Option<&'a Route> {
    config
        .match_route(host, path)
        .filter(|route| route.kind == RouteKind::Batch)
}

/// When a job's results are due, since the Unix epoch; at once without a route.
fn due_unix(entry: &JobEntry, config: &Config) -> Duration {
    let spec = &entry.progress.spec;
    let target = batch_route(config, &spec.host, &spec.path).map(|route| route.completion_target);
    spec.submitted_unix + target.unwrap_or_default()
}

/// Gives up what may be given up.
fn give_up_overdue(entry: &mut JobEntry, config: &Config, known_for: Duration, now: Instant) {
    let spec = &entry.progress.spec;
    let age = ledger_poll::unix_now().saturating_sub(spec.submitted_unix);
    let route = batch_route(config, &spec.host, &spec.path);
    if !job::is_overdue(route, age, known_for) || entry.progress.is_finished() {
        return;
    }
    log::warn!(job = spec.id, age_ms = age.as_millis() as u64, routed = route.is_some(); "rest of the job given up");
    entry.progress.give_up_rest(now);
    entry.cancel.cancel();
}

/// What goes on beside the scheduling of items.
async fn run_background(node: Arc<Node>, jobs: Arc<WorkerJobs>) {
    tokio::join!(
        ledger_poll::prune_stored(&node, &jobs),
        retirement_watch::run(&node),
        jobs.ledger_writer.run(&jobs.store),
    );
}
