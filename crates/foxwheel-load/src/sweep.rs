//! Running one experiment at many points: each point changes some values of the
//! experiment, and gives one row of figures.

use std::fmt::Write;
use std::path::{Path, PathBuf};

use foxwheel_core::settings::{self, Check, Problems};
use serde::{Deserialize, Serialize};

use crate::experiment::Experiment;
use crate::fleet::FleetError;
use crate::report::ExperimentResult;
use crate::run;

/// A sweep file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// The experiment file; relative to this one.
    pub experiment: PathBuf,
    /// The points, run in order.
    pub points: Vec<Point>,
}

/// One point.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// Its name in the rows.
    pub label: String,
    /// Values to change, by JSON pointer, e.g. `/online/0/rate_per_s`.
    #[serde(default)]
    pub set: serde_json::Map<String, serde_json::Value>,
}

impl Check for Sweep {
    fn check(&self, problems: &mut Problems) {
        if self.points.is_empty() {
            problems.add("points", "must not be empty");
        }
    }
}

/// Why a sweep stopped.
#[derive(Debug, thiserror::Error)]
pub enum SweepError {
    /// The experiment at a point is refused.
    #[error("point `{label}`: {problem}")]
    Point {
        /// The point.
        label: String,
        /// What is wrong.
        problem: String,
    },
    /// A file could not be read or written.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: String,
        /// The underlying error.
        source: std::io::Error,
    },
    /// A fleet did not start.
    #[error(transparent)]
    Fleet(#[from] FleetError),
}

/// The columns of a row, in order; `fit` takes them by name.
pub const COLUMNS: &[&str] = &[
    "label",
    "gateways",
    "agents",
    "window_s",
    "requests",
    "tokens",
    "items",
    "ttft_p50_ms",
    "ttft_p95_ms",
    "tbt_p95_ms",
    "bad",
    "items_per_s",
    "gateway_cpu_s",
    "gateway_rss_kib",
    "agent_cpu_s",
    "agent_rss_kib",
    "backend_cpu_s",
    "store_cpu_s",
    "store_reads",
    "store_writes",
    "store_watches",
    "loopback_bytes",
    "failed_checks",
];

/// Runs every point of the sweep at `path`; writes `rows.tsv` under `out` after each point.
pub async fn run(path: &Path, sweep: &Sweep, out: &Path) -> Result<(), SweepError> {
    let base = path.parent().unwrap_or(Path::new("."));
    let experiment_path = base.join(&sweep.experiment);
    let experiment = read_json(&experiment_path)?;
    let experiment_base = experiment_path.parent().unwrap_or(base);
    let mut rows = format!("{}\n", COLUMNS.join("\t"));
    for point in &sweep.points {
        let experiment = patched(&experiment, point)?;
        let folder = out.join(&point.label);
        let result = run::run(experiment, experiment_base, &folder).await?;
        let row = row(&point.label, &result);
        print!("{row}");
        rows.push_str(&row);
        let rows_path = out.join("rows.tsv");
        std::fs::write(&rows_path, &rows).map_err(|source| io_error(&rows_path, source))?;
    }
    Ok(())
}

fn io_error(path: &Path, source: std::io::Error) -> SweepError {
    SweepError::Io {
        path: path.display().to_string(),
        source,
    }
}

fn read_json(path: &Path) -> Result<serde_json::Value, SweepError> {
    let text = std::fs::read_to_string(path).map_err(|source| io_error(path, source))?;
    serde_json::from_str(&text).map_err(|e| io_error(path, e.into()))
}

/// The experiment with the point's values set; every pointer must name something there is.
fn patched(experiment: &serde_json::Value, point: &Point) -> Result<Experiment, SweepError> {
    let refuse = |problem: String| SweepError::Point {
        label: point.label.clone(),
        problem,
    };
    let mut experiment = experiment.clone();
    for (pointer, value) in &point.set {
        let target = experiment.pointer_mut(pointer);
        *target.ok_or_else(|| refuse(format!("`{pointer}` names nothing")))? = value.clone();
    }
    settings::parse(&point.label, &experiment.to_string()).map_err(|e| refuse(e.to_string()))
}

/// The result's figures as one line of tab-separated values, in the order of [`COLUMNS`].
pub fn row(label: &str, result: &ExperimentResult) -> String {
    let usage = result.usage.clone().unwrap_or_default();
    let worst = |figure: fn(&crate::report::OnlineResult) -> f64| {
        result.online.iter().map(figure).fold(0.0, f64::max)
    };
    let items: u64 = result.batches.iter().map(|b| b.done + b.failed).sum();
    let items_per_s: f64 = result.batches.iter().filter_map(|b| b.items_per_s).sum();
    let mut row = String::from(label);
    let numbers = [
        usage.gateway.processes as f64,
        usage.agent.processes as f64,
        usage.window_s,
        result.online.iter().map(|o| o.sent as f64).sum(),
        result.online.iter().map(|o| o.tokens as f64).sum(),
        items as f64,
        worst(|o| o.ttft.p50_ms),
        worst(|o| o.ttft.p95_ms),
        worst(|o| o.tbt.p95_ms),
        result.burn.iter().map(|b| b.whole.bad as f64).sum(),
        items_per_s,
        usage.gateway.cpu_s,
        usage.gateway.max_rss_kib as f64,
        usage.agent.cpu_s,
        usage.agent.max_rss_kib as f64,
        usage.backend.cpu_s,
        usage.store.cpu_s,
        usage.store_reads as f64,
        usage.store_writes as f64,
        usage.store_watches as f64,
        usage.loopback_bytes as f64,
        result.failed_checks.len() as f64,
    ];
    debug_assert_eq!(numbers.len() + 1, COLUMNS.len());
    for number in numbers {
        // Adding zero turns the minus zero of an empty sum into zero.
        write!(row, "\t{}", (number * 1000.0).round() / 1000.0 + 0.0).expect("writing to a string");
    }
    row.push('\n');
    row
}
