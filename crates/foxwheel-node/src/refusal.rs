//! Why a caller gets no success response, and when it should come back.

use std::time::Duration;

use foxwheel_core::metric_names::RefusalReason;

use crate::attempt::FullResponse;

/// Why a caller gets no success response.
#[derive(Debug)]
pub enum Refusal {
    /// The request has not run and never will.
    NotRun {
        /// Why it was not run.
        reason: RefusalReason,
        /// After how long the caller should retry.
        retry_after: Duration,
    },
    /// The request may have run.
    Failed {
        /// The cause, for the log.
        reason: String,
        /// The error response of the server, if it sent a complete one.
        response: Option<FullResponse>,
    },
}

impl Refusal {
    /// Returns after how long the caller is told to retry; `None` if the request may have run.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NotRun { retry_after, .. } => Some(*retry_after),
            Self::Failed { .. } => None,
        }
    }

    /// Returns the cause, for the log.
    pub fn reason(&self) -> &str {
        match self {
            Self::NotRun { reason, .. } => reason.text(),
            Self::Failed { reason, .. } => reason,
        }
    }
}
