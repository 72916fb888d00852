//! Bodies that a front refuses: what their callers see.

mod common;

use std::net::SocketAddr;

use common::store_entries::HOST;
use common::{Fleet, FleetPlan};
use foxwheel_platform::online as names;
use hyper::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends a head, then `body` as far as the front reads it, and returns what the front sends.
async fn send_body(front: SocketAddr, path: &str, headers: &str, body: &[u8]) -> String {
    let id = names::REQUEST_ID;
    let head =
        format!("POST {path} HTTP/1.1\r\nhost: {HOST}\r\n{id}: request\r\n{headers}\r\n\r\n");
    let stream = TcpStream::connect(front).await.expect("connected");
    let (mut received, mut sent) = stream.into_split();
    sent.write_all(head.as_bytes()).await.expect("written");
    let sending = async {
        // An error means that the front reads no more.
        let _ = sent.write_all(body).await;
    };
    let mut response = Vec::new();
    let receiving = async {
        // A reset after the response is no loss.
        let _ = received.read_to_end(&mut response).await;
    };
    let both = async { tokio::join!(sending, receiving) };
    let exchanged = tokio::time::timeout(common::WAIT_TIMEOUT, both).await;
    exchanged.expect("the front closes the connection");
    String::from_utf8_lossy(&response).into_owned()
}

/// The front read a body up to its limit, however much its head announced.
#[actix_web::test]
async fn body_that_is_announced_as_too_large_is_refused_unread() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    for headers in [
        "content-length: 40000000000",
        "content-length: 40000000000\r\nexpect: 100-continue",
    ] {
        let response = send_body(fleet.fronts[0], "/plain/a", headers, b"").await;
        assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
    }
    fleet.cancel.cancel();
}

/// A caller that was still sending its body lost the response to a reset.
#[actix_web::test]
async fn response_reaches_a_caller_that_is_still_sending() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    let body = vec![b'a'; 400_000];
    for _ in 0..20 {
        let headers = "content-length: 5000000";
        let response = send_body(fleet.fronts[0], "/plain/a", headers, &body).await;
        assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
    }
    fleet.cancel.cancel();
}

/// A body was awaited for as long as its caller said, also beyond the time limit of the route.
#[actix_web::test]
async fn body_is_awaited_no_longer_than_its_route_allows() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    fleet
        .configure(2, |config| {
            common::move_plain_route(config);
            config["routes"][0]["timeout_ms"] = 300.into();
        })
        .await;
    common::wait_for_status(fleet.fronts[0], "/moved/a", StatusCode::OK).await;
    let time_limit_ms = names::DEADLINE_MS;
    let headers = format!("content-length: 10\r\n{time_limit_ms}: 600000");
    let response = send_body(fleet.fronts[0], "/moved/a", &headers, b"a").await;
    assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
    fleet.cancel.cancel();
}
