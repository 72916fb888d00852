//! The configuration controller: the applied deployments and rules, watched from the store.
//!
//! A change is in force on this gateway as soon as the watch delivers it. The active
//! configuration only moves forward: an answer older than the one in force is ignored, so
//! an applied configuration never reverts, even across store outages.

use std::sync::{Arc, RwLock};

use tokio_util::sync::CancellationToken;

use foxwheel_core::declarations::{Deployment, RuleSet};
use foxwheel_core::ids::Version;
use foxwheel_core::keys;
use foxwheel_store::client::StoreClient;
use foxwheel_store::reflector::{Reflector, Snapshot};

/// The configuration in force.
#[derive(Debug, Clone, Default)]
pub struct ActiveConfig {
    /// Deployments sorted by name.
    pub deployments: Vec<Deployment>,
    /// The ordered rules.
    pub rules: RuleSet,
    /// The store revision this reflects; never decreases. 0 until something is in force.
    pub revision: Version,
}

impl ActiveConfig {
    /// The deployment named `name`.
    pub fn deployment(&self, name: &str) -> Option<&Deployment> {
        self.deployments
            .binary_search_by(|d| d.name.as_str().cmp(name))
            .ok()
            .map(|at| &self.deployments[at])
    }

    /// Builds the configuration from a snapshot of `config/`; objects that do not decode
    /// are skipped and logged, so one bad write cannot take the rest down.
    pub fn from_snapshot(snapshot: &Snapshot) -> Self {
        let mut config = Self {
            revision: snapshot.revision,
            ..Self::default()
        };
        for (key, (value, _)) in &snapshot.objects {
            if key == keys::RULES_KEY {
                match serde_json::from_value(value.clone()) {
                    Ok(rules) => config.rules = rules,
                    Err(e) => log::warn!("config: {key} does not decode: {e}"),
                }
            } else if key.starts_with(keys::DEPLOYMENTS_PREFIX) {
                match serde_json::from_value::<Deployment>(value.clone()) {
                    Ok(d) => config.deployments.push(d),
                    Err(e) => log::warn!("config: {key} does not decode: {e}"),
                }
            }
        }
        config.deployments.sort_by(|a, b| a.name.cmp(&b.name));
        config
    }
}

/// The shared handle to the configuration in force.
#[derive(Debug, Clone, Default)]
pub struct ConfigHandle {
    active: Arc<RwLock<Arc<ActiveConfig>>>,
}

impl ConfigHandle {
    /// The configuration in force now.
    pub fn current(&self) -> Arc<ActiveConfig> {
        self.active.read().expect("config lock").clone()
    }

    /// Puts `config` in force if it is newer than the one in force; returns whether it was.
    pub fn advance(&self, config: ActiveConfig) -> bool {
        let mut active = self.active.write().expect("config lock");
        if config.revision <= active.revision {
            return false;
        }
        *active = Arc::new(config);
        true
    }
}

/// Runs `reflector`, of `config/`, and keeps `handle` current until `cancel` fires.
pub async fn run(
    handle: ConfigHandle,
    reflector: Reflector,
    store: StoreClient,
    cancel: CancellationToken,
) {
    let mut changes = reflector.subscribe();
    actix_web::rt::spawn(reflector.clone().run(store, cancel.clone()));
    loop {
        tokio::select! {
            _ = cancel.cancelled() => return,
            changed = changes.changed() => if changed.is_err() { return },
        }
        let config = reflector.read(ActiveConfig::from_snapshot);
        let revision = config.revision;
        let (deployments, rules) = (config.deployments.len(), config.rules.rules.len());
        if handle.advance(config) {
            log::info!(
                "config revision {revision} in force: {deployments} deployments, {rules} rules"
            );
        }
    }
}
