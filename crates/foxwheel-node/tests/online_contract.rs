//! Online requests against scripted backend servers: what callers see, and what ran.

mod common;

use std::time::Duration;

use common::{call, Answer, Fleet, FleetPlan};
use foxwheel_platform::online::{DEADLINE_MS, LAST_EVENT_ID, NOT_EXECUTED, SIGNATURE};
use foxwheel_server_emu::faults::Fault;
use foxwheel_server_emu::server::{event_text, plain_body, Shape};
use hyper::header::RETRY_AFTER;
use hyper::{Method, StatusCode};

fn plain(count: usize) -> FleetPlan {
    let plain = common::server_shapes(count).into_iter();
    FleetPlan {
        servers: plain.map(|shape| Shape { events: 0, ..shape }).collect(),
        workers: 0,
        ..FleetPlan::default()
    }
}

/// The whole text of a stream of five events.
fn whole_stream(id: &str) -> String {
    (1..=5).map(|event| event_text(id, event)).collect()
}

/// What one case expects of the answer and of the servers.
struct Case {
    name: &'static str,
    path: &'static str,
    faults: &'static [Fault],
    status: StatusCode,
    /// Runs on all servers.
    runs: usize,
}

fn check(case: &Case, answer: &Answer, runs: usize) {
    let name = case.name;
    assert_eq!(answer.status, case.status, "{name}");
    assert_eq!(runs, case.runs, "{name}: runs");
    let promise = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    if promise.contains(&answer.status) {
        assert_eq!(runs, 0, "{name}: says that it was not run");
        assert!(answer.headers.contains_key(RETRY_AFTER), "{name}");
    }
    assert!(!answer.headers.contains_key(&NOT_EXECUTED), "{name}");
    let signed = answer.headers.contains_key(&SIGNATURE);
    let of_server =
        answer.status.is_success() || answer.status == StatusCode::INTERNAL_SERVER_ERROR;
    assert_eq!(
        signed, of_server,
        "{name}: only a server's own answer is signed"
    );
}

#[actix_web::test]
async fn plain_requests_under_each_fault() {
    use Fault::{Fail, ForeignId, LoseAnswer, Reject, Truncate, Unsigned};
    let ok = StatusCode::OK;
    let bad_gateway = StatusCode::BAD_GATEWAY;
    let failed = StatusCode::INTERNAL_SERVER_ERROR;
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    let case = |name, path, faults, status, runs| Case {
        name,
        path,
        faults,
        status,
        runs,
    };
    let cases = [
        case("served", "/plain/a", &[][..], ok, 1),
        case("rejected once", "/plain/a", &[Reject], ok, 1),
        case(
            "rejected everywhere",
            "/plain/a",
            &[Reject; 4],
            unavailable,
            0,
        ),
        case("failed once", "/plain/a", &[Fail], ok, 2),
        case(
            "failed as often as allowed",
            "/plain/a",
            &[Fail; 2],
            failed,
            2,
        ),
        case("answer lost", "/plain/a", &[LoseAnswer], ok, 2),
        case("answers lost", "/plain/a", &[LoseAnswer; 2], bad_gateway, 2),
        case("another request's answer", "/plain/a", &[ForeignId], ok, 2),
        case("unsigned answer", "/plain/a", &[Unsigned], ok, 2),
        case("short answer", "/plain/a", &[Truncate], ok, 2),
        case("once: rejected", "/once/a", &[Reject], ok, 1),
        case("once: failed", "/once/a", &[Fail], failed, 1),
        case(
            "once: answer lost",
            "/once/a",
            &[LoseAnswer],
            bad_gateway,
            1,
        ),
        case(
            "once: another request's answer",
            "/once/a",
            &[ForeignId],
            bad_gateway,
            1,
        ),
        case(
            "once: unsigned answer",
            "/once/a",
            &[Unsigned],
            bad_gateway,
            1,
        ),
        case("once: short answer", "/once/a", &[Truncate], bad_gateway, 1),
    ];
    let fleet = Fleet::start(plain(1)).await;
    for (at, case) in cases.iter().enumerate() {
        let id = format!("request-{at}");
        fleet.servers[0].script.extend(case.faults.iter().copied());
        let answer = call(fleet.fronts[0], Method::POST, case.path, &id, &[], "body").await;
        let answer = answer.unwrap_or_else(|e| panic!("{}: {e}", case.name));
        check(case, &answer, fleet.runs_of_request(&id).len());
        if case.status == ok {
            assert_eq!(answer.text(), plain_body(&id), "{}", case.name);
        }
    }
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn requests_reach_the_server_unchanged_with_the_time_that_is_left() {
    let fleet = Fleet::start(plain(1)).await;
    let headers = [("x-deadline-ms", "1500"), ("x-model", "m")];
    let path = "/plain/a/b?c=d%20e&f";
    let answer = call(
        fleet.fronts[0],
        Method::PUT,
        path,
        "r",
        &headers,
        "the body",
    )
    .await;
    assert_eq!(answer.expect("answered").status, StatusCode::OK);
    let runs = fleet.runs_of_request("r");
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].target, format!("PUT {path}"));
    assert_eq!(runs[0].body, b"the body");
    let left = runs[0]
        .deadline_ms
        .unwrap_or_else(|| panic!("no {DEADLINE_MS}"));
    assert!(left > 0 && left <= 1_500, "{left}");
    fleet.cancel.cancel();
}

/// A sliver of time cannot bring an answer back: the request is not sent at all, and its
/// caller learns that it has not run.
#[actix_web::test]
async fn no_attempt_is_made_with_a_sliver_of_time() {
    let fleet = Fleet::start(plain(1)).await;
    for (at, path) in ["/plain/a", "/once/a", "/stream/a"].iter().enumerate() {
        let id = format!("sliver-{at}");
        let headers = [("x-deadline-ms", "8")];
        let answer = call(fleet.fronts[0], Method::POST, path, &id, &headers, "").await;
        let answer = answer.expect("answered");
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
        assert!(answer.headers.contains_key(RETRY_AFTER), "{path}");
        assert!(fleet.runs_of_request(&id).is_empty(), "{path}");
    }
    fleet.cancel.cancel();
}

/// An answer that misses its target but not its caller's time is delivered whole.
#[actix_web::test]
async fn late_answers_are_delivered_whole() {
    let slow = Shape {
        step: Duration::from_millis(450),
        ..Shape::default()
    };
    let plan = FleetPlan {
        servers: vec![slow],
        workers: 0,
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan).await;
    let headers = [("x-deadline-ms", "10000")];
    let front = fleet.fronts[0];
    let answer = call(front, Method::POST, "/stream/a", "late", &headers, "").await;
    let answer = answer.expect("answered");
    assert!(answer.whole, "cut");
    assert_eq!(answer.text(), whole_stream("late"));
    assert_eq!(fleet.runs_of_request("late").len(), 1, "one run is enough");
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn what_no_route_takes_is_answered_at_once() {
    let fleet = Fleet::start(plain(1)).await;
    let front = fleet.fronts[0];
    for (path, status) in [
        ("/nowhere/a", StatusCode::NOT_FOUND),
        ("/plain", StatusCode::NOT_FOUND),
        ("/api/lots/unknown", StatusCode::NOT_FOUND),
    ] {
        let answer = call(front, Method::GET, path, "r", &[], "")
            .await
            .expect("answered");
        assert_eq!(answer.status, status, "{path}");
    }
    let long = "x".repeat(20_000);
    let headers = [("x-long", long.as_str())];
    let answer = call(front, Method::GET, "/plain/a", "r", &headers, "").await;
    let status = answer.expect("answered").status;
    assert_eq!(status, StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn a_resumable_stream_goes_on_at_another_server() {
    use Fault::{BreakAfter, BreakWithin, LoseAnswer, Reject, SilentAfter};
    let cases = [
        ("whole", &[][..], 1),
        ("broken before its head", &[LoseAnswer], 2),
        ("rejected", &[Reject], 1),
        ("broken before the first event", &[BreakAfter(0)], 2),
        ("broken after two events", &[BreakAfter(2)], 2),
        ("broken within an event", &[BreakWithin(2)], 2),
        ("silent after three events", &[SilentAfter(3)], 2),
    ];
    let fleet = Fleet::start(FleetPlan {
        servers: common::server_shapes(1),
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    for (at, (name, faults, runs)) in cases.iter().enumerate() {
        let id = format!("stream-{at}");
        fleet.servers[0].script.extend(faults.iter().copied());
        let answer = call(fleet.fronts[0], Method::POST, "/stream/a", &id, &[], "").await;
        let answer = answer.unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(answer.status, StatusCode::OK, "{name}");
        assert!(answer.whole, "{name}");
        assert_eq!(answer.text(), whole_stream(&id), "{name}");
        assert_eq!(fleet.runs_of_request(&id).len(), *runs, "{name}");
    }
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn a_caller_may_resume_its_stream() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    let name = LAST_EVENT_ID;
    let headers = [(name.as_str(), "3")];
    let answer = call(
        fleet.fronts[0],
        Method::POST,
        "/stream/a",
        "s",
        &headers,
        "",
    )
    .await;
    let rest: String = (4..=5).map(|event| event_text("s", event)).collect();
    assert_eq!(answer.expect("answered").text(), rest);
    assert_eq!(fleet.runs_of_request("s")[0].resumed_after, Some(3));
    fleet.cancel.cancel();
}

/// A stream that may not be resumed runs once; its break must be seen by the caller.
#[actix_web::test]
async fn a_stream_that_runs_once_never_looks_whole_when_it_broke() {
    use Fault::{BreakAfter, BreakWithin, LoseAnswer};
    let fleet = Fleet::start(FleetPlan {
        servers: common::server_shapes(1),
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    for (at, fault) in [BreakAfter(0), BreakAfter(2), BreakWithin(2), LoseAnswer]
        .iter()
        .enumerate()
    {
        let id = format!("once-{at}");
        fleet.servers[0].script.extend([*fault]);
        let answer = call(
            fleet.fronts[0],
            Method::POST,
            "/stream-once/a",
            &id,
            &[],
            "",
        )
        .await;
        let looks_whole = answer.is_ok_and(|answer| answer.status.is_success() && answer.whole);
        assert!(!looks_whole, "{fault:?}");
        assert_eq!(fleet.runs_of_request(&id).len(), 1, "{fault:?}");
    }
    fleet.cancel.cancel();
}

/// A caller that hangs up ends the work for it, before and within the answer.
#[actix_web::test]
async fn work_for_a_caller_that_left_stops() {
    let slow = Shape {
        step: Duration::from_secs(30),
        ..Shape::default()
    };
    let fleet_plan = |shape: Shape| FleetPlan {
        servers: vec![shape],
        workers: 0,
        ..FleetPlan::default()
    };
    // A probe of the fleet's start must be served at once, so the slow server comes later.
    let mut fleet = Fleet::start(fleet_plan(Shape::default())).await;
    fleet
        .register_server("server-0", fleet.servers[0].addr, "draining")
        .await;
    fleet
        .add_server(Shape {
            id: "slow".to_owned(),
            ..slow
        })
        .await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let mut connection = common::connect(fleet.fronts[0]).await.expect("connected");
    let request = common::request(Method::POST, "/stream/a", "left", &[], "");
    let sending = connection.send(request);
    let waited = tokio::time::timeout(Duration::from_millis(300), sending).await;
    assert!(waited.is_err(), "the server is still at work");
    drop(connection);
    for _ in 0..200 {
        let runs = fleet.runs_of_request("left");
        if runs.first().is_some_and(|run| run.finished == Some(false)) {
            fleet.cancel.cancel();
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!(
        "the server still works: {:?}",
        fleet.runs_of_request("left")
    );
}

/// Without a server the answer says at once that nothing ran and when to come back.
#[actix_web::test]
async fn without_a_server_the_refusal_is_immediate() {
    let fleet = Fleet::start(plain(1)).await;
    fleet
        .register_server("server-0", fleet.servers[0].addr, "draining")
        .await;
    let mut refused = 0;
    for attempt in 0..200 {
        let id = format!("none-{attempt}");
        let answer = call(fleet.fronts[0], Method::POST, "/once/a", &id, &[], "").await;
        let answer = answer.expect("answered");
        if answer.status == StatusCode::SERVICE_UNAVAILABLE {
            assert!(answer.headers.contains_key(RETRY_AFTER));
            assert!(fleet.runs_of_request(&id).is_empty());
            refused += 1;
        }
        if refused == 3 {
            fleet.cancel.cancel();
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("a draining server still gets requests");
}

/// One of two servers fails every request although it looks healthy: requests that run once
/// soon go to the other.
#[actix_web::test]
async fn a_server_that_fails_its_requests_is_avoided() {
    let fleet = Fleet::start(FleetPlan {
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    let failing = &fleet.servers[0].script;
    failing.extend(std::iter::repeat_n(Fault::Fail, 200));
    let mut failed = 0;
    for at in 0..60 {
        let id = format!("once-{at}");
        let answer = call(fleet.fronts[0], Method::POST, "/once/a", &id, &[], "x").await;
        let status = answer.expect("an answer").status;
        failed += usize::from(status == StatusCode::INTERNAL_SERVER_ERROR);
    }
    assert!(failed >= 1, "the fault was never met");
    assert!(failed <= 15, "{failed} of 60 requests failed");
    fleet.cancel.cancel();
}

/// A caller may say that it waits for ever.
#[actix_web::test]
async fn a_time_limit_of_any_size_is_taken() {
    let fleet = Fleet::start(FleetPlan {
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    let forever = u64::MAX.to_string();
    let name = DEADLINE_MS;
    let headers = [(name.as_str(), forever.as_str())];
    let front = fleet.fronts[0];
    let answer = call(front, Method::POST, "/once/a", "patient", &headers, "x").await;
    assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    fleet.cancel.cancel();
}
