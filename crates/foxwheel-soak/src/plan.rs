//! What a run does, drawn from a seed: how large the fleet is, and which faults come when.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::proxy::PathFault;

/// How large a fleet is and how long its faults last.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSize {
    /// Availability zones.
    pub zones: u32,
    /// Fronts.
    pub fronts: usize,
    /// Workers.
    pub workers: usize,
    /// Backend servers.
    pub servers: usize,
    /// Callers of online requests.
    pub callers: usize,
    /// Time in which faults come.
    #[serde(rename = "faults_for_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub injection_duration: Duration,
}

impl FleetSize {
    /// Processes of the fleet.
    pub fn processes(&self) -> usize {
        self.fronts + self.workers
    }
}

/// Which processes a signal is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The one at this place, fronts before workers.
    One(usize),
    /// The one that speaks to the store for its zone.
    Speaker,
    /// All at once.
    All,
}

/// What is done to processes; each lives normally again after the fault's time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Act {
    /// Asked to stop, and started again once it has.
    Stop,
    /// Killed, and started again.
    Kill,
    /// Stands still.
    Pause,
    /// Told to reload, with settings that are spoiled meanwhile.
    Reload,
}

/// A path that a fault is on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Route {
    /// From the process at this place to the store.
    Store(usize),
    /// From other processes to the one at this place.
    Peers(usize),
    /// From callers to the front at this place.
    Callers(usize),
    /// To the server at this place.
    Server(usize),
}

/// What the store's stand-in does wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreFault {
    /// Answers that it is busy.
    Busy,
    /// Breaks every connection.
    Reset,
    /// Never answers.
    Silent,
    /// Answers that its rates are exceeded.
    OverRates,
    /// Answers late.
    Slow,
    /// Hands changes out late.
    LateNews,
    /// Loses the answer of every third write, done at once or late.
    LosesAnswers {
        /// Whether such a write is done only after the answer is lost.
        late: bool,
    },
    /// Forgets the changes it had kept for those that follow them.
    ForgetsHistory,
    /// Lists an entry that another writer spoiled.
    SpoiledEntry,
}

/// What a backend server does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerFault {
    /// Never answers the next requests.
    Hangs,
    /// Runs the next requests and loses their answers.
    LosesAnswers,
    /// Breaks the next answers off.
    BreaksOff,
    /// Answers the next requests with another's id, or without a signature.
    Garbles,
    /// Fails the next requests.
    Fails,
    /// Rejects the next requests as not run.
    Rejects,
    /// Ends without a word, and starts again under its id.
    Restarts,
    /// Is listed as draining; another takes its place.
    Drains,
    /// Its entry is removed; another takes its place.
    Leaves,
}

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Done to processes.
    Process {
        /// Which ones.
        target: Target,
        /// What.
        act: Act,
    },
    /// On a path.
    Path {
        /// Which one.
        route: Route,
        /// What it does.
        fault: PathFault,
    },
    /// Of the store.
    Store(StoreFault),
    /// Of the server at a place.
    Server {
        /// Which one.
        at: usize,
        /// What it does.
        fault: ServerFault,
    },
    /// No fault: the operator writes a configuration.
    Configure,
    /// A caller sends a request that crashes the servers that run it, again and again.
    CrashingRequest,
}

/// A fault at its time.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// When it begins, after the start of the faults.
    #[serde(rename = "at_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub at: Duration,
    /// How long it lasts; what happens at once ignores it.
    #[serde(rename = "lasts_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lasts: Duration,
    /// What it is.
    pub fault: Fault,
}

/// A run: everything but the machine's own timing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The seed, which also draws what callers ask for.
    pub seed: u64,
    /// The fleet.
    pub size: FleetSize,
    /// The faults, by the time they begin; they overlap.
    pub steps: Vec<Step>,
}

/// Mean time between the beginnings of faults.
const MEAN_GAP: Duration = Duration::from_millis(450);

/// Shortest and longest fault, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 150..2_500;

impl Plan {
    /// The plan of `seed` for a fleet of `size`.
    pub fn draw(seed: u64, size: FleetSize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += MEAN_GAP.mul_f64(rng.random_range(0.2..1.8));
            let lasts = Duration::from_millis(rng.random_range(LASTS_MS));
            if at + lasts > size.injection_duration {
                break;
            }
            let fault = draw_fault(&mut rng, &size);
            // Whole milliseconds, as the plan's file has them.
            let at = Duration::from_millis(at.as_millis() as u64);
            steps.push(Step { at, lasts, fault });
        }
        Self { seed, size, steps }
    }
}

fn one_of<T: Copy>(rng: &mut StdRng, choices: &[T]) -> T {
    choices[rng.random_range(0..choices.len())]
}

fn draw_fault(rng: &mut StdRng, size: &FleetSize) -> Fault {
    match rng.random_range(0..100) {
        0..30 => Fault::Process {
            target: draw_target(rng, size),
            act: one_of(
                rng,
                &[Act::Stop, Act::Stop, Act::Kill, Act::Pause, Act::Reload],
            ),
        },
        30..55 => Fault::Path {
            route: draw_route(rng, size),
            fault: draw_path_fault(rng),
        },
        55..70 => Fault::Store(draw_store_fault(rng)),
        70..90 => Fault::Server {
            at: rng.random_range(0..size.servers),
            fault: draw_server_fault(rng),
        },
        90..97 => Fault::Configure,
        _ => Fault::CrashingRequest,
    }
}

fn draw_target(rng: &mut StdRng, size: &FleetSize) -> Target {
    match rng.random_range(0..10) {
        0 => Target::All,
        1..3 => Target::Speaker,
        _ => Target::One(rng.random_range(0..size.processes())),
    }
}

fn draw_route(rng: &mut StdRng, size: &FleetSize) -> Route {
    match rng.random_range(0..4) {
        0 => Route::Store(rng.random_range(0..size.processes())),
        1 => Route::Peers(rng.random_range(0..size.processes())),
        2 => Route::Callers(rng.random_range(0..size.fronts)),
        _ => Route::Server(rng.random_range(0..size.servers)),
    }
}

fn draw_path_fault(rng: &mut StdRng) -> PathFault {
    match rng.random_range(0..6) {
        0 => PathFault::Delay(rng.random_range(20..300)),
        1 => PathFault::Reset,
        2 => PathFault::Silence,
        3 => PathFault::OneWay,
        4 => PathFault::Drip,
        _ => PathFault::CutAfter(rng.random_range(1..2_000)),
    }
}

fn draw_store_fault(rng: &mut StdRng) -> StoreFault {
    let late = rng.random();
    one_of(
        rng,
        &[
            StoreFault::Busy,
            StoreFault::Reset,
            StoreFault::Silent,
            StoreFault::OverRates,
            StoreFault::Slow,
            StoreFault::LateNews,
            StoreFault::LosesAnswers { late },
            StoreFault::ForgetsHistory,
            StoreFault::SpoiledEntry,
        ],
    )
}

fn draw_server_fault(rng: &mut StdRng) -> ServerFault {
    one_of(
        rng,
        &[
            ServerFault::Hangs,
            ServerFault::LosesAnswers,
            ServerFault::BreaksOff,
            ServerFault::Garbles,
            ServerFault::Fails,
            ServerFault::Rejects,
            ServerFault::Restarts,
            ServerFault::Drains,
            ServerFault::Leaves,
        ],
    )
}
