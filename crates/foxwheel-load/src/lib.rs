//! The load and experiment tool.
//!
//! An [`experiment::Experiment`] (JSON) names the fleet, the load, the faults and the
//! service levels. [`run`] starts the fleet ([`fleet`]), sends the load and causes the
//! faults ([`faults`]); [`online`] sends open-loop arrivals from a seeded generator and
//! measures time to first token and time between tokens; [`batch`] creates jobs (resending
//! them, as clients do) and waits for them; [`services`] sends non-idempotent calls,
//! resending some with the same key. [`report`] checks the brief's promises on what came
//! back; [`burn`], [`timeline`], [`usage`] and [`plot`] make the figures. [`sweep`] runs an
//! experiment at many points and [`fit`] takes slopes from them; [`overhead`] compares a
//! gateway with a direct call, [`propagation`] times a change until it is in force.
//! [`model_report`] weighs variants of the decisions on `foxwheel-model`.

pub mod args;
pub mod batch;
pub mod burn;
pub mod experiment;
pub mod faults;
pub mod fit;
pub mod fleet;
pub mod model_report;
pub mod online;
pub mod overhead;
pub mod plot;
pub mod propagation;
pub mod report;
pub mod run;
pub mod services;
pub mod sweep;
pub mod timeline;
pub mod usage;
