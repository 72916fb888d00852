//! Runs one experiment at many points. Each point changes some values of the experiment and
//! gives one row of results.

use std::fmt::Write;
use std::path::{Path, PathBuf};

use foxwheel_core::settings::{self, Check, Problems};
use serde::{Deserialize, Serialize};

use crate::experiment::Experiment;
use crate::fleet::FleetError;
use crate::report::ExperimentResult;
use crate::run;

/// The content of a sweep file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// The path of the experiment file, relative to the sweep file.
    pub experiment: PathBuf,
    /// The points, which are run in order.
    pub points: Vec<SweepPoint>,
}

/// One point of a sweep.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SweepPoint {
    /// The name of the point: the first column of its row, and the folder of its logs.
    pub label: String,
    /// The values to change in the experiment file, by JSON pointer, e.g. `/online/0/rate_per_s`.
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

/// The errors that end a sweep.
#[derive(Debug, thiserror::Error)]
pub enum SweepError {
    /// The experiment of a point is invalid.
    #[error("point `{label}`: {problem}")]
    Point {
        /// The name of the point.
        label: String,
        /// The reason.
        problem: String,
    },
    /// A file could not be read or written.
    #[error("{path}: {source}")]
    Io {
        /// The path of the file.
        path: String,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The fleet of a point did not start.
    #[error(transparent)]
    Fleet(#[from] FleetError),
}

/// The columns of a row, in order. The command `fit` selects them by name.
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

/// Runs every point of the sweep file at `path` and writes `rows.tsv` under `out` after each
/// point. Returns an error at the first point that is invalid or whose fleet does not start, and
/// if a file cannot be read or written.
pub async fn run_sweep(path: &Path, sweep: &Sweep, out: &Path) -> Result<(), SweepError> {
    let base = path.parent().unwrap_or(Path::new("."));
    let experiment_path = base.join(&sweep.experiment);
    let experiment = read_json(&experiment_path)?;
    let experiment_base = experiment_path.parent().unwrap_or(base);
    let mut rows = format!("{}\n", COLUMNS.join("\t"));
    for point in &sweep.points {
        let experiment = apply_point(&experiment, point)?;
        let folder = out.join(&point.label);
        let result = run::run_experiment(experiment, experiment_base, &folder).await?;
        let row = format_row(&point.label, &result);
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

/// Returns the experiment with the values of the point. Every pointer must name a value that the
/// experiment file contains.
fn apply_point(
    experiment: &serde_json::Value,
    point: &SweepPoint,
) -> Result<Experiment, SweepError> {
    let point_error = |problem: String| SweepError::Point {
        label: point.label.clone(),
        problem,
    };
    let mut experiment = experiment.clone();
    for (pointer, value) in &point.set {
        let old_value = experiment.pointer_mut(pointer);
        *old_value.ok_or_else(|| {
            point_error(format!("`{pointer}` names no value of the experiment"))
        })? = value.clone();
    }
    settings::parse(&point.label, &experiment.to_string()).map_err(|e| point_error(e.to_string()))
}

/// Formats a result as one line of tab-separated values, in the order of [`COLUMNS`].
///
/// Latencies are the highest among the models, as all models share a row.
pub fn format_row(label: &str, result: &ExperimentResult) -> String {
    let usage = result.usage.clone().unwrap_or_default();
    let highest = |figure: fn(&crate::report::OnlineResult) -> f64| {
        result.online.iter().map(figure).fold(0.0, f64::max)
    };
    let items: u64 = result.batches.iter().map(|job| job.done + job.failed).sum();
    let items_per_s: f64 = result
        .batches
        .iter()
        .filter_map(|job| job.items_per_s)
        .sum();
    let mut row = String::from(label);
    let numbers = [
        usage.gateway.processes as f64,
        usage.agent.processes as f64,
        usage.window_s,
        result.online.iter().map(|online| online.sent as f64).sum(),
        result
            .online
            .iter()
            .map(|online| online.tokens as f64)
            .sum(),
        items as f64,
        highest(|online| online.ttft.p50_ms),
        highest(|online| online.ttft.p95_ms),
        highest(|online| online.tbt.p95_ms),
        result.burn.iter().map(|burn| burn.whole.bad as f64).sum(),
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
        // Adding zero turns the negative zero of an empty sum into zero.
        write!(row, "\t{}", (number * 1000.0).round() / 1000.0 + 0.0).expect("writing to a string");
    }
    row.push('\n');
    row
}
