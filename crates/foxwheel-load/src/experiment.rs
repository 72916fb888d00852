//! The experiment file.

use serde::{Deserialize, Serialize};

use foxwheel_core::settings::{self, Check, FieldError};

/// Online load for one model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnlineLoad {
    /// The model asked for.
    pub model: String,
    /// The caller's workspace header.
    #[serde(default)]
    pub workspace: Option<String>,
    /// Mean arrivals per second (Poisson).
    pub rate_per_s: f64,
    /// Tokens asked for per answer.
    pub max_tokens: usize,
    /// Prompts, drawn at random.
    pub prompts: Vec<String>,
}

/// One batch job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchLoad {
    /// The model every item asks for.
    pub model: String,
    /// The client's key; the job is sent twice with it, as a resending client does.
    pub client_key: String,
    /// Seconds after the start at which it is sent.
    #[serde(default)]
    pub start_after_s: u64,
    /// Tokens asked for per item.
    pub max_tokens: usize,
    /// Item prompts; each becomes one item.
    pub prompts: Vec<String>,
    /// Items in the job: the prompts are repeated (with a numbered suffix) up to this.
    pub items: usize,
    /// Cancel the job this many seconds after sending it.
    #[serde(default)]
    pub cancel_after_s: Option<u64>,
}

/// Calls to one non-idempotent service path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceLoad {
    /// The service, e.g. `yardbook`.
    pub service: String,
    /// The path, e.g. `/orders`.
    pub path: String,
    /// Calls per second.
    pub rate_per_s: f64,
    /// Share of calls sent a second time with the same key, 0 to 1.
    pub resend_share: f64,
    /// Bodies, drawn at random.
    pub bodies: Vec<serde_json::Value>,
    /// The stand-in's address, to count executions afterwards.
    pub emulator_urls: Vec<String>,
}

/// The whole experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Gateway base URLs; requests are spread over them as a balancer would.
    pub gateways: Vec<String>,
    /// How long arrivals are sent, in seconds.
    pub duration_s: u64,
    /// How long to wait for batch jobs after the arrivals end, in seconds.
    #[serde(default = "default_drain_s")]
    pub batch_wait_s: u64,
    /// The random generator's seed.
    pub seed: u64,
    /// Online load.
    #[serde(default)]
    pub online: Vec<OnlineLoad>,
    /// Batch jobs.
    #[serde(default)]
    pub batches: Vec<BatchLoad>,
    /// Non-idempotent service calls.
    #[serde(default)]
    pub services: Vec<ServiceLoad>,
}

fn default_drain_s() -> u64 {
    120
}

impl Check for Experiment {
    fn check(&self) -> Result<(), FieldError> {
        if self.gateways.is_empty() {
            return Err(FieldError::new("gateways", "must name a gateway"));
        }
        settings::require_positive("duration_s", self.duration_s)?;
        for (i, o) in self.online.iter().enumerate() {
            if o.prompts.is_empty() {
                return Err(FieldError::new(
                    format!("online[{i}].prompts"),
                    "must not be empty",
                ));
            }
            if o.rate_per_s.is_nan() || o.rate_per_s <= 0.0 {
                return Err(FieldError::new(
                    format!("online[{i}].rate_per_s"),
                    "must be greater than zero",
                ));
            }
        }
        for (i, b) in self.batches.iter().enumerate() {
            if b.prompts.is_empty() || b.items == 0 {
                return Err(FieldError::new(
                    format!("batches[{i}]"),
                    "needs prompts and items",
                ));
            }
        }
        for (i, s) in self.services.iter().enumerate() {
            if s.bodies.is_empty() {
                return Err(FieldError::new(
                    format!("services[{i}].bodies"),
                    "must not be empty",
                ));
            }
            if !(0.0..=1.0).contains(&s.resend_share) {
                return Err(FieldError::new(
                    format!("services[{i}].resend_share"),
                    "must be 0 to 1",
                ));
            }
        }
        Ok(())
    }
}
