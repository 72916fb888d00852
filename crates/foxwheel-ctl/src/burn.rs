//! Burn rate of the service level objective, from the metrics of fronts: how fast online requests
//! use up their error budget.
//!
//! A request is bad if it was late, refused or failed. The error budget is the share of bad
//! requests that the target allows. The burn rate is the share of bad requests divided by that
//! budget: at a rate of 1 the budget is used up exactly.

use std::fmt::Write;
use std::path::{Path, PathBuf};

use foxwheel_core::metric_names::{self, Counter, RequestKind, RequestOutcome};

use crate::CtlError;

/// Share of requests that must be on time if the command line does not set `--target`.
pub const DEFAULT_TARGET: f64 = 0.95;

/// Number of requests of one kind, by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Got a complete response in time.
    pub on_time: u64,
    /// Got a complete response, but too late.
    pub late: u64,
    /// Refused without having run.
    pub refused: u64,
    /// Cut off, failed at a server, or out of time.
    pub failed: u64,
}

impl RequestCounts {
    /// Returns the number of requests of all outcomes.
    pub fn total(&self) -> u64 {
        self.on_time + self.late + self.refused + self.failed
    }

    /// Returns the share of bad requests divided by the share that `target` allows (1 - `target`);
    /// 0 if there are no requests.
    pub fn burn_rate(&self, target: f64) -> f64 {
        let total = self.total();
        if total == 0 {
            return 0.0;
        }
        let bad = (total - self.on_time) as f64 / total as f64;
        bad / (1.0 - target)
    }

    fn count_mut(&mut self, outcome: RequestOutcome) -> &mut u64 {
        match outcome {
            RequestOutcome::OnTime => &mut self.on_time,
            RequestOutcome::Late => &mut self.late,
            RequestOutcome::Refused => &mut self.refused,
            RequestOutcome::Failed => &mut self.failed,
        }
    }
}

/// Sums the requests of `kind` over `pages`, each the response of one process to `GET /metrics`.
/// Lines that are not a count of such requests are ignored.
pub fn count_requests(kind: RequestKind, pages: &[String]) -> RequestCounts {
    let mut counts = RequestCounts::default();
    for outcome in RequestOutcome::ALL {
        let counter = Counter::Request(kind, outcome).name();
        let name = format!("{}.{counter}", metric_names::PREFIX);
        let lines = pages.iter().flat_map(|page| page.lines());
        let values = lines.filter_map(|line| line.split_once(' '));
        *counts.count_mut(outcome) = values
            .filter(|(key, _)| *key == name)
            .filter_map(|(_, value)| value.trim().parse::<u64>().ok())
            .sum();
    }
    counts
}

/// Returns the text of the `burn` command: counts and burn rate of each request kind. Each of
/// `files` holds the response of one front to `GET /metrics`. Fails if a file cannot be read.
pub fn report(target: f64, files: &[PathBuf]) -> Result<String, CtlError> {
    let pages = files.iter().map(|file| read_metrics(file));
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

fn read_metrics(path: &Path) -> Result<String, CtlError> {
    std::fs::read_to_string(path).map_err(|source| CtlError::File {
        path: path.display().to_string(),
        source,
    })
}
