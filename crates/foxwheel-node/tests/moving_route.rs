//! A new configuration moves a route to another service while requests wait for slots. Guards
//! against requests that then run twice, or at a service that is no longer configured for them.

mod common;

use std::time::Duration;

use common::{call, Fleet, FleetPlan, ReceivedResponse};
use foxwheel_server_emu::server::{self, Server, ServerConfig};
use hyper::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

/// Number of concurrent requests: more than the front sends to one server at the same time (12 to a
/// server with 8 slots), so that some of them wait.
const CONCURRENT_REQUESTS: usize = 30;

const ROUNDS: u64 = 6;

/// Returns the service of every route in the given version of the configuration.
fn service_in_version(version: u64) -> &'static str {
    match version % 2 {
        0 => "other",
        _ => "model",
    }
}

async fn add_other_server(fleet: &Fleet, shape: ServerConfig) -> Server {
    let id = shape.id.clone();
    let ip = std::net::Ipv4Addr::LOCALHOST.into();
    let started = server::start(ip, shape, fleet.cancel.clone()).await;
    let server = started.expect("server starts");
    fleet
        .register_server_of_service("other", &id, server.addr, "ready")
        .await;
    server
}

/// Writes configuration `version`: every route uses the service of this version, and an added
/// marker route shows whether the version is in force.
async fn move_routes(fleet: &Fleet, version: u64) {
    fleet
        .configure(version, |config| {
            let routes = config["routes"].as_array_mut().expect("routes");
            for route in routes.iter_mut() {
                route["service"] = json!(service_in_version(version));
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

async fn wait_until_in_force(fleet: &Fleet, version: u64) {
    let path = format!("/version-{version}/probe");
    for attempt in 0..1_000 {
        let id = format!("probe-{version}-{attempt}");
        let response = call(fleet.fronts[0], Method::GET, &path, &id, &[], "").await;
        if response.is_ok_and(|response| response.status != StatusCode::NOT_FOUND) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("version {version} never came into force");
}

async fn send_request(
    front: std::net::SocketAddr,
    path: &str,
    id: String,
) -> (String, ReceivedResponse) {
    let path = format!("{path}{id}");
    let response = call(front, Method::POST, &path, &id, &[], "timber").await;
    (id, response.expect("a response"))
}

/// Each request runs at one service only: that of a configuration version that was in force at or
/// after its arrival. A request sent after a version came into force never runs at the service of
/// an older version. A request that may run once runs at most once, and one that is refused as not
/// run has not run.
#[actix_web::test]
async fn waiting_requests_run_at_most_once_while_their_route_moves() {
    let slow_shape = |id: &str| ServerConfig {
        id: id.to_owned(),
        events_per_stream: 0,
        step_time: Duration::from_millis(60),
        ..ServerConfig::default()
    };
    let fleet = Fleet::start(FleetPlan {
        servers: vec![slow_shape("server-0")],
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    let other = add_other_server(&fleet, slow_shape("other-0")).await;
    let runs_at = |service: &str, id: &str| match service {
        "other" => other.run_log.runs_of(id).len(),
        _ => fleet.runs_of_request(id).len(),
    };
    move_routes(&fleet, 3).await;
    wait_until_in_force(&fleet, 3).await;
    for round in 0..ROUNDS {
        let mut rng = StdRng::seed_from_u64(round);
        let (old_version, new_version) = (3 + round, 4 + round);
        let front = fleet.fronts[0];
        let early = (0..CONCURRENT_REQUESTS).map(|index| {
            let path = ["/plain/", "/once/"][index % 2];
            let delay = Duration::from_millis(rng.random_range(0..120));
            async move {
                tokio::time::sleep(delay).await;
                send_request(front, path, format!("early-{round}-{index}")).await
            }
        });
        let early = futures::future::join_all(early.collect::<Vec<_>>());
        let move_and_send = async {
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..120))).await;
            move_routes(&fleet, new_version).await;
            wait_until_in_force(&fleet, new_version).await;
            let late = (0..CONCURRENT_REQUESTS)
                .map(|index| send_request(front, "/once/", format!("late-{round}-{index}")));
            futures::future::join_all(late).await
        };
        let (early, late) = tokio::join!(early, move_and_send);
        for (id, response) in early.iter().chain(&late) {
            let runs = runs_at("model", id) + runs_at("other", id);
            assert!(runs <= 1, "{id} ran {runs} times");
            if response.status == StatusCode::SERVICE_UNAVAILABLE {
                assert_eq!(runs, 0, "{id} was refused as not run");
                assert!(response.headers.contains_key("retry-after"), "{id}");
            } else {
                assert_eq!(response.status, StatusCode::OK, "{id}");
                assert_eq!(runs, 1, "{id}");
            }
        }
        for (id, _) in &late {
            assert_eq!(
                runs_at(service_in_version(old_version), id),
                0,
                "{id} ran at the old service"
            );
        }
    }
    fleet.cancel.cancel();
}
