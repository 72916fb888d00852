//! Workers that die in the middle of long items: the items go on behind the last event that
//! was saved, and their results are whole.

mod common;

use std::time::Duration;

use common::{submit, wait_for_results, Fleet, FleetPlan};
use foxwheel_server_emu::runs::Run;
use foxwheel_server_emu::server::{self, Shape};
use serde_json::json;

/// Events of an item; at one each 40 ms it runs for 6 s.
const EVENTS: u64 = 150;

/// Time of an item's run after which its worker dies: two checkpoints come in it.
const RUN_FOR: Duration = Duration::from_millis(4_500);

/// The least event that must have been saved by then.
const SAVED: u64 = 40;

/// Servers of the batch items. Batch leaves half of their 8 slots free while no worker keeps
/// them, so that the 9 items of a test all run at once only at 3 of them.
const SERVERS: u32 = 3;

/// A fleet whose batch items run at servers of their own.
async fn start(workers: u32) -> Fleet {
    let mut fleet = Fleet::start(FleetPlan {
        workers,
        ..FleetPlan::default()
    })
    .await;
    for at in 0..SERVERS {
        let shape = Shape {
            id: format!("letters-{at}"),
            events: EVENTS,
            step: Duration::from_millis(40),
            ..Shape::default()
        };
        fleet.add_server_of_service("letters", shape).await;
    }
    let to_letters = |config: &mut serde_json::Value| {
        config["routes"][4]["service"] = json!("letters");
    };
    fleet.configure(2, to_letters).await;
    // Every process knows the new route by then.
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet
}

fn whole_output(item: &str) -> String {
    let events = (1..=EVENTS).map(|event| server::event_data(item, event));
    events.collect::<Vec<_>>().join("\n")
}

/// Waits for the job's results; asserts that they are whole and that no item began anew
/// after its first run.
async fn assert_went_on(fleet: &Fleet, job: &str, count: usize) {
    let results = wait_for_results(fleet.fronts[0], job, count).await;
    for result in &results {
        let id = result["id"].as_str().expect("an id");
        assert_eq!(result["output"], whole_output(id), "{id}");
        let runs: Vec<Run> = fleet.runs_of_request(id);
        assert!(runs.len() > 1, "{id} was not interrupted: {runs:?}");
        let anew = runs.iter().filter(|run| run.resumed_after.is_none());
        assert_eq!(anew.count(), 1, "{id} began anew: {runs:?}");
        let resumed = runs.iter().filter_map(|run| run.resumed_after).max();
        assert!(resumed >= Some(SAVED), "{id} lost what was saved: {runs:?}");
    }
}

#[actix_web::test]
async fn items_of_a_dead_worker_go_on_where_they_stopped() {
    let fleet = start(2).await;
    let jobs = ["a", "b", "c"];
    for job in jobs {
        submit(fleet.fronts[0], job, 3).await.expect("answered");
    }
    tokio::time::sleep(RUN_FOR).await;
    for worker in [1, 2] {
        fleet.processes[worker].kill();
    }
    let mut fleet = fleet;
    fleet
        .add_process(foxwheel_node::settings::Role::Worker)
        .await;
    for job in jobs {
        assert_went_on(&fleet, job, 3).await;
    }
    fleet.cancel.cancel();
}

/// Every process is killed and starts again at once: a worker's first checkpoint must not
/// take the place of what its host saved before.
#[actix_web::test]
async fn items_go_on_after_all_processes_were_killed() {
    let mut fleet = start(2).await;
    submit(fleet.fronts[0], "a", 6).await.expect("answered");
    tokio::time::sleep(RUN_FOR).await;
    fleet.restart_all_processes().await;
    fleet.wait_until_serving(fleet.fronts[0]).await;
    // Work of its own from the first moment on.
    submit(fleet.fronts[0], "b", 2).await.expect("answered");
    assert_went_on(&fleet, "a", 6).await;
    fleet.cancel.cancel();
}

/// A worker that is told to stop saves how far its items got and hands its jobs over at once:
/// none of them waits until others end, and none runs an event again.
#[actix_web::test]
async fn items_of_a_leaving_worker_go_on_elsewhere_at_once() {
    let fleet = start(2).await;
    let jobs = ["a", "b", "c"];
    for job in jobs {
        submit(fleet.fronts[0], job, 3).await.expect("answered");
    }
    // Half of their events are left to run.
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
            let first = &fleet.runs_of_request(&id)[0];
            assert_eq!(first.finished, Some(false), "{id} was not handed over");
        }
    }
    for job in jobs {
        let results = wait_for_results(fleet.fronts[0], job, 3).await;
        for result in &results {
            let id = result["id"].as_str().expect("an id");
            assert_eq!(result["output"], whole_output(id), "{id}");
            let runs = fleet.runs_of_request(id);
            let anew = runs.iter().filter(|run| run.resumed_after.is_none());
            assert_eq!(anew.count(), 1, "{id} began anew: {runs:?}");
        }
    }
    fleet.cancel.cancel();
}
