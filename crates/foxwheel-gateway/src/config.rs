//! The configuration controller, which watches the deployments and rules in the store.
//!
//! A change is in force at this gateway as soon as the watch delivers it. The revision in force
//! never decreases: a response that is older than the configuration in force is ignored, so that
//! an applied configuration never reverts, not even through an outage of the store.

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
    /// Deployments, sorted by name.
    pub deployments: Vec<Deployment>,
    /// Ordered rules.
    pub rules: RuleSet,
    /// Revision of the store that this configuration was read at; 0 while none is in force.
    pub revision: Version,
}

impl ActiveConfig {
    /// Returns the deployment with this name.
    pub fn deployment(&self, name: &str) -> Option<&Deployment> {
        self.deployments
            .binary_search_by(|deployment| deployment.name.as_str().cmp(name))
            .ok()
            .map(|at| &self.deployments[at])
    }

    /// Builds the configuration from a snapshot of `config/`. Objects that cannot be decoded are
    /// skipped and logged, so that one bad write does not disable the rest.
    pub fn from_snapshot(snapshot: &Snapshot) -> Self {
        let mut config = Self {
            revision: snapshot.revision,
            ..Self::default()
        };
        for (key, (value, _)) in &snapshot.objects {
            if key == keys::RULES_KEY {
                match serde_json::from_value(value.clone()) {
                    Ok(rules) => config.rules = rules,
                    Err(e) => log::warn!("config: {key} cannot be decoded and is skipped: {e}"),
                }
            } else if key.starts_with(keys::DEPLOYMENTS_PREFIX) {
                match serde_json::from_value::<Deployment>(value.clone()) {
                    Ok(deployment) => config.deployments.push(deployment),
                    Err(e) => log::warn!("config: {key} cannot be decoded and is skipped: {e}"),
                }
            }
        }
        config.deployments.sort_by(|a, b| a.name.cmp(&b.name));
        config
    }
}

/// Shared handle to the configuration in force.
#[derive(Debug, Clone, Default)]
pub struct ConfigHandle {
    active: Arc<RwLock<Arc<ActiveConfig>>>,
}

impl ConfigHandle {
    /// Returns the configuration in force now.
    pub fn current(&self) -> Arc<ActiveConfig> {
        self.active.read().expect("config lock").clone()
    }

    /// Puts `config` in force if its revision is higher than that of the configuration in force.
    /// Returns whether it did.
    pub fn advance(&self, config: ActiveConfig) -> bool {
        let mut active = self.active.write().expect("config lock");
        if config.revision <= active.revision {
            return false;
        }
        *active = Arc::new(config);
        true
    }
}

/// Keeps `handle` up to date from the store until `cancel` is cancelled. Starts `reflector`, which
/// must be the one of `config/`.
pub async fn run_controller(
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
        let (deployment_count, rule_count) = (config.deployments.len(), config.rules.rules.len());
        if handle.advance(config) {
            log::info!(
                "config revision {revision} in force: {deployment_count} deployments, {rule_count} rules"
            );
        }
    }
}
