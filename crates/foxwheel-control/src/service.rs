//! The calls a gateway makes to an agent.

use foxwheel_core::protocol::LoadReport;

/// Control calls, all idempotent: a lost answer may be asked for again.
#[tarpc::service]
pub trait AgentControl {
    /// The agent's load and drain state now.
    async fn load() -> LoadReport;
}
