//! Settings of a front or worker.

use std::net::SocketAddr;
use std::time::Duration;

use foxwheel_core::ids::{NodeId, Zone};
use foxwheel_core::settings::{Check, Problems};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationSecondsWithFrac};

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Answers callers.
    Front,
    /// Runs batch jobs.
    Worker,
}

/// Settings of a front or worker; a JSON object.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the host; unique in the fleet.
    pub host: NodeId,
    /// What the process does.
    pub role: Role,
    /// Its availability zone.
    pub availability_zone: Zone,
    /// Address that peers reach, and that it binds unless `bind_ip` says otherwise.
    pub ip: std::net::IpAddr,
    /// Address it binds where peers reach it through address translation; none binds `ip`.
    #[serde(default)]
    pub bind_ip: Option<std::net::IpAddr>,
    /// First and last port for talk between processes; the first one is used, on TCP for
    /// calls and on UDP for heartbeats.
    pub peer_ports: (u16, u16),
    /// Addresses of some processes to hear of the others; may be stale. Only their IP
    /// counts: the port is that of `peer_ports`.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Where callers connect; a front's only.
    #[serde(default)]
    pub caller_address: Option<SocketAddr>,
    /// Where the platform asks whether the process is ready; a front's only.
    #[serde(default)]
    pub readiness_address: Option<SocketAddr>,
    /// Port of `GET /metrics` on the address it binds; none serves no metrics.
    #[serde(default)]
    pub metrics_port: Option<u16>,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// Most bytes of one value in the store.
    pub store_value_bytes: usize,
    /// Time from the signal to stop until the process is killed.
    #[serde(rename = "stop_grace_s", default = "default_stop_grace")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub stop_grace: Duration,
    /// How long after its submission a job's results stay readable.
    #[serde(rename = "results_readable_s", default = "default_results_readable")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub results_readable: Duration,
}

/// The users' present bound; a platform that states none has no reason to be hastier.
fn default_stop_grace() -> Duration {
    Duration::from_secs(8)
}

/// The users' present bound.
fn default_results_readable() -> Duration {
    Duration::from_secs(120)
}

impl NodeSettings {
    /// Where peers reach it, for calls and heartbeats.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_ports.0)
    }

    /// Where it listens on `port`.
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
            let least = format!("must be at least {MIN_STORE_VALUE_BYTES}");
            problems.add("store_value_bytes", least);
        }
        if self.role == Role::Front && self.caller_address.is_none() {
            problems.add("caller_address", "must be set for a front");
        }
        if self.stop_grace.is_zero() {
            problems.add("stop_grace_s", "must be greater than zero");
        }
    }
}

/// Room for one job's head and one result of ordinary size.
const MIN_STORE_VALUE_BYTES: usize = 16 * 1024;
