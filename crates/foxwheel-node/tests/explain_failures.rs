//! Real processes, three kinds of failed request: their logs alone name the cause.

mod common;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use common::{call, submit, wait_for_results, Fleet, FleetPlan};
use foxwheel_ctl::explain;
use foxwheel_node::settings::{NodeSettings, Role};
use foxwheel_server_emu::faults::Fault;
use foxwheel_server_emu::server::Shape;
use hyper::{Method, StatusCode};

/// A process started from its binary, with its log in a file.
struct Spawned {
    child: Child,
    log: PathBuf,
    caller_address: Option<SocketAddr>,
}

impl Drop for Spawned {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Spawned {
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

    fn front(&self) -> SocketAddr {
        self.caller_address.expect("a front")
    }
}

/// A front and workers as processes of their own, beside a fleet that only has the store
/// and the backend servers.
async fn spawn(name: &str, servers: Vec<Shape>, workers: u32) -> (Fleet, Vec<Spawned>) {
    let fleet = Fleet::start(FleetPlan {
        servers,
        fronts: 0,
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    let mut processes = vec![Spawned::start(
        name,
        &fleet.process_settings(1, Role::Front),
    )];
    for host in 2..2 + workers {
        let settings = fleet.process_settings(host, Role::Worker);
        processes.push(Spawned::start(name, &settings));
    }
    fleet.wait_until_serving(processes[0].front()).await;
    (fleet, processes)
}

/// Waits until the logs tell of `id` as expected; answers the story.
async fn story(id: &str, processes: &[Spawned], expected: &str) -> String {
    let logs: Vec<PathBuf> = processes
        .iter()
        .map(|process| process.log.clone())
        .collect();
    let mut last = String::new();
    for _ in 0..200 {
        last = explain::explain(id, &logs).unwrap_or_else(|e| e.to_string());
        if last.contains(expected) {
            return last;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("'{expected}' is not told of {id}:\n{last}");
}

#[actix_web::test]
async fn a_request_refused_under_load() {
    let slow = Shape {
        id: "slow".to_owned(),
        slots: 8,
        step: Duration::from_millis(400),
        events: 20,
        ..Shape::default()
    };
    let (mut fleet, processes) = spawn("load", common::server_shapes(1), 0).await;
    let front = processes[0].front();
    // The probe of the start needs a quick server; the load meets the slow one.
    fleet
        .register_server("server-0", fleet.servers[0].addr, "draining")
        .await;
    fleet.add_server(slow).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let callers = (0..30).map(|at| async move {
        let id = format!("load-{at}");
        let mut connection = common::connect(front).await.expect("connected");
        let request = common::request(Method::POST, "/stream-once/a", &id, &[], "");
        let answer = connection.send(request).await.expect("answered");
        (id, answer.status())
    });
    let answers = futures::future::join_all(callers).await;
    let refused = answers
        .iter()
        .find(|(_, status)| *status == StatusCode::SERVICE_UNAVAILABLE)
        .unwrap_or_else(|| panic!("none refused: {answers:?}"));
    let told = story(
        &refused.0,
        &processes,
        "cause: request failed: all servers full",
    )
    .await;
    assert!(told.contains("may_have_run=false"), "{told}");
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn a_stream_broken_by_a_crashed_server() {
    let (fleet, processes) = spawn("stream", common::server_shapes(1), 0).await;
    fleet.servers[0].script.extend([Fault::BreakAfter(2)]);
    let front = processes[0].front();
    let answer = call(front, Method::POST, "/stream-once/a", "broken", &[], "").await;
    assert!(!answer.expect("answered").whole);
    let told = story("broken", &processes, "cause: stream broken").await;
    assert!(told.contains("(server server-0)"), "{told}");
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn an_item_given_up_and_one_late_over_a_dead_worker() {
    let steps = common::server_shapes(2).into_iter().map(|shape| Shape {
        step: Duration::from_millis(150),
        ..shape
    });
    let (fleet, mut processes) = spawn("item", steps.collect(), 2).await;
    let front = processes[0].front();
    for server in &fleet.servers {
        server.script.extend([Fault::Fail; 3]);
    }
    submit(front, "failing", 1).await.expect("answered");
    wait_for_results(front, "failing", 1).await;
    let told = story("failing-item-0", &processes, "cause: item given up: Failed").await;
    assert!(told.contains("failures=3"), "{told}");

    // Both workers run jobs; the first is killed without a word.
    for at in 0..6 {
        submit(front, &format!("late-{at}"), 4)
            .await
            .expect("answered");
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    processes[1].child.kill().expect("killed");
    let mut adopted = 0;
    for at in 0..6 {
        let job = format!("late-{at}");
        wait_for_results(front, &job, 4).await;
        let told = story(&job, &processes, "results stored").await;
        let cause = told.lines().last().expect("a cause");
        assert_eq!(
            told.contains("job adopted"),
            cause.contains("changed its worker"),
            "{told}"
        );
        adopted += usize::from(told.contains("job adopted"));
    }
    assert!(adopted > 0, "no job of the dead worker is told as adopted");
    fleet.cancel.cancel();
}
