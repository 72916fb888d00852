//! A fault soak: real `foxwheel-front` and `foxwheel-worker` processes on loopback, with
//! faults brought in from outside them, and checks of every promise from what callers and
//! backend servers saw.
//!
//! A seed gives the [`plan`]; [`run`] carries it out against a [`fleet`] while [`callers`]
//! and [`jobs`] use it; what they saw is [`evidence`], which [`checks`] reads at the end.

pub mod args;
pub mod caller;
pub mod callers;
pub mod checks;
pub mod declarations;
pub mod evidence;
pub mod faults;
pub mod fleet;
pub mod jobs;
pub mod network;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod report;
pub mod run;
pub mod shrink;

/// The crate's modules, for `use foxwheel_soak::prelude::*`.
pub mod prelude {
    pub use crate::{caller, checks, evidence, fleet, plan, process, proxy, run};
}
