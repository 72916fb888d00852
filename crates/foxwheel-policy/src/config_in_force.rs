//! The configuration in force on one process: it only ever moves to newer versions.

use std::sync::Arc;

use crate::routes::Config;

/// Holds the newest configuration seen since the process started.
#[derive(Debug, Clone, Default)]
pub struct ConfigInForce {
    /// Its version never falls while the process lives.
    current: Option<Arc<Config>>,
}

impl ConfigInForce {
    /// Puts `config` in force if it is newer than what is; answers whether it did.
    pub fn replace_if_newer(&mut self, config: Config) -> bool {
        if self.version() >= Some(config.version) {
            return false;
        }
        self.current = Some(Arc::new(config));
        true
    }

    /// The configuration in force, or none before the first.
    pub fn get(&self) -> Option<Arc<Config>> {
        self.current.clone()
    }

    /// The version in force.
    pub fn version(&self) -> Option<u64> {
        self.current.as_ref().map(|config| config.version)
    }
}
