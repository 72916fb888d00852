//! The filter chain every request passes before it is forwarded.
//!
//! The chain is a list of [`Filter`]s run in order on an [`Exchange`]; each either lets the
//! exchange through (having added to it) or answers with a refusal that says the request
//! did not run. Parsing and checking the body come first in the handlers, routing and
//! forwarding last, with retries where they are safe.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

use actix_web::http::StatusCode;

use foxwheel_core::declarations::{Action, Deployment, PriorityClass, RequestAttributes, Workload};
use foxwheel_core::http::Refused;
use foxwheel_core::telemetry::Counters;

use crate::config::ActiveConfig;

/// Told in `Retry-After` while no configuration is in force.
const NOT_READY_RETRY_S: u64 = 1;

/// A request on its way through the chain.
pub struct Exchange {
    /// Online, batch or service.
    pub workload: Workload,
    /// The `model` field, for completions.
    pub model: Option<String>,
    /// The service name, for service calls.
    pub service: Option<String>,
    /// The path rules match on: the service path, or the API path.
    pub path: String,
    /// The caller's workspace.
    pub workspace: Option<String>,
    /// The configuration in force when the request arrived; it stays the same for the
    /// request's whole life.
    pub config: Arc<ActiveConfig>,
    /// Set by [`MatchRules`]: whether the request may run more than once.
    pub idempotent: bool,
    /// Set by [`MatchRules`]: the rule that matched.
    pub rule: Option<String>,
    /// Set by [`MatchRules`]: the deployment routed to.
    pub deployment: Option<Deployment>,
    /// Set by [`MatchRules`]: the class admitted under.
    pub class: PriorityClass,
    /// Set by [`Admission`]: held while the request is in flight.
    pub admitted: Option<AdmissionGuard>,
}

impl Exchange {
    /// A new exchange for a request with these facts.
    pub fn new(workload: Workload, path: String, config: Arc<ActiveConfig>) -> Self {
        Self {
            workload,
            model: None,
            service: None,
            path,
            workspace: None,
            config,
            idempotent: true,
            rule: None,
            deployment: None,
            class: PriorityClass::Online,
            admitted: None,
        }
    }

    fn facts(&self) -> RequestAttributes<'_> {
        RequestAttributes {
            workload: self.workload,
            model: self.model.as_deref(),
            service: self.service.as_deref(),
            path: &self.path,
            workspace: self.workspace.as_deref(),
        }
    }
}

/// One step of the chain.
pub trait Filter: Send + Sync {
    /// The counter of this step's refusals.
    fn refusals(&self) -> &'static str;
    /// Lets the exchange through, or refuses it.
    fn apply(&self, exchange: &mut Exchange) -> Result<(), Refused>;
}

/// Runs `chain` in order; the first refusal ends it and is counted under its filter.
pub fn run(
    chain: &[Box<dyn Filter>],
    exchange: &mut Exchange,
    counters: &Counters,
) -> Result<(), Refused> {
    counters.incr(match exchange.workload {
        Workload::Online => "requests.online",
        Workload::Batch => "requests.batch",
        Workload::Service => "requests.service",
    });
    chain.iter().try_for_each(|filter| {
        let passed = filter.apply(exchange);
        if passed.is_err() {
            counters.incr(filter.refusals());
        }
        passed
    })
}

/// The ordered when-then rules: the first match decides the deployment and class.
pub struct MatchRules;

impl Filter for MatchRules {
    fn refusals(&self) -> &'static str {
        "refused.match_rules"
    }

    fn apply(&self, exchange: &mut Exchange) -> Result<(), Refused> {
        let config = exchange.config.clone();
        if config.revision == 0 {
            return Err(Refused::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "not_ready",
                "this gateway has no configuration yet",
                Some(NOT_READY_RETRY_S),
            ));
        }
        let Some(rule) = config.rules.first_match(&exchange.facts()) else {
            return Err(Refused::not_run(
                StatusCode::NOT_FOUND,
                "no_rule",
                "no rule matches this request",
                None,
            ));
        };
        match &rule.then {
            Action::Reject { status, message } => Err(Refused::not_run(
                StatusCode::from_u16(*status).unwrap_or(StatusCode::FORBIDDEN),
                "rejected_by_rule",
                format!("rule '{}': {message}", rule.name),
                None,
            )),
            Action::Route { deployment, class } => {
                let Some(found) = config.deployment(deployment) else {
                    return Err(Refused::not_run(
                        StatusCode::SERVICE_UNAVAILABLE,
                        "no_deployment",
                        format!(
                            "rule '{}' names deployment '{deployment}', which is not in force",
                            rule.name
                        ),
                        Some(1),
                    ));
                };
                exchange.rule = Some(rule.name.clone());
                exchange.deployment = Some(found.clone());
                exchange.class = *class;
                exchange.idempotent = exchange.workload != Workload::Service
                    || !found.is_non_idempotent(&exchange.path);
                Ok(())
            }
        }
    }
}

/// Held while an admitted request is in flight; frees its place when dropped.
#[derive(Debug)]
pub struct AdmissionGuard(Arc<AtomicU32>);

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Admission by priority class: online requests in flight are capped per gateway; over
/// the cap the caller is told to come back, and nothing ran.
pub struct Admission {
    /// Online requests in flight now.
    pub online_in_flight: Arc<AtomicU32>,
    /// The cap.
    pub online_max_in_flight: u32,
    /// Told to the caller when over the cap, in seconds.
    pub retry_after_s: u64,
}

impl Filter for Admission {
    fn refusals(&self) -> &'static str {
        "refused.admission"
    }

    fn apply(&self, exchange: &mut Exchange) -> Result<(), Refused> {
        if exchange.class != PriorityClass::Online {
            return Ok(());
        }
        let before = self.online_in_flight.fetch_add(1, Ordering::Relaxed);
        let guard = AdmissionGuard(self.online_in_flight.clone());
        if before >= self.online_max_in_flight {
            drop(guard);
            return Err(Refused::not_run(
                StatusCode::TOO_MANY_REQUESTS,
                "gateway_full",
                "too many online requests in flight on this gateway",
                Some(self.retry_after_s),
            ));
        }
        exchange.admitted = Some(guard);
        Ok(())
    }
}
