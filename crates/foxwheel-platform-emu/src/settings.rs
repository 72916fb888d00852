//! The settings of the platform emulator.

use std::path::PathBuf;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use foxwheel_core::settings::{Check, Problems};

/// Settings of `foxwheel-platform-emu`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address to listen on, e.g. `127.0.0.1:7100`.
    pub listen_addr: String,
    /// Writes allowed per second; further writes get status 429. The platform allows several
    /// hundred.
    #[serde(default = "default_write_limit")]
    pub write_limit_per_s: u64,
    /// Reads (gets, lists and watch calls) allowed per second; further reads get status 429. The
    /// platform allows about two thousand.
    #[serde(default = "default_read_limit")]
    pub read_limit_per_s: u64,
    /// File that keeps the objects across restarts, written at most every 100 ms and at a graceful
    /// stop. Without it, the objects are kept in memory only.
    #[serde(default)]
    pub data_file: Option<PathBuf>,
    /// Number of past changes kept for watches that start from an old version.
    #[serde(default = "default_history_len")]
    pub history_len: usize,
}

fn default_write_limit() -> u64 {
    500
}

fn default_read_limit() -> u64 {
    2_000
}

fn default_history_len() -> usize {
    100_000
}

impl PlatformSettings {
    /// Returns settings for tests: an ephemeral port, and rate limits that no test reaches.
    pub fn for_test() -> Self {
        Self {
            listen_addr: "127.0.0.1:0".to_owned(),
            write_limit_per_s: 10_000,
            read_limit_per_s: 10_000,
            data_file: None,
            history_len: 10_000,
        }
    }
}

impl Check for PlatformSettings {
    fn check(&self, problems: &mut Problems) {
        problems.require_non_empty("listen_addr", &self.listen_addr);
        problems.require_positive("write_limit_per_s", self.write_limit_per_s);
        problems.require_positive("read_limit_per_s", self.read_limit_per_s);
        problems.require_positive("history_len", self.history_len as u64);
    }
}
