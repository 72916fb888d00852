//! Explains what happened to a request, batch item or job, from the structured logs of several
//! processes.
//!
//! [`timeline`] lists the log lines that name the id, its job or its items in order of time.
//! Between them it shows what the same processes logged at that time about the servers involved,
//! the platform store and their own configuration. The last line states the cause.
//!
//! Clocks of hosts may differ. [`clock_alignment`] therefore uses pairs of events whose order is
//! known (a front accepts a job before a worker takes it over) to correct the clock that lags.

pub mod clock_alignment;
pub mod timeline;

use std::path::PathBuf;

use crate::{log_lines, CtlError};

/// Reads the log files and returns the timeline of `id` as text. Fails if a file cannot be read or
/// no line names `id`.
pub fn explain(id: &str, files: &[PathBuf]) -> Result<String, CtlError> {
    let mut lines = log_lines::read_all(files)?;
    clock_alignment::align_clocks(&mut lines);
    timeline::format_timeline(id, &lines).ok_or_else(|| CtlError::UnknownId(id.to_owned()))
}
