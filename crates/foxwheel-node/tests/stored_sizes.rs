//! Tests that what is stored of a job fits into the objects of the store, whatever its content.

mod common;

use std::time::Duration;

use common::{call, item_ids, result_ids, submit_job, wait_for_results, Fleet, FleetPlan};
use foxwheel_node::settings::Role;
use foxwheel_server_emu::faults::Fault;
use foxwheel_server_emu::server::{event_data, ServerConfig};
use foxwheel_store::api::Faults;
use hyper::{Method, StatusCode};
use serde_json::json;

/// Doubles its length as JSON.
const QUOTES: &str = "\"\"\"\"\"\"\"\"\"\"";

/// Returns servers whose events are followed by `suffix`.
fn servers_with_suffix(count: usize, suffix: &str) -> Vec<ServerConfig> {
    let shapes = common::server_shapes(count).into_iter();
    shapes
        .map(|shape| ServerConfig {
            event_suffix: suffix.to_owned(),
            step_time: Duration::from_millis(20),
            ..shape
        })
        .collect()
}

fn full_output(item: &str, suffix: &str) -> String {
    let events = (1..=5).map(|event| format!("{}{suffix}", event_data(item, event)));
    events.collect::<Vec<_>>().join("\n")
}

/// Guards against results that are never listed: their part fitted as text and was refused as JSON,
/// again and again.
#[actix_web::test]
async fn results_that_grow_when_they_are_encoded_are_listed() {
    let suffix = QUOTES.repeat(500);
    let fleet = Fleet::start(FleetPlan {
        servers: servers_with_suffix(8, &suffix),
        ..FleetPlan::default()
    })
    .await;
    let accepted = submit_job(fleet.fronts[0], "job", 60).await;
    assert_eq!(accepted.expect("a response").status, StatusCode::ACCEPTED);
    let results = wait_for_results(fleet.fronts[0], "job", 60).await;
    assert_eq!(result_ids(&results), item_ids("job", 60));
    for result in &results {
        let id = result["id"].as_str().expect("an id");
        assert_eq!(result["output"], full_output(id, &suffix), "{id}");
    }
    fleet.cancel.cancel();
}

/// Returns a job with one item whose body has `body_bytes` bytes, as it is submitted.
fn job_with_large_item(body_bytes: usize) -> (Vec<u8>, String) {
    use base64::Engine;
    let body: Vec<u8> = (0..body_bytes).map(|at| at as u8).collect();
    let encoded = base64::engine::general_purpose::STANDARD.encode(&body);
    let item = json!({ "id": "large-item-0", "path": "/p", "body": encoded, "tokens": 1 });
    (body, json!({ "items": [item] }).to_string())
}

/// Guards against a refusal with 413 of an item that the configuration's limits allow.
#[actix_web::test]
async fn an_item_larger_than_one_object_is_accepted_and_readable() {
    let suffix = "-".repeat(10);
    let mut fleet = Fleet::start(FleetPlan {
        servers: servers_with_suffix(1, &suffix),
        ..FleetPlan::default()
    })
    .await;
    let front = fleet.fronts[0];
    let (body, job) = job_with_large_item(1_500_000);
    // The item waits, so that its body can be read.
    let script = &fleet.servers[0].fault_script;
    script.set_fallback(Some(Fault::Reject));
    let accepted = call(front, Method::POST, "/batch/x", "large", &[], &job).await;
    assert_eq!(accepted.expect("a response").status, StatusCode::ACCEPTED);
    fleet.processes[1].kill();
    fleet.add_process(Role::Worker).await;
    let path = "/api/items/large?id=large-item-0";
    let read = call(front, Method::GET, path, "body", &[], "").await;
    assert_eq!(read.expect("a response").body.as_ref(), body);
    fleet.servers[0].fault_script.set_fallback(None);
    let results = wait_for_results(front, "large", 1).await;
    assert_eq!(results[0]["output"], full_output("large-item-0", &suffix));
    fleet.cancel.cancel();
}

/// Guards against a result that is never listed because it is too large for one object on its own.
#[actix_web::test]
async fn a_result_larger_than_one_object_is_listed_whole() {
    let suffix = QUOTES.repeat(20_000);
    let mut fleet = Fleet::start(FleetPlan {
        servers: servers_with_suffix(2, &suffix),
        ..FleetPlan::default()
    })
    .await;
    submit_job(fleet.fronts[0], "job", 3)
        .await
        .expect("a response");
    let listed = wait_for_results(fleet.fronts[0], "job", 3).await;
    assert_eq!(result_ids(&listed), item_ids("job", 3));
    for result in &listed {
        let id = result["id"].as_str().expect("an id");
        assert!(result["output"] == full_output(id, &suffix), "{id}");
    }
    // A worker that has the results only from the store returns the same.
    fleet.restart(1).await;
    let read_again = wait_for_results(fleet.fronts[0], "job", 3).await;
    assert!(read_again == listed);
    fleet.cancel.cancel();
}

/// Guards against a refused write that is repeated as it is: the store counts sizes in its own way,
/// or its limit is lower than the settings say.
#[actix_web::test]
async fn a_value_that_the_store_refuses_is_written_in_smaller_objects() {
    let suffix = QUOTES.repeat(200);
    let fleet = Fleet::start(FleetPlan {
        servers: servers_with_suffix(4, &suffix),
        ..FleetPlan::default()
    })
    .await;
    fleet
        .set_store_faults(Faults {
            max_value_bytes: 60_000,
            ..Faults::default()
        })
        .await;
    let (_, large_job) = job_with_large_item(100_000);
    let front = fleet.fronts[0];
    let accepted = call(front, Method::POST, "/batch/x", "large", &[], &large_job).await;
    assert_eq!(accepted.expect("a response").status, StatusCode::ACCEPTED);
    submit_job(front, "job", 20).await.expect("a response");
    for (job, count) in [("large", 1), ("job", 20)] {
        let results = wait_for_results(front, job, count).await;
        assert_eq!(result_ids(&results), item_ids(job, count));
    }
    fleet.cancel.cancel();
}
