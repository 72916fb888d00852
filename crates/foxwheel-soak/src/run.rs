//! Carries out one soak run: starts the fleet and its load, injects the faults of a plan, and
//! checks the evidence.

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

use crate::batch_client::BatchClient;
use crate::checks::{self, Breach, RECOVERY_TIMEOUT};
use crate::evidence::{ConfigProbe, CutScope, Evidence, FaultPeriod, ProcessStop, Recorder};
use crate::faults::Injector;
use crate::fleet::{self, io_error, task_error, Fleet, SoakError, STOP_GRACE};
use crate::front_client;
use crate::online_caller::OnlineCaller;
use crate::plan::Plan;
use crate::process::{Process, Resources};
use crate::report;

/// Time under load before the first fault.
const WARM_UP_DURATION: Duration = Duration::from_secs(1);

/// Time under load, after the recovery from the last fault, in which all calls must be served.
const FAULT_FREE_DURATION: Duration = Duration::from_secs(2);

/// Time in which jobs that are open at the end of the load must finish.
const JOBS_END_TIMEOUT: Duration = Duration::from_secs(25);

/// Number of clients that submit batch jobs.
const BATCH_CLIENT_COUNT: usize = 3;

/// Interval at which fronts are probed for their configuration and processes for their resources.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit for the response to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a crashed server is replaced, as the platform does.
const SERVER_REPLACEMENT_DELAY: Duration = Duration::from_millis(600);

/// Interval of progress messages.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// Directories of a soak run.
#[derive(Debug, Clone)]
pub struct Folders {
    /// Directory of the programs `foxwheel-front` and `foxwheel-worker`.
    pub programs: PathBuf,
    /// Directory in which this run writes its plan, settings, logs, metrics and report.
    pub run: PathBuf,
}

/// Result of a soak run.
#[derive(Debug)]
pub struct Outcome {
    /// Promises that were not kept.
    pub breaches: Vec<Breach>,
    /// Numbers of calls, jobs and runs, in one line.
    pub summary: String,
}

/// Carries out `plan` and writes all files of the run to `folders.run`.
///
/// Returns an error if the run could not be carried out. Broken promises are not errors.
pub async fn run(plan: &Plan, folders: &Folders) -> Result<Outcome, SoakError> {
    std::fs::create_dir_all(&folders.run).map_err(io_error("create the run's folder"))?;
    report::write_plan(plan, &folders.run)?;
    let fleet = Fleet::start(plan, &folders.programs, &folders.run).await?;
    let mut run = ActiveRun::start(plan, fleet);
    let injected = run.inject_faults(plan).await;
    let recovered = run.wait_for_recovery(plan).await;
    run.stop_processes(&folders.run).await?;
    injected.and(recovered)?;
    let evidence = run.collect_evidence();
    let breaches = checks::find_breaches(&evidence);
    let log_files = run.log_files();
    let summary = report::write_report(plan, &evidence, &breaches, &log_files, &folders.run)?;
    Ok(Outcome { breaches, summary })
}

struct ActiveRun {
    fleet: Rc<RefCell<Fleet>>,
    recorder: Arc<Recorder>,
    started_at: Instant,
    stop_load: CancellationToken,
    give_up_jobs: CancellationToken,
    stop_monitoring: CancellationToken,
    callers: Vec<JoinHandle<()>>,
    clients: Vec<JoinHandle<()>>,
}

impl ActiveRun {
    fn start(plan: &Plan, fleet: Fleet) -> Self {
        let mut run = Self {
            fleet: Rc::new(RefCell::new(fleet)),
            recorder: Arc::default(),
            started_at: Instant::now(),
            stop_load: CancellationToken::new(),
            give_up_jobs: CancellationToken::new(),
            stop_monitoring: CancellationToken::new(),
            callers: Vec::new(),
            clients: Vec::new(),
        };
        let fronts = run.fleet.borrow().fronts();
        for index in 0..plan.size.callers {
            let caller = OnlineCaller {
                name: format!("call-{:x}-{index}", plan.seed),
                fronts: fronts.clone(),
                recorder: Arc::clone(&run.recorder),
            };
            let seed = plan.seed.wrapping_add(index as u64);
            let calls = caller.run(seed, run.stop_load.clone());
            run.callers.push(actix_web::rt::spawn(calls));
        }
        for index in 0..BATCH_CLIENT_COUNT {
            let client = BatchClient {
                name: format!("job-{:x}-{index}", plan.seed),
                fronts: fronts.clone(),
                recorder: Arc::clone(&run.recorder),
            };
            let seed = plan.seed.wrapping_sub(index as u64 + 1);
            let (stop, give_up_jobs) = (run.stop_load.clone(), run.give_up_jobs.clone());
            let calls = client.run(seed, stop, give_up_jobs);
            run.clients.push(actix_web::rt::spawn(calls));
        }
        for (index, front) in fronts.into_iter().enumerate() {
            let (recorder, stop) = (Arc::clone(&run.recorder), run.stop_monitoring.clone());
            actix_web::rt::spawn(probe_config(index, front, recorder, stop));
        }
        let (fleet, recorder) = (Rc::clone(&run.fleet), Arc::clone(&run.recorder));
        actix_web::rt::spawn(monitor_fleet(fleet, recorder, run.stop_monitoring.clone()));
        run
    }

    /// Injects the faults of the plan at their times and waits until the last one has ended.
    async fn inject_faults(&self, plan: &Plan) -> Result<(), SoakError> {
        tokio::time::sleep(WARM_UP_DURATION).await;
        let injector = Injector::new(Rc::clone(&self.fleet), Arc::clone(&self.recorder));
        let injection_start = tokio::time::Instant::now();
        let mut injections = Vec::new();
        let mut printed_at = injection_start;
        for step in plan.steps.iter().cloned() {
            tokio::time::sleep_until(injection_start + step.start_after).await;
            log::info!(
                "fault at {} ms: {:?}",
                step.start_after.as_millis(),
                step.fault
            );
            injections.push(actix_web::rt::spawn(injector.clone().inject(step)));
            if printed_at.elapsed() >= PROGRESS_INTERVAL {
                printed_at = tokio::time::Instant::now();
                self.print_progress(plan);
            }
        }
        for step in injections {
            step.await.map_err(task_error("inject a fault"))??;
        }
        Ok(())
    }

    fn print_progress(&self, plan: &Plan) {
        let evidence = self.recorder.lock();
        eprintln!(
            "seed {}: {} s: {} calls, {} jobs, {} faults over",
            plan.seed,
            self.started_at.elapsed().as_secs(),
            evidence.calls.len(),
            evidence.jobs.len(),
            evidence.fault_periods.len(),
        );
    }

    /// Lets the fleet recover under load, then stops callers and clients and waits for open jobs.
    async fn wait_for_recovery(&mut self, plan: &Plan) -> Result<(), SoakError> {
        tokio::time::sleep(RECOVERY_TIMEOUT + FAULT_FREE_DURATION).await;
        self.stop_load.cancel();
        join_tasks(std::mem::take(&mut self.callers)).await?;
        let clients = join_tasks(std::mem::take(&mut self.clients));
        tokio::pin!(clients);
        let finished = tokio::time::timeout(JOBS_END_TIMEOUT, &mut clients).await;
        let joined = match finished {
            Ok(joined) => joined,
            Err(_) => {
                self.give_up_jobs.cancel();
                clients.await
            }
        };
        self.print_progress(plan);
        joined
    }

    /// Saves the metrics of every process, then stops all processes.
    async fn stop_processes(&self, folder: &Path) -> Result<(), SoakError> {
        self.stop_monitoring.cancel();
        let metrics_addrs: Vec<(String, SocketAddr)> = {
            let fleet = self.fleet.borrow();
            let processes = fleet.nodes.iter().map(|node| &node.process);
            let host_and_addr = |process: &Process| (process.host.clone(), process.metrics_addr);
            processes.map(host_and_addr).collect()
        };
        for (host, addr) in metrics_addrs {
            let page = front_client::call(addr, Method::GET, "/metrics", "metrics", &[], "");
            if let Ok(Ok(page)) = tokio::time::timeout(PROBE_TIMEOUT, page).await {
                let file = folder.join(format!("{host}.metrics"));
                std::fs::write(file, page.body).map_err(io_error("save metrics"))?;
            }
        }
        for node in &mut self.fleet.borrow_mut().nodes {
            node.process.signal(Signal::SIGTERM)?;
        }
        tokio::time::sleep(STOP_GRACE).await;
        for node in &mut self.fleet.borrow_mut().nodes {
            let (host, exit) = (node.process.host.clone(), node.process.poll_exit());
            self.recorder.lock().stops.push(ProcessStop { host, exit });
        }
        self.fleet.borrow().operator.cancel.cancel();
        Ok(())
    }

    fn collect_evidence(&self) -> Evidence {
        let mut evidence = self.recorder.take_evidence();
        let fleet = self.fleet.borrow();
        evidence.runs = fleet.runs();
        evidence.arrivals = fleet.arrivals();
        let paths = fleet
            .nodes
            .iter()
            .filter_map(|node| node.caller_path.as_ref());
        evidence.refusal_times = paths
            .enumerate()
            .flat_map(|(front, path)| path.refusal_times().into_iter().map(move |at| (front, at)))
            .collect();
        evidence.event_count = fleet::EVENT_COUNT;
        evidence.quota_tokens = fleet::QUOTA_TOKENS;
        evidence.started_at = Some(self.started_at);
        evidence
    }

    fn log_files(&self) -> Vec<PathBuf> {
        let fleet = self.fleet.borrow();
        let nodes = fleet.nodes.iter();
        nodes.map(|node| node.process.log_file.clone()).collect()
    }
}

async fn join_tasks(tasks: Vec<JoinHandle<()>>) -> Result<(), SoakError> {
    for task in tasks {
        task.await.map_err(task_error("run a caller or client"))?;
    }
    Ok(())
}

/// Repeatedly requests the route that only the newest configuration has from the front with index
/// `front_index`.
async fn probe_config(
    front_index: usize,
    addr: SocketAddr,
    recorder: Arc<Recorder>,
    stop: CancellationToken,
) {
    while !stop.is_cancelled() {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let newest = recorder.lock().configs.last().map(|config| config.version);
        let Some(version) = newest else { continue };
        let probed_at = Instant::now();
        let path = format!("/{}/probe", fleet::version_route_name(version));
        let response = front_client::call(addr, Method::GET, &path, "probe-version", &[], "");
        let Ok(Ok(response)) = tokio::time::timeout(PROBE_TIMEOUT, response).await else {
            continue;
        };
        let has_route = match response.status {
            StatusCode::OK => true,
            StatusCode::NOT_FOUND => false,
            _ => continue,
        };
        recorder.lock().probes.push(ConfigProbe {
            front: front_index,
            version,
            sent_at: probed_at,
            has_route,
        });
    }
}

/// Replaces crashed servers, as the platform would, and records unexpected exits and the resource
/// use of processes.
async fn monitor_fleet(
    fleet: Rc<RefCell<Fleet>>,
    recorder: Arc<Recorder>,
    stop: CancellationToken,
) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        // Processes that were stopped at the end of the run have not exited unexpectedly.
        if stop.is_cancelled() {
            return;
        }
        for id in take_crashed_servers(&fleet) {
            let replacement = replace_crashed_server(Rc::clone(&fleet), Arc::clone(&recorder), id);
            actix_web::rt::spawn(async move {
                if let Err(e) = replacement.await {
                    log::error!("cannot replace a crashed server: {e}");
                }
            });
        }
        record_process_states(&fleet, &recorder);
    }
}

/// Returns the ids of crashed servers that were not returned before.
fn take_crashed_servers(fleet: &Rc<RefCell<Fleet>>) -> Vec<String> {
    let mut fleet = fleet.borrow_mut();
    let servers = fleet.servers.iter_mut();
    let crashed =
        servers.filter(|server| server.emulator.has_terminated() && !server.crash_handled);
    crashed
        .map(|server| {
            server.crash_handled = true;
            server.id.clone()
        })
        .collect()
}

async fn replace_crashed_server(
    fleet: Rc<RefCell<Fleet>>,
    recorder: Arc<Recorder>,
    id: String,
) -> Result<(), SoakError> {
    let from = Instant::now() - PROBE_INTERVAL * 2;
    tokio::time::sleep(SERVER_REPLACEMENT_DELAY).await;
    let (operator, is_still_down) = {
        let fleet = fleet.borrow();
        let mut servers = fleet.servers.iter();
        let is_still_down =
            servers.any(|server| server.id == id && server.emulator.has_terminated());
        (fleet.operator.clone(), is_still_down)
    };
    if is_still_down {
        operator.unlist_server(&id).await?;
        let replacement_id = fleet.borrow_mut().next_server_id();
        let replacement_server = operator.start_server(replacement_id).await?;
        fleet
            .borrow_mut()
            .replace_server(&id, replacement_server, None);
    }
    recorder.lock().fault_periods.push(FaultPeriod {
        from,
        until: Instant::now(),
        cut_scope: CutScope::Any,
    });
    Ok(())
}

fn record_process_states(fleet: &Rc<RefCell<Fleet>>, recorder: &Recorder) {
    let mut evidence = recorder.lock();
    for node in &mut fleet.borrow_mut().nodes {
        let host = &node.process.host;
        if let Some(resources) = node.process.resources() {
            record_max_resources(&mut evidence.max_resources, host, resources);
        }
        let is_recorded = evidence
            .unexpected_exits
            .iter()
            .any(|(recorded, _)| recorded == host);
        if node.is_under_fault || is_recorded {
            continue;
        }
        let host = host.clone();
        if let Some(exit) = node.process.poll_exit() {
            evidence.unexpected_exits.push((host, exit));
        }
    }
}

fn record_max_resources(maxima: &mut Vec<(String, Resources)>, host: &str, resources: Resources) {
    let index = match maxima.binary_search_by(|(entry_host, _)| entry_host.as_str().cmp(host)) {
        Ok(index) => index,
        Err(index) => {
            maxima.insert(index, (host.to_owned(), resources));
            index
        }
    };
    let maximum = &mut maxima[index].1;
    maximum.memory_bytes = maximum.memory_bytes.max(resources.memory_bytes);
    maximum.open_files = maximum.open_files.max(resources.open_files);
}
