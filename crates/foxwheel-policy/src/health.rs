//! What a server's last answers say of it.
//!
//! Load pattern: a server fails part of its requests while it looks healthy, or loses an
//! answer now and then. Avoiding it for each failure takes a large share of a fleet out of
//! use at once and overloads the rest; not avoiding it at all loses requests that run once.

use std::time::{Duration, Instant};

/// Time after which an outcome counts a third: as long as a server's trouble was seen to
/// last, about, so that a server that is avoided is tried again soon.
const FORGET: Duration = Duration::from_secs(3);

/// Served requests that every server is taken to have: one failure alone says little.
const BENEFIT: f64 = 4.0;

/// Requests served and failed by one server, the newest counting most.
#[derive(Debug, Clone, Copy, Default)]
pub struct OutcomeHistory {
    served: f64,
    failed: f64,
    /// When both were last brought up to date.
    at: Option<Instant>,
}

impl OutcomeHistory {
    /// Takes note of a request that the server served, or failed.
    pub fn record(&mut self, failed: bool, now: Instant) {
        let kept = self.kept(now);
        self.served *= kept;
        self.failed *= kept;
        self.at = Some(now);
        match failed {
            true => self.failed += 1.0,
            false => self.served += 1.0,
        }
    }

    /// The share of requests that it is expected to fail now.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let kept = self.kept(now);
        let failed = self.failed * kept;
        failed / (failed + self.served * kept + BENEFIT)
    }

    fn kept(&self, now: Instant) -> f64 {
        let age = self.at.map(|at| now.saturating_duration_since(at));
        age.map_or(1.0, |age| (-age.as_secs_f64() / FORGET.as_secs_f64()).exp())
    }
}
