//! Forwards requests to the backend. An online request holds its slot until its response has been
//! streamed to the caller. A batch request gives up its slot when an online request needs it, and
//! later resumes where it stopped.

use std::time::{Duration, Instant};

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse};
use bytes::Bytes;

use foxwheel_core::declarations::PriorityClass;
use foxwheel_core::http;
use foxwheel_core::protocol::{RESUME_FROM_HEADER, WORKSPACE_HEADER};
use foxwheel_core::telemetry::Counters;
use foxwheel_http_client::client::{ClientResponse, HttpClient, ReadError, SendError};
use foxwheel_http_client::forward;

use crate::batch_response::{self, BatchResponse};
use crate::queue::{Permit, QueueError};
use crate::state::AgentState;

/// Maximum size of a batch response that is relayed without being streamed.
const MAX_BATCH_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Value of the `Retry-After` header when the queue is full, the batch gate rejects the request or
/// the backend cannot be reached.
const RETRY_AFTER_S: u64 = 1;

fn queue_error_response(counters: &Counters, error: QueueError) -> HttpResponse {
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

fn gate_rejection_response(counters: &Counters, workspace: &str) -> HttpResponse {
    counters.incr("refused.batch_gate");
    http::not_run_response(
        StatusCode::TOO_MANY_REQUESTS,
        "batch_gate",
        format!("a gate rule refuses a share of the batch work of '{workspace}'"),
        Some(RETRY_AFTER_S),
    )
}

/// Returns the value of a request header, or an empty string if it is absent or not valid text.
fn header_value<'a>(req: &'a HttpRequest, name: &str) -> &'a str {
    let value = req.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default()
}

/// Returns the response to a request for which the backend gave no complete response. It says that
/// the request has not run only if the backend could not be reached.
fn backend_error_response(state: &AgentState, error: &BackendError) -> HttpResponse {
    let message = format!("forward to backend {}: {error}", state.backend.base_url);
    if error.is_connect_failure() {
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

/// Reason why the backend gave no complete response to a request.
#[derive(Debug, thiserror::Error)]
enum BackendError {
    #[error("send: {0}")]
    Send(#[from] SendError),
    #[error("read answer: {0}")]
    Read(#[from] ReadError),
    #[error("read answer: not an event stream of JSON: {0}")]
    Event(#[from] serde_json::Error),
    #[error("read answer: the stream ended before its last event")]
    StreamCutOff,
}

impl BackendError {
    /// Returns whether no byte of the request reached the backend.
    fn is_connect_failure(&self) -> bool {
        matches!(self, Self::Send(e) if e.is_not_sent())
    }
}

/// Waits in the queue for a slot of `class`, forwards the request to the backend and returns the
/// response. Returns an error response if the batch gate or the queue refuses the request or the
/// backend fails.
pub async fn forward_request(
    state: &AgentState,
    client: &HttpClient,
    req: &HttpRequest,
    body: Bytes,
    class: PriorityClass,
) -> HttpResponse {
    let arrived_at = Instant::now();
    let workspace = header_value(req, WORKSPACE_HEADER);
    if class == PriorityClass::Batch && state.gate.should_reject(workspace, rand::random()) {
        return gate_rejection_response(&state.counters, workspace);
    }
    let permit = match state.queue.acquire(class, workspace).await {
        Ok(permit) => permit,
        Err(e) => return queue_error_response(&state.counters, e),
    };
    let backend_request = BackendRequest {
        client,
        req,
        url: format!("{}{}", state.backend.base_url, backend_path_and_query(req)),
        body,
        timeout: state.backend.timeout,
    };
    match class {
        PriorityClass::Online => {
            state.counters.incr("granted.online");
            match backend_request.send_unchanged().await {
                Ok(response) => {
                    let gate = state.gate.clone();
                    forward::relay_with_first_chunk_callback(response, permit, move || {
                        gate.record_ttft(arrived_at.elapsed());
                    })
                }
                Err(e) => backend_error_response(state, &e.into()),
            }
        }
        PriorityClass::Batch => {
            state.counters.incr("granted.batch");
            run_batch_request(state, &backend_request, permit, workspace).await
        }
    }
}

/// Runs a batch request until it ends. Each time an online request preempts it, it closes its
/// stream and waits for a slot; then it resumes after the tokens it has received.
async fn run_batch_request(
    state: &AgentState,
    backend_request: &BackendRequest<'_>,
    mut permit: Permit,
    workspace: &str,
) -> HttpResponse {
    let mut response = BatchResponse::default();
    loop {
        tokio::select! {
            result = backend_request.fetch_batch_response(&mut response) => {
                return result.unwrap_or_else(|e| backend_error_response(state, &e));
            }
            () = permit.preempted().cancelled() => {
                drop(permit);
                state.counters.incr("preempted");
                permit = match state.queue.acquire_after_preemption(workspace).await {
                    Ok(permit) => permit,
                    Err(e) => return queue_error_response(&state.counters, e),
                };
            }
        }
    }
}

/// A request as it is sent to the backend.
struct BackendRequest<'a> {
    client: &'a HttpClient,
    req: &'a HttpRequest,
    url: String,
    body: Bytes,
    timeout: Duration,
}

impl BackendRequest<'_> {
    async fn send_unchanged(&self) -> Result<ClientResponse, SendError> {
        self.send_with(self.req.headers(), self.body.clone()).await
    }

    async fn send_with(
        &self,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<ClientResponse, SendError> {
        let method = self.req.method();
        forward::forward_request(self.client, method, &self.url, headers, body, self.timeout).await
    }

    /// Streams the rest of a batch response into `received` and returns the complete response. A
    /// request that cannot be streamed is forwarded unchanged, and a response that is not a success
    /// is relayed unchanged.
    async fn fetch_batch_response(
        &self,
        received: &mut BatchResponse,
    ) -> Result<HttpResponse, BackendError> {
        let Some(body) = batch_response::to_streaming_request(&self.body) else {
            return relay_full_response(self.send_unchanged().await?).await;
        };
        let mut headers = self.req.headers().clone();
        headers.insert(
            HeaderName::from_static(RESUME_FROM_HEADER),
            HeaderValue::from(received.token_count()),
        );
        let mut response = self.send_with(&headers, body.into()).await?;
        if !response.status().is_success() {
            return relay_full_response(response).await;
        }
        received.begin_stream();
        while !received.is_complete() {
            let data = response.next_data().await?;
            let bytes = data.ok_or(BackendError::StreamCutOff)?;
            received.apply_bytes(&bytes)?;
        }
        Ok(HttpResponse::Ok().json(std::mem::take(received).into_json()))
    }
}

/// Reads the complete response of the backend and returns it unchanged. Returns an error if it is
/// larger than [`MAX_BATCH_RESPONSE_BYTES`] or cut off.
async fn relay_full_response(mut response: ClientResponse) -> Result<HttpResponse, BackendError> {
    let body = response.read_to_end(MAX_BATCH_RESPONSE_BYTES).await?;
    Ok(forward::relayed_response_builder(&response).body(body))
}

/// Returns the path and query that are sent to the backend: those of the request, without the
/// prefix `/services/<name>`.
pub fn backend_path_and_query(req: &HttpRequest) -> String {
    let path = req.path();
    let path = match path.strip_prefix("/services/") {
        Some(rest) => rest.find('/').map(|index| &rest[index..]).unwrap_or("/"),
        None => path,
    };
    match req.query_string() {
        "" => path.to_owned(),
        query => format!("{path}?{query}"),
    }
}
