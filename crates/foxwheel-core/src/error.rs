//! Parts of errors: the step and peer at which an error occurred, and its chain of causes.

use std::error::Error;
use std::fmt;

/// Where an error occurred: the step of the work and the peer involved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// The step, for example `"lease chunk"` or `"forward to agent"`.
    pub step: &'static str,
    /// Address or name of the peer, for example `"127.0.0.1:7400"`; empty if no peer is involved.
    pub peer: String,
}

impl Origin {
    /// Creates the origin of an error at `step` that involves `peer`.
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

/// Displays an error followed by its chain of causes. Many libraries name only the kind of a
/// failure in the error itself and give the operating system's reason in its source.
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
