//! An exponentially weighted moving average.

use std::time::Duration;

/// Weight of the newest value. Roughly the last dozen values count, because loads change within
/// seconds.
const NEWEST_WEIGHT: f64 = 0.1;

/// An exponentially weighted moving average, initialized with its first value.
#[derive(Debug, Clone, Copy, Default)]
pub struct MovingAverage(Option<f64>);

impl MovingAverage {
    /// Adds a value.
    pub fn push(&mut self, value: f64) {
        self.0 = Some(match self.0 {
            Some(average) => average + NEWEST_WEIGHT * (value - average),
            None => value,
        });
    }

    /// Adds a duration, in seconds.
    pub fn push_duration(&mut self, value: Duration) {
        self.push(value.as_secs_f64());
    }

    /// Returns the average, or `None` before the first value.
    pub fn get(&self) -> Option<f64> {
        self.0
    }

    /// Returns the average as a duration, or `None` before the first value.
    pub fn duration(&self) -> Option<Duration> {
        self.0.map(|value| Duration::from_secs_f64(value.max(0.0)))
    }
}
