//! A caller that closes its connection leaves its request, also while the backend is silent.

#[allow(dead_code)]
mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{Agent, BackendFault};
use foxwheel_core::protocol::CLASS_HEADER;
use foxwheel_engine_emu::settings::{EngineFaults, ResponseFault};
use foxwheel_http_client::client::{HttpClient, SendError};
use hyper::{Method, Request};

/// Limit of a request whose response is read.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Limit of a request that is left before it has a response.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of polls until a request that was left must have ended.
const MAX_POLLS: usize = 500;

fn completion(agent: &Agent, class: &str) -> Request<Bytes> {
    let body = r#"{"model": "draftsman", "prompt": "deck", "max_tokens": 9, "stream": true}"#;
    Request::builder()
        .method(Method::POST)
        .uri(format!("{}/v1/completions", agent.url))
        .header("content-type", "application/json")
        .header(CLASS_HEADER, class)
        .body(Bytes::from_static(body.as_bytes()))
        .expect("a request")
}

async fn start_with_stalled_engine(after_tokens: usize) -> Agent {
    let agent = Agent::start(BackendFault::None).await;
    let faults = EngineFaults {
        response_fault: Some(ResponseFault::Stall),
        after_tokens,
    };
    let url = format!("{}/faults", agent.backend_url);
    let set = agent.http.post(url).send_json(&faults).await;
    assert!(set.expect("faults").status().is_success());
    agent
}

async fn wait_until_idle(agent: &Agent, case: &str) {
    let mut load = serde_json::Value::Null;
    for _ in 0..MAX_POLLS {
        load = agent.load().await;
        let is_idle = ["running_online", "waiting_online", "running_batch"]
            .iter()
            .all(|count| load[count] == 0);
        if is_idle {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{case}: requests that were left still hold the agent: {load}");
}

/// The slot was held for as long as the engine was silent, which for an engine that hangs is for ever.
#[actix_web::test]
async fn slot_of_a_response_that_was_left_is_held_while_the_engine_is_silent() {
    for after_tokens in [0, 2] {
        let agent = start_with_stalled_engine(after_tokens).await;
        let client = HttpClient::default();
        let sent = client.send(completion(&agent, "online"), TIMEOUT).await;
        let response = sent.expect("a response");
        assert_eq!(agent.load().await["running_online"], 1);
        drop(response);
        wait_until_idle(&agent, &format!("stalled after {after_tokens}")).await;
    }
}

/// A batch response has no head before it is complete.
#[actix_web::test]
async fn slot_of_a_batch_request_that_was_left_is_held_while_the_engine_is_silent() {
    let agent = start_with_stalled_engine(2).await;
    let client = HttpClient::default();
    let sent = client
        .send(completion(&agent, "batch"), SHORT_TIMEOUT)
        .await;
    assert!(matches!(sent, Err(SendError::Timeout { .. })), "{sent:?}");
    wait_until_idle(&agent, "batch").await;
}

#[actix_web::test]
async fn request_that_was_left_keeps_its_place_in_the_queue() {
    let agent = start_with_stalled_engine(0).await;
    let client = HttpClient::default();
    let sent = client.send(completion(&agent, "online"), TIMEOUT).await;
    let response = sent.expect("a response");
    let waiting = client.send(completion(&agent, "online"), SHORT_TIMEOUT);
    assert!(matches!(waiting.await, Err(SendError::Timeout { .. })));
    drop(response);
    wait_until_idle(&agent, "waiting").await;
}
