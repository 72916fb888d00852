//! Line plots as SVG, for reports.

use std::path::Path;

use plotters::prelude::*;

/// Why a plot was not drawn.
pub type PlotError = Box<dyn std::error::Error>;

/// The plot's size in pixels.
const SIZE: (u32, u32) = (900, 420);

/// One colour a line, used in turn.
const COLOURS: [RGBColor; 4] = [BLUE, RED, MAGENTA, CYAN];

/// One labelled line.
pub struct Line {
    /// Its name.
    pub label: String,
    /// Its points, by rising x.
    pub points: Vec<(f64, f64)>,
}

/// Draws lines over a common x axis into an SVG file; fails if it cannot be written.
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
