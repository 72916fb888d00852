//! The order in which waiting batch items get slots.
//!
//! Load pattern: for some time more batch work is due than fits into the slots that online
//! traffic leaves free between its steps. If items then ran in the order of their submission,
//! almost all would finish slightly too late: slots would go to items that miss their due time
//! in any case, which makes the items behind them late as well.

use std::time::Duration;

use crate::moving_average::MovingAverage;

/// Smallest number of events of a run from which the time per event is estimated. The first
/// event of a run includes the time to process the prompt, which would distort the estimate of
/// a short run.
const MIN_EVENTS_FOR_ESTIMATE: u64 = 8;

/// Estimates how long items run, from the runs that have ended.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunEstimate {
    /// Seconds per event.
    time_per_event: MovingAverage,
    /// Number of events of a complete output.
    full_output_events: MovingAverage,
}

impl RunEstimate {
    /// Records a run that received `events` events in `elapsed`. Runs with few events are
    /// ignored.
    pub fn record_run(&mut self, events: u64, elapsed: Duration) {
        if events >= MIN_EVENTS_FOR_ESTIMATE {
            self.time_per_event
                .push_duration(elapsed.div_f64(events as f64));
        }
    }

    /// Records that a complete output has `events` events.
    pub fn record_full_output(&mut self, events: u64) {
        self.full_output_events.push(events as f64);
    }

    /// Returns the estimated remaining run time of an item of whose output `events` events have
    /// been received. Returns zero until a run and a complete output have been recorded.
    pub fn remaining_run_time(&self, events: u64) -> Duration {
        let full_output_events = self.full_output_events.get().unwrap_or_default();
        let remaining_events = (full_output_events - events as f64).max(0.0);
        self.time_per_event
            .duration()
            .unwrap_or_default()
            .mul_f64(remaining_events)
    }
}

/// A batch item that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingItem {
    /// Index by which the caller identifies the item's job.
    pub job: usize,
    /// Position of the item in its job.
    pub item: usize,
    /// Time at which the result is due, since the Unix epoch.
    pub due_unix: Duration,
    /// Estimated run time from the moment at which the item gets a slot.
    pub remaining_run_time: Duration,
}

impl WaitingItem {
    /// Returns whether the item misses its due time even if it gets a slot now.
    pub fn is_late(&self, now_unix: Duration) -> bool {
        now_unix + self.remaining_run_time > self.due_unix
    }
}

/// Sorts items into the order in which they get slots. Items that can still finish in time come
/// first, ordered by due time and then by remaining run time. Items that are late in any case
/// follow in the same order, since further waiting does not make them miss another due time.
pub fn sort_waiting_items(items: &mut [WaitingItem], now_unix: Duration) {
    items.sort_unstable_by_key(|item| {
        (
            item.is_late(now_unix),
            item.due_unix,
            item.remaining_run_time,
            item.job,
            item.item,
        )
    });
}
