//! Running batch jobs: which item runs next and where, storing results, taking over jobs of
//! workers that died, and leaving.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_core::ids::{JobId, ServerId};
use foxwheel_core::time;
use foxwheel_platform::retirement::{self, Progress};
use foxwheel_platform::store::{Watched, Write, Written};
use foxwheel_policy::batch::item::{Ending, ItemState};
use foxwheel_policy::batch::ledger::{LedgerChange, OpenJob};
use foxwheel_policy::batch::ownership;
use foxwheel_policy::placement;
use foxwheel_policy::routes::{Config, Route, RouteKind};
use tokio_util::sync::CancellationToken;

use crate::item_run::{self, ItemRun};
use crate::job_store::PartCreated;
use crate::load_table::WorkClass;
use crate::node::Node;
use crate::settings::Role;
use crate::store_access::Backoff;
use crate::worker_jobs::{JobEntry, WorkerJobs};

/// Longest pause between looks at what could run.
const SCHEDULE_EVERY: Duration = Duration::from_millis(50);

/// How often the ledger is read for jobs that nobody runs and jobs that were ended. Below
/// the time within which an ended job's items must stop (3 s), for the case that the call
/// that tells of the end is lost.
const LEDGER_EVERY: Duration = Duration::from_millis(2_000);

/// Least time from a reason to read the ledger until it is read: several reasons come
/// together when a worker dies.
const LEDGER_PAUSE: Duration = Duration::from_millis(150);

/// How long finished results of a job with more to run wait for others, so that one write
/// stores several: a crash in this time costs their runs again.
const STORE_AFTER: Duration = Duration::from_millis(2_500);

/// The same when an item was given up: until that is stored, a worker that takes over
/// would let the item fail as often again.
const STORE_GIVE_UP_AFTER: Duration = Duration::from_millis(200);

/// Longest time for one change of the ledger.
const LEDGER_TIME: Duration = Duration::from_millis(3_000);

/// How long a route must be missing before its jobs are given up.
const ROUTE_MISSING_FOR: Duration = Duration::from_secs(5);

/// How long closed jobs are remembered beyond the time their results stay readable:
/// covers repeats of a submission that are still on their way.
const REMEMBER_CLOSED: Duration = Duration::from_secs(120);

/// Age from which a job of the ledger is looked for in the store and withdrawn if it was
/// never stored: far above the time for which clients send a job again.
const WITHDRAW_AFTER: Duration = Duration::from_secs(90);

/// How long a leaving worker lets items run on before it stops them.
const LEAVE_RUNS_FOR: Duration = Duration::from_millis(4_500);

/// Longest wait of one watch for retirements.
const RETIREMENT_WATCH: Duration = Duration::from_secs(25);

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
    let ledger = tokio::spawn(follow_ledger(Arc::clone(&node), Arc::clone(&jobs)));
    let (ledger_sender, mut ledger_news) = tokio::sync::mpsc::channel(1);
    let reading = tokio::spawn(read_ledger(Arc::clone(&jobs), ledger_sender));
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
    ledger.abort();
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
        let now_unix = unix_now();
        let config = self.node.config();
        let leaving = self.leaving_since.is_some();
        let mut due = Vec::new();
        self.jobs.each_held(|entry| {
            if let Some(config) = &config {
                give_up_overdue(entry, config, now_unix, now, self.started_at);
            }
            let patience = match entry.progress.has_unstored_give_up() {
                true => STORE_GIVE_UP_AFTER,
                false => STORE_AFTER,
            };
            let waited = entry
                .progress
                .unstored_since
                .is_some_and(|since| now.duration_since(since) >= patience);
            let store = entry.progress.is_finished() || waited || leaving;
            let something = entry.progress.unstored_since.is_some() || entry.progress.is_listed();
            if store && something && !entry.storing {
                entry.storing = true;
                due.push(entry.progress.spec.id.clone());
            }
        });
        for job in due {
            tokio::spawn(store_job_results(Arc::clone(&self.jobs), job));
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
        let heard = now.duration_since(self.started_at) >= LEDGER_EVERY;
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

/// Gives up what may be given up: items past the route's retention time, and all items of
/// a route that is gone.
fn give_up_overdue(
    entry: &mut JobEntry,
    config: &Config,
    now_unix: Duration,
    now: Instant,
    started_at: Instant,
) {
    let spec = &entry.progress.spec;
    let age = now_unix.saturating_sub(spec.submitted_unix);
    let overdue = match batch_route(config, &spec.host, &spec.path) {
        Some(route) => !route.retention.is_zero() && age > route.retention,
        None => age > ROUTE_MISSING_FOR && now.duration_since(started_at) > ROUTE_MISSING_FOR,
    };
    if overdue && !entry.progress.is_finished() {
        log::warn!(job = spec.id, age_ms = age.as_millis() as u64; "rest of the job given up");
        entry.progress.give_up_rest(now);
        entry.cancel.cancel();
    }
}

/// Stores the finished results of `job` part by part; closes the job when it is whole.
async fn store_job_results(jobs: Arc<WorkerJobs>, job: JobId) {
    if let Err(e) = store_parts(&jobs, &job).await {
        log::warn!(job, error:% = e; "results not stored, trying again");
        tokio::time::sleep(Backoff::default().pause()).await;
    }
    let finished = jobs.with(&job, |entry| entry.progress.is_listed());
    if finished == Some(true) {
        close_job(&jobs, &job).await;
    }
    jobs.with(&job, |entry| entry.storing = false);
    jobs.wake.notify_one();
}

async fn store_parts(
    jobs: &WorkerJobs,
    job: &JobId,
) -> Result<(), crate::job_store::JobStoreError> {
    let max_bytes = jobs.store.part_bytes();
    loop {
        let next = jobs.with(job, |entry| {
            (entry.progress.parts, entry.progress.next_part(max_bytes))
        });
        let Some((number, results)) = next.filter(|(_, results)| !results.is_empty()) else {
            return Ok(());
        };
        match jobs.store.create_part(job, number, &results).await? {
            PartCreated::Done => {
                log::info!(job, part = number, results = results.len(); "results stored");
                jobs.take_part(job, number, results);
            }
            PartCreated::Taken(others) => {
                log::info!(job, part = number, results = others.len(); "results of another worker met");
                jobs.take_part(job, number, others);
            }
        }
    }
}

/// Marks a job as closed in the ledger; the next look at the ledger repeats a failure.
async fn close_job(jobs: &WorkerJobs, job: &JobId) {
    let now_unix = unix_now();
    let deadline = Instant::now() + LEDGER_TIME;
    let close = LedgerChange::Close {
        id: job.clone(),
        now_unix,
    };
    match jobs.change_ledger(close, deadline).await {
        Ok(_) => jobs.end(job, "completion"),
        Err(e) => log::warn!(job, error:% = e; "job not closed, trying again"),
    }
}

/// Hands the open jobs of the ledger to the scheduler, and ends held ones that are closed.
async fn read_ledger(jobs: Arc<WorkerJobs>, news: tokio::sync::mpsc::Sender<Vec<JobId>>) {
    let mut ticks = tokio::time::interval(LEDGER_EVERY);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = jobs.look_at_ledger.notified() => tokio::time::sleep(LEDGER_PAUSE).await,
        }
        let deadline = Instant::now() + LEDGER_EVERY;
        let ledger = match jobs.store.read_ledger(deadline).await {
            Ok(ledger) => ledger,
            Err(e) => {
                log::info!(error:% = e; "ledger not read");
                continue;
            }
        };
        withdraw_unstored(&jobs, &ledger.open).await;
        for closed in &ledger.closed {
            jobs.end(&closed.id, "ledger");
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
        let held = jobs.with(&job.id, |entry| entry.held) == Some(true);
        let deadline = Instant::now() + LEDGER_EVERY;
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

/// Keeps the ledger small, and empties this host when the operator asks for it.
async fn follow_ledger(node: Arc<Node>, jobs: Arc<WorkerJobs>) {
    tokio::join!(
        prune_ledger(&node, &jobs),
        follow_retirements(&node),
        jobs.ledger.run(&jobs.store),
    );
}

async fn prune_ledger(node: &Node, jobs: &WorkerJobs) {
    let keep = node.settings.results_readable + REMEMBER_CLOSED;
    loop {
        tokio::time::sleep(REMEMBER_CLOSED).await;
        let first = {
            let live = node.peers.live(Role::Worker, Instant::now());
            live.first()
                .is_none_or(|(host, _)| *host >= node.settings.host)
        };
        if !first {
            continue;
        }
        let now_unix = unix_now();
        let deadline = Instant::now() + LEDGER_TIME;
        let pruned = jobs
            .store
            .update_ledger(deadline, |ledger| ledger.prune(now_unix, keep));
        if let Err(e) = pruned.await {
            log::warn!(error:% = e; "ledger not pruned");
        }
    }
}

async fn follow_retirements(node: &Node) {
    let mut backoff = Backoff::default();
    loop {
        if let Err(e) = retire_when_asked(node).await {
            log::debug!(error:% = e; "retirements not followed");
            tokio::time::sleep(backoff.pause()).await;
        }
    }
}

/// Waits until the operator asks to empty this host, and empties it.
async fn retire_when_asked(node: &Node) -> Result<(), foxwheel_platform::store::StoreError> {
    let own = &node.settings.host;
    let listing = node.store.list(retirement::KIND).await?;
    let mut asked = listing
        .objects
        .iter()
        .any(|object| object.name == *own && !retirement::is_completed(&object.status));
    let mut revision = listing.revision;
    while !asked {
        let watched = node
            .store
            .watch(retirement::KIND, revision, RETIREMENT_WATCH)
            .await?;
        match watched {
            Watched::HistoryGone => return Ok(()),
            Watched::Changes {
                changes,
                revision: next,
            } => {
                revision = next;
                asked = changes.iter().any(|change| {
                    change.object.name == *own
                        && !change.removed
                        && !retirement::is_completed(&change.object.status)
                });
            }
        }
    }
    log::info!(host = own; "asked to retire");
    write_retirement(node, Progress::Running).await;
    node.retiring.cancel();
    while node.holds_jobs() {
        tokio::time::sleep(SCHEDULE_EVERY).await;
    }
    write_retirement(node, Progress::Completed).await;
    log::info!(host = own; "retired: nothing is held here");
    node.leaving.cancelled().await;
    Ok(())
}

async fn write_retirement(node: &Node, progress: Progress) {
    let write = Write::SetStatus {
        kind: retirement::KIND.to_owned(),
        name: node.settings.host.clone(),
        status: retirement::encode(progress).to_string(),
    };
    let mut backoff = Backoff::default();
    loop {
        match node.store.write(&write).await {
            Ok(Written::Done(_) | Written::Missing) => return,
            Ok(Written::Conflict(_)) | Err(_) => tokio::time::sleep(backoff.pause()).await,
        }
    }
}

fn unix_now() -> Duration {
    Duration::from_millis(time::unix_ms())
}
