//! The agent: the one small foxwheel process beside each backend server.
//!
//! It keeps the local queue in front of its engine or service ([`queue`]), holds the
//! host's membership lease in the platform store ([`membership`]), forwards requests
//! ([`proxy`]) and drains when its host is leaving. Gateways reach it over HTTP.

pub mod admits;
pub mod batch_answer;
pub mod gate;
pub mod membership;
pub mod proxy;
pub mod queue;
pub mod server;
pub mod settings;
pub mod state;

/// The agent's parts for `use foxwheel_agent::prelude::*`.
pub mod prelude {
    pub use crate::{
        admits, batch_answer, gate, membership, proxy, queue, server, settings, state,
    };
}
