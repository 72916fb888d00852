//! A job on the worker that runs it: which item runs next, what a run's end means and
//! which results are stored next.
//!
//! Results are stored as numbered parts that can each be created once. A worker creates
//! part n only after it knows parts 0 to n-1, so an item stands in one part only,
//! whichever workers took turns at the job.

use std::time::{Duration, Instant};

use foxwheel_core::ids::JobId;
use serde::{Deserialize, Serialize};

use crate::batch::item::{ItemOutcome, ItemResult, ItemSpec, ItemState, PartialOutput, RunEnd};
use crate::placement;
use crate::routes::Route;

/// Wait before an item runs again after a run that did not count as a failure.
const RERUN_PAUSE: Duration = Duration::from_millis(150);

/// Wait before an item runs again after its server failed it; the fault may be short.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);

/// Wait before an item whose content is quarantined is looked at again: the same content may
/// have been served elsewhere.
const QUARANTINE_PAUSE: Duration = Duration::from_secs(2);

/// How long finished results of a job with more to run wait for others, so that one write
/// stores several: a crash in this time costs their runs again.
const STORE_AFTER: Duration = Duration::from_millis(2_500);

/// How long before a job is due its finished results wait no longer for others: a slow store
/// takes a quarter of a second, and a reader looks about twice a second.
const STORE_BEFORE_DUE: Duration = Duration::from_millis(600);

/// The same when an item was given up: until that is stored, a worker that takes over
/// would let the item fail as often again.
const STORE_GIVE_UP_AFTER: Duration = Duration::from_millis(200);

/// How long a route must be missing before its jobs are given up.
const ROUTE_MISSING_FOR: Duration = Duration::from_secs(5);

/// Whether what is left of a job may be given up: its route's retention time is over, or
/// its route is gone. `known_for` is how long the configuration has been known here.
pub fn should_give_up(route: Option<&Route>, age: Duration, known_for: Duration) -> bool {
    match route {
        Some(route) => !route.retention.is_zero() && age > route.retention,
        None => age > ROUTE_MISSING_FOR && known_for > ROUTE_MISSING_FOR,
    }
}

/// A job as it was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The client's id of the job.
    pub id: JobId,
    /// Host header of the submission; selects the route of its items.
    pub host: String,
    /// Path of the submission; selects the route of its items.
    pub path: String,
    /// Name of the route at the submission.
    pub route: String,
    /// When it was submitted, since the Unix epoch.
    #[serde(rename = "submitted_unix_ms")]
    #[serde(with = "serde_with::As::<serde_with::DurationMilliSeconds<u64>>")]
    pub submitted_unix: Duration,
    /// The items in the client's order.
    pub items: Vec<ItemSpec>,
}

impl JobSpec {
    /// Tokens of all items.
    pub fn total_tokens(&self) -> u64 {
        self.items.iter().map(|item| item.tokens).sum()
    }
}

/// One item's progress.
#[derive(Debug, Clone)]
pub struct ItemProgress {
    /// Where it stands.
    pub state: ItemState,
    /// Runs that a server answered as failed.
    pub failures: u32,
    /// Output received so far.
    pub partial_output: PartialOutput,
}

/// A job's progress.
#[derive(Debug, Clone)]
pub struct JobProgress {
    /// The job.
    pub spec: JobSpec,
    /// One entry for each of the job's items, in the same order.
    pub items: Vec<ItemProgress>,
    /// Stored results in the order of their positions.
    pub stored_results: Vec<ItemResult>,
    /// Parts stored so far; the next part has this number.
    pub stored_parts: u32,
    /// When the oldest finished, unstored result was finished.
    pub unstored_since: Option<Instant>,
    /// No item may run any more.
    pub ended: bool,
}

impl JobProgress {
    /// A job none of whose results are stored.
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

    /// Takes the results of part `number` as stored, whoever stored it. Parts must come in
    /// order; answers false for one that is known already or comes too early.
    pub fn apply_part(&mut self, number: u32, results: Vec<ItemResult>) -> bool {
        if number != self.stored_parts {
            return false;
        }
        self.stored_parts += 1;
        for result in results {
            if let Some(at) = self.position(&result.id) {
                self.items[at].state = ItemState::Stored;
                self.items[at].partial_output = PartialOutput::default();
            }
            self.stored_results.push(result);
        }
        if self.unstored_results().next().is_none() {
            self.unstored_since = None;
        }
        true
    }

    /// Items that could run now, in the client's order.
    pub fn waiting_items(&self, now: Instant) -> impl Iterator<Item = usize> + '_ {
        let items = self.items.iter().enumerate().filter(move |(_, item)| {
            let waits_no_longer = match item.state {
                ItemState::Waiting { not_before } => not_before.is_none_or(|at| at <= now),
                _ => false,
            };
            waits_no_longer && !self.ended
        });
        items.map(|(at, _)| at)
    }

    /// The first item that could run now.
    pub fn next_item(&self, now: Instant) -> Option<usize> {
        self.waiting_items(now).next()
    }

    /// Marks an item as running.
    pub fn start_item(&mut self, at: usize) {
        self.items[at].state = ItemState::Running;
    }

    /// Takes note of how far a running item's output came.
    pub fn record_output(&mut self, at: usize, output: &PartialOutput) {
        if matches!(self.items[at].state, ItemState::Running) {
            self.items[at].partial_output.clone_from(output);
        }
    }

    /// Takes the end of an item's run. Ignores items that were finished meanwhile.
    pub fn record_run_end(
        &mut self,
        at: usize,
        end: RunEnd,
        partial_output: PartialOutput,
        max_failures: u32,
        now: Instant,
    ) {
        if !matches!(self.items[at].state, ItemState::Running) {
            return;
        }
        self.items[at].partial_output = partial_output;
        match end {
            RunEnd::Whole => self.finish_item(at, ItemOutcome::Completed, now),
            RunEnd::Impossible => self.finish_item(at, ItemOutcome::GivenUp, now),
            RunEnd::Failed => {
                self.items[at].failures += 1;
                if self.items[at].failures >= max_failures.max(1) {
                    self.finish_item(at, ItemOutcome::GivenUp, now);
                } else {
                    self.wait(at, now + FAILURE_PAUSE);
                }
            }
            RunEnd::NotRun | RunEnd::Broken => self.wait(at, now + RERUN_PAUSE),
            RunEnd::Preempted => self.wait(at, now + placement::PREEMPTED_RETRY_DELAY),
            RunEnd::Quarantined => self.wait(at, now + QUARANTINE_PAUSE),
        }
    }

    /// Gives up every item that is not finished, e.g. after the retention time.
    pub fn give_up_unfinished(&mut self, now: Instant) {
        for at in 0..self.items.len() {
            if matches!(
                self.items[at].state,
                ItemState::Waiting { .. } | ItemState::Running
            ) {
                self.finish_item(at, ItemOutcome::GivenUp, now);
            }
        }
    }

    /// Results that are finished and not stored, in the client's order.
    pub fn unstored_results(&self) -> impl Iterator<Item = &ItemResult> {
        self.items.iter().filter_map(|item| match &item.state {
            ItemState::Finished(result) => Some(result),
            _ => None,
        })
    }

    /// Whether it is time to store results, or to close a job that is whole.
    pub fn should_store(&self, now: Instant, leaving: bool) -> bool {
        let Some(since) = self.unstored_since else {
            return self.is_fully_stored();
        };
        let patience = match self.has_unstored_give_up() {
            true => STORE_GIVE_UP_AFTER,
            false => STORE_AFTER,
        };
        leaving || self.is_finished() || now.duration_since(since) >= patience
    }

    /// Whether results must be stored now so that they are listed when the job is due, which
    /// it is in `due_in`. False when it is due already.
    pub fn should_store_before_due(&self, due_in: Duration) -> bool {
        let nearly = !due_in.is_zero() && due_in <= STORE_BEFORE_DUE;
        nearly && self.unstored_since.is_some()
    }

    /// Whether an item was given up and that is not stored yet.
    pub fn has_unstored_give_up(&self) -> bool {
        self.unstored_results()
            .any(|result| result.ending == ItemOutcome::GivenUp)
    }

    /// The results of the next part: as many unstored ones as fit into `max_bytes`, at
    /// least one.
    pub fn next_part(&self, max_bytes: usize) -> Vec<ItemResult> {
        let mut bytes = 0;
        self.unstored_results()
            .take_while(|result| {
                let first = bytes == 0;
                bytes += result.output.len() + result.id.len() + RESULT_OVERHEAD_BYTES;
                first || bytes <= max_bytes
            })
            .cloned()
            .collect()
    }

    /// Whether every item is finished, stored or not.
    pub fn is_finished(&self) -> bool {
        self.items
            .iter()
            .all(|item| matches!(item.state, ItemState::Finished(_) | ItemState::Stored))
    }

    /// Bytes of its items' bodies and listed results.
    pub fn size_bytes(&self) -> usize {
        let bodies: usize = self.spec.items.iter().map(|item| item.body.len()).sum();
        let results: usize = self
            .stored_results
            .iter()
            .map(|result| result.output.len())
            .sum();
        bodies + results
    }

    /// Whether every result is stored.
    pub fn is_fully_stored(&self) -> bool {
        self.stored_results.len() >= self.spec.items.len()
    }

    /// Tokens of the items that are not finished.
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

    /// Takes the item at `at` as ended, with its partial output as its result if it is
    /// completed.
    pub(crate) fn finish_item(&mut self, at: usize, outcome: ItemOutcome, now: Instant) {
        let partial_output = std::mem::take(&mut self.items[at].partial_output);
        let output = match outcome {
            ItemOutcome::Completed => partial_output.text,
            ItemOutcome::GivenUp => String::new(),
        };
        self.items[at].state = ItemState::Finished(ItemResult {
            id: self.spec.items[at].id.clone(),
            ending: outcome,
            output,
        });
        self.unstored_since.get_or_insert(now);
    }

    fn wait(&mut self, at: usize, until: Instant) {
        self.items[at].state = ItemState::Waiting {
            not_before: Some(until),
        };
    }

    fn position(&self, id: &str) -> Option<usize> {
        self.spec.items.iter().position(|item| item.id == id)
    }
}

/// Bytes that a result's field names and escapes may add to its stored form, roughly.
const RESULT_OVERHEAD_BYTES: usize = 128;
