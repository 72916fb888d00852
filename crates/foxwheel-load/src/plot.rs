//! Draws the plots of a result as SVG files: time to first token, finished batch items and error
//! budget burn over time.

use std::path::Path;

use foxwheel_plot::{Line, PlotError};

use crate::report::ExperimentResult;

/// The label of the x axis.
const TIME_AXIS_LABEL: &str = "seconds from the start of the load";

/// Draws `timeline.svg`, `batch.svg` and `burn.svg` into `folder`. Returns an error if a file
/// cannot be written.
pub fn draw_plots(result: &ExperimentResult, folder: &Path) -> Result<(), PlotError> {
    let ttft = result.online.iter().map(|online| Line {
        label: online.model.clone(),
        points: online
            .seconds
            .iter()
            .map(|second| (second.second as f64, second.ttft_p95_ms))
            .collect(),
    });
    foxwheel_plot::draw_line_plot(
        &folder.join("timeline.svg"),
        "p95 time to first token, per second (ms)",
        TIME_AXIS_LABEL,
        ttft.collect(),
    )?;
    let finished = Line {
        label: "all jobs".to_owned(),
        points: result
            .batch_finished
            .iter()
            .map(|point| (point.at_s, point.finished as f64))
            .collect(),
    };
    foxwheel_plot::draw_line_plot(
        &folder.join("batch.svg"),
        "batch items finished",
        TIME_AXIS_LABEL,
        vec![finished],
    )?;
    let burn = result.burn.iter().map(|burn| Line {
        label: burn.model.clone(),
        points: burn
            .windows
            .iter()
            .map(|window| (window.start_s as f64, window.burn_rate))
            .collect(),
    });
    foxwheel_plot::draw_line_plot(
        &folder.join("burn.svg"),
        "error budget burn rate, per window",
        TIME_AXIS_LABEL,
        burn.collect(),
    )
}
