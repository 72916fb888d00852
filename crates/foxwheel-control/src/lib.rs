//! The control channel between gateways and agents.
//!
//! Gateways poll every agent over `tarpc` ([`service`]): the answer proves that the agent
//! is alive and carries its load and drain state, so liveness costs the platform store
//! nothing and does not depend on it. [`client`] is the gateway's side, [`server`] the
//! agent's.

pub mod client;
pub mod server;
pub mod service;

/// The control channel's parts for `use foxwheel_control::prelude::*`.
pub mod prelude {
    pub use crate::{client, server, service};
}
