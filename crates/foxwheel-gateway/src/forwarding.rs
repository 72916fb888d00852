//! Sending a request to a host of its deployment, and to another while that is safe.
//!
//! A request that no host received (connection refused, the agent draining or full) is
//! tried on another host; one whose host broke off before answering only if it is
//! idempotent. Each request has a fixed number of tries, shared with those that finish its
//! answer ([`crate::answers`]).

use std::time::Duration;

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use actix_web::{HttpRequest, HttpResponse};
use awc::error::SendRequestError;
use bytes::Bytes;
use foxwheel_core::declarations::PriorityClass;
use foxwheel_core::http::{self, BackendResponse};
use foxwheel_core::ids::{DeploymentName, HostId};
use foxwheel_core::protocol::{self, RunState, REQUEST_ID_HEADER, RESUME_FROM_HEADER};

use crate::filters::Exchange;
use crate::hosts::InFlight;
use crate::state::{GatewayState, WorkerState};

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

/// A host's answer, as far as its head.
pub struct Answered {
    /// The answer.
    pub response: BackendResponse,
    /// The host it comes from.
    pub host: HostId,
    /// Counts the request on the host while the answer is read.
    pub in_flight: InFlight,
}

/// A request on its way, with the hosts it has been tried on.
pub struct Outbound {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    deployment: DeploymentName,
    class: PriorityClass,
    idempotent: bool,
    timeout: Duration,
    /// Hosts it is not to be sent to again.
    excluded: Vec<HostId>,
    tries_left: u32,
    /// Tokens the caller had before this request, if it resumes a stream itself.
    caller_has: usize,
}

impl Outbound {
    /// The caller's request as routed by the filter chain; gets a request id if it has none.
    pub fn new(state: &GatewayState, exchange: &Exchange, req: &HttpRequest, body: Bytes) -> Self {
        let deployment = exchange.deployment.as_ref().expect("routed by MatchRules");
        let headers = outgoing_headers(req, exchange.class);
        let caller_has = headers
            .get(RESUME_FROM_HEADER)
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse().ok());
        Self {
            method: req.method().clone(),
            path: req.path().to_owned(),
            headers,
            body,
            deployment: deployment.name.clone(),
            class: exchange.class,
            idempotent: exchange.idempotent,
            timeout: Duration::from_millis(deployment.request_timeout_ms),
            excluded: Vec::new(),
            tries_left: state.settings.max_attempts,
            caller_has: caller_has.unwrap_or(0),
        }
    }

    /// Never sends to `host` again.
    pub fn exclude(&mut self, host: HostId) {
        self.excluded.push(host);
    }

    /// Asks for the rest of the answer after `delivered` more tokens.
    pub fn resume_after(&mut self, delivered: usize) {
        let value = HeaderValue::from(self.caller_has + delivered);
        let name = HeaderName::from_static(RESUME_FROM_HEADER);
        self.headers.insert(name, value);
    }

    /// Sends the request to hosts of its deployment until one answers or the tries run out.
    pub async fn send(
        &mut self,
        state: &GatewayState,
        worker: &WorkerState,
    ) -> Result<Answered, SendFailure> {
        let counters = &state.counters;
        let mut broke_off = None;
        while self.tries_left > 0 {
            let zone = &state.settings.zone;
            let picked = state
                .hosts
                .pick(&self.deployment, self.class, zone, &self.excluded);
            let Some(target) = picked else { break };
            self.tries_left -= 1;
            let in_flight = InFlight::start(&target);
            let host = target.member.host;
            let agent_addr = target.member.agent_addr;
            match self.send_to(worker, &agent_addr).await {
                Ok(response) => match http::run_state_of(&response) {
                    Some(RunState::NotRun) => counters.incr("retried.not_run"),
                    Some(RunState::Unknown) if self.idempotent => {
                        counters.incr("retried.broke_off");
                        broke_off = Some(forward_failed(&agent_addr, &"its backend broke off"));
                    }
                    Some(RunState::Unknown) | None => {
                        return Ok(Answered {
                            response,
                            host,
                            in_flight,
                        })
                    }
                },
                Err(e) if http::send_never_reached(&e) => {
                    counters.incr("retried.never_reached");
                }
                Err(e) => {
                    let failure = forward_failed(&agent_addr, &e);
                    if !self.idempotent {
                        counters.incr("failed.unknown");
                        return Err(failure);
                    }
                    if matches!(e, SendRequestError::Timeout) {
                        // The caller's time is spent.
                        counters.incr("failed.timeout");
                        return Err(failure);
                    }
                    counters.incr("retried.broke_off");
                    broke_off = Some(failure);
                }
            }
            self.exclude(host);
        }
        if let Some(failure) = broke_off {
            counters.incr("failed.unknown");
            return Err(failure);
        }
        counters.incr("failed.not_run");
        Err(SendFailure::NotRun(http::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_backend",
            format!("no host of '{}' could take the request", self.deployment),
            Some(state.settings.retry_after_s),
        )))
    }

    fn send_to(&self, worker: &WorkerState, agent_addr: &str) -> awc::SendClientRequest {
        http::forward(
            &worker.http,
            self.method.clone(),
            &format!("http://{agent_addr}{}", self.path),
            &self.headers,
            self.body.clone(),
            self.timeout,
        )
    }
}

/// The answer when a host may have received the request and gave no answer.
fn forward_failed(agent_addr: &str, why: &dyn std::fmt::Display) -> SendFailure {
    let message = format!("forward to agent at {agent_addr}: {why}");
    let status = StatusCode::BAD_GATEWAY;
    SendFailure::Unknown(http::unknown(status, "backend_failed", message))
}

/// The caller's headers, with a request id when it sent none, and the class.
fn outgoing_headers(req: &HttpRequest, class: PriorityClass) -> HeaderMap {
    let mut headers = req.headers().clone();
    if !headers.contains_key(REQUEST_ID_HEADER) {
        let id = format!("fw-{:016x}", rand::random::<u64>());
        let id = HeaderValue::from_str(&id).expect("hex digits make a header value");
        headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), id);
    }
    let (name, value) = protocol::class_header(class);
    headers.insert(
        HeaderName::from_static(name),
        HeaderValue::from_static(value),
    );
    headers
}
