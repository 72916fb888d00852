//! Forwarding to the backend: online requests stream through holding their slot; batch
//! requests hold it until online work takes it, and go on later where they stopped.

use std::time::{Duration, Instant};

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse};
use bytes::Bytes;
use futures::StreamExt;

use foxwheel_core::declarations::PriorityClass;
use foxwheel_core::http::{self, BackendResponse};
use foxwheel_core::protocol::{RESUME_FROM_HEADER, WORKSPACE_HEADER};
use foxwheel_core::telemetry::Counters;

use crate::batch_answer::{self, BatchAnswer};
use crate::queue::{Permit, QueueError};
use crate::state::AgentState;

/// Largest whole batch answer read, in bytes.
const MAX_BATCH_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Told in `Retry-After` when every waiting place is taken or the backend is gone.
const RETRY_AFTER_S: u64 = 1;

fn not_queued(counters: &Counters, error: QueueError) -> HttpResponse {
    let (status, code, retry_after_s) = match error {
        QueueError::Draining => (StatusCode::SERVICE_UNAVAILABLE, "draining", 0),
        QueueError::Full => (StatusCode::TOO_MANY_REQUESTS, "queue_full", RETRY_AFTER_S),
    };
    counters.incr(match error {
        QueueError::Draining => "refused.draining",
        QueueError::Full => "refused.queue_full",
    });
    http::not_run_response(status, code, error.to_string(), Some(retry_after_s))
}

fn rejected_by_gate(counters: &Counters, workspace: &str) -> HttpResponse {
    counters.incr("refused.batch_gate");
    http::not_run_response(
        StatusCode::TOO_MANY_REQUESTS,
        "batch_gate",
        format!("a gate rule refuses a share of the batch work of '{workspace}'"),
        Some(RETRY_AFTER_S),
    )
}

/// A header's value, empty when absent or unreadable.
fn header<'a>(req: &'a HttpRequest, name: &str) -> &'a str {
    let value = req.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default()
}

fn not_answered(state: &AgentState, error: &AttemptError) -> HttpResponse {
    let message = format!("forward to backend {}: {error}", state.backend.base_url);
    if error.never_reached() {
        state.counters.incr("backend.gone");
        return http::not_run_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "backend_gone",
            message,
            Some(RETRY_AFTER_S),
        );
    }
    state.counters.incr("backend.broke_off");
    http::unknown_run_state_response(StatusCode::BAD_GATEWAY, "backend_failed", message)
}

/// Why one try on the backend gave no whole answer.
#[derive(Debug, thiserror::Error)]
enum AttemptError {
    #[error("send: {0}")]
    Send(#[from] awc::error::SendRequestError),
    #[error("read answer: {0}")]
    Read(#[from] awc::error::PayloadError),
    #[error("read answer: not an event stream of JSON: {0}")]
    Event(#[from] serde_json::Error),
    #[error("read answer: the stream ended before its last event")]
    CutShort,
}

impl AttemptError {
    /// Whether no byte of the request reached the backend.
    fn never_reached(&self) -> bool {
        matches!(self, Self::Send(e) if http::is_connect_failure(e))
    }
}

/// Runs one request on the backend under the queue's rules and answers it.
pub async fn handle(
    state: &AgentState,
    client: &awc::Client,
    req: &HttpRequest,
    body: Bytes,
    class: PriorityClass,
) -> HttpResponse {
    let arrived = Instant::now();
    let workspace = header(req, WORKSPACE_HEADER);
    if class == PriorityClass::Batch && state.gate.rejects(workspace, rand::random()) {
        return rejected_by_gate(&state.counters, workspace);
    }
    let permit = match state.queue.acquire(class, workspace).await {
        Ok(permit) => permit,
        Err(e) => return not_queued(&state.counters, e),
    };
    let attempt = Attempt {
        client,
        req,
        url: format!("{}{}", state.backend.base_url, path_and_query(req)),
        body,
        timeout: state.backend.timeout,
    };
    match class {
        PriorityClass::Online => {
            state.counters.incr("granted.online");
            match attempt.send().await {
                Ok(response) => {
                    let gate = state.gate.clone();
                    http::relay_with_first_chunk_callback(response, permit, move || {
                        gate.record_ttft(arrived.elapsed());
                    })
                }
                Err(e) => not_answered(state, &e.into()),
            }
        }
        PriorityClass::Batch => {
            state.counters.incr("granted.batch");
            run_batch(state, &attempt, permit, workspace).await
        }
    }
}

/// Runs a batch request to its end. Each time online work takes its slot it stops its
/// stream and waits; then it goes on after the tokens it has.
async fn run_batch(
    state: &AgentState,
    attempt: &Attempt<'_>,
    mut permit: Permit,
    workspace: &str,
) -> HttpResponse {
    let mut answer = BatchAnswer::default();
    loop {
        tokio::select! {
            reply = attempt.batch_reply(&mut answer) => {
                return reply.unwrap_or_else(|e| not_answered(state, &e));
            }
            () = permit.preempted().cancelled() => {
                drop(permit);
                state.counters.incr("preempted");
                permit = match state.queue.acquire_after_preemption(workspace).await {
                    Ok(permit) => permit,
                    Err(e) => return not_queued(&state.counters, e),
                };
            }
        }
    }
}

/// One request as it is sent to the backend.
struct Attempt<'a> {
    client: &'a awc::Client,
    req: &'a HttpRequest,
    url: String,
    body: Bytes,
    timeout: Duration,
}

impl Attempt<'_> {
    fn send(&self) -> awc::SendClientRequest {
        self.send_with(self.req.headers(), self.body.clone())
    }

    fn send_with(&self, headers: &HeaderMap, body: Bytes) -> awc::SendClientRequest {
        let method = self.req.method().clone();
        http::forward_request(self.client, method, &self.url, headers, body, self.timeout)
    }

    /// Streams the rest of a batch answer into `answer`, and gives it whole. A request that
    /// cannot be streamed, and an answer that is no stream, are passed on as they are.
    async fn batch_reply(&self, answer: &mut BatchAnswer) -> Result<HttpResponse, AttemptError> {
        let Some(body) = batch_answer::streaming_request(&self.body) else {
            return passed_on(self.send().await?).await;
        };
        let mut headers = self.req.headers().clone();
        headers.insert(
            HeaderName::from_static(RESUME_FROM_HEADER),
            HeaderValue::from(answer.tokens()),
        );
        let sent = self.send_with(&headers, body.into());
        let mut response = sent.await?;
        if !response.status().is_success() {
            return passed_on(response).await;
        }
        answer.start_stream();
        while !answer.is_whole() {
            let part = response.next().await.ok_or(AttemptError::CutShort)??;
            answer.feed(&part)?;
        }
        Ok(HttpResponse::Ok().json(std::mem::take(answer).into_json()))
    }
}

/// A whole answer of the backend, as it is.
async fn passed_on(mut response: BackendResponse) -> Result<HttpResponse, AttemptError> {
    let body = response.body().limit(MAX_BATCH_ANSWER_BYTES).await?;
    Ok(http::relayed_response_builder(&response).body(body))
}

/// The request's path and query as sent to the backend; `/services/<name>` is cut off.
pub fn path_and_query(req: &HttpRequest) -> String {
    let path = req.path();
    let path = match path.strip_prefix("/services/") {
        Some(rest) => rest.find('/').map(|at| &rest[at..]).unwrap_or("/"),
        None => path,
    };
    match req.query_string() {
        "" => path.to_owned(),
        q => format!("{path}?{q}"),
    }
}
