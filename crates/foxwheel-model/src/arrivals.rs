//! Arrivals of a scenario, the same for every variant of a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::scenario::{BatchLoad, OnlineLoad, Scenario};

/// An online request that comes.
#[derive(Debug, Clone, Copy)]
pub struct OnlineArrival {
    /// When.
    pub at: Duration,
    /// Tokens of its answer.
    pub output_tokens: u32,
    /// A number that picks its front.
    pub caller: usize,
}

/// A batch job that comes.
#[derive(Debug, Clone)]
pub struct JobArrival {
    /// When.
    pub at: Duration,
    /// Tokens of each item's output.
    pub item_tokens: Vec<u32>,
}

/// Everything that comes, in order of time.
#[derive(Debug, Clone)]
pub struct Arrivals {
    /// Online requests.
    pub online: Vec<OnlineArrival>,
    /// Jobs.
    pub jobs: Vec<JobArrival>,
}

impl Arrivals {
    /// The arrivals of `scenario` under `seed`.
    pub fn draw(scenario: &Scenario, seed: u64) -> Self {
        let length = Duration::from_secs(scenario.length_s);
        // Each load has a generator of its own, so that a change of one leaves the other.
        let mut online_draws = StdRng::seed_from_u64(seed);
        let mut batch_draws = StdRng::seed_from_u64(!seed);
        Self {
            online: online(&scenario.online, length, &mut online_draws),
            jobs: jobs(&scenario.batch, length, &mut batch_draws),
        }
    }
}

fn online(load: &OnlineLoad, length: Duration, draws: &mut StdRng) -> Vec<OnlineArrival> {
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += until_next(load.rate(at), draws);
        if at >= length {
            return arrivals;
        }
        arrivals.push(OnlineArrival {
            at,
            output_tokens: about(load.output_tokens, draws),
            caller: draws.random_range(0..usize::MAX),
        });
    }
}

fn jobs(load: &BatchLoad, length: Duration, draws: &mut StdRng) -> Vec<JobArrival> {
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += until_next(load.jobs_per_s, draws);
        if at >= length {
            return arrivals;
        }
        let item_tokens = (0..load.items).map(|_| about(load.output_tokens, draws));
        arrivals.push(JobArrival {
            at,
            item_tokens: item_tokens.collect(),
        });
    }
}

/// Time to the next arrival at a rate: exponential, as of many independent callers.
fn until_next(per_s: f64, draws: &mut StdRng) -> Duration {
    /// Stands for "never" where the rate is zero.
    const NEVER: Duration = Duration::from_secs(1_000_000);
    if per_s <= 0.0 {
        return NEVER;
    }
    let draw: f64 = draws.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-draw.ln() / per_s).min(NEVER)
}

/// A fourth more or less than `mean`.
fn about(mean: u32, draws: &mut StdRng) -> u32 {
    let factor = draws.random_range(0.75..1.25);
    ((f64::from(mean) * factor) as u32).max(1)
}
