//! What the agent's request handlers and its control channel share.

use std::sync::Arc;
use std::time::Duration;

use foxwheel_control::server::AgentHandle;
use foxwheel_core::ids::Version;
use foxwheel_core::protocol::{AgentConfig, LoadReport};
use foxwheel_core::telemetry::Counters;

use crate::gate::Gate;
use crate::queue::Queue;

/// The backend this agent fronts.
#[derive(Clone)]
pub struct Backend {
    /// Its base URL.
    pub base_url: String,
    /// How long one request may take.
    pub timeout: Duration,
}

/// What every request handler shares.
pub struct AgentState {
    /// The local queue.
    pub queue: Queue,
    /// The batch gate.
    pub gate: Gate,
    /// The backend.
    pub backend: Backend,
    /// Asks the membership lease for an immediate write when the agent starts draining.
    pub membership_nudge: Arc<tokio::sync::Notify>,
    /// This process's counters.
    pub counters: Counters,
}

impl AgentHandle for AgentState {
    fn load(&self) -> LoadReport {
        LoadReport {
            config_revision: self.gate.revision(),
            ..self.queue.report()
        }
    }

    fn configure(&self, config: AgentConfig) -> Version {
        self.gate.configure(config)
    }
}
