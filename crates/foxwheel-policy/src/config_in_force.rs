//! The configuration in force in one process, which only ever moves to newer versions.

use std::sync::Arc;

use crate::routes::Config;

/// Holds the newest configuration received since the process started.
#[derive(Debug, Clone, Default)]
pub struct ConfigInForce {
    /// Its version never decreases during the life of the process.
    current: Option<Arc<Config>>,
}

impl ConfigInForce {
    /// Puts `config` in force if its version is newer than the current one; returns whether it
    /// did.
    pub fn replace_if_newer(&mut self, config: Config) -> bool {
        if self.version() >= Some(config.version) {
            return false;
        }
        self.current = Some(Arc::new(config));
        true
    }

    /// Returns the configuration in force, or `None` before the first one.
    pub fn get(&self) -> Option<Arc<Config>> {
        self.current.clone()
    }

    /// Returns the version in force, or `None` before the first configuration.
    pub fn version(&self) -> Option<u64> {
        self.current.as_ref().map(|config| config.version)
    }
}
