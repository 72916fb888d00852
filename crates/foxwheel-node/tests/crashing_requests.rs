//! One request crashed every backend server that began to run it. Its callers sent it again and
//! again, under new ids and at fronts of all zones, and each attempt took two more servers with
//! it: each kept to its route's two runs, but what a front learned of a crash ended with the
//! attempt, and no other process ever learned it. In the incident 55 servers ended under one
//! such request within half a minute, and every stream that ran beside it broke. The logs showed
//! each attempt at two servers that ended 0.1 s apart: `stream resumed` with `after: null`, then
//! `stream broken`. That the attempts carried one content was in no log line; `answer broke`
//! tells it since, with what became of the server.

mod common;

use std::time::Duration;

use base64::Engine;
use common::crashing_servers::{
    self, CRASHES_TO_QUARANTINE, CRASHING_BODY, MAX_RUNS_IN_QUARANTINE, PROPAGATION_TIME,
};
use common::{call, job_body, server_shapes, wait_for_results, Answer, Fleet, FleetPlan};
use foxwheel_node::settings::Role;
use foxwheel_server_emu::server::Shape;
use foxwheel_store::api::Faults;
use hyper::{Method, StatusCode};
use serde_json::{json, Value};

/// `count` servers whose streams take some 200 ms.
fn slow_shapes(count: usize) -> Vec<Shape> {
    let shapes = server_shapes(count).into_iter();
    let slow = shapes.map(|shape| Shape {
        events: 40,
        step: Duration::from_millis(5),
        ..shape
    });
    slow.collect()
}

/// Fronts in two zones, before `servers` that crash.
async fn frail_fleet(servers: usize, workers: u32) -> Fleet {
    Fleet::start(FleetPlan {
        servers: crashing_servers::shapes(servers),
        fronts: 2,
        workers,
        zones: 2,
    })
    .await
}

fn ended(fleet: &Fleet) -> usize {
    fleet
        .servers
        .iter()
        .filter(|server| server.has_ended())
        .count()
}

/// Sends the crashing request to `path` under a new id, at each front in turn.
async fn send_crash(fleet: &Fleet, path: &str, number: usize) -> Option<Answer> {
    let front = fleet.fronts[number % fleet.fronts.len()];
    let id = format!("crash-{path}-{number}");
    let sent = call(front, Method::POST, path, &id, &[], CRASHING_BODY).await;
    sent.ok()
}

/// Sends the crashing request until it crashed enough servers to be known.
async fn until_known(fleet: &Fleet, path: &str) {
    for number in 0..2 * CRASHES_TO_QUARANTINE {
        send_crash(fleet, path, number).await;
        if ended(fleet) >= CRASHES_TO_QUARANTINE {
            break;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    assert!(ended(fleet) >= CRASHES_TO_QUARANTINE, "servers crash");
    tokio::time::sleep(PROPAGATION_TIME).await;
}

#[actix_web::test]
async fn a_request_that_crashes_servers_reaches_no_more_of_them() {
    for path in ["/stream/a", "/plain/a"] {
        let fleet = frail_fleet(40, 0).await;
        until_known(&fleet, path).await;
        let before = ended(&fleet);
        for number in 0..10 {
            send_crash(&fleet, path, number + 100).await;
        }
        assert_eq!(ended(&fleet), before, "servers ended under {path}");
        fleet.cancel.cancel();
    }
}

/// A route that allows many runs does not let one attempt crash more servers than tell enough.
#[actix_web::test]
async fn one_attempt_of_many_runs_stops_when_enough_servers_crashed() {
    let fleet = frail_fleet(12, 0).await;
    let many_runs = |config: &mut Value| config["routes"][2]["max_attempts"] = json!(10);
    fleet.configure(2, many_runs).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    send_crash(&fleet, "/stream/a", 0).await;
    assert_eq!(ended(&fleet), CRASHES_TO_QUARANTINE);
    fleet.cancel.cancel();
}

/// The refusal is true and at once, and names a time to come back.
#[actix_web::test]
async fn a_quarantined_request_is_refused_as_not_run() {
    let fleet = frail_fleet(12, 0).await;
    until_known(&fleet, "/once/a").await;
    for number in 0..4 {
        let answer = send_crash(&fleet, "/once/a", number + 100).await;
        let answer = answer.expect("answered");
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        let retry_after = answer.headers["retry-after"].to_str().expect("text");
        let retry_after_s: f64 = retry_after.parse().expect("a number");
        assert!(retry_after_s > 60.0, "come back in {retry_after_s} s");
        let id = format!("crash-/once/a-{}", number + 100);
        assert!(fleet.runs_of_request(&id).is_empty(), "{id} ran");
    }
    fleet.cancel.cancel();
}

/// A process that starts later knows what happened before it came.
#[actix_web::test]
async fn a_front_that_starts_later_knows_of_the_crashes() {
    let mut fleet = frail_fleet(24, 0).await;
    until_known(&fleet, "/stream/a").await;
    let before = ended(&fleet);
    fleet.add_process(Role::Front).await;
    let late = *fleet.fronts.last().expect("a front");
    fleet.wait_until_serving(late).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    for number in 0..4 {
        let id = format!("crash-late-{number}");
        // Refused or broken off: what counts is what the servers see.
        let _ = call(late, Method::POST, "/stream/a", &id, &[], CRASHING_BODY).await;
    }
    assert_eq!(ended(&fleet), before);
    fleet.cancel.cancel();
}

/// Streams that were beside the crashing request, and contents of another caller or path,
/// are served all the while.
#[actix_web::test]
async fn requests_beside_a_crashing_one_are_served() {
    let fleet = frail_fleet(24, 0).await;
    until_known(&fleet, "/stream/a").await;
    for (number, front) in fleet.fronts.iter().cycle().take(20).enumerate() {
        let id = format!("beside-{number}");
        let body = format!("another prompt {number}");
        let answer = call(*front, Method::POST, "/stream/a", &id, &[], &body).await;
        let answer = answer.expect("answered");
        assert_eq!(answer.status, StatusCode::OK, "{id}");
        assert!(answer.whole, "{id}");
    }
    fleet.cancel.cancel();
}

/// Servers that crash by themselves under a request accuse it; one whole answer clears it
/// before enough crashes come together, however many there are in all.
#[actix_web::test]
async fn a_request_that_others_crashes_broke_is_cleared_when_it_is_served() {
    let fleet = Fleet::start(FleetPlan {
        servers: slow_shapes(16),
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    let front = fleet.fronts[0];
    for round in 0..6 {
        let id = format!("innocent-{round}");
        let crashing = async {
            tokio::time::sleep(Duration::from_millis(60)).await;
            let at_work = fleet.servers.iter().find(|server| {
                let runs = server.runs.of(&id);
                !server.has_ended() && runs.iter().any(|run| run.finished.is_none())
            });
            at_work.expect("it runs").end();
        };
        let calling = call(
            front,
            Method::POST,
            "/stream/a",
            &id,
            &[],
            "an innocent prompt",
        );
        let (answer, ()) = tokio::join!(calling, crashing);
        let answer = answer.expect("answered");
        assert_eq!(answer.status, StatusCode::OK, "{id}");
        assert!(answer.whole, "{id} was resumed");
    }
    assert_eq!(ended(&fleet), 6);
    fleet.cancel.cancel();
}

/// What is known of crashes outlives a stop of every process.
#[actix_web::test]
async fn a_stop_of_all_processes_forgets_no_crash() {
    let mut fleet = frail_fleet(24, 1).await;
    until_known(&fleet, "/stream/a").await;
    let before = ended(&fleet);
    fleet.restart_all_processes().await;
    for front in fleet.fronts.clone() {
        fleet.wait_until_serving(front).await;
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    for number in 0..6 {
        send_crash(&fleet, "/stream/a", number + 100).await;
    }
    assert_eq!(ended(&fleet), before);
    fleet.cancel.cancel();
}

/// An item that crashes servers stops running, whichever worker has its job, while the job's
/// other items complete. It may be given up only when its route says so.
#[actix_web::test]
async fn an_item_that_crashes_servers_stops_running() {
    let fleet = frail_fleet(24, 2).await;
    let short = |config: &mut Value| config["routes"][4]["retention_s"] = json!(8);
    fleet.configure(2, short).await;
    let crash = base64::engine::general_purpose::STANDARD.encode(CRASHING_BODY);
    let mut job: Value = serde_json::from_str(&job_body("job", 4)).expect("JSON");
    job["items"][1]["body"] = json!(crash);
    let headers = [("content-type", "application/json")];
    let front = fleet.fronts[0];
    let body = job.to_string();
    let accepted = call(front, Method::POST, "/batch/submit", "job", &headers, &body).await;
    assert_eq!(accepted.expect("answered").status, StatusCode::ACCEPTED);
    let completed = wait_for_results(front, "job", 3).await;
    assert!(completed.iter().all(|item| item["state"] == "completed"));
    let listed = wait_for_results(front, "job", 4).await;
    assert_eq!(listed[3]["id"], "job-item-1");
    assert_eq!(listed[3]["state"], "dead_letter");
    tokio::time::sleep(PROPAGATION_TIME).await;
    let retries = ended(&fleet) - CRASHES_TO_QUARANTINE;
    assert!(
        retries <= MAX_RUNS_IN_QUARANTINE,
        "{retries} servers crashed by trials"
    );
    fleet.cancel.cancel();
}

/// All servers are lost at one moment while the same content is at work on each: what all ask
/// for has crashed none of them, and is served as soon as there are servers again.
#[actix_web::test]
async fn servers_lost_together_accuse_nothing_that_many_ask_for() {
    let mut fleet = Fleet::start(FleetPlan {
        servers: slow_shapes(4),
        fronts: 2,
        workers: 0,
        zones: 2,
    })
    .await;
    let fronts = fleet.fronts.clone();
    let asked = (0..16).map(|number| {
        let front = fronts[number % fronts.len()];
        let id = format!("popular-{number}");
        async move { call(front, Method::GET, "/stream/popular", &id, &[], "").await }
    });
    let servers = fleet.servers.clone();
    let lost = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        for server in &servers {
            assert!(!server.runs.all().is_empty(), "each server is at work");
            server.end();
        }
    };
    tokio::join!(futures::future::join_all(asked), lost);
    for number in 0..2 {
        let shape = Shape {
            id: format!("new-{number}"),
            ..Shape::default()
        };
        fleet.add_server(shape).await;
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    for front in fronts {
        let answer = call(front, Method::GET, "/stream/popular", "again", &[], "").await;
        let answer = answer.expect("answered");
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.whole);
    }
    fleet.cancel.cancel();
}

/// A quarantine that began while the store was down outlives a stop of every process too.
#[actix_web::test]
async fn a_quarantine_that_began_in_an_outage_is_saved_after_it() {
    let mut fleet = frail_fleet(24, 1).await;
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    fleet.set_store_faults(outage).await;
    until_known(&fleet, "/stream/a").await;
    let before = ended(&fleet);
    fleet.set_store_faults(Faults::default()).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    assert_eq!(fleet.list_stored("foxwheel-quarantine/").await.len(), 1);
    fleet.restart_all_processes().await;
    for front in fleet.fronts.clone() {
        fleet.wait_until_serving(front).await;
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    for number in 0..4 {
        send_crash(&fleet, "/stream/a", number + 100).await;
    }
    assert_eq!(ended(&fleet), before);
    fleet.cancel.cancel();
}
