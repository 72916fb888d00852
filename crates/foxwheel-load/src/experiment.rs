//! The experiment file: the fleet to start, the load to send, the faults to cause and the
//! service-level objective.

use std::path::PathBuf;

use foxwheel_core::ids::{DeploymentName, Zone};
use serde::{Deserialize, Serialize};

use foxwheel_core::settings::{Check, Problems};

/// The online load for one model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnlineLoad {
    /// The model named in each request.
    pub model: String,
    /// The workspace named in the header of each request; no such header if absent.
    #[serde(default)]
    pub workspace: Option<String>,
    /// Mean rate of the Poisson arrivals, in requests per second.
    pub rate_per_s: f64,
    /// Time from the start of the load to the first arrival, in seconds.
    #[serde(default)]
    pub start_after_s: u64,
    /// Duration of the arrivals, in seconds; until the end of the experiment if absent.
    #[serde(default)]
    pub for_s: Option<u64>,
    /// The number of tokens requested per response.
    pub max_tokens: usize,
    /// The prompts; each request uses a randomly chosen one.
    pub prompts: Vec<String>,
}

/// One batch job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchLoad {
    /// The model named in each item.
    pub model: String,
    /// The client key of the job. The job is sent twice with it, as by a client that resends.
    pub client_key: String,
    /// Time from the start of the load to the submission of the job, in seconds.
    #[serde(default)]
    pub start_after_s: u64,
    /// The number of tokens requested per item.
    pub max_tokens: usize,
    /// The prompts of the items, used in turn.
    pub prompts: Vec<String>,
    /// The number of items of the job. Each item's prompt ends in the number of the item.
    pub items: usize,
    /// Time from the submission of the job to its cancellation, in seconds; the job is not
    /// cancelled if absent.
    #[serde(default)]
    pub cancel_after_s: Option<u64>,
}

/// Calls to one non-idempotent service path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceLoad {
    /// The name of the service, e.g. `yardbook`.
    pub service: String,
    /// The request path, e.g. `/orders`.
    pub path: String,
    /// Mean rate of the Poisson arrivals, in calls per second.
    pub rate_per_s: f64,
    /// The share of calls that are sent a second time with the same key, 0 to 1.
    pub resend_share: f64,
    /// The request bodies; each call uses a randomly chosen one.
    pub bodies: Vec<serde_json::Value>,
    /// The base URLs of the service emulators, whose executions are counted after the load. If
    /// `fleet` is set, those of the fleet are used instead.
    #[serde(default)]
    pub emulator_urls: Vec<String>,
}

/// The processes to start for an experiment, all on the loopback interface.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSpec {
    /// The port of the store emulator. The gateways use the ports after it. Each replica then uses
    /// three: for its backend, its agent and the control address of its agent.
    pub base_port: u16,
    /// The path of the declarations to apply, relative to the experiment file.
    pub manifest: PathBuf,
    /// The zones of the gateways; one gateway is started for each entry.
    pub gateway_zones: Vec<Zone>,
    /// The deployments to start. Each replica is a backend emulator and its agent.
    pub deployments: Vec<FleetDeployment>,
    /// Additional settings of the store emulator.
    #[serde(default)]
    pub store: serde_json::Map<String, serde_json::Value>,
    /// Additional settings of every gateway.
    #[serde(default)]
    pub gateway: serde_json::Map<String, serde_json::Value>,
}

/// The replicas to start of one deployment in the manifest, spread over its zones in turn.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetDeployment {
    /// The deployment's name in the manifest.
    pub name: DeploymentName,
    /// The number of replicas to start; the number in the manifest is ignored.
    pub replicas: usize,
    /// Additional settings of each backend emulator.
    #[serde(default)]
    pub backend: serde_json::Map<String, serde_json::Value>,
    /// Additional settings of each agent.
    #[serde(default)]
    pub agent: serde_json::Map<String, serde_json::Value>,
}

/// A fault that the load tool causes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum Fault {
    /// The store refuses every call.
    StoreOutage {
        /// Duration of the fault, in milliseconds.
        for_ms: u64,
    },
    /// The store delays every call.
    StoreSlow {
        /// The delay of each call, in milliseconds.
        delay_ms: u64,
        /// Duration of the fault, in milliseconds.
        for_ms: u64,
    },
    /// The store applies every n-th write but does not respond to it.
    StoreLosesReplies {
        /// The n: 1 affects every write.
        every: u64,
        /// Duration of the fault, in milliseconds.
        for_ms: u64,
    },
    /// A process is killed (SIGKILL) and optionally restarted with the same settings.
    Kill {
        /// The name of the process, e.g. `agent-draftsman-0`.
        process: String,
        /// Delay before the restart, in milliseconds; no restart if absent.
        #[serde(default)]
        restart_after_ms: Option<u64>,
    },
    /// A process is stopped gracefully (SIGTERM) and optionally restarted with the same settings.
    Terminate {
        /// The name of the process.
        process: String,
        /// Delay before the restart, in milliseconds; no restart if absent.
        #[serde(default)]
        restart_after_ms: Option<u64>,
    },
    /// A process is paused (SIGSTOP) and later resumed (SIGCONT).
    Freeze {
        /// The name of the process.
        process: String,
        /// Duration of the fault, in milliseconds.
        for_ms: u64,
    },
}

/// A fault and the time at which it is caused.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedFault {
    /// Time from the start of the load, in milliseconds.
    pub at_ms: u64,
    /// The fault.
    pub fault: Fault,
}

/// The service-level objective of online requests.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// The longest acceptable time to first token, in milliseconds.
    pub ttft_ms: u64,
    /// The longest acceptable mean time between the tokens of a request, in milliseconds.
    pub tbt_ms: u64,
    /// The required share of requests that meet both limits; above 0 and below 1.
    pub target: f64,
    /// Length of the windows that the burn rate is reported for, in seconds.
    pub window_s: u64,
}

impl Default for Objective {
    /// The service level of the users' plan: a first token within 0.77 s and a mean time between
    /// tokens of at most 34 ms for 95 of 100 requests.
    fn default() -> Self {
        Self {
            ttft_ms: 770,
            tbt_ms: 34,
            target: 0.95,
            window_s: 5,
        }
    }
}

/// The content of an experiment file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The base URLs of the gateways. Requests are spread over them in turn, as by a load
    /// balancer. If `fleet` is set, its gateways are used instead.
    #[serde(default)]
    pub gateways: Vec<String>,
    /// The processes to start; absent if the fleet runs already.
    #[serde(default)]
    pub fleet: Option<FleetSpec>,
    /// The faults to cause; they require `fleet`.
    #[serde(default)]
    pub faults: Vec<TimedFault>,
    /// The service-level objective of online requests.
    #[serde(default)]
    pub objective: Objective,
    /// Duration of the arrivals, in seconds.
    pub duration_s: u64,
    /// How long to wait for batch jobs after the end of the arrivals, in seconds.
    #[serde(default = "default_batch_wait_s")]
    pub batch_wait_s: u64,
    /// The seed of the random number generators.
    pub seed: u64,
    /// The online loads, each for one model.
    #[serde(default)]
    pub online: Vec<OnlineLoad>,
    /// The batch jobs.
    #[serde(default)]
    pub batches: Vec<BatchLoad>,
    /// The loads of non-idempotent service calls.
    #[serde(default)]
    pub services: Vec<ServiceLoad>,
}

fn default_batch_wait_s() -> u64 {
    120
}

impl Check for Experiment {
    fn check(&self, problems: &mut Problems) {
        match &self.fleet {
            None if self.gateways.is_empty() => {
                problems.add("gateways", "must name a gateway");
            }
            None if !self.faults.is_empty() => {
                problems.add("faults", "require a `fleet`");
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
        for (i, load) in self.online.iter().enumerate() {
            if load.prompts.is_empty() {
                problems.add(format!("online[{i}].prompts"), "must not be empty");
            }
            if load.rate_per_s.is_nan() || load.rate_per_s <= 0.0 {
                problems.add(
                    format!("online[{i}].rate_per_s"),
                    "must be greater than zero",
                );
            }
        }
        for (i, job) in self.batches.iter().enumerate() {
            if job.prompts.is_empty() || job.items == 0 {
                problems.add(format!("batches[{i}]"), "needs prompts and items");
            }
        }
        for (i, load) in self.services.iter().enumerate() {
            if load.bodies.is_empty() {
                problems.add(format!("services[{i}].bodies"), "must not be empty");
            }
            if !(0.0..=1.0).contains(&load.resend_share) {
                problems.add(format!("services[{i}].resend_share"), "must be 0 to 1");
            }
        }
    }
}
