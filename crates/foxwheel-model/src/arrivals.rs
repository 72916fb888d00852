//! Generates the arrivals of a scenario; a seed gives every variant the same arrivals.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::scenario::{BatchLoad, OnlineLoad, Scenario};

/// The arrival of an online request.
#[derive(Debug, Clone, Copy)]
pub struct OnlineArrival {
    /// The time since the start of the simulation.
    pub at: Duration,
    /// The number of tokens in its response.
    pub output_tokens: u32,
    /// A random number of the caller; modulo the number of fronts it is the index of the front.
    pub caller_number: usize,
}

/// The arrival of a batch job.
#[derive(Debug, Clone)]
pub struct JobArrival {
    /// The time since the start of the simulation.
    pub at: Duration,
    /// The number of output tokens of each item.
    pub item_tokens: Vec<u32>,
}

/// All arrivals of a simulation, each list in order of time.
#[derive(Debug, Clone)]
pub struct Arrivals {
    /// The online requests.
    pub online: Vec<OnlineArrival>,
    /// The batch jobs.
    pub jobs: Vec<JobArrival>,
}

impl Arrivals {
    /// Generates the arrivals of `scenario` from `seed`.
    pub fn generate(scenario: &Scenario, seed: u64) -> Self {
        let length = Duration::from_secs(scenario.length_s);
        // Each load has its own generator, so that a change to one load does not change the
        // arrivals of the other.
        let mut online_rng = StdRng::seed_from_u64(seed);
        let mut batch_rng = StdRng::seed_from_u64(!seed);
        Self {
            online: online_arrivals(&scenario.online, length, &mut online_rng),
            jobs: job_arrivals(&scenario.batch, length, &mut batch_rng),
        }
    }
}

fn online_arrivals(load: &OnlineLoad, length: Duration, rng: &mut StdRng) -> Vec<OnlineArrival> {
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += time_to_next_arrival(load.rate_per_s(at), rng);
        if at >= length {
            return arrivals;
        }
        arrivals.push(OnlineArrival {
            at,
            output_tokens: vary_token_count(load.output_tokens, rng),
            caller_number: rng.random_range(0..usize::MAX),
        });
    }
}

fn job_arrivals(load: &BatchLoad, length: Duration, rng: &mut StdRng) -> Vec<JobArrival> {
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += time_to_next_arrival(load.jobs_per_s, rng);
        if at >= length {
            return arrivals;
        }
        let item_tokens = (0..load.items).map(|_| vary_token_count(load.output_tokens, rng));
        arrivals.push(JobArrival {
            at,
            item_tokens: item_tokens.collect(),
        });
    }
}

/// Draws the time to the next arrival at a mean rate of `rate_per_s`. It is exponentially
/// distributed, as for many independent callers.
fn time_to_next_arrival(rate_per_s: f64, rng: &mut StdRng) -> Duration {
    /// Returned for a rate of zero and below; longer than any simulation.
    const NEVER: Duration = Duration::from_secs(1_000_000);
    if rate_per_s <= 0.0 {
        return NEVER;
    }
    let draw: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-draw.ln() / rate_per_s).min(NEVER)
}

/// Draws a number within a quarter above or below `mean`, at least 1.
fn vary_token_count(mean: u32, rng: &mut StdRng) -> u32 {
    let factor = rng.random_range(0.75..1.25);
    ((f64::from(mean) * factor) as u32).max(1)
}
