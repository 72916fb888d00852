//! In which order waiting batch items get slots.
//!
//! Load pattern: for a while more batch work is due than the troughs between steps of
//! online traffic can carry. In order of submission every item then ends a little too late:
//! the slots go to items that miss their time anyway, and the ones behind them miss theirs.

use std::time::Duration;

use crate::moving_average::MovingAverage;

/// Events from which a run tells how long an event takes; the first of a run waits for its
/// prompt to be read.
const LEAST_EVENTS: u64 = 8;

/// How long items run, learnt from the runs that ended.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunEstimate {
    /// Time from one event to the next.
    event_time: MovingAverage,
    /// Events of a whole output.
    full_output_events: MovingAverage,
}

impl RunEstimate {
    /// Takes note of a run that brought `events` in `took`.
    pub fn record_run(&mut self, events: u64, took: Duration) {
        if events >= LEAST_EVENTS {
            self.event_time.push_duration(took.div_f64(events as f64));
        }
    }

    /// Takes note of an output that is whole with `events`.
    pub fn record_full_output(&mut self, events: u64) {
        self.full_output_events.push(events as f64);
    }

    /// How much longer an item runs that has `events` of its output. Zero while nothing is
    /// known.
    pub fn remaining_run_time(&self, events: u64) -> Duration {
        let full_output_events = self.full_output_events.get().unwrap_or_default();
        let events_left = (full_output_events - events as f64).max(0.0);
        self.event_time
            .duration()
            .unwrap_or_default()
            .mul_f64(events_left)
    }
}

/// An item that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingItem {
    /// Its job, as a number of the caller's.
    pub job: usize,
    /// Its position in the job.
    pub item: usize,
    /// When its result is due, since the Unix epoch.
    pub due_unix: Duration,
    /// How much longer it runs once it has a slot.
    pub remaining_run_time: Duration,
}

impl WaitingItem {
    /// Whether it misses its time even with a slot at once.
    pub fn is_late(&self, now_unix: Duration) -> bool {
        now_unix + self.remaining_run_time > self.due_unix
    }
}

/// Sorts items into the order in which they get slots: those that can still be in time, the
/// one due first at the front and of equals the one that has least left; then the others,
/// which lose nothing more by waiting, in the order of their due times.
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
