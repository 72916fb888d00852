//! All processes are killed at the same moment and start again together: what was accepted
//! is kept, and their return does not overrun the store.

mod common;

use std::time::{Duration, Instant};

use common::{call, submit, wait_for_results, Fleet, FleetPlan};
use foxwheel_store::api::{CallCounts, Faults, Refusal};
use hyper::{Method, StatusCode};
use serde_json::json;

const ITEMS: usize = 12;

/// Calls of one process at its start: its entry, three lists, two watches and for a worker
/// the ledger, the jobs it takes over and their parts, with as many again for repeats.
const CALLS_AT_START: u64 = 30;

/// Calls a second of one process beside its jobs: a worker reads the ledger every 2 s, and a
/// watch that brought changes is renewed.
const CALLS_PER_S: u64 = 4;

async fn counts(fleet: &Fleet) -> CallCounts {
    fleet.store.stats().await.expect("counts")
}

fn calls(counts: &CallCounts) -> u64 {
    counts.reads + counts.writes + counts.watches
}

async fn start() -> Fleet {
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

/// Every front serves with the last configuration, none with an older one.
async fn until_all_serve_the_last_configuration(fleet: &Fleet) {
    for front in &fleet.fronts {
        for attempt in 0..1_000 {
            let id = format!("after-{front}-{attempt}");
            let reply = call(*front, Method::GET, "/moved/a", &id, &[], "").await;
            if reply.is_ok_and(|reply| reply.status == StatusCode::OK) {
                break;
            }
            assert!(attempt < 999, "{front} never served");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let old = call(*front, Method::GET, "/plain/a", "old", &[], "").await;
        let status = old.expect("an answer").status;
        assert_eq!(status, StatusCode::NOT_FOUND, "an older configuration");
    }
}

async fn assert_job_is_whole(fleet: &Fleet, job: &str) {
    let results = wait_for_results(fleet.fronts[5], job, ITEMS).await;
    assert_eq!(common::result_ids(&results), common::item_ids(job, ITEMS));
}

#[actix_web::test]
async fn what_was_accepted_outlives_every_process_and_the_store_is_not_overrun() {
    let mut fleet = start().await;
    for (at, job) in ["job-a", "job-b"].iter().enumerate() {
        let accepted = submit(fleet.fronts[at], job, ITEMS).await.expect("answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
    }
    let before = calls(&counts(&fleet).await);
    let restarted_at = Instant::now();
    fleet.restart_all_processes().await;
    until_all_serve_the_last_configuration(&fleet).await;
    let processes = fleet.processes.len() as u64;
    let made = calls(&counts(&fleet).await) - before;
    let allowed = processes * (CALLS_AT_START + CALLS_PER_S * restarted_at.elapsed().as_secs());
    assert!(made <= allowed, "{made} calls of {processes} processes");
    for job in ["job-a", "job-b"] {
        assert_job_is_whole(&fleet, job).await;
    }
    fleet.cancel.cancel();
}

/// The same while the store turns every call away: tries are spread and grow rarer.
#[actix_web::test]
async fn a_herd_that_starts_while_the_store_is_down_asks_ever_more_rarely() {
    let mut fleet = start().await;
    let accepted = submit(fleet.fronts[0], "job-c", ITEMS)
        .await
        .expect("answer");
    assert_eq!(accepted.status, StatusCode::ACCEPTED);
    let outage = Faults {
        outage: true,
        refusal: Refusal::Busy,
        ..Faults::default()
    };
    fleet.set_store_faults(outage).await;
    let before = counts(&fleet).await.refused;
    let restarted_at = Instant::now();
    fleet.restart_all_processes().await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.set_store_faults(Faults::default()).await;
    let outage_s = restarted_at.elapsed().as_secs() + 1;
    let refused = counts(&fleet).await.refused - before;
    let processes = fleet.processes.len() as u64;
    let allowed = processes * (CALLS_AT_START + FOLLOWERS * TRIES_PER_S * outage_s);
    assert!(
        refused <= allowed,
        "{refused} calls refused in {outage_s} s"
    );
    until_all_serve_the_last_configuration(&fleet).await;
    assert_job_is_whole(&fleet, "job-c").await;
    fleet.cancel.cancel();
}

/// What a process asks the store for independently: configuration, servers, processes, its
/// own entry, the ledger.
const FOLLOWERS: u64 = 5;

/// Tries a second of each at the longest pause (0.5 s, less half of it by jitter).
const TRIES_PER_S: u64 = 4;
