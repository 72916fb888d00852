//! Checkpoints: saved progress of the items that a worker runs, from which another worker
//! resumes them after it takes over the jobs.
//!
//! Load pattern: a worker, or all processes together, is killed or loses power while the items
//! of its jobs fill the slots. Without checkpoints all these items run again from the start, at
//! the same time as the requests of returning callers, and finish after their due time.

use std::time::{Duration, Instant};

use foxwheel_core::ids::{ItemId, JobId};
use serde::{Deserialize, Serialize};

use crate::batch::item::{ItemOutcome, ItemState, PartialOutput};
use crate::batch::job::{ItemProgress, JobProgress};
use crate::batch::packing;

/// Shortest time between two checkpoints of a worker. A crash loses half of this time on average
/// for each running item; each checkpoint costs a call to the platform's store.
const MIN_CHECKPOINT_INTERVAL: Duration = Duration::from_millis(2_000);

/// Limit on the average rate at which a worker sends checkpoints to the store, so that larger
/// checkpoints are saved less often. It is a hundredth of the slowest link that the system runs
/// on (600 Mbit/s).
const MAX_CHECKPOINT_BYTES_PER_S: f64 = 750_000.0;

/// Space for the field names of a saved [`JobCheckpoint`].
const JOB_OVERHEAD_BYTES: usize = 64;

/// Saved progress of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemCheckpoint {
    /// Id of the item.
    pub id: ItemId,
    /// Number of runs that a server reported as failed.
    pub failures: u32,
    /// Output received so far; the text is the complete output if the item is completed.
    pub output: PartialOutput,
    /// How the item ended; `None` if it is unfinished.
    #[serde(rename = "ending")]
    pub outcome: Option<ItemOutcome>,
}

/// Saved progress of the items of a job. Items whose results are stored and items without any
/// progress are left out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCheckpoint {
    /// Id of the job.
    pub job: JobId,
    /// The items with progress, in the client's order.
    pub items: Vec<ItemCheckpoint>,
}

impl JobCheckpoint {
    /// Creates a checkpoint of what `progress` contains beyond the stored results. Returns
    /// `None` if there is nothing to save.
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

    /// Splits the checkpoint so that each one fits into `max_bytes`, except those of a single item that
    /// does not. `encoded_bytes` returns the size of an item as it is saved.
    pub fn split(
        self,
        max_bytes: usize,
        encoded_bytes: impl Fn(&ItemCheckpoint) -> usize,
    ) -> Vec<Self> {
        let max_items_bytes = max_bytes.saturating_sub(JOB_OVERHEAD_BYTES + self.job.len());
        let groups = packing::split_into_groups(&self.items, max_items_bytes, encoded_bytes);
        let checkpoints = groups.into_iter().map(|items| Self {
            job: self.job.clone(),
            items: items.to_vec(),
        });
        checkpoints.collect()
    }

    /// Applies the saved progress to `progress` where it is ahead of it. Only waiting items
    /// change; results that are finished or stored already stay as they are.
    pub fn restore(&self, progress: &mut JobProgress, now: Instant) {
        for saved in &self.items {
            let mut specs = progress.spec.items.iter();
            let Some(index) = specs.position(|spec| spec.id == saved.id) else {
                continue;
            };
            let item = &mut progress.items[index];
            if !matches!(item.state, ItemState::Waiting { .. }) {
                continue;
            }
            item.failures = item.failures.max(saved.failures);
            if saved.output.last_event_id > item.partial_output.last_event_id {
                item.partial_output = saved.output.clone();
                item.state = ItemState::Waiting {
                    not_before: Some(now),
                };
            }
            if let Some(outcome) = saved.outcome {
                item.partial_output = saved.output.clone();
                progress.finish_item(index, outcome, now);
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
                origin: item.partial_output.origin.clone(),
                text: result.output.to_string(),
            },
            Some(result.outcome),
        ),
        ItemState::Waiting { .. } | ItemState::Running => (item.partial_output.clone(), None),
    };
    let has_progress = outcome.is_some() || item.failures > 0 || output.last_event_id.is_some();
    has_progress.then(|| ItemCheckpoint {
        id: id.clone(),
        failures: item.failures,
        output,
        outcome,
    })
}

/// Decides when a worker saves the next checkpoint of its jobs.
#[derive(Debug, Clone, Copy, Default)]
pub struct CheckpointTimer {
    /// Earliest time of the next checkpoint; `None` before the first one.
    next_checkpoint_at: Option<Instant>,
}

impl CheckpointTimer {
    /// Returns whether a checkpoint may be saved now.
    pub fn is_due(&self, now: Instant) -> bool {
        self.next_checkpoint_at.is_none_or(|at| at <= now)
    }

    /// Records that a checkpoint of `bytes` was saved, which sets the earliest time of the next
    /// one.
    pub fn record_checkpoint(&mut self, bytes: usize, now: Instant) {
        let min_transfer_interval =
            Duration::from_secs_f64(bytes as f64 / MAX_CHECKPOINT_BYTES_PER_S);
        self.next_checkpoint_at = Some(now + MIN_CHECKPOINT_INTERVAL.max(min_transfer_interval));
    }
}
