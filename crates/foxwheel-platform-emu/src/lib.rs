//! A stand-in for the platform's object store, for tests and the main job.
//!
//! It keeps objects in memory with a store-wide revision, answers the published calls under
//! `/api/objects`, counts every call, limits read and write rates, and injects faults:
//! outages in several ways and for some hosts only, slowness, answers lost after the write
//! took effect or before it does late, a history that is dropped.

pub mod data_file;
pub mod server;
pub mod settings;
pub mod state;

/// The emulator's parts for `use foxwheel_platform_emu::prelude::*`.
pub mod prelude {
    pub use crate::{data_file, server, settings, state};
}
