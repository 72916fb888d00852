//! Saved progress of the items that a worker runs, so that whoever takes its jobs over goes on
//! where it stopped.
//!
//! Load pattern: a worker, or every process at once, is killed or loses power while its jobs
//! fill the slots. Without saved progress all their items run again from the start, beside
//! the callers that return, and end after their due time.

use std::time::{Duration, Instant};

use foxwheel_core::ids::{ItemId, JobId};
use serde::{Deserialize, Serialize};

use crate::batch::item::{ItemOutcome, ItemState, PartialOutput};
use crate::batch::job::{ItemProgress, JobProgress};

/// Least time between two checkpoints of a worker. A crash costs half of it for each item
/// that runs; each checkpoint costs a call to the platform's store.
const EVERY: Duration = Duration::from_millis(2_000);

/// Most bytes a second that a worker's checkpoints take on its way to the store, so that
/// larger ones come more rarely: a hundredth of the slowest link met so far (600 Mbit/s).
const BYTES_PER_S: f64 = 750_000.0;

/// How far an item got.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemCheckpoint {
    /// The item.
    pub id: ItemId,
    /// Runs that a server answered as failed.
    pub failures: u32,
    /// Output received so far; the whole output if the item is completed.
    pub output: PartialOutput,
    /// How it ended, if it did.
    pub ending: Option<ItemOutcome>,
}

/// How far the items of a job got whose results are not stored; the others are left out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCheckpoint {
    /// The job.
    pub job: JobId,
    /// Its items, in the client's order.
    pub items: Vec<ItemCheckpoint>,
}

impl JobCheckpoint {
    /// What `progress` knows beyond the stored results; none if that is nothing.
    pub fn from_progress(progress: &JobProgress) -> Option<Self> {
        let specs = progress.spec.items.iter();
        let items = specs.zip(&progress.items);
        let items: Vec<ItemCheckpoint> = items
            .filter_map(|(spec, item)| item_checkpoint(&spec.id, item))
            .collect();
        (!items.is_empty()).then(|| Self {
            job: progress.spec.id.clone(),
            items,
        })
    }

    /// Takes over what is saved here and further than what `progress` has. Results that are
    /// stored already stay as they are.
    pub fn restore(&self, progress: &mut JobProgress, now: Instant) {
        for saved in &self.items {
            let mut specs = progress.spec.items.iter();
            let Some(at) = specs.position(|spec| spec.id == saved.id) else {
                continue;
            };
            let item = &mut progress.items[at];
            if !matches!(item.state, ItemState::Waiting { .. }) {
                continue;
            }
            item.failures = item.failures.max(saved.failures);
            if saved.output.last_event_id > item.partial_output.last_event_id {
                item.partial_output = saved.output.clone();
            }
            if let Some(outcome) = saved.ending {
                item.partial_output = saved.output.clone();
                progress.finish_item(at, outcome, now);
            }
        }
    }
}

fn item_checkpoint(id: &ItemId, item: &ItemProgress) -> Option<ItemCheckpoint> {
    let (output, outcome) = match &item.state {
        ItemState::Stored => return None,
        ItemState::Finished(result) => (
            PartialOutput {
                last_event_id: item.partial_output.last_event_id,
                text: result.output.clone(),
            },
            Some(result.ending),
        ),
        ItemState::Waiting { .. } | ItemState::Running => (item.partial_output.clone(), None),
    };
    let is_news = outcome.is_some() || item.failures > 0 || output.last_event_id.is_some();
    is_news.then(|| ItemCheckpoint {
        id: id.clone(),
        failures: item.failures,
        output,
        ending: outcome,
    })
}

/// When a worker saves the progress of its jobs.
#[derive(Debug, Clone, Copy, Default)]
pub struct CheckpointTimer {
    /// Earliest time of the next checkpoint; none before the first.
    next_at: Option<Instant>,
}

impl CheckpointTimer {
    /// Whether a checkpoint is due.
    pub fn is_due(&self, now: Instant) -> bool {
        self.next_at.is_none_or(|at| at <= now)
    }

    /// Takes note of a checkpoint of `bytes`.
    pub fn record_checkpoint(&mut self, bytes: usize, now: Instant) {
        let transfer = Duration::from_secs_f64(bytes as f64 / BYTES_PER_S);
        self.next_at = Some(now + EVERY.max(transfer));
    }
}
