//! The experiment file: the fleet to start, the load to send, the faults to cause and the
//! service levels to judge by.

use std::path::PathBuf;

use foxwheel_core::ids::{DeploymentName, Zone};
use serde::{Deserialize, Serialize};

use foxwheel_core::settings::{Check, Problems};

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
    /// Seconds after the start at which arrivals begin.
    #[serde(default)]
    pub start_after_s: u64,
    /// How long arrivals go on, in seconds; to the end of the experiment when absent.
    #[serde(default)]
    pub for_s: Option<u64>,
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
    /// The stand-ins' addresses, to count executions afterwards. Those of `fleet` when it
    /// is given.
    #[serde(default)]
    pub emulator_urls: Vec<String>,
}

/// The processes to start for an experiment, all on loopback.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSpec {
    /// The store stand-in listens here; gateways, then agents and back ends, on the ports
    /// that follow.
    pub base_port: u16,
    /// The declarations to apply; the path is relative to the experiment file.
    pub manifest: PathBuf,
    /// One gateway in each of these zones.
    pub gateway_zones: Vec<Zone>,
    /// The replicas to start, each a back end and its agent.
    pub deployments: Vec<FleetDeployment>,
    /// Further settings of the store stand-in.
    #[serde(default)]
    pub store: serde_json::Map<String, serde_json::Value>,
    /// Further settings of every gateway.
    #[serde(default)]
    pub gateway: serde_json::Map<String, serde_json::Value>,
}

/// The replicas of one deployment of the manifest, spread over its zones in turn.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetDeployment {
    /// The deployment's name in the manifest.
    pub name: DeploymentName,
    /// Replicas started, whatever the manifest declares.
    pub replicas: usize,
    /// Further settings of each back end stand-in.
    #[serde(default)]
    pub backend: serde_json::Map<String, serde_json::Value>,
    /// Further settings of each agent.
    #[serde(default)]
    pub agent: serde_json::Map<String, serde_json::Value>,
}

/// Something that goes wrong.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum Fault {
    /// The store refuses every call.
    StoreOutage {
        /// For this long, in milliseconds.
        for_ms: u64,
    },
    /// The store delays every call.
    StoreSlow {
        /// By this much, in milliseconds.
        delay_ms: u64,
        /// For this long, in milliseconds.
        for_ms: u64,
    },
    /// The store loses the reply to every n-th write after it took effect.
    StoreLosesReplies {
        /// Every n-th.
        every: u64,
        /// For this long, in milliseconds.
        for_ms: u64,
    },
    /// A process is killed (SIGKILL) and, if asked for, started again with its settings.
    Kill {
        /// Its name, e.g. `agent-draftsman-0`.
        process: String,
        /// Started again after this long, in milliseconds.
        #[serde(default)]
        restart_after_ms: Option<u64>,
    },
    /// A process is told to stop (SIGTERM) and, if asked for, started again.
    Terminate {
        /// Its name.
        process: String,
        /// Started again after this long, in milliseconds.
        #[serde(default)]
        restart_after_ms: Option<u64>,
    },
    /// A process is paused (SIGSTOP), then goes on.
    Freeze {
        /// Its name.
        process: String,
        /// For this long, in milliseconds.
        for_ms: u64,
    },
}

/// A fault and when it comes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedFault {
    /// Milliseconds after the load starts.
    pub at_ms: u64,
    /// What goes wrong.
    pub fault: Fault,
}

/// The service level online requests are judged by.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// The first token within this, in milliseconds.
    pub ttft_ms: u64,
    /// The mean time between tokens of the request within this, in milliseconds.
    pub tbt_ms: u64,
    /// The share of requests that meet both, 0 to 1 exclusive.
    pub target: f64,
    /// Burn is reported for windows of this length, in seconds.
    pub window_s: u64,
}

impl Default for Objective {
    /// The users' plan: 0.77 s and 34 ms for 95 in 100.
    fn default() -> Self {
        Self {
            ttft_ms: 770,
            tbt_ms: 34,
            target: 0.95,
            window_s: 5,
        }
    }
}

/// The whole experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Gateway base URLs; requests are spread over them as a balancer would. Those of
    /// `fleet` when it is given.
    #[serde(default)]
    pub gateways: Vec<String>,
    /// The processes to start; none when a fleet runs already.
    #[serde(default)]
    pub fleet: Option<FleetSpec>,
    /// What goes wrong, and when.
    #[serde(default)]
    pub faults: Vec<TimedFault>,
    /// The service level online requests are judged by.
    #[serde(default)]
    pub objective: Objective,
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
    fn check(&self, problems: &mut Problems) {
        match &self.fleet {
            None if self.gateways.is_empty() => {
                problems.add("gateways", "must name a gateway");
            }
            None if !self.faults.is_empty() => {
                problems.add("faults", "need a `fleet` to befall");
            }
            Some(fleet) if fleet.gateway_zones.is_empty() => {
                problems.add("fleet.gateway_zones", "must name a zone");
            }
            _ => {}
        }
        if !(self.objective.target > 0.0 && self.objective.target < 1.0) {
            let problem = "must lie between 0 and 1";
            problems.add("objective.target", problem);
        }
        problems.require_positive("objective.window_s", self.objective.window_s);
        problems.require_positive("duration_s", self.duration_s);
        for (i, o) in self.online.iter().enumerate() {
            if o.prompts.is_empty() {
                problems.add(format!("online[{i}].prompts"), "must not be empty");
            }
            if o.rate_per_s.is_nan() || o.rate_per_s <= 0.0 {
                problems.add(
                    format!("online[{i}].rate_per_s"),
                    "must be greater than zero",
                );
            }
        }
        for (i, b) in self.batches.iter().enumerate() {
            if b.prompts.is_empty() || b.items == 0 {
                problems.add(format!("batches[{i}]"), "needs prompts and items");
            }
        }
        for (i, s) in self.services.iter().enumerate() {
            if s.bodies.is_empty() {
                problems.add(format!("services[{i}].bodies"), "must not be empty");
            }
            if !(0.0..=1.0).contains(&s.resend_share) {
                problems.add(format!("services[{i}].resend_share"), "must be 0 to 1");
            }
        }
    }
}
