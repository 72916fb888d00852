//! Running one batch item on a backend host.

use std::time::Duration;

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE};
use actix_web::http::{Method, StatusCode};
use bytes::Bytes;
use foxwheel_core::declarations::PriorityClass;
use foxwheel_core::http;
use foxwheel_core::ids::DeploymentName;
use foxwheel_core::protocol::{self, RunState, WORKSPACE_HEADER};

use crate::hosts::{HostTable, InFlight};

/// Largest answer read for one item, in bytes: what one store object holds, less its frame.
const MAX_ANSWER_BYTES: usize = 1_000_000;
/// How long one try may take.
const ITEM_TIMEOUT: Duration = Duration::from_secs(120);
/// Tries of an item that no host takes, before its chunk is given back.
const NOT_TAKEN_TRIES: u32 = 8;
/// The pause after the first try that no host took; it doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause between two tries.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// How running an item ended.
#[derive(Debug, Clone, PartialEq)]
pub enum ItemOutcome {
    /// The backend answered.
    Done(serde_json::Value),
    /// It can never be done: the backend refused the item itself.
    Failed(String),
    /// A backend received it and broke off or failed. This may be the item's own doing, so
    /// it counts as an attempt.
    BrokeOff(String),
    /// No backend received it; it does not count as an attempt.
    NotRun,
}

/// Sends items to the hosts of one deployment, as batch work.
#[derive(Clone)]
pub struct ItemRunner {
    /// The client requests go out on.
    pub http: awc::Client,
    /// The routing table.
    pub hosts: HostTable,
    /// The gateway's zone, preferred.
    pub zone: String,
    /// The deployment.
    pub deployment: DeploymentName,
    /// Whose work it is; empty when the caller named no workspace.
    pub workspace: String,
}

impl ItemRunner {
    /// Runs an item with this request `body`, waiting with growing pauses while no host
    /// takes it.
    pub async fn run(&self, body: serde_json::Value) -> ItemOutcome {
        let path = match body.get("messages") {
            Some(_) => "/v1/chat/completions",
            None => "/v1/completions",
        };
        let body = Bytes::from(whole_answer_request(body).to_string());
        let mut pause = FIRST_PAUSE;
        for _ in 0..NOT_TAKEN_TRIES {
            match self.try_once(path, body.clone()).await {
                ItemOutcome::NotRun => {}
                outcome => return outcome,
            }
            tokio::time::sleep(pause.mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
        ItemOutcome::NotRun
    }

    async fn try_once(&self, path: &str, body: Bytes) -> ItemOutcome {
        let class = PriorityClass::Batch;
        let Some(target) = self.hosts.pick(&self.deployment, class, &self.zone, &[]) else {
            return ItemOutcome::NotRun;
        };
        let _in_flight = InFlight::start(&target);
        let url = format!("http://{}{path}", target.member.agent_addr);
        let headers = batch_headers(&self.workspace);
        let sent =
            http::forward_request(&self.http, Method::POST, &url, &headers, body, ITEM_TIMEOUT);
        let broke_off = |e: &dyn std::fmt::Display| {
            ItemOutcome::BrokeOff(format!("{} broke off: {e}", target.member.host))
        };
        let mut response = match sent.await {
            Ok(response) if http::read_run_state(&response) == Some(RunState::NotRun) => {
                return ItemOutcome::NotRun
            }
            Ok(response) => response,
            Err(e) if http::is_connect_failure(&e) => return ItemOutcome::NotRun,
            Err(e) => return broke_off(&e),
        };
        let status = response.status();
        match response.body().limit(MAX_ANSWER_BYTES).await {
            Ok(answer) => outcome_of(status, &answer),
            Err(awc::error::PayloadError::Overflow) => ItemOutcome::Failed(format!(
                "the answer is larger than {MAX_ANSWER_BYTES} bytes"
            )),
            Err(e) => broke_off(&e),
        }
    }
}

/// The item's request, asking for a whole answer rather than a stream.
fn whole_answer_request(mut body: serde_json::Value) -> serde_json::Value {
    if let Some(object) = body.as_object_mut() {
        object.insert("stream".to_owned(), serde_json::Value::Bool(false));
    }
    body
}

fn batch_headers(workspace: &str) -> HeaderMap {
    let (name, value) = protocol::class_header(PriorityClass::Batch);
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(
        HeaderName::from_static(name),
        HeaderValue::from_static(value),
    );
    if let Ok(workspace) = HeaderValue::from_str(workspace) {
        headers.insert(HeaderName::from_static(WORKSPACE_HEADER), workspace);
    }
    headers
}

fn outcome_of(status: StatusCode, answer: &[u8]) -> ItemOutcome {
    let text = || String::from_utf8_lossy(answer).into_owned();
    if status.is_success() {
        return match serde_json::from_slice(answer) {
            Ok(value) => ItemOutcome::Done(value),
            Err(e) => ItemOutcome::BrokeOff(format!("the answer is not JSON: {e}")),
        };
    }
    if status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::REQUEST_TIMEOUT {
        return ItemOutcome::NotRun;
    }
    if status.is_client_error() {
        return ItemOutcome::Failed(format!("status {status}: {}", text()));
    }
    ItemOutcome::BrokeOff(format!("status {status}: {}", text()))
}
