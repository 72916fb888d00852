//! The operator adds routes that match the paths of a job: a longer prefix than that of its batch route
//! while it is open, or all paths. The job keeps its route, and its callers reach it.

mod common;

use std::time::Duration;

use common::{call, item_ids, result_ids, wait_for_results, Fleet, FleetPlan};
use foxwheel_server_emu::faults::Fault;
use foxwheel_server_emu::server::ServerConfig;
use foxwheel_soak::front_client;
use foxwheel_soak::store_entries;
use hyper::{Method, StatusCode};
use serde_json::{json, Value};

/// Prefix of the added route. The job is submitted below it, to the route `batch`.
const ADDED_PREFIX: &str = "/batch/night/";

/// So many items that the job is open for longer than a missing route is waited for.
const ITEMS: usize = 32;

/// Starts a fleet whose servers take 1.8 s for an item. The last one is of the service `other`.
async fn start_fleet() -> Fleet {
    let slow = |id: &str| ServerConfig {
        id: id.to_owned(),
        step_time: Duration::from_millis(300),
        ..ServerConfig::default()
    };
    let plan = FleetPlan {
        servers: vec![slow("server-0")],
        ..FleetPlan::default()
    };
    let mut fleet = Fleet::start(plan).await;
    fleet.add_server_of_service("other", slow("other-0")).await;
    fleet
}

async fn submit_job(fleet: &Fleet) {
    let path = format!("{ADDED_PREFIX}job");
    let body = front_client::job_body("job", ITEMS);
    let accepted = call(fleet.fronts[0], Method::POST, &path, "job", &[], &body).await;
    assert_eq!(accepted.expect("a response").status, StatusCode::ACCEPTED);
}

/// Adds a route of this kind for `path_prefix`, for the service `other` and with one attempt.
async fn add_route(fleet: &Fleet, kind: &str, path_prefix: &str) {
    let fields = json!({
        "path_prefix": path_prefix, "service": "other", "max_attempts": 1,
        "completion_target_ms": 18_000, "retention_s": 60, "cap": 0,
    });
    let added = store_entries::route("added", kind, fields);
    let add = |config: &mut Value| {
        config["routes"].as_array_mut().expect("routes").push(added);
        config["services"]
            .as_array_mut()
            .expect("services")
            .push(json!(
                {"name": "other", "health_path": "/healthz", "max_conns": 100}
            ));
    };
    fleet.configure(2, add).await;
}

/// Checks that each item completed, and that none ran at the service of the added route.
async fn check_all_completed(fleet: &Fleet) {
    let results = wait_for_results(fleet.fronts[0], "job", ITEMS).await;
    assert_eq!(result_ids(&results), item_ids("job", ITEMS));
    let given_up = results.iter().filter(|it| it["state"] != "completed");
    assert_eq!(given_up.count(), 0, "items were given up");
    assert_eq!(fleet.servers[1].run_log.all_runs().len(), 0);
}

#[actix_web::test]
async fn items_are_given_up_when_an_online_route_is_added_for_their_path() {
    let fleet = start_fleet().await;
    submit_job(&fleet).await;
    add_route(&fleet, "idempotent", ADDED_PREFIX).await;
    check_all_completed(&fleet).await;
}

/// They ran at the service of the added route, and were given up after one failure, as it says.
#[actix_web::test]
async fn items_run_on_a_batch_route_that_is_added_for_their_path() {
    let fleet = start_fleet().await;
    for server in &fleet.servers {
        server.fault_script.extend([Fault::Fail, Fault::Fail]);
    }
    submit_job(&fleet).await;
    add_route(&fleet, "batch", ADDED_PREFIX).await;
    check_all_completed(&fleet).await;
}

/// A server of the added route answered them with another page.
#[actix_web::test]
async fn calls_on_a_job_go_to_a_route_that_is_added_for_all_paths() {
    let fleet = start_fleet().await;
    let front = fleet.fronts[0];
    submit_job(&fleet).await;
    add_route(&fleet, "idempotent", "/").await;
    common::wait_for_status(front, "/other-page", StatusCode::OK).await;
    let pages = fleet.servers[1].run_log.all_runs().len();
    let read = front_client::read_results(front, "job", 0).await;
    assert_eq!(read.expect("a list")["total"], ITEMS);
    let item = front_client::item_id("job", ITEMS - 1);
    let path = format!("/api/items/job?id={item}");
    let body = call(front, Method::GET, &path, "body", &[], "").await;
    let body = body.expect("a response").body;
    assert_eq!(
        body.as_ref(),
        [0xab, 0xcd, 0xef, 0x12, 0x34, 0x56, 0x78, 0x90]
    );
    let ended = call(front, Method::DELETE, "/api/lots/job", "end", &[], "").await;
    let ended = ended.expect("a response");
    assert_eq!(
        (ended.status, ended.text()),
        (StatusCode::OK, String::new())
    );
    let pages_after = fleet.servers[1].run_log.all_runs().len();
    assert_eq!(pages_after, pages, "a call reached the added route");
}
