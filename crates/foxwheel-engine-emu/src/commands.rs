//! Commands to the engine: load or unload a model, an adapter or a version, or change the role.
//! Each carries the fencing number of its sender.

use serde::{Deserialize, Serialize};

use foxwheel_core::ids::{FencingToken, ModelName};

use crate::settings::FencingMode;

/// The action that a command asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum CommandKind {
    /// Start to serve a model, an adapter or a version.
    LoadModel {
        /// The name of the model.
        model: ModelName,
    },
    /// Stop serving a model.
    UnloadModel {
        /// The name of the model.
        model: ModelName,
    },
    /// Change the role, e.g. to `prefill` or `decode`.
    ChangeRole {
        /// The new role.
        role: String,
    },
}

/// The body of `POST /orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The fencing number of the sender. A sender that took over from another has a larger one.
    pub fencing: FencingToken,
    /// The action to perform.
    #[serde(rename = "order")]
    pub kind: CommandKind,
}

/// The result of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandOutcome {
    /// The command was applied.
    Applied,
    /// The command was refused, because its fencing number is smaller than one received before.
    RefusedStale,
}

/// The models that the engine serves and its role. Only commands change them.
///
/// Invariant: `models` is sorted and free of duplicates; `highest_fencing` never decreases.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServingState {
    /// The models served, sorted.
    pub models: Vec<ModelName>,
    /// The role of the engine.
    pub role: String,
    /// The largest fencing number received.
    pub highest_fencing: FencingToken,
    /// Number of commands applied although their fencing number was old. It stays 0 unless the
    /// mode is [`FencingMode::Ignore`].
    pub stale_applied: u64,
}

impl ServingState {
    /// Returns the state of an engine that serves `models` in the role `mixed`.
    pub fn new(mut models: Vec<ModelName>) -> Self {
        models.sort();
        models.dedup();
        Self {
            models,
            role: "mixed".to_owned(),
            ..Self::default()
        }
    }

    /// Returns whether `model` is served.
    pub fn serves(&self, model: &str) -> bool {
        self.models
            .binary_search_by(|m| m.as_str().cmp(model))
            .is_ok()
    }

    /// Applies a command, or refuses it if its fencing number is old and `mode` says so.
    pub fn apply_command(&mut self, command: &Command, mode: FencingMode) -> CommandOutcome {
        let is_stale = command.fencing < self.highest_fencing;
        if is_stale && mode == FencingMode::Refuse {
            return CommandOutcome::RefusedStale;
        }
        if is_stale {
            self.stale_applied += 1;
        }
        self.highest_fencing = self.highest_fencing.max(command.fencing);
        match &command.kind {
            CommandKind::LoadModel { model } => {
                if let Err(index) = self.models.binary_search(model) {
                    self.models.insert(index, model.clone());
                }
            }
            CommandKind::UnloadModel { model } => {
                if let Ok(index) = self.models.binary_search(model) {
                    self.models.remove(index);
                }
            }
            CommandKind::ChangeRole { role } => self.role = role.clone(),
        }
        CommandOutcome::Applied
    }
}
