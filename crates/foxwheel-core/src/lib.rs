//! Shared pieces of every foxwheel process: ids, declarations, settings, errors and telemetry.
//!
//! Each process crate imports the [`prelude`] and names items through their modules,
//! e.g. `declarations::RuleSet` or `settings::load`.

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

/// The modules most processes need, for `use foxwheel_core::prelude::*`.
pub mod prelude {
    pub use crate::{
        cli, declarations, error, fingerprint, http, ids, keys, protocol, settings, shutdown,
        structured_log, telemetry, time,
    };
}
