//! A discrete-event simulation of inference engines under online traffic and batch jobs.
//!
//! The engines batch requests, know no priorities and admit requests in order of arrival.
//! Online traffic alternates between a low and a high rate; batch items use the capacity that
//! it leaves.
//!
//! [`scenario`] defines the size of the fleet, the load, and the [`scenario::Variant`]s of the
//! scheduling decisions to compare; [`simulation`] runs one variant with the decisions of
//! `foxwheel-policy`; [`engine`] simulates one engine; [`outcome`] holds the results. A seed
//! gives every variant the same arrivals. The model leaves out faults, prefix caches, memory
//! and networks, except for the age of what processes know of each other's load.

pub mod arrivals;
pub mod engine;
pub mod loads;
pub mod outcome;
pub mod scenario;
pub mod simulation;

/// The modules needed to run a scenario, for `use foxwheel_model::prelude::*`.
pub mod prelude {
    pub use crate::{outcome, scenario, simulation};
}
