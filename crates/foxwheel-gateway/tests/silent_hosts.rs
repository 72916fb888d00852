//! Responses whose host is silent for longer than `stream_stall_ms`. A pause is not the end of a body.

mod common;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foxwheel_http_client::client::HttpClient;
use hyper::{Method, Request, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Limit of a call; longer than every pause.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Largest body that the tests read, in bytes.
const MAX_BYTES: usize = 65_536;

/// Pause of a host that goes on, longer than `stream_stall_ms`.
const PAUSE: Duration = Duration::from_millis(1_600);

/// Number of tokens of each response.
const TOKENS: usize = 9;

/// Sends a completion. Returns the status and the body, or why the body is not complete.
async fn complete(
    gateway: &str,
    model: &str,
    prompt: &str,
    stream: bool,
) -> (StatusCode, Result<String, String>) {
    let body = serde_json::json!({"model": model, "prompt": prompt, "max_tokens": TOKENS, "stream": stream});
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("{gateway}/v1/completions"))
        .header("content-type", "application/json")
        .body(Bytes::from(body.to_string()))
        .expect("a request");
    let sent = HttpClient::default().send(request, TIMEOUT).await;
    let mut response = sent.expect("a response");
    let read = tokio::time::timeout(TIMEOUT, response.read_to_end(MAX_BYTES)).await;
    let body = read.expect("the response ends").map_err(|e| e.to_string());
    let body = body.map(|body| String::from_utf8_lossy(&body).into_owned());
    (response.status(), body)
}

/// Starts a host of llm-residente, which writes `parts` to each request, with a pause between two of
/// them, and then closes the connection. Returns the number of requests.
async fn add_host_in_parts(
    fleet: &common::Fleet,
    host: &str,
    parts: &'static [&'static str],
) -> Arc<AtomicUsize> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
    let addr = listener.local_addr().expect("address");
    let request_count = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&request_count);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(write_parts(stream, parts, Arc::clone(&counter)));
        }
    });
    common::add_member(&fleet.store, "llm-residente", host, addr).await;
    request_count
}

async fn write_parts(mut stream: TcpStream, parts: &[&str], request_count: Arc<AtomicUsize>) {
    let mut request = Vec::new();
    while !request.ends_with(b"}") {
        match stream.read_buf(&mut request).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    request_count.fetch_add(1, Ordering::SeqCst);
    for (index, part) in parts.iter().enumerate() {
        if index > 0 {
            tokio::time::sleep(PAUSE).await;
        }
        if stream.write_all(part.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// A body that was received up to a pause was taken for the whole one if it was valid JSON.
#[actix_web::test]
async fn part_of_a_body_before_a_pause_is_delivered_as_the_whole_one() {
    const NUMBER: &[&str] = &["HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n12", "34"];
    const WHITE_SPACE: &[&str] = &[
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n{\"a\":1}",
        "  \n",
    ];
    const CHUNKED: &[&str] = &[
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n12\r\n",
        "2\r\n34\r\n0\r\n\r\n",
    ];
    const UNTIL_CLOSE: &[&str] = &["HTTP/1.1 200 OK\r\n\r\n12", "34"];
    let cases = [
        ("number", NUMBER, "1234"),
        ("white space", WHITE_SPACE, "{\"a\":1}  \n"),
        ("chunked", CHUNKED, "1234"),
        ("until the connection closes", UNTIL_CLOSE, "1234"),
    ];
    for (case, parts, expected) in cases {
        let fleet = common::start(0).await;
        let request_count = add_host_in_parts(&fleet, "in-parts", parts).await;
        fleet.wait_for_live("llm-residente", 1).await;
        let (status, body) = complete(&fleet.gateway, "llm-residente", "permit?", false).await;
        let is_whole = status.is_success() && body.as_deref() == Ok(expected);
        assert!(is_whole || !status.is_success(), "{case}: {body:?}");
        assert_eq!(request_count.load(Ordering::SeqCst), 1, "{case}");
        fleet.cancel.cancel();
    }
}

/// The bytes received before the connection closed were taken for the whole body if they were valid
/// JSON.
#[actix_web::test]
async fn body_that_its_framing_shows_to_be_cut_off_is_delivered_as_the_whole_one() {
    const SHORT: &[&str] = &["HTTP/1.1 200 OK\r\ncontent-length: 60\r\n\r\n{\"a\":1}"];
    const NO_LAST_CHUNK: &[&str] =
        &["HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n7\r\n{\"a\":1}\r\n"];
    for (case, parts) in [("short", SHORT), ("no last chunk", NO_LAST_CHUNK)] {
        let fleet = common::start(0).await;
        add_host_in_parts(&fleet, "in-parts", parts).await;
        fleet.wait_for_live("llm-residente", 1).await;
        let (status, body) = complete(&fleet.gateway, "llm-residente", "permit?", false).await;
        assert_eq!(status, StatusCode::BAD_GATEWAY, "{case}: {body:?}");
        fleet.cancel.cancel();
    }
}
