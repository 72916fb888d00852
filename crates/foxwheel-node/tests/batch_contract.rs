//! Tests all requests on batch jobs, and that each result of an accepted job is listed exactly
//! once despite faults of the store, the backend servers and the workers.

mod common;

use std::time::{Duration, Instant};

use common::{
    call, item_ids, read_results, result_ids, submit_job, wait_for_results, Fleet, FleetPlan,
};
use foxwheel_node::settings::Role;
use foxwheel_server_emu::faults::Fault;
use foxwheel_server_emu::server::{event_data, ServerConfig};
use foxwheel_store::api::{Faults, Refusal};
use hyper::{Method, StatusCode};
use serde_json::{json, Value};

async fn end_job(fleet: &Fleet, job: &str) -> StatusCode {
    let path = format!("/api/lots/{job}");
    let response = call(fleet.fronts[0], Method::DELETE, &path, "end", &[], "").await;
    response.expect("a response").status
}

fn full_output(item: &str) -> String {
    let events: Vec<String> = (1..=5).map(|event| event_data(item, event)).collect();
    events.join("\n")
}

fn assert_all_completed(results: &[Value], job: &str, count: usize) {
    assert_eq!(result_ids(results), item_ids(job, count), "each item once");
    for result in results {
        let id = result["id"].as_str().expect("an id");
        assert_eq!(result["state"], "completed", "{id}");
        assert_eq!(result["output"], full_output(id), "{id}");
    }
}

/// Returns the shapes of servers that are so slow that a job is still running when the test
/// acts.
fn slow_shapes(count: usize) -> Vec<ServerConfig> {
    let shapes = common::server_shapes(count).into_iter();
    let step = Duration::from_millis(120);
    shapes
        .map(|shape| ServerConfig {
            step_time: step,
            ..shape
        })
        .collect()
}

#[actix_web::test]
async fn a_job_is_submitted_repeated_read_and_ended() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    let front = fleet.fronts[0];
    for _ in 0..2 {
        let response = submit_job(front, "job", 7).await.expect("a response");
        assert_eq!(response.status, StatusCode::ACCEPTED);
    }
    let results = wait_for_results(front, "job", 7).await;
    assert_all_completed(&results, "job", 7);
    let rest = read_results(front, "job", 3).await.expect("readable");
    assert_eq!(rest["total"], 7);
    assert_eq!(rest["next_token"], 7);
    assert_eq!(rest["results"].as_array().expect("a list"), &results[3..]);
    let path = "/api/items/job?id=job-item-2";
    let response = call(front, Method::GET, path, "body", &[], "")
        .await
        .expect("a response");
    assert_eq!(
        response.body.as_ref(),
        [0xab, 0xcd, 0xef, 0x12, 0x34, 0x56, 0x78, 0x90]
    );
    let path = "/api/items/job?id=none";
    let response = call(front, Method::GET, path, "body", &[], "")
        .await
        .expect("a response");
    assert_eq!(response.status, StatusCode::NOT_FOUND);
    for _ in 0..2 {
        assert_eq!(end_job(&fleet, "job").await, StatusCode::OK);
    }
    assert_eq!(end_job(&fleet, "unknown").await, StatusCode::NOT_FOUND);
    let repeat = submit_job(front, "job", 7).await.expect("a response");
    assert_eq!(repeat.status, StatusCode::ACCEPTED);
    let runs = fleet
        .servers
        .iter()
        .map(|server| server.run_log.all_runs().len())
        .sum::<usize>();
    assert!(runs <= 7 + 5, "a repeat after the end runs nothing: {runs}");
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn invalid_submissions_are_rejected_with_the_reason() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    let item = |id: &str, body: &str| json!({"id": id, "path": "/p", "body": body, "tokens": 1});
    let cases = [
        ("no JSON", "{".to_owned(), "not valid"),
        ("no items", json!({"items": []}).to_string(), "1 to 200"),
        (
            "body not base64",
            json!({"items": [item("a", "*")]}).to_string(),
            "'a'",
        ),
        (
            "an id twice",
            json!({"items": [item("a", ""), item("a", "")]}).to_string(),
            "'a'",
        ),
    ];
    for (name, body, reason) in cases {
        let response = call(fleet.fronts[0], Method::POST, "/batch/x", "bad", &[], &body).await;
        let response = response.expect("a response");
        assert_eq!(response.status, StatusCode::BAD_REQUEST, "{name}");
        assert!(
            response.text().contains(reason),
            "{name}: {}",
            response.text()
        );
    }
    assert!(fleet.list_stored("foxwheel-jobs/").await.is_empty());
    fleet.cancel.cancel();
}

/// A job that is larger than one value of the store is stored in parts, and so are its results.
#[actix_web::test]
async fn a_job_larger_than_a_store_value_survives_the_death_of_its_worker() {
    let mut fleet = Fleet::start(FleetPlan {
        servers: slow_shapes(4),
        ..FleetPlan::default()
    })
    .await;
    let filler = "A".repeat(40_000);
    let items: Vec<Value> = (0..40)
        .map(|number| {
            json!({
                "id": format!("large-item-{number}"), "path": "/p", "body": filler, "tokens": 1,
            })
        })
        .collect();
    let body = json!({ "items": items }).to_string();
    let response = call(
        fleet.fronts[0],
        Method::POST,
        "/batch/x",
        "large",
        &[],
        &body,
    )
    .await;
    assert_eq!(response.expect("a response").status, StatusCode::ACCEPTED);
    assert!(!fleet.list_stored("foxwheel-job-parts/").await.is_empty());
    fleet.processes[1].kill();
    fleet.add_process(Role::Worker).await;
    let results = wait_for_results(fleet.fronts[0], "large", 40).await;
    assert_eq!(result_ids(&results), item_ids("large", 40));
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn items_that_fail_are_given_up_only_as_their_route_allows() {
    let fleet = Fleet::start(FleetPlan {
        servers: common::server_shapes(1),
        ..FleetPlan::default()
    })
    .await;
    let script = &fleet.servers[0].fault_script;
    let cases = [
        ("impossible", &[Fault::Impossible][..], "dead_letter", 1),
        ("failing", &[Fault::Fail; 3], "dead_letter", 3),
        ("failing twice", &[Fault::Fail; 2], "completed", 3),
        ("rejected", &[Fault::Reject; 3], "completed", 1),
        ("lost", &[Fault::LoseResponse], "completed", 2),
        ("broken", &[Fault::CutAfter(2)], "completed", 2),
        ("broken within", &[Fault::CutWithin(2)], "completed", 2),
    ];
    for (index, (name, faults, state, runs)) in cases.iter().enumerate() {
        let job = format!("job-{index}");
        script.extend(faults.iter().copied());
        submit_job(fleet.fronts[0], &job, 1)
            .await
            .expect("a response");
        let results = wait_for_results(fleet.fronts[0], &job, 1).await;
        assert_eq!(results[0]["state"], *state, "{name}");
        let item = format!("{job}-item-0");
        assert_eq!(fleet.runs_of_request(&item).len(), *runs, "{name}");
        if *state == "completed" {
            assert_eq!(results[0]["output"], full_output(&item), "{name}");
        }
    }
    let resumed = fleet.runs_of_request("job-5-item-0");
    assert_eq!(
        resumed[1].resumed_after,
        Some(2),
        "the run resumes after the last complete event"
    );
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn the_quota_is_enforced_across_fronts() {
    let fleet = Fleet::start(FleetPlan {
        servers: slow_shapes(1),
        fronts: 3,
        ..FleetPlan::default()
    })
    .await;
    let cap = 1_000;
    fleet
        .configure(2, |config| config["routes"][4]["cap"] = cap.into())
        .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    // Submits jobs of 200 tokens each to three fronts concurrently.
    let submissions = (0..12).map(|number| {
        let front = fleet.fronts[number % 3];
        async move {
            submit_job(front, &format!("job-{number}"), 2)
                .await
                .expect("a response")
                .status
        }
    });
    let statuses = futures::future::join_all(submissions).await;
    let count = |status| statuses.iter().filter(|s| **s == status).count();
    assert_eq!(count(StatusCode::ACCEPTED), 5, "{statuses:?}");
    assert_eq!(count(StatusCode::TOO_MANY_REQUESTS), 7, "{statuses:?}");
    fleet.cancel.cancel();
}

/// The end of a job is acknowledged only once it is recorded, and the items of the job stop.
#[actix_web::test]
async fn an_ended_job_stops_and_stays_readable() {
    let fleet = Fleet::start(FleetPlan {
        servers: slow_shapes(1),
        ..FleetPlan::default()
    })
    .await;
    submit_job(fleet.fronts[0], "job", 30)
        .await
        .expect("a response");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(end_job(&fleet, "job").await, StatusCode::OK);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let runs = fleet.servers[0].run_log.all_runs().len();
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(
        fleet.servers[0].run_log.all_runs().len(),
        runs,
        "nothing starts after the end"
    );
    assert!(read_results(fleet.fronts[0], "job", 0).await.is_some());
    fleet.cancel.cancel();
}

/// The store loses responses (and performs the writes immediately or late), is slow, or is
/// unavailable for a while. Accepted jobs are completed, with each result listed once.
#[actix_web::test]
async fn accepted_jobs_survive_store_faults() {
    let lost_responses = |late_ms| Faults {
        lose_reply_every: 2,
        late_ms,
        ..Faults::default()
    };
    let outage = |refusal| Faults {
        outage: true,
        refusal,
        ..Faults::default()
    };
    let slow = Faults {
        delay_ms: 240,
        ..Faults::default()
    };
    let cases = [
        ("responses lost", lost_responses(0)),
        ("responses lost, writes late", lost_responses(400)),
        ("slow", slow),
        ("busy", outage(Refusal::Busy)),
        ("rate limited", outage(Refusal::RateLimited)),
        ("connections reset", outage(Refusal::Reset)),
        ("silent", outage(Refusal::Silent)),
    ];
    let fleet = Fleet::start(FleetPlan {
        workers: 2,
        ..FleetPlan::default()
    })
    .await;
    for (index, (name, faults)) in cases.into_iter().enumerate() {
        let (before, during) = (format!("before-{index}"), format!("during-{index}"));
        let accepted = submit_job(fleet.fronts[0], &before, 4)
            .await
            .expect("a response");
        assert_eq!(accepted.status, StatusCode::ACCEPTED, "{name}");
        fleet.set_store_faults(faults).await;
        let submitted = submit_job(fleet.fronts[0], &during, 4)
            .await
            .expect("a response");
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.set_store_faults(Faults::default()).await;
        if submitted.status != StatusCode::ACCEPTED {
            let repeated = submit_job(fleet.fronts[0], &during, 4)
                .await
                .expect("a response");
            assert_eq!(
                repeated.status,
                StatusCode::ACCEPTED,
                "{name}: after the fault"
            );
        }
        for job in [before, during] {
            let results = wait_for_results(fleet.fronts[0], &job, 4).await;
            assert_all_completed(&results, &job, 4);
        }
    }
    fleet.cancel.cancel();
}

/// Guards against 404 for an accepted job: the configuration has no route of its host any more.
#[actix_web::test]
async fn a_job_stays_readable_without_a_route_of_its_host() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    let front = fleet.fronts[0];
    submit_job(front, "job", 3).await.expect("a response");
    let results = wait_for_results(front, "job", 3).await;
    let move_host = |config: &mut Value| {
        for route in config["routes"].as_array_mut().expect("routes") {
            route["host"] = json!("other.example");
        }
    };
    fleet.configure(2, move_host).await;
    common::wait_for_status(front, "/plain/a", StatusCode::NOT_FOUND).await;
    let read = read_results(front, "job", 0).await.expect("readable");
    assert_eq!(read["results"], json!(results));
    assert_eq!(end_job(&fleet, "job").await, StatusCode::OK);
    assert_eq!(end_job(&fleet, "unknown").await, StatusCode::NOT_FOUND);
    fleet.cancel.cancel();
}

/// A worker dies while items are running and results are not stored yet. Another worker takes
/// its jobs over.
#[actix_web::test]
async fn another_worker_finishes_the_jobs_of_a_dead_worker() {
    let fleet = Fleet::start(FleetPlan {
        servers: slow_shapes(2),
        workers: 2,
        ..FleetPlan::default()
    })
    .await;
    let jobs = ["a", "b", "c", "d"];
    for job in jobs {
        submit_job(fleet.fronts[0], job, 6)
            .await
            .expect("a response");
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    fleet.processes[1].kill();
    for job in jobs {
        let results = wait_for_results(fleet.fronts[0], job, 6).await;
        assert_all_completed(&results, job, 6);
    }
    fleet.cancel.cancel();
}

/// A worker that is told to stop releases its jobs and ends in time, and each result is listed
/// once.
#[actix_web::test]
async fn a_stopping_worker_releases_its_jobs() {
    let fleet = Fleet::start(FleetPlan {
        servers: slow_shapes(2),
        workers: 2,
        ..FleetPlan::default()
    })
    .await;
    for job in ["a", "b"] {
        submit_job(fleet.fronts[0], job, 20)
            .await
            .expect("a response");
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let stopped_at = Instant::now();
    fleet.processes[1].stop.cancel();
    for job in ["a", "b"] {
        let results = wait_for_results(fleet.fronts[0], job, 20).await;
        assert_all_completed(&results, job, 20);
    }
    while !fleet.processes[1].has_ended() {
        assert!(
            stopped_at.elapsed() < Duration::from_secs(60),
            "the worker does not end"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fleet.cancel.cancel();
}

/// The operator asks to retire a host. The host reports the retirement as completed only when
/// it owns no job, so that it can be killed then without losing work.
#[actix_web::test]
async fn a_host_reports_its_retirement_only_after_releasing_its_jobs() {
    let fleet = Fleet::start(FleetPlan {
        servers: slow_shapes(1),
        workers: 2,
        ..FleetPlan::default()
    })
    .await;
    submit_job(fleet.fronts[0], "a", 12)
        .await
        .expect("a response");
    let host = fleet.processes[1].settings.host.clone();
    let key = format!("retirements/{host}");
    let requested = fleet
        .store
        .put(&key, &json!({"deadline_s": 10}), Some(0))
        .await;
    requested.expect("the request is written");
    let store = foxwheel_platform::store::Store::new(fleet.processes[1].settings.store_address);
    let mut states: Vec<Value> = Vec::new();
    while states.last() != Some(&json!("completed")) {
        let object = store
            .get("retirements", &host)
            .await
            .expect("readable")
            .expect("the request exists");
        let state = object.status["state"].clone();
        if states.last() != Some(&state) {
            states.push(state);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    fleet.processes[1].kill();
    let results = wait_for_results(fleet.fronts[0], "a", 12).await;
    assert_all_completed(&results, "a", 12);
    fleet.cancel.cancel();
}

/// Without a live worker jobs are still accepted, and their results and item bodies are readable.
#[actix_web::test]
async fn a_front_without_workers_serves_jobs_from_the_store() {
    let mut fleet = Fleet::start(FleetPlan {
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    let front = fleet.fronts[0];
    let accepted = submit_job(front, "job", 3).await.expect("a response");
    assert_eq!(accepted.status, StatusCode::ACCEPTED);
    let read = read_results(front, "job", 0).await.expect("readable");
    assert_eq!(read["total"], 3);
    assert_eq!(read["results"], json!([]));
    let body = call(
        front,
        Method::GET,
        "/api/items/job?id=job-item-1",
        "b",
        &[],
        "",
    )
    .await;
    assert_eq!(body.expect("a response").status, StatusCode::OK);
    fleet.add_process(Role::Worker).await;
    let results = wait_for_results(front, "job", 3).await;
    assert_all_completed(&results, "job", 3);
    fleet.cancel.cancel();
}

/// The front, the workers or a front and a worker cannot reach the store. Jobs are accepted, run
/// and stored through peers that can.
#[actix_web::test]
async fn a_host_that_cannot_reach_the_store_works_through_peers() {
    let fleet = Fleet::start(FleetPlan {
        fronts: 2,
        workers: 2,
        ..FleetPlan::default()
    })
    .await;
    // Processes 0 and 1 are fronts, processes 2 and 3 are workers.
    for (name, cut) in [("front", &[0][..]), ("workers", &[2, 3]), ("both", &[0, 2])] {
        for index in cut {
            fleet.processes[*index].store_path.reset_connections();
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        let accepted = submit_job(fleet.fronts[0], name, 4)
            .await
            .expect("a response");
        assert_eq!(accepted.status, StatusCode::ACCEPTED, "{name}");
        let results = wait_for_results(fleet.fronts[0], name, 4).await;
        assert_all_completed(&results, name, 4);
        assert_eq!(end_job(&fleet, name).await, StatusCode::OK, "{name}");
        for index in cut {
            fleet.processes[*index].store_path.clear_fault();
        }
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    fleet.cancel.cancel();
}

/// Submits one job at each front and returns the number of store writes this takes in total.
async fn count_writes_of_submissions(fleet: &Fleet, name: &str) -> u64 {
    let before = fleet.store.stats().await.expect("stats").writes;
    for (index, front) in fleet.fronts.iter().enumerate() {
        let job = format!("{name}-{index}");
        let accepted = submit_job(*front, &job, 1).await.expect("a response");
        assert_eq!(accepted.status, StatusCode::ACCEPTED, "{job}");
    }
    fleet.store.stats().await.expect("stats").writes - before
}

/// Each submission writes the job and the ledger once, whichever front receives it: no front's
/// write of the ledger conflicts with another's and has to be repeated.
#[actix_web::test]
async fn submissions_at_several_fronts_take_two_writes_each() {
    let fleet = Fleet::start(FleetPlan {
        fronts: 3,
        ..FleetPlan::default()
    })
    .await;
    // No server runs the items, so that only the submissions cause writes.
    fleet
        .configure(2, |config| config["routes"][4]["service"] = json!("none"))
        .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    // Until all fronts receive the worker's heartbeats, they write the ledger by themselves and
    // their writes conflict, except for the very first ones, so a round takes more writes. Once
    // they all know the worker, no round does.
    let mut rounds_without_conflict = 0;
    for round in 0..200 {
        let writes = count_writes_of_submissions(&fleet, &format!("first-{round}")).await;
        rounds_without_conflict = if writes == 6 {
            rounds_without_conflict + 1
        } else {
            0
        };
        if rounds_without_conflict == 2 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(
        rounds_without_conflict, 2,
        "submissions never took two writes each"
    );
    for round in 0..3 {
        assert_eq!(
            count_writes_of_submissions(&fleet, &format!("job-{round}")).await,
            6
        );
    }
    fleet.cancel.cancel();
}
