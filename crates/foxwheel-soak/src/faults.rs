//! Injects the faults of a plan into the fleet.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_server_emu::faults::Fault as RunFault;
use foxwheel_server_emu::server::Server;
use foxwheel_server_emu::unframed::{BodyPart, ConnectionEnd, UnframedResponse};
use foxwheel_store::api::{Faults, Refusal};
use hyper::{Method, StatusCode};
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::sync::Mutex;
use tokio_util::sync::CancellationToken;

use crate::evidence::{ConfigWrite, CutScope, FaultPeriod, ProcessStop, Recorder};
use crate::fleet::{
    self, task_error, Fleet, Operator, SoakError, FIRST_CONFIG_VERSION, STOP_GRACE,
};
use crate::front_client;
use crate::online_caller::OnlineCaller;
use crate::plan::{
    Fault, NetworkPath, ProcessFault, ProcessTarget, ServerFault, ServerTarget, Silence, Step,
    StoreFault,
};
use crate::process::ProcessExit;
use crate::proxy::{FaultProxy, PathFault};

/// Number of requests that a single fault of a server affects at least.
const FAULTY_REQUESTS: usize = 3;

/// Number of events that a run sends before it pauses.
const EVENTS_BEFORE_PAUSE: u64 = 2;

/// The silence of a server that goes on does not explain a response that was cut off.
pub const SILENCE_CUT_SCOPE: CutScope = CutScope::Nothing;

/// Time that a process may take to end beyond its stop grace, because delivering the signal and
/// noticing the end take time.
const STOP_GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Interval at which a process is checked for its end.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A response without a length whose connection is closed within an event.
const UNFRAMED_CUT_WITHIN_EVENT: RunFault = RunFault::Unframed(UnframedResponse::ok(
    BodyPart::WithinEvent(1),
    ConnectionEnd::Close,
));

/// Injects faults into a fleet and records when they were active.
#[derive(Clone)]
pub struct Injector {
    /// The fleet.
    pub fleet: Rc<RefCell<Fleet>>,
    /// Records fault periods, configurations and stops of processes.
    pub recorder: Arc<Recorder>,
    version: Rc<Cell<u64>>,
    crashing_caller_count: Rc<Cell<u32>>,
}

impl Injector {
    /// Returns an injector for `fleet`.
    pub fn new(fleet: Rc<RefCell<Fleet>>, recorder: Arc<Recorder>) -> Self {
        Self {
            fleet,
            recorder,
            version: Rc::new(Cell::new(FIRST_CONFIG_VERSION)),
            crashing_caller_count: Rc::default(),
        }
    }

    /// Injects the fault of one step and returns after it has ended.
    ///
    /// Returns an error if the soak itself fails, for example at a write to the store.
    pub async fn inject(self, step: Step) -> Result<(), SoakError> {
        let from = Instant::now();
        let cut_scope = match step.fault {
            Fault::Process { target, act } => {
                return self.apply_process_faults(target, act, step.duration).await
            }
            Fault::Path { route, fault } => {
                self.apply_path_fault(route, fault, step.duration).await
            }
            Fault::Store(fault) => self.apply_store_fault(fault, step.duration).await?,
            Fault::Server { at, fault } => {
                self.apply_server_fault(at, fault, step.duration).await?
            }
            Fault::Silence { target, act } => {
                self.silence_servers(target, act, step.duration).await;
                SILENCE_CUT_SCOPE
            }
            Fault::Configure => return self.write_next_config().await,
            Fault::CrashingRequest => self.send_crashing_requests(step.duration).await?,
        };
        self.record_fault_period(from, cut_scope);
        Ok(())
    }

    fn record_fault_period(&self, from: Instant, cut_scope: CutScope) {
        let until = Instant::now();
        let fault_period = FaultPeriod {
            from,
            until,
            cut_scope,
        };
        self.recorder.lock().fault_periods.push(fault_period);
    }

    fn operator(&self) -> Operator {
        self.fleet.borrow().operator.clone()
    }

    async fn write_next_config(&self) -> Result<(), SoakError> {
        let version = self.version.get() + 1;
        self.version.set(version);
        self.operator().write_config(version).await?;
        let stored_at = Instant::now();
        let mut evidence = self.recorder.lock();
        evidence.configs.push(ConfigWrite { version, stored_at });
        evidence.configs.sort_by_key(|config| config.version);
        Ok(())
    }

    async fn send_crashing_requests(&self, duration: Duration) -> Result<CutScope, SoakError> {
        let number = self.crashing_caller_count.get() + 1;
        self.crashing_caller_count.set(number);
        let caller = OnlineCaller {
            name: format!("crashing-{number}"),
            fronts: self.fleet.borrow().fronts(),
            recorder: Arc::clone(&self.recorder),
        };
        let stop = CancellationToken::new();
        let sender = actix_web::rt::spawn(caller.repeat_crashing_request(stop.clone()));
        tokio::time::sleep(duration).await;
        stop.cancel();
        sender
            .await
            .map_err(task_error("send the crashing request"))?;
        Ok(CutScope::Any)
    }

    async fn apply_path_fault(
        &self,
        route: NetworkPath,
        fault: PathFault,
        duration: Duration,
    ) -> CutScope {
        let (path, cut_scope) = {
            let fleet = self.fleet.borrow();
            let node = |index: usize| &fleet.nodes[index % fleet.nodes.len()];
            match route {
                NetworkPath::Store(index) => {
                    (Some(node(index).store_path.clone()), CutScope::Nothing)
                }
                NetworkPath::Peers(index) => {
                    (Some(node(index).peer_path.clone()), CutScope::Nothing)
                }
                NetworkPath::Callers(index) => {
                    (node(index).caller_path.clone(), CutScope::Front(index))
                }
                NetworkPath::Server(index) => {
                    let server = &fleet.servers[index % fleet.servers.len()];
                    (Some(server.proxy.clone()), CutScope::Any)
                }
            }
        };
        let set_fault = |fault| {
            path.as_ref()
                .inspect(|path: &&FaultProxy| path.set_fault(fault))
        };
        set_fault(fault);
        tokio::time::sleep(duration).await;
        set_fault(PathFault::None);
        cut_scope
    }

    async fn apply_store_fault(
        &self,
        fault: StoreFault,
        duration: Duration,
    ) -> Result<CutScope, SoakError> {
        let operator = self.operator();
        let store = &operator.store;
        let store_error = |step| move |source| SoakError::Store { step, source };
        let refuse_with = |refusal| Faults {
            outage: true,
            refusal,
            ..Faults::default()
        };
        let faults = match fault {
            StoreFault::Busy => refuse_with(Refusal::Busy),
            StoreFault::Reset => refuse_with(Refusal::Reset),
            StoreFault::Silent => refuse_with(Refusal::Silent),
            StoreFault::OverRates => refuse_with(Refusal::RateLimited),
            StoreFault::Slow => Faults {
                delay_ms: 200,
                ..Faults::default()
            },
            StoreFault::LateNews => Faults {
                watch_delay_ms: 400,
                ..Faults::default()
            },
            StoreFault::LosesAnswers { late } => Faults {
                lose_reply_every: 3,
                late_ms: if late { 300 } else { 0 },
                ..Faults::default()
            },
            StoreFault::ForgetsHistory => {
                let result = store.drop_history().await;
                result.map_err(store_error("drop the store's history"))?;
                return Ok(CutScope::Nothing);
            }
            StoreFault::SpoiledEntry => {
                let spoiled = json!({"service": 7, "addr": "nowhere"});
                let (step, key) = ("write a spoiled entry", "servers/spoiled");
                operator.write_object(step, key, &spoiled).await?;
                tokio::time::sleep(duration).await;
                operator.unlist_server("spoiled").await?;
                return Ok(CutScope::Nothing);
            }
        };
        let result = store.set_faults(&faults).await;
        result.map_err(store_error("set the store's faults"))?;
        tokio::time::sleep(duration).await;
        let result = store.set_faults(&Faults::default()).await;
        result.map_err(store_error("clear the store's faults"))?;
        Ok(CutScope::Nothing)
    }

    async fn apply_server_fault(
        &self,
        index: usize,
        fault: ServerFault,
        duration: Duration,
    ) -> Result<CutScope, SoakError> {
        let run_faults: &[RunFault] = match fault {
            ServerFault::Hangs => &[RunFault::Stall, RunFault::StallAfter(2)],
            ServerFault::LosesAnswers => &[RunFault::LoseResponse, RunFault::LoseResponse],
            ServerFault::BreaksOff => &[
                RunFault::CutAfter(2),
                RunFault::CutWithin(1),
                UNFRAMED_CUT_WITHIN_EVENT,
            ],
            ServerFault::Garbles => &[
                RunFault::ForeignId,
                RunFault::Unsigned,
                RunFault::Repeat(StatusCode::SERVICE_UNAVAILABLE),
                RunFault::Repeat(StatusCode::INTERNAL_SERVER_ERROR),
                RunFault::Repeat(StatusCode::OK),
            ],
            ServerFault::Fails => &[RunFault::Fail, RunFault::Fail],
            ServerFault::Rejects => &[RunFault::Reject, RunFault::Reject],
            ServerFault::Restarts | ServerFault::Drains | ServerFault::Leaves => {
                self.replace_server(index, fault, duration).await?;
                return Ok(CutScope::Any);
            }
        };
        let script = {
            let fleet = self.fleet.borrow();
            Arc::clone(
                &fleet.servers[index % fleet.servers.len()]
                    .emulator
                    .fault_script,
            )
        };
        let count = run_faults.len().max(FAULTY_REQUESTS);
        script.extend(run_faults.iter().copied().cycle().take(count));
        tokio::time::sleep(duration).await;
        script.clear();
        Ok(CutScope::Any)
    }

    /// Returns after the last silent server has gone on.
    async fn silence_servers(&self, target: ServerTarget, act: Silence, duration: Duration) {
        let emulators: Vec<Server> = {
            let fleet = self.fleet.borrow();
            let servers = match target {
                ServerTarget::One(index) => {
                    std::slice::from_ref(&fleet.servers[index % fleet.servers.len()])
                }
                ServerTarget::All => &fleet.servers[..],
            };
            let emulators = servers.iter().map(|server| server.emulator.clone());
            emulators.collect()
        };
        let pause = RunFault::PauseAfter(EVENTS_BEFORE_PAUSE, duration);
        for emulator in &emulators {
            match act {
                Silence::Connections => emulator.be_silent_for(duration),
                Silence::Runs => emulator.fault_script.set_fallback(Some(pause)),
            }
        }
        tokio::time::sleep(duration).await;
        if act == Silence::Runs {
            for emulator in &emulators {
                emulator.fault_script.set_fallback(None);
            }
            tokio::time::sleep(duration).await;
        }
    }

    async fn replace_server(
        &self,
        index: usize,
        fault: ServerFault,
        duration: Duration,
    ) -> Result<(), SoakError> {
        let operator = self.operator();
        let (id, addr, emulator) = {
            let fleet = self.fleet.borrow();
            let server = &fleet.servers[index % fleet.servers.len()];
            (
                server.id.clone(),
                server.proxy.addr,
                server.emulator.clone(),
            )
        };
        let leaving_since = match fault {
            ServerFault::Drains => {
                operator.list_server(&id, addr, "draining").await?;
                Some(Instant::now())
            }
            ServerFault::Leaves => {
                operator.unlist_server(&id).await?;
                Some(Instant::now())
            }
            _ => None,
        };
        let replacement = match leaving_since {
            Some(_) => self.fleet.borrow_mut().next_server_id(),
            None => {
                emulator.terminate();
                tokio::time::sleep(duration).await;
                id.clone()
            }
        };
        let replacement = operator.start_server(replacement).await?;
        self.fleet
            .borrow_mut()
            .replace_server(&id, replacement, leaving_since);
        if leaving_since.is_some() {
            tokio::time::sleep(duration).await;
        }
        Ok(())
    }

    async fn apply_process_faults(
        &self,
        target: ProcessTarget,
        act: ProcessFault,
        duration: Duration,
    ) -> Result<(), SoakError> {
        let targets: Vec<usize> = match target {
            ProcessTarget::One(index) => vec![index % self.fleet.borrow().nodes.len()],
            ProcessTarget::Speaker => self.find_store_watcher().await.into_iter().collect(),
            ProcessTarget::All => (0..self.fleet.borrow().nodes.len()).collect(),
        };
        let mut tasks = Vec::new();
        for index in targets {
            let injector = self.clone();
            tasks.push(actix_web::rt::spawn(async move {
                injector.apply_process_fault(index, act, duration).await
            }));
        }
        for task in tasks {
            task.await.map_err(task_error("signal a process"))??;
        }
        Ok(())
    }

    /// Returns the index of the process with the most completed watches of the store, which is the
    /// one that watches the store for others. Returns `None` if no process responds within 300 ms.
    async fn find_store_watcher(&self) -> Option<usize> {
        let metrics_addrs: Vec<_> = {
            let fleet = self.fleet.borrow();
            let nodes = fleet.nodes.iter();
            nodes.map(|node| node.process.metrics_addr).collect()
        };
        let mut watch_counts = Vec::new();
        for (index, addr) in metrics_addrs.into_iter().enumerate() {
            let page = front_client::call(addr, Method::GET, "/metrics", "metrics", &[], "");
            let page = tokio::time::timeout(Duration::from_millis(300), page).await;
            if let Ok(Ok(page)) = page {
                watch_counts.push((
                    counter_value(&page.text(), "foxwheel.store.watch.ok"),
                    index,
                ));
            }
        }
        watch_counts.into_iter().max().map(|(_, index)| index)
    }

    async fn apply_process_fault(
        &self,
        index: usize,
        act: ProcessFault,
        duration: Duration,
    ) -> Result<(), SoakError> {
        if act == ProcessFault::Reload {
            return self.spoil_and_restore_settings(index, duration).await;
        }
        if std::mem::replace(
            &mut self.fleet.borrow_mut().nodes[index].is_under_fault,
            true,
        ) {
            return Ok(());
        }
        match act {
            ProcessFault::Stop => self.stop_and_restart(index, duration).await?,
            ProcessFault::Kill => {
                let from = Instant::now();
                self.send_signal(index, Signal::SIGKILL)?;
                self.wait_until_ended(index, STOP_GRACE).await;
                self.restart_after_delay(index, from, duration).await?;
            }
            ProcessFault::Pause => {
                let from = Instant::now();
                self.send_signal(index, Signal::SIGSTOP)?;
                tokio::time::sleep(duration).await;
                self.send_signal(index, Signal::SIGCONT)?;
                self.record_fault_period(from, self.cut_scope_of(index));
            }
            ProcessFault::Reload => {}
        }
        self.fleet.borrow_mut().nodes[index].is_under_fault = false;
        Ok(())
    }

    /// Returns which responses may be cut off while this process is down or suspended.
    fn cut_scope_of(&self, index: usize) -> CutScope {
        match self.fleet.borrow().nodes[index].caller_path.is_some() {
            true => CutScope::Front(index),
            false => CutScope::Nothing,
        }
    }

    /// Asks a process to stop, waits for its end and restarts it. The process may cut off
    /// responses only after it has ended, so the two fault periods are recorded separately.
    async fn stop_and_restart(&self, index: usize, duration: Duration) -> Result<(), SoakError> {
        let from = Instant::now();
        self.send_signal(index, Signal::SIGTERM)?;
        let exit = self
            .wait_until_ended(index, STOP_GRACE + STOP_GRACE_MARGIN)
            .await;
        let ended_at = Instant::now() - EXIT_POLL_INTERVAL;
        let host = self.fleet.borrow().nodes[index].process.host.clone();
        self.recorder.lock().stops.push(ProcessStop { host, exit });
        if exit.is_none() {
            self.send_signal(index, Signal::SIGKILL)?;
            self.wait_until_ended(index, STOP_GRACE).await;
        }
        self.record_fault_period(from, CutScope::Nothing);
        self.restart_after_delay(index, ended_at, duration).await
    }

    /// Restarts an ended process after `duration`, and records that it was down from `from` until
    /// it listened again.
    async fn restart_after_delay(
        &self,
        index: usize,
        from: Instant,
        duration: Duration,
    ) -> Result<(), SoakError> {
        tokio::time::sleep(duration).await;
        let settings_lock = self.settings_lock(index);
        let _held = settings_lock.lock().await;
        self.write_settings(index, None).await?;
        let listen_addr = {
            let node = &mut self.fleet.borrow_mut().nodes[index];
            node.process.spawn()?;
            node.listen_addr
        };
        fleet::wait_until_listening(listen_addr, STOP_GRACE).await;
        self.fleet.borrow_mut().nodes[index]
            .process
            .mark_listening();
        self.record_fault_period(from, self.cut_scope_of(index));
        Ok(())
    }

    async fn spoil_and_restore_settings(
        &self,
        index: usize,
        duration: Duration,
    ) -> Result<(), SoakError> {
        let spoiled = Some("{\"host\": ");
        self.reload_settings(index, spoiled).await?;
        tokio::time::sleep(duration).await;
        self.reload_settings(index, None).await
    }

    /// Does nothing to a process that is starting.
    async fn reload_settings(
        &self,
        index: usize,
        replacement: Option<&str>,
    ) -> Result<(), SoakError> {
        let settings_lock = self.settings_lock(index);
        let _held = settings_lock.lock().await;
        if !self.fleet.borrow().nodes[index].process.has_listened() {
            return Ok(());
        }
        self.write_settings(index, replacement).await?;
        self.send_signal(index, Signal::SIGHUP)
    }

    fn settings_lock(&self, index: usize) -> Rc<Mutex<()>> {
        Rc::clone(&self.fleet.borrow().nodes[index].settings_lock)
    }

    /// Writes the settings of a process on a thread that may block: servers, store and paths all
    /// run on the thread of the caller.
    async fn write_settings(
        &self,
        index: usize,
        replacement: Option<&str>,
    ) -> Result<(), SoakError> {
        let write = self.fleet.borrow().nodes[index]
            .process
            .settings_write(replacement);
        let written = tokio::task::spawn_blocking(write).await;
        written.map_err(task_error("write settings"))??;
        Ok(())
    }

    fn send_signal(&self, index: usize, signal: Signal) -> Result<(), SoakError> {
        self.fleet.borrow_mut().nodes[index]
            .process
            .signal(signal)?;
        Ok(())
    }

    async fn wait_until_ended(&self, index: usize, timeout: Duration) -> Option<ProcessExit> {
        let started_at = Instant::now();
        loop {
            let exit = self.fleet.borrow_mut().nodes[index].process.poll_exit();
            if exit.is_some() || started_at.elapsed() > timeout {
                return exit;
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
    }
}

/// Returns the value of a counter on a metrics page. A counter that was never incremented is not
/// on the page and counts as 0.
fn counter_value(page: &str, name: &str) -> u64 {
    let value = page.lines().find_map(|line| line.strip_prefix(name));
    value
        .and_then(|value| value.trim().parse().ok())
        .unwrap_or(0)
}
