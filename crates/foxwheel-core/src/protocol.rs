//! Messages and headers exchanged between gateways and agents, and with their callers.
//!
//! The data path between gateway and agent is HTTP, so that streams pass through unchanged. This
//! module defines the JSON bodies and the header names of both sides.

use serde::{Deserialize, Serialize};

use crate::declarations::{BatchGate, PriorityClass};
use crate::ids::{DeploymentName, HostId, Version, Zone};

/// Header with the request id, which is passed on from the caller to the backend.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the priority class, sent by the gateway to the agent.
pub const CLASS_HEADER: &str = "x-foxwheel-class";
/// Header with the caller's workspace.
pub const WORKSPACE_HEADER: &str = "x-foxwheel-workspace";
/// Header with the idempotency key, which a caller sends with a non-idempotent call.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header of every refusal that states whether the request ran (`not_run` or `unknown`), so that
/// a gateway does not have to read the body for this.
pub const RUN_STATE_HEADER: &str = "x-foxwheel-run-state";
/// Header that asks an engine to resume a stream after this many tokens, which the caller has
/// received already.
pub const RESUME_FROM_HEADER: &str = "x-foxwheel-resume-from";
/// Header that marks a replay of the stored response to an earlier call with the same idempotency
/// key.
pub const REPLAYED_HEADER: &str = "idempotent-replayed";

/// Whether a refused request may have run at a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No backend received the request, so it is safe to send it again.
    NotRun,
    /// A backend may have received the request. A non-idempotent call must be sent again with the
    /// same idempotency key.
    Unknown,
}

impl RunState {
    /// Returns the value of [`RUN_STATE_HEADER`].
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// A refusal, as gateways and agents send it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason for people to read.
    pub message: String,
    /// Stable code for programs to read, for example `no_backend` or `store_unavailable`.
    pub code: String,
    /// Whether the request may have run.
    pub run_state: RunState,
    /// Seconds after which to retry; `None` if a retry is of no use.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u64>,
}

/// The body of a refusal, in the form that OpenAI-style clients expect (`{"error": {...}}`).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// The refusal.
    pub error: Refusal,
}

/// An agent's lease on its entry in the list of hosts, stored under
/// `members/<deployment>/<host>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Host on which the agent runs.
    pub host: HostId,
    /// Deployment that the agent's backend serves.
    pub deployment: DeploymentName,
    /// Address of the agent's data path, `ip:port`.
    pub agent_addr: String,
    /// Address of the agent's control channel, `ip:port`.
    pub control_addr: String,
    /// Availability zone of the host.
    pub zone: Zone,
    /// Whether the agent accepts new work.
    pub state: MemberState,
    /// Duration of the lease from each renewal, in milliseconds. Readers measure it with their own
    /// clock from the time at which they saw the renewal, so clock skew does not matter. An expired
    /// record is removed; between renewals, the control channel checks liveness.
    pub lease_ttl_ms: u64,
    /// Number of renewals. Each renewal writes the record, so that readers see a new version.
    pub renewals: u64,
}

/// Whether a member accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member accepts new work.
    Ready,
    /// The member is shutting down: it finishes its current work and accepts none.
    Draining,
}

/// The load of an agent, returned by `GET /load` and by control polls.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests that the backend runs concurrently; 0 before the agent was polled.
    #[serde(default)]
    pub slots: u32,
    /// Online requests running on the backend.
    pub running_online: u32,
    /// Batch requests running on the backend.
    pub running_batch: u32,
    /// Online requests waiting for a slot.
    pub waiting_online: u32,
    /// Batch requests waiting for spare capacity.
    pub waiting_batch: u32,
    /// Batch requests preempted by online work since the agent started.
    pub preempted_total: u64,
    /// Whether the agent is draining.
    pub draining: bool,
    /// Revision of the configuration in force on the agent; 0 if there is none.
    pub config_revision: Version,
    /// Whether the batch gate currently refuses batch work of some workspace.
    pub gate_closed: bool,
}

/// The part of the configuration that agents need. Gateways send it to them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentConfig {
    /// Revision of the store from which it was read. An agent applies only larger revisions than
    /// its current one.
    pub revision: Version,
    /// Conditions under which the agent admits batch work.
    pub batch_gate: Option<BatchGate>,
}

/// Returns the name and value of the header for a priority class.
pub fn class_header(class: PriorityClass) -> (&'static str, &'static str) {
    (CLASS_HEADER, class.as_str())
}
