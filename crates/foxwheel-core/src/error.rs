//! Errors that carry the step and the peer at which they arose.

use std::error::Error;
use std::fmt;

/// Where an error arose: the step of the work and the peer that was being talked to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// The step, e.g. `"lease chunk"` or `"forward to agent"`.
    pub step: &'static str,
    /// The peer's address or name, e.g. `"127.0.0.1:7400"`; empty when no peer was involved.
    pub peer: String,
}

impl Origin {
    /// An origin at `step` while talking to `peer`.
    pub fn new(step: &'static str, peer: impl Into<String>) -> Self {
        Self {
            step,
            peer: peer.into(),
        }
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.peer.is_empty() {
            write!(f, "at step '{}'", self.step)
        } else {
            write!(f, "at step '{}' with peer {}", self.step, self.peer)
        }
    }
}

/// Shows an error with what caused it. Libraries often tell the kind of a failure in the error
/// itself and the operating system's reason only in its source.
#[derive(Debug)]
pub struct WithCauses<'a>(pub &'a (dyn Error + 'static));

impl fmt::Display for WithCauses<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)?;
        let mut cause = self.0.source();
        while let Some(error) = cause {
            write!(f, ": {error}")?;
            cause = error.source();
        }
        Ok(())
    }
}
