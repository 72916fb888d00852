//! Online requests to backend servers with scripted faults. Checks the responses that callers get
//! and how often each request ran.

mod common;

use std::time::Duration;

use common::{call, Fleet, FleetPlan, ReceivedResponse};
use foxwheel_platform::online::{DEADLINE_MS, LAST_EVENT_ID, NOT_EXECUTED, SIGNATURE};
use foxwheel_server_emu::faults::Fault;
use foxwheel_server_emu::server::{event_text, plain_body, ServerConfig};
use foxwheel_server_emu::unframed::{BodyPart, ConnectionEnd, UnframedResponse};
use hyper::header::RETRY_AFTER;
use hyper::{Method, StatusCode};

fn plain_plan(count: usize) -> FleetPlan {
    let shapes = common::server_shapes(count).into_iter();
    FleetPlan {
        servers: shapes
            .map(|shape| ServerConfig {
                events_per_stream: 0,
                ..shape
            })
            .collect(),
        workers: 0,
        ..FleetPlan::default()
    }
}

/// Returns the complete text of a stream of five events.
fn complete_stream(id: &str) -> String {
    (1..=5).map(|event| event_text(id, event)).collect()
}

/// One request and its expected response and runs.
struct Case {
    name: &'static str,
    path: &'static str,
    faults: &'static [Fault],
    status: StatusCode,
    /// Number of runs at all servers.
    runs: usize,
}

fn check_response(case: &Case, response: &ReceivedResponse, runs: usize) {
    let name = case.name;
    assert_eq!(response.status, case.status, "{name}");
    assert_eq!(runs, case.runs, "{name}: runs");
    let not_run_statuses = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    if not_run_statuses.contains(&response.status) {
        assert_eq!(
            runs, 0,
            "{name}: ran, but the response says that it was not run"
        );
        assert!(response.headers.contains_key(RETRY_AFTER), "{name}");
    }
    assert!(!response.headers.contains_key(&NOT_EXECUTED), "{name}");
    let is_signed = response.headers.contains_key(&SIGNATURE);
    let is_from_server =
        response.status.is_success() || response.status == StatusCode::INTERNAL_SERVER_ERROR;
    assert_eq!(
        is_signed, is_from_server,
        "{name}: only a server's own response is signed"
    );
}

#[actix_web::test]
async fn plain_requests_with_each_fault() {
    use Fault::{Fail, ForeignId, LoseResponse, Reject, Truncate, Unsigned};
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
        case("always rejected", "/plain/a", &[Reject; 4], unavailable, 0),
        case("failed once", "/plain/a", &[Fail], ok, 2),
        case(
            "failed as often as allowed",
            "/plain/a",
            &[Fail; 2],
            failed,
            2,
        ),
        case("response lost", "/plain/a", &[LoseResponse], ok, 2),
        case(
            "all responses lost",
            "/plain/a",
            &[LoseResponse; 2],
            bad_gateway,
            2,
        ),
        case(
            "response to another request",
            "/plain/a",
            &[ForeignId],
            ok,
            2,
        ),
        case("unsigned response", "/plain/a", &[Unsigned], ok, 2),
        case("truncated response", "/plain/a", &[Truncate], ok, 2),
        case("once: rejected", "/once/a", &[Reject], ok, 1),
        case("once: failed", "/once/a", &[Fail], failed, 1),
        case(
            "once: response lost",
            "/once/a",
            &[LoseResponse],
            bad_gateway,
            1,
        ),
        case(
            "once: response to another request",
            "/once/a",
            &[ForeignId],
            bad_gateway,
            1,
        ),
        case(
            "once: unsigned response",
            "/once/a",
            &[Unsigned],
            bad_gateway,
            1,
        ),
        case(
            "once: truncated response",
            "/once/a",
            &[Truncate],
            bad_gateway,
            1,
        ),
    ];
    let fleet = Fleet::start(plain_plan(1)).await;
    for (index, case) in cases.iter().enumerate() {
        let id = format!("request-{index}");
        fleet.servers[0]
            .fault_script
            .extend(case.faults.iter().copied());
        let response = call(fleet.fronts[0], Method::POST, case.path, &id, &[], "body").await;
        let response = response.unwrap_or_else(|e| panic!("{}: {e}", case.name));
        check_response(case, &response, fleet.runs_of_request(&id).len());
        if case.status == ok {
            assert_eq!(response.text(), plain_body(&id), "{}", case.name);
        }
    }
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn server_receives_the_unchanged_request_and_the_remaining_time() {
    let fleet = Fleet::start(plain_plan(1)).await;
    let headers = [("x-deadline-ms", "1500"), ("x-model", "m")];
    let path = "/plain/a/b?c=d%20e&f";
    let response = call(
        fleet.fronts[0],
        Method::PUT,
        path,
        "r",
        &headers,
        "the body",
    )
    .await;
    assert_eq!(response.expect("a response").status, StatusCode::OK);
    let runs = fleet.runs_of_request("r");
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].target, format!("PUT {path}"));
    assert_eq!(runs[0].body, b"the body");
    let deadline_ms = runs[0]
        .deadline_ms
        .unwrap_or_else(|| panic!("no {DEADLINE_MS}"));
    assert!(deadline_ms > 0 && deadline_ms <= 1_500, "{deadline_ms}");
    fleet.cancel.cancel();
}

/// A response cannot arrive within a few milliseconds: a request with so little time left is not
/// sent to any server, and its caller is told that it has not run.
#[actix_web::test]
async fn request_with_too_little_time_left_is_not_sent() {
    let fleet = Fleet::start(plain_plan(1)).await;
    for (index, path) in ["/plain/a", "/once/a", "/stream/a"].iter().enumerate() {
        let id = format!("short-{index}");
        let headers = [("x-deadline-ms", "8")];
        let response = call(fleet.fronts[0], Method::POST, path, &id, &headers, "").await;
        let response = response.expect("a response");
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
        assert!(response.headers.contains_key(RETRY_AFTER), "{path}");
        assert!(fleet.runs_of_request(&id).is_empty(), "{path}");
    }
    fleet.cancel.cancel();
}

/// A response that misses the target latency, but not the caller's deadline, is delivered
/// completely.
#[actix_web::test]
async fn late_responses_are_delivered_completely() {
    let slow = ServerConfig {
        step_time: Duration::from_millis(450),
        ..ServerConfig::default()
    };
    let plan = FleetPlan {
        servers: vec![slow],
        workers: 0,
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan).await;
    let headers = [("x-deadline-ms", "10000")];
    let front = fleet.fronts[0];
    let response = call(front, Method::POST, "/stream/a", "late", &headers, "").await;
    let response = response.expect("a response");
    assert!(response.is_complete, "cut off");
    assert_eq!(response.text(), complete_stream("late"));
    assert_eq!(fleet.runs_of_request("late").len(), 1, "one run is enough");
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn requests_without_a_route_get_an_error_status() {
    let fleet = Fleet::start(plain_plan(1)).await;
    let front = fleet.fronts[0];
    for (path, status) in [
        ("/nowhere/a", StatusCode::NOT_FOUND),
        ("/plain", StatusCode::NOT_FOUND),
        ("/api/lots/unknown", StatusCode::NOT_FOUND),
    ] {
        let response = call(front, Method::GET, path, "r", &[], "")
            .await
            .expect("a response");
        assert_eq!(response.status, status, "{path}");
    }
    let long = "x".repeat(20_000);
    let headers = [("x-long", long.as_str())];
    let response = call(front, Method::GET, "/plain/a", "r", &headers, "").await;
    let status = response.expect("a response").status;
    assert_eq!(status, StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn resumable_stream_continues_at_another_server() {
    use Fault::{CutAfter, CutWithin, LoseResponse, Reject, StallAfter};
    let cases = [
        ("complete", &[][..], 1),
        ("cut off before its head", &[LoseResponse], 2),
        ("rejected", &[Reject], 1),
        ("cut off before the first event", &[CutAfter(0)], 2),
        ("cut off after two events", &[CutAfter(2)], 2),
        ("cut off within an event", &[CutWithin(2)], 2),
        ("silent after three events", &[StallAfter(3)], 2),
    ];
    let fleet = Fleet::start(FleetPlan {
        servers: common::server_shapes(1),
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    for (index, (name, faults, runs)) in cases.iter().enumerate() {
        let id = format!("stream-{index}");
        fleet.servers[0].fault_script.extend(faults.iter().copied());
        let response = call(fleet.fronts[0], Method::POST, "/stream/a", &id, &[], "").await;
        let response = response.unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(response.status, StatusCode::OK, "{name}");
        assert!(response.is_complete, "{name}");
        assert_eq!(response.text(), complete_stream(&id), "{name}");
        assert_eq!(fleet.runs_of_request(&id).len(), *runs, "{name}");
    }
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn caller_resumes_its_stream_after_an_event() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    let name = LAST_EVENT_ID;
    let headers = [(name.as_str(), "3")];
    let response = call(
        fleet.fronts[0],
        Method::POST,
        "/stream/a",
        "s",
        &headers,
        "",
    )
    .await;
    let rest: String = (4..=5).map(|event| event_text("s", event)).collect();
    assert_eq!(response.expect("a response").text(), rest);
    assert_eq!(fleet.runs_of_request("s")[0].resumed_after, Some(3));
    fleet.cancel.cancel();
}

/// Its text was taken for an event without an end, and its caller got 502.
#[actix_web::test]
async fn error_response_without_a_content_type_is_taken_for_a_stream_that_was_cut_off() {
    let fleet = Fleet::start(FleetPlan {
        servers: common::server_shapes(1),
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    fleet.servers[0].fault_script.extend([Fault::Fail]);
    let front = fleet.fronts[0];
    let response = call(front, Method::POST, "/stream-once/a", "stream", &[], "").await;
    let response = response.expect("a response");
    assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert!(response.headers.contains_key(&SIGNATURE));
    assert_eq!(response.text(), plain_body("stream"));
    fleet.cancel.cancel();
}

/// A stream that must not be resumed runs once. If it is cut off, its caller must be able to tell.
#[actix_web::test]
async fn cut_off_stream_that_runs_once_never_looks_complete() {
    use Fault::{CutAfter, CutWithin, LoseResponse};
    let fleet = Fleet::start(FleetPlan {
        servers: common::server_shapes(1),
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    for (index, fault) in [CutAfter(0), CutAfter(2), CutWithin(2), LoseResponse]
        .iter()
        .enumerate()
    {
        let id = format!("once-{index}");
        fleet.servers[0].fault_script.extend([*fault]);
        let response = call(
            fleet.fronts[0],
            Method::POST,
            "/stream-once/a",
            &id,
            &[],
            "",
        )
        .await;
        let looks_complete =
            response.is_ok_and(|response| response.status.is_success() && response.is_complete);
        assert!(!looks_complete, "{fault:?}");
        assert_eq!(fleet.runs_of_request(&id).len(), 1, "{fault:?}");
    }
    fleet.cancel.cancel();
}

/// A server cancels a request whose caller disconnects.
#[actix_web::test]
async fn request_of_a_disconnected_caller_is_cancelled() {
    let slow = ServerConfig {
        step_time: Duration::from_secs(30),
        ..ServerConfig::default()
    };
    let fleet_plan = |shape: ServerConfig| FleetPlan {
        servers: vec![shape],
        workers: 0,
        ..FleetPlan::default()
    };
    // The fleet's start waits for a served request, so that the slow server is added afterwards.
    let mut fleet = Fleet::start(fleet_plan(ServerConfig::default())).await;
    fleet
        .register_server("server-0", fleet.servers[0].addr, "draining")
        .await;
    fleet
        .add_server(ServerConfig {
            id: "slow".to_owned(),
            ..slow
        })
        .await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let mut connection = common::connect(fleet.fronts[0]).await.expect("connected");
    let request = common::build_request(Method::POST, "/stream/a", "disconnected", &[], "");
    let response = connection.send(request);
    let waited = tokio::time::timeout(Duration::from_millis(300), response).await;
    assert!(waited.is_err(), "the server responded too early");
    drop(connection);
    for _ in 0..200 {
        let runs = fleet.runs_of_request("disconnected");
        if runs.first().is_some_and(|run| run.completed == Some(false)) {
            fleet.cancel.cancel();
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!(
        "the server still runs the request: {:?}",
        fleet.runs_of_request("disconnected")
    );
}

/// Without an available server, a request is refused as not run, with a retry delay.
#[actix_web::test]
async fn request_without_an_available_server_is_refused() {
    let fleet = Fleet::start(plain_plan(1)).await;
    fleet
        .register_server("server-0", fleet.servers[0].addr, "draining")
        .await;
    let mut refused = 0;
    for attempt in 0..200 {
        let id = format!("refused-{attempt}");
        let response = call(fleet.fronts[0], Method::POST, "/once/a", &id, &[], "").await;
        let response = response.expect("a response");
        if response.status == StatusCode::SERVICE_UNAVAILABLE {
            assert!(response.headers.contains_key(RETRY_AFTER));
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

/// Sends 60 requests that may run once to a fleet in which one of two servers meets `fault` on every
/// request. Returns how many responses have `status`.
async fn count_failures(plan: FleetPlan, fault: Fault, status: StatusCode) -> usize {
    let fleet = Fleet::start(plan).await;
    let failing = &fleet.servers[0].fault_script;
    failing.extend(std::iter::repeat_n(fault, 200));
    let mut failed = 0;
    for index in 0..60 {
        let id = format!("once-{index}");
        let response = call(fleet.fronts[0], Method::POST, "/once/a", &id, &[], "x").await;
        failed += usize::from(response.expect("a response").status == status);
    }
    fleet.cancel.cancel();
    failed
}

/// One of two servers fails every request although it looks healthy. Requests that may run only
/// once are soon sent to the other server.
#[actix_web::test]
async fn server_that_fails_its_requests_is_avoided() {
    let plan = FleetPlan {
        workers: 0,
        ..FleetPlan::default()
    };
    let failed = count_failures(plan, Fault::Fail, StatusCode::INTERNAL_SERVER_ERROR).await;
    assert!(failed >= 1, "no request reached the failing server");
    assert!(failed <= 15, "{failed} of 60 requests failed");
}

/// A server whose responses break off has failed, although their heads report success.
#[actix_web::test]
async fn server_that_cuts_its_responses_off_is_avoided() {
    let half = UnframedResponse::ok(BodyPart::WithinEvent(0), ConnectionEnd::Reset);
    let cut_off = Fault::Unframed(half);
    let failed = count_failures(plain_plan(2), cut_off, StatusCode::BAD_GATEWAY).await;
    assert!(failed >= 1, "no request reached the failing server");
    assert!(failed <= 15, "{failed} of 60 requests failed");
}

/// Callers may send a deadline that is effectively unlimited.
#[actix_web::test]
async fn deadline_of_any_size_is_accepted() {
    let fleet = Fleet::start(FleetPlan {
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    let unlimited = u64::MAX.to_string();
    let name = DEADLINE_MS;
    let headers = [(name.as_str(), unlimited.as_str())];
    let front = fleet.fronts[0];
    let response = call(front, Method::POST, "/once/a", "unlimited", &headers, "x").await;
    assert_eq!(response.expect("a response").status, StatusCode::OK);
    fleet.cancel.cancel();
}
