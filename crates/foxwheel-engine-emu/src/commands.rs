//! Orders to the engine (load a model, an adapter or a version, change role), each carrying
//! a fencing number.

use serde::{Deserialize, Serialize};

use foxwheel_core::ids::{FencingToken, ModelName};

use crate::settings::FencingMode;

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum CommandKind {
    /// Serve this model (or adapter, or version) from now on.
    LoadModel {
        /// The model's name.
        model: ModelName,
    },
    /// Stop serving this model.
    UnloadModel {
        /// The model's name.
        model: ModelName,
    },
    /// Take another role, e.g. `prefill` or `decode`.
    ChangeRole {
        /// The new role.
        role: String,
    },
}

/// An order as posted to `POST /orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The sender's fencing number; a newer sender has a larger one.
    pub fencing: FencingToken,
    /// What to do.
    #[serde(rename = "order")]
    pub kind: CommandKind,
}

/// What the engine did with an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandOutcome {
    /// Applied.
    Applied,
    /// Refused: its fencing number is older than one already seen.
    RefusedStale,
}

/// The engine's served models and role, changed only by orders.
///
/// Invariant: `models` is sorted and free of duplicates; `highest_fencing` never decreases.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServingState {
    /// Models served, sorted.
    pub models: Vec<ModelName>,
    /// The engine's role.
    pub role: String,
    /// The largest fencing number seen.
    pub highest_fencing: FencingToken,
    /// Orders applied although stale (only with [`FencingMode::Ignore`]).
    pub stale_applied: u64,
}

impl ServingState {
    /// Serves `models` in role `scrambled`.
    pub fn new(mut models: Vec<ModelName>) -> Self {
        models.sort();
        models.dedup();
        Self {
            models,
            role: "mixed".to_owned(),
            ..Self::default()
        }
    }

    /// Whether `model` is served.
    pub fn serves(&self, model: &str) -> bool {
        self.models
            .binary_search_by(|m| m.as_str().cmp(model))
            .is_ok()
    }

    /// Applies or refuses an order according to `mode`.
    pub fn apply_command(&mut self, command: &Command, mode: FencingMode) -> CommandOutcome {
        let stale = command.fencing < self.highest_fencing;
        if stale && mode == FencingMode::Refuse {
            return CommandOutcome::RefusedStale;
        }
        if stale {
            self.stale_applied += 1;
        }
        self.highest_fencing = self.highest_fencing.max(command.fencing);
        match &command.kind {
            CommandKind::LoadModel { model } => {
                if let Err(at) = self.models.binary_search(model) {
                    self.models.insert(at, model.clone());
                }
            }
            CommandKind::UnloadModel { model } => {
                if let Ok(at) = self.models.binary_search(model) {
                    self.models.remove(at);
                }
            }
            CommandKind::ChangeRole { role } => self.role = role.clone(),
        }
        CommandOutcome::Applied
    }
}
