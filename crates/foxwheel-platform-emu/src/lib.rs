//! An emulator of the platform's object store, for tests and for the main job.
//!
//! It keeps objects in memory under a store-wide revision, serves the published API under
//! `/api/objects`, counts all calls, and limits the rates of reads and writes. It injects faults:
//! outages of several kinds, for all hosts or for some, slow responses, responses that are lost
//! though the write takes effect before or some time later, and the loss of the change history.

pub mod data_file;
pub mod server;
pub mod settings;
pub mod state;

/// The crate's modules, for `use foxwheel_platform_emu::prelude::*`.
pub mod prelude {
    pub use crate::{data_file, server, settings, state};
}
