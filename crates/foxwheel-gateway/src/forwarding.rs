//! Sends a request to a host of its deployment, and to another one after a failure if that is safe.
//!
//! [`foxwheel_policy::retry`] decides whether a request may be sent to another host after a failed
//! attempt. The same limit of attempts covers those that complete a response whose host was silent or
//! broke off ([`crate::hedging`]).

use std::future::Future;
use std::time::Duration;

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use actix_web::{HttpRequest, HttpResponse};
use bytes::Bytes;
use foxwheel_core::declarations::PriorityClass;
use foxwheel_core::http;
use foxwheel_core::ids::{DeploymentName, HostId};
use foxwheel_core::protocol::{self, RunState, REQUEST_ID_HEADER, RESUME_FROM_HEADER};
use foxwheel_http_client::client::{ClientResponse, SendError};
use foxwheel_http_client::forward;
use foxwheel_policy::retry::{AttemptOutcome, Attempts, NextStep};
use futures::future::{FutureExt, LocalBoxFuture};

use crate::filters::RequestContext;
use crate::hosts::{BackendHost, InFlightGuard};
use crate::state::{GatewayState, WorkerState};

/// Why no backend responded, with the response for the caller.
#[derive(Debug)]
pub enum SendFailure {
    /// No host ran the request, so the caller may send it again.
    NotRun(HttpResponse),
    /// A host may have run the request.
    Unknown(HttpResponse),
}

impl SendFailure {
    /// Returns the response for the caller.
    pub fn into_response(self) -> HttpResponse {
        match self {
            Self::NotRun(response) | Self::Unknown(response) => response,
        }
    }
}

/// A host's response, of which the head has been received.
pub struct HostResponse {
    /// The response, whose body is still to be read.
    pub response: ClientResponse,
    /// The host that responded.
    pub host: HostId,
    /// Counts the request as in flight at the host while the response is read.
    pub in_flight: InFlightGuard,
}

/// Result of one attempt at one host.
enum AttemptResult {
    /// The host responded.
    Responded(Box<ClientResponse>),
    /// The host did not respond within the request's timeout.
    TimedOut(SendFailure),
    /// The host gave no usable response. The failure, if any, is returned to the caller unless
    /// another host responds.
    Failed(AttemptOutcome, Option<SendFailure>),
}

/// An attempt at one host that has ended.
pub struct Attempted {
    host: HostId,
    in_flight: InFlightGuard,
    result: AttemptResult,
}

/// An attempt that gave no usable response.
#[derive(Debug)]
pub struct FailedAttempt {
    /// Whether the request may be sent to another host.
    pub may_try_another: bool,
    /// Whether the request's timeout has expired.
    has_timed_out: bool,
    /// The failure for the caller, if the host may have run the request.
    failure: Option<SendFailure>,
}

/// Why a request is not sent to a host again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exclusion {
    /// The host failed or did not complete its response.
    Failed,
    /// The host did not run the request. It may do so later.
    Rejected,
    /// The host was silent and was left for another one. It is used again if no other host is left.
    Silent,
}

/// A request that is being forwarded, with the attempts made so far.
pub struct OutboundRequest {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    deployment: DeploymentName,
    class: PriorityClass,
    idempotent: bool,
    timeout: Duration,
    /// Hosts that the request is not sent to again, and why.
    excluded_hosts: Vec<(HostId, Exclusion)>,
    attempts: Attempts,
    /// Number of tokens that the caller had received before this request; 0 unless it resumes a
    /// stream itself.
    caller_token_count: usize,
    /// Number of tokens delivered to the caller, which the next attempt resumes after; `None` if it
    /// requests the response from its start.
    resume_after: Option<usize>,
}

impl OutboundRequest {
    /// Creates the request to forward from the caller's request, which the filter chain has
    /// routed. Adds a request id if the caller sent none.
    pub fn new(
        state: &GatewayState,
        context: &RequestContext,
        req: &HttpRequest,
        body: Bytes,
    ) -> Self {
        let deployment = context.deployment.as_ref().expect("routed by MatchRules");
        let headers = forwarded_headers(req, context.class);
        let caller_token_count = headers
            .get(RESUME_FROM_HEADER)
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse().ok());
        Self {
            method: req.method().clone(),
            path: req.path().to_owned(),
            headers,
            body,
            deployment: deployment.name.clone(),
            class: context.class,
            idempotent: context.idempotent,
            timeout: Duration::from_millis(deployment.request_timeout_ms),
            excluded_hosts: Vec::new(),
            attempts: Attempts::new(context.idempotent, state.settings.max_attempts),
            caller_token_count: caller_token_count.unwrap_or(0),
            resume_after: None,
        }
    }

    /// Returns the limit of the wait for a host.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Excludes `host` from further attempts.
    pub fn exclude(&mut self, host: HostId, exclusion: Exclusion) {
        self.excluded_hosts.push((host, exclusion));
    }

    /// Allows the hosts again that were excluded for this reason.
    pub fn lift_exclusions(&mut self, lifted: Exclusion) {
        self.excluded_hosts
            .retain(|(_, exclusion)| *exclusion != lifted);
    }

    /// Makes the next attempt request the rest of the response, after `delivered_tokens` tokens in
    /// addition to those that the caller already had.
    pub fn resume_after(&mut self, delivered_tokens: usize) {
        self.resume_after = Some(delivered_tokens);
    }

    /// Picks a host and starts an attempt there. Hosts that run the request already are skipped.
    /// Returns `None` if the request may not run again or no host can take it.
    ///
    /// The attempt has to be concluded by [`Self::conclude_attempt`] or recorded by
    /// [`Self::record_abandoned_attempt`] before the next one is started.
    pub fn start_attempt(
        &self,
        state: &GatewayState,
        worker: &WorkerState,
        running_hosts: &[HostId],
    ) -> Option<LocalBoxFuture<'static, Attempted>> {
        // If responses that were cut off have used up the attempts, the request is not sent again.
        if self.attempts.may_have_run() && !self.attempts.may_run_again() {
            return None;
        }
        let backend = self
            .pick_host(state, running_hosts, |_| true)
            .or_else(|| self.pick_host(state, running_hosts, |e| e != Exclusion::Silent))?;
        let in_flight = InFlightGuard::start(&backend);
        let host = backend.member.host;
        let result = self.attempt_host(worker, backend.member.agent_addr);
        let attempted = async move {
            let result = result.await;
            Attempted {
                host,
                in_flight,
                result,
            }
        };
        Some(attempted.boxed_local())
    }

    /// Picks a host that does not run the request and is not excluded for a reason that `applies`.
    fn pick_host(
        &self,
        state: &GatewayState,
        running_hosts: &[HostId],
        applies: impl Fn(Exclusion) -> bool,
    ) -> Option<BackendHost> {
        let mut skipped = running_hosts.to_vec();
        let excluded = self.excluded_hosts.iter();
        skipped.extend(
            excluded
                .filter(|(_, exclusion)| applies(*exclusion))
                .map(|(host, _)| host.clone()),
        );
        let zone = &state.settings.zone;
        state
            .hosts
            .pick_host(&self.deployment, self.class, zone, &skipped)
    }

    /// Records the outcome of an attempt, which counts as a run if the host responded. Returns the
    /// response, or what the failure means for the request.
    pub fn conclude_attempt(
        &mut self,
        state: &GatewayState,
        attempted: Attempted,
    ) -> Result<HostResponse, Box<FailedAttempt>> {
        let Attempted {
            host,
            in_flight,
            result,
        } = attempted;
        let counters = &state.counters;
        let (outcome, failure) = match result {
            AttemptResult::Responded(response) => {
                self.attempts.record(AttemptOutcome::Unknown);
                return Ok(HostResponse {
                    response: *response,
                    host,
                    in_flight,
                });
            }
            AttemptResult::TimedOut(failure) => {
                self.attempts.record(AttemptOutcome::Unknown);
                self.exclude(host, Exclusion::Failed);
                return Err(Box::new(FailedAttempt {
                    may_try_another: false,
                    has_timed_out: true,
                    failure: Some(failure),
                }));
            }
            AttemptResult::Failed(outcome, failure) => (outcome, failure),
        };
        let may_try_another = self.attempts.record(outcome) == NextStep::TryAnother;
        if may_try_another {
            counters.incr(match outcome {
                AttemptOutcome::NotSent => "retried.never_reached",
                AttemptOutcome::Gone | AttemptOutcome::Rejected => "retried.not_run",
                AttemptOutcome::Failed | AttemptOutcome::Unknown => "retried.broke_off",
            });
        }
        let exclusion = match outcome {
            AttemptOutcome::NotSent | AttemptOutcome::Gone | AttemptOutcome::Rejected => {
                Exclusion::Rejected
            }
            AttemptOutcome::Failed | AttemptOutcome::Unknown => Exclusion::Failed,
        };
        self.exclude(host, exclusion);
        Err(Box::new(FailedAttempt {
            may_try_another,
            has_timed_out: false,
            failure,
        }))
    }

    /// Records an attempt that was dropped before its host responded. The host may run the request.
    pub fn record_abandoned_attempt(&mut self) {
        self.attempts.record(AttemptOutcome::Unknown);
    }

    /// Sends the request to hosts of its deployment until one responds or no further attempt is
    /// allowed. Returns the failure for the caller if no host responded.
    pub async fn send(
        &mut self,
        state: &GatewayState,
        worker: &WorkerState,
    ) -> Result<HostResponse, SendFailure> {
        let counters = &state.counters;
        let mut last_failure = None;
        while let Some(attempt) = self.start_attempt(state, worker, &[]) {
            let failed = match self.conclude_attempt(state, attempt.await) {
                Ok(host_response) => return Ok(host_response),
                Err(failed) => failed,
            };
            last_failure = failed.failure.or(last_failure);
            if failed.has_timed_out {
                counters.incr("failed.timeout");
                return Err(last_failure.expect("a timeout is a failure"));
            }
            if !failed.may_try_another {
                break;
            }
        }
        if self.attempts.give_up() == NextStep::RefuseNotRun {
            counters.incr("failed.not_run");
            return Err(self.no_backend_failure(state.settings.retry_after_s));
        }
        counters.incr("failed.unknown");
        Err(last_failure.unwrap_or_else(|| forward_failure("", &"its hosts broke off")))
    }

    /// Sends the request to the host at `agent_addr`.
    fn attempt_host(
        &self,
        worker: &WorkerState,
        agent_addr: String,
    ) -> impl Future<Output = AttemptResult> + 'static {
        let http = worker.http.clone();
        let method = self.method.clone();
        let url = format!("http://{agent_addr}{}", self.path);
        let headers = self.headers_to_send();
        let body = self.body.clone();
        let timeout = self.timeout;
        let idempotent = self.idempotent;
        async move {
            let sent = forward::forward_request(&http, &method, &url, &headers, body, timeout);
            attempt_result(sent.await, &agent_addr, idempotent)
        }
    }

    /// Returns the headers of the next attempt.
    fn headers_to_send(&self) -> HeaderMap {
        let mut headers = self.headers.clone();
        if let Some(delivered_tokens) = self.resume_after {
            let value = HeaderValue::from(self.caller_token_count + delivered_tokens);
            headers.insert(HeaderName::from_static(RESUME_FROM_HEADER), value);
        }
        headers
    }

    fn no_backend_failure(&self, retry_after_s: u64) -> SendFailure {
        SendFailure::NotRun(http::not_run_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_backend",
            format!("no host of '{}' could take the request", self.deployment),
            Some(retry_after_s),
        ))
    }
}

fn attempt_result(
    sent: Result<ClientResponse, SendError>,
    agent_addr: &str,
    idempotent: bool,
) -> AttemptResult {
    match sent {
        Ok(response) => match forward::read_run_state(&response) {
            Some(RunState::NotRun) => AttemptResult::Failed(AttemptOutcome::Rejected, None),
            Some(RunState::Unknown) if idempotent => {
                let failure = forward_failure(agent_addr, &"its backend broke off");
                AttemptResult::Failed(AttemptOutcome::Unknown, Some(failure))
            }
            Some(RunState::Unknown) | None => AttemptResult::Responded(Box::new(response)),
        },
        Err(e) if e.is_not_sent() => AttemptResult::Failed(AttemptOutcome::NotSent, None),
        Err(e) => {
            let failure = forward_failure(agent_addr, &e);
            match e {
                // The request's timeout has expired, so no time is left for another attempt.
                SendError::Timeout { .. } if idempotent => AttemptResult::TimedOut(failure),
                _ => AttemptResult::Failed(AttemptOutcome::Unknown, Some(failure)),
            }
        }
    }
}

/// Returns the failure for a request that a host may have received without giving a usable
/// response.
fn forward_failure(agent_addr: &str, reason: &dyn std::fmt::Display) -> SendFailure {
    let message = format!("forward to agent at {agent_addr}: {reason}");
    let status = StatusCode::BAD_GATEWAY;
    SendFailure::Unknown(http::unknown_run_state_response(
        status,
        "backend_failed",
        message,
    ))
}

/// Returns the caller's headers with the priority class, and with a new request id if the caller
/// sent none.
fn forwarded_headers(req: &HttpRequest, class: PriorityClass) -> HeaderMap {
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
