//! Settings file of the agent.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use foxwheel_callers::host::{HostLimits, BYTES_PER_MB};
use foxwheel_core::declarations::BackendKind;
use foxwheel_core::ids::{DeploymentName, HostId, Zone};
use foxwheel_core::settings::{Check, Problems};

/// Settings of `foxwheel-agent`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Address to listen on, e.g. `127.0.0.1:7400`.
    pub listen_addr: String,
    /// Address at which gateways reach this agent; the bound address when absent.
    #[serde(default)]
    pub advertise_addr: Option<String>,
    /// Address of the control channel that gateways poll; the IP of `listen_addr` with an
    /// ephemeral port when absent.
    #[serde(default)]
    pub control_addr: Option<String>,
    /// Name of this host.
    pub host: HostId,
    /// Availability zone of this host.
    pub zone: Zone,
    /// Deployment that the backend belongs to.
    pub deployment: DeploymentName,
    /// Kind of the backend: a model engine or a plain service.
    pub backend: BackendKind,
    /// Base URL of the backend, e.g. `http://127.0.0.1:7300`.
    pub backend_url: String,
    /// Base URL of the platform store.
    pub store_url: String,
    /// Maximum number of requests, online and batch together, that run on the backend at the same
    /// time.
    #[serde(default = "default_max_running")]
    pub max_running: u32,
    /// Maximum number of batch requests that run on the backend at the same time. Batch requests
    /// only use capacity that online requests leave free.
    #[serde(default = "default_max_batch_running")]
    pub max_batch_running: u32,
    /// Maximum number of online requests that wait for a slot; further ones are refused immediately
    /// without being run.
    #[serde(default = "default_max_waiting")]
    pub max_waiting_online: u32,
    /// Maximum number of batch requests that wait for a slot; further ones are refused immediately
    /// without being run.
    #[serde(default = "default_max_waiting")]
    pub max_waiting_batch: u32,
    /// Interval between renewals of the membership lease, in milliseconds. Each renewal is a write
    /// to the store, so the interval is long; gateways detect a dead host over the control channel.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Time after which the membership lease expires unless it is renewed, in milliseconds; must
    /// exceed `heartbeat_ms`.
    #[serde(default = "default_lease_ttl_ms")]
    pub lease_ttl_ms: u64,
    /// Time for which a stopping agent keeps serving after it has announced that it drains, in
    /// milliseconds.
    #[serde(default = "default_drain_grace_ms")]
    pub drain_grace_ms: u64,
    /// Timeout of one forwarded request, in milliseconds.
    #[serde(default = "default_request_timeout_ms")]
    pub request_timeout_ms: u64,
    /// Address that counters are sent to in the statsd protocol; they are not sent when absent.
    #[serde(default)]
    pub statsd_addr: Option<String>,
    /// Memory that the agent may use, in megabytes. Gateways may take 40 % of it together, each request
    /// at most 4 MB.
    #[serde(default = "default_memory_limit_mb")]
    pub memory_limit_mb: f64,
    /// Number of files and sockets that the agent may have open; the limit that it was started with
    /// when absent.
    #[serde(default)]
    pub open_files_limit: Option<u64>,
}

fn default_memory_limit_mb() -> f64 {
    192.0
}

fn default_max_running() -> u32 {
    16
}
fn default_max_batch_running() -> u32 {
    12
}
fn default_max_waiting() -> u32 {
    64
}
fn default_heartbeat_ms() -> u64 {
    20_000
}
fn default_lease_ttl_ms() -> u64 {
    60_000
}
fn default_drain_grace_ms() -> u64 {
    1_500
}
fn default_request_timeout_ms() -> u64 {
    60_000
}

impl AgentSettings {
    /// Returns settings for tests: ephemeral ports, the zone `suwon-hall`, few slots and a short
    /// lease.
    pub fn for_test(
        deployment: &str,
        backend: BackendKind,
        backend_url: &str,
        store_url: &str,
    ) -> Self {
        Self {
            listen_addr: "127.0.0.1:0".to_owned(),
            advertise_addr: None,
            control_addr: None,
            host: format!("suwon-hall-{deployment}-0"),
            zone: "suwon-hall".to_owned(),
            deployment: deployment.to_owned(),
            backend,
            backend_url: backend_url.to_owned(),
            store_url: store_url.to_owned(),
            max_running: 4,
            max_batch_running: 2,
            max_waiting_online: default_max_waiting(),
            max_waiting_batch: default_max_waiting(),
            heartbeat_ms: 200,
            lease_ttl_ms: 1_000,
            drain_grace_ms: 300,
            request_timeout_ms: 10_000,
            statsd_addr: None,
            memory_limit_mb: default_memory_limit_mb(),
            open_files_limit: None,
        }
    }

    /// Returns what the agent may use on its host.
    pub fn host_limits(&self) -> HostLimits {
        HostLimits {
            memory_bytes: (self.memory_limit_mb * BYTES_PER_MB) as u64,
            open_files: self.open_files_limit,
        }
    }
}

impl Check for AgentSettings {
    fn check(&self, problems: &mut Problems) {
        problems.require_non_empty("listen_addr", &self.listen_addr);
        problems.require_non_empty("host", &self.host);
        problems.require_non_empty("zone", &self.zone);
        problems.require_non_empty("deployment", &self.deployment);
        problems.require_non_empty("backend_url", &self.backend_url);
        problems.require_non_empty("store_url", &self.store_url);
        problems.require_positive("max_running", self.max_running.into());
        if self.max_batch_running > self.max_running {
            problems.add("max_batch_running", "must not exceed max_running");
        }
        problems.require_positive("heartbeat_ms", self.heartbeat_ms);
        if self.lease_ttl_ms <= self.heartbeat_ms {
            problems.add("lease_ttl_ms", "must exceed heartbeat_ms");
        }
        problems.require_positive("request_timeout_ms", self.request_timeout_ms);
        if !self.memory_limit_mb.is_finite() || self.memory_limit_mb <= 0.0 {
            problems.add("memory_limit_mb", "must be greater than zero");
        }
        if let Some(limit) = self.open_files_limit {
            problems.require_positive("open_files_limit", limit);
        }
    }
}
