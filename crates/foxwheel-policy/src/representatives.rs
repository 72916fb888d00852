//! Selection of the processes that represent their availability zone.
//!
//! Load pattern: hundreds of processes that all need to know how full the servers of other
//! zones are. If every process reported to every other one, the number of messages would grow
//! with the square of the fleet (90 KB/s per process at 300 hosts, most of it between zones).
//! So two representatives per zone exchange load summaries and distribute them within their
//! zones. There is no agreement protocol: each process selects the two that it regards as
//! representatives, and a process acts as the primary for everybody who selects it first. Two
//! processes that disagree for a moment only cause a few duplicate messages.

use std::time::Duration;

use foxwheel_core::ids::NodeId;

/// Time without a heartbeat after which another representative is selected: five heartbeats, so
/// that a lost datagram or a busy processor has no effect, and a third of the time after which
/// load summaries of other zones are too old to use.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of representatives that each process selects. The secondary already has the state it
/// needs when the primary dies, is cut off, or is rejected by the store.
pub const MAX_REPRESENTATIVES: usize = 2;

/// The rank that a process has in the selections of its zone, including its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// No process selects it.
    None,
    /// At least one process selects it as the secondary, and none as the primary.
    Secondary,
    /// At least one process selects it as the primary representative.
    Primary,
}

/// Returns the highest rank that `host` has in the given selections.
pub fn highest_rank<'a>(host: &str, selections: impl Iterator<Item = &'a [NodeId]>) -> Rank {
    let ranks =
        selections.map(
            |selection| match selection.iter().position(|selected| selected == host) {
                Some(0) => Rank::Primary,
                Some(_) => Rank::Secondary,
                None => Rank::None,
            },
        );
    ranks.max().unwrap_or(Rank::None)
}

/// A process of the zone, as seen by another process of it or by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneProcess {
    /// The host of the process.
    pub host: NodeId,
    /// The process is a worker. Workers are preferred: there are few of them, and they know
    /// each other across zones.
    pub is_worker: bool,
    /// The process is stopping.
    pub leaving: bool,
    /// The last call of the process to the platform's store succeeded.
    pub store_reached: bool,
    /// Time since its last heartbeat; zero for the process itself.
    pub silent_for: Duration,
}

/// Returns the representatives selected among `processes`, the primary first.
pub fn select(processes: &[ZoneProcess]) -> Vec<NodeId> {
    let is_live = |process: &&ZoneProcess| process.silent_for < SILENCE_TIMEOUT;
    let mut live: Vec<&ZoneProcess> = processes.iter().filter(is_live).collect();
    live.sort_unstable_by_key(|process| {
        let preference = (process.leaving, !process.store_reached, !process.is_worker);
        (preference, &process.host)
    });
    let selected = live.into_iter().take(MAX_REPRESENTATIVES);
    selected.map(|process| process.host.clone()).collect()
}
