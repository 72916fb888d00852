//! Declarations kept in version control: deployments and the ordered when-then rules.
//!
//! Operators write a [`Manifest`] as JSON and apply it with `foxwheel-ctl apply`; the
//! gateways read the applied objects from the platform store. Rules are tried in order and
//! the first that matches decides.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::{DeploymentName, ModelName, Zone};
use crate::settings::{Check, Problems};

/// What kind of back end a deployment serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// Model engines with an OpenAI-compatible API.
    Model,
    /// Plain HTTP services such as yardbook or emite-cartao.
    Service,
}

/// The priority class a request is admitted under.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PriorityClass {
    /// A caller is waiting: admitted first, never queued behind batch work.
    Online,
    /// Batch items: admitted only into spare capacity and preempted by online work.
    Batch,
}

impl PriorityClass {
    /// The class's name as sent in the `x-foxwheel-class` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Online => "online",
            Self::Batch => "batch",
        }
    }

    /// Parses the header value; anything unknown is `None`.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "online" => Some(Self::Online),
            "batch" => Some(Self::Batch),
            _ => None,
        }
    }
}

/// What an agent knows of the load on its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Signal {
    /// Sequences waiting in the engine, as it last reported; late by its reporting lag.
    EngineWaiting,
    /// The share of the engine's prefix cache in use, in percent, as it last reported.
    CacheUsedPercent,
    /// The 95th percentile of recent online requests' time to first token, in
    /// milliseconds, as the agent measured it.
    OnlineTtftP95Ms,
}

/// A signal and the value above which no batch work is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GateCheck {
    /// The signal.
    pub signal: Signal,
    /// The largest value at which batch work is admitted.
    pub at_most: u64,
}

/// What a gate rule does to a workspace's batch work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GateEffect {
    /// No check applies to it.
    Exempt,
    /// This percentage of its requests is refused on arrival, not run; the rest is checked.
    RejectPercent(u8),
    /// Only the checks of these signals apply to it.
    CheckOnly(Vec<Signal>),
}

/// An exception for one workspace, for a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GateRule {
    /// The workspace it is for.
    pub workspace: String,
    /// What it does.
    pub effect: GateEffect,
    /// It no longer counts from this Unix time on, in milliseconds; none: until removed.
    #[serde(default)]
    pub expires_unix_ms: Option<u64>,
}

/// When agents admit batch work beside online work.
///
/// The shape follows the multi-metric tablet throttler of Vitess (PR #15988): several
/// signals, each with its threshold, signals assigned per workload, and rules that expire.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchGate {
    /// All must hold for batch work to be admitted.
    pub checks: Vec<GateCheck>,
    /// In order; the first that names the workspace and has not expired counts.
    #[serde(default)]
    pub rules: Vec<GateRule>,
}

impl BatchGate {
    /// The rule that counts for `workspace` at `now_ms`.
    pub fn rule_for(&self, workspace: &str, now_ms: u64) -> Option<&GateRule> {
        self.rules
            .iter()
            .find(|r| r.workspace == workspace && r.expires_unix_ms.is_none_or(|t| now_ms < t))
    }
}

/// A deployment: a named set of backend servers of one kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Unique name, e.g. `draftsman`.
    pub name: DeploymentName,
    /// Model engines or plain services.
    pub backend: BackendKind,
    /// Models served, for `backend: model`; sorted and free of duplicates after [`Manifest::check`].
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Zones the replicas run in.
    pub zones: Vec<Zone>,
    /// Desired replica count across all zones.
    pub replicas: u32,
    /// Path prefixes whose calls may not be repeated (e.g. `/orders`); they require an
    /// `Idempotency-Key` header and are never retried. Sorted.
    #[serde(default)]
    pub non_idempotent_paths: Vec<String>,
    /// When agents admit batch work; none: whenever a slot is free.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub batch_gate: Option<BatchGate>,
    /// How long the gateway waits for a whole answer before giving up, in milliseconds.
    #[serde(default = "default_request_timeout_ms")]
    pub request_timeout_ms: u64,
}

fn default_request_timeout_ms() -> u64 {
    30_000
}

impl Deployment {
    /// Whether a call to `path` may not be repeated.
    pub fn is_non_idempotent(&self, path: &str) -> bool {
        self.non_idempotent_paths
            .iter()
            .any(|prefix| path.starts_with(prefix.as_str()))
    }
}

/// What a request looks like to the rules.
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

/// The facts about a request that rules match on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestAttributes<'a> {
    /// Online, batch or service.
    pub workload: Workload,
    /// The `model` field of a completion request.
    pub model: Option<&'a str>,
    /// The service named in `/services/{service}/...`.
    pub service: Option<&'a str>,
    /// The path after the service name, e.g. `/orders`.
    pub path: &'a str,
    /// The `x-foxwheel-workspace` header, if sent.
    pub workspace: Option<&'a str>,
}

/// A rule's condition; every field that is set must match.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Condition {
    /// Matches the workload kind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workload: Option<Workload>,
    /// Matches the request's model exactly.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelName>,
    /// Matches the service name exactly.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Matches when the path starts with this.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path_prefix: Option<String>,
    /// Matches the workspace exactly.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<String>,
}

impl Condition {
    /// Whether every set field matches `facts`.
    pub fn matches(&self, facts: &RequestAttributes<'_>) -> bool {
        self.workload.is_none_or(|w| w == facts.workload)
            && self.model.as_deref().is_none_or(|m| Some(m) == facts.model)
            && self
                .service
                .as_deref()
                .is_none_or(|s| Some(s) == facts.service)
            && self
                .path_prefix
                .as_deref()
                .is_none_or(|p| facts.path.starts_with(p))
            && self
                .workspace
                .as_deref()
                .is_none_or(|w| Some(w) == facts.workspace)
    }
}

/// What a matching rule does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "action", deny_unknown_fields)]
pub enum Action {
    /// Send the request to a deployment under a priority class.
    Route {
        /// The deployment's name.
        deployment: DeploymentName,
        /// The class it is admitted under.
        class: PriorityClass,
    },
    /// Refuse the request without running it.
    Reject {
        /// HTTP status, 400 to 599.
        status: u16,
        /// Told to the caller.
        message: String,
    },
}

/// One when-then rule.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Unique name, shown in logs and refusals.
    pub name: String,
    /// When it applies.
    #[serde(default)]
    pub when: Condition,
    /// What it does.
    pub then: Action,
}

/// The ordered rules; the first that matches decides.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleSet {
    /// In order of precedence.
    pub rules: Vec<Rule>,
}

impl RuleSet {
    /// The first rule whose condition matches, if any.
    pub fn first_match(&self, facts: &RequestAttributes<'_>) -> Option<&Rule> {
        self.rules.iter().find(|rule| rule.when.matches(facts))
    }
}

/// A file of declarations as operators write it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Deployments, by unique name.
    #[serde(default)]
    pub deployments: Vec<Deployment>,
    /// The ordered rules; replaced whole on apply, so that the order never mixes.
    #[serde(default)]
    pub rules: Vec<Rule>,
}

impl Manifest {
    /// Sorts the lists whose order carries no meaning, so that applies compare equal.
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
        let mut names: Vec<&str> = Vec::with_capacity(self.deployments.len());
        for (i, d) in self.deployments.iter().enumerate() {
            let field = |f: &str| format!("deployments[{i}].{f}");
            problems.require_non_empty(&field("name"), &d.name);
            if names.contains(&d.name.as_str()) {
                problems.add(field("name"), format!("repeats `{}`", d.name));
            }
            names.push(&d.name);
            if d.backend == BackendKind::Model && d.models.is_empty() {
                problems.add(field("models"), "must name a model");
            }
            if d.zones.is_empty() {
                problems.add(field("zones"), "must name a zone");
            }
            problems.require_positive(&field("request_timeout_ms"), d.request_timeout_ms);
            check_gate(d.batch_gate.as_ref(), &field("batch_gate"), problems);
        }
        let mut rule_names: Vec<&str> = Vec::with_capacity(self.rules.len());
        for (i, rule) in self.rules.iter().enumerate() {
            let field = |f: &str| format!("rules[{i}].{f}");
            problems.require_non_empty(&field("name"), &rule.name);
            if rule_names.contains(&rule.name.as_str()) {
                problems.add(field("name"), format!("repeats `{}`", rule.name));
            }
            rule_names.push(&rule.name);
            match &rule.then {
                Action::Route { deployment, .. } if !names.contains(&deployment.as_str()) => {
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

fn check_gate(gate: Option<&BatchGate>, field: &str, problems: &mut Problems) {
    for (i, rule) in gate.iter().flat_map(|gate| &gate.rules).enumerate() {
        problems.require_non_empty(&format!("{field}.rules[{i}].workspace"), &rule.workspace);
        if matches!(rule.effect, GateEffect::RejectPercent(percent) if percent > 100) {
            let field = format!("{field}.rules[{i}].effect.reject_percent");
            problems.add(field, "must be 0 to 100");
        }
    }
}
