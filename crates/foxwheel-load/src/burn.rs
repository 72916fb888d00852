//! Service-level burn: how fast each deployment spends its error budget.
//!
//! A request is bad when it got no whole answer, or its first token or mean time between
//! tokens missed the objective. The budget is the share of bad requests the target allows;
//! a burn rate of 1 spends it exactly, of 10 ten times as fast.

use std::time::Duration;

use serde::Serialize;

use crate::experiment::Objective;

/// How one online request went, for burn and for the timeline.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outcome {
    /// When it was sent, from the start of the load.
    pub sent_at: Duration,
    /// Time to first token; `None` without a whole answer.
    pub ttft: Option<Duration>,
    /// Mean time between tokens.
    pub mean_tbt: Duration,
}

impl Outcome {
    fn meets(&self, objective: &Objective) -> bool {
        self.ttft.is_some_and(|ttft| {
            ttft <= Duration::from_millis(objective.ttft_ms)
                && self.mean_tbt <= Duration::from_millis(objective.tbt_ms)
        })
    }
}

/// Requests of one window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Window {
    /// The window's start, in seconds from the start of the load.
    pub start_s: u64,
    /// Requests sent in it.
    pub requests: u64,
    /// Those that missed the objective.
    pub bad: u64,
    /// The share of bad requests over the share the target allows.
    pub burn_rate: f64,
}

/// One deployment's burn.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Burn {
    /// The deployment's model.
    pub model: String,
    /// Windows with requests, in order.
    pub windows: Vec<Window>,
    /// The whole run as one window.
    pub whole: Window,
}

/// The burn of `model` from its requests' outcomes.
pub fn of(model: &str, outcomes: &[Outcome], objective: &Objective) -> Burn {
    let mut windows: Vec<Window> = Vec::new();
    let mut whole = Window::default();
    for outcome in outcomes {
        let start_s = outcome.sent_at.as_secs() / objective.window_s * objective.window_s;
        let at = match windows.binary_search_by_key(&start_s, |w| w.start_s) {
            Ok(at) => at,
            Err(at) => {
                let window = Window {
                    start_s,
                    ..Window::default()
                };
                windows.insert(at, window);
                at
            }
        };
        let bad = u64::from(!outcome.meets(objective));
        for window in [&mut windows[at], &mut whole] {
            window.requests += 1;
            window.bad += bad;
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
