//! A caller gets the complete response to its own request when engines cut theirs off, or can see
//! that the response is not complete.

mod common;

use foxwheel_engine_emu::settings::{EngineFaults, ResponseFault};
use foxwheel_engine_emu::{openai, text};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A response as its caller sees it.
#[derive(Debug, PartialEq)]
enum SeenResponse {
    Complete(String),
    /// The connection failed or was closed early, or the response is an error.
    Failed,
    /// The response ended like a complete one although a part is missing.
    Truncated(String),
}

/// Sends a request over a plain connection, because a client library would hide that the last chunk
/// is missing.
async fn send_request(
    fleet: &common::Fleet,
    prompt: &str,
    tokens: usize,
    stream: bool,
) -> SeenResponse {
    let body = serde_json::json!({"model": "draftsman", "prompt": prompt, "max_tokens": tokens, "stream": stream}).to_string();
    let addr = fleet.gateway.trim_start_matches("http://");
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\nx-request-id: {prompt}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut socket = TcpStream::connect(addr).await.expect("connect");
    socket.write_all(request.as_bytes()).await.expect("write");
    let mut received = Vec::new();
    if socket.read_to_end(&mut received).await.is_err() {
        return SeenResponse::Failed;
    }
    let received = String::from_utf8_lossy(&received);
    let Some((head, body)) = received.split_once("\r\n\r\n") else {
        return SeenResponse::Failed;
    };
    let head = head.to_ascii_lowercase();
    let is_complete = !head.contains("transfer-encoding: chunked") || body.ends_with("0\r\n\r\n");
    if !head.starts_with("http/1.1 200") || !is_complete {
        return SeenResponse::Failed;
    }
    if !stream {
        return match serde_json::from_str::<serde_json::Value>(body) {
            Ok(completion) => SeenResponse::Complete(
                openai::extract_text(&completion)
                    .unwrap_or_default()
                    .to_owned(),
            ),
            Err(_) => SeenResponse::Truncated(body.to_owned()),
        };
    }
    let mut content = String::new();
    let mut has_last_event = false;
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        match serde_json::from_str::<serde_json::Value>(data) {
            Ok(chunk) => {
                assert_eq!(chunk["id"], prompt, "each chunk contains the caller's id");
                content.push_str(openai::extract_text(&chunk).unwrap_or_default());
            }
            Err(_) => has_last_event = data == "[DONE]",
        }
    }
    if has_last_event {
        SeenResponse::Complete(content)
    } else {
        SeenResponse::Truncated(content)
    }
}

async fn set_faults(fleet: &common::Fleet, engine: usize, faults: EngineFaults) {
    let url = format!("{}/faults", fleet.engines[engine]);
    let set = fleet.http.post(url).send_json(&faults).await;
    assert!(set.expect("faults").status().is_success());
}

#[actix_web::test]
async fn a_response_cut_off_by_one_engine_is_completed_by_another() {
    for stream in [true, false] {
        for how in [
            ResponseFault::Abort,
            ResponseFault::EndEarly,
            ResponseFault::Stall,
        ] {
            for after_tokens in [0, 1, 5] {
                let fleet = common::start(2).await;
                let faults = EngineFaults {
                    response_fault: Some(how),
                    after_tokens,
                };
                set_faults(&fleet, 0, faults).await;
                let case = format!("stream: {stream}, {how:?} after {after_tokens}");
                for n in 0..6 {
                    let prompt = format!("panel {n} of {case}");
                    let seen = send_request(&fleet, &prompt, 9, stream).await;
                    assert_eq!(
                        seen,
                        SeenResponse::Complete(text::response_text(&prompt, 9)),
                        "case {case}"
                    );
                }
                fleet.cancel.cancel();
            }
        }
    }
}

#[actix_web::test]
async fn a_response_that_no_engine_completes_is_not_mistaken_for_a_complete_one() {
    for stream in [true, false] {
        for how in [ResponseFault::Abort, ResponseFault::EndEarly] {
            let fleet = common::start(2).await;
            for engine in 0..2 {
                let faults = EngineFaults {
                    response_fault: Some(how),
                    after_tokens: 2,
                };
                set_faults(&fleet, engine, faults).await;
            }
            let seen = send_request(&fleet, "panel", 40, stream).await;
            assert_eq!(seen, SeenResponse::Failed, "stream: {stream}, {how:?}");
            fleet.cancel.cancel();
        }
    }
}
