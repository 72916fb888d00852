//! Service-level burn from the metrics of fronts: how fast online requests spend their error
//! budget.
//!
//! A request is bad when it was late, refused or failed. The budget is the share of bad
//! requests that the target allows: a burn rate of 1 spends it exactly.

use std::fmt::Write;
use std::path::{Path, PathBuf};

use foxwheel_core::metric_names::{self, Counter, RequestKind, RequestOutcome};

use crate::CtlError;

/// Share of requests that must be on time, unless told otherwise.
pub const DEFAULT_TARGET: f64 = 0.95;

/// Requests of one kind, by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Answered whole and in time.
    pub on_time: u64,
    /// Answered whole, later.
    pub late: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Broken off, failed by a server, or out of time.
    pub failed: u64,
}

impl RequestCounts {
    /// All of them.
    pub fn total(&self) -> u64 {
        self.on_time + self.late + self.refused + self.failed
    }

    /// The share of bad requests over the share that `target` allows; 0 without requests.
    pub fn burn_rate(&self, target: f64) -> f64 {
        let total = self.total();
        if total == 0 {
            return 0.0;
        }
        let bad = (total - self.on_time) as f64 / total as f64;
        bad / (1.0 - target)
    }

    fn of(&mut self, outcome: RequestOutcome) -> &mut u64 {
        match outcome {
            RequestOutcome::OnTime => &mut self.on_time,
            RequestOutcome::Late => &mut self.late,
            RequestOutcome::Refused => &mut self.refused,
            RequestOutcome::Failed => &mut self.failed,
        }
    }
}

/// The tally of `kind` over the metrics of several processes, each as it serves them.
pub fn count_requests(kind: RequestKind, pages: &[String]) -> RequestCounts {
    let mut counts = RequestCounts::default();
    for outcome in RequestOutcome::ALL {
        let counter = Counter::Request(kind, outcome).name();
        let name = format!("{}.{counter}", metric_names::PREFIX);
        let lines = pages.iter().flat_map(|page| page.lines());
        let values = lines.filter_map(|line| line.split_once(' '));
        *counts.of(outcome) = values
            .filter(|(key, _)| *key == name)
            .filter_map(|(_, value)| value.trim().parse::<u64>().ok())
            .sum();
    }
    counts
}

/// The report over files that hold what `GET /metrics` of each front answered.
pub fn report(target: f64, files: &[PathBuf]) -> Result<String, CtlError> {
    let pages = files.iter().map(|file| read(file));
    let pages: Vec<String> = pages.collect::<Result<_, _>>()?;
    let mut report = format!("target: {target} of requests on time; burn 1 spends the budget\n");
    for kind in RequestKind::ALL {
        let counts = count_requests(kind, &pages);
        let _ = writeln!(
            report,
            "{:<14} requests {:>8} on time {:>8} late {:>6} refused {:>6} failed {:>6} burn {:.2}",
            kind.name(),
            counts.total(),
            counts.on_time,
            counts.late,
            counts.refused,
            counts.failed,
            counts.burn_rate(target),
        );
    }
    Ok(report)
}

fn read(path: &Path) -> Result<String, CtlError> {
    std::fs::read_to_string(path).map_err(|source| CtlError::File {
        path: path.display().to_string(),
        source,
    })
}
