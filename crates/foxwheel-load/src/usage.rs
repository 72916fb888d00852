//! What a fleet uses: processor time, memory, loopback traffic and store calls, per role,
//! between two samples.

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
    /// Processes.
    pub processes: u64,
    /// Processor seconds, user and system, all together.
    pub cpu_s: f64,
    /// The largest resident set at the end, in KiB.
    pub max_rss_kib: u64,
}

/// What the fleet used between two samples.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Usage {
    /// The time between the samples, in seconds.
    pub window_s: f64,
    /// The store stand-in.
    pub store: RoleUsage,
    /// The gateways.
    pub gateway: RoleUsage,
    /// The agents.
    pub agent: RoleUsage,
    /// The back end stand-ins.
    pub backend: RoleUsage,
    /// Bytes over the loopback interface, each counted once, headers included.
    pub loopback_bytes: u64,
    /// Gets and lists of the store.
    pub store_reads: u64,
    /// Puts and deletes.
    pub store_writes: u64,
    /// Watch calls.
    pub store_watches: u64,
}

/// One reading of everything.
#[derive(Debug)]
pub struct Sample {
    at: Instant,
    /// By process name: role, processor seconds, resident KiB.
    processes: Vec<(String, Role, f64, u64)>,
    loopback_bytes: u64,
    store: CallCounts,
}

impl Sample {
    /// Reads the fleet's processes, the loopback counters and the store's call counts.
    pub async fn take(fleet: &Fleet) -> Self {
        let processes = fleet.processes.iter().map(|p| {
            let (cpu_s, rss_kib) = process_usage(p.pid()).unwrap_or_default();
            (p.name.clone(), p.role, cpu_s, rss_kib)
        });
        Self {
            at: Instant::now(),
            processes: processes.collect(),
            loopback_bytes: loopback_bytes().unwrap_or_default(),
            store: StoreClient::new(&fleet.store_url)
                .stats()
                .await
                .unwrap_or_default(),
        }
    }

    /// What was used from `self` to `later`. A process restarted in between counts from its
    /// restart.
    pub fn until(&self, later: &Self) -> Usage {
        let role = |role: Role| {
            let mut usage = RoleUsage::default();
            for (name, _, cpu_s, rss_kib) in later.processes.iter().filter(|p| p.1 == role) {
                let before = self.processes.iter().find(|p| p.0 == *name);
                let before_s = before.map_or(0.0, |p| p.2);
                usage.processes += 1;
                usage.cpu_s += if *cpu_s >= before_s {
                    cpu_s - before_s
                } else {
                    *cpu_s
                };
                usage.max_rss_kib = usage.max_rss_kib.max(*rss_kib);
            }
            usage
        };
        Usage {
            window_s: (later.at - self.at).as_secs_f64(),
            store: role(Role::Store),
            gateway: role(Role::Gateway),
            agent: role(Role::Agent),
            backend: role(Role::Backend),
            loopback_bytes: later.loopback_bytes.saturating_sub(self.loopback_bytes),
            store_reads: later.store.reads.saturating_sub(self.store.reads),
            store_writes: later.store.writes.saturating_sub(self.store.writes),
            store_watches: later.store.watches.saturating_sub(self.store.watches),
        }
    }
}

/// Processor seconds and resident KiB of a process, from the kernel.
fn process_usage(pid: u32) -> Option<(f64, u64)> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The fields after the parenthesised program name; utime and stime are the 14th and
    // 15th of the line.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let rss_kib = rss.split_whitespace().next()?.parse().ok()?;
    Some((ticks / TICKS_PER_S, rss_kib))
}

fn loopback_bytes() -> Option<u64> {
    let dev = std::fs::read_to_string("/proc/net/dev").ok()?;
    let line = dev.lines().find_map(|l| l.trim().strip_prefix("lo:"))?;
    line.split_whitespace().next()?.parse().ok()
}
