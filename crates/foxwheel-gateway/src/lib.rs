//! The gateway: the thin entry host that callers reach through the platform's balancer.
//!
//! All gateways are equal. Each request passes a filter chain ([`filters`]): check, match
//! the ordered rules, admit by priority class, route to a backend host. State comes from
//! controllers that read the platform store ([`config`], [`hosts`]) and, for batch jobs,
//! lease chunks of items from it ([`batch::dispatch`]).

pub mod answers;
pub mod batch;
pub mod config;
pub mod control;
pub mod filters;
pub mod forwarding;
pub mod hosts;
pub mod idempotency;
pub mod online;
pub mod server;
pub mod services;
pub mod settings;
pub mod state;

/// The gateway's parts for `use foxwheel_gateway::prelude::*`.
pub mod prelude {
    pub use crate::{
        batch, config, filters, hosts, idempotency, online, server, services, settings, state,
    };
}
