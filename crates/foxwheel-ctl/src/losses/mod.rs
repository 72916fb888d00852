//! What callers lost: requests and results that came late, were refused, failed or ran
//! again, summed from the logs of several processes.
//!
//! [`account`] finds the losses and their reasons, [`summary`] sums them by reason, server,
//! process and second, as text and as a plot. `foxwheel-ctl explain` tells a single case.

pub mod account;
pub mod summary;

use std::path::{Path, PathBuf};

use crate::explain::clocks;
use crate::{log_lines, CtlError};

/// Reads the log files and sums the losses in them; draws them over time into `plot` if one
/// is given. Fails on a file that cannot be read or written.
pub fn report(files: &[PathBuf], plot: Option<&Path>) -> Result<String, CtlError> {
    let mut lines = log_lines::read_all(files)?;
    clocks::align(&mut lines);
    let account = account::Account::of(&lines);
    if let Some(path) = plot {
        summary::draw(&account, path).map_err(|source| CtlError::Plot {
            path: path.display().to_string(),
            detail: source.to_string(),
        })?;
    }
    Ok(summary::text(&account))
}
