//! An average in which the newest values count most.

use std::time::Duration;

/// Weight of the newest value: the last dozen count, as loads change within seconds.
const NEWEST_WEIGHT: f64 = 0.1;

/// An exponentially weighted average; the first value counts whole.
#[derive(Debug, Clone, Copy, Default)]
pub struct MovingAverage(Option<f64>);

impl MovingAverage {
    /// Takes the next value.
    pub fn push(&mut self, value: f64) {
        self.0 = Some(match self.0 {
            Some(average) => average + NEWEST_WEIGHT * (value - average),
            None => value,
        });
    }

    /// Takes the next duration, in seconds.
    pub fn push_duration(&mut self, value: Duration) {
        self.push(value.as_secs_f64());
    }

    /// The average, or none before the first value.
    pub fn get(&self) -> Option<f64> {
        self.0
    }

    /// The average as a duration, or none before the first value.
    pub fn duration(&self) -> Option<Duration> {
        self.0.map(|value| Duration::from_secs_f64(value.max(0.0)))
    }
}
