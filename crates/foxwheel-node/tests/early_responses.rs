//! Servers in trouble that respond while the request is still being written. No caller may take what they
//! send for the complete response to its request.

mod common;

use std::net::SocketAddr;

use common::call;
use common::early_servers::{
    check_item, start_fleet, EarlyEnd, EarlyResponse, ReadBefore, LONG_BODY_BYTES, PATHS, REQUEST,
};
use common::store_entries::HOST;
use foxwheel_platform::online;
use foxwheel_server_emu::server;
use hyper::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// What a server sends of a response without a length: its first event, and nothing that shows that
/// another one follows.
fn partial_response() -> String {
    let signature = online::SIGNATURE;
    let event = server::event_text(REQUEST, 1);
    format!("HTTP/1.1 200 OK\r\n{signature}: s\r\ncontent-type: text/event-stream\r\n\r\n{event}")
}

/// Sends a request as a caller of HTTP/1.0 does. Returns what it takes for a complete response, or `None`
/// if the connection fails.
async fn call_http_1_0(front: SocketAddr, path: &str, body: &str) -> Option<String> {
    let (id, length) = (online::REQUEST_ID, body.len());
    let head = format!(
        "POST {path} HTTP/1.0\r\nhost: {HOST}\r\n{id}: {REQUEST}\r\ncontent-length: {length}\r\n\r\n"
    );
    let mut stream = TcpStream::connect(front).await.expect("connected");
    stream.write_all(head.as_bytes()).await.expect("written");
    stream.write_all(body.as_bytes()).await.expect("written");
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.ok()?;
    Some(String::from_utf8_lossy(&response).into_owned())
}

/// Checks that no caller takes what the only server sends for a complete response.
async fn check_not_complete(response: EarlyResponse, body: &str) {
    let case = format!("{response:?}, {} bytes", body.len());
    let fleet = start_fleet(response).await;
    let front = fleet.fronts[0];
    for path in PATHS {
        let received = call(front, Method::POST, path, REQUEST, &[], body).await;
        let is_complete = received
            .as_ref()
            .is_ok_and(|received| received.status.is_success() && received.is_complete);
        assert!(!is_complete, "{case}, {path}: {received:?}");
        let received = call_http_1_0(front, path, body).await;
        let is_complete = received.as_ref().is_some_and(|text| {
            let is_success = text.starts_with("HTTP/1.1 200") || text.starts_with("HTTP/1.0 200");
            is_success && !text.to_ascii_lowercase().contains("content-length")
        });
        assert!(!is_complete, "{case}, {path}, HTTP/1.0: {received:?}");
    }
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn part_of_a_response_that_is_reset_during_the_upload_is_delivered() {
    for read_before in [ReadBefore::Nothing, ReadBefore::Head] {
        for body_bytes in [10, LONG_BODY_BYTES] {
            let response = EarlyResponse {
                read_before,
                response: partial_response(),
                end: EarlyEnd::Reset,
            };
            check_not_complete(response, &"a".repeat(body_bytes)).await;
        }
    }
}

/// The end of such a response looked like that of one whose server has read the request.
#[actix_web::test]
async fn part_of_a_response_that_ends_during_the_upload_is_delivered() {
    for read_before in [ReadBefore::Nothing, ReadBefore::Head] {
        let response = EarlyResponse {
            read_before,
            response: partial_response(),
            end: EarlyEnd::CloseThenReset,
        };
        check_not_complete(response, &"a".repeat(LONG_BODY_BYTES)).await;
    }
}

#[actix_web::test]
async fn item_is_completed_with_a_part_of_its_output() {
    for end in [EarlyEnd::Reset, EarlyEnd::CloseThenReset] {
        for read_before in [ReadBefore::Nothing, ReadBefore::Head] {
            check_item(EarlyResponse {
                read_before,
                response: partial_response(),
                end,
            })
            .await;
        }
    }
}
