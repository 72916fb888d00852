//! The settings of the engine emulator.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use foxwheel_core::ids::ModelName;
use foxwheel_core::settings::{Check, Problems};

/// How the engine treats a command whose fencing number is smaller than one received before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum FencingMode {
    /// Refuses it with status 409.
    Refuse,
    /// Applies it, as engines do that don't check fencing numbers.
    Ignore,
}

/// How a response is broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ResponseFault {
    /// The connection closes in the middle of the response.
    Abort,
    /// The response ends early as if it were complete, without its last event.
    EndEarly,
    /// Nothing more is sent and the connection stays open.
    Stall,
    /// Nothing is sent for a time, and then the rest of the response.
    Pause {
        /// Time without data, in milliseconds.
        pause_ms: u64,
    },
}

/// Faults of the engine, set in the settings or by `POST /faults`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EngineFaults {
    /// How every response, streamed or not, is broken; no fault if absent. A pause is written as
    /// `{"pause": {"pause_ms": 1500}}`.
    #[serde(default)]
    #[serde(rename = "break_answers")]
    pub response_fault: Option<ResponseFault>,
    /// Number of tokens sent before the fault.
    #[serde(default)]
    pub after_tokens: usize,
}

/// Settings of `foxwheel-engine-emu`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Address to listen on, e.g. `127.0.0.1:7300`.
    pub listen_addr: String,
    /// Models that the engine serves at start.
    pub models: Vec<ModelName>,
    /// Largest number of sequences decoded together; further requests wait.
    #[serde(default = "default_max_batch")]
    pub max_batch: usize,
    /// Prefill time per uncached prompt token, in microseconds.
    #[serde(default = "default_prefill_us_per_token")]
    pub prefill_us_per_token: u64,
    /// Fixed time of one decode step, in microseconds.
    #[serde(default = "default_decode_step_us")]
    pub decode_step_us: u64,
    /// Additional time of one decode step per running sequence, in microseconds.
    #[serde(default = "default_decode_us_per_seq")]
    pub decode_us_per_seq: u64,
    /// Capacity of the prefix cache, in tokens.
    #[serde(default = "default_cache_capacity_tokens")]
    pub cache_capacity_tokens: usize,
    /// Delay after which the load and cache events are published, in milliseconds.
    #[serde(default = "default_report_lag_ms")]
    pub report_lag_ms: u64,
    /// Every n-th cache event is dropped, which leaves a gap; 0 drops none.
    #[serde(default)]
    pub cache_event_gap_every: u64,
    /// Faults from the start on.
    #[serde(default)]
    pub faults: EngineFaults,
    /// How a command with an old fencing number is treated.
    #[serde(default = "default_fencing_mode")]
    pub fencing_mode: FencingMode,
}

fn default_max_batch() -> usize {
    16
}
fn default_prefill_us_per_token() -> u64 {
    100
}
fn default_decode_step_us() -> u64 {
    10_000
}
fn default_decode_us_per_seq() -> u64 {
    500
}
fn default_cache_capacity_tokens() -> usize {
    200_000
}
fn default_report_lag_ms() -> u64 {
    500
}
fn default_fencing_mode() -> FencingMode {
    FencingMode::Refuse
}

impl EngineSettings {
    /// Returns settings for tests: an ephemeral port, the model `model`, and a fast time model.
    pub fn for_test(model: &str) -> Self {
        Self {
            listen_addr: "127.0.0.1:0".to_owned(),
            models: vec![model.to_owned()],
            max_batch: 4,
            prefill_us_per_token: 10,
            decode_step_us: 1_000,
            decode_us_per_seq: 100,
            cache_capacity_tokens: 10_000,
            report_lag_ms: 50,
            cache_event_gap_every: 0,
            faults: EngineFaults::default(),
            fencing_mode: FencingMode::Refuse,
        }
    }
}

impl Check for EngineSettings {
    fn check(&self, problems: &mut Problems) {
        problems.require_non_empty("listen_addr", &self.listen_addr);
        if self.models.is_empty() {
            problems.add("models", "must name a model");
        }
        problems.require_positive("max_batch", self.max_batch as u64);
        problems.require_positive("decode_step_us", self.decode_step_us);
        problems.require_positive("cache_capacity_tokens", self.cache_capacity_tokens as u64);
    }
}
