//! Trial runs of blamed parts.
//!
//! A part that does crash servers must take down one of them with each trial and not one at each
//! process. No process gives permission: each waits for a time of its own, and a process that begins a
//! trial reports it, so that the others wait for its outcome.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use foxwheel_core::ids::{NodeId, PromptPartId, ServiceName};

use crate::part_quarantine::blame::BlamedPart;
use crate::part_quarantine::reports::PartTrialReport;

/// Time from the start of a trial until the next one may begin. A response is complete within it, or
/// the crash of its server is known to all processes.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time by which the trials of two processes are apart on average. A trial is known to all processes
/// in a fraction of it.
const TRIAL_SEPARATION: Duration = Duration::from_secs(2);

/// Maximum time over which the trials of all processes are spread.
const MAX_TRIAL_SPREAD: Duration = Duration::from_secs(60);

/// A trial.
#[derive(Debug)]
pub struct PartTrial {
    /// The service.
    pub service: ServiceName,
    /// The part.
    pub part: PromptPartId,
    /// Increases with each trial of the part.
    pub sequence: u32,
    /// The process that has the trial.
    pub process: NodeId,
    began_at: Instant,
}

impl PartTrial {
    /// Returns the order of the trials of one part, which is the same in all processes.
    fn order(&self) -> (u32, &NodeId) {
        (self.sequence, &self.process)
    }
}

/// The trials of all processes.
#[derive(Debug, Default)]
pub struct PartTrials {
    /// The last trial of each part; sorted by service and part.
    last: Vec<PartTrial>,
}

impl PartTrials {
    /// Returns how long `process` does not try a blamed part; zero if it may try it now.
    pub fn delay(
        &self,
        blamed: &BlamedPart,
        process: &str,
        process_count: usize,
        now: Instant,
    ) -> Duration {
        let duration = blamed.duration();
        let spread = TRIAL_SEPARATION * process_count as u32;
        let spread = spread.min(MAX_TRIAL_SPREAD);
        let own_delay = spread.mul_f64(share_of_spread(blamed, process));
        let mut may_begin_at = blamed.last_crash_at + duration + own_delay;
        if let Ok(at) = self.position(&blamed.service, &blamed.part) {
            let trial = &self.last[at];
            may_begin_at = may_begin_at.max(trial.began_at + TRIAL_TIMEOUT);
        }
        may_begin_at.saturating_duration_since(now)
    }

    /// Records that a trial begins at `process`.
    pub fn begin(&mut self, service: &str, part: &str, process: &NodeId, now: Instant) {
        let before = self.position(service, part);
        let sequence = before.map_or(0, |at| self.last[at].sequence + 1);
        self.record(PartTrial {
            service: service.to_owned(),
            part: part.to_owned(),
            sequence,
            process: process.clone(),
            began_at: now,
        });
    }

    /// Records a trial of another process.
    pub fn apply_report(&mut self, report: &PartTrialReport, now: Instant) {
        let Some(began_at) = now.checked_sub(report.age) else {
            return;
        };
        self.record(PartTrial {
            service: report.service.clone(),
            part: report.part.clone(),
            sequence: report.sequence,
            process: report.process.clone(),
            began_at,
        });
    }

    /// Returns the trials for the other processes.
    pub fn reports(&self, now: Instant) -> Vec<PartTrialReport> {
        let reports = self.last.iter().map(|trial| PartTrialReport {
            service: trial.service.clone(),
            part: trial.part.clone(),
            sequence: trial.sequence,
            process: trial.process.clone(),
            age: now.saturating_duration_since(trial.began_at),
        });
        reports.collect()
    }

    /// Returns the last trial of each part.
    pub fn starts(&self) -> impl Iterator<Item = &PartTrial> {
        self.last.iter()
    }

    fn record(&mut self, trial: PartTrial) {
        match self.position(&trial.service, &trial.part) {
            Ok(at) if trial.order() > self.last[at].order() => self.last[at] = trial,
            Ok(_) => {}
            Err(at) => self.last.insert(at, trial),
        }
    }

    /// Drops the trials of parts that are not blamed.
    pub fn retain(&mut self, is_blamed: impl Fn(&str, &str) -> bool) {
        self.last
            .retain(|trial| is_blamed(&trial.service, &trial.part));
    }

    fn position(&self, service: &str, part: &str) -> Result<usize, usize> {
        self.last
            .binary_search_by(|it| (it.service.as_str(), it.part.as_str()).cmp(&(service, part)))
    }
}

/// Returns the share of the spread after which `process` may begin the next trial, from 0 to 1. It
/// differs from one trial to the next.
fn share_of_spread(blamed: &BlamedPart, process: &str) -> f64 {
    let mut hasher = DefaultHasher::new();
    (process, &blamed.service, &blamed.part, blamed.crashes).hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}
