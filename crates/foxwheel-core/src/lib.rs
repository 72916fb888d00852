//! Types and functions shared by all foxwheel processes: ids, declarations, settings, errors,
//! HTTP helpers, logging and metrics.
//!
//! Other crates import the [`prelude`] and name items through their modules, for example
//! `declarations::RuleSet` or `settings::load`.

pub mod cli;
pub mod declarations;
pub mod error;
pub mod fingerprint;
pub mod http;
pub mod ids;
pub mod keys;
pub mod metric_names;
pub mod protocol;
pub mod settings;
pub mod settings_page;
pub mod shutdown;
pub mod structured_log;
pub mod telemetry;
pub mod time;

/// The modules that most processes need, for `use foxwheel_core::prelude::*`.
pub mod prelude {
    pub use crate::{
        cli, declarations, error, fingerprint, http, ids, keys, protocol, settings, shutdown,
        structured_log, telemetry, time,
    };
}
