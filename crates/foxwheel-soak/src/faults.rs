//! Carrying out the faults of a plan.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_server_emu::faults::Fault as RunFault;
use foxwheel_store::api::{Faults, Refusal};
use hyper::Method;
use nix::sys::signal::Signal;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::evidence::{ConfigWrite, Cuts, Disturbance, Record, Stop};
use crate::fleet::{self, task_error, Fleet, Operator, SoakError, FIRST_VERSION, STOP_GRACE};
use crate::front_client;
use crate::online_caller::Caller;
use crate::plan::{Act, Fault, Route, ServerFault, Step, StoreFault, Target};
use crate::process::Ended;
use crate::proxy::{FaultProxy, PathFault};

/// Requests that one fault of a server meets.
const FAULTY_RUNS: usize = 3;

/// How long a process may take to end beyond its grace, as the signal and its end take time.
const STOP_SLACK: Duration = Duration::from_millis(500);

/// How often the end of a process is looked for.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Carries out faults on a fleet and notes when they were on.
#[derive(Clone)]
pub struct Injector {
    /// The fleet.
    pub fleet: Rc<RefCell<Fleet>>,
    /// Where faults are noted.
    pub record: Arc<Record>,
    version: Rc<Cell<u64>>,
    crashing_callers: Rc<Cell<u32>>,
}

impl Injector {
    /// An injector for `fleet`.
    pub fn new(fleet: Rc<RefCell<Fleet>>, record: Arc<Record>) -> Self {
        Self {
            fleet,
            record,
            version: Rc::new(Cell::new(FIRST_VERSION)),
            crashing_callers: Rc::default(),
        }
    }

    /// Carries out one step until its fault has ended.
    pub async fn carry_out(self, step: Step) -> Result<(), SoakError> {
        let from = Instant::now();
        let cuts = match step.fault {
            Fault::Process { target, act } => return self.act(target, act, step.lasts).await,
            Fault::Path { route, fault } => self.break_path(route, fault, step.lasts).await,
            Fault::Store(fault) => self.break_store(fault, step.lasts).await?,
            Fault::Server { at, fault } => self.break_server(at, fault, step.lasts).await?,
            Fault::Configure => return self.configure().await,
            Fault::CrashingRequest => self.send_crashing(step.lasts).await?,
        };
        self.note(from, cuts);
        Ok(())
    }

    fn note(&self, from: Instant, cuts: Cuts) {
        let until = Instant::now();
        let disturbance = Disturbance { from, until, cuts };
        self.record.lock().disturbances.push(disturbance);
    }

    fn operator(&self) -> Operator {
        self.fleet.borrow().operator.clone()
    }

    async fn configure(&self) -> Result<(), SoakError> {
        let version = self.version.get() + 1;
        self.version.set(version);
        self.operator().configure(version).await?;
        let at = Instant::now();
        let mut evidence = self.record.lock();
        evidence.configs.push(ConfigWrite { version, at });
        evidence.configs.sort_by_key(|config| config.version);
        Ok(())
    }

    async fn send_crashing(&self, lasts: Duration) -> Result<Cuts, SoakError> {
        let number = self.crashing_callers.get() + 1;
        self.crashing_callers.set(number);
        let caller = Caller {
            name: format!("crashing-{number}"),
            fronts: self.fleet.borrow().fronts(),
            record: Arc::clone(&self.record),
        };
        let stop = CancellationToken::new();
        let sending = actix_web::rt::spawn(caller.crash(stop.clone()));
        tokio::time::sleep(lasts).await;
        stop.cancel();
        sending
            .await
            .map_err(task_error("send the crashing request"))?;
        Ok(Cuts::Any)
    }

    async fn break_path(&self, route: Route, fault: PathFault, lasts: Duration) -> Cuts {
        let (path, cuts) = {
            let fleet = self.fleet.borrow();
            let node = |at: usize| &fleet.nodes[at % fleet.nodes.len()];
            match route {
                Route::Store(at) => (Some(node(at).store.clone()), Cuts::Nothing),
                Route::Peers(at) => (Some(node(at).peers.clone()), Cuts::Nothing),
                Route::Callers(at) => (node(at).callers.clone(), Cuts::Front(at)),
                Route::Server(at) => {
                    let place = &fleet.places[at % fleet.places.len()];
                    (Some(place.path.clone()), Cuts::Any)
                }
            }
        };
        let set = |fault| {
            path.as_ref()
                .inspect(|path: &&FaultProxy| path.set_fault(fault))
        };
        set(fault);
        tokio::time::sleep(lasts).await;
        set(PathFault::None);
        cuts
    }

    async fn break_store(&self, fault: StoreFault, lasts: Duration) -> Result<Cuts, SoakError> {
        let operator = self.operator();
        let store = &operator.store;
        let failed = |step| move |source| SoakError::Store { step, source };
        let refuses = |refusal| Faults {
            outage: true,
            refusal,
            ..Faults::default()
        };
        let faults = match fault {
            StoreFault::Busy => refuses(Refusal::Busy),
            StoreFault::Reset => refuses(Refusal::Reset),
            StoreFault::Silent => refuses(Refusal::Silent),
            StoreFault::OverRates => refuses(Refusal::RateLimited),
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
                let dropped = store.drop_history().await;
                dropped.map_err(failed("drop the store's history"))?;
                return Ok(Cuts::Nothing);
            }
            StoreFault::SpoiledEntry => {
                let spoiled = json!({"service": 7, "addr": "nowhere"});
                let (step, key) = ("write a spoiled entry", "servers/spoiled");
                operator.write(step, key, &spoiled).await?;
                tokio::time::sleep(lasts).await;
                operator.unlist("spoiled").await?;
                return Ok(Cuts::Nothing);
            }
        };
        let set = store.set_faults(&faults).await;
        set.map_err(failed("set the store's faults"))?;
        tokio::time::sleep(lasts).await;
        let cleared = store.set_faults(&Faults::default()).await;
        cleared.map_err(failed("clear the store's faults"))?;
        Ok(Cuts::Nothing)
    }

    async fn break_server(
        &self,
        at: usize,
        fault: ServerFault,
        lasts: Duration,
    ) -> Result<Cuts, SoakError> {
        let faulty = match fault {
            ServerFault::Hangs => [RunFault::Silent, RunFault::SilentAfter(2)],
            ServerFault::LosesAnswers => [RunFault::LoseAnswer, RunFault::LoseAnswer],
            ServerFault::BreaksOff => [RunFault::BreakAfter(2), RunFault::BreakWithin(1)],
            ServerFault::Garbles => [RunFault::ForeignId, RunFault::Unsigned],
            ServerFault::Fails => [RunFault::Fail, RunFault::Fail],
            ServerFault::Rejects => [RunFault::Reject, RunFault::Reject],
            ServerFault::Restarts | ServerFault::Drains | ServerFault::Leaves => {
                self.replace_server(at, fault, lasts).await?;
                return Ok(Cuts::Any);
            }
        };
        let script = {
            let fleet = self.fleet.borrow();
            Arc::clone(&fleet.places[at % fleet.places.len()].server.script)
        };
        script.extend(faulty.into_iter().cycle().take(FAULTY_RUNS));
        tokio::time::sleep(lasts).await;
        script.clear();
        Ok(Cuts::Any)
    }

    async fn replace_server(
        &self,
        at: usize,
        fault: ServerFault,
        lasts: Duration,
    ) -> Result<(), SoakError> {
        let operator = self.operator();
        let (id, addr, server) = {
            let fleet = self.fleet.borrow();
            let place = &fleet.places[at % fleet.places.len()];
            (place.id.clone(), place.path.addr, place.server.clone())
        };
        let leaving_since = match fault {
            ServerFault::Drains => {
                operator.list(&id, addr, "draining").await?;
                Some(Instant::now())
            }
            ServerFault::Leaves => {
                operator.unlist(&id).await?;
                Some(Instant::now())
            }
            _ => None,
        };
        let next = match leaving_since {
            Some(_) => self.fleet.borrow_mut().next_server(),
            None => {
                server.end();
                tokio::time::sleep(lasts).await;
                id.clone()
            }
        };
        let next = operator.start_server(next).await?;
        self.fleet.borrow_mut().replace(&id, next, leaving_since);
        if leaving_since.is_some() {
            tokio::time::sleep(lasts).await;
        }
        Ok(())
    }

    async fn act(&self, target: Target, act: Act, lasts: Duration) -> Result<(), SoakError> {
        let chosen: Vec<usize> = match target {
            Target::One(at) => vec![at % self.fleet.borrow().nodes.len()],
            Target::Speaker => self.speaker().await.into_iter().collect(),
            Target::All => (0..self.fleet.borrow().nodes.len()).collect(),
        };
        let mut acting = Vec::new();
        for at in chosen {
            let this = self.clone();
            acting.push(actix_web::rt::spawn(async move {
                this.act_on(at, act, lasts).await
            }));
        }
        for one in acting {
            one.await.map_err(task_error("signal a process"))??;
        }
        Ok(())
    }

    /// The process that has most often waited for changes of the store: it follows for others.
    async fn speaker(&self) -> Option<usize> {
        let metrics: Vec<_> = {
            let fleet = self.fleet.borrow();
            let nodes = fleet.nodes.iter();
            nodes.map(|node| node.process.metrics).collect()
        };
        let mut watches = Vec::new();
        for (at, addr) in metrics.into_iter().enumerate() {
            let page = front_client::call(addr, Method::GET, "/metrics", "metrics", &[], "");
            let page = tokio::time::timeout(Duration::from_millis(300), page).await;
            if let Ok(Ok(page)) = page {
                watches.push((count(&page.text(), "foxwheel.store.watch.ok"), at));
            }
        }
        watches.into_iter().max().map(|(_, at)| at)
    }

    async fn act_on(&self, at: usize, act: Act, lasts: Duration) -> Result<(), SoakError> {
        if act == Act::Reload {
            return self.reload(at, lasts).await;
        }
        if std::mem::replace(&mut self.fleet.borrow_mut().nodes[at].busy, true) {
            return Ok(());
        }
        match act {
            Act::Stop => self.stop(at, lasts).await?,
            Act::Kill => {
                let from = Instant::now();
                self.signal(at, Signal::SIGKILL)?;
                self.until_ended(at, STOP_GRACE).await;
                self.stay_down(at, from, lasts).await?;
            }
            Act::Pause => {
                let from = Instant::now();
                self.signal(at, Signal::SIGSTOP)?;
                tokio::time::sleep(lasts).await;
                self.signal(at, Signal::SIGCONT)?;
                self.note(from, self.cuts_of(at));
            }
            Act::Reload => {}
        }
        self.fleet.borrow_mut().nodes[at].busy = false;
        Ok(())
    }

    /// What a process that is down or stands still may cut.
    fn cuts_of(&self, at: usize) -> Cuts {
        match self.fleet.borrow().nodes[at].callers.is_some() {
            true => Cuts::Front(at),
            false => Cuts::Nothing,
        }
    }

    /// Asks a process to stop: until it has ended, it cuts nothing.
    async fn stop(&self, at: usize, lasts: Duration) -> Result<(), SoakError> {
        let from = Instant::now();
        self.signal(at, Signal::SIGTERM)?;
        let ended = self.until_ended(at, STOP_GRACE + STOP_SLACK).await;
        let ended_at = Instant::now() - LOOK_EVERY;
        let host = self.fleet.borrow().nodes[at].process.host.clone();
        self.record.lock().stops.push(Stop { host, ended });
        if ended.is_none() {
            self.signal(at, Signal::SIGKILL)?;
            self.until_ended(at, STOP_GRACE).await;
        }
        self.note(from, Cuts::Nothing);
        self.stay_down(at, ended_at, lasts).await
    }

    /// Starts a process that ended again after `lasts`; notes that it was down from `from`
    /// until it listens.
    async fn stay_down(&self, at: usize, from: Instant, lasts: Duration) -> Result<(), SoakError> {
        tokio::time::sleep(lasts).await;
        let listens = {
            let node = &mut self.fleet.borrow_mut().nodes[at];
            node.process.start_again()?;
            node.listens
        };
        fleet::until_listening(listens, STOP_GRACE).await;
        self.fleet.borrow_mut().nodes[at].process.note_listening();
        self.note(from, self.cuts_of(at));
        Ok(())
    }

    async fn reload(&self, at: usize, lasts: Duration) -> Result<(), SoakError> {
        let spoiled = Some("{\"host\": ");
        self.fleet.borrow().nodes[at]
            .process
            .write_settings(spoiled)?;
        self.signal(at, Signal::SIGHUP)?;
        tokio::time::sleep(lasts).await;
        self.fleet.borrow().nodes[at].process.write_settings(None)?;
        self.signal(at, Signal::SIGHUP)
    }

    fn signal(&self, at: usize, signal: Signal) -> Result<(), SoakError> {
        self.fleet.borrow_mut().nodes[at].process.signal(signal)?;
        Ok(())
    }

    async fn until_ended(&self, at: usize, patience: Duration) -> Option<Ended> {
        let started = Instant::now();
        loop {
            let ended = self.fleet.borrow_mut().nodes[at].process.ended();
            if ended.is_some() || started.elapsed() > patience {
                return ended;
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }
}

/// What a page of metrics says of a counter; one that never rose is not there.
fn count(page: &str, name: &str) -> u64 {
    let value = page.lines().find_map(|line| line.strip_prefix(name));
    value
        .and_then(|value| value.trim().parse().ok())
        .unwrap_or(0)
}
