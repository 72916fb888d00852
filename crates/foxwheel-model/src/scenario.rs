//! The scenario file: the fleet, the load and the variants of the scheduling decisions.

use std::time::Duration;

use foxwheel_core::settings::{Check, Problems};
use foxwheel_policy::placement::FillLimits;
use serde::{Deserialize, Serialize};

/// The content of a scenario file, which is a JSON object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The seeds that each variant is simulated with; results are summed over them.
    pub seeds: Vec<u64>,
    /// The time during which requests arrive, in seconds.
    pub length_s: u64,
    /// The numbers of processes and engines.
    pub fleet: Fleet,
    /// The speed of every engine.
    pub engine: EngineSpec,
    /// The online requests.
    pub online: OnlineLoad,
    /// The batch jobs.
    pub batch: BatchLoad,
    /// The variants to compare, all simulated on the same arrivals.
    pub variants: Vec<Variant>,
}

/// The size of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of availability zones; engines, fronts and workers are spread over them in turn.
    pub zones: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of fronts: processes that send online requests.
    pub fronts: usize,
    /// Number of workers: processes that send batch items.
    pub workers: usize,
    /// The age of what a process knows of the load of processes in its own zone, in milliseconds.
    pub local_view_age_ms: u64,
    /// The age of what a process knows of the load of processes in other zones, in milliseconds.
    pub remote_view_age_ms: u64,
}

/// The capacity and speed of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Number of requests that the engine runs at once.
    pub slots: u32,
    /// Fixed part of the time of a step, in milliseconds. A step generates one token for each
    /// running request.
    pub step_ms: f64,
    /// Additional time of a step for each running request, in milliseconds.
    pub step_ms_per_slot: f64,
    /// Number of prompt tokens processed per millisecond, between steps.
    pub prefill_tokens_per_ms: f64,
    /// Time from getting a slot to the first token, without the processing of the prompt, in
    /// milliseconds.
    pub first_token_ms: f64,
}

/// The online load, whose rate alternates between a low rate (trough) and a high rate (step).
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnlineLoad {
    /// Requests per second in a trough.
    pub trough_per_s: f64,
    /// Duration of a trough, in seconds.
    pub trough_s: f64,
    /// Requests per second in a step.
    pub step_per_s: f64,
    /// Duration of a step, in seconds.
    pub step_s: f64,
    /// Number of tokens of a prompt.
    pub prompt_tokens: u32,
    /// Mean number of tokens of a response; each response has up to a quarter more or less.
    pub output_tokens: u32,
    /// The time to the first token up to which a request is on time, in milliseconds.
    pub target_ms: u64,
}

/// The batch load.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchLoad {
    /// Jobs per second.
    pub jobs_per_s: f64,
    /// Number of items of a job.
    pub items: usize,
    /// Number of tokens of an item's prompt.
    pub prompt_tokens: u32,
    /// Mean number of tokens of an item's output; each output has up to a quarter more or less.
    pub output_tokens: u32,
    /// Time from the submission of a job until it is due, in seconds.
    pub due_s: u64,
}

/// The order in which waiting batch items get slots.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BatchOrder {
    /// The order of `foxwheel_policy::batch::schedule`, which the workers use.
    #[default]
    Schedule,
    /// The order of submission.
    Submission,
}

/// When refused callers retry their request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPlan {
    /// After the time that `foxwheel_policy::admission` computes, which the fronts send to callers.
    #[default]
    AsSlotsAreFreed,
    /// After a fixed time, in milliseconds.
    After(u64),
}

/// One set of scheduling decisions to simulate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// The name of the variant in the report.
    pub name: String,
    /// How far engines are filled with online requests and batch items.
    #[serde(default)]
    pub limits: FillLimits,
    /// How long a request waits at a front for a slot before it is refused, in milliseconds.
    #[serde(default = "default_slot_wait_ms")]
    pub slot_wait_ms: u64,
    /// The order in which waiting batch items get slots.
    #[serde(default)]
    pub batch_order: BatchOrder,
    /// When refused callers retry.
    #[serde(default)]
    pub returns: RetryPlan,
    /// Whether the variant runs batch jobs at all; if not, their arrivals are ignored.
    #[serde(default = "default_batch")]
    pub batch: bool,
}

/// The time that the real fronts wait for a slot.
fn default_slot_wait_ms() -> u64 {
    60
}

fn default_batch() -> bool {
    true
}

impl OnlineLoad {
    /// Returns the rate in requests per second at the time `at` since the start.
    pub fn rate_per_s(&self, at: Duration) -> f64 {
        let time_in_period_s = at.as_secs_f64() % (self.trough_s + self.step_s);
        match time_in_period_s < self.trough_s {
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
