//! The results of simulating a variant.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Precision of the histogram, in significant decimal digits: values are accurate to one in a
/// thousand.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts of what happened to the requests and batch items of a variant, summed over all seeds.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Online requests that arrived; a retry is not counted again.
    pub requests: u64,
    /// Online requests whose first token came within the target, measured from the caller's last
    /// attempt.
    pub on_time: u64,
    /// Online requests whose first token came after the target.
    pub late: u64,
    /// Online requests that were refused and served on their retry.
    pub served_on_retry: u64,
    /// Online requests that were refused, and refused again on their retry.
    pub refused_twice: u64,
    /// Times to the first token, in microseconds, measured from the caller's last attempt.
    pub first_token_us: Histogram<u64>,
    /// Batch items submitted.
    pub items: u64,
    /// Batch items that finished by their due time.
    pub items_on_time: u64,
    /// Batch items that finished after their due time or not at all.
    pub items_late: u64,
    /// Runs of batch items that were preempted to free slots for online requests.
    pub runs_preempted: u64,
}

impl Default for Outcome {
    fn default() -> Self {
        Self {
            requests: 0,
            on_time: 0,
            late: 0,
            served_on_retry: 0,
            refused_twice: 0,
            first_token_us: Histogram::new(SIGNIFICANT_DIGITS).expect("a valid precision"),
            items: 0,
            items_on_time: 0,
            items_late: 0,
            runs_preempted: 0,
        }
    }
}

impl Outcome {
    /// Records the time to the first token of an online request.
    pub fn record_first_token(&mut self, time_to_first_token: Duration, target: Duration) {
        match time_to_first_token <= target {
            true => self.on_time += 1,
            false => self.late += 1,
        }
        // Recording cannot fail: the histogram grows with its values.
        let _ = self
            .first_token_us
            .record(time_to_first_token.as_micros() as u64);
    }

    /// Returns a quantile (0 to 1) of the time to the first token, in milliseconds.
    pub fn first_token_ms(&self, quantile: f64) -> f64 {
        self.first_token_us.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the share of online requests that were on time; 1 if there were none.
    pub fn on_time_share(&self) -> f64 {
        share_of(self.on_time, self.requests)
    }

    /// Returns the share of batch items that were on time; 1 if there were none.
    pub fn items_on_time_share(&self) -> f64 {
        share_of(self.items_on_time, self.items)
    }
}

fn share_of(part: u64, total: u64) -> f64 {
    match total {
        0 => 1.0,
        _ => part as f64 / total as f64,
    }
}
