//! Declarations that operators keep in version control: deployments and ordered routing rules.
//!
//! Operators write a [`Manifest`] in JSON and apply it with `foxwheel-ctl apply`. Gateways read the
//! applied objects from the platform's store. The first rule that matches a request decides what
//! happens to it.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::{DeploymentName, ModelName, Zone};
use crate::settings::{Check, Problems};

/// The kind of backend servers of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// Model engines with an OpenAI-compatible API.
    Model,
    /// Plain HTTP services, for example yardbook or emite-cartao.
    Service,
}

/// The priority class with which a request is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PriorityClass {
    /// Requests whose callers wait for the response. They are admitted first and never queued behind
    /// batch requests.
    Online,
    /// Batch items. They are admitted only if there is spare capacity, and online requests preempt
    /// them.
    Batch,
}

impl PriorityClass {
    /// Returns the value of the `x-foxwheel-class` header for this class.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Online => "online",
            Self::Batch => "batch",
        }
    }

    /// Parses the value of the `x-foxwheel-class` header. Returns `None` if it is unknown.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "online" => Some(Self::Online),
            "batch" => Some(Self::Batch),
            _ => None,
        }
    }
}

/// A measure of the load on an engine that its agent knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Signal {
    /// Number of sequences that wait in the engine, as of its last report, which lags behind.
    EngineWaiting,
    /// Percentage of the engine's prefix cache in use, as of its last report.
    CacheUsedPercent,
    /// 95th percentile of the time to first token of recent online requests, in milliseconds, as
    /// measured by the agent.
    OnlineTtftP95Ms,
}

/// A threshold of a signal above which no batch requests are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GateCheck {
    /// Signal that is compared.
    pub signal: Signal,
    /// Largest value of the signal at which batch requests are admitted.
    pub at_most: u64,
}

/// The effect of a gate rule on the batch requests of a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GateEffect {
    /// No check applies to them.
    Exempt,
    /// This percentage of them is refused on arrival without being run; all checks apply to the
    /// others.
    RejectPercent(u8),
    /// Only the checks of these signals apply to them.
    CheckOnly(Vec<Signal>),
}

/// An exception to the checks of a batch gate for one workspace, which may expire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GateRule {
    /// Workspace to which the rule applies.
    pub workspace: String,
    /// Effect of the rule.
    pub effect: GateEffect,
    /// Unix time in milliseconds from which the rule no longer applies; `None` if it never expires.
    #[serde(default)]
    pub expires_unix_ms: Option<u64>,
}

/// Conditions under which agents admit batch requests beside online requests.
///
/// The design follows the multi-metric tablet throttler of Vitess (PR #15988): several signals with
/// a threshold each, signals assigned to workloads, and rules that expire.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchGate {
    /// Checks that must all pass for a batch request to be admitted.
    pub checks: Vec<GateCheck>,
    /// Exceptions for workspaces. The first rule that names the workspace and has not expired applies.
    #[serde(default)]
    pub rules: Vec<GateRule>,
}

impl BatchGate {
    /// Returns the rule that applies to `workspace` at `now_unix_ms`.
    pub fn rule_for(&self, workspace: &str, now_unix_ms: u64) -> Option<&GateRule> {
        self.rules.iter().find(|rule| {
            rule.workspace == workspace
                && rule
                    .expires_unix_ms
                    .is_none_or(|expires_unix_ms| now_unix_ms < expires_unix_ms)
        })
    }
}

/// A deployment: a named set of backend servers of one kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Unique name, for example `draftsman`.
    pub name: DeploymentName,
    /// Kind of the backend servers.
    pub backend: BackendKind,
    /// Models that are served if `backend` is `model`. [`Manifest::normalize`] sorts them and removes
    /// duplicates.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Availability zones in which the replicas run.
    pub zones: Vec<Zone>,
    /// Desired number of replicas in all zones together.
    pub replicas: u32,
    /// Path prefixes of calls that must not be repeated, for example `/orders`. These calls require
    /// an `Idempotency-Key` header and are never retried. [`Manifest::normalize`] sorts the prefixes.
    #[serde(default)]
    pub non_idempotent_paths: Vec<String>,
    /// Conditions under which agents admit batch requests; `None` admits them whenever a slot is
    /// free.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub batch_gate: Option<BatchGate>,
    /// Time limit in milliseconds within which the gateway must receive the complete response.
    #[serde(default = "default_request_timeout_ms")]
    pub request_timeout_ms: u64,
}

fn default_request_timeout_ms() -> u64 {
    30_000
}

impl Deployment {
    /// Returns whether a call to `path` must not be repeated.
    pub fn is_non_idempotent(&self, path: &str) -> bool {
        self.non_idempotent_paths
            .iter()
            .any(|prefix| path.starts_with(prefix.as_str()))
    }
}

/// The kind of a request, as rules distinguish it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Workload {
    /// An online completion request.
    Online,
    /// An item of a batch job.
    Batch,
    /// A call to a plain service.
    Service,
}

/// The attributes of a request that the conditions of rules are matched against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestAttributes<'a> {
    /// Kind of the request.
    pub workload: Workload,
    /// Value of the `model` field of a completion request.
    pub model: Option<&'a str>,
    /// Service named in the path `/services/{service}/...`.
    pub service: Option<&'a str>,
    /// Path after the service name, for example `/orders`.
    pub path: &'a str,
    /// Value of the `x-foxwheel-workspace` header, if sent.
    pub workspace: Option<&'a str>,
}

/// The condition of a rule. Every field that is set must match.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Condition {
    /// Matches the kind of the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workload: Option<Workload>,
    /// Matches the exact model name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelName>,
    /// Matches the exact service name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Matches paths that start with this prefix.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path_prefix: Option<String>,
    /// Matches the exact workspace.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<String>,
}

impl Condition {
    /// Returns whether every field that is set matches `request`.
    pub fn matches(&self, request: &RequestAttributes<'_>) -> bool {
        self.workload
            .is_none_or(|workload| workload == request.workload)
            && self
                .model
                .as_deref()
                .is_none_or(|model| Some(model) == request.model)
            && self
                .service
                .as_deref()
                .is_none_or(|service| Some(service) == request.service)
            && self
                .path_prefix
                .as_deref()
                .is_none_or(|prefix| request.path.starts_with(prefix))
            && self
                .workspace
                .as_deref()
                .is_none_or(|workspace| Some(workspace) == request.workspace)
    }
}

/// The action of a rule.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "action", deny_unknown_fields)]
pub enum Action {
    /// Routes the request to a deployment with a priority class.
    Route {
        /// Name of the deployment.
        deployment: DeploymentName,
        /// Priority class with which the request is admitted.
        class: PriorityClass,
    },
    /// Refuses the request without running it.
    Reject {
        /// HTTP status of the refusal, 400 to 599.
        status: u16,
        /// Message to the caller.
        message: String,
    },
}

/// A rule: an action for the requests that match a condition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Unique name, shown in logs and refusals.
    pub name: String,
    /// Condition that a request must match.
    #[serde(default)]
    pub when: Condition,
    /// Action for matching requests.
    pub then: Action,
}

/// The ordered rules. The first rule that matches a request decides.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleSet {
    /// Rules in the order of precedence.
    pub rules: Vec<Rule>,
}

impl RuleSet {
    /// Returns the first rule whose condition matches `request`.
    pub fn first_match(&self, request: &RequestAttributes<'_>) -> Option<&Rule> {
        self.rules.iter().find(|rule| rule.when.matches(request))
    }
}

/// A file of declarations, as operators write it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Deployments, each with a unique name.
    #[serde(default)]
    pub deployments: Vec<Deployment>,
    /// Ordered rules. Applying the manifest replaces all rules together, so that the orders of old and
    /// new rules are never mixed.
    #[serde(default)]
    pub rules: Vec<Rule>,
}

impl Manifest {
    /// Sorts the lists whose order has no meaning, so that equal declarations compare as equal when
    /// they are applied again.
    pub fn normalize(&mut self) {
        self.deployments.sort_by(|a, b| a.name.cmp(&b.name));
        for deployment in &mut self.deployments {
            deployment.models.sort();
            deployment.models.dedup();
            deployment.zones.sort();
            deployment.non_idempotent_paths.sort();
        }
    }
}

impl Check for Manifest {
    fn check(&self, problems: &mut Problems) {
        let mut deployment_names: Vec<&str> = Vec::with_capacity(self.deployments.len());
        for (index, declared) in self.deployments.iter().enumerate() {
            let field = |name: &str| format!("deployments[{index}].{name}");
            problems.require_non_empty(&field("name"), &declared.name);
            if deployment_names.contains(&declared.name.as_str()) {
                problems.add(field("name"), format!("repeats `{}`", declared.name));
            }
            deployment_names.push(&declared.name);
            if declared.backend == BackendKind::Model && declared.models.is_empty() {
                problems.add(field("models"), "must name a model");
            }
            if declared.zones.is_empty() {
                problems.add(field("zones"), "must name a zone");
            }
            problems.require_positive(&field("request_timeout_ms"), declared.request_timeout_ms);
            check_gate(declared.batch_gate.as_ref(), &field("batch_gate"), problems);
        }
        let mut rule_names: Vec<&str> = Vec::with_capacity(self.rules.len());
        for (index, rule) in self.rules.iter().enumerate() {
            let field = |name: &str| format!("rules[{index}].{name}");
            problems.require_non_empty(&field("name"), &rule.name);
            if rule_names.contains(&rule.name.as_str()) {
                problems.add(field("name"), format!("repeats `{}`", rule.name));
            }
            rule_names.push(&rule.name);
            match &rule.then {
                Action::Route { deployment, .. }
                    if !deployment_names.contains(&deployment.as_str()) =>
                {
                    problems.add(
                        field("then.deployment"),
                        format!("names `{deployment}`, which is not declared"),
                    );
                }
                Action::Reject { status, .. } if !(400..=599).contains(status) => {
                    problems.add(field("then.status"), "must be 400 to 599");
                }
                _ => {}
            }
        }
    }
}

/// Adds the fields of a batch gate whose values are not valid. `field` is the path of the gate.
fn check_gate(gate: Option<&BatchGate>, field: &str, problems: &mut Problems) {
    for (index, rule) in gate.iter().flat_map(|gate| &gate.rules).enumerate() {
        problems.require_non_empty(
            &format!("{field}.rules[{index}].workspace"),
            &rule.workspace,
        );
        if matches!(rule.effect, GateEffect::RejectPercent(percent) if percent > 100) {
            let field = format!("{field}.rules[{index}].effect.reject_percent");
            problems.add(field, "must be 0 to 100");
        }
    }
}
