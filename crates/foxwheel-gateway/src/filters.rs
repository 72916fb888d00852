//! The filter chain that every request passes before it is forwarded.
//!
//! The chain is a list of [`Filter`]s that are applied in order to a [`RequestContext`]. Each one
//! either admits the request and may add to the context, or refuses it, with a response that
//! states that the request did not run. The handlers parse and check the body before the chain
//! runs. After it they forward the request, with retries if those are safe.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

use actix_web::http::StatusCode;

use foxwheel_core::declarations::{Action, Deployment, PriorityClass, RequestAttributes, Workload};
use foxwheel_core::http::Refused;
use foxwheel_core::telemetry::Counters;

use crate::config::ActiveConfig;

/// `Retry-After` of refusals while no configuration is in force, in seconds.
const NOT_READY_RETRY_AFTER_S: u64 = 1;

/// A request that passes the filter chain, with what the filters have decided about it.
pub struct RequestContext {
    /// Kind of the request: online, batch or service.
    pub workload: Workload,
    /// `model` field of the body, for completions.
    pub model: Option<String>,
    /// Name of the service, for service calls.
    pub service: Option<String>,
    /// Path that rules match on: the path within the service, or the path of the API.
    pub path: String,
    /// Workspace of the caller.
    pub workspace: Option<String>,
    /// Configuration that was in force when the request arrived. It stays the same until the
    /// request ends.
    pub config: Arc<ActiveConfig>,
    /// Whether the request may run more than once. Set by [`MatchRules`].
    pub idempotent: bool,
    /// Name of the rule that matched. Set by [`MatchRules`].
    pub rule: Option<String>,
    /// Deployment that the request is routed to. Set by [`MatchRules`].
    pub deployment: Option<Deployment>,
    /// Priority class that the request is admitted under. Set by [`MatchRules`].
    pub class: PriorityClass,
    /// Guard that counts the request while it is in flight. Set by [`Admission`] for online
    /// requests.
    pub admission_guard: Option<AdmissionGuard>,
}

impl RequestContext {
    /// Creates the context of a request that no filter has been applied to.
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
            admission_guard: None,
        }
    }

    fn request_attributes(&self) -> RequestAttributes<'_> {
        RequestAttributes {
            workload: self.workload,
            model: self.model.as_deref(),
            service: self.service.as_deref(),
            path: &self.path,
            workspace: self.workspace.as_deref(),
        }
    }
}

/// One step of the filter chain.
pub trait Filter: Send + Sync {
    /// Returns the name of the counter of this filter's refusals.
    fn refusal_counter(&self) -> &'static str;
    /// Admits the request, adding to its context, or returns the refusal for the caller.
    fn apply(&self, context: &mut RequestContext) -> Result<(), Refused>;
}

/// Applies the filters of `chain` in order. Stops at the first refusal, counts it under the filter's
/// counter and returns it.
pub fn apply_chain(
    chain: &[Box<dyn Filter>],
    context: &mut RequestContext,
    counters: &Counters,
) -> Result<(), Refused> {
    counters.incr(match context.workload {
        Workload::Online => "requests.online",
        Workload::Batch => "requests.batch",
        Workload::Service => "requests.service",
    });
    chain.iter().try_for_each(|filter| {
        let result = filter.apply(context);
        if result.is_err() {
            counters.incr(filter.refusal_counter());
        }
        result
    })
}

/// Filter that matches the ordered when-then rules. The first rule that matches decides the
/// deployment and the priority class.
pub struct MatchRules;

impl Filter for MatchRules {
    fn refusal_counter(&self) -> &'static str {
        "refused.match_rules"
    }

    fn apply(&self, context: &mut RequestContext) -> Result<(), Refused> {
        let config = context.config.clone();
        if config.revision == 0 {
            return Err(Refused::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "not_ready",
                "this gateway has no configuration yet",
                Some(NOT_READY_RETRY_AFTER_S),
            ));
        }
        let Some(rule) = config.rules.first_match(&context.request_attributes()) else {
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
                let Some(found_deployment) = config.deployment(deployment) else {
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
                context.rule = Some(rule.name.clone());
                context.deployment = Some(found_deployment.clone());
                context.class = *class;
                context.idempotent = context.workload != Workload::Service
                    || !found_deployment.is_non_idempotent(&context.path);
                Ok(())
            }
        }
    }
}

/// Counts an admitted request as in flight until the guard is dropped.
#[derive(Debug)]
pub struct AdmissionGuard(Arc<AtomicU32>);

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Filter that limits the online requests in flight at this gateway. A request over the limit is
/// refused as not run, with a retry time. Requests of other classes are not limited here.
pub struct Admission {
    /// Number of online requests in flight now.
    pub online_in_flight: Arc<AtomicU32>,
    /// Maximum number of online requests in flight.
    pub online_max_in_flight: u32,
    /// `Retry-After` of refusals over the limit, in seconds.
    pub retry_after_s: u64,
}

impl Filter for Admission {
    fn refusal_counter(&self) -> &'static str {
        "refused.admission"
    }

    fn apply(&self, context: &mut RequestContext) -> Result<(), Refused> {
        if context.class != PriorityClass::Online {
            return Ok(());
        }
        let previous_count = self.online_in_flight.fetch_add(1, Ordering::Relaxed);
        let guard = AdmissionGuard(self.online_in_flight.clone());
        if previous_count >= self.online_max_in_flight {
            drop(guard);
            return Err(Refused::not_run(
                StatusCode::TOO_MANY_REQUESTS,
                "gateway_full",
                "too many online requests in flight on this gateway",
                Some(self.retry_after_s),
            ));
        }
        context.admission_guard = Some(guard);
        Ok(())
    }
}
