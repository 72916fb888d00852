//! Tracks what each process knows of the requests in flight: its own without delay, those of
//! other processes as of some time ago.

use std::collections::VecDeque;
use std::time::Duration;

use crate::scenario::Fleet;

/// The numbers of requests in flight from one process, or from several, at one engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// The number of online requests.
    pub online: u32,
    /// The number of batch items.
    pub batch: u32,
}

/// Loads indexed by process, then by engine.
type LoadTable = Vec<Vec<Load>>;

/// The interval at which processes report their loads to each other.
const REPORT_INTERVAL: Duration = Duration::from_millis(5);

/// The requests in flight, both current and as reported to other processes.
#[derive(Debug)]
pub struct Loads {
    current: LoadTable,
    /// Reports with their times, oldest first. Reports older than the age of the oldest view
    /// are dropped, except for the last of them, which that view still shows.
    reported: VecDeque<(Duration, LoadTable)>,
    local_view_age: Duration,
    remote_view_age: Duration,
}

impl Loads {
    /// Creates empty loads for `processes` processes.
    pub fn new(processes: usize, fleet: &Fleet) -> Self {
        Self {
            current: vec![vec![Load::default(); fleet.engines]; processes],
            reported: VecDeque::new(),
            local_view_age: Duration::from_millis(fleet.local_view_age_ms),
            remote_view_age: Duration::from_millis(fleet.remote_view_age_ms),
        }
    }

    /// Returns the current load of `process` at `engine`.
    pub fn own_load(&self, process: usize, engine: usize) -> Load {
        self.current[process][engine]
    }

    /// Returns the current load of `process` at `engine`, to be updated.
    pub fn own_load_mut(&mut self, process: usize, engine: usize) -> &mut Load {
        &mut self.current[process][engine]
    }

    /// Records the current loads as the report of time `now`, unless the last report is more
    /// recent than the report interval.
    pub fn record_report(&mut self, now: Duration) {
        let last_report_at = self.reported.back().map(|(at, _)| *at);
        if last_report_at.is_some_and(|last_report_at| now < last_report_at + REPORT_INTERVAL) {
            return;
        }
        let oldest_view_at = now.saturating_sub(self.local_view_age.max(self.remote_view_age));
        while self
            .reported
            .get(1)
            .is_some_and(|(at, _)| *at <= oldest_view_at)
        {
            self.reported.pop_front();
        }
        self.reported.push_back((now, self.current.clone()));
    }

    /// Returns, for each engine, the load of all other processes as `process` knows it at `now`.
    /// `is_local` returns whether a process is in the zone of `process`.
    pub fn load_of_others(
        &self,
        process: usize,
        is_local: impl Fn(usize) -> bool,
        now: Duration,
    ) -> Vec<Load> {
        let local = self.last_report_until(now.saturating_sub(self.local_view_age));
        let remote = self.last_report_until(now.saturating_sub(self.remote_view_age));
        let mut sums = vec![Load::default(); self.current[process].len()];
        for other in (0..self.current.len()).filter(|other| *other != process) {
            let table = if is_local(other) { local } else { remote };
            let Some(table) = table else { continue };
            for (sum, load) in sums.iter_mut().zip(&table[other]) {
                sum.online += load.online;
                sum.batch += load.batch;
            }
        }
        sums
    }

    fn last_report_until(&self, at: Duration) -> Option<&LoadTable> {
        let report_count = self
            .reported
            .partition_point(|(reported_at, _)| *reported_at <= at);
        report_count
            .checked_sub(1)
            .map(|last| &self.reported[last].1)
    }
}
