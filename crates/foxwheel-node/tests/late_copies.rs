//! A server sends a second copy of a response late, where the response to the next request on the
//! connection is expected. It bears the id of a request, and belongs to none of its attempts.

mod common;

use common::{call, item_ids, result_ids, submit_job, wait_for_results, Fleet, FleetPlan};
use foxwheel_server_emu::faults::Fault;
use foxwheel_server_emu::server::{event_data, event_text, plain_body, ServerConfig};
use hyper::{Method, StatusCode};
use serde_json::json;

const OK: StatusCode = StatusCode::OK;
const FAILED: StatusCode = StatusCode::INTERNAL_SERVER_ERROR;
const FULL: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

async fn start_fleet(events_per_stream: u64, workers: u32) -> Fleet {
    let server = ServerConfig {
        events_per_stream,
        ..ServerConfig::default()
    };
    start_fleet_of(server, workers).await
}

/// Starts a fleet with a single server, to which each attempt goes.
async fn start_fleet_of(server: ServerConfig, workers: u32) -> Fleet {
    let plan = FleetPlan {
        servers: vec![server],
        workers,
        ..FleetPlan::default()
    };
    Fleet::start(plan).await
}

/// Sends a request whose first response is repeated. Returns the status and the body that its caller
/// gets, and how often the request ran.
async fn call_repeated(
    fleet: &Fleet,
    path: &str,
    id: &str,
    first: StatusCode,
) -> (StatusCode, String, usize) {
    fleet.servers[0].fault_script.extend([Fault::Repeat(first)]);
    let response = call(fleet.fronts[0], Method::POST, path, id, &[], "timber").await;
    let response = response.expect("a response");
    let runs = fleet.runs_of_request(id).len();
    (response.status, response.text(), runs)
}

/// The request was sent a third time while its second attempt ran.
#[actix_web::test]
async fn request_runs_twice_after_a_copy_of_its_refusal() {
    for status in [FULL, StatusCode::TOO_MANY_REQUESTS] {
        for path in ["/once/a", "/plain/a"] {
            let fleet = start_fleet(0, 0).await;
            let received = call_repeated(&fleet, path, "request", status).await;
            assert_eq!(received, (OK, plain_body("request"), 1), "{path} {status}");
        }
    }
}

/// The stream began twice, and the caller waited for the second run.
#[actix_web::test]
async fn stream_runs_twice_after_a_copy_of_its_refusal() {
    for path in ["/stream/a", "/stream-once/a"] {
        let fleet = start_fleet(5, 0).await;
        let events = (1..=5).map(|event| event_text("request", event));
        let received = call_repeated(&fleet, path, "request", FULL).await;
        assert_eq!(received, (OK, events.collect(), 1), "{path}");
    }
}

/// The caller got the copy of the failure while the second run succeeded.
#[actix_web::test]
async fn caller_gets_the_copy_of_a_failure_instead_of_a_success() {
    let fleet = start_fleet(0, 0).await;
    let received = call_repeated(&fleet, "/plain/a", "request", FAILED).await;
    assert_eq!(received, (OK, plain_body("request"), 2));
}

/// The caller got the copy of a success that it had before, while its request failed.
#[actix_web::test]
async fn caller_that_uses_an_id_again_gets_the_copy_of_an_earlier_response() {
    let fleet = start_fleet(0, 0).await;
    let received = call_repeated(&fleet, "/once/a", "request", OK).await;
    assert_eq!(received, (OK, plain_body("request"), 1));
    fleet.servers[0].fault_script.extend([Fault::Fail]);
    let front = fleet.fronts[0];
    let again = call(front, Method::POST, "/once/a", "request", &[], "timber").await;
    assert_eq!(again.expect("a response").status, FAILED);
}

/// Nothing shows which request the copy belongs to.
#[actix_web::test]
async fn caller_gets_the_copy_of_a_response_without_an_id() {
    let server = ServerConfig {
        events_per_stream: 0,
        echoes_request_id: false,
        ..ServerConfig::default()
    };
    let fleet = start_fleet_of(server, 0).await;
    let received = call_repeated(&fleet, "/once/a", "first", OK).await;
    assert_eq!(received, (OK, plain_body("first"), 1));
    fleet.servers[0].fault_script.extend([Fault::Fail]);
    let second = call(
        fleet.fronts[0],
        Method::POST,
        "/once/a",
        "second",
        &[],
        "timber",
    );
    assert_eq!(second.await.expect("a response").status, FAILED);
}

/// The copy counted as the second of two failures while the second run succeeded.
#[actix_web::test]
async fn item_is_given_up_after_one_failure_and_its_copy() {
    let fleet = start_fleet(5, 1).await;
    let two_attempts = |config: &mut serde_json::Value| {
        config["routes"][4]["max_attempts"] = json!(2);
    };
    fleet.configure(2, two_attempts).await;
    let front = fleet.fronts[0];
    fleet.servers[0]
        .fault_script
        .extend([Fault::Repeat(FAILED)]);
    let accepted = submit_job(front, "job", 1).await.expect("a response");
    assert_eq!(accepted.status, StatusCode::ACCEPTED);
    let results = wait_for_results(front, "job", 1).await;
    assert_eq!(result_ids(&results), item_ids("job", 1));
    let item = common::front_client::item_id("job", 0);
    let events = (1..=5).map(|event| event_data(&item, event));
    let output = events.collect::<Vec<_>>().join("\n");
    assert_eq!(results[0]["state"], "completed");
    assert_eq!(results[0]["output"], output);
    assert_eq!(fleet.runs_of_request(&item).len(), 2);
}
