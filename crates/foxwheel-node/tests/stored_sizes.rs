//! Tests that what is stored of a job fits into the objects of the store, whatever its content.

mod common;

use std::time::Duration;

use common::{item_ids, result_ids, submit_job, wait_for_results, Fleet, FleetPlan};
use foxwheel_server_emu::server::{event_data, ServerConfig};
use hyper::StatusCode;

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
