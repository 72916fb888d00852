//! Applying declarations: each object is written only if it is still at the version this
//! command read, so two operators racing cannot silently overwrite each other.
//!
//! Deployments not named in the file are left as they are; the rules are replaced whole.

use std::path::Path;

use foxwheel_core::declarations::{Deployment, Manifest, RuleSet};
use foxwheel_core::ids::Version;
use foxwheel_core::{keys, settings};
use foxwheel_store::client::{StoreClient, StoreError};

use crate::CtlError;

/// One object that apply would write.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The store key.
    pub key: String,
    /// The version read; 0 when absent.
    pub from_version: Version,
    /// The value to write.
    pub value: serde_json::Value,
}

/// Reads and checks a declarations file.
pub fn read_manifest(path: &Path) -> Result<Manifest, CtlError> {
    let mut manifest: Manifest = settings::load(path)?;
    manifest.normalize();
    Ok(manifest)
}

fn desired(manifest: &Manifest) -> Vec<(String, serde_json::Value)> {
    let mut objects: Vec<(String, serde_json::Value)> = manifest
        .deployments
        .iter()
        .map(|d: &Deployment| {
            (
                keys::deployment(&d.name),
                serde_json::to_value(d).expect("deployment encodes"),
            )
        })
        .collect();
    let rules = RuleSet {
        rules: manifest.rules.clone(),
    };
    objects.push((
        keys::RULES_KEY.to_owned(),
        serde_json::to_value(rules).expect("rules encode"),
    ));
    objects
}

/// What apply would change: every object whose stored value differs.
pub async fn diff(store: &StoreClient, manifest: &Manifest) -> Result<Vec<Change>, CtlError> {
    let mut changes = Vec::new();
    for (key, value) in desired(manifest) {
        let (current, version) = match store.get(&key).await {
            Ok(object) => (Some(object.value), object.version),
            Err(StoreError::NotFound) => (None, 0),
            Err(e) => return Err(e.into()),
        };
        if current.as_ref() != Some(&value) {
            changes.push(Change {
                key,
                from_version: version,
                value,
            });
        }
    }
    Ok(changes)
}

/// Writes `changes`, each conditional on the version it was read at.
pub async fn apply(
    store: &StoreClient,
    changes: &[Change],
) -> Result<Vec<(String, Version)>, CtlError> {
    let mut written = Vec::with_capacity(changes.len());
    for change in changes {
        match store
            .put(&change.key, &change.value, Some(change.from_version))
            .await
        {
            Ok(object) => written.push((change.key.clone(), object.version)),
            Err(StoreError::Conflict { current_version }) => {
                return Err(CtlError::Raced {
                    key: change.key.clone(),
                    current_version,
                })
            }
            Err(StoreError::Unavailable { .. }) => {
                let took_effect = store
                    .get(&change.key)
                    .await
                    .ok()
                    .filter(|o| o.value == change.value);
                match took_effect {
                    Some(object) => written.push((change.key.clone(), object.version)),
                    None => {
                        return Err(CtlError::Store(StoreError::Unavailable {
                            step: "apply",
                            peer: store.base_url().to_owned(),
                            detail: format!(
                                "{} not written; nothing after it was tried",
                                change.key
                            ),
                        }))
                    }
                }
            }
            Err(e) => return Err(e.into()),
        }
    }
    Ok(written)
}
