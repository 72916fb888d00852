//! What is played: the fleet, the load and the variants of the decisions.

use std::time::Duration;

use foxwheel_core::settings::{Check, Problems};
use foxwheel_policy::placement::FillLimits;
use serde::{Deserialize, Serialize};

/// A scenario file; a JSON object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seeds played for each variant; the figures are sums over them.
    pub seeds: Vec<u64>,
    /// How long requests come, in seconds.
    pub length_s: u64,
    /// Processes and engines.
    pub fleet: Fleet,
    /// The engines.
    pub engine: EngineShape,
    /// Online requests.
    pub online: OnlineLoad,
    /// Batch jobs.
    pub batch: BatchLoad,
    /// The variants, played on the same arrivals.
    pub variants: Vec<Variant>,
}

/// How many of what there are.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Availability zones; engines, fronts and workers are spread over them in turn.
    pub zones: usize,
    /// Engines.
    pub engines: usize,
    /// Processes that send online requests.
    pub fronts: usize,
    /// Processes that send batch items.
    pub workers: usize,
    /// Age of what processes of a zone know of each other's requests, in milliseconds.
    pub local_view_age_ms: u64,
    /// The same between zones.
    pub remote_view_age_ms: u64,
}

/// One engine's speed.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineShape {
    /// Requests it runs at once.
    pub slots: u32,
    /// Fixed time of a step that gives each running request a token, in milliseconds.
    pub step_ms: f64,
    /// Added time of a step for each running request, in milliseconds.
    pub step_ms_per_slot: f64,
    /// Prompt tokens read in a millisecond, between steps.
    pub prefill_tokens_per_ms: f64,
    /// Time from a slot to the first token beside reading the prompt, in milliseconds.
    pub first_token_ms: f64,
}

/// Online requests: a rate that alternates between a trough and a step.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnlineLoad {
    /// Requests a second in a trough.
    pub trough_per_s: f64,
    /// Length of a trough, in seconds.
    pub trough_s: f64,
    /// Requests a second in a step.
    pub step_per_s: f64,
    /// Length of a step, in seconds.
    pub step_s: f64,
    /// Tokens of a prompt.
    pub prompt_tokens: u32,
    /// Tokens of an answer, at the mean; a fourth more or less.
    pub output_tokens: u32,
    /// Time to the first token within which a request is on time, in milliseconds.
    pub target_ms: u64,
}

/// Batch jobs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchLoad {
    /// Jobs a second.
    pub jobs_per_s: f64,
    /// Items of a job.
    pub items: usize,
    /// Tokens of an item's prompt.
    pub prompt_tokens: u32,
    /// Tokens of an item's output, at the mean; a fourth more or less.
    pub output_tokens: u32,
    /// Time from a job's submission until it is due, in seconds.
    pub due_s: u64,
}

/// In which order batch items get slots.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BatchOrder {
    /// As `foxwheel_policy::batch::schedule` says.
    #[default]
    Schedule,
    /// In order of submission.
    Submission,
}

/// When refused callers come back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReturnPlan {
    /// As `foxwheel_policy::admission` says.
    #[default]
    AsSlotsAreFreed,
    /// All after the same time, in milliseconds.
    After(u64),
}

/// One way to decide.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Its name in the figures.
    pub name: String,
    /// How far servers are filled.
    #[serde(default)]
    pub limits: FillLimits,
    /// How long a front waits for a slot before it refuses, in milliseconds.
    #[serde(default = "default_slot_wait_ms")]
    pub slot_wait_ms: u64,
    /// The order of batch items.
    #[serde(default)]
    pub batch_order: BatchOrder,
    /// When refused callers come back.
    #[serde(default)]
    pub returns: ReturnPlan,
    /// Whether batch items run at all.
    #[serde(default = "default_batch")]
    pub batch: bool,
}

/// As the fronts wait.
fn default_slot_wait_ms() -> u64 {
    60
}

fn default_batch() -> bool {
    true
}

impl OnlineLoad {
    /// Requests a second at `at` from the start.
    pub fn rate(&self, at: Duration) -> f64 {
        let in_period = at.as_secs_f64() % (self.trough_s + self.step_s);
        match in_period < self.trough_s {
            true => self.trough_per_s,
            false => self.step_per_s,
        }
    }
}

impl Check for Scenario {
    fn check(&self, problems: &mut Problems) {
        for (field, empty) in [
            ("seeds", self.seeds.is_empty()),
            ("variants", self.variants.is_empty()),
        ] {
            if empty {
                problems.add(field, "must not be empty");
            }
        }
        problems.require_positive("length_s", self.length_s);
        problems.require_positive("fleet/zones", self.fleet.zones as u64);
        problems.require_positive("fleet/engines", self.fleet.engines as u64);
        problems.require_positive("fleet/fronts", self.fleet.fronts as u64);
        problems.require_positive("fleet/workers", self.fleet.workers as u64);
        problems.require_positive("engine/slots", self.engine.slots.into());
        let speeds = [
            ("engine/step_ms", self.engine.step_ms),
            (
                "engine/prefill_tokens_per_ms",
                self.engine.prefill_tokens_per_ms,
            ),
            ("online/trough_s", self.online.trough_s),
        ];
        for (field, value) in speeds {
            if !(value.is_finite() && value > 0.0) {
                problems.add(field, "must be greater than zero");
            }
        }
    }
}
