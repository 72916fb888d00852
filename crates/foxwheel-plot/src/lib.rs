//! Draws line plots as SVG files, for the reports of the load tool and of the command line tool.

use std::path::Path;

use plotters::prelude::*;

/// The error returned when a plot cannot be drawn or its file cannot be written.
pub type PlotError = Box<dyn std::error::Error>;

/// Width and height of a plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (900, 420);

/// Colours of the lines: the n-th line gets the n-th colour, starting again after the last.
const LINE_COLOURS: [RGBColor; 4] = [BLUE, RED, MAGENTA, CYAN];

/// One line of a plot.
pub struct Line {
    /// The name shown in the legend.
    pub label: String,
    /// The (x, y) points that the line connects, in ascending order of x.
    pub points: Vec<(f64, f64)>,
}

/// Draws `lines` over common axes into an SVG file at `path`, with a legend of their labels.
///
/// Both axes start at zero and reach at least 1. Returns an error if the file cannot be written.
pub fn draw_line_plot(
    path: &Path,
    caption: &str,
    x_label: &str,
    lines: Vec<Line>,
) -> Result<(), PlotError> {
    let points = || lines.iter().flat_map(|line| &line.points);
    let x_max = points().map(|point| point.0).fold(1.0, f64::max);
    let y_max = points().map(|point| point.1).fold(1.0, f64::max) * 1.1;
    let root = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(caption, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
    chart.configure_mesh().x_desc(x_label).draw()?;
    for (line, colour) in lines.into_iter().zip(LINE_COLOURS.into_iter().cycle()) {
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
