//! From a request's id to its cause, by the structured logs of several processes.
//!
//! The lines that name the id, its job or its items are put in order of time, together with
//! what the same processes learned meanwhile of the servers involved, of the store and of
//! their configuration. Clocks of hosts may differ: pairs of lines of which one must come
//! first (a front accepts a job before a worker takes it) shift the later host's clock.

pub mod clocks;
pub mod story;

use std::path::PathBuf;

use crate::{log_lines, CtlError};

/// Reads the log files and tells the story of `id`.
pub fn explain(id: &str, files: &[PathBuf]) -> Result<String, CtlError> {
    let mut lines = log_lines::read_all(files)?;
    clocks::align(&mut lines);
    story::tell(id, &lines).ok_or_else(|| CtlError::UnknownId(id.to_owned()))
}
