//! The figures of a variant.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Precision of the histogram: values are exact to one in a thousand.
const SIGNIFICANT_DIGITS: u8 = 3;

/// What became of a variant's requests, over all seeds.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Online requests that came, returns not counted again.
    pub requests: u64,
    /// Whose first token came within the target, counted from the caller's last attempt.
    pub on_time: u64,
    /// Whose first token came later.
    pub late: u64,
    /// Refused and served on return.
    pub returned: u64,
    /// Refused twice.
    pub lost: u64,
    /// Time to the first token, in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Items submitted.
    pub items: u64,
    /// Items finished by their due time.
    pub items_on_time: u64,
    /// Items finished later.
    pub items_late: u64,
    /// Runs of items stopped for online requests.
    pub runs_stopped: u64,
}

impl Default for Outcome {
    fn default() -> Self {
        Self {
            requests: 0,
            on_time: 0,
            late: 0,
            returned: 0,
            lost: 0,
            first_token_us: Histogram::new(SIGNIFICANT_DIGITS).expect("a valid precision"),
            items: 0,
            items_on_time: 0,
            items_late: 0,
            runs_stopped: 0,
        }
    }
}

impl Outcome {
    /// Takes note of an online request's first token.
    pub fn note_first_token(&mut self, took: Duration, target: Duration) {
        match took <= target {
            true => self.on_time += 1,
            false => self.late += 1,
        }
        // The histogram grows with its values.
        let _ = self.first_token_us.record(took.as_micros() as u64);
    }

    /// A quantile of the time to the first token, in milliseconds.
    pub fn first_token_ms(&self, quantile: f64) -> f64 {
        self.first_token_us.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// The share of online requests that were on time; 1 without requests.
    pub fn on_time_share(&self) -> f64 {
        share(self.on_time, self.requests)
    }

    /// The share of items that were on time; 1 without items.
    pub fn items_on_time_share(&self) -> f64 {
        share(self.items_on_time, self.items)
    }
}

fn share(part: u64, whole: u64) -> f64 {
    match whole {
        0 => 1.0,
        _ => part as f64 / whole as f64,
    }
}
