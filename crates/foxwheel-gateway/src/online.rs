//! Online completions: `POST /v1/chat/completions` and `POST /v1/completions`.
//!
//! The body is checked, the chain decides deployment and class, and the request goes to
//! one backend host. A request that no host received (connection refused, the agent
//! draining) is tried on another host, and so is an idempotent one whose host broke off
//! before answering. Once a host has answered, its answer, whatever it is, goes back to the
//! caller, streamed as it comes.

use actix_web::http::StatusCode;
use actix_web::{web, HttpRequest, HttpResponse};
use awc::error::SendRequestError;
use bytes::Bytes;

use foxwheel_core::declarations::Workload;
use foxwheel_core::http::{self, BackendResponse, Refused};
use foxwheel_core::ids::HostId;
use foxwheel_core::protocol::{self, REQUEST_ID_HEADER, WORKSPACE_HEADER};

use crate::filters::{self, Exchange};
use crate::hosts::InFlight;
use crate::server::{GatewayState, WorkerState};

/// Longest accepted request body, in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Why no backend answered.
#[derive(Debug)]
pub enum SendFailure {
    /// No host received the request: the caller may send it again.
    NotRun(HttpResponse),
    /// A host may have received it.
    Unknown(HttpResponse),
}

impl SendFailure {
    /// The answer for the caller.
    pub fn into_response(self) -> HttpResponse {
        match self {
            Self::NotRun(r) | Self::Unknown(r) => r,
        }
    }
}

/// Sends a request to a host of the exchange's deployment, at most `max_attempts` times.
/// Another host is tried while none has received the request or, when it is idempotent,
/// while none has answered it.
pub async fn send(
    state: &GatewayState,
    worker: &WorkerState,
    exchange: &Exchange,
    req: &HttpRequest,
    body: Bytes,
    path: &str,
    headers: &actix_web::http::header::HeaderMap,
) -> Result<(BackendResponse, InFlight), SendFailure> {
    let deployment = exchange.deployment.as_ref().expect("routed by MatchRules");
    let mut excluded: Vec<HostId> = Vec::new();
    let timeout = std::time::Duration::from_millis(deployment.request_timeout_ms);
    let mut broke_off = None;
    for _ in 0..state.settings.max_attempts {
        let Some(target) = state.hosts.pick(
            &deployment.name,
            exchange.class,
            &state.settings.zone,
            &excluded,
        ) else {
            break;
        };
        let in_flight = InFlight::start(&target);
        let url = format!("http://{}{}", target.member.agent_addr, path);
        let sent = http::forward(
            &worker.http,
            req.method().clone(),
            &url,
            headers,
            body.clone(),
            timeout,
        )
        .await;
        match sent {
            Ok(response) if http::says_not_run(&response) => {
                state.counters.incr("retried.not_run");
                excluded.push(target.member.host.clone());
            }
            Ok(response) => return Ok((response, in_flight)),
            Err(e) if http::send_never_reached(&e) => {
                state.counters.incr("retried.never_reached");
                excluded.push(target.member.host.clone());
            }
            Err(e) => {
                let failure = forward_failed(&target.member.agent_addr, &e);
                if !exchange.idempotent || matches!(e, SendRequestError::Timeout) {
                    state.counters.incr("failed.unknown");
                    return Err(failure);
                }
                state.counters.incr("retried.broke_off");
                broke_off = Some(failure);
                excluded.push(target.member.host.clone());
            }
        }
    }
    if let Some(failure) = broke_off {
        state.counters.incr("failed.unknown");
        return Err(failure);
    }
    state.counters.incr("failed.not_run");
    Err(SendFailure::NotRun(http::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "no_backend",
        format!("no host of '{}' could take the request", deployment.name),
        Some(state.settings.retry_after_s),
    )))
}

/// The answer when a host may have received the request and gave no answer.
fn forward_failed(agent_addr: &str, error: &SendRequestError) -> SendFailure {
    let status = match error {
        SendRequestError::Timeout => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    let message = format!("forward to agent at {agent_addr}: {error}");
    SendFailure::Unknown(http::unknown(status, "backend_failed", message))
}

/// Adds a request id when the caller sent none, and the class header from the exchange.
pub fn outgoing_headers(
    req: &HttpRequest,
    exchange: &Exchange,
) -> actix_web::http::header::HeaderMap {
    let mut headers = req.headers().clone();
    if !headers.contains_key(REQUEST_ID_HEADER) {
        let id = format!("fw-{:016x}", rand::random::<u64>());
        if let Ok(value) = id.parse() {
            headers.insert(
                actix_web::http::header::HeaderName::from_static(REQUEST_ID_HEADER),
                value,
            );
        }
    }
    let (name, value) = protocol::class_header(exchange.class);
    headers.insert(
        actix_web::http::header::HeaderName::from_static(name),
        actix_web::http::header::HeaderValue::from_static(value),
    );
    headers
}

fn bad_request(message: impl Into<String>) -> Refused {
    Refused::not_run(StatusCode::BAD_REQUEST, "bad_request", message, None)
}

/// Checks a completion body: JSON object with a string `model`.
pub fn check_body(body: &[u8]) -> Result<String, Refused> {
    let value: serde_json::Value =
        serde_json::from_slice(body).map_err(|e| bad_request(format!("body is not JSON: {e}")))?;
    let model = value
        .get("model")
        .and_then(|m| m.as_str())
        .ok_or_else(|| bad_request("body needs a string field `model`"))?;
    if value.get("messages").is_none() && value.get("prompt").is_none() {
        return Err(bad_request("body needs `messages` or `prompt`"));
    }
    Ok(model.to_owned())
}

/// The handler of both completion routes.
pub async fn complete(
    state: web::Data<GatewayState>,
    worker: web::Data<WorkerState>,
    req: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let model = match check_body(&body) {
        Ok(model) => model,
        Err(refused) => return refused.into_response(),
    };
    let mut exchange = Exchange::new(
        Workload::Online,
        req.path().to_owned(),
        state.config.current(),
    );
    exchange.model = Some(model);
    exchange.workspace = header_string(&req, WORKSPACE_HEADER);
    if let Err(refused) = filters::run(&state.chain, &mut exchange, &state.counters) {
        return refused.into_response();
    }
    let headers = outgoing_headers(&req, &exchange);
    match send(&state, &worker, &exchange, &req, body, req.path(), &headers).await {
        Ok((response, in_flight)) => http::relay(response, (in_flight, exchange.admitted)),
        Err(failure) => failure.into_response(),
    }
}

/// A header's value as a string, if present and readable.
pub fn header_string(req: &HttpRequest, name: &str) -> Option<String> {
    req.headers()
        .get(name)
        .and_then(|v| v.to_str().ok())
        .map(str::to_owned)
}
