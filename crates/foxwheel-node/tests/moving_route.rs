//! A route moves to another service while requests wait for slots.

mod common;

use std::time::Duration;

use common::{call, Answer, Fleet, FleetPlan};
use foxwheel_server_emu::server::{self, Server, Shape};
use hyper::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

/// More than the front sends to one server at once (12 of 8 slots), so that some wait.
const BURST: usize = 30;

const ROUNDS: u64 = 6;

/// Where the requests of a route go in a version of the configuration.
fn service_of(version: u64) -> &'static str {
    match version % 2 {
        0 => "other",
        _ => "model",
    }
}

async fn add_other_server(fleet: &Fleet, shape: Shape) -> Server {
    let id = shape.id.clone();
    let ip = std::net::Ipv4Addr::LOCALHOST.into();
    let started = server::start(ip, shape, fleet.cancel.clone()).await;
    let server = started.expect("server starts");
    fleet
        .register_server_of_service("other", &id, server.addr, "ready")
        .await;
    server
}

/// Moves every route to the service of `version`, and marks the version by a route.
async fn move_routes(fleet: &Fleet, version: u64) {
    fleet
        .configure(version, |config| {
            let routes = config["routes"].as_array_mut().expect("routes");
            for route in routes.iter_mut() {
                route["service"] = json!(service_of(version));
            }
            let mut marker = routes[0].clone();
            marker["name"] = json!("marker");
            marker["path_prefix"] = json!(format!("/version-{version}/"));
            routes.push(marker);
            config["services"] = json!([
                {"name": "model", "health_path": "/healthz", "max_conns": 100},
                {"name": "other", "health_path": "/healthz", "max_conns": 100},
            ]);
        })
        .await;
}

async fn until_in_force(fleet: &Fleet, version: u64) {
    let path = format!("/version-{version}/probe");
    for attempt in 0..1_000 {
        let id = format!("probe-{version}-{attempt}");
        let reply = call(fleet.fronts[0], Method::GET, &path, &id, &[], "").await;
        if reply.is_ok_and(|reply| reply.status != StatusCode::NOT_FOUND) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("version {version} never came into force");
}

async fn send(front: std::net::SocketAddr, path: &str, id: String) -> (String, Answer) {
    let path = format!("{path}{id}");
    let answer = call(front, Method::POST, &path, &id, &[], "timber").await;
    (id, answer.expect("an answer"))
}

/// Each request runs at one service, that of a version in force since it came; a request
/// that comes after a version is in force never runs where only an older one sent it; one
/// that may run once runs once at most, and one refused as not run never ran.
#[actix_web::test]
async fn waiting_requests_keep_their_promises_while_their_route_moves() {
    let slow = |id: &str| Shape {
        id: id.to_owned(),
        events: 0,
        step: Duration::from_millis(60),
        ..Shape::default()
    };
    let fleet = Fleet::start(FleetPlan {
        servers: vec![slow("server-0")],
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    let other = add_other_server(&fleet, slow("other-0")).await;
    let runs_at = |service: &str, id: &str| match service {
        "other" => other.runs.of(id).len(),
        _ => fleet.runs_of_request(id).len(),
    };
    move_routes(&fleet, 3).await;
    until_in_force(&fleet, 3).await;
    for round in 0..ROUNDS {
        let mut rng = StdRng::seed_from_u64(round);
        let (before, after) = (3 + round, 4 + round);
        let front = fleet.fronts[0];
        let early = (0..BURST).map(|at| {
            let path = ["/plain/", "/once/"][at % 2];
            let pause = Duration::from_millis(rng.random_range(0..120));
            async move {
                tokio::time::sleep(pause).await;
                send(front, path, format!("early-{round}-{at}")).await
            }
        });
        let early = futures::future::join_all(early.collect::<Vec<_>>());
        let moving = async {
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..120))).await;
            move_routes(&fleet, after).await;
            until_in_force(&fleet, after).await;
            let late = (0..BURST).map(|at| send(front, "/once/", format!("late-{round}-{at}")));
            futures::future::join_all(late).await
        };
        let (early, late) = tokio::join!(early, moving);
        for (id, answer) in early.iter().chain(&late) {
            let runs = runs_at("model", id) + runs_at("other", id);
            assert!(runs <= 1, "{id} ran {runs} times");
            if answer.status == StatusCode::SERVICE_UNAVAILABLE {
                assert_eq!(runs, 0, "{id} was refused as not run");
                assert!(answer.headers.contains_key("retry-after"), "{id}");
            } else {
                assert_eq!(answer.status, StatusCode::OK, "{id}");
                assert_eq!(runs, 1, "{id}");
            }
        }
        for (id, _) in &late {
            assert_eq!(
                runs_at(service_of(before), id),
                0,
                "{id} ran at the old service"
            );
        }
    }
    fleet.cancel.cancel();
}
