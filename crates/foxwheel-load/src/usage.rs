//! Measures the resource usage of a fleet between two samples: processor time and memory by role,
//! loopback traffic and store calls.

use std::time::Instant;

use foxwheel_store::api::CallCounts;
use foxwheel_store::client::StoreClient;
use serde::Serialize;

use crate::fleet::{Fleet, Role};

/// Clock ticks per second in `/proc/<pid>/stat`; fixed at 100 by the kernel's interface.
const TICKS_PER_S: f64 = 100.0;

/// Processor time and memory of the processes of one role.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct RoleUsage {
    /// The number of processes.
    pub processes: u64,
    /// The sum of their user and system processor time, in seconds.
    pub cpu_s: f64,
    /// The largest resident set size of a process at the later sample, in KiB.
    pub max_rss_kib: u64,
}

/// The resource usage of a fleet between two samples.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Usage {
    /// The time between the samples, in seconds.
    pub window_s: f64,
    /// Usage of the store emulator.
    pub store: RoleUsage,
    /// Usage of the gateways.
    pub gateway: RoleUsage,
    /// Usage of the agents.
    pub agent: RoleUsage,
    /// Usage of the backend emulators.
    pub backend: RoleUsage,
    /// The number of bytes received on the loopback interface, including headers. Sent bytes are
    /// left out, so that each byte is counted once.
    pub loopback_bytes: u64,
    /// The number of get and list calls to the store.
    pub store_reads: u64,
    /// The number of put and delete calls to the store.
    pub store_writes: u64,
    /// The number of watch calls to the store.
    pub store_watches: u64,
}

/// The counters of a fleet at one point in time.
#[derive(Debug)]
pub struct Sample {
    at: Instant,
    /// The name, role, processor time in seconds and resident set size in KiB of each process.
    processes: Vec<(String, Role, f64, u64)>,
    loopback_bytes: u64,
    store: CallCounts,
}

impl Sample {
    /// Reads the counters of the fleet's processes, of the loopback interface and of the store.
    /// Counters that cannot be read are zero.
    pub async fn read(fleet: &Fleet) -> Self {
        let processes = fleet.processes.iter().map(|process| {
            let (cpu_s, rss_kib) = read_process_usage(process.pid()).unwrap_or_default();
            (process.name.clone(), process.role, cpu_s, rss_kib)
        });
        Self {
            at: Instant::now(),
            processes: processes.collect(),
            loopback_bytes: read_loopback_bytes().unwrap_or_default(),
            store: StoreClient::new(&fleet.store_url)
                .stats()
                .await
                .unwrap_or_default(),
        }
    }

    /// Returns the usage between `self` and `later`. A process that was restarted in between is
    /// counted from its restart.
    pub fn usage_until(&self, later: &Self) -> Usage {
        let usage_of_role = |role: Role| {
            let mut usage = RoleUsage::default();
            for (name, _, cpu_s, rss_kib) in
                later.processes.iter().filter(|process| process.1 == role)
            {
                let before = self.processes.iter().find(|process| process.0 == *name);
                let cpu_before_s = before.map_or(0.0, |process| process.2);
                usage.processes += 1;
                usage.cpu_s += if *cpu_s >= cpu_before_s {
                    cpu_s - cpu_before_s
                } else {
                    *cpu_s
                };
                usage.max_rss_kib = usage.max_rss_kib.max(*rss_kib);
            }
            usage
        };
        Usage {
            window_s: (later.at - self.at).as_secs_f64(),
            store: usage_of_role(Role::Store),
            gateway: usage_of_role(Role::Gateway),
            agent: usage_of_role(Role::Agent),
            backend: usage_of_role(Role::Backend),
            loopback_bytes: later.loopback_bytes.saturating_sub(self.loopback_bytes),
            store_reads: later.store.reads.saturating_sub(self.store.reads),
            store_writes: later.store.writes.saturating_sub(self.store.writes),
            store_watches: later.store.watches.saturating_sub(self.store.watches),
        }
    }
}

/// Reads the processor time in seconds and the resident set size in KiB of a process from `/proc`.
fn read_process_usage(pid: u32) -> Option<(f64, u64)> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // These are the fields after the parenthesised program name. The user and system time are
    // the 14th and 15th field of the line.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let rss = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let rss_kib = rss.split_whitespace().next()?.parse().ok()?;
    Some((ticks / TICKS_PER_S, rss_kib))
}

fn read_loopback_bytes() -> Option<u64> {
    let dev = std::fs::read_to_string("/proc/net/dev").ok()?;
    let line = dev
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"))?;
    line.split_whitespace().next()?.parse().ok()
}
