//! The load and experiment tool.
//!
//! An [`experiment::Experiment`] (a JSON file) defines the fleet, the load, the faults and the
//! service-level objective. [`run`] starts the fleet ([`fleet`]), sends the load and causes the
//! faults ([`faults`]). [`online`] sends open-loop arrivals from a seeded generator and
//! measures time to first token and time between tokens. [`batch`] creates jobs, each sent twice
//! as by a client that resends, and waits for them. [`services`] sends non-idempotent calls, some
//! of them twice with the same key. [`report`] checks the responses against the system's
//! guarantees; [`burn`], [`timeline`], [`usage`] and [`plot`] compute and draw the figures.
//!
//! [`sweep`] runs an experiment with varying values and [`fit`] fits linear models to the
//! results; [`overhead`] compares calls through a gateway with direct calls; [`propagation`]
//! measures the time until a change is in force; [`model_report`] compares variants of the
//! scheduling decisions with `foxwheel-model`.

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
