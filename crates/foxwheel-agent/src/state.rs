//! State shared by the agent's request handlers and its control channel.

use std::sync::Arc;
use std::time::Duration;

use foxwheel_control::server::AgentHandle;
use foxwheel_core::ids::Version;
use foxwheel_core::protocol::{AgentConfig, LoadReport};
use foxwheel_core::telemetry::Counters;

use crate::gate::Gate;
use crate::queue::Queue;

/// The backend server that this agent forwards requests to.
#[derive(Clone)]
pub struct Backend {
    /// Base URL of the backend, without a trailing slash.
    pub base_url: String,
    /// Timeout of one forwarded request.
    pub timeout: Duration,
}

/// State shared by all request handlers of the agent.
pub struct AgentState {
    /// Queue of requests for the backend.
    pub queue: Queue,
    /// Batch gate, configured by gateways over the control channel.
    pub gate: Gate,
    /// Backend that requests are forwarded to.
    pub backend: Backend,
    /// Notified when the agent starts draining, so that the membership lease is renewed
    /// immediately.
    pub renewal_requested: Arc<tokio::sync::Notify>,
    /// Counters of this process.
    pub counters: Counters,
}

impl AgentHandle for AgentState {
    fn load(&self) -> LoadReport {
        LoadReport {
            config_revision: self.gate.config_revision(),
            ..self.queue.load_report()
        }
    }

    fn configure(&self, config: AgentConfig) -> Version {
        self.gate.configure(config)
    }
}
