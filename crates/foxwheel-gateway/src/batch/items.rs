//! Runs one batch item on a backend host.

use std::time::Duration;

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE};
use actix_web::http::{Method, StatusCode};
use bytes::Bytes;
use foxwheel_core::declarations::PriorityClass;
use foxwheel_core::ids::DeploymentName;
use foxwheel_core::protocol::{self, RunState, WORKSPACE_HEADER};
use foxwheel_http_client::client::{HttpClient, ReadError};
use foxwheel_http_client::forward;

use crate::hosts::{HostTable, InFlightGuard};

/// Maximum size of an item's response, in bytes: what one object of the store can hold besides its
/// metadata.
const MAX_RESPONSE_BYTES: usize = 1_000_000;
/// Timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(120);
/// Maximum number of attempts that did not run the item, after which the item stays pending until
/// its chunk is taken again.
const MAX_NOT_RUN_TRIES: u32 = 8;
/// Delay after the first attempt that did not run the item. It doubles up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay between two attempts.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Outcome of running an item.
#[derive(Debug, Clone, PartialEq)]
pub enum ItemOutcome {
    /// The backend gave this response.
    Done(serde_json::Value),
    /// The item can never be done, because of its own content: the backend rejected it, or its
    /// response is too large.
    Failed(String),
    /// A backend received the item and failed or did not complete its response. The item itself may
    /// be the cause, so this counts as an attempt.
    AttemptFailed(String),
    /// No backend ran the item. This does not count as an attempt.
    NotRun,
}

/// Sends items to the hosts of one deployment in the batch class.
#[derive(Clone)]
pub struct ItemRunner {
    /// Client that sends the requests.
    pub http: HttpClient,
    /// Routing table of the backend hosts.
    pub hosts: HostTable,
    /// Zone of the gateway, whose hosts are preferred.
    pub zone: String,
    /// Deployment that the items are sent to.
    pub deployment: DeploymentName,
    /// Workspace of the job; empty if the caller named none.
    pub workspace: String,
}

impl ItemRunner {
    /// Runs an item with this request body. Retries with increasing delays while no host runs it, and
    /// returns [`ItemOutcome::NotRun`] if none did.
    pub async fn run_item(&self, body: serde_json::Value) -> ItemOutcome {
        let path = match body.get("messages") {
            Some(_) => "/v1/chat/completions",
            None => "/v1/completions",
        };
        let body = Bytes::from(request_without_streaming(body).to_string());
        let mut delay = MIN_RETRY_DELAY;
        for _ in 0..MAX_NOT_RUN_TRIES {
            match self.attempt_item(path, body.clone()).await {
                ItemOutcome::NotRun => {}
                outcome => return outcome,
            }
            tokio::time::sleep(delay.mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
        ItemOutcome::NotRun
    }

    async fn attempt_item(&self, path: &str, body: Bytes) -> ItemOutcome {
        let class = PriorityClass::Batch;
        let Some(host) = self
            .hosts
            .pick_host(&self.deployment, class, &self.zone, &[])
        else {
            return ItemOutcome::NotRun;
        };
        let _in_flight = InFlightGuard::start(&host);
        let url = format!("http://{}{path}", host.member.agent_addr);
        let headers = batch_request_headers(&self.workspace);
        let sent = forward::forward_request(
            &self.http,
            &Method::POST,
            &url,
            &headers,
            body,
            ATTEMPT_TIMEOUT,
        );
        let attempt_failed = |e: &dyn std::fmt::Display| {
            ItemOutcome::AttemptFailed(format!("{} broke off: {e}", host.member.host))
        };
        let mut response = match sent.await {
            Ok(response) if forward::read_run_state(&response) == Some(RunState::NotRun) => {
                return ItemOutcome::NotRun
            }
            Ok(response) => response,
            Err(e) if e.is_not_sent() => return ItemOutcome::NotRun,
            Err(e) => return attempt_failed(&e),
        };
        let status = forward::status(&response);
        match response.read_to_end(MAX_RESPONSE_BYTES).await {
            Ok(body) => outcome_from_response(status, &body),
            Err(ReadError::TooLarge { .. }) => ItemOutcome::Failed(format!(
                "the answer is larger than {MAX_RESPONSE_BYTES} bytes"
            )),
            Err(e) => attempt_failed(&e),
        }
    }
}

/// Returns the item's request, changed to request a response that is not streamed.
fn request_without_streaming(mut body: serde_json::Value) -> serde_json::Value {
    if let Some(object) = body.as_object_mut() {
        object.insert("stream".to_owned(), serde_json::Value::Bool(false));
    }
    body
}

fn batch_request_headers(workspace: &str) -> HeaderMap {
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

fn outcome_from_response(status: StatusCode, body: &[u8]) -> ItemOutcome {
    let text = || String::from_utf8_lossy(body).into_owned();
    if status.is_success() {
        return match serde_json::from_slice(body) {
            Ok(value) => ItemOutcome::Done(value),
            Err(e) => ItemOutcome::AttemptFailed(format!("the answer is not JSON: {e}")),
        };
    }
    if status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::REQUEST_TIMEOUT {
        return ItemOutcome::NotRun;
    }
    if status.is_client_error() {
        return ItemOutcome::Failed(format!("status {status}: {}", text()));
    }
    ItemOutcome::AttemptFailed(format!("status {status}: {}", text()))
}
