//! The gateway's settings file.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use foxwheel_callers::host::{HostLimits, BYTES_PER_MB};
use foxwheel_core::ids::Zone;
use foxwheel_core::settings::{Check, Problems};

/// Settings of `foxwheel-gateway`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Address to listen on, for example `127.0.0.1:7000`.
    pub listen_addr: String,
    /// Name of this gateway, unique among gateways. It is written into the leases of batch chunks.
    pub name: String,
    /// Availability zone that this gateway runs in. Backends in the same zone are preferred.
    pub zone: Zone,
    /// Base URL of the platform store.
    pub store_url: String,
    /// Base URLs of other gateways. If this one starts while the store is down, it requests their
    /// copies of the configuration and the members.
    #[serde(default)]
    pub peers: Vec<String>,
    /// Maximum number of online requests in flight. Further ones are refused with status 429.
    #[serde(default = "default_online_max_in_flight")]
    pub online_max_in_flight: u32,
    /// Maximum number of hosts that may run one request. Hosts that respond that they did not run
    /// it are not counted here but have a limit of their own.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Time without new data of a response, in milliseconds, after which the request is also sent to
    /// another host. The host that delivers something first is kept and the others are left. If no
    /// other host can run the request, the wait goes on until the time limit of the deployment has
    /// passed without new data. It should be longer than the longest wait for a first token.
    #[serde(default = "default_stream_stall_ms")]
    pub stream_stall_ms: u64,
    /// Control channel: delay between two polls of one agent, in milliseconds.
    #[serde(default = "default_control_poll_ms")]
    pub control_poll_ms: u64,
    /// Control channel: timeout of one poll, in milliseconds.
    #[serde(default = "default_control_poll_timeout_ms")]
    pub control_poll_timeout_ms: u64,
    /// Control channel: number of polls in a row that an agent must miss for its host to take no
    /// new work. At least 2, so that one lost poll takes no host out of use. A host that hangs is
    /// taken out of use after at most
    /// `control_missed_polls * (control_poll_ms + control_poll_timeout_ms)`.
    #[serde(default = "default_control_missed_polls")]
    pub control_missed_polls: u32,
    /// Value of `Retry-After` in refusals because no backend can take a request, in seconds.
    #[serde(default = "default_retry_after_s")]
    pub retry_after_s: u64,
    /// Batch dispatch: maximum number of chunks that this gateway works on at once.
    #[serde(default = "default_batch_chunks_in_flight")]
    pub batch_chunks_in_flight: usize,
    /// Batch dispatch: maximum number of items of one chunk in flight at once.
    #[serde(default = "default_batch_items_in_flight")]
    pub batch_items_in_flight: usize,
    /// Batch dispatch: time until a chunk lease expires unless it is renewed, in milliseconds.
    #[serde(default = "default_chunk_lease_ms")]
    pub chunk_lease_ms: u64,
    /// Batch dispatch: interval at which running jobs are scanned for free chunks, in milliseconds.
    #[serde(default = "default_dispatch_poll_ms")]
    pub dispatch_poll_ms: u64,
    /// Batch dispatch: maximum time between two commits of new results, in milliseconds. It must be
    /// less than half of `chunk_lease_ms`.
    #[serde(default = "default_commit_interval_ms")]
    pub commit_interval_ms: u64,
    /// Address of the statsd server that counters are sent to. Without it they are not sent.
    #[serde(default)]
    pub statsd_addr: Option<String>,
    /// Memory that the gateway may use, in megabytes. Callers may take 40 % of it together. The body of
    /// a batch may have a twenty-fifth of it (20 MB by default), any other body 4 MB.
    #[serde(default = "default_memory_limit_mb")]
    pub memory_limit_mb: f64,
    /// Number of files and sockets that the gateway may have open; the limit that it was started with
    /// if not set.
    #[serde(default)]
    pub open_files_limit: Option<u64>,
}

impl GatewaySettings {
    /// Returns what the gateway may use on its host.
    pub fn host_limits(&self) -> HostLimits {
        HostLimits {
            memory_bytes: (self.memory_limit_mb * BYTES_PER_MB) as u64,
            open_files: self.open_files_limit,
        }
    }

    /// Returns the size of the largest body of a batch, for which there is room with all its copies.
    pub fn max_batch_bytes(&self) -> usize {
        (self.memory_limit_mb * BYTES_PER_MB) as usize / MAX_BATCH_BODY_SHARE
    }
}

/// Part of the memory that the body of a batch may take.
const MAX_BATCH_BODY_SHARE: usize = 25;

fn default_memory_limit_mb() -> f64 {
    512.0
}

fn default_online_max_in_flight() -> u32 {
    4_096
}
fn default_max_attempts() -> u32 {
    3
}
fn default_stream_stall_ms() -> u64 {
    10_000
}
fn default_control_poll_ms() -> u64 {
    500
}
fn default_control_poll_timeout_ms() -> u64 {
    500
}
fn default_control_missed_polls() -> u32 {
    3
}
fn default_retry_after_s() -> u64 {
    1
}
fn default_batch_chunks_in_flight() -> usize {
    4
}
fn default_batch_items_in_flight() -> usize {
    8
}
fn default_chunk_lease_ms() -> u64 {
    10_000
}
fn default_dispatch_poll_ms() -> u64 {
    500
}
fn default_commit_interval_ms() -> u64 {
    500
}

impl Check for GatewaySettings {
    fn check(&self, problems: &mut Problems) {
        problems.require_non_empty("listen_addr", &self.listen_addr);
        problems.require_non_empty("name", &self.name);
        problems.require_non_empty("zone", &self.zone);
        problems.require_non_empty("store_url", &self.store_url);
        problems.require_positive("online_max_in_flight", self.online_max_in_flight.into());
        problems.require_positive("max_attempts", self.max_attempts.into());
        problems.require_positive("stream_stall_ms", self.stream_stall_ms);
        problems.require_positive("control_poll_ms", self.control_poll_ms);
        problems.require_positive("control_poll_timeout_ms", self.control_poll_timeout_ms);
        if self.control_missed_polls < 2 {
            problems.add(
                "control_missed_polls",
                "must be at least 2, so that one lost poll takes no host out of use",
            );
        }
        problems.require_positive("batch_chunks_in_flight", self.batch_chunks_in_flight as u64);
        problems.require_positive("batch_items_in_flight", self.batch_items_in_flight as u64);
        problems.require_positive("chunk_lease_ms", self.chunk_lease_ms);
        if self.commit_interval_ms * 2 >= self.chunk_lease_ms {
            problems.add(
                "commit_interval_ms",
                "must be less than half of chunk_lease_ms, so that leases are renewed in time",
            );
        }
        problems.require_positive("dispatch_poll_ms", self.dispatch_poll_ms);
        if !self.memory_limit_mb.is_finite() || self.memory_limit_mb <= 0.0 {
            problems.add("memory_limit_mb", "must be greater than zero");
        }
        if let Some(limit) = self.open_files_limit {
            problems.require_positive("open_files_limit", limit);
        }
    }
}
