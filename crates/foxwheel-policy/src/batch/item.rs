//! One item of a batch job: its request, its state, and the output received so far.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxwheel_core::ids::ItemId;
use serde::{Deserialize, Serialize};

use crate::stream_origin::StreamOrigin;

/// An item as its client submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemSpec {
    /// Id that the client chose; unique within its job.
    pub id: ItemId,
    /// Path of the request.
    pub path: String,
    /// Header names and values of the request.
    pub headers: Vec<(String, String)>,
    /// Body of the request. Clones share it.
    #[serde(with = "serde_with::As::<serde_with::base64::Base64>")]
    pub body: Bytes,
    /// Sum of the tokens of the prompt and of the longest possible output.
    pub tokens: u64,
}

impl ItemSpec {
    /// Returns the size of the item in bytes.
    pub fn size_bytes(&self) -> usize {
        let headers = self.headers.iter();
        let header_bytes: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        self.id.len() + self.path.len() + header_bytes + self.body.len()
    }
}

/// How a finished item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// The result contains the complete output.
    Completed,
    /// The item was given up and has no output.
    GivenUp,
}

/// The result of a finished item, as it is stored and returned to readers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Id of the item.
    pub id: ItemId,
    /// How the item ended.
    #[serde(rename = "ending")]
    pub outcome: ItemOutcome,
    /// Data of all events in order, joined by line feeds; empty if the item was given up. Clones
    /// share it.
    pub output: Arc<str>,
}

/// How long an item with events waits for a slot at a server of the version that wrote them while
/// servers of other versions have free slots. After that, it starts over there: at the end of a
/// release, the last servers of a version may stay full.
pub const MAX_VERSION_WAIT: Duration = Duration::from_secs(2);

/// The events received so far from the runs of an item. They are kept when a run ends early,
/// so that the next run can resume after the last event.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialOutput {
    /// Id of the last complete event; `None` before the first one.
    pub last_event_id: Option<u64>,
    /// The software that wrote the events. `None` before the first one, and in progress that was saved
    /// without it.
    #[serde(default)]
    pub origin: Option<StreamOrigin>,
    /// Data of the events up to `last_event_id`, joined by line feeds.
    pub text: String,
}

impl PartialOutput {
    /// Returns the number of events received. Event ids count from 1, so this is the last id.
    pub fn event_count(&self) -> u64 {
        self.last_event_id.unwrap_or(0)
    }

    /// Returns whether a run resumes after these events; otherwise it starts from the beginning.
    pub fn has_events(&self) -> bool {
        self.last_event_id.is_some()
    }

    /// Returns the software that wrote the events, which alone may go on with them. `None` if there
    /// are none, or if it is unknown.
    pub fn resumable_origin(&self) -> Option<&StreamOrigin> {
        self.origin.as_ref().filter(|_| self.has_events())
    }

    /// Records which software writes the events that follow, unless there are events already.
    pub fn begin(&mut self, origin: &StreamOrigin) {
        if !self.has_events() {
            self.origin = Some(origin.clone());
        }
    }

    /// Appends an event. Returns false and changes nothing if the event's id does not follow
    /// the last one; the first event may have any id.
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

/// Why a run of an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The response stream was complete.
    Whole,
    /// The server reported that the item can never succeed.
    Impossible,
    /// The server ran the item and reported a failure.
    Failed,
    /// The server did not run the item, or no request was sent.
    NotRun,
    /// The response stream was cut off; the events received before are kept.
    Broken,
    /// This worker stopped the run to free the slot.
    Preempted,
    /// The run was not started because servers crashed under the same content or part of a prompt.
    /// The item may be tried after this time.
    Quarantined(Duration),
}

/// State of an item on the worker that owns its job.
#[derive(Debug, Clone)]
pub enum ItemState {
    /// Waits for its next run.
    Waiting {
        /// Earliest start of the next run; `None` allows it immediately.
        not_before: Option<Instant>,
    },
    /// Runs at a backend server.
    Running,
    /// Finished, but the result is not stored yet.
    Finished(ItemResult),
    /// Finished, and the result is stored.
    Stored,
}
