//! Plots of a result as SVG: time to first token and batch items over time, and burn.

use std::path::Path;

use foxwheel_plot::{Line, PlotError};

use crate::report::ExperimentResult;

/// The x axis of plots over time.
const LOAD_SECONDS: &str = "seconds from the start of the load";
/// Draws `timeline.svg`, `batch.svg` and `burn.svg` into `folder`.
pub fn draw_all(result: &ExperimentResult, folder: &Path) -> Result<(), PlotError> {
    let ttft = result.online.iter().map(|o| Line {
        label: o.model.clone(),
        points: o
            .seconds
            .iter()
            .map(|s| (s.second as f64, s.ttft_p95_ms))
            .collect(),
    });
    foxwheel_plot::draw_line_plot(
        &folder.join("timeline.svg"),
        "p95 time to first token, per second (ms)",
        LOAD_SECONDS,
        ttft.collect(),
    )?;
    let finished = Line {
        label: "all jobs".to_owned(),
        points: result
            .batch_finished
            .iter()
            .map(|p| (p.at_s, p.finished as f64))
            .collect(),
    };
    foxwheel_plot::draw_line_plot(
        &folder.join("batch.svg"),
        "batch items finished",
        LOAD_SECONDS,
        vec![finished],
    )?;
    let burn = result.burn.iter().map(|b| Line {
        label: b.model.clone(),
        points: b
            .windows
            .iter()
            .map(|w| (w.start_s as f64, w.burn_rate))
            .collect(),
    });
    foxwheel_plot::draw_line_plot(
        &folder.join("burn.svg"),
        "error budget burn rate, per window",
        LOAD_SECONDS,
        burn.collect(),
    )
}
