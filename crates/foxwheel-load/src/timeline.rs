//! Results over time: the p95 time to first token in each second, and finished batch items.

use std::time::Duration;

use serde::Serialize;

use crate::burn::RequestOutcome;

/// The results of one model's online load in one second.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct OnlineSecond {
    /// Time from the start of the load, in seconds.
    pub second: u64,
    /// The number of requests sent in this second that got a complete response.
    pub requests: u64,
    /// The 95th percentile of their time to first token, in milliseconds; 0 if there are none.
    pub ttft_p95_ms: f64,
}

/// The number of batch items finished by a point in time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct BatchPoint {
    /// Time from the start of the load, in seconds.
    pub at_s: f64,
    /// The number of items finished by this time.
    pub finished: u64,
}

/// Computes the results of each second from the outcomes of one model's requests.
pub fn online_seconds(outcomes: &[RequestOutcome]) -> Vec<OnlineSecond> {
    let mut seconds: Vec<(u64, Vec<Duration>)> = Vec::new();
    for outcome in outcomes {
        let second = outcome.sent_at.as_secs();
        let index = match seconds.binary_search_by_key(&second, |(known, _)| *known) {
            Ok(index) => index,
            Err(index) => {
                seconds.insert(index, (second, Vec::new()));
                index
            }
        };
        seconds[index].1.extend(outcome.ttft);
    }
    seconds
        .into_iter()
        .map(|(second, mut ttfts)| {
            ttfts.sort_unstable();
            let p95_index = (ttfts.len() * 95).div_ceil(100).max(1) - 1;
            OnlineSecond {
                second,
                requests: ttfts.len() as u64,
                ttft_p95_ms: ttfts
                    .get(p95_index)
                    .map_or(0.0, |ttft| ttft.as_secs_f64() * 1e3),
            }
        })
        .collect()
}

/// Adds the finished items of all jobs over time. The result has a point for each point of a job.
pub fn sum_finished_items(jobs: &[Vec<BatchPoint>]) -> Vec<BatchPoint> {
    let mut times: Vec<f64> = jobs.iter().flatten().map(|point| point.at_s).collect();
    times.sort_by(f64::total_cmp);
    times
        .into_iter()
        .map(|at_s| {
            let finished_by = |job: &Vec<BatchPoint>| {
                let point_count = job.partition_point(|point| point.at_s <= at_s);
                point_count
                    .checked_sub(1)
                    .map_or(0, |last| job[last].finished)
            };
            BatchPoint {
                at_s,
                finished: jobs.iter().map(finished_by).sum(),
            }
        })
        .collect()
}
