//! Counts losses in the logs of several processes: requests and results that were late, refused,
//! failed or run again.
//!
//! [`collection`] finds the losses and the reason of each, [`summary`] counts them by reason,
//! server, host and second, as text and as a plot. `foxwheel-ctl explain` shows a single case.

pub mod collection;
pub mod summary;

use std::path::{Path, PathBuf};

use crate::explain::clock_alignment;
use crate::{log_lines, CtlError};

/// Reads the log files and returns the summary of their losses as text. If `plot` is given, also
/// plots the losses over time into that SVG file. Fails if a file cannot be read or written.
pub fn report(files: &[PathBuf], plot: Option<&Path>) -> Result<String, CtlError> {
    let mut lines = log_lines::read_all(files)?;
    clock_alignment::align_clocks(&mut lines);
    let collected = collection::CollectedLosses::from_lines(&lines);
    if let Some(path) = plot {
        summary::plot_losses(&collected, path).map_err(|source| CtlError::Plot {
            path: path.display().to_string(),
            detail: source.to_string(),
        })?;
    }
    Ok(summary::format_summary(&collected))
}
