//! Running batch jobs: which item runs next and where, when results are stored, taking over
//! jobs of workers that died, and leaving.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_core::ids::{JobId, ServerId, ServiceName};
use foxwheel_policy::batch::item::{Ending, ItemState, PartialOutput, RunEnd};
use foxwheel_policy::batch::job;
use foxwheel_policy::batch::ownership;
use foxwheel_policy::batch::schedule::{self, RunEstimate, WaitingItem};
use foxwheel_policy::placement::{self, Candidate};
use foxwheel_policy::routes::{Config, Route, RouteKind};
use tokio_util::sync::CancellationToken;

use crate::item_run::{self, ItemRun};
use crate::load_table::{InFlight, WorkClass};
use crate::node::Node;
use crate::worker_jobs::{JobEntry, WorkerJobs};
use crate::{ledger_follower, result_store, retirement_follower};

/// Longest pause between looks at what could run.
const SCHEDULE_EVERY: Duration = Duration::from_millis(50);

/// How long a leaving worker lets items run on before it stops them.
const LEAVE_RUNS_FOR: Duration = Duration::from_millis(4_500);

/// A run of an item under way.
struct Run {
    job: JobId,
    item: usize,
    server: ServerId,
    started_at: Instant,
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
    /// Jobs of the ledger that nobody runs and since when; sorted by job.
    unheld: Vec<(JobId, Instant)>,
    /// Jobs that other workers told of at the last look; sorted.
    told_elsewhere: Vec<JobId>,
    /// When the process learned that it must leave.
    leaving_since: Option<Instant>,
    started_at: Instant,
}

struct EndedRun {
    job: JobId,
    item: usize,
    end: RunEnd,
    partial: PartialOutput,
    /// Events that the run brought.
    new_events: u64,
    /// How long it took.
    took: Duration,
}

/// An item that waits, with its job.
struct Waiting {
    job: JobId,
    host: String,
    path: String,
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
        unheld: Vec::new(),
        told_elsewhere: Vec::new(),
        leaving_since: None,
        started_at: Instant::now(),
    };
    let background = tokio::spawn(run_background(Arc::clone(&node), Arc::clone(&jobs)));
    let (ledger_sender, mut ledger_news) = tokio::sync::mpsc::channel(1);
    let reading = tokio::spawn(ledger_follower::read(Arc::clone(&jobs), ledger_sender));
    loop {
        tokio::select! {
            () = cancel.cancelled() => break,
            Some(ended) = ended_runs.recv() => worker.take_end(ended),
            Some(open) = ledger_news.recv() => worker.take_ledger(&open),
            () = node.loads.freed.notified() => {}
            () = node.peer_news.notified() => {}
            () = jobs.wake.notified() => {}
            () = tokio::time::sleep(SCHEDULE_EVERY) => {}
        }
        worker.yield_jobs();
        worker.notice_orphans();
        worker.yield_slots();
        worker.store_results();
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
        self.estimate.note_run(ended.new_events, ended.took);
        if ended.end == RunEnd::Whole {
            self.estimate.note_whole(ended.partial.events());
        }
        let max_failures = self.max_failures(&ended.job);
        self.jobs.with(&ended.job, |entry| {
            let now = Instant::now();
            let progress = &mut entry.progress;
            progress.run_ended(ended.item, ended.end, ended.partial, max_failures, now);
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
        self.jobs.with(job, of_route).flatten().unwrap_or(u32::MAX)
    }

    /// Starts waiting items while servers have slots.
    fn start_items(&mut self) {
        if self.leaving_since.is_some() {
            return;
        }
        let Some(config) = self.node.config() else {
            return;
        };
        let now = Instant::now();
        let (jobs, mut items) = self.waiting_items(&config, now);
        schedule::sort(&mut items, ledger_follower::unix_now());
        let mut places = Places::default();
        for item in items {
            let job = &jobs[item.job];
            let Some(route) = batch_route(&config, &job.host, &job.path) else {
                continue;
            };
            let service = route.pick_service(rand::random());
            if let Some(slot) = places.take(self, service, now) {
                let run = self.run_of(job, item.item, slot);
                self.start(run);
            }
        }
    }

    /// Items that could run now, with the jobs that their numbers mean.
    fn waiting_items(&self, config: &Config, now: Instant) -> (Vec<Waiting>, Vec<WaitingItem>) {
        let (mut jobs, mut items) = (Vec::new(), Vec::new());
        self.jobs.each_held(|entry| {
            let progress = &entry.progress;
            let spec = &progress.spec;
            let Some(route) = batch_route(config, &spec.host, &spec.path) else {
                return;
            };
            let due_unix = spec.submitted_unix + route.completion_target;
            items.extend(progress.waiting_items(now).map(|item| {
                WaitingItem {
                    job: jobs.len(),
                    item,
                    due_unix,
                    remaining: self
                        .estimate
                        .remaining(progress.items[item].partial.events()),
                }
            }));
            jobs.push(Waiting {
                job: spec.id.clone(),
                host: spec.host.clone(),
                path: spec.path.clone(),
            });
        });
        (jobs, items)
    }

    fn run_of(&self, job: &Waiting, item: usize, slot: InFlight) -> Option<(usize, ItemRun)> {
        self.jobs.with(&job.job, |entry| {
            entry.progress.start(item);
            let run = ItemRun {
                job: job.job.clone(),
                host: job.host.clone(),
                item: entry.progress.spec.items[item].clone(),
                partial: entry.progress.items[item].partial.clone(),
                slot,
                cancel: entry.cancel.child_token(),
            };
            (item, run)
        })
    }

    /// The servers of `service` as places for batch items.
    fn batch_candidates(&self, service: &str, now: Instant) -> Vec<Candidate> {
        let workers = self.all_workers(now);
        let own = &self.node.settings.host;
        let mut candidates = self.node.candidates(service, &[], now);
        for candidate in &mut candidates {
            let keeper = ownership::slot_keeper(&candidate.id, &candidate.zone, &workers);
            candidate.slot_keeper = keeper.is_some_and(|keeper| keeper.node == *own);
        }
        candidates
    }

    fn start(&mut self, run: Option<(usize, ItemRun)>) {
        // A job that was dropped since it was looked at gives its slot back.
        let Some((item, run)) = run else { return };
        self.runs.push(Run {
            job: run.job.clone(),
            item,
            server: run.slot.server().clone(),
            started_at: Instant::now(),
            cancel: run.cancel.clone(),
        });
        let node = Arc::clone(&self.node);
        let ended = self.ended.clone();
        tokio::spawn(async move {
            let job = run.job.clone();
            let events_before = run.partial.events();
            let started_at = Instant::now();
            let (end, partial) = item_run::run(node, run).await;
            // The scheduler is gone only when the process stops.
            let _ = ended.send(EndedRun {
                job,
                item,
                end,
                new_events: partial.events() - events_before,
                took: started_at.elapsed(),
                partial,
            });
        });
    }

    /// Stops runs on servers whose slots online requests need, the newest first.
    fn yield_slots(&mut self) {
        let now = Instant::now();
        let Some(config) = self.node.config() else {
            return;
        };
        for service in &config.services {
            for candidate in self.node.candidates(&service.name, &[], now) {
                let mut excess = placement::batch_excess(&candidate);
                let runs = self.runs.iter().rev();
                for run in runs.filter(|run| run.server == candidate.id) {
                    if excess == 0 {
                        break;
                    }
                    if now.duration_since(run.started_at) >= placement::LEAST_RUN {
                        run.cancel.cancel();
                    }
                    excess -= 1;
                }
            }
        }
    }

    /// Stores finished results whose time has come, and closes jobs that are whole.
    fn store_results(&mut self) {
        let now = Instant::now();
        let config = self.node.config();
        let leaving = self.leaving_since.is_some();
        let mut due = Vec::new();
        self.jobs.each_held(|entry| {
            let mut nearly_due = false;
            if let Some(config) = &config {
                let known_for = now.duration_since(self.started_at);
                give_up_overdue(entry, config, known_for, now);
                nearly_due = entry.progress.is_nearly_due(due_in(entry, config));
            }
            let store = nearly_due || entry.progress.should_store(now, leaving);
            if store && !entry.storing {
                entry.storing = true;
                due.push(entry.progress.spec.id.clone());
            }
        });
        for job in due {
            tokio::spawn(result_store::store(Arc::clone(&self.jobs), job));
        }
        self.jobs.evict(now);
    }

    /// The live workers with this one.
    fn all_workers(&self, now: Instant) -> Vec<ownership::Worker> {
        let settings = &self.node.settings;
        let mut workers = self.node.peers.workers(now);
        workers.retain(|worker| worker.node != settings.host);
        workers.push(ownership::Worker {
            node: settings.host.clone(),
            zone: settings.availability_zone.clone(),
            leaving: self.node.is_leaving(),
            heard: true,
            claims: self.node.claims(),
        });
        workers
    }

    /// Leaves jobs to workers that run them too.
    fn yield_jobs(&mut self) {
        let others = self.node.peers.workers(Instant::now());
        let own = &self.node.settings.host;
        let mut yielded = Vec::new();
        self.jobs.each_held(|entry| {
            let job = &entry.progress.spec.id;
            if ownership::should_yield(job, own, entry.progress.parts, &others) {
                yielded.push(job.clone());
            }
        });
        for job in yielded {
            log::info!(job; "job left to another worker that runs it too");
            self.jobs.release(&job);
        }
    }

    /// Has the ledger read at once when a worker that ran a job is silent or gave it back.
    fn notice_orphans(&mut self) {
        let workers = self.node.peers.workers(Instant::now());
        let claims = workers.iter().flat_map(|worker| &worker.claims);
        let mut told: Vec<JobId> = claims.map(|claim| claim.job.clone()).collect();
        told.sort_unstable();
        told.dedup();
        let gone = |job: &&JobId| told.binary_search(job).is_err();
        let orphaned = self.told_elsewhere.iter().filter(gone).count();
        if orphaned > 0 {
            log::info!(jobs = orphaned; "jobs no longer told of by other workers");
            self.jobs.look_at_ledger.notify_one();
        }
        self.told_elsewhere = told;
    }

    /// Looks at the open jobs of the ledger: takes those that nobody runs.
    fn take_ledger(&mut self, open: &[JobId]) {
        let now = Instant::now();
        // Right after the start nobody was heard yet.
        let heard = now.duration_since(self.started_at) >= ledger_follower::LEDGER_EVERY;
        let workers = self.all_workers(now);
        let own = self.node.settings.host.clone();
        let before = std::mem::take(&mut self.unheld);
        for job in open {
            if workers.iter().any(|worker| worker.holds(job)) {
                continue;
            }
            let known = before.binary_search_by(|(id, _)| id.cmp(job));
            let since = known.map_or(now, |at| before[at].1);
            self.unheld.push((job.clone(), since));
            let first = ownership::first_choice(job, &workers).is_some_and(|w| w.node == own);
            let take = ownership::should_take(job, &own, &workers, since, now)
                && (first || !self.jobs.was_not_stored(job, now));
            if heard && take && !self.node.is_leaving() {
                let jobs = Arc::clone(&self.jobs);
                let job = job.clone();
                tokio::spawn(async move {
                    if let Err(e) = jobs.adopt(&job).await {
                        log::warn!(job, error:% = e; "job not adopted");
                    }
                });
            }
        }
    }

    /// Whether a leaving worker has nothing left. Releases jobs on the way.
    fn is_done(&mut self) -> bool {
        if !self.node.is_leaving() {
            self.leaving_since = None;
            return false;
        }
        let now = Instant::now();
        let since = *self.leaving_since.get_or_insert(now);
        if now.duration_since(since) >= LEAVE_RUNS_FOR {
            for run in &self.runs {
                run.cancel.cancel();
            }
        }
        let mut idle = Vec::new();
        self.jobs.each_held(|entry| {
            let id = &entry.progress.spec.id;
            let runs = self.runs.iter().any(|run| run.job == *id);
            if !runs && !entry.storing && entry.progress.unstored_since.is_none() {
                idle.push(id.clone());
            }
        });
        for job in idle {
            log::info!(job; "job released");
            self.jobs.release(&job);
        }
        self.runs.is_empty() && !self.node.holds_jobs() && self.node.leaving.is_cancelled()
    }
}

/// Places for batch items at the servers of each service, as one look at their load shows
/// them; what is taken counts.
#[derive(Default)]
struct Places(Vec<(ServiceName, Vec<Candidate>)>);

impl Places {
    /// Takes a slot at a server of `service`; none if none is free.
    fn take(&mut self, worker: &Worker, service: &ServiceName, now: Instant) -> Option<InFlight> {
        let known = self.0.iter().position(|(name, _)| name == service);
        let at = known.unwrap_or_else(|| {
            let candidates = worker.batch_candidates(service, now);
            self.0.push((service.clone(), candidates));
            self.0.len() - 1
        });
        let candidates = &mut self.0[at].1;
        let node = &worker.node;
        let zone = &node.settings.availability_zone;
        let draw = rand::random::<u32>() as usize;
        let Some(id) = placement::pick_batch(candidates, zone, draw).map(|pick| pick.id.clone())
        else {
            // Nothing is looked for again in this round.
            candidates.clear();
            return None;
        };
        let taken = candidates.iter_mut().find(|one| one.id == id)?;
        taken.in_flight += 1;
        taken.batch_in_flight += 1;
        taken.own_batch += 1;
        Some(node.loads.begin(&id, WorkClass::Batch))
    }
}

fn batch_route<'a>(config: &'a Config, host: &str, path: &str) -> Option<&'a Route> {
    config
        .match_route(host, path)
        .filter(|route| route.kind == RouteKind::Batch)
}

/// How long until a job's results are due; zero when they are.
fn due_in(entry: &JobEntry, config: &Config) -> Duration {
    let spec = &entry.progress.spec;
    let target = batch_route(config, &spec.host, &spec.path).map(|route| route.completion_target);
    let due_unix = spec.submitted_unix + target.unwrap_or_default();
    due_unix.saturating_sub(ledger_follower::unix_now())
}

/// Gives up what may be given up.
fn give_up_overdue(entry: &mut JobEntry, config: &Config, known_for: Duration, now: Instant) {
    let spec = &entry.progress.spec;
    let age = ledger_follower::unix_now().saturating_sub(spec.submitted_unix);
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
        ledger_follower::prune(&node, &jobs),
        retirement_follower::run(&node),
        jobs.ledger.run(&jobs.store),
    );
}
