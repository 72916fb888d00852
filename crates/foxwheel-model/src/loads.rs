//! What each process knows of the requests in flight: its own at once, others' with an age.

use std::collections::VecDeque;
use std::time::Duration;

use crate::scenario::Fleet;

/// Requests in flight at one engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Online requests.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
}

/// Loads by process and engine.
type Table = Vec<Vec<Load>>;

/// Time between two looks that others get.
const TOLD_EVERY: Duration = Duration::from_millis(5);

/// The requests in flight, now and as they were told.
#[derive(Debug)]
pub struct Loads {
    now: Table,
    /// Oldest first, up to the age of the oldest view.
    told: VecDeque<(Duration, Table)>,
    local_age: Duration,
    remote_age: Duration,
}

impl Loads {
    /// No requests from `processes`.
    pub fn new(processes: usize, fleet: &Fleet) -> Self {
        Self {
            now: vec![vec![Load::default(); fleet.engines]; processes],
            told: VecDeque::new(),
            local_age: Duration::from_millis(fleet.local_view_age_ms),
            remote_age: Duration::from_millis(fleet.remote_view_age_ms),
        }
    }

    /// The requests of `process` at `engine`.
    pub fn own(&self, process: usize, engine: usize) -> Load {
        self.now[process][engine]
    }

    /// The same, to be changed.
    pub fn own_mut(&mut self, process: usize, engine: usize) -> &mut Load {
        &mut self.now[process][engine]
    }

    /// Lets the others be told of what is in flight at `now`.
    pub fn tell(&mut self, now: Duration) {
        let last = self.told.back().map(|(at, _)| *at);
        if last.is_some_and(|last| now < last + TOLD_EVERY) {
            return;
        }
        let oldest = now.saturating_sub(self.local_age.max(self.remote_age));
        while self.told.get(1).is_some_and(|(at, _)| *at <= oldest) {
            self.told.pop_front();
        }
        self.told.push_back((now, self.now.clone()));
    }

    /// The requests of all other processes at each engine, as `process` knows them at `now`.
    /// `is_local` says whether a process shares its zone.
    pub fn others(
        &self,
        process: usize,
        is_local: impl Fn(usize) -> bool,
        now: Duration,
    ) -> Vec<Load> {
        let local = self.as_told(now.saturating_sub(self.local_age));
        let remote = self.as_told(now.saturating_sub(self.remote_age));
        let mut sums = vec![Load::default(); self.now[process].len()];
        for other in (0..self.now.len()).filter(|other| *other != process) {
            let table = if is_local(other) { local } else { remote };
            let Some(table) = table else { continue };
            for (sum, load) in sums.iter_mut().zip(&table[other]) {
                sum.online += load.online;
                sum.batch += load.batch;
            }
        }
        sums
    }

    fn as_told(&self, at: Duration) -> Option<&Table> {
        let known = self.told.partition_point(|(told_at, _)| *told_at <= at);
        known.checked_sub(1).map(|last| &self.told[last].1)
    }
}
