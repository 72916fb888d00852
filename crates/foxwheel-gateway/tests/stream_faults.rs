//! A caller gets the whole answer to its own request when engines break theirs off, and
//! otherwise sees that it is not whole.

mod common;

use foxwheel_engine_emu::settings::{EngineFaults, ResponseFault};
use foxwheel_engine_emu::{openai, text};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// What a caller made of one answer.
#[derive(Debug, PartialEq)]
enum Seen {
    Whole(String),
    /// The connection broke, or the answer was refused.
    Broken,
    /// It ended as if it were whole, without its last event.
    CutShort(String),
}

/// Asks over a plain connection, as a client library would hide a missing last chunk.
async fn ask(fleet: &common::Fleet, prompt: &str, tokens: usize, stream: bool) -> Seen {
    let body = serde_json::json!({"model": "draftsman", "prompt": prompt, "max_tokens": tokens, "stream": stream}).to_string();
    let addr = fleet.gateway.trim_start_matches("http://");
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\nx-request-id: {prompt}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut socket = TcpStream::connect(addr).await.expect("connect");
    socket.write_all(request.as_bytes()).await.expect("write");
    let mut answer = Vec::new();
    if socket.read_to_end(&mut answer).await.is_err() {
        return Seen::Broken;
    }
    let answer = String::from_utf8_lossy(&answer);
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return Seen::Broken;
    };
    let head = head.to_ascii_lowercase();
    let is_whole = !head.contains("transfer-encoding: chunked") || body.ends_with("0\r\n\r\n");
    if !head.starts_with("http/1.1 200") || !is_whole {
        return Seen::Broken;
    }
    if !stream {
        return match serde_json::from_str::<serde_json::Value>(body) {
            Ok(answer) => Seen::Whole(openai::extract_text(&answer).unwrap_or_default().to_owned()),
            Err(_) => Seen::CutShort(body.to_owned()),
        };
    }
    let mut answer = String::new();
    let mut done = false;
    for data in body.lines().filter_map(|l| l.strip_prefix("data: ")) {
        match serde_json::from_str::<serde_json::Value>(data) {
            Ok(chunk) => {
                assert_eq!(chunk["id"], prompt, "each chunk bears the caller's id");
                answer.push_str(openai::extract_text(&chunk).unwrap_or_default());
            }
            Err(_) => done = data == "[DONE]",
        }
    }
    if done {
        Seen::Whole(answer)
    } else {
        Seen::CutShort(answer)
    }
}

async fn set_faults(fleet: &common::Fleet, engine: usize, faults: EngineFaults) {
    let url = format!("{}/faults", fleet.engines[engine]);
    let set = fleet.http.post(url).send_json(&faults).await;
    assert!(set.expect("faults").status().is_success());
}

#[actix_web::test]
async fn an_answer_broken_off_by_one_engine_is_finished_by_another() {
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
                    let seen = ask(&fleet, &prompt, 9, stream).await;
                    assert_eq!(
                        seen,
                        Seen::Whole(text::response_text(&prompt, 9)),
                        "case {case}"
                    );
                }
                fleet.cancel.cancel();
            }
        }
    }
}

#[actix_web::test]
async fn an_answer_that_nobody_finishes_is_seen_to_be_broken() {
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
            let seen = ask(&fleet, "panel", 40, stream).await;
            assert_eq!(seen, Seen::Broken, "stream: {stream}, {how:?}");
            fleet.cancel.cancel();
        }
    }
}
