//! Load pattern: all nine processes are killed at the same moment and restart together. Guards
//! against the loss of accepted jobs, and against a restart that overloads the store: the number
//! of store calls per process is limited.

mod common;

use std::time::{Duration, Instant};

use common::{call, submit_job, wait_for_results, Fleet, FleetPlan};
use foxwheel_store::api::{CallCounts, Faults, Refusal};
use hyper::{Method, StatusCode};
use serde_json::json;

const ITEMS: usize = 12;

/// Maximum number of store calls of one process at its start: its own entry, three lists, two
/// watches, and for a worker the ledger, the jobs that it takes over and their parts; doubled to
/// allow for retries.
const MAX_CALLS_AT_START: u64 = 30;

/// Maximum number of store calls per second of one process, apart from its jobs: a worker reads the
/// ledger every 2 s, and a watch that returned changes is renewed.
const MAX_CALLS_PER_S: u64 = 4;

async fn fetch_call_counts(fleet: &Fleet) -> CallCounts {
    fleet.store.stats().await.expect("counts")
}

fn total_calls(counts: &CallCounts) -> u64 {
    counts.reads + counts.writes + counts.watches
}

async fn start_fleet() -> Fleet {
    let fleet = Fleet::start(FleetPlan {
        servers: common::server_shapes(3),
        fronts: 6,
        workers: 3,
        ..FleetPlan::default()
    })
    .await;
    fleet
        .configure(9, |config| {
            config["routes"][0]["path_prefix"] = json!("/moved/")
        })
        .await;
    fleet
}

/// Waits until every front serves with the last configuration, and asserts that none then serves
/// with an older one.
async fn wait_for_last_configuration(fleet: &Fleet) {
    for front in &fleet.fronts {
        for attempt in 0..1_000 {
            let id = format!("after-{front}-{attempt}");
            let response = call(*front, Method::GET, "/moved/a", &id, &[], "").await;
            if response.is_ok_and(|response| response.status == StatusCode::OK) {
                break;
            }
            assert!(
                attempt < 999,
                "{front} never served with the last configuration"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let old_route_response = call(*front, Method::GET, "/plain/a", "old", &[], "").await;
        let status = old_route_response.expect("a response").status;
        assert_eq!(
            status,
            StatusCode::NOT_FOUND,
            "{front} serves with an older configuration"
        );
    }
}

async fn assert_job_completes(fleet: &Fleet, job: &str) {
    let results = wait_for_results(fleet.fronts[5], job, ITEMS).await;
    assert_eq!(common::result_ids(&results), common::item_ids(job, ITEMS));
}

#[actix_web::test]
async fn accepted_jobs_survive_a_restart_of_all_processes_within_the_call_limit() {
    let mut fleet = start_fleet().await;
    for (index, job) in ["job-a", "job-b"].iter().enumerate() {
        let accepted = submit_job(fleet.fronts[index], job, ITEMS)
            .await
            .expect("a response");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
    }
    let before = total_calls(&fetch_call_counts(&fleet).await);
    let restarted_at = Instant::now();
    fleet.restart_all_processes().await;
    wait_for_last_configuration(&fleet).await;
    let processes = fleet.processes.len() as u64;
    let call_count = total_calls(&fetch_call_counts(&fleet).await) - before;
    let allowed =
        processes * (MAX_CALLS_AT_START + MAX_CALLS_PER_S * restarted_at.elapsed().as_secs());
    assert!(
        call_count <= allowed,
        "{call_count} calls of {processes} processes"
    );
    for job in ["job-a", "job-b"] {
        assert_job_completes(&fleet, job).await;
    }
    fleet.cancel.cancel();
}

/// The same while the store refuses every call: retries are spread by jitter and back off.
#[actix_web::test]
async fn processes_that_restart_during_a_store_outage_back_off() {
    let mut fleet = start_fleet().await;
    let accepted = submit_job(fleet.fronts[0], "job-c", ITEMS)
        .await
        .expect("a response");
    assert_eq!(accepted.status, StatusCode::ACCEPTED);
    let outage = Faults {
        outage: true,
        refusal: Refusal::Busy,
        ..Faults::default()
    };
    fleet.set_store_faults(outage).await;
    let before = fetch_call_counts(&fleet).await.refused;
    let restarted_at = Instant::now();
    fleet.restart_all_processes().await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.set_store_faults(Faults::default()).await;
    let outage_s = restarted_at.elapsed().as_secs() + 1;
    let refused = fetch_call_counts(&fleet).await.refused - before;
    let processes = fleet.processes.len() as u64;
    let allowed = processes * (MAX_CALLS_AT_START + RETRY_LOOPS * MAX_RETRIES_PER_S * outage_s);
    assert!(
        refused <= allowed,
        "{refused} calls refused in {outage_s} s"
    );
    wait_for_last_configuration(&fleet).await;
    assert_job_completes(&fleet, "job-c").await;
    fleet.cancel.cancel();
}

/// Number of independent retry loops of one process: configuration, servers, processes, its own
/// entry and the ledger.
const RETRY_LOOPS: u64 = 5;

/// Maximum number of retries per second of one loop at the longest delay: 0.5 s, of which jitter
/// removes up to half.
const MAX_RETRIES_PER_S: u64 = 4;
