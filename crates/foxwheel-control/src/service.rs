//! The calls a gateway makes to an agent.

use foxwheel_core::ids::Version;
use foxwheel_core::protocol::{AgentConfig, LoadReport};

/// Control calls, all idempotent: a lost answer may be asked for again.
#[tarpc::service]
pub trait AgentControl {
    /// The agent's load and drain state now.
    async fn load() -> LoadReport;
    /// Puts `config` in force if it is newer; answers the revision in force afterwards.
    async fn configure(config: AgentConfig) -> Version;
}
