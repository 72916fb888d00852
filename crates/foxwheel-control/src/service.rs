//! The calls that a gateway makes to an agent.

use foxwheel_core::ids::Version;
use foxwheel_core::protocol::{AgentConfig, LoadReport};

/// Control calls. They are idempotent, so a call whose response was lost can be repeated.
#[tarpc::service]
pub trait AgentControl {
    /// Returns the current load and drain state of the agent.
    async fn load() -> LoadReport;
    /// Applies `config` if it is newer than the agent's configuration. Returns the revision in force
    /// afterwards.
    async fn configure(config: AgentConfig) -> Version;
}
