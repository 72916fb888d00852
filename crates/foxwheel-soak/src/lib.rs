//! A fault soak test: it runs real `foxwheel-front` and `foxwheel-worker` processes on loopback
//! addresses, injects faults from outside of them, and checks their promises against what callers
//! and backend servers observed.
//!
//! A seed determines the [`plan`]. [`run`] carries the plan out on a [`fleet`], while
//! [`online_caller`] and [`batch_client`] put load on it. Their observations are collected as
//! [`evidence`], which [`checks`] evaluates at the end.

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

/// Modules of this crate, for `use foxwheel_soak::prelude::*`.
pub mod prelude {
    pub use crate::{checks, evidence, fleet, front_client, plan, process, proxy, run};
}
