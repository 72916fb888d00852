//! An emulator of a backend server on the users' platform, for tests.
//!
//! It responds to plain requests, streams server-sent events, resumes streams, queues requests
//! beyond its slots, and fails as a test scripts it. It records every run, so that a test can
//! check what callers cannot see: which requests ran, how often, and with which content.

pub mod faults;
pub mod repeating_stream;
pub mod runs;
pub mod server;
pub mod unframed;

/// The crate's modules, for `use foxwheel_server_emu::prelude::*`.
pub mod prelude {
    pub use crate::{faults, repeating_stream, runs, server, unframed};
}
