//! Jobs that their callers end while their submission is on its way.

mod common;

use std::time::{Duration, Instant};

use common::{Fleet, FleetPlan};
use foxwheel_node::job_store::JobStore;
use foxwheel_node::node::Node;
use foxwheel_node::settings::Role;
use foxwheel_policy::batch::item::ItemSpec;
use foxwheel_policy::batch::job::JobSpec;
use foxwheel_soak::front_client;
use foxwheel_soak::store_entries::HOST;
use hyper::StatusCode;
use tokio_util::sync::CancellationToken;

const JOB: &str = "job";

const ITEMS: usize = 4;

/// Stores the items of a job, as a front does that has not admitted it yet.
async fn store_items(fleet: &Fleet) {
    let addr = fleet.store.base_url().trim_start_matches("http://");
    let store_address = addr.parse().expect("an address");
    let settings = common::single_process_settings(Role::Front, store_address);
    let store = JobStore::new(Node::new(settings, CancellationToken::new()));
    let item = |at| ItemSpec {
        id: front_client::item_id(JOB, at),
        path: format!("/batch/{JOB}/{at}"),
        headers: Vec::new(),
        body: Vec::new().into(),
        tokens: 1,
    };
    let job = JobSpec {
        id: JOB.to_owned(),
        host: HOST.to_owned(),
        path: "/batch/submit".to_owned(),
        route: "batch".to_owned(),
        submitted_unix: Duration::from_millis(foxwheel_core::time::unix_ms()),
        items: (0..ITEMS).map(item).collect(),
    };
    let deadline = Instant::now() + common::WAIT_TIMEOUT;
    store.save_job(&job, deadline).await.expect("stored");
}

/// The end was acknowledged because the items were stored. Then the submission was admitted, and the
/// items ran.
#[actix_web::test]
async fn job_that_is_admitted_after_its_end_runs() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    let front = fleet.fronts[0];
    store_items(&fleet).await;
    let ended = front_client::end_job(front, JOB).await;
    assert_eq!(ended.expect("a response").status, StatusCode::OK);
    let submitted = common::submit_job(front, JOB, ITEMS).await;
    assert_eq!(submitted.expect("a response").status, StatusCode::ACCEPTED);
    tokio::time::sleep(Duration::from_secs(3)).await;
    for at in 0..ITEMS {
        let runs = fleet.runs_of_request(&front_client::item_id(JOB, at));
        assert!(runs.is_empty(), "{} runs of item {at}", runs.len());
    }
    let ended = front_client::end_job(front, JOB).await;
    assert_eq!(ended.expect("a response").status, StatusCode::OK, "again");
    fleet.cancel.cancel();
}

/// Guards against an end that makes a job of any id known.
#[actix_web::test]
async fn end_of_a_job_that_nobody_submitted_is_recorded() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    let front = fleet.fronts[0];
    let ended = front_client::end_job(front, JOB).await;
    assert_eq!(ended.expect("a response").status, StatusCode::NOT_FOUND);
    let submitted = common::submit_job(front, JOB, ITEMS).await;
    assert_eq!(submitted.expect("a response").status, StatusCode::ACCEPTED);
    common::wait_for_results(front, JOB, ITEMS).await;
    fleet.cancel.cancel();
}
