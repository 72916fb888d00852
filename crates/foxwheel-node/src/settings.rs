//! Settings of a front or worker, read from one JSON object.

use std::net::SocketAddr;
use std::time::Duration;

use foxwheel_callers::host::{HostLimits, BYTES_PER_MB};
use foxwheel_core::ids::{NodeId, Zone};
use foxwheel_core::settings::{Check, Problems};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationSecondsWithFrac};

/// The role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves callers: online requests and calls on batch jobs.
    Front,
    /// Runs the items of batch jobs.
    Worker,
}

/// Settings of a front or worker. Unknown fields are refused.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the host, unique in the fleet.
    pub host: NodeId,
    /// Role of the process: `front` or `worker`.
    pub role: Role,
    /// Availability zone of the host.
    pub availability_zone: Zone,
    /// IP address at which peers reach the process. The process listens on it unless `bind_ip` is
    /// set.
    pub ip: std::net::IpAddr,
    /// IP address to listen on if peers reach the process through address translation; `ip` if not
    /// set.
    #[serde(default)]
    pub bind_ip: Option<std::net::IpAddr>,
    /// First and last port for communication between processes. Only the first port is used: on TCP
    /// for calls and on UDP for heartbeats.
    pub peer_ports: (u16, u16),
    /// Addresses of some processes from which this one learns of all others; may be stale. Only the
    /// IP address is used: the port is the first of `peer_ports`.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address that a front listens on for callers. Required for a front, unused by a worker.
    #[serde(default)]
    pub caller_address: Option<SocketAddr>,
    /// Address that a front listens on for the platform's readiness checks; no checks are served if
    /// not set. Unused by a worker.
    #[serde(default)]
    pub readiness_address: Option<SocketAddr>,
    /// Port for `GET /metrics` on the address that the process listens on; no metrics are served if
    /// not set.
    #[serde(default)]
    pub metrics_port: Option<u16>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Maximum size of one value in the store, in bytes.
    pub store_value_bytes: usize,
    /// Time between the stop signal and the kill of the process, in seconds.
    #[serde(rename = "stop_grace_s", default = "default_stop_grace")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub stop_grace: Duration,
    /// How long the results of a job stay readable after its submission, in seconds.
    #[serde(rename = "results_readable_s", default = "default_results_readable")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub results_readable: Duration,
    /// Memory that the process may use, in megabytes. It is killed if it uses more.
    #[serde(default = "default_memory_limit")]
    pub memory_limit_mb: f64,
    /// Number of files and sockets that the process may have open; the limit that it was started with
    /// if not set.
    #[serde(default)]
    pub open_files_limit: Option<u64>,
}

/// Returns the memory of the smallest hosts of the users.
fn default_memory_limit() -> f64 {
    88.0
}

/// Returns the stop grace period of the users' current platform. A platform that states none is
/// not expected to kill processes earlier.
fn default_stop_grace() -> Duration {
    Duration::from_secs(8)
}

/// Returns the time that the users' current platform requires.
fn default_results_readable() -> Duration {
    Duration::from_secs(120)
}

impl NodeSettings {
    /// Returns the address at which peers reach the process, for calls and heartbeats.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_ports.0)
    }

    /// Returns what the process may use on its host.
    pub fn host_limits(&self) -> HostLimits {
        HostLimits {
            memory_bytes: (self.memory_limit_mb * BYTES_PER_MB) as u64,
            open_files: self.open_files_limit,
        }
    }

    /// Returns the address on which the process listens for `port`.
    pub fn bind_address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.bind_ip.unwrap_or(self.ip), port)
    }
}

impl Check for NodeSettings {
    fn check(&self, problems: &mut Problems) {
        problems.require_non_empty("host", &self.host);
        problems.require_non_empty("availability_zone", &self.availability_zone);
        if self.peer_ports.0 == 0 || self.peer_ports.1 < self.peer_ports.0 {
            problems.add("peer_ports", "must be an ascending range");
        }
        if self.store_value_bytes < MIN_STORE_VALUE_BYTES {
            let message = format!("must be at least {MIN_STORE_VALUE_BYTES}");
            problems.add("store_value_bytes", message);
        }
        if self.role == Role::Front && self.caller_address.is_none() {
            problems.add("caller_address", "must be set for a front");
        }
        if self.stop_grace.is_zero() {
            problems.add("stop_grace_s", "must be greater than zero");
        }
        if !self.memory_limit_mb.is_finite() || self.memory_limit_mb <= 0.0 {
            problems.add("memory_limit_mb", "must be greater than zero");
        }
        if let Some(limit) = self.open_files_limit {
            problems.require_positive("open_files_limit", limit);
        }
    }
}

/// Space for the head of one job and one result of ordinary size.
const MIN_STORE_VALUE_BYTES: usize = 16 * 1024;
