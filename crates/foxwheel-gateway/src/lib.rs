//! The gateway: a thin entry process that callers reach through the platform's load balancer.
//!
//! All gateways are equal. The body of a request is checked, then the request passes a filter
//! chain ([`filters`]), which matches the ordered rules and admits it by priority class, and is
//! routed to a backend host. Controllers read the configuration and the members from the
//! platform store ([`config`], [`hosts`]). The dispatcher of batch jobs leases chunks of items
//! from the store ([`batch::dispatch`]).

pub mod batch;
pub mod config;
pub mod control;
pub mod filters;
pub mod forwarding;
pub mod hedging;
pub mod hosts;
pub mod idempotency;
pub mod online;
pub mod response_relay;
pub mod server;
pub mod services;
pub mod settings;
pub mod state;

/// The gateway's modules, for `use foxwheel_gateway::prelude::*`.
pub mod prelude {
    pub use crate::{
        batch, config, filters, hosts, idempotency, online, server, services, settings, state,
    };
}
