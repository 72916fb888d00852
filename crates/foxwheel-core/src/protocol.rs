//! Messages and headers shared by foxwheel's own processes.
//!
//! The data path between gateway and agent is HTTP so that streams pass through unchanged;
//! these types are the JSON bodies and header names both sides agree on.

use serde::{Deserialize, Serialize};

use crate::declarations::{BatchGate, PriorityClass};
use crate::ids::{DeploymentName, HostId, Version, Zone};

/// Header carrying the request id end to end.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header carrying the priority class from gateway to agent.
pub const CLASS_HEADER: &str = "x-foxwheel-class";
/// Header carrying the caller's workspace.
pub const WORKSPACE_HEADER: &str = "x-foxwheel-workspace";
/// Header a caller sends with a non-idempotent call.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header on every refusal saying whether the request ran (`not_run` or `unknown`), so a
/// gateway can tell without reading the body.
pub const RUN_STATE_HEADER: &str = "x-foxwheel-run-state";
/// Header asking an engine to resume a stream after this many tokens already delivered.
pub const RESUME_FROM_HEADER: &str = "x-foxwheel-resume-from";
/// Header set when a stored answer to an earlier call with the same key is replayed.
pub const REPLAYED_HEADER: &str = "idempotent-replayed";

/// Whether a refused request ran on a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No backend received it: safe to send again.
    NotRun,
    /// A backend may have received it; a resend of a non-idempotent call must reuse its key.
    Unknown,
}

impl RunState {
    /// The value sent in [`RUN_STATE_HEADER`].
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// The body of every refusal the gateway or agent sends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Human-readable reason.
    pub message: String,
    /// A stable machine-readable code, e.g. `no_backend` or `store_unavailable`.
    pub code: String,
    /// Whether the request ran.
    pub run_state: RunState,
    /// When to come back, in seconds, if coming back can help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u64>,
}

/// The envelope around a refusal, as OpenAI-style clients expect (`{"error": {...}}`).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// The refusal.
    pub error: Refusal,
}

/// A member record: an agent's lease on its place in the host list, kept in the store under
/// `members/<deployment>/<host>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The host the agent runs on.
    pub host: HostId,
    /// The deployment its backend serves.
    pub deployment: DeploymentName,
    /// The agent's data-path address, `ip:port`.
    pub agent_addr: String,
    /// The agent's control channel address, `ip:port`.
    pub control_addr: String,
    /// The host's zone.
    pub zone: Zone,
    /// Whether it takes new work.
    pub state: MemberState,
    /// How long the lease lasts from each renewal, in milliseconds. Readers judge expiry by
    /// their own clock from when they saw the renewal, so clock skew does not matter. An
    /// expired record is removed; liveness between renewals is the control channel's.
    pub lease_ttl_ms: u64,
    /// Renewals so far; each renewal is a write, so that readers see a new version.
    pub renewals: u64,
}

/// Whether a member takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Takes new work.
    Ready,
    /// Leaving: finishes what it has and takes nothing new.
    Draining,
}

/// An agent's view of its own queue, answered on `GET /load` and to control polls.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests the backend runs at once; 0 before the agent was asked.
    #[serde(default)]
    pub slots: u32,
    /// Requests running on the backend, by class.
    pub running_online: u32,
    /// Batch requests running on the backend.
    pub running_batch: u32,
    /// Online requests waiting for a slot.
    pub waiting_online: u32,
    /// Batch requests waiting for spare capacity.
    pub waiting_batch: u32,
    /// Batch requests preempted by online work since start.
    pub preempted_total: u64,
    /// Whether the agent is draining.
    pub draining: bool,
    /// The configuration revision in force on the agent; 0 when none is.
    pub config_revision: Version,
    /// Whether the batch gate refuses some workspace's work now.
    pub gate_closed: bool,
}

/// The part of the configuration that agents need, pushed to them by gateways.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentConfig {
    /// The store revision it reflects; an agent only takes a larger one.
    pub revision: Version,
    /// When the agent admits batch work.
    pub batch_gate: Option<BatchGate>,
}

/// The class header's value for a class.
pub fn class_header(class: PriorityClass) -> (&'static str, &'static str) {
    (CLASS_HEADER, class.as_str())
}
