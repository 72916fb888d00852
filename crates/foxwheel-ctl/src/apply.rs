//! Applies declarations to the platform store.
//!
//! Each object is written only if it is still at the version that this command read, so two
//! operators who apply at the same time cannot silently overwrite each other's changes.
//!
//! Deployments that the file does not name stay unchanged. The list of rules is replaced as a
//! whole.

use std::path::Path;

use foxwheel_core::declarations::{Deployment, Manifest, RuleSet};
use foxwheel_core::ids::Version;
use foxwheel_core::{keys, settings};
use foxwheel_store::client::{StoreClient, StoreError};

use crate::CtlError;

/// A write of one object that differs from its declaration.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Store key of the object.
    pub key: String,
    /// Version of the stored object when it was compared; 0 if it does not exist.
    pub from_version: Version,
    /// The value to write.
    pub value: serde_json::Value,
}

/// Reads and validates a declarations file. Returns an error if it cannot be read, is not valid
/// JSON, or a declaration is invalid.
pub fn read_manifest(path: &Path) -> Result<Manifest, CtlError> {
    let mut manifest: Manifest = settings::load(path)?;
    manifest.normalize();
    Ok(manifest)
}

fn declared_objects(manifest: &Manifest) -> Vec<(String, serde_json::Value)> {
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

/// Returns a change for every declared object whose stored value is missing or differs, without
/// writing anything. Fails if the store cannot be read.
pub async fn diff(store: &StoreClient, manifest: &Manifest) -> Result<Vec<Change>, CtlError> {
    let mut changes = Vec::new();
    for (key, value) in declared_objects(manifest) {
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

/// Writes `changes` in order, each on the condition that the object is still at
/// [`Change::from_version`], and returns the keys with their new versions.
///
/// Stops at the first write that fails; the writes before it stay. If the store's response to a
/// write was lost, the object is read back, and the write counts as done if the value is there.
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
                return Err(CtlError::ConcurrentChange {
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
                                "{} was not written; later objects were not tried",
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
