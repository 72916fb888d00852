//! A fault soak: real `foxwheel-front` and `foxwheel-worker` processes on loopback, with
//! faults brought in from outside them, and checks of every promise from what callers and
//! backend servers saw.
//!
//! A seed gives the [`plan`]; [`run`] carries it out against a [`fleet`] while [`online_caller`]
//! and [`batch_client`] use it; what they saw is [`evidence`], which [`checks`] reads at the end.

pub mod args;
pub mod batch_client;
pub mod checks;
pub mod evidence;
pub mod faults;
pub mod fleet;
pub mod front_client;
pub mod network;
pub mod online_caller;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod report;
pub mod run;
pub mod shrink;
pub mod store_entries;

/// The crate's modules, for `use foxwheel_soak::prelude::*`.
pub mod prelude {
    pub use crate::{checks, evidence, fleet, front_client, plan, process, proxy, run};
}
