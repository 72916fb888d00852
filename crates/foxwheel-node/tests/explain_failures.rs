//! Starts front and worker processes and checks that `foxwheel-ctl explain` finds the cause of
//! three kinds of failed request from their logs alone.

mod common;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use common::{call, submit_job, wait_for_results, Fleet, FleetPlan};
use foxwheel_ctl::explain;
use foxwheel_node::settings::{NodeSettings, Role};
use foxwheel_server_emu::faults::Fault;
use foxwheel_server_emu::server::ServerConfig;
use hyper::{Method, StatusCode};

/// A process started from its binary, with its log in a file; killed when dropped.
struct SpawnedProcess {
    child: Child,
    log: PathBuf,
    caller_address: Option<SocketAddr>,
}

impl Drop for SpawnedProcess {
    fn drop(&mut self) {
        // The process may have exited already, so that errors are ignored.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl SpawnedProcess {
    fn start(name: &str, settings: &NodeSettings) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("explain-{name}"));
        std::fs::create_dir_all(&folder).expect("folder");
        let file = folder.join(format!("{}.json", settings.host));
        std::fs::write(&file, serde_json::to_string(settings).expect("it encodes")).expect("file");
        let log = folder.join(format!("{}.log", settings.host));
        let out = std::fs::File::create(&log).expect("log file");
        let binary = match settings.role {
            Role::Front => env!("CARGO_BIN_EXE_foxwheel-front"),
            Role::Worker => env!("CARGO_BIN_EXE_foxwheel-worker"),
        };
        let child = Command::new(binary)
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::from(out))
            .spawn()
            .expect("the process starts");
        Self {
            child,
            log,
            caller_address: settings.caller_address,
        }
    }

    fn caller_address(&self) -> SocketAddr {
        self.caller_address.expect("a front")
    }
}

/// Starts a front and workers as separate processes, and a fleet that consists only of the store
/// and the backend servers.
async fn spawn_fleet(
    name: &str,
    servers: Vec<ServerConfig>,
    workers: u32,
) -> (Fleet, Vec<SpawnedProcess>) {
    let fleet = Fleet::start(FleetPlan {
        servers,
        fronts: 0,
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    let mut processes = vec![SpawnedProcess::start(
        name,
        &fleet.process_settings(1, Role::Front),
    )];
    for host in 2..2 + workers {
        let settings = fleet.process_settings(host, Role::Worker);
        processes.push(SpawnedProcess::start(name, &settings));
    }
    fleet
        .wait_until_serving(processes[0].caller_address())
        .await;
    (fleet, processes)
}

/// Waits until the explanation of `id` from the logs contains `expected`, and returns it.
async fn wait_for_explanation(id: &str, processes: &[SpawnedProcess], expected: &str) -> String {
    let logs: Vec<PathBuf> = processes
        .iter()
        .map(|process| process.log.clone())
        .collect();
    let mut explanation = String::new();
    for _ in 0..200 {
        explanation = explain::explain(id, &logs).unwrap_or_else(|e| e.to_string());
        if explanation.contains(expected) {
            return explanation;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("'{expected}' is missing from the explanation of {id}:\n{explanation}");
}

#[actix_web::test]
async fn explains_a_request_refused_under_load() {
    let slow = ServerConfig {
        id: "slow".to_owned(),
        slots: 8,
        step_time: Duration::from_millis(400),
        events_per_stream: 20,
        ..ServerConfig::default()
    };
    let (mut fleet, processes) = spawn_fleet("load", common::server_shapes(1), 0).await;
    let front = processes[0].caller_address();
    // The fleet's start waits for a served request, which needs a fast server. The load is then
    // sent to the slow server.
    fleet
        .register_server("server-0", fleet.servers[0].addr, "draining")
        .await;
    fleet.add_server(slow).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let callers = (0..30).map(|index| async move {
        let id = format!("load-{index}");
        let mut connection = common::connect(front).await.expect("connected");
        let request = common::build_request(Method::POST, "/stream-once/a", &id, &[], "");
        let response = connection.send(request).await.expect("a response");
        (id, response.status())
    });
    let responses = futures::future::join_all(callers).await;
    let refused = responses
        .iter()
        .find(|(_, status)| *status == StatusCode::SERVICE_UNAVAILABLE)
        .unwrap_or_else(|| panic!("none refused: {responses:?}"));
    let explanation = wait_for_explanation(
        &refused.0,
        &processes,
        "cause: request failed: all servers full",
    )
    .await;
    assert!(explanation.contains("may_have_run=false"), "{explanation}");
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn explains_a_stream_cut_off_by_a_crashed_server() {
    let (fleet, processes) = spawn_fleet("stream", common::server_shapes(1), 0).await;
    fleet.servers[0].fault_script.extend([Fault::CutAfter(2)]);
    let front = processes[0].caller_address();
    let response = call(front, Method::POST, "/stream-once/a", "broken", &[], "").await;
    assert!(!response.expect("a response").is_complete);
    let explanation = wait_for_explanation("broken", &processes, "cause: stream broken").await;
    assert!(explanation.contains("(server server-0)"), "{explanation}");
    assert!(explanation.contains("cut_by=Server"), "{explanation}");
    assert!(explanation.contains("silent_ms="), "{explanation}");
    fleet.cancel.cancel();
}

/// Without its line, a request whose caller's connection ended looks like one that was lost.
#[actix_web::test]
async fn explains_a_request_that_its_caller_abandoned() {
    let (fleet, processes) = spawn_fleet("abandoned", common::server_shapes(1), 0).await;
    fleet.servers[0].fault_script.extend([Fault::StallAfter(2)]);
    let front = processes[0].caller_address();
    let mut connection = common::connect(front).await.expect("connected");
    let request = common::build_request(Method::POST, "/stream-once/a", "left", &[], "");
    let response = connection.send(request).await.expect("a response");
    drop(response);
    drop(connection);
    let expected = "request abandoned: the connection of its caller ended";
    let explanation = wait_for_explanation("left", &processes, expected).await;
    assert!(explanation.contains("config_version=1"), "{explanation}");
    assert!(explanation.contains("server=server-0"), "{explanation}");
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn explains_an_item_given_up_and_a_job_adopted_from_a_killed_worker() {
    let slow_shapes = common::server_shapes(2)
        .into_iter()
        .map(|shape| ServerConfig {
            step_time: Duration::from_millis(150),
            ..shape
        });
    let (fleet, mut processes) = spawn_fleet("item", slow_shapes.collect(), 2).await;
    let front = processes[0].caller_address();
    for server in &fleet.servers {
        server.fault_script.extend([Fault::Fail; 3]);
    }
    submit_job(front, "failing", 1).await.expect("a response");
    wait_for_results(front, "failing", 1).await;
    let explanation =
        wait_for_explanation("failing-item-0", &processes, "cause: item given up: Failed").await;
    assert!(explanation.contains("failures=3"), "{explanation}");

    // Both workers run jobs. The first one is killed without a graceful stop.
    for index in 0..6 {
        submit_job(front, &format!("late-{index}"), 4)
            .await
            .expect("a response");
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    processes[1].child.kill().expect("killed");
    let mut adopted = 0;
    for index in 0..6 {
        let job = format!("late-{index}");
        wait_for_results(front, &job, 4).await;
        let explanation = wait_for_explanation(&job, &processes, "results stored").await;
        let cause = explanation.lines().last().expect("a cause");
        assert_eq!(
            explanation.contains("job adopted"),
            cause.contains("changed its worker"),
            "{explanation}"
        );
        adopted += usize::from(explanation.contains("job adopted"));
    }
    assert!(
        adopted > 0,
        "no job of the killed worker is explained as adopted"
    );
    fleet.cancel.cancel();
}
