//! The metrics of a front: names, counts per outcome and histograms, and the burn rates computed
//! from them.

mod common;

use common::{call, Fleet, FleetPlan};
use foxwheel_core::metric_names::{Counter, RequestKind, RequestOutcome, StoreCall, Timer};
use foxwheel_core::metric_names::{RefusalReason, PREFIX};
use foxwheel_ctl::burn::{self, RequestCounts};
use foxwheel_node::metrics::Metrics;
use foxwheel_server_emu::faults::Fault;
use hyper::{Method, StatusCode};
use serde_json::json;
use std::time::Duration;

/// Returns the counters whose names are checked.
fn all_counters() -> Vec<Counter> {
    let mut counters = vec![
        Counter::AttemptFailed,
        Counter::HedgeStarted,
        Counter::HedgeWon,
        Counter::StreamResumed,
        Counter::StreamResumedByCaller,
        Counter::StreamCutOff,
        Counter::ResponseUntilClose,
        Counter::CallerClosedForRoom,
        Counter::CallerTimedOut,
        Counter::CallerNotAccepted,
        Counter::ServerConnection,
        Counter::CrashRecorded,
        Counter::TrialStarted,
        Counter::PartQuarantined,
        Counter::JobAccepted,
        Counter::JobOverQuota,
        Counter::RunCompleted,
        Counter::RunPreempted,
        Counter::RunQuarantined,
        Counter::RunFailed,
        Counter::PeerMessageSent,
        Counter::PeerBytesSent,
        Counter::PeerMessageFailed,
        Counter::PeerMessageReceived,
        Counter::PeerBytesReceived,
        Counter::HeartbeatDecodeFailed,
        Counter::HeartbeatEncodeFailed,
    ];
    for kind in RequestKind::ALL {
        counters.extend(RequestOutcome::ALL.map(|outcome| Counter::Request(kind, outcome)));
    }
    let reasons = [
        RefusalReason::NoConfiguration,
        RefusalReason::Stopping,
        RefusalReason::DeadlineExceeded,
        RefusalReason::ServersFull,
        RefusalReason::NoServer,
        RefusalReason::Rejected,
        RefusalReason::Quarantined,
        RefusalReason::NotResumable,
        RefusalReason::NoRoom,
    ];
    counters.extend(reasons.map(Counter::Refused));
    for store_call in [
        StoreCall::List,
        StoreCall::Watch,
        StoreCall::Get,
        StoreCall::Write,
        StoreCall::Probe,
    ] {
        counters.push(Counter::StoreCallSucceeded(store_call));
        counters.push(Counter::StoreCallFailed(store_call));
    }
    counters
}

#[test]
fn names_are_distinct_and_documented_for_operators() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(path).expect("the page");
    let metrics = Metrics::default();
    let counters = all_counters();
    for counter in &counters {
        metrics.incr(*counter);
    }
    let rendered = metrics.render();
    assert_eq!(rendered.lines().count(), counters.len(), "{rendered}");
    let names = counters.iter().map(|counter| counter.name().into_owned());
    let timers = [Timer::FirstResponse, Timer::JobAccept].map(|timer| timer.name().to_owned());
    for name in names.chain(timers) {
        // A composed name is documented as its first part and each of the other parts.
        let mut parts = name.split('.');
        let first = parts.next().expect("a part");
        let by_parts = page.contains(&format!("`{first}."))
            && parts.all(|part| page.contains(&format!("`{part}`")));
        let is_documented = by_parts || page.contains(&format!("`{name}`"));
        assert!(is_documented, "{name} is not in docs/OPERATIONS.md");
    }
}

async fn fetch_metrics(front: &common::Process) -> String {
    let settings = &front.settings;
    let port = settings.metrics_port.expect("metrics are served");
    let addr = std::net::SocketAddr::new(settings.ip, port);
    let response = call(addr, Method::GET, "/metrics", "m", &[], "").await;
    response.expect("a response").text()
}

/// Returns the value of a counter in `page`; 0 if it is missing, as counters are only listed once
/// they were incremented.
fn counter_value(page: &str, name: &str) -> u64 {
    let name = format!("{PREFIX}.{name} ");
    let line = page.lines().find_map(|line| line.strip_prefix(&name));
    line.map_or(0, |value| value.parse().expect("a number"))
}

#[actix_web::test]
async fn each_request_is_counted_once_by_its_outcome() {
    let mut fleet = Fleet::start(FleetPlan {
        servers: common::server_shapes(1),
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    let front = fleet.fronts[0];
    let before = fetch_metrics(&fleet.processes[0]).await;
    let script = fleet.servers[0].fault_script.clone();
    let send = |path: &'static str, id: &'static str| call(front, Method::POST, path, id, &[], "");
    // A success, a server's error response and a lost response; then a stream that is cut off.
    for (fault, status) in [
        (Fault::None, StatusCode::OK),
        (Fault::Fail, StatusCode::INTERNAL_SERVER_ERROR),
        (Fault::LoseResponse, StatusCode::BAD_GATEWAY),
    ] {
        script.extend([fault]);
        let response = send("/once/a", "once").await.expect("a response");
        assert_eq!(response.status, status, "{fault:?}");
    }
    let complete = send("/stream-once/a", "complete")
        .await
        .expect("a response");
    assert!(complete.is_complete);
    script.extend([Fault::CutAfter(1)]);
    let cut_off = send("/stream-once/a", "cut-off").await.expect("a response");
    assert!(!cut_off.is_complete);
    // With a target latency of zero, every response is late.
    fleet
        .configure(2, |config| {
            let routes = config["routes"].as_array_mut().expect("routes");
            routes[0]["target_latency_ms"] = json!(0);
            routes[0]["path_prefix"] = json!("/late/");
        })
        .await;
    let mut late = StatusCode::NOT_FOUND;
    while late != StatusCode::OK {
        tokio::time::sleep(Duration::from_millis(10)).await;
        late = send("/late/a", "late").await.expect("a response").status;
    }
    // Without an available server, requests are refused as not run.
    let removed = fleet.servers.remove(0);
    fleet
        .register_server("server-0", removed.addr, "draining")
        .await;
    let mut refused = StatusCode::OK;
    while refused != StatusCode::SERVICE_UNAVAILABLE {
        tokio::time::sleep(Duration::from_millis(10)).await;
        refused = send("/once/a", "refused").await.expect("a response").status;
    }
    let pages = [fetch_metrics(&fleet.processes[0]).await];
    let once = burn::count_requests(RequestKind::NonIdempotent, &pages);
    assert_eq!((once.failed, once.refused), (2, 1), "{}", pages[0]);
    assert!(once.on_time + once.late >= 1);
    let streams = burn::count_requests(RequestKind::Stream, &pages);
    assert_eq!((streams.total(), streams.failed), (2, 1));
    // A starting front also refuses requests until it has received the list of servers. These
    // refusals are in the first page.
    let without_server = |page| counter_value(page, "refused.no_server");
    assert_eq!(without_server(&pages[0]) - without_server(&before), 1);
    let plain_before = burn::count_requests(RequestKind::Idempotent, &[before]);
    let plain = burn::count_requests(RequestKind::Idempotent, &pages);
    assert_eq!(plain.late - plain_before.late, 1);
    fleet.cancel.cancel();
}

#[test]
fn histograms_report_recorded_durations() {
    let metrics = Metrics::default();
    for at_ms in 1..=1_000 {
        metrics.time(Timer::FirstResponse, Duration::from_millis(at_ms));
    }
    let rendered = metrics.render();
    let value = |label: &str| {
        let name = format!("{PREFIX}.{}_{label} ", Timer::FirstResponse.name());
        let line = rendered.lines().find_map(|line| line.strip_prefix(&name));
        let value = line.expect("a line").parse::<u64>();
        value.expect("a number")
    };
    assert_eq!(value("count"), 1_000);
    assert!((495..=505).contains(&value("p50_ms")), "{rendered}");
    assert!((940..=960).contains(&value("p95_ms")), "{rendered}");
    assert!((990..=1_010).contains(&value("max_ms")), "{rendered}");
}

#[test]
fn burn_rate_is_the_bad_share_over_the_budget_of_all_processes() {
    let pages = [
        "foxwheel.request.stream.on_time 90\nfoxwheel.request.stream.late 4\n".to_owned(),
        "foxwheel.request.stream.refused 5\nfoxwheel.request.stream.failed 1\n".to_owned(),
    ];
    let counts = burn::count_requests(RequestKind::Stream, &pages);
    let expected = RequestCounts {
        on_time: 90,
        late: 4,
        refused: 5,
        failed: 1,
    };
    assert_eq!(counts, expected);
    assert!((counts.burn_rate(0.95) - 2.0).abs() < 1e-9);
    assert_eq!(RequestCounts::default().burn_rate(0.95), 0.0);
}
