//! A stand-in for the platform's object API, for tests and the main job.
//!
//! It keeps objects in memory with a store-wide revision, answers the routes listed in
//! [`foxwheel_store::api`], counts every call, limits read and write rates, and injects the
//! faults the brief names (outage, slowness, a reply lost after the write took effect).

pub mod data_file;
pub mod server;
pub mod settings;
pub mod state;

/// The emulator's parts for `use foxwheel_platform_emu::prelude::*`.
pub mod prelude {
    pub use crate::{data_file, server, settings, state};
}
