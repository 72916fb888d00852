//! The gateway's settings file.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use foxwheel_core::ids::Zone;
use foxwheel_core::settings::{Check, Problems};

/// Settings of `foxwheel-gateway`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Address to listen on, e.g. `127.0.0.1:7000`.
    pub listen_addr: String,
    /// This gateway's name, unique among gateways; it holds batch leases under it.
    pub name: String,
    /// The zone it runs in; routes prefer backends in the same zone.
    pub zone: Zone,
    /// The platform store's base URL.
    pub store_url: String,
    /// Base URLs of other gateways, asked for their copy of the configuration and members
    /// when this one starts while the store is down.
    #[serde(default)]
    pub peers: Vec<String>,
    /// Online requests in flight at once before refusing with 429.
    #[serde(default = "default_online_max_in_flight")]
    pub online_max_in_flight: u32,
    /// Hosts that may run one request, at most; those that say they did not are counted apart.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// A streamed answer of which nothing came for this long is resumed on another host, in
    /// milliseconds; longer than the longest wait for a first token.
    #[serde(default = "default_stream_stall_ms")]
    pub stream_stall_ms: u64,
    /// Control channel: the pause between two polls of one agent, in milliseconds.
    #[serde(default = "default_control_poll_ms")]
    pub control_poll_ms: u64,
    /// Control channel: how long one poll may take, in milliseconds.
    #[serde(default = "default_control_poll_timeout_ms")]
    pub control_poll_timeout_ms: u64,
    /// Control channel: a host whose agent missed this many polls in a row takes no new
    /// work; at least 2, so one lost poll drops no host. A hung host thus drops out after at
    /// most `control_missed_polls * (control_poll_ms + control_poll_timeout_ms)`.
    #[serde(default = "default_control_missed_polls")]
    pub control_missed_polls: u32,
    /// Told to callers in `Retry-After` when no backend can take a request, in seconds.
    #[serde(default = "default_retry_after_s")]
    pub retry_after_s: u64,
    /// Batch dispatch: chunks this gateway works on at once.
    #[serde(default = "default_batch_chunks_in_flight")]
    pub batch_chunks_in_flight: usize,
    /// Batch dispatch: items of one chunk sent at once.
    #[serde(default = "default_batch_items_in_flight")]
    pub batch_items_in_flight: usize,
    /// Batch dispatch: how long a chunk lease lasts unless renewed, in milliseconds.
    #[serde(default = "default_chunk_lease_ms")]
    pub chunk_lease_ms: u64,
    /// Batch dispatch: how often running jobs are scanned for free chunks, in milliseconds.
    #[serde(default = "default_dispatch_poll_ms")]
    pub dispatch_poll_ms: u64,
    /// Batch dispatch: results are committed at least this often, in milliseconds.
    #[serde(default = "default_commit_interval_ms")]
    pub commit_interval_ms: u64,
    /// statsd address for counters; none drops them.
    #[serde(default)]
    pub statsd_addr: Option<String>,
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
                "must be at least 2, so one lost poll drops no host",
            );
        }
        problems.require_positive("batch_chunks_in_flight", self.batch_chunks_in_flight as u64);
        problems.require_positive("batch_items_in_flight", self.batch_items_in_flight as u64);
        problems.require_positive("chunk_lease_ms", self.chunk_lease_ms);
        if self.commit_interval_ms * 2 >= self.chunk_lease_ms {
            problems.add(
                "commit_interval_ms",
                "must be less than half of chunk_lease_ms, so leases are renewed in time",
            );
        }
        problems.require_positive("dispatch_poll_ms", self.dispatch_poll_ms);
    }
}
