//! The operators' command line, as a library so that its contract can be tested.
//!
//! [`args`] parses the command line, [`apply`] applies, diffs and reads declarations in the
//! platform store with conditional updates, [`batch`] calls a gateway's batch API, and
//! [`explain`] tells what became of a request from the processes' logs, [`losses`] what was late,
//! refused, failed or run again in them, and [`burn`] how fast the error budget is spent from
//! their metrics.

pub mod apply;
pub mod args;
pub mod batch;
pub mod burn;
pub mod explain;
pub mod log_lines;
pub mod losses;

/// Why a command failed; the message is printed and the exit code is non-zero.
#[derive(Debug, thiserror::Error)]
pub enum CtlError {
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// The declarations file is refused.
    #[error(transparent)]
    Settings(#[from] foxwheel_core::settings::SettingsError),
    /// The store refused or failed.
    #[error(transparent)]
    Store(#[from] foxwheel_store::client::StoreError),
    /// Another operator changed an object between this command's read and its write.
    #[error("{key} was changed by someone else (now at version {current_version}) while applying; run `diff` and apply again")]
    Raced {
        /// The object's key.
        key: String,
        /// Its version now.
        current_version: u64,
    },
    /// A log or metrics file could not be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// The file's path as given.
        path: String,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// A plot could not be drawn.
    #[error("cannot draw {path}: {detail}")]
    Plot {
        /// The file's path as given.
        path: String,
        /// What the drawing library said.
        detail: String,
    },
    /// No line of the logs names the id.
    #[error("no line names `{0}`: its lines may be in other logs, or were dropped")]
    UnknownId(String),
    /// The gateway refused or failed.
    #[error("gateway at {peer}, step '{step}': {detail}")]
    Gateway {
        /// The call.
        step: &'static str,
        /// The gateway's address.
        peer: String,
        /// What it said.
        detail: String,
    },
}
