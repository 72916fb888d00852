//! Contents that crash no server, and whose servers end all the same: by a restart of a whole
//! service, or beside a request that crashes them. They are served again as soon as there are
//! servers again, while a content that does crash its servers takes down one at a time.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::crashing_servers::{self, CRASHES_TO_QUARANTINE, CRASHING_BODY, PROPAGATION_TIME};
use common::{call, server_shapes, Fleet, FleetPlan, ReceivedResponse, WAIT_TIMEOUT};
use foxwheel_server_emu::server::ServerConfig;
use foxwheel_soak::checks::RECOVERY_TIMEOUT;
use hyper::{Method, StatusCode};
use serde_json::{json, Value};

const POPULAR_BODY: &str = "a prompt that many callers send";

/// Starts fronts in two zones. The route of streams allows many runs.
async fn fleet_of(servers: Vec<ServerConfig>, fronts: u32) -> Fleet {
    start_fleet(FleetPlan {
        servers,
        fronts,
        workers: 0,
        zones: 2,
    })
    .await
}

async fn start_fleet(plan: FleetPlan) -> Fleet {
    let fleet = Fleet::start(plan).await;
    let many_runs = |config: &mut Value| config["routes"][2]["max_attempts"] = json!(10);
    fleet.configure(2, many_runs).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet
}

async fn send(front: SocketAddr, path: &str, id: &str, body: &str) -> Option<ReceivedResponse> {
    let sent = call(front, Method::POST, path, id, &[], body).await;
    sent.ok()
}

fn is_served(response: &ReceivedResponse) -> bool {
    response.status == StatusCode::OK && response.is_complete
}

/// Completes the popular request once at each front.
async fn complete_popular_request(fleet: &Fleet, path: &str) {
    for (number, front) in fleet.fronts.iter().enumerate() {
        let id = format!("before-{number}");
        let response = send(*front, path, &id, POPULAR_BODY).await;
        assert!(is_served(&response.expect("a response")), "{id}");
    }
}

/// Sends the popular request to `front` until it is served, and fails if that takes longer than
/// [`RECOVERY_TIMEOUT`], or if a refusal names a longer delay.
async fn wait_until_popular_is_served(front: SocketAddr, path: &str) {
    let started_at = Instant::now();
    for number in 0.. {
        let id = format!("after-{front}-{number}");
        let response = send(front, path, &id, POPULAR_BODY).await;
        let response = response.expect("a response");
        if is_served(&response) {
            return;
        }
        if let Some(retry_after) = response.headers.get("retry-after") {
            let retry_after_s: f64 = retry_after.to_str().expect("text").parse().expect("number");
            let retry_after = Duration::from_secs_f64(retry_after_s);
            assert!(
                retry_after <= RECOVERY_TIMEOUT,
                "retry after {retry_after:?}"
            );
        }
        let waited = started_at.elapsed();
        assert!(waited < RECOVERY_TIMEOUT, "refused for {waited:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Sends the popular request until each server has ended while it ran the request.
async fn terminate_all_servers_under(fleet: &Fleet, path: &str) {
    let mut number = 0;
    while crashing_servers::ended_servers(fleet) < fleet.servers.len() {
        let id = format!("cut-off-{number}");
        let request = send(fleet.fronts[0], path, &id, POPULAR_BODY);
        tokio::select! {
            _ = request => {}
            () = crashing_servers::terminate_each_server_of(fleet, &id) => {}
        }
        number += 1;
        assert!(number <= fleet.servers.len(), "a server was not used");
    }
}

async fn add_servers(fleet: &mut Fleet, count: usize) {
    for number in 0..count {
        let shape = ServerConfig {
            id: format!("new-{number}"),
            ..ServerConfig::default()
        };
        fleet.add_server(shape).await;
    }
}

/// All servers of a service are restarted one after the other, and the same request runs at each
/// of them. It was quarantined for ten minutes.
#[actix_web::test]
async fn popular_content_is_served_after_its_servers_ended_in_succession() {
    for path in ["/stream/popular", "/once/popular"] {
        let mut fleet = fleet_of(crashing_servers::slow_shapes(CRASHES_TO_QUARANTINE), 2).await;
        complete_popular_request(&fleet, path).await;
        terminate_all_servers_under(&fleet, path).await;
        add_servers(&mut fleet, 2).await;
        for front in fleet.fronts.clone() {
            wait_until_popular_is_served(front, path).await;
        }
        fleet.cancel.cancel();
    }
}

/// All servers are replaced by a version that a popular content crashes. When its quarantine ends,
/// the fronts, which all have callers that wait to send it, try it at the same server.
#[actix_web::test]
async fn fronts_try_a_content_that_crashes_servers_at_one_of_them() {
    let old_servers = vec![ServerConfig::default()];
    let mut fleet = fleet_of(old_servers, 4).await;
    let fronts = fleet.fronts.clone();
    for (number, front) in fronts.iter().enumerate() {
        let id = format!("old-version-{number}");
        let response = send(*front, "/stream/a", &id, CRASHING_BODY).await;
        assert!(is_served(&response.expect("a response")), "{id}");
    }
    fleet.servers[0].terminate();
    for shape in crashing_servers::shapes(12) {
        let id = format!("new-version-{}", shape.id);
        fleet.add_server(ServerConfig { id, ..shape }).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    // Repeated on its own by its front until it is quarantined.
    let _ = send(fronts[0], "/stream/a", "crash", CRASHING_BODY).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    let ended_before = crashing_servers::ended_servers(&fleet);
    assert!(ended_before > CRASHES_TO_QUARANTINE, "{ended_before} ended");
    let calls = (0..40).map(|number| {
        let front = fronts[number % fronts.len()];
        async move {
            send(
                front,
                "/stream/a",
                &format!("again-{number}"),
                CRASHING_BODY,
            )
            .await
        }
    });
    futures::future::join_all(calls).await;
    let trials = crashing_servers::ended_servers(&fleet) - ended_before;
    assert!((1..=2).contains(&trials), "{trials} servers ended");
    fleet.cancel.cancel();
}

/// A quarantine was saved, and then lifted by a complete response. After a stop of all processes,
/// the content was refused again.
#[actix_web::test]
async fn lifted_quarantine_does_not_return_after_a_stop_of_all_processes() {
    let shapes = server_shapes(2 + CRASHES_TO_QUARANTINE).into_iter();
    let slow_shapes = shapes.map(|shape| ServerConfig {
        events_per_stream: 40,
        step_time: Duration::from_millis(25),
        ..shape
    });
    let plan = FleetPlan {
        servers: slow_shapes.collect(),
        fronts: 2,
        workers: 1,
        zones: 2,
    };
    let mut fleet = start_fleet(plan).await;
    let front = fleet.fronts[0];
    let completed = send(front, "/stream/popular", "completed", POPULAR_BODY);
    let cut_off = async {
        crashing_servers::wait_until_running(&fleet, "completed").await;
        let cut_off = send(front, "/stream/popular", "cut-off", POPULAR_BODY);
        tokio::select! {
            _ = cut_off => {}
            () = crashing_servers::terminate_each_server_of(&fleet, "cut-off") => {}
        }
        wait_for_stored_quarantines(&fleet, 1).await;
    };
    let (completed, ()) = tokio::join!(completed, cut_off);
    assert!(is_served(&completed.expect("a response")));
    assert_eq!(
        crashing_servers::ended_servers(&fleet),
        CRASHES_TO_QUARANTINE
    );
    wait_for_stored_quarantines(&fleet, 0).await;
    fleet.restart_all_processes().await;
    for front in fleet.fronts.clone() {
        fleet.wait_until_serving(front).await;
        tokio::time::sleep(PROPAGATION_TIME).await;
        let response = send(front, "/stream/popular", "restarted", POPULAR_BODY).await;
        assert!(is_served(&response.expect("a response")));
    }
    fleet.cancel.cancel();
}

async fn wait_for_stored_quarantines(fleet: &Fleet, count: usize) {
    let started_at = Instant::now();
    loop {
        let stored = fleet.list_stored("foxwheel-quarantine/").await;
        if stored.len() == count {
            return;
        }
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "stored: {stored:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
