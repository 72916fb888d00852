//! An emulator of a model engine, for tests and for the main job.
//!
//! It serves the OpenAI-compatible completion API with server-sent events, batches requests
//! continuously under a time model with a cost per token, and keeps a prefix cache of limited
//! size. It publishes cache events late and with gaps, and its load with a lag. Its commands
//! carry a fencing number; according to the settings, it refuses commands with an old number or
//! ignores the number.

pub mod cache;
pub mod commands;
pub mod openai;
pub mod server;
pub mod settings;
pub mod text;

/// The crate's modules, for `use foxwheel_engine_emu::prelude::*`.
pub mod prelude {
    pub use crate::{cache, commands, openai, server, settings, text};
}
