//! Plan of a soak run, drawn from a seed: the size of the fleet, and which faults are injected
//! when.
//!
//! Plans are stored as JSON and replayed later, so the names of fields and variants are fixed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::proxy::PathFault;

/// Size of a fleet, and how long faults are injected into it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSize {
    /// Number of availability zones.
    pub zones: u32,
    /// Number of fronts.
    pub fronts: usize,
    /// Number of workers.
    pub workers: usize,
    /// Number of backend servers.
    pub servers: usize,
    /// Number of online callers.
    pub callers: usize,
    /// Period in which faults start and end.
    #[serde(rename = "faults_for_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub injection_duration: Duration,
}

impl FleetSize {
    /// Returns the number of fronts and workers.
    pub fn processes(&self) -> usize {
        self.fronts + self.workers
    }
}

/// Which processes a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessTarget {
    /// The process with this index, counting fronts before workers.
    One(usize),
    /// The process that watches the store for its zone.
    Speaker,
    /// All processes at once.
    All,
}

/// Fault of a process. The process runs normally again when the fault has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessFault {
    /// Asks the process to stop, and restarts it after it has ended.
    Stop,
    /// Kills the process and restarts it.
    Kill,
    /// Suspends the process with SIGSTOP.
    Pause,
    /// Makes the process reload invalid settings, and the valid ones when the fault ends.
    Reload,
}

/// A network path into which a fault is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NetworkPath {
    /// From the process with this index to the store.
    Store(usize),
    /// From other processes to the process with this index.
    Peers(usize),
    /// From callers to the front with this index.
    Callers(usize),
    /// From all processes to the server with this index.
    Server(usize),
}

/// Fault of the store emulator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreFault {
    /// Responds that it is busy.
    Busy,
    /// Resets every connection.
    Reset,
    /// Never responds.
    Silent,
    /// Responds that its rate limits are exceeded.
    OverRates,
    /// Responds with a delay.
    Slow,
    /// Delivers changes to watchers with a delay.
    LateNews,
    /// Loses the response to every third write.
    LosesAnswers {
        /// Whether such a write is applied only after its response was lost, instead of at once.
        late: bool,
    },
    /// Drops the history of changes from which watchers resume.
    ForgetsHistory,
    /// Lists a server entry that another writer has overwritten with invalid content.
    SpoiledEntry,
}

/// Fault of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerFault {
    /// Never responds to the next requests.
    Hangs,
    /// Runs the next requests and loses their responses.
    LosesAnswers,
    /// Cuts off the next responses.
    BreaksOff,
    /// Responds to the next requests with the id of another request, without a signature, or twice, the
    /// second time late.
    Garbles,
    /// Fails the next requests.
    Fails,
    /// Rejects the next requests as not run.
    Rejects,
    /// Ends without notice and starts again under the same id.
    Restarts,
    /// Is listed as draining, and another server is started to replace it.
    Drains,
    /// Is removed from the store, and another server is started to replace it.
    Leaves,
}

/// Which backend servers fall silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerTarget {
    /// The server with this index.
    One(usize),
    /// All servers of the service at once.
    All,
}

/// What a silent server stops sending. It goes on after the duration of the step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Silence {
    /// Everything, on all connections.
    Connections,
    /// The runs that start during the step, after some of their events.
    Runs,
}

/// A fault. Logs write the names of variants and fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// A fault of one or more processes.
    Process {
        /// Which processes.
        target: ProcessTarget,
        /// What happens to them.
        act: ProcessFault,
    },
    /// A fault of a network path.
    Path {
        /// Which path.
        route: NetworkPath,
        /// How the path misbehaves.
        fault: PathFault,
    },
    /// A fault of the store.
    Store(StoreFault),
    /// A fault of a backend server.
    Server {
        /// Index of the server.
        at: usize,
        /// How the server misbehaves.
        fault: ServerFault,
    },
    /// Not a fault: sound servers send nothing for a while.
    Silence {
        /// Which servers.
        target: ServerTarget,
        /// What they stop sending.
        act: Silence,
    },
    /// Not a fault: the operator writes a new version of the configuration.
    Configure,
    /// A caller keeps sending a request that crashes the servers that run it.
    CrashingRequest,
}

/// A fault and when it is active.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Start of the fault, relative to the start of fault injection.
    #[serde(rename = "at_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub start_after: Duration,
    /// Duration of the fault. Not used by faults that happen at one moment.
    #[serde(rename = "lasts_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub duration: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Plan of a soak run. A seed fixes everything but the timing of the machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Seed of the plan and of the random choices of callers and clients.
    pub seed: u64,
    /// Size of the fleet.
    pub size: FleetSize,
    /// Faults in order of their start. They can overlap.
    pub steps: Vec<Step>,
}

/// Mean time between the starts of two faults.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(450);

/// Range of fault durations, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 150..2_500;

/// Range of the durations for which a sound server is silent, in milliseconds.
const SILENCE_DURATION_MS: std::ops::Range<u64> = 800..1_600;

/// Range of pauses between two silences, in milliseconds. With them, all silences within one
/// request are shorter than the timeout of its route.
const SILENCE_INTERVAL_MS: std::ops::Range<u64> = 300..1_200;

/// Mean time between two configurations or reloads while nothing but silences goes on.
const MEAN_PLANNED_WORK_INTERVAL: Duration = Duration::from_millis(700);

/// Distinguishes the random numbers of silences from those of faults with the same seed.
const SILENCE_SEED: u64 = 0x51_1e_4c_e5;

impl Plan {
    /// Draws the plan of `seed` for a fleet of `size`.
    pub fn draw(seed: u64, size: FleetSize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut start_after = Duration::ZERO;
        loop {
            start_after += MEAN_FAULT_INTERVAL.mul_f64(rng.random_range(0.2..1.8));
            let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
            if start_after + duration > size.injection_duration {
                break;
            }
            let fault = draw_fault(&mut rng, &size);
            // Plan files store whole milliseconds.
            let start_after = Duration::from_millis(start_after.as_millis() as u64);
            steps.push(Step {
                start_after,
                duration,
                fault,
            });
        }
        Self { seed, size, steps }
    }

    /// Adds silences of sound servers beside the faults, and after the faults a phase of the same
    /// length with only silences, configurations and reloads. The faults stay as they are.
    pub fn with_silences(mut self) -> Self {
        let mut rng = StdRng::seed_from_u64(self.seed ^ SILENCE_SEED);
        let faults_end = self.size.injection_duration;
        let end = faults_end * 2;
        let mut start_after = Duration::ZERO;
        loop {
            start_after += Duration::from_millis(rng.random_range(SILENCE_INTERVAL_MS));
            let duration = Duration::from_millis(rng.random_range(SILENCE_DURATION_MS));
            let fault = draw_silence(&mut rng, &self.size);
            let silence = Step {
                start_after,
                duration,
                fault,
            };
            start_after = silence.silent_until();
            if start_after > end {
                break;
            }
            self.steps.push(silence);
        }
        let mut start_after = faults_end;
        loop {
            start_after += MEAN_PLANNED_WORK_INTERVAL.mul_f64(rng.random_range(0.2..1.8));
            let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
            if start_after + duration > end {
                break;
            }
            let reload = Fault::Process {
                target: draw_target(&mut rng, &self.size),
                act: ProcessFault::Reload,
            };
            // Plan files store whole milliseconds.
            start_after = Duration::from_millis(start_after.as_millis() as u64);
            self.steps.push(Step {
                start_after,
                duration,
                fault: choose(&mut rng, &[Fault::Configure, reload]),
            });
        }
        self.steps.sort_by_key(|step| step.start_after);
        self.size.injection_duration = end;
        self
    }
}

impl Step {
    /// Returns when the last server that this step silences has gone on. A run may start to pause
    /// at the end of the step.
    pub fn silent_until(&self) -> Duration {
        let is_of_runs = matches!(
            self.fault,
            Fault::Silence {
                act: Silence::Runs,
                ..
            }
        );
        let steps = if is_of_runs { 2 } else { 1 };
        self.start_after + self.duration * steps
    }
}

fn choose<T: Copy>(rng: &mut StdRng, choices: &[T]) -> T {
    choices[rng.random_range(0..choices.len())]
}

fn draw_fault(rng: &mut StdRng, size: &FleetSize) -> Fault {
    match rng.random_range(0..100) {
        0..30 => Fault::Process {
            target: draw_target(rng, size),
            act: choose(
                rng,
                &[
                    ProcessFault::Stop,
                    ProcessFault::Stop,
                    ProcessFault::Kill,
                    ProcessFault::Pause,
                    ProcessFault::Reload,
                ],
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

fn draw_silence(rng: &mut StdRng, size: &FleetSize) -> Fault {
    let target = match rng.random() {
        true => ServerTarget::All,
        false => ServerTarget::One(rng.random_range(0..size.servers)),
    };
    let act = choose(rng, &[Silence::Connections, Silence::Runs]);
    Fault::Silence { target, act }
}

fn draw_target(rng: &mut StdRng, size: &FleetSize) -> ProcessTarget {
    match rng.random_range(0..10) {
        0 => ProcessTarget::All,
        1..3 => ProcessTarget::Speaker,
        _ => ProcessTarget::One(rng.random_range(0..size.processes())),
    }
}

fn draw_route(rng: &mut StdRng, size: &FleetSize) -> NetworkPath {
    match rng.random_range(0..4) {
        0 => NetworkPath::Store(rng.random_range(0..size.processes())),
        1 => NetworkPath::Peers(rng.random_range(0..size.processes())),
        2 => NetworkPath::Callers(rng.random_range(0..size.fronts)),
        _ => NetworkPath::Server(rng.random_range(0..size.servers)),
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
    choose(
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
    choose(
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
