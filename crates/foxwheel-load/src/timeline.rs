//! Figures over time: p95 time to first token per second and batch items finished.

use std::time::Duration;

use serde::Serialize;

use crate::burn::Outcome;

/// One second of one model's online load.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct OnlineSecond {
    /// Seconds from the start of the load.
    pub second: u64,
    /// Requests sent in it.
    pub requests: u64,
    /// The 95th percentile of their time to first token, in milliseconds.
    pub ttft_p95_ms: f64,
}

/// Items finished by some time, over all jobs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct BatchPoint {
    /// Seconds from the start of the load.
    pub at_s: f64,
    /// Items finished by then.
    pub finished: u64,
}

/// Per-second figures of one model's outcomes.
pub fn online(outcomes: &[Outcome]) -> Vec<OnlineSecond> {
    let mut seconds: Vec<(u64, Vec<Duration>)> = Vec::new();
    for outcome in outcomes {
        let second = outcome.sent_at.as_secs();
        let at = match seconds.binary_search_by_key(&second, |(s, _)| *s) {
            Ok(at) => at,
            Err(at) => {
                seconds.insert(at, (second, Vec::new()));
                at
            }
        };
        seconds[at].1.extend(outcome.ttft);
    }
    seconds
        .into_iter()
        .map(|(second, mut ttfts)| {
            ttfts.sort_unstable();
            let p95 = (ttfts.len() * 95).div_ceil(100).max(1) - 1;
            OnlineSecond {
                second,
                requests: ttfts.len() as u64,
                ttft_p95_ms: ttfts.get(p95).map_or(0.0, |t| t.as_secs_f64() * 1e3),
            }
        })
        .collect()
}

/// Adds up the jobs' own curves of finished items into one.
pub fn batch(jobs: &[Vec<BatchPoint>]) -> Vec<BatchPoint> {
    let mut times: Vec<f64> = jobs.iter().flatten().map(|p| p.at_s).collect();
    times.sort_by(f64::total_cmp);
    times
        .into_iter()
        .map(|at_s| {
            let finished_by = |job: &Vec<BatchPoint>| {
                let after = job.partition_point(|p| p.at_s <= at_s);
                after.checked_sub(1).map_or(0, |last| job[last].finished)
            };
            BatchPoint {
                at_s,
                finished: jobs.iter().map(finished_by).sum(),
            }
        })
        .collect()
}
