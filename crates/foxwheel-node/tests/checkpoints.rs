//! Workers that end in the middle of long items. The items must resume after the last event in
//! their checkpoint, and their results must be complete.

mod common;

use std::time::Duration;

use common::{submit_job, wait_for_results, Fleet, FleetPlan};
use foxwheel_server_emu::runs::Run;
use foxwheel_server_emu::server::{self, ServerConfig};
use serde_json::json;

/// Number of events of an item. With one event per 40 ms, an item runs for 6 s.
const EVENTS_PER_ITEM: u64 = 150;

/// How long items run before their worker dies; two checkpoints are saved in this time.
const RUN_TIME_BEFORE_KILL: Duration = Duration::from_millis(4_500);

/// The lowest event id up to which an item's checkpoint must reach by then.
const MIN_SAVED_EVENT: u64 = 40;

/// Number of servers of the batch items. Batch items leave half of a server's 8 slots free
/// while no worker manages its slots, so at least 3 servers are needed to run the 9 items of a
/// test concurrently.
const SERVER_COUNT: u32 = 3;

/// Starts a fleet in which a separate service, `letters`, runs the batch items.
async fn start_fleet(workers: u32) -> Fleet {
    start_fleet_with_suffix(workers, "").await
}

/// The same with servers that end the data of each event with `suffix`.
async fn start_fleet_with_suffix(workers: u32, suffix: &str) -> Fleet {
    let mut fleet = Fleet::start(FleetPlan {
        workers,
        ..FleetPlan::default()
    })
    .await;
    for number in 0..SERVER_COUNT {
        let shape = ServerConfig {
            id: format!("letters-{number}"),
            events_per_stream: EVENTS_PER_ITEM,
            step_time: Duration::from_millis(40),
            event_suffix: suffix.to_owned(),
            ..ServerConfig::default()
        };
        fleet.add_server_of_service("letters", shape).await;
    }
    let route_to_letters = |config: &mut serde_json::Value| {
        config["routes"][4]["service"] = json!("letters");
    };
    fleet.configure(2, route_to_letters).await;
    // Within this time every process receives the new route.
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet
}

fn full_output(item: &str, suffix: &str) -> String {
    let data = |event| format!("{}{suffix}", server::event_data(item, event));
    let events = (1..=EVENTS_PER_ITEM).map(data);
    events.collect::<Vec<_>>().join("\n")
}

/// Waits for the results of a job. Asserts that they are complete, that all items were
/// interrupted, and that each of them resumed from its checkpoint instead of starting over.
async fn assert_resumed(fleet: &Fleet, job: &str, count: usize) {
    assert_resumed_with_suffix(fleet, job, count, "").await;
}

async fn assert_resumed_with_suffix(fleet: &Fleet, job: &str, count: usize, suffix: &str) {
    let results = wait_for_results(fleet.fronts[0], job, count).await;
    for result in &results {
        let id = result["id"].as_str().expect("an id");
        assert!(result["output"] == full_output(id, suffix), "{id}");
        let runs: Vec<Run> = fleet.runs_of_request(id);
        assert!(runs.len() > 1, "{id} was not interrupted: {runs:?}");
        let from_start = runs.iter().filter(|run| run.resumed_after.is_none());
        assert_eq!(from_start.count(), 1, "{id} started over: {runs:?}");
        let resumed = runs.iter().filter_map(|run| run.resumed_after).max();
        assert!(
            resumed >= Some(MIN_SAVED_EVENT),
            "{id} lost saved events: {runs:?}"
        );
    }
}

#[actix_web::test]
async fn items_of_a_dead_worker_resume_from_their_checkpoints() {
    let fleet = start_fleet(2).await;
    let jobs = ["a", "b", "c"];
    for job in jobs {
        submit_job(fleet.fronts[0], job, 3)
            .await
            .expect("a response");
    }
    tokio::time::sleep(RUN_TIME_BEFORE_KILL).await;
    for worker in [1, 2] {
        fleet.processes[worker].kill();
    }
    let mut fleet = fleet;
    fleet
        .add_process(foxwheel_node::settings::Role::Worker)
        .await;
    for job in jobs {
        assert_resumed(&fleet, job, 3).await;
    }
    fleet.cancel.cancel();
}

/// All processes are killed and restarted together. The first checkpoint of a restarted worker
/// must not replace the checkpoints that its host saved before.
#[actix_web::test]
async fn items_resume_after_all_processes_were_killed() {
    let mut fleet = start_fleet(2).await;
    submit_job(fleet.fronts[0], "a", 6)
        .await
        .expect("a response");
    tokio::time::sleep(RUN_TIME_BEFORE_KILL).await;
    fleet.restart_all_processes().await;
    fleet.wait_until_serving(fleet.fronts[0]).await;
    // Gives the restarted workers new work, so that they save checkpoints immediately.
    submit_job(fleet.fronts[0], "b", 2)
        .await
        .expect("a response");
    assert_resumed(&fleet, "a", 6).await;
    fleet.cancel.cancel();
}

/// A worker that is told to stop saves the progress of its items and hands its jobs over
/// immediately. No item waits for other items to end, and no item starts over.
#[actix_web::test]
async fn items_of_a_leaving_worker_resume_elsewhere_immediately() {
    let fleet = start_fleet(2).await;
    let jobs = ["a", "b", "c"];
    for job in jobs {
        submit_job(fleet.fronts[0], job, 3)
            .await
            .expect("a response");
    }
    // About half of the items' events are still to come.
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    for worker in [1, 2] {
        fleet.processes[worker].stop.cancel();
    }
    let mut fleet = fleet;
    fleet
        .add_process(foxwheel_node::settings::Role::Worker)
        .await;
    while !fleet.processes[1].has_ended() || !fleet.processes[2].has_ended() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for job in jobs {
        for id in common::item_ids(job, 3) {
            let first_run = &fleet.runs_of_request(&id)[0];
            assert_eq!(first_run.completed, Some(false), "{id} was not handed over");
        }
    }
    for job in jobs {
        let results = wait_for_results(fleet.fronts[0], job, 3).await;
        for result in &results {
            let id = result["id"].as_str().expect("an id");
            assert_eq!(result["output"], full_output(id, ""), "{id}");
            let runs = fleet.runs_of_request(id);
            let from_start = runs.iter().filter(|run| run.resumed_after.is_none());
            assert_eq!(from_start.count(), 1, "{id} started over: {runs:?}");
        }
    }
    fleet.cancel.cancel();
}

/// Returns the number of items whose saved progress reaches [`MIN_SAVED_EVENT`].
async fn count_saved_items(fleet: &Fleet) -> usize {
    let checkpoints = fleet.list_stored("foxwheel-checkpoints/").await;
    let jobs = checkpoints
        .iter()
        .flat_map(|saved| saved["jobs"].as_array().expect("a list"));
    let items = jobs.flat_map(|job| job["items"].as_array().expect("a list"));
    let saved = items
        .filter(|item| item["output"]["last_event_id"].as_u64() >= Some(MIN_SAVED_EVENT))
        .map(|item| item["id"].as_str().expect("an id"));
    let mut saved: Vec<&str> = saved.collect();
    saved.sort_unstable();
    saved.dedup();
    saved.len()
}

/// Guards against a job whose items all start over, because its progress does not fit into one object
/// of the store and was left out of the checkpoint.
#[actix_web::test]
async fn items_of_a_job_with_large_output_resume_from_their_checkpoints() {
    let suffix = "\"".repeat(1_500);
    let mut fleet = start_fleet_with_suffix(1, &suffix).await;
    submit_job(fleet.fronts[0], "a", 9)
        .await
        .expect("a response");
    let saving = async {
        while count_saved_items(&fleet).await < 9 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let saved = tokio::time::timeout(common::WAIT_TIMEOUT, saving).await;
    assert!(saved.is_ok(), "the progress was not saved");
    fleet.processes[1].kill();
    fleet
        .add_process(foxwheel_node::settings::Role::Worker)
        .await;
    assert_resumed_with_suffix(&fleet, "a", 9, &suffix).await;
    fleet.cancel.cancel();
}
