//! Backend servers in trouble that send bytes without end, in a head or a body, until their
//! connections are closed.

mod common;

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use common::endless_servers::{EndlessResponse, EndlessServer, MAX_SENT_BYTES};
use common::{Fleet, FleetPlan};
use foxwheel_platform::online;
use hyper::{Method, StatusCode};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// An event of some hundred bytes, with its number as its id.
const LONG_EVENT: &str = concat!(
    "id: {n}\ndata: ",
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
    "\n\n",
);

/// Number of requests of each test.
const REQUESTS: usize = 24;

/// Returns the head of a response that is signed, and complete up to its last blank line.
fn signed_head(status: &str, header: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{}: s\r\n{header}\r\n",
        online::SIGNATURE
    )
}

/// Returns the heads without end, and the bodies of success and error responses without end.
fn endless_responses(content_type: &str) -> Vec<EndlessResponse> {
    let response = |start: String, filler| EndlessResponse {
        start,
        filler,
        pause: Duration::ZERO,
    };
    let not_executed = format!("{}: 1\r\n", online::NOT_EXECUTED);
    vec![
        response(String::new(), "no head at all "),
        response("HTTP/1.1 200 OK\r\nx-a: ".to_owned(), "aaaaaaaa"),
        response(String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
        response(signed_head("200 OK", content_type), "data: a\n"),
        response(signed_head("500 Internal Server Error", ""), "error "),
        response(signed_head("503 Busy", &not_executed), "busy "),
    ]
}

/// Returns a stream whose first event trickles in. Each of its bytes counted as progress.
fn trickling_event() -> EndlessResponse {
    EndlessResponse {
        start: signed_head("200 OK", "content-type: text/event-stream\r\n"),
        filler: "data: a\n",
        pause: Duration::from_millis(200),
    }
}

/// Starts a front and a worker with two sound servers.
async fn start_fleet() -> Fleet {
    let fleet = Fleet::start(FleetPlan::default()).await;
    fleet
        .configure(2, |config| {
            for route in config["routes"].as_array_mut().expect("routes") {
                route["max_attempts"] = json!(3);
            }
        })
        .await;
    fleet
}

/// Adds a server that sends `response`, runs `use_fleet` with different ids until that server has
/// received a request, and checks that it was stopped early. Then removes the server.
async fn use_endless_server<F: Future<Output = ()>>(
    fleet: &Fleet,
    response: EndlessResponse,
    use_fleet: impl Fn(usize) -> F,
) {
    let endless = EndlessServer::start(response).await;
    let id = format!("endless-{}", endless.addr.port());
    fleet.register_server(&id, endless.addr, "ready").await;
    let using = async {
        for round in 0.. {
            use_fleet(round).await;
            if endless.requests() > 0 {
                break;
            }
        }
        while endless.open_responses() > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let used = tokio::time::timeout(3 * common::WAIT_TIMEOUT, using).await;
    used.expect("the server gets a request, and its connections are closed");
    let sent = endless.max_sent_bytes();
    assert!(sent < MAX_SENT_BYTES, "{sent} bytes were read");
    let removed = fleet.store.delete(&format!("servers/{id}"), None).await;
    removed.expect("removed");
}

/// Sends requests one after the other, and checks that all are served.
async fn check_served(front: SocketAddr, method: Method, path: &str, ids: &str) {
    for number in 0..REQUESTS {
        let id = format!("{ids}-{number}");
        let called = common::call(front, method.clone(), path, &id, &[], "").await;
        let received = called.expect("a response");
        assert_eq!(received.status, StatusCode::OK, "{id}");
        assert!(received.is_complete, "{id}");
    }
}

/// Requests that may be repeated were answered late or not at all, and the front held all bytes.
#[actix_web::test]
async fn front_reads_a_response_without_end() {
    let fleet = start_fleet().await;
    let front = fleet.fronts[0];
    for (kind, response) in endless_responses("").into_iter().enumerate() {
        use_endless_server(&fleet, response, |round| async move {
            check_served(front, Method::GET, "/plain/a", &format!("{kind}-{round}")).await;
        })
        .await;
    }
    fleet.cancel.cancel();
}

/// The same for streams that may be resumed.
#[actix_web::test]
async fn front_reads_a_stream_without_end() {
    let fleet = start_fleet().await;
    let front = fleet.fronts[0];
    let mut responses = endless_responses("content-type: text/event-stream\r\n");
    responses.push(trickling_event());
    for (kind, response) in responses.into_iter().enumerate() {
        use_endless_server(&fleet, response, |round| async move {
            check_served(front, Method::POST, "/stream/a", &format!("{kind}-{round}")).await;
        })
        .await;
    }
    fleet.cancel.cancel();
}

/// The same for batch items, also if the body is no stream of events.
#[actix_web::test]
async fn worker_reads_an_item_without_end() {
    let fleet = start_fleet().await;
    let front = fleet.fronts[0];
    let mut responses = endless_responses("content-type: text/event-stream\r\n");
    responses.extend(endless_responses("content-type: text/plain\r\n"));
    responses.push(trickling_event());
    // Each event follows the one before, and there is no last one.
    responses.push(EndlessResponse {
        start: signed_head("200 OK", "content-type: text/event-stream\r\n"),
        filler: LONG_EVENT,
        pause: Duration::ZERO,
    });
    for (kind, response) in responses.into_iter().enumerate() {
        use_endless_server(&fleet, response, |round| async move {
            let job = format!("job-{kind}-{round}");
            let accepted = common::submit_job(front, &job, REQUESTS).await;
            assert_eq!(accepted.expect("accepted").status, StatusCode::ACCEPTED);
            let results = common::wait_for_results(front, &job, REQUESTS).await;
            let is_completed = |result: &serde_json::Value| result["state"] == "completed";
            assert!(results.iter().all(is_completed), "{job}");
        })
        .await;
    }
    fleet.cancel.cancel();
}

/// A caller's head without end was read up to 400 KB.
#[actix_web::test]
async fn front_reads_a_request_without_end() {
    /// The buffers of the front and of the sockets.
    const MAX_HEAD_BYTES: usize = 256 * 1024;
    let fleet = start_fleet().await;
    let mut caller = TcpStream::connect(fleet.fronts[0])
        .await
        .expect("connected");
    let start = b"GET /plain/a HTTP/1.1\r\nhost: h\r\nx-a: ";
    caller.write_all(start).await.expect("written");
    let block = [b'a'; 1024];
    let mut sent_bytes = 0;
    let sending = async {
        while sent_bytes < MAX_HEAD_BYTES && caller.write_all(&block).await.is_ok() {
            sent_bytes += block.len();
            // The front reads, and may close the connection, between two writes.
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let sent = tokio::time::timeout(common::WAIT_TIMEOUT, sending).await;
    sent.expect("sent or closed");
    assert!(sent_bytes < MAX_HEAD_BYTES, "{sent_bytes} bytes");
    fleet.cancel.cancel();
}
