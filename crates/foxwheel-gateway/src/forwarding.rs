//! Sending a request to a host of its deployment, and to another while that is safe.
//!
//! Whether a request may go to another host after a failed try is decided in
//! [`foxwheel_policy::retry`]; the tries are shared with those that finish its answer
//! ([`crate::answers`]).

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
use foxwheel_policy::retry::{AttemptOutcome, Attempts, NextStep};

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

/// What became of one try at one host.
enum Tried {
    /// It answered.
    Answered(BackendResponse),
    /// It gave no answer within the caller's time.
    TimedOut(SendFailure),
    /// It gave no usable answer; the failure is for the caller if no other host answers.
    Failed(AttemptOutcome, Option<SendFailure>),
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
    attempts: Attempts,
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
            attempts: Attempts::new(exchange.idempotent, state.settings.max_attempts),
            caller_has: caller_has.unwrap_or(0),
        }
    }

    /// Takes note that `host` broke off its answer; the request is not sent there again.
    pub fn broke_off(&mut self, host: HostId) {
        self.attempts.record(AttemptOutcome::Unknown);
        self.exclude(host);
    }

    fn exclude(&mut self, host: HostId) {
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
        // A request whose tries were used up by broken answers is not sent once more.
        let mut may_try = !self.attempts.may_have_run() || self.attempts.may_run_again();
        let mut broke_off = None;
        while may_try {
            let zone = &state.settings.zone;
            let picked = state
                .hosts
                .pick(&self.deployment, self.class, zone, &self.excluded);
            let Some(target) = picked else { break };
            let in_flight = InFlight::start(&target);
            let host = target.member.host;
            let tried = self.try_host(worker, &target.member.agent_addr).await;
            let (outcome, failure) = match tried {
                Tried::Answered(response) => {
                    return Ok(Answered {
                        response,
                        host,
                        in_flight,
                    })
                }
                Tried::TimedOut(failure) => {
                    counters.incr("failed.timeout");
                    return Err(failure);
                }
                Tried::Failed(outcome, failure) => (outcome, failure),
            };
            may_try = self.attempts.record(outcome) == NextStep::TryAnother;
            if may_try {
                counters.incr(match outcome {
                    AttemptOutcome::NotSent => "retried.never_reached",
                    AttemptOutcome::Gone | AttemptOutcome::Rejected => "retried.not_run",
                    AttemptOutcome::Failed | AttemptOutcome::Unknown => "retried.broke_off",
                });
            }
            broke_off = failure.or(broke_off);
            self.exclude(host);
        }
        if self.attempts.give_up() == NextStep::RefuseNotRun {
            counters.incr("failed.not_run");
            return Err(self.no_backend(state.settings.retry_after_s));
        }
        counters.incr("failed.unknown");
        Err(broke_off.unwrap_or_else(|| forward_failed("", &"its hosts broke off")))
    }

    async fn try_host(&self, worker: &WorkerState, agent_addr: &str) -> Tried {
        match self.send_to(worker, agent_addr).await {
            Ok(response) => match http::read_run_state(&response) {
                Some(RunState::NotRun) => Tried::Failed(AttemptOutcome::Rejected, None),
                Some(RunState::Unknown) if self.idempotent => {
                    let failure = forward_failed(agent_addr, &"its backend broke off");
                    Tried::Failed(AttemptOutcome::Unknown, Some(failure))
                }
                Some(RunState::Unknown) | None => Tried::Answered(response),
            },
            Err(e) if http::is_connect_failure(&e) => Tried::Failed(AttemptOutcome::NotSent, None),
            Err(e) => {
                let failure = forward_failed(agent_addr, &e);
                match e {
                    // The caller's time is spent.
                    SendRequestError::Timeout if self.idempotent => Tried::TimedOut(failure),
                    _ => Tried::Failed(AttemptOutcome::Unknown, Some(failure)),
                }
            }
        }
    }

    fn no_backend(&self, retry_after_s: u64) -> SendFailure {
        SendFailure::NotRun(http::not_run_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_backend",
            format!("no host of '{}' could take the request", self.deployment),
            Some(retry_after_s),
        ))
    }

    fn send_to(&self, worker: &WorkerState, agent_addr: &str) -> awc::SendClientRequest {
        http::forward_request(
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
    SendFailure::Unknown(http::unknown_run_state_response(
        status,
        "backend_failed",
        message,
    ))
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
