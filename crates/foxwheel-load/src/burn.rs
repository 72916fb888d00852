//! Error budget burn: how fast each deployment spends its error budget.
//!
//! A request is bad if it got no complete response, or if its time to first token or its mean
//! time between tokens missed the objective. The error budget is the share of bad requests that
//! the target allows. A burn rate of 1 spends the budget exactly, a rate of 10 spends it ten times
//! as fast.

use std::time::Duration;

use serde::Serialize;

use crate::experiment::Objective;

/// The outcome of one online request, from which burn and timeline are computed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestOutcome {
    /// The time from the start of the load to the request.
    pub sent_at: Duration,
    /// Time to first token; None without a complete response.
    pub ttft: Option<Duration>,
    /// Mean time between tokens; zero without a complete response.
    pub mean_tbt: Duration,
}

impl RequestOutcome {
    fn meets_objective(&self, objective: &Objective) -> bool {
        self.ttft.is_some_and(|ttft| {
            ttft <= Duration::from_millis(objective.ttft_ms)
                && self.mean_tbt <= Duration::from_millis(objective.tbt_ms)
        })
    }
}

/// The requests of one window of time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Window {
    /// The start of the window, in seconds from the start of the load.
    pub start_s: u64,
    /// The number of requests sent in the window.
    pub requests: u64,
    /// The number of these requests that are bad.
    pub bad: u64,
    /// The share of bad requests divided by the share that the target allows.
    pub burn_rate: f64,
}

/// The error budget burn of one deployment.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Burn {
    /// The model of the deployment.
    pub model: String,
    /// The windows that contain requests, in order of time.
    pub windows: Vec<Window>,
    /// The entire load as one window.
    pub whole: Window,
}

/// Computes the burn of `model` from the outcomes of its requests.
pub fn compute_burn(model: &str, outcomes: &[RequestOutcome], objective: &Objective) -> Burn {
    let mut windows: Vec<Window> = Vec::new();
    let mut whole = Window::default();
    for outcome in outcomes {
        let start_s = outcome.sent_at.as_secs() / objective.window_s * objective.window_s;
        let index = match windows.binary_search_by_key(&start_s, |window| window.start_s) {
            Ok(index) => index,
            Err(index) => {
                let window = Window {
                    start_s,
                    ..Window::default()
                };
                windows.insert(index, window);
                index
            }
        };
        let bad_count = u64::from(!outcome.meets_objective(objective));
        for window in [&mut windows[index], &mut whole] {
            window.requests += 1;
            window.bad += bad_count;
        }
    }
    for window in windows.iter_mut().chain([&mut whole]) {
        window.burn_rate = burn_rate(window, objective.target);
    }
    Burn {
        model: model.to_owned(),
        windows,
        whole,
    }
}

fn burn_rate(window: &Window, target: f64) -> f64 {
    if window.requests == 0 {
        return 0.0;
    }
    window.bad as f64 / window.requests as f64 / (1.0 - target)
}
