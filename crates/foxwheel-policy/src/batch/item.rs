//! One batch item and its partial output.

use std::time::Instant;

use foxwheel_core::ids::ItemId;
use serde::{Deserialize, Serialize};

/// An item as its client submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemSpec {
    /// The client's id of the item; unique within its job.
    pub id: ItemId,
    /// Path of the request.
    pub path: String,
    /// Header names and values of the request.
    pub headers: Vec<(String, String)>,
    /// The request's body.
    #[serde(with = "serde_with::As::<serde_with::base64::Base64>")]
    pub body: Vec<u8>,
    /// Tokens of the prompt and the longest output together.
    pub tokens: u64,
}

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// Its whole output stands in the result.
    Completed,
    /// It was given up.
    GivenUp,
}

/// A finished item as its job lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item's id.
    pub id: ItemId,
    /// How it ended.
    pub ending: ItemOutcome,
    /// Data of all events in order, joined by line feeds; empty when given up.
    pub output: String,
}

/// The events of an item's run received so far; kept over a break so that the run can go
/// on behind the last one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialOutput {
    /// Id of the last whole event, or none before the first.
    pub last_event_id: Option<u64>,
    /// Data of the events up to it, joined by line feeds.
    pub text: String,
}

impl PartialOutput {
    /// How many events it has; their ids count from 1.
    pub fn event_count(&self) -> u64 {
        self.last_event_id.unwrap_or(0)
    }

    /// Appends an event; answers false (and takes nothing) if it does not follow the last.
    pub fn push_event(&mut self, event_id: u64, data: &str) -> bool {
        if self.last_event_id.is_some_and(|last| event_id != last + 1) {
            return false;
        }
        if self.last_event_id.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.last_event_id = Some(event_id);
        true
    }
}

/// Why a run of an item stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The stream ended whole.
    Whole,
    /// The server says that the item can never be done.
    Impossible,
    /// The server ran the item and failed.
    Failed,
    /// The server did not run it, or nothing was sent.
    NotRun,
    /// The stream broke; what came before stays.
    Broken,
    /// This process stopped the run to free the slot.
    Preempted,
    /// It was not begun: servers crashed under its content.
    Quarantined,
}

/// The state of an item on the worker that runs its job.
#[derive(Debug, Clone)]
pub enum ItemState {
    /// Waits until `not_before` for its next run.
    Waiting {
        /// Earliest start of the next run.
        not_before: Option<Instant>,
    },
    /// Runs at a backend server.
    Running,
    /// Finished, and its result is not stored yet.
    Finished(ItemResult),
    /// Its result is stored.
    Stored,
}
