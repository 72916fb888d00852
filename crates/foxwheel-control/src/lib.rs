//! The control channel between gateways and agents.
//!
//! Gateways poll every agent over `tarpc`. The response shows that the agent is alive and contains
//! its load and drain state, so checking liveness puts no load on the platform store and does not
//! depend on it.
//!
//! [`service`] defines the calls, [`client`] is the gateway's side and [`server`] the agent's.

pub mod client;
pub mod server;
pub mod service;

/// The crate's modules, for `use foxwheel_control::prelude::*`.
pub mod prelude {
    pub use crate::{client, server, service};
}
