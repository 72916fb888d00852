//! A stand-in for a model engine, for tests and the main job.
//!
//! It speaks the OpenAI-compatible completion API with server-sent events, batches
//! continuously with a per-token time model, keeps a prefix cache in limited memory,
//! publishes cache events late and with gaps, reports load with a lag, and takes orders
//! that carry a fencing number, which it refuses when old or ignores, as set.

pub mod cache;
pub mod commands;
pub mod openai;
pub mod server;
pub mod settings;
pub mod text;

/// The emulator's parts for `use foxwheel_engine_emu::prelude::*`.
pub mod prelude {
    pub use crate::{cache, commands, openai, server, settings, text};
}
