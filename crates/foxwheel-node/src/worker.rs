//! Running batch jobs: which item runs next and where, when results are stored, taking over
//! jobs of workers that died, and leaving.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_core::ids::{JobId, ServerId};
use foxwheel_policy::batch::item::{Ending, ItemState};
use foxwheel_policy::batch::job;
use foxwheel_policy::batch::ownership;
use foxwheel_policy::placement;
use foxwheel_policy::routes::{Config, Route, RouteKind};
use tokio_util::sync::CancellationToken;

use crate::item_run::{self, ItemRun};
use crate::load_table::WorkClass;
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
    end: foxwheel_policy::batch::item::RunEnd,
    partial: foxwheel_policy::batch::item::PartialOutput,
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

    /// Starts waiting items, those of the oldest job first, while servers have slots.
    fn start_items(&mut self) {
        if self.leaving_since.is_some() {
            return;
        }
        let Some(config) = self.node.config() else {
            return;
        };
        for job in self.jobs_by_age() {
            while let Some(run) = self.next_run(&job, &config) {
                self.start(run);
            }
        }
    }

    /// Ids of held jobs, the one submitted first at the front.
    fn jobs_by_age(&self) -> Vec<JobId> {
        let mut jobs = Vec::new();
        self.jobs.each_held(|entry| {
            jobs.push((
                entry.progress.spec.submitted_unix,
                entry.progress.spec.id.clone(),
            ));
        });
        jobs.sort_unstable();
        jobs.into_iter().map(|(_, id)| id).collect()
    }

    /// The next item of `job` and the server for it; none if nothing waits or fits.
    fn next_run(&self, job: &JobId, config: &Config) -> Option<(usize, ItemRun)> {
        let now = Instant::now();
        let (host, path, item) = self.jobs.with(job, |entry| {
            let item = entry.progress.next_item(now)?;
            let spec = &entry.progress.spec;
            Some((spec.host.clone(), spec.path.clone(), item))
        })??;
        let route = batch_route(config, &host, &path)?;
        let service = route.pick_service(rand::random());
        let mut candidates = self.node.candidates(service, &[], now);
        let workers = self.all_workers(now);
        for candidate in &mut candidates {
            let keeper = ownership::slot_keeper(&candidate.id, &candidate.zone, &workers);
            let own = &self.node.settings.host;
            candidate.slot_keeper = keeper.is_some_and(|keeper| keeper.node == *own);
        }
        let zone = &self.node.settings.availability_zone;
        let draw = rand::random::<u32>() as usize;
        let server = placement::pick_batch(&candidates, zone, draw)?;
        let slot = self.node.loads.begin(&server.id, WorkClass::Batch);
        self.jobs.with(job, |entry| {
            entry.progress.start(item);
            let run = ItemRun {
                job: job.clone(),
                host,
                item: entry.progress.spec.items[item].clone(),
                partial: entry.progress.items[item].partial.clone(),
                slot,
                cancel: entry.cancel.child_token(),
            };
            (item, run)
        })
    }

    fn start(&mut self, (item, run): (usize, ItemRun)) {
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
            let (end, partial) = item_run::run(node, run).await;
            // The scheduler is gone only when the process stops.
            let _ = ended.send(EndedRun {
                job,
                item,
                end,
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
            if let Some(config) = &config {
                let known_for = now.duration_since(self.started_at);
                give_up_overdue(entry, config, known_for, now);
            }
            if entry.progress.should_store(now, leaving) && !entry.storing {
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

fn batch_route<'a>(config: &'a Config, host: &str, path: &str) -> Option<&'a Route> {
    config
        .match_route(host, path)
        .filter(|route| route.kind == RouteKind::Batch)
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
