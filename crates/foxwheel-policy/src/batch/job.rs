//! Progress of a job on the worker that owns it: which item runs next, what the end of a run
//! means for its item, and which results are stored next.
//!
//! Results are stored as numbered parts, each of which can be created only once. A worker
//! creates part n only after it has applied parts 0 to n-1, so each item is stored in exactly
//! one part even if several workers run the job one after another or at the same time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_core::ids::JobId;
use serde::{Deserialize, Serialize};

use crate::batch::item::{ItemOutcome, ItemResult, ItemSpec, ItemState, PartialOutput, RunEnd};
use crate::batch::packing;
use crate::placement;

/// Delay before an item runs again after a run that does not count as a failure.
const RERUN_DELAY: Duration = Duration::from_millis(150);

/// Delay before an item runs again after a server reported a failure. The cause may be
/// short-lived.
const FAILED_RERUN_DELAY: Duration = Duration::from_millis(400);

/// Longest delay before an item whose request content is quarantined is checked again. Meanwhile
/// the same content may have been served elsewhere, which lifts the quarantine.
const QUARANTINE_RECHECK_DELAY: Duration = Duration::from_secs(2);

/// How long finished results wait for further results of an unfinished job, so that one write
/// stores several. If the worker crashes within this time, their items run again.
const STORE_DELAY: Duration = Duration::from_millis(2_500);

/// Time before a job is due from which on its finished results are stored without waiting for
/// further ones.
/// A slow store takes 250 ms for a write, and a reader polls about twice a second.
const STORE_BEFORE_DUE_MARGIN: Duration = Duration::from_millis(600);

/// Replaces [`STORE_DELAY`] when an item was given up. Until that is stored, a worker that
/// takes over the job would run the item and let it fail as many times again.
const STORE_GIVEN_UP_DELAY: Duration = Duration::from_millis(200);

/// A job as its client submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id that the client chose.
    pub id: JobId,
    /// Host header of the submission, and of the items.
    pub host: String,
    /// Path of the submission.
    pub path: String,
    /// Name of the route that accepted the job, which stays its route.
    pub route: String,
    /// Time of the submission, since the Unix epoch.
    #[serde(rename = "submitted_unix_ms")]
    #[serde(with = "serde_with::As::<serde_with::DurationMilliSeconds<u64>>")]
    pub submitted_unix: Duration,
    /// The items in the order in which the client sent them.
    pub items: Vec<ItemSpec>,
}

impl JobSpec {
    /// Returns the sum of the tokens of all items.
    pub fn total_tokens(&self) -> u64 {
        self.items.iter().map(|item| item.tokens).sum()
    }

    /// Returns the size of the items in bytes, as far as their client determines it.
    pub fn size_bytes(&self) -> usize {
        self.items.iter().map(ItemSpec::size_bytes).sum()
    }
}

/// Progress of one item.
#[derive(Debug, Clone)]
pub struct ItemProgress {
    /// State of the item.
    pub state: ItemState,
    /// Number of runs that a server reported as failed.
    pub failures: u32,
    /// Output received so far; empty once the result is finished.
    pub partial_output: PartialOutput,
}

impl ItemProgress {
    /// Returns for how long the item could have run already; zero if it may not run yet.
    pub fn waited(&self, now: Instant) -> Duration {
        match self.state {
            ItemState::Waiting {
                not_before: Some(since),
            } => now.saturating_duration_since(since),
            _ => Duration::ZERO,
        }
    }
}

/// Progress of a job.
#[derive(Debug, Clone)]
pub struct JobProgress {
    /// The job as it was submitted.
    pub spec: JobSpec,
    /// One entry for each item of `spec`, in the same order.
    pub items: Vec<ItemProgress>,
    /// Stored results, in the order of the stored parts.
    pub stored_results: Vec<ItemResult>,
    /// Number of stored parts, which is also the number of the next part.
    pub stored_parts: u32,
    /// When the first of the finished results that are not stored yet was finished; `None`
    /// if there are none.
    pub unstored_since: Option<Instant>,
    /// Whether the job was ended, so that no item starts any more.
    pub ended: bool,
}

impl JobProgress {
    /// Creates the progress of a job of which no results are stored.
    pub fn new(spec: JobSpec) -> Self {
        let waiting = ItemProgress {
            state: ItemState::Waiting { not_before: None },
            failures: 0,
            partial_output: PartialOutput::default(),
        };
        Self {
            items: vec![waiting; spec.items.len()],
            spec,
            stored_results: Vec::new(),
            stored_parts: 0,
            unstored_since: None,
            ended: false,
        }
    }

    /// Records that part `number` is stored with `results`, whichever worker stored it. Parts
    /// must be applied in order: returns false and changes nothing if the part was applied
    /// already or an earlier one is missing.
    pub fn apply_part(&mut self, number: u32, results: Vec<ItemResult>) -> bool {
        if number != self.stored_parts {
            return false;
        }
        self.stored_parts += 1;
        for result in results {
            if let Some(index) = self.item_index(&result.id) {
                self.items[index].state = ItemState::Stored;
                self.items[index].partial_output = PartialOutput::default();
            }
            self.stored_results.push(result);
        }
        if self.unstored_results().next().is_none() {
            self.unstored_since = None;
        }
        true
    }

    /// Returns the indexes of the items that may run now, in the client's order.
    pub fn waiting_items(&self, now: Instant) -> impl Iterator<Item = usize> + '_ {
        let items = self.items.iter().enumerate().filter(move |(_, item)| {
            let may_run = match item.state {
                ItemState::Waiting { not_before } => not_before.is_none_or(|at| at <= now),
                _ => false,
            };
            may_run && !self.ended
        });
        items.map(|(index, _)| index)
    }

    /// Returns the index of the first item that may run now.
    pub fn next_item(&self, now: Instant) -> Option<usize> {
        self.waiting_items(now).next()
    }

    /// Discards the output of the item at `index`, so that its next run starts from the beginning.
    pub fn discard_output(&mut self, index: usize) {
        self.items[index].partial_output = PartialOutput::default();
    }

    /// Marks the item at `index` as running.
    pub fn start_item(&mut self, index: usize) {
        self.items[index].state = ItemState::Running;
    }

    /// Records the output received so far for the item at `index`, if it is running.
    pub fn record_output(&mut self, index: usize, output: &PartialOutput) {
        if matches!(self.items[index].state, ItemState::Running) {
            self.items[index].partial_output.clone_from(output);
        }
    }

    /// Records the end of a run of the item at `index`: the item is finished or waits for its next
    /// run. It is given up after `max_failures` failed runs, or after one if that is zero. Does
    /// nothing if the item is not running, because it was finished meanwhile.
    pub fn record_run_end(
        &mut self,
        index: usize,
        end: RunEnd,
        partial_output: PartialOutput,
        max_failures: u32,
        now: Instant,
    ) {
        if !matches!(self.items[index].state, ItemState::Running) {
            return;
        }
        self.items[index].partial_output = partial_output;
        match end {
            RunEnd::Whole => self.finish_item(index, ItemOutcome::Completed, now),
            RunEnd::Impossible => self.finish_item(index, ItemOutcome::GivenUp, now),
            RunEnd::Failed => {
                self.items[index].failures += 1;
                if self.items[index].failures >= max_failures.max(1) {
                    self.finish_item(index, ItemOutcome::GivenUp, now);
                } else {
                    self.set_waiting(index, now + FAILED_RERUN_DELAY);
                }
            }
            RunEnd::NotRun | RunEnd::Broken => self.set_waiting(index, now + RERUN_DELAY),
            RunEnd::Preempted => self.set_waiting(index, now + placement::PREEMPTED_RETRY_DELAY),
            RunEnd::Quarantined(time_left) => {
                self.set_waiting(index, now + time_left.min(QUARANTINE_RECHECK_DELAY));
            }
        }
    }

    /// Gives up every unfinished item, for instance after the retention time.
    pub fn give_up_unfinished(&mut self, now: Instant) {
        for index in 0..self.items.len() {
            if matches!(
                self.items[index].state,
                ItemState::Waiting { .. } | ItemState::Running
            ) {
                self.finish_item(index, ItemOutcome::GivenUp, now);
            }
        }
    }

    /// Returns the finished results that are not stored yet, in the client's order.
    pub fn unstored_results(&self) -> impl Iterator<Item = &ItemResult> {
        self.items.iter().filter_map(|item| match &item.state {
            ItemState::Finished(result) => Some(result),
            _ => None,
        })
    }

    /// Returns true if the worker should store results now, and also if all results are stored
    /// already, so that it should close the job. `is_shutting_down` says whether this worker shuts
    /// down; it then stores without delay.
    pub fn should_store(&self, now: Instant, is_shutting_down: bool) -> bool {
        let Some(since) = self.unstored_since else {
            return self.is_fully_stored();
        };
        let delay = match self.has_unstored_give_up() {
            true => STORE_GIVEN_UP_DELAY,
            false => STORE_DELAY,
        };
        is_shutting_down || self.is_finished() || now.duration_since(since) >= delay
    }

    /// Returns whether finished results must be stored now so that readers find them when the
    /// job is due. `due_in` is the time until then; if it is zero, the job is due already and this
    /// returns false.
    pub fn should_store_before_due(&self, due_in: Duration) -> bool {
        let is_nearly_due = !due_in.is_zero() && due_in <= STORE_BEFORE_DUE_MARGIN;
        is_nearly_due && self.unstored_since.is_some()
    }

    /// Returns whether a result that is not stored yet is that of a given-up item.
    pub fn has_unstored_give_up(&self) -> bool {
        self.unstored_results()
            .any(|result| result.outcome == ItemOutcome::GivenUp)
    }

    /// Returns the results for the next part: as many unstored results as fit into `max_bytes`, but
    /// at least one if there is any. `encoded_bytes` returns the size of a result as it is stored.
    pub fn next_part(
        &self,
        max_bytes: usize,
        encoded_bytes: impl Fn(&ItemResult) -> usize,
    ) -> Vec<ItemResult> {
        let sizes = self.unstored_results().map(encoded_bytes);
        let count = packing::leading_values_that_fit(sizes, max_bytes);
        self.unstored_results().take(count).cloned().collect()
    }

    /// Returns whether every item is finished, whether or not its result is stored.
    pub fn is_finished(&self) -> bool {
        self.items
            .iter()
            .all(|item| matches!(item.state, ItemState::Finished(_) | ItemState::Stored))
    }

    /// Returns the size in bytes of the items and the stored outputs, which make up most of the job's
    /// memory.
    pub fn size_bytes(&self) -> usize {
        let results: usize = self
            .stored_results
            .iter()
            .map(|result| result.output.len())
            .sum();
        self.spec.size_bytes() + results
    }

    /// Returns whether the results of all items are stored.
    pub fn is_fully_stored(&self) -> bool {
        self.stored_results.len() >= self.spec.items.len()
    }

    /// Returns the sum of the tokens of the unfinished items.
    pub fn unfinished_tokens(&self) -> u64 {
        self.spec
            .items
            .iter()
            .zip(&self.items)
            .filter(|(_, item)| {
                matches!(item.state, ItemState::Waiting { .. } | ItemState::Running)
            })
            .map(|(spec, _)| spec.tokens)
            .sum()
    }

    /// Marks the item at `index` as finished. The partial output becomes the result's output if
    /// the item is completed and is discarded otherwise.
    pub(crate) fn finish_item(&mut self, index: usize, outcome: ItemOutcome, now: Instant) {
        let partial_output = std::mem::take(&mut self.items[index].partial_output);
        let output = match outcome {
            ItemOutcome::Completed => partial_output.text.into(),
            ItemOutcome::GivenUp => Arc::default(),
        };
        self.items[index].state = ItemState::Finished(ItemResult {
            id: self.spec.items[index].id.clone(),
            outcome,
            output,
        });
        self.unstored_since.get_or_insert(now);
    }

    fn set_waiting(&mut self, index: usize, until: Instant) {
        self.items[index].state = ItemState::Waiting {
            not_before: Some(until),
        };
    }

    fn item_index(&self, id: &str) -> Option<usize> {
        self.spec.items.iter().position(|item| item.id == id)
    }
}
