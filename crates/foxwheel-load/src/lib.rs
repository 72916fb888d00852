//! The load and experiment tool.
//!
//! An [`experiment::Experiment`] (JSON) names the gateways, the online arrival rates and
//! prompts, the batch jobs and the service calls. [`online`] sends open-loop arrivals from
//! a seeded generator and measures time to first token and time between tokens;
//! [`batch`] creates jobs (resending some, as clients do) and waits for them; [`services`]
//! sends non-idempotent calls, resending some with the same key; [`report`] checks the
//! brief's promises on what came back and prints the figures.

pub mod batch;
pub mod experiment;
pub mod online;
pub mod report;
pub mod services;
