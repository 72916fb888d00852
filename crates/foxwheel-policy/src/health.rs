//! The failure rate of a backend server, estimated from its recent responses.
//!
//! Load pattern: a server fails part of its requests while it looks healthy, or loses a
//! response now and then. Avoiding a server after every single failure takes a large share of a
//! fleet out of use at the same time and overloads the rest; never avoiding it loses requests that
//! may run only once.

use std::time::{Duration, Instant};

/// Time after which the weight of an outcome has decayed to about a third (1/e). It matches how
/// long a server's failures usually last, so that an avoided server is tried again soon after.
const DECAY_TIME: Duration = Duration::from_secs(3);

/// Successful requests assumed for every server, because one failure alone says little.
const ASSUMED_SUCCESSES: f64 = 4.0;

/// The decayed counts of successful and failed requests of one server.
#[derive(Debug, Clone, Copy, Default)]
pub struct OutcomeHistory {
    served: f64,
    failed: f64,
    /// The time up to which both counts have been decayed.
    updated_at: Option<Instant>,
}

impl OutcomeHistory {
    /// Records a request that the server failed, or served if `failed` is false.
    pub fn record(&mut self, failed: bool, now: Instant) {
        let decay = self.decay_factor(now);
        self.served *= decay;
        self.failed *= decay;
        self.updated_at = Some(now);
        match failed {
            true => self.failed += 1.0,
            false => self.served += 1.0,
        }
    }

    /// Returns the expected share of failing requests at `now`, from 0 to 1.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let decay = self.decay_factor(now);
        let failed = self.failed * decay;
        failed / (failed + self.served * decay + ASSUMED_SUCCESSES)
    }

    fn decay_factor(&self, now: Instant) -> f64 {
        let age = self.updated_at.map(|at| now.saturating_duration_since(at));
        age.map_or(1.0, |age| {
            (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
        })
    }
}
