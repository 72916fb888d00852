//! Batch jobs: every call, and promises under faults of the store, servers and workers.

mod common;

use std::time::{Duration, Instant};

use common::{
    call, item_ids, read_results, result_ids, submit, wait_for_results, Fleet, FleetPlan,
};
use foxwheel_node::settings::Role;
use foxwheel_server_emu::faults::Fault;
use foxwheel_server_emu::server::{event_data, Shape};
use foxwheel_store::api::{Faults, Refusal};
use hyper::{Method, StatusCode};
use serde_json::{json, Value};

async fn end(fleet: &Fleet, job: &str) -> StatusCode {
    let path = format!("/api/lots/{job}");
    let answer = call(fleet.fronts[0], Method::DELETE, &path, "end", &[], "").await;
    answer.expect("answered").status
}

fn whole_output(item: &str) -> String {
    let events: Vec<String> = (1..=5).map(|event| event_data(item, event)).collect();
    events.join("\n")
}

fn assert_all_completed(results: &[Value], job: &str, count: usize) {
    assert_eq!(result_ids(results), item_ids(job, count), "each item once");
    for result in results {
        let id = result["id"].as_str().expect("an id");
        assert_eq!(result["state"], "completed", "{id}");
        assert_eq!(result["output"], whole_output(id), "{id}");
    }
}

/// Slow enough that a job is still running when the test acts.
fn slow_shapes(count: usize) -> Vec<Shape> {
    let shapes = common::server_shapes(count).into_iter();
    let step = Duration::from_millis(120);
    shapes.map(|shape| Shape { step, ..shape }).collect()
}

#[actix_web::test]
async fn a_job_is_submitted_repeated_read_and_ended() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    let front = fleet.fronts[0];
    for _ in 0..2 {
        let answer = submit(front, "job", 7).await.expect("answered");
        assert_eq!(answer.status, StatusCode::ACCEPTED);
    }
    let results = wait_for_results(front, "job", 7).await;
    assert_all_completed(&results, "job", 7);
    let again = read_results(front, "job", 3).await.expect("readable");
    assert_eq!(again["total"], 7);
    assert_eq!(again["next_token"], 7);
    assert_eq!(again["results"].as_array().expect("a list"), &results[3..]);
    let path = "/api/items/job?id=job-item-2";
    let body = call(front, Method::GET, path, "body", &[], "")
        .await
        .expect("answered");
    assert_eq!(
        body.body.as_ref(),
        [0xab, 0xcd, 0xef, 0x12, 0x34, 0x56, 0x78, 0x90]
    );
    let path = "/api/items/job?id=none";
    let none = call(front, Method::GET, path, "body", &[], "")
        .await
        .expect("answered");
    assert_eq!(none.status, StatusCode::NOT_FOUND);
    for _ in 0..2 {
        assert_eq!(end(&fleet, "job").await, StatusCode::OK);
    }
    assert_eq!(end(&fleet, "unknown").await, StatusCode::NOT_FOUND);
    let repeat = submit(front, "job", 7).await.expect("answered");
    assert_eq!(repeat.status, StatusCode::ACCEPTED);
    let runs = fleet
        .servers
        .iter()
        .map(|server| server.runs.all().len())
        .sum::<usize>();
    assert!(runs <= 7 + 5, "a repeat after the end runs nothing: {runs}");
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn bad_submissions_are_refused_by_name() {
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
    for (name, body, named) in cases {
        let answer = call(fleet.fronts[0], Method::POST, "/batch/x", "bad", &[], &body).await;
        let answer = answer.expect("answered");
        assert_eq!(answer.status, StatusCode::BAD_REQUEST, "{name}");
        assert!(answer.text().contains(named), "{name}: {}", answer.text());
    }
    assert!(fleet.list_stored("foxwheel-jobs/").await.is_empty());
    fleet.cancel.cancel();
}

/// A job larger than one value of the store is kept in parts, also its results.
#[actix_web::test]
async fn a_job_larger_than_a_value_survives_its_worker() {
    let mut fleet = Fleet::start(FleetPlan {
        servers: slow_shapes(4),
        ..FleetPlan::default()
    })
    .await;
    let filler = "A".repeat(40_000);
    let items: Vec<Value> = (0..40)
        .map(|at| {
            json!({
                "id": format!("large-item-{at}"), "path": "/p", "body": filler, "tokens": 1,
            })
        })
        .collect();
    let body = json!({ "items": items }).to_string();
    let answer = call(
        fleet.fronts[0],
        Method::POST,
        "/batch/x",
        "large",
        &[],
        &body,
    )
    .await;
    assert_eq!(answer.expect("answered").status, StatusCode::ACCEPTED);
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
    let script = &fleet.servers[0].script;
    let cases = [
        ("impossible", &[Fault::Impossible][..], "dead_letter", 1),
        ("failing", &[Fault::Fail; 3], "dead_letter", 3),
        ("failing twice", &[Fault::Fail; 2], "completed", 3),
        ("rejected", &[Fault::Reject; 3], "completed", 1),
        ("lost", &[Fault::LoseAnswer], "completed", 2),
        ("broken", &[Fault::BreakAfter(2)], "completed", 2),
        ("broken within", &[Fault::BreakWithin(2)], "completed", 2),
    ];
    for (at, (name, faults, state, runs)) in cases.iter().enumerate() {
        let job = format!("job-{at}");
        script.extend(faults.iter().copied());
        submit(fleet.fronts[0], &job, 1).await.expect("answered");
        let results = wait_for_results(fleet.fronts[0], &job, 1).await;
        assert_eq!(results[0]["state"], *state, "{name}");
        let item = format!("{job}-item-0");
        assert_eq!(fleet.runs_of_request(&item).len(), *runs, "{name}");
        if *state == "completed" {
            assert_eq!(results[0]["output"], whole_output(&item), "{name}");
        }
    }
    let resumed = fleet.runs_of_request("job-5-item-0");
    assert_eq!(
        resumed[1].resumed_after,
        Some(2),
        "goes on behind the last whole event"
    );
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn the_quota_holds_across_fronts() {
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
    // Jobs of 200 tokens each, at three fronts at once.
    let submissions = (0..12).map(|at| {
        let front = fleet.fronts[at % 3];
        async move {
            submit(front, &format!("job-{at}"), 2)
                .await
                .expect("answered")
                .status
        }
    });
    let statuses = futures::future::join_all(submissions).await;
    let count = |status| statuses.iter().filter(|s| **s == status).count();
    assert_eq!(count(StatusCode::ACCEPTED), 5, "{statuses:?}");
    assert_eq!(count(StatusCode::TOO_MANY_REQUESTS), 7, "{statuses:?}");
    fleet.cancel.cancel();
}

/// The end of a job is acknowledged only when it is recorded, and its items stop.
#[actix_web::test]
async fn an_ended_job_stops_and_stays_readable() {
    let fleet = Fleet::start(FleetPlan {
        servers: slow_shapes(1),
        ..FleetPlan::default()
    })
    .await;
    submit(fleet.fronts[0], "job", 30).await.expect("answered");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(end(&fleet, "job").await, StatusCode::OK);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let runs = fleet.servers[0].runs.all().len();
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(
        fleet.servers[0].runs.all().len(),
        runs,
        "nothing starts after the end"
    );
    assert!(read_results(fleet.fronts[0], "job", 0).await.is_some());
    fleet.cancel.cancel();
}

/// Answers of the store are lost, at once or with the write done late; the store is slow,
/// or down for a while. What was accepted is finished once.
#[actix_web::test]
async fn accepted_jobs_survive_the_stores_faults() {
    let lost = |late_ms| Faults {
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
        ("answers lost", lost(0)),
        ("answers lost, done late", lost(400)),
        ("slow", slow),
        ("busy", outage(Refusal::Busy)),
        ("over its rates", outage(Refusal::RateLimited)),
        ("reset", outage(Refusal::Reset)),
        ("silent", outage(Refusal::Silent)),
    ];
    let fleet = Fleet::start(FleetPlan {
        workers: 2,
        ..FleetPlan::default()
    })
    .await;
    for (at, (name, faults)) in cases.into_iter().enumerate() {
        let (before, during) = (format!("before-{at}"), format!("during-{at}"));
        let accepted = submit(fleet.fronts[0], &before, 4).await.expect("answered");
        assert_eq!(accepted.status, StatusCode::ACCEPTED, "{name}");
        fleet.set_store_faults(faults).await;
        let submitted = submit(fleet.fronts[0], &during, 4).await.expect("answered");
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.set_store_faults(Faults::default()).await;
        if submitted.status != StatusCode::ACCEPTED {
            let again = submit(fleet.fronts[0], &during, 4).await.expect("answered");
            assert_eq!(
                again.status,
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

/// A worker dies with items in flight and results unstored; another takes its jobs over.
#[actix_web::test]
async fn a_dead_workers_jobs_are_finished_by_another() {
    let fleet = Fleet::start(FleetPlan {
        servers: slow_shapes(2),
        workers: 2,
        ..FleetPlan::default()
    })
    .await;
    let jobs = ["a", "b", "c", "d"];
    for job in jobs {
        submit(fleet.fronts[0], job, 6).await.expect("answered");
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    fleet.processes[1].kill();
    for job in jobs {
        let results = wait_for_results(fleet.fronts[0], job, 6).await;
        assert_all_completed(&results, job, 6);
    }
    fleet.cancel.cancel();
}

/// A worker that is told to stop gives its jobs back and ends in time; nothing runs twice
/// that was finished.
#[actix_web::test]
async fn a_stopping_worker_gives_its_jobs_back() {
    let fleet = Fleet::start(FleetPlan {
        servers: slow_shapes(2),
        workers: 2,
        ..FleetPlan::default()
    })
    .await;
    for job in ["a", "b"] {
        submit(fleet.fronts[0], job, 20).await.expect("answered");
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let told_at = Instant::now();
    fleet.processes[1].stop.cancel();
    for job in ["a", "b"] {
        let results = wait_for_results(fleet.fronts[0], job, 20).await;
        assert_all_completed(&results, job, 20);
    }
    while !fleet.processes[1].has_ended() {
        assert!(told_at.elapsed() < Duration::from_secs(60), "it never ends");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fleet.cancel.cancel();
}

/// The operator asks to empty a host: it is reported empty only when it holds no job.
#[actix_web::test]
async fn a_retired_host_is_empty_before_it_says_so() {
    let fleet = Fleet::start(FleetPlan {
        servers: slow_shapes(1),
        workers: 2,
        ..FleetPlan::default()
    })
    .await;
    submit(fleet.fronts[0], "a", 12).await.expect("answered");
    let host = fleet.processes[1].settings.host.clone();
    let key = format!("retirements/{host}");
    let asked = fleet
        .store
        .put(&key, &json!({"deadline_s": 10}), Some(0))
        .await;
    asked.expect("asked");
    let store = foxwheel_platform::store::Store::new(fleet.processes[1].settings.store_address);
    let mut states: Vec<Value> = Vec::new();
    while states.last() != Some(&json!("completed")) {
        let object = store
            .get("retirements", &host)
            .await
            .expect("read")
            .expect("there");
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

/// With no worker alive a job is still accepted, readable and its bodies kept.
#[actix_web::test]
async fn a_front_alone_answers_from_the_store() {
    let mut fleet = Fleet::start(FleetPlan {
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    let front = fleet.fronts[0];
    let accepted = submit(front, "job", 3).await.expect("answered");
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
    assert_eq!(body.expect("answered").status, StatusCode::OK);
    fleet.add_process(Role::Worker).await;
    let results = wait_for_results(front, "job", 3).await;
    assert_all_completed(&results, "job", 3);
    fleet.cancel.cancel();
}

/// The store turns the front away, or the worker, or both: a job is accepted in time, run
/// and stored through peers.
#[actix_web::test]
async fn a_host_that_the_store_turns_away_works_through_peers() {
    let fleet = Fleet::start(FleetPlan {
        fronts: 2,
        workers: 2,
        ..FleetPlan::default()
    })
    .await;
    // Processes 0 and 1 are fronts, 2 and 3 workers.
    for (name, cut) in [("front", &[0][..]), ("workers", &[2, 3]), ("both", &[0, 2])] {
        for at in cut {
            fleet.processes[*at].store_path.cut();
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        let accepted = submit(fleet.fronts[0], name, 4).await.expect("answered");
        assert_eq!(accepted.status, StatusCode::ACCEPTED, "{name}");
        let results = wait_for_results(fleet.fronts[0], name, 4).await;
        assert_all_completed(&results, name, 4);
        assert_eq!(end(&fleet, name).await, StatusCode::OK, "{name}");
        for at in cut {
            fleet.processes[*at].store_path.heal();
        }
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    fleet.cancel.cancel();
}

/// The writes that one submission at each front costs together.
async fn round_writes(fleet: &Fleet, name: &str) -> u64 {
    let before = fleet.store.stats().await.expect("stats").writes;
    for (at, front) in fleet.fronts.iter().enumerate() {
        let job = format!("{name}-{at}");
        let accepted = submit(*front, &job, 1).await.expect("answered");
        assert_eq!(accepted.status, StatusCode::ACCEPTED, "{job}");
    }
    fleet.store.stats().await.expect("stats").writes - before
}

/// Each submission is stored and entered in the ledger, whichever front it comes to: no
/// front meets another's change of the ledger and writes again.
#[actix_web::test]
async fn submissions_at_several_fronts_cost_two_writes_each() {
    let fleet = Fleet::start(FleetPlan {
        fronts: 3,
        ..FleetPlan::default()
    })
    .await;
    // No server takes the items, so that nothing but the submissions is written.
    fleet
        .configure(2, |config| config["routes"][4]["service"] = json!("none"))
        .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    // Fronts that do not hear the worker yet meet each other's changes, but for their very
    // first ones: a round costs more. Once all hear it, no round does.
    let mut cheap_rounds = 0;
    for round in 0..200 {
        let writes = round_writes(&fleet, &format!("first-{round}")).await;
        cheap_rounds = if writes == 6 { cheap_rounds + 1 } else { 0 };
        if cheap_rounds == 2 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(cheap_rounds, 2, "submissions never cost two writes each");
    for round in 0..3 {
        assert_eq!(round_writes(&fleet, &format!("job-{round}")).await, 6);
    }
    fleet.cancel.cancel();
}
