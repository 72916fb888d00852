//! One run: a fleet, its users, the faults of a plan, and the checks.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use nix::sys::signal::Signal;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::batch_client::Client;
use crate::checks::{self, Breach, SERVED_AGAIN_WITHIN};
use crate::evidence::{ConfigProbe, Cuts, Disturbance, Evidence, Record, Stop};
use crate::faults::Injector;
use crate::fleet::{self, io_error, task_error, Fleet, SoakError, STOP_GRACE};
use crate::front_client;
use crate::online_caller::Caller;
use crate::plan::Plan;
use crate::process::{Process, Resources};
use crate::report;

/// Time before the first fault.
const WARM_UP: Duration = Duration::from_secs(1);

/// Time in which all must be served, after the last fault and the time to recover.
const QUIET: Duration = Duration::from_secs(2);

/// Time for the jobs that are open at the end.
const JOBS_END_WITHIN: Duration = Duration::from_secs(25);

/// Clients of jobs.
const CLIENTS: usize = 3;

/// How often fronts are asked what they have in force, and processes what they hold.
const PROBE_EVERY: Duration = Duration::from_millis(100);

/// Longest wait for the answer to such a question.
const PROBE_PATIENCE: Duration = Duration::from_millis(500);

/// A platform replaces a server that crashed after this.
const REPLACED_AFTER: Duration = Duration::from_millis(600);

/// How often the run says how far it is.
const PROGRESS_EVERY: Duration = Duration::from_secs(5);

/// Where a run finds and leaves things.
#[derive(Debug, Clone)]
pub struct Folders {
    /// The programs `foxwheel-front` and `foxwheel-worker`.
    pub programs: PathBuf,
    /// Plan, settings, logs, metrics and report of this run.
    pub run: PathBuf,
}

/// What became of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Promises that were broken.
    pub breaches: Vec<Breach>,
    /// Calls, jobs and runs seen.
    pub summary: String,
}

/// Carries out `plan`; everything of the run is in `folders.run` afterwards.
pub async fn run(plan: &Plan, folders: &Folders) -> Result<Outcome, SoakError> {
    std::fs::create_dir_all(&folders.run).map_err(io_error("make the run's folder"))?;
    report::write_plan(plan, &folders.run)?;
    let fleet = Fleet::start(plan, &folders.programs, &folders.run).await?;
    let mut run = Running::start(plan, fleet);
    let injected = run.inject(plan).await;
    let settled = run.settle(plan).await;
    run.stop_all(&folders.run).await?;
    injected.and(settled)?;
    let evidence = run.evidence();
    let breaches = checks::check(&evidence);
    let logs = run.logs();
    let summary = report::write(plan, &evidence, &breaches, &logs, &folders.run)?;
    Ok(Outcome { breaches, summary })
}

struct Running {
    fleet: Rc<RefCell<Fleet>>,
    record: Arc<Record>,
    started_at: Instant,
    stop_users: CancellationToken,
    give_up: CancellationToken,
    stop_watching: CancellationToken,
    callers: Vec<JoinHandle<()>>,
    clients: Vec<JoinHandle<()>>,
}

impl Running {
    fn start(plan: &Plan, fleet: Fleet) -> Self {
        let mut run = Self {
            fleet: Rc::new(RefCell::new(fleet)),
            record: Arc::default(),
            started_at: Instant::now(),
            stop_users: CancellationToken::new(),
            give_up: CancellationToken::new(),
            stop_watching: CancellationToken::new(),
            callers: Vec::new(),
            clients: Vec::new(),
        };
        let fronts = run.fleet.borrow().fronts();
        for at in 0..plan.size.callers {
            let caller = Caller {
                name: format!("call-{:x}-{at}", plan.seed),
                fronts: fronts.clone(),
                record: Arc::clone(&run.record),
            };
            let seed = plan.seed.wrapping_add(at as u64);
            let calling = caller.run(seed, run.stop_users.clone());
            run.callers.push(actix_web::rt::spawn(calling));
        }
        for at in 0..CLIENTS {
            let client = Client {
                name: format!("job-{:x}-{at}", plan.seed),
                fronts: fronts.clone(),
                record: Arc::clone(&run.record),
            };
            let seed = plan.seed.wrapping_sub(at as u64 + 1);
            let (stop, give_up) = (run.stop_users.clone(), run.give_up.clone());
            let calling = client.run(seed, stop, give_up);
            run.clients.push(actix_web::rt::spawn(calling));
        }
        for (at, front) in fronts.into_iter().enumerate() {
            let (record, stop) = (Arc::clone(&run.record), run.stop_watching.clone());
            actix_web::rt::spawn(probe_config(at, front, record, stop));
        }
        let (fleet, record) = (Rc::clone(&run.fleet), Arc::clone(&run.record));
        actix_web::rt::spawn(watch(fleet, record, run.stop_watching.clone()));
        run
    }

    /// Carries out the plan's steps at their times and waits until the last has ended.
    async fn inject(&self, plan: &Plan) -> Result<(), SoakError> {
        tokio::time::sleep(WARM_UP).await;
        let injector = Injector::new(Rc::clone(&self.fleet), Arc::clone(&self.record));
        let begin = tokio::time::Instant::now();
        let mut under_way = Vec::new();
        let mut said_at = begin;
        for step in plan.steps.iter().cloned() {
            tokio::time::sleep_until(begin + step.at).await;
            log::info!("fault at {} ms: {:?}", step.at.as_millis(), step.fault);
            under_way.push(actix_web::rt::spawn(injector.clone().carry_out(step)));
            if said_at.elapsed() >= PROGRESS_EVERY {
                said_at = tokio::time::Instant::now();
                self.say_progress(plan);
            }
        }
        for step in under_way {
            step.await.map_err(task_error("carry out a fault"))??;
        }
        Ok(())
    }

    fn say_progress(&self, plan: &Plan) {
        let evidence = self.record.lock();
        eprintln!(
            "seed {}: {} s: {} calls, {} jobs, {} faults over",
            plan.seed,
            self.started_at.elapsed().as_secs(),
            evidence.calls.len(),
            evidence.jobs.len(),
            evidence.disturbances.len(),
        );
    }

    /// Lets the fleet recover under load, then lets its users end.
    async fn settle(&mut self, plan: &Plan) -> Result<(), SoakError> {
        tokio::time::sleep(SERVED_AGAIN_WITHIN + QUIET).await;
        self.stop_users.cancel();
        join(std::mem::take(&mut self.callers)).await?;
        let clients = join(std::mem::take(&mut self.clients));
        tokio::pin!(clients);
        let ended = tokio::time::timeout(JOBS_END_WITHIN, &mut clients).await;
        let joined = match ended {
            Ok(joined) => joined,
            Err(_) => {
                self.give_up.cancel();
                clients.await
            }
        };
        self.say_progress(plan);
        joined
    }

    /// Keeps every process's metrics, then stops them all.
    async fn stop_all(&self, folder: &Path) -> Result<(), SoakError> {
        self.stop_watching.cancel();
        let metrics: Vec<(String, SocketAddr)> = {
            let fleet = self.fleet.borrow();
            let processes = fleet.nodes.iter().map(|node| &node.process);
            let page_of = |process: &Process| (process.host.clone(), process.metrics);
            processes.map(page_of).collect()
        };
        for (host, addr) in metrics {
            let page = front_client::call(addr, Method::GET, "/metrics", "metrics", &[], "");
            if let Ok(Ok(page)) = tokio::time::timeout(PROBE_PATIENCE, page).await {
                let file = folder.join(format!("{host}.metrics"));
                std::fs::write(file, page.body).map_err(io_error("keep metrics"))?;
            }
        }
        for node in &mut self.fleet.borrow_mut().nodes {
            node.process.signal(Signal::SIGTERM)?;
        }
        tokio::time::sleep(STOP_GRACE).await;
        for node in &mut self.fleet.borrow_mut().nodes {
            let (host, ended) = (node.process.host.clone(), node.process.ended());
            self.record.lock().stops.push(Stop { host, ended });
        }
        self.fleet.borrow().operator.cancel.cancel();
        Ok(())
    }

    fn evidence(&self) -> Evidence {
        let mut evidence = self.record.take();
        let fleet = self.fleet.borrow();
        evidence.runs = fleet.runs();
        evidence.arrivals = fleet.arrivals();
        let paths = fleet.nodes.iter().filter_map(|node| node.callers.as_ref());
        evidence.refusals = paths
            .enumerate()
            .flat_map(|(at, path)| path.refusals().into_iter().map(move |when| (at, when)))
            .collect();
        evidence.events = fleet::EVENTS;
        evidence.quota_tokens = fleet::QUOTA_TOKENS;
        evidence.began_at = Some(self.started_at);
        evidence
    }

    fn logs(&self) -> Vec<PathBuf> {
        let fleet = self.fleet.borrow();
        let nodes = fleet.nodes.iter();
        nodes.map(|node| node.process.log.clone()).collect()
    }
}

async fn join(tasks: Vec<JoinHandle<()>>) -> Result<(), SoakError> {
    for task in tasks {
        task.await.map_err(task_error("use the fleet"))?;
    }
    Ok(())
}

/// Asks the front at `at` for the newest version's own path, again and again.
async fn probe_config(at: usize, addr: SocketAddr, record: Arc<Record>, stop: CancellationToken) {
    while !stop.is_cancelled() {
        tokio::time::sleep(PROBE_EVERY).await;
        let newest = record.lock().configs.last().map(|config| config.version);
        let Some(version) = newest else { continue };
        let asked_at = Instant::now();
        let path = format!("/{}/probe", fleet::version_name(version));
        let answer = front_client::call(addr, Method::GET, &path, "probe-version", &[], "");
        let Ok(Ok(answer)) = tokio::time::timeout(PROBE_PATIENCE, answer).await else {
            continue;
        };
        let routed = match answer.status {
            StatusCode::OK => true,
            StatusCode::NOT_FOUND => false,
            _ => continue,
        };
        record.lock().probes.push(ConfigProbe {
            front: at,
            version,
            at: asked_at,
            routed,
        });
    }
}

/// Does what the platform would: replaces servers that crashed; notes processes that ended
/// unasked, and what each holds.
async fn watch(fleet: Rc<RefCell<Fleet>>, record: Arc<Record>, stop: CancellationToken) {
    while !stop.is_cancelled() {
        tokio::time::sleep(PROBE_EVERY).await;
        for id in newly_ended(&fleet) {
            let replaced = replace_ended(Rc::clone(&fleet), Arc::clone(&record), id);
            actix_web::rt::spawn(async move {
                if let Err(e) = replaced.await {
                    log::error!("a server that ended was not replaced: {e}");
                }
            });
        }
        note_processes(&fleet, &record);
    }
}

/// Servers whose end was not seen before.
fn newly_ended(fleet: &Rc<RefCell<Fleet>>) -> Vec<String> {
    let mut fleet = fleet.borrow_mut();
    let places = fleet.places.iter_mut();
    let ended = places.filter(|place| place.server.has_ended() && !place.end_seen);
    ended
        .map(|place| {
            place.end_seen = true;
            place.id.clone()
        })
        .collect()
}

async fn replace_ended(
    fleet: Rc<RefCell<Fleet>>,
    record: Arc<Record>,
    id: String,
) -> Result<(), SoakError> {
    let from = Instant::now() - PROBE_EVERY * 2;
    tokio::time::sleep(REPLACED_AFTER).await;
    let (operator, still_ended) = {
        let fleet = fleet.borrow();
        let mut places = fleet.places.iter();
        let still_ended = places.any(|place| place.id == id && place.server.has_ended());
        (fleet.operator.clone(), still_ended)
    };
    if still_ended {
        operator.unlist(&id).await?;
        let next = fleet.borrow_mut().next_server();
        let next = operator.start_server(next).await?;
        fleet.borrow_mut().replace(&id, next, None);
    }
    record.lock().disturbances.push(Disturbance {
        from,
        until: Instant::now(),
        cuts: Cuts::Any,
    });
    Ok(())
}

fn note_processes(fleet: &Rc<RefCell<Fleet>>, record: &Record) {
    let mut evidence = record.lock();
    for node in &mut fleet.borrow_mut().nodes {
        let host = &node.process.host;
        if let Some(held) = node.process.resources() {
            note_most(&mut evidence.resources, host, held);
        }
        let known = evidence.unasked_ends.iter().any(|(known, _)| known == host);
        if node.busy || known {
            continue;
        }
        let host = host.clone();
        if let Some(ended) = node.process.ended() {
            evidence.unasked_ends.push((host, ended));
        }
    }
}

fn note_most(most: &mut Vec<(String, Resources)>, host: &str, held: Resources) {
    let at = match most.binary_search_by(|(known, _)| known.as_str().cmp(host)) {
        Ok(at) => at,
        Err(at) => {
            most.insert(at, (host.to_owned(), held));
            at
        }
    };
    let known = &mut most[at].1;
    known.memory_bytes = known.memory_bytes.max(held.memory_bytes);
    known.open_files = known.open_files.max(held.open_files);
}
