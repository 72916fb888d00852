//! Plots of a result as SVG: time to first token and batch items over time, and burn.

use std::path::Path;

use plotters::prelude::*;

use crate::report::ExperimentResult;

/// Why a plot was not drawn.
pub type PlotError = Box<dyn std::error::Error>;

/// The plot's size in pixels.
const SIZE: (u32, u32) = (900, 420);
/// The x axis of plots over time.
const LOAD_SECONDS: &str = "seconds from the start of the load";
/// One colour a line, used in turn.
const COLOURS: [RGBColor; 4] = [BLUE, RED, MAGENTA, CYAN];

/// One labelled line.
pub struct Line {
    /// Its name.
    pub label: String,
    /// Its points, by rising x.
    pub points: Vec<(f64, f64)>,
}

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
    draw(
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
    draw(
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
    draw(
        &folder.join("burn.svg"),
        "error budget burn rate, per window",
        LOAD_SECONDS,
        burn.collect(),
    )
}

/// Draws lines over a common x axis.
pub fn draw(path: &Path, caption: &str, x_desc: &str, lines: Vec<Line>) -> Result<(), PlotError> {
    let points = || lines.iter().flat_map(|l| &l.points);
    let x_max = points().map(|p| p.0).fold(1.0, f64::max);
    let y_max = points().map(|p| p.1).fold(1.0, f64::max) * 1.1;
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(caption, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
    chart.configure_mesh().x_desc(x_desc).draw()?;
    for (line, colour) in lines.into_iter().zip(COLOURS.into_iter().cycle()) {
        chart
            .draw_series(LineSeries::new(line.points, &colour))?
            .label(line.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
