//! A discrete-event model of engines that batch requests, know no priorities and admit in
//! order of arrival, under online traffic that comes in steps and batch work that fills what
//! it leaves.
//!
//! [`scenario`] says how large the fleet and the load are and which [`scenario::Variant`]s of
//! the decisions to weigh; [`world`] plays one variant with the decisions of
//! `foxwheel-policy`; [`engine`] is one engine; [`outcome`] holds the figures. The same seed
//! gives the same arrivals to every variant. Left out: faults, networks (but for the age of
//! what processes know of each other), prefix caches and memory.

pub mod arrivals;
pub mod engine;
pub mod loads;
pub mod outcome;
pub mod scenario;
pub mod world;

/// The modules that play a scenario, for `use foxwheel_model::prelude::*`.
pub mod prelude {
    pub use crate::{outcome, scenario, world};
}
