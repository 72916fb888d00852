//! A front and a worker as processes of their own, with the store and the backend servers in the test
//! process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use foxwheel_crowd::process::{ProgramSpec, RunningProgram};
use foxwheel_crowd::usage::{Usage, UsageMonitor};
use foxwheel_node::settings::Role;
use foxwheel_server_emu::server::ServerConfig;
use foxwheel_soak::network;
use hyper::header::RETRY_AFTER;
use hyper::{Method, StatusCode};
use serde_json::Value;
use tokio::sync::{Mutex, MutexGuard};

use super::{call, Fleet, FleetPlan, ReceivedResponse};

/// Memory of the smallest front host of a deployment.
pub const FRONT_MEMORY_BYTES: u64 = 88_000_000;

/// Memory of the smallest worker host of a deployment.
pub const WORKER_MEMORY_BYTES: u64 = 130_000_000;

/// Largest body that the configuration allows.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// How long a response is waited for. A process that takes longer hangs.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(120);

/// Time limit of all routes, which no request reaches.
const ROUTE_TIMEOUT_MS: u64 = 600_000;

/// Held by the test that runs: the tests of a file would share the processor and the memory.
static RUNNING_TEST: Mutex<()> = Mutex::const_new(());

/// Waits until no other test of the file runs.
pub async fn run_alone() -> MutexGuard<'static, ()> {
    RUNNING_TEST.lock().await
}

/// Sets the time limits of the routes, so that a slow machine serves what a fast one serves.
pub fn wait_long_for_responses(config: &mut Value) {
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = ROUTE_TIMEOUT_MS.into();
    }
}

/// A front and a worker that run as processes.
pub struct Programs {
    /// The front.
    pub front: RunningProgram,
    /// Address at which the front serves callers.
    pub front_addr: SocketAddr,
    /// Address at which the front answers readiness checks.
    pub readiness_addr: SocketAddr,
    /// Address at which the front serves its metrics.
    pub metrics_addr: SocketAddr,
    /// Address at which the front serves other processes.
    pub peer_addr: SocketAddr,
    /// The worker.
    pub worker: RunningProgram,
    /// Address at which the worker serves other processes.
    pub worker_addr: SocketAddr,
    /// The store and the backend servers. Dropped last: another fleet that claimed the network could
    /// not use the addresses of the processes.
    pub fleet: Fleet,
}

impl Programs {
    /// Starts the processes, and waits until the front serves requests. The front may have
    /// `max_open_files` open files.
    pub async fn start(
        name: &str,
        servers: Vec<ServerConfig>,
        max_open_files: Option<usize>,
    ) -> Self {
        let plan = FleetPlan {
            servers,
            fronts: 0,
            workers: 0,
            zones: 1,
        };
        let fleet = Fleet::start(plan).await;
        fleet.configure(2, wait_long_for_responses).await;
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let front_settings = fleet.process_settings(1, Role::Front);
        let worker_settings = fleet.process_settings(2, Role::Worker);
        let start = |name, program, settings, max_open_files| {
            let settings = serde_json::to_string(settings).expect("settings encode");
            let started = RunningProgram::start(&ProgramSpec {
                name,
                program: Path::new(program),
                settings: &settings,
                folder: &folder,
                max_open_files,
            });
            started.expect("the program starts")
        };
        let front_program = env!("CARGO_BIN_EXE_foxwheel-front");
        let worker_program = env!("CARGO_BIN_EXE_foxwheel-worker");
        let programs = Self {
            front: start("front", front_program, &front_settings, max_open_files),
            front_addr: front_settings.caller_address.expect("an address"),
            readiness_addr: front_settings.readiness_address.expect("an address"),
            metrics_addr: SocketAddr::new(front_settings.ip, network::METRICS_PORT),
            peer_addr: front_settings.peer_address(),
            worker: start("worker", worker_program, &worker_settings, None),
            worker_addr: worker_settings.peer_address(),
            fleet,
        };
        programs.fleet.wait_until_serving(programs.front_addr).await;
        programs
    }

    /// Starts to measure what the front holds.
    pub fn monitor_front(&self) -> UsageMonitor {
        UsageMonitor::start(self.front.pid(), self.front_addr)
    }

    /// Starts to measure what the worker holds.
    pub fn monitor_worker(&self) -> UsageMonitor {
        UsageMonitor::start(self.worker.pid(), self.worker_addr)
    }

    /// Checks that both processes run, that the front held at most `max_bytes` and has answered one
    /// ordinary request.
    pub async fn check_front(&mut self, peak: Usage, max_bytes: u64) {
        println!("the front held at most {peak:?}");
        self.check_ordinary_request("ordinary").await;
        assert!(self.front.is_running(), "the front has ended");
        assert!(self.worker.is_running(), "the worker has ended");
        let held = peak.memory_bytes;
        assert!(
            held <= max_bytes,
            "the front held {held} of {max_bytes} bytes"
        );
    }

    /// Checks that the worker runs and held at most the memory of the smallest host.
    pub fn check_worker(&mut self, peak: Usage) {
        println!("the worker held at most {peak:?}");
        assert!(self.worker.is_running(), "the worker has ended");
        let held = peak.memory_bytes;
        assert!(held <= WORKER_MEMORY_BYTES, "the worker held {held} bytes");
    }

    /// Checks that the front serves one ordinary request. If the front refuses it, it comes back when
    /// the front says.
    pub async fn check_ordinary_request(&self, id: &str) {
        let body = "a".repeat(1_500);
        let calling = async {
            loop {
                let received = self.call_front("/plain/a", id, &body).await;
                if !received.says_not_run() {
                    return received;
                }
                let retry_after = &received.headers[RETRY_AFTER];
                println!("{id}: refused, retry after {retry_after:?}");
                let retry_after_s = retry_after
                    .to_str()
                    .expect("text")
                    .parse()
                    .expect("seconds");
                tokio::time::sleep(Duration::from_secs_f64(retry_after_s)).await;
            }
        };
        let served = tokio::time::timeout(HANG_TIMEOUT, calling).await;
        let received = served.expect("the front refuses without end");
        assert_eq!(received.status, StatusCode::OK, "{id}");
        assert!(received.is_complete, "{id}");
    }

    /// Sends one request to the front, which must respond.
    pub async fn call_front(&self, path: &str, id: &str, body: &str) -> ReceivedResponse {
        let calling = call(self.front_addr, Method::POST, path, id, &[], body);
        let called = tokio::time::timeout(HANG_TIMEOUT, calling).await;
        called.expect("the front hangs").expect("a response")
    }
}

/// Returns the body that submits a job of one item with an encoded body of `body_bytes`.
pub fn submission_of_one_item(id: &str, body_bytes: usize) -> String {
    let body = "a".repeat(body_bytes);
    format!(r#"{{"items":[{{"id":"{id}","path":"/batch/a","tokens":1,"body":"{body}"}}]}}"#)
}
