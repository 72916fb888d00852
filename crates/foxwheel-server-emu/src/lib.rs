//! A stand-in for a backend server of the users' platform, for tests.
//!
//! It answers plain requests and streams of events, resumes streams, queues what is over
//! its slots, and fails as scripted. It records every run, so that a test can assert what
//! callers cannot see: what ran, how often, and with what.

pub mod faults;
pub mod runs;
pub mod server;

/// The crate's modules, for `use foxwheel_server_emu::prelude::*`.
pub mod prelude {
    pub use crate::{faults, runs, server};
}
