//! The commands behind `foxwheel-ctl`, the operators' command line tool. They are a library so
//! that tests can call them without starting the binary.
//!
//! - [`args`] parses the command line.
//! - [`apply`] reads a declarations file, compares it with the platform store and writes the
//!   differences with conditional updates.
//! - [`batch`] calls a gateway's batch API.
//! - [`explain`] prints the history of one request, item or job from the logs of several
//!   processes, and the cause of its failure.
//! - [`losses`] counts, in the same logs, what was late, refused, failed or run again.
//! - [`burn`] computes from the metrics of fronts how fast the error budget is spent.

pub mod apply;
pub mod args;
pub mod batch;
pub mod burn;
pub mod explain;
pub mod log_lines;
pub mod losses;

/// Why a command failed. The binary prints the message and exits with a non-zero code.
#[derive(Debug, thiserror::Error)]
pub enum CtlError {
    /// The command line is invalid, or a batch request file could not be read or parsed.
    #[error("{0}")]
    Usage(String),
    /// The declarations file could not be read or is invalid.
    #[error(transparent)]
    Settings(#[from] foxwheel_core::settings::SettingsError),
    /// A call to the platform store failed.
    #[error(transparent)]
    Store(#[from] foxwheel_store::client::StoreError),
    /// Another writer changed an object between this command's read and its write.
    #[error("{key} was changed by another writer (now at version {current_version}) while applying; run `diff` and apply again")]
    ConcurrentChange {
        /// Store key of the object.
        key: String,
        /// Version of the object that the write found.
        current_version: u64,
    },
    /// A log or metrics file could not be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// Path as given on the command line.
        path: String,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// A plot could not be drawn.
    #[error("cannot draw {path}: {detail}")]
    Plot {
        /// Path of the plot as given on the command line.
        path: String,
        /// Error text of the plotting library.
        detail: String,
    },
    /// No line of the log files contains the id.
    #[error("no log line names `{0}`: its lines may be in other log files or were dropped")]
    UnknownId(String),
    /// The gateway could not be reached or returned an error status.
    #[error("gateway at {peer}, step '{step}': {detail}")]
    Gateway {
        /// The call that failed, e.g. `create batch`.
        step: &'static str,
        /// Base URL of the gateway.
        peer: String,
        /// Transport error, or status and body of the response.
        detail: String,
    },
}
