//! Responses whose host is silent for longer than `stream_stall_ms`. A host that goes on is not left
//! for one that does not, and a pause is not the end of a body.

mod common;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foxwheel_core::declarations::Manifest;
use foxwheel_engine_emu::server::EngineStats;
use foxwheel_engine_emu::settings::{EngineFaults, ResponseFault};
use foxwheel_engine_emu::{openai, text};
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

/// Delay between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of polls until a condition must hold.
const MAX_POLLS: usize = 1_000;

/// Number of tokens of each response.
const TOKENS: usize = 9;

/// Number of calls made at the same time.
const CALLS: usize = 6;

const FULL_HOST: &str =
    "HTTP/1.1 429 Too Many Requests\r\nx-foxwheel-run-state: not_run\r\ncontent-length: 0\r\n\r\n";

const FAILING_HOST: &str =
    "HTTP/1.1 500 Internal Server Error\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}";

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

/// Returns the text of a complete response, and `None` if it is an error or a part.
fn complete_text(
    (status, body): &(StatusCode, Result<String, String>),
    stream: bool,
) -> Option<String> {
    let body = body.as_ref().ok().filter(|_| status.is_success())?;
    if !stream {
        let completion: serde_json::Value = serde_json::from_str(body).ok()?;
        return openai::extract_text(&completion).map(str::to_owned);
    }
    let events = body.strip_suffix("data: [DONE]\n\n")?;
    let data = events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    data.map(|data| {
        let chunk: serde_json::Value = serde_json::from_str(data).ok()?;
        openai::extract_text(&chunk).map(str::to_owned)
    })
    .collect()
}

async fn set_fault(
    fleet: &common::Fleet,
    engine: usize,
    response_fault: ResponseFault,
    after_tokens: usize,
) {
    let faults = EngineFaults {
        response_fault: Some(response_fault),
        after_tokens,
    };
    let url = format!("{}/faults", fleet.engines[engine]);
    let set = fleet.http.post(url).send_json(&faults).await;
    assert!(set.expect("faults").status().is_success());
}

/// Calls draftsman, streamed and not. Returns how many calls of each kind got the complete response, and
/// a description of those that did not.
async fn count_complete(fleet: &common::Fleet, case: &str) -> (usize, usize, Vec<String>) {
    let mut counts = [0, 0];
    let mut failures = Vec::new();
    for (kind, stream) in [true, false].into_iter().enumerate() {
        let calls = (0..CALLS).map(|n| {
            let prompt = format!("{case}, panel {n}, streamed {stream}");
            async move {
                let seen = complete(&fleet.gateway, "draftsman", &prompt, stream).await;
                (prompt, seen)
            }
        });
        for (prompt, seen) in futures::future::join_all(calls).await {
            if complete_text(&seen, stream) == Some(text::response_text(&prompt, TOKENS)) {
                counts[kind] += 1;
            } else {
                failures.push(format!("{prompt}: {seen:?}"));
            }
        }
    }
    (counts[0], counts[1], failures)
}

async fn assert_all_complete(fleet: &common::Fleet, case: &str) {
    let (streamed, full, failures) = count_complete(fleet, case).await;
    assert_eq!(
        (streamed, full),
        (CALLS, CALLS),
        "{case}: complete of {CALLS} streamed and {CALLS} others: {failures:#?}"
    );
}

fn pause() -> ResponseFault {
    ResponseFault::Pause {
        pause_ms: PAUSE.as_millis() as u64,
    }
}

#[actix_web::test]
async fn responses_are_cut_off_when_their_only_host_pauses() {
    for after_tokens in [0, 2] {
        let fleet = common::start(1).await;
        set_fault(&fleet, 0, pause(), after_tokens).await;
        assert_all_complete(&fleet, &format!("pause after {after_tokens}")).await;
        fleet.cancel.cancel();
    }
}

#[actix_web::test]
async fn responses_are_cut_off_when_the_host_that_completes_them_pauses_too() {
    for after_tokens in [0, 2] {
        let fleet = common::start(2).await;
        for engine in 0..2 {
            set_fault(&fleet, engine, pause(), after_tokens).await;
        }
        assert_all_complete(&fleet, &format!("pauses after {after_tokens}")).await;
        fleet.cancel.cancel();
    }
}

/// The host that pauses was left for one that had responded with no more than a head.
#[actix_web::test]
async fn responses_are_cut_off_when_their_host_pauses_and_the_other_one_hangs() {
    for after_tokens in [0, 2] {
        let fleet = common::start(2).await;
        set_fault(&fleet, 0, pause(), after_tokens).await;
        set_fault(&fleet, 1, ResponseFault::Stall, 0).await;
        assert_all_complete(&fleet, &format!("pause after {after_tokens}, stall")).await;
        fleet.cancel.cancel();
    }
}

/// A host that was left for another one because of its silence is used again if the other one fails.
#[actix_web::test]
async fn responses_are_cut_off_when_their_host_pauses_and_the_other_one_breaks_off() {
    let fleet = common::start(2).await;
    set_fault(&fleet, 0, pause(), 2).await;
    set_fault(&fleet, 1, ResponseFault::Abort, 2).await;
    assert_all_complete(&fleet, "pause, abort").await;
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn responses_are_cut_off_when_their_host_pauses_and_the_other_one_is_full() {
    let fleet = common::start(1).await;
    set_fault(&fleet, 0, pause(), 2).await;
    common::add_scripted_host(&fleet.store, "draftsman", "full", FULL_HOST).await;
    fleet.wait_for_live("draftsman", 2).await;
    assert_all_complete(&fleet, "full").await;
    fleet.cancel.cancel();
}

/// The other host is added while the first one is silent, so that each call begins at the first one.
#[actix_web::test]
async fn responses_are_cut_off_when_their_host_pauses_and_the_other_one_fails() {
    for stream in [true, false] {
        let fleet = common::start(1).await;
        let long_pause = ResponseFault::Pause { pause_ms: 4_000 };
        set_fault(&fleet, 0, long_pause, 2).await;
        let add_host = async {
            wait_until_running(&fleet).await;
            common::add_scripted_host(&fleet.store, "draftsman", "failing", FAILING_HOST).await
        };
        let call = complete(&fleet.gateway, "draftsman", "fence", stream);
        let (seen, _host) = futures::join!(call, add_host);
        assert_eq!(
            complete_text(&seen, stream),
            Some(text::response_text("fence", TOKENS)),
            "streamed {stream}: {seen:?}"
        );
        fleet.cancel.cancel();
    }
}

/// The time limit of the request also ends the wait for a host that never goes on.
#[actix_web::test]
async fn stalled_response_of_the_only_host_ends_within_its_time_limit() {
    let fleet = common::start(1).await;
    set_fault(&fleet, 0, ResponseFault::Stall, 2).await;
    let mut manifest: Manifest =
        foxwheel_core::settings::parse("test manifest", common::MANIFEST).expect("manifest");
    for deployment in &mut manifest.deployments {
        deployment.request_timeout_ms = 2_500;
    }
    let before = config_revision(&fleet).await;
    common::apply_manifest(&fleet.store, &manifest).await;
    let expected = before + manifest.deployments.len() as u64;
    let mut revision = before;
    for _ in 0..MAX_POLLS {
        revision = config_revision(&fleet).await;
        if revision >= expected {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert!(revision >= expected, "revision {revision} in force");
    for stream in [true, false] {
        let seen = complete(&fleet.gateway, "draftsman", "fence", stream).await;
        assert_eq!(complete_text(&seen, stream), None, "{seen:?}");
        let is_error = !seen.0.is_success() || seen.1.is_err();
        assert!(is_error, "streamed {stream}: {seen:?}");
    }
    fleet.cancel.cancel();
}

/// Waits until the first engine runs a request.
async fn wait_until_running(fleet: &common::Fleet) {
    for _ in 0..MAX_POLLS {
        let url = format!("{}/stats", fleet.engines[0]);
        let mut response = fleet.http.get(url).send().await.expect("stats");
        let stats: EngineStats = response.json().await.expect("stats decode");
        if stats.requests_total > 0 {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("the engine does not run the request");
}

async fn config_revision(fleet: &common::Fleet) -> u64 {
    let url = format!("{}/status", fleet.gateway);
    let mut response = fleet.http.get(url).send().await.expect("status");
    let status: serde_json::Value = response.json().await.expect("status decodes");
    status["config_revision"].as_u64().expect("revision")
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

#[actix_web::test]
async fn silent_request_runs_at_more_hosts_than_its_attempts_allow() {
    const MAX_ATTEMPTS: usize = 3;
    const HOSTS: [&str; 5] = ["silent-0", "silent-1", "silent-2", "silent-3", "silent-4"];
    // The pause is as long as several attempts need.
    const PARTS: &[&str] = &[
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n",
        "",
        "",
        "",
        "data: {\"choices\":[{\"text\":\"yes\"}]}\n\ndata: [DONE]\n\n",
    ];
    let fleet = common::start(0).await;
    let mut request_counts = Vec::new();
    for host in HOSTS {
        request_counts.push(add_host_in_parts(&fleet, host, PARTS).await);
    }
    fleet
        .wait_for_live("llm-residente", HOSTS.len() as u64)
        .await;
    let seen = complete(&fleet.gateway, "llm-residente", "permit?", true).await;
    assert_eq!(
        complete_text(&seen, true).as_deref(),
        Some("yes"),
        "{seen:?}"
    );
    let counts = request_counts.iter();
    let runs: usize = counts.map(|count| count.load(Ordering::SeqCst)).sum();
    assert!((1..=MAX_ATTEMPTS).contains(&runs), "{runs} runs");
    fleet.cancel.cancel();
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
        let seen = complete(&fleet.gateway, "llm-residente", "permit?", false).await;
        assert_eq!(seen, (StatusCode::OK, Ok(expected.to_owned())), "{case}");
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
