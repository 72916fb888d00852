//! The agent: a sidecar process that runs beside each backend server.
//!
//! It queues requests for its engine or service ([`queue`]), renews the host's membership lease in
//! the platform store ([`membership`]), forwards requests to the backend ([`proxy`]) and drains
//! before its host shuts down. Gateways send requests to it over HTTP.

pub mod batch_admission;
pub mod batch_response;
pub mod gate;
pub mod membership;
pub mod proxy;
pub mod queue;
pub mod server;
pub mod settings;
pub mod state;

/// Re-exports the agent's modules for `use foxwheel_agent::prelude::*`.
pub mod prelude {
    pub use crate::{
        batch_admission, batch_response, gate, membership, proxy, queue, server, settings, state,
    };
}
