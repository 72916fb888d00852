//! Responses whose end is marked only by the end of their connection. A response that was cut off
//! must not reach its caller as a complete one.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use common::{call, Fleet, FleetPlan, ReceivedResponse};
use foxwheel_platform::online;
use foxwheel_server_emu::faults::Fault;
use foxwheel_server_emu::server::{event_text, plain_body, ServerConfig};
use foxwheel_server_emu::unframed::{BodyPart, ConnectionEnd, UnframedResponse};
use foxwheel_service_emu::scripted::{self, AfterResponse};
use foxwheel_soak::store_entries;
use hyper::{Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use BodyPart::{AllButLastByte, Complete, Events, WithinEvent};
use ConnectionEnd::{Close, ProcessEnd, Reset};

fn unframed(part: BodyPart, end: ConnectionEnd) -> Fault {
    Fault::Unframed(UnframedResponse::ok(part, end))
}

/// Returns the complete text of a stream of five events.
fn complete_stream(id: &str) -> String {
    (1..=5).map(|event| event_text(id, event)).collect()
}

async fn start_fleet(events_per_stream: u64) -> Fleet {
    Fleet::start(FleetPlan {
        servers: vec![ServerConfig {
            events_per_stream,
            ..ServerConfig::default()
        }],
        workers: 0,
        ..FleetPlan::default()
    })
    .await
}

/// Sends one request whose first attempt meets `fault`.
async fn call_with_fault(fleet: &Fleet, path: &str, id: &str, fault: Fault) -> ReceivedResponse {
    fleet.servers[0].fault_script.extend([fault]);
    let response = call(fleet.fronts[0], Method::POST, path, id, &[], "x").await;
    response.unwrap_or_else(|e| panic!("{fault:?}: {e}"))
}

/// Checks that a stream that may not be resumed, and that meets `fault`, is cut off at its caller.
async fn check_cut_off(fleet: &Fleet, id: &str, fault: Fault) {
    let response = call_with_fault(fleet, "/stream-once/a", id, fault).await;
    let looks_complete = response.status.is_success() && response.is_complete;
    assert!(!looks_complete, "{fault:?}: {}", response.text());
    assert!(
        complete_stream(id).starts_with(&response.text()),
        "{fault:?}"
    );
    assert_eq!(fleet.runs_of_request(id).len(), 1, "{fault:?}");
}

#[actix_web::test]
async fn unframed_stream_that_ends_within_an_event_is_cut_off_at_its_caller() {
    let fleet = start_fleet(5).await;
    let parts = [
        WithinEvent(0),
        WithinEvent(2),
        AllButLastByte(2),
        AllButLastByte(4),
    ];
    for (index, part) in parts.into_iter().enumerate() {
        check_cut_off(&fleet, &format!("r-{index}"), unframed(part, Close)).await;
    }
    let cut_off = fleet
        .read_counter(&fleet.processes[0], "foxwheel.stream.broken")
        .await;
    assert_eq!(cut_off, parts.len() as u64, "counted as complete");
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn unframed_stream_without_an_event_is_cut_off_at_its_caller() {
    let fleet = start_fleet(5).await;
    check_cut_off(&fleet, "r", unframed(Events(0), Close)).await;
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn unframed_stream_that_is_reset_is_cut_off_at_its_caller() {
    let fleet = start_fleet(5).await;
    for (index, part) in [Events(0), Events(2), WithinEvent(2), Complete]
        .into_iter()
        .enumerate()
    {
        check_cut_off(&fleet, &format!("r-{index}"), unframed(part, Reset)).await;
    }
    fleet.cancel.cancel();
}

/// The end of a connection between two events says nothing; that its server is gone does.
#[actix_web::test]
async fn unframed_stream_of_a_server_whose_process_ended_is_cut_off_at_its_caller() {
    let fleet = start_fleet(5).await;
    check_cut_off(&fleet, "r", unframed(Events(2), ProcessEnd)).await;
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn unframed_response_of_a_server_whose_process_ended_is_not_delivered() {
    let fleet = start_fleet(0).await;
    let fault = unframed(WithinEvent(0), ProcessEnd);
    let response = call_with_fault(&fleet, "/once/a", "r", fault).await;
    assert_eq!(
        response.status,
        StatusCode::BAD_GATEWAY,
        "{}",
        response.text()
    );
    assert_eq!(fleet.runs_of_request("r").len(), 1);
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn unframed_stream_that_may_be_resumed_continues_at_another_server() {
    let fleet = start_fleet(5).await;
    let cases = [
        (unframed(Complete, Close), 1),
        (unframed(Events(0), Close), 2),
        (unframed(WithinEvent(0), Close), 2),
        (unframed(WithinEvent(2), Close), 2),
        (unframed(AllButLastByte(2), Close), 2),
        (unframed(Events(2), Reset), 2),
        (unframed(WithinEvent(2), Reset), 2),
    ];
    for (index, (fault, runs)) in cases.into_iter().enumerate() {
        let id = format!("r-{index}");
        let response = call_with_fault(&fleet, "/stream/a", &id, fault).await;
        assert!(response.is_complete, "{fault:?}");
        assert_eq!(response.text(), complete_stream(&id), "{fault:?}");
        assert_eq!(fleet.runs_of_request(&id).len(), runs, "{fault:?}");
    }
    fleet.cancel.cancel();
}

/// A caller that has every event may ask to resume after the last one. The rest is empty.
#[actix_web::test]
async fn unframed_rest_of_a_stream_may_be_empty() {
    let fleet = start_fleet(5).await;
    fleet.servers[0]
        .fault_script
        .extend([unframed(Complete, Close)]);
    let headers = [("last-event-id", "5")];
    let response = call(
        fleet.fronts[0],
        Method::POST,
        "/stream/a",
        "r",
        &headers,
        "",
    )
    .await;
    let response = response.expect("a response");
    assert!(response.is_complete && response.body.is_empty());
    assert_eq!(fleet.runs_of_request("r").len(), 1);
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn complete_unframed_responses_are_delivered() {
    let fleet = start_fleet(5).await;
    for index in 0..3 {
        let id = format!("stream-{index}");
        let fault = unframed(Complete, Close);
        let response = call_with_fault(&fleet, "/stream-once/a", &id, fault).await;
        assert!(response.is_complete);
        assert_eq!(response.text(), complete_stream(&id));
    }
    fleet.cancel.cancel();
    let fleet = start_fleet(0).await;
    for path in ["/plain/a", "/once/a"] {
        let response = call_with_fault(&fleet, path, path, unframed(Complete, Close)).await;
        assert_eq!(response.status, StatusCode::OK, "{path}");
        assert_eq!(response.text(), plain_body(path), "{path}");
        assert_eq!(fleet.runs_of_request(path).len(), 1, "{path}");
    }
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn unframed_plain_response_that_is_reset_is_not_delivered() {
    let fleet = start_fleet(0).await;
    let error = |status, end| {
        Fault::Unframed(UnframedResponse {
            status,
            part: WithinEvent(0),
            end,
        })
    };
    let (ok, failed) = (StatusCode::OK, StatusCode::INTERNAL_SERVER_ERROR);
    let cases = [
        ("/plain/a", unframed(WithinEvent(0), Reset), ok, 2),
        (
            "/once/a",
            unframed(WithinEvent(0), Reset),
            StatusCode::BAD_GATEWAY,
            1,
        ),
        ("/once/a", error(failed, Reset), StatusCode::BAD_GATEWAY, 1),
        ("/once/a", error(failed, Close), failed, 1),
    ];
    for (index, (path, fault, status, runs)) in cases.into_iter().enumerate() {
        let id = format!("r-{index}");
        let response = call_with_fault(&fleet, path, &id, fault).await;
        assert_eq!(response.status, status, "{path} {fault:?}");
        if status == ok {
            assert_eq!(response.text(), plain_body(&id));
        }
        assert_eq!(fleet.runs_of_request(&id).len(), runs, "{path} {fault:?}");
    }
    fleet.cancel.cancel();
}

/// Sends a stream request as an HTTP/1.0 client.
async fn send_http_1_0_request(front: SocketAddr, id: &str) -> TcpStream {
    let mut connection = TcpStream::connect(front).await.expect("connected");
    let host = store_entries::HOST;
    let request = format!(
        "POST /stream-once/a HTTP/1.0\r\nhost: {host}\r\nx-request-id: {id}\r\ncontent-length: 1\r\n\r\nx"
    );
    let written = connection.write_all(request.as_bytes()).await;
    written.expect("written");
    connection
}

/// Reads a response until its connection is closed, or returns how else the connection ended.
async fn read_until_close(mut connection: TcpStream) -> std::io::Result<String> {
    let mut response = String::new();
    connection.read_to_string(&mut response).await?;
    Ok(response)
}

/// A response without a length and without chunks is complete for its caller if the connection is
/// closed in order.
#[actix_web::test]
async fn cut_off_stream_ends_in_a_reset_for_a_caller_that_takes_no_chunks() {
    let fleet = start_fleet(5).await;
    let front = fleet.fronts[0];
    let connection = send_http_1_0_request(front, "complete").await;
    let complete = read_until_close(connection).await.expect("closed in order");
    assert!(
        complete.ends_with(&complete_stream("complete")),
        "{complete}"
    );
    for fault in [
        Fault::CutAfter(2),
        Fault::CutWithin(2),
        unframed(Events(2), Reset),
    ] {
        fleet.servers[0].fault_script.extend([fault]);
        let connection = send_http_1_0_request(front, "cut-off").await;
        let cut_off = read_until_close(connection).await;
        let error = cut_off.expect_err("looks complete").kind();
        assert_eq!(error, std::io::ErrorKind::ConnectionReset, "{fault:?}");
    }
    fleet.cancel.cancel();
}

/// A front that ends while it relays a stream resets the connections of such callers as well.
#[actix_web::test]
async fn stream_of_an_ended_front_ends_in_a_reset_for_a_caller_that_takes_no_chunks() {
    let fleet = start_fleet(5).await;
    fleet.servers[0].fault_script.extend([Fault::StallAfter(2)]);
    let mut connection = send_http_1_0_request(fleet.fronts[0], "ended").await;
    let mut received = Vec::new();
    while !String::from_utf8_lossy(&received).contains(&event_text("ended", 2)) {
        received.push(connection.read_u8().await.expect("a byte"));
    }
    fleet.processes[0].kill();
    let response = read_until_close(connection).await;
    let error = response.expect_err("looks complete").kind();
    assert_eq!(error, std::io::ErrorKind::ConnectionReset);
    fleet.cancel.cancel();
}

/// A rejection with neither a length nor chunks, whose connection stays open, kept the request until
/// its deadline.
#[actix_web::test]
async fn unframed_rejection_does_not_wait_for_the_end_of_its_connection() {
    let fleet = start_fleet(0).await;
    let not_run = online::NOT_EXECUTED;
    let rejection = format!("HTTP/1.1 503 Service Unavailable\r\n{not_run}: 1\r\n\r\nbusy");
    let rejecting = scripted::start(rejection, AfterResponse::KeepOpen).await;
    let rejecting = rejecting.expect("server starts");
    fleet
        .register_server("rejecting", rejecting.addr, "ready")
        .await;
    let mut index = 0;
    while rejecting.request_count.load(Ordering::SeqCst) < 3 {
        let id = format!("r-{index}");
        let response = call(fleet.fronts[0], Method::POST, "/once/a", &id, &[], "x").await;
        assert_eq!(response.expect("a response").status, StatusCode::OK, "{id}");
        assert_eq!(fleet.runs_of_request(&id).len(), 1, "{id}");
        index += 1;
    }
    fleet.cancel.cancel();
}
