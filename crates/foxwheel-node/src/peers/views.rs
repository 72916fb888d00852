//! Queries on the other processes: which of them are live, and which role and state each has.

use std::net::SocketAddr;
use std::time::Instant;

use foxwheel_core::ids::{NodeId, Zone};
use foxwheel_policy::batch::ownership::Worker;
use foxwheel_policy::quarantine::QuarantineDigest;
use foxwheel_policy::representatives::ZoneProcess;
use foxwheel_policy::stream_origin::HolderCandidates;

use crate::peer_calls::StoreStateVersion;
use crate::peer_messages::{AgedSummary, Heartbeat, WorkerSummary};
use crate::peers::Peers;
use crate::settings::Role;

/// A live process of the own zone and the representatives that it selected.
#[derive(Debug, Clone)]
pub struct ZonePeer {
    /// The process, as an input to the selection of representatives.
    pub process: ZoneProcess,
    /// The address at which the process receives messages.
    pub addr: SocketAddr,
    /// The representatives that the process selected, primary first.
    pub representatives: Vec<NodeId>,
}

/// A process of the own zone that watches the platform's store.
#[derive(Debug, Clone)]
pub struct StoreWatcher {
    /// The process's host.
    pub host: NodeId,
    /// The address at which the process receives calls.
    pub addr: SocketAddr,
    version: StoreStateVersion,
}

impl StoreWatcher {
    /// Returns whether the process has newer state than `known`.
    pub fn is_newer_than(&self, known: StoreStateVersion) -> bool {
        self.version.is_newer_than(known)
    }
}

impl Peers {
    /// Returns the addresses of the processes whose heartbeats are received, or of the workers
    /// among them.
    pub fn live_addresses(&self, only_workers: bool, now: Instant) -> Vec<SocketAddr> {
        let state = self.lock();
        let is_wanted = |heartbeat: &&Heartbeat| !only_workers || heartbeat.role == Role::Worker;
        let live = state.live_heartbeats(now).filter(is_wanted);
        live.map(|heartbeat| heartbeat.addr).collect()
    }

    /// Returns the live processes of the own zone, except this one.
    pub fn own_zone_peers(&self, now: Instant) -> Vec<ZonePeer> {
        let state = self.lock();
        let live = state.peers.iter().filter(|peer| peer.is_live(now));
        let local = live.filter(|peer| peer.heartbeat.zone == self.own_zone);
        let peers = local.map(|peer| ZonePeer {
            process: ZoneProcess {
                host: peer.heartbeat.host.clone(),
                is_worker: peer.heartbeat.role == Role::Worker,
                leaving: peer.heartbeat.leaving,
                store_reached: peer.heartbeat.store_reached,
                silent_for: now.duration_since(peer.last_message_at),
            },
            addr: peer.heartbeat.addr,
            representatives: peer.heartbeat.representatives.clone(),
        });
        peers.collect()
    }

    /// Returns the addresses of the live processes of the own zone for which `is_wanted` returns
    /// true, given the process's host and the representatives that it selected.
    pub fn own_zone_addresses(
        &self,
        now: Instant,
        is_wanted: impl Fn(&NodeId, &[NodeId]) -> bool,
    ) -> Vec<SocketAddr> {
        let state = self.lock();
        let local = state
            .live_heartbeats(now)
            .filter(|heartbeat| heartbeat.zone == self.own_zone);
        let wanted =
            local.filter(|heartbeat| is_wanted(&heartbeat.host, &heartbeat.representatives));
        wanted.map(|heartbeat| heartbeat.addr).collect()
    }

    /// Returns whether a live process of the own zone selected `host` as a representative.
    pub fn is_representative(&self, host: &NodeId, now: Instant) -> bool {
        let state = self.lock();
        let mut local = state
            .live_heartbeats(now)
            .filter(|heartbeat| heartbeat.zone == self.own_zone);
        local.any(|heartbeat| heartbeat.representatives.contains(host))
    }

    /// Returns the processes of the own zone that watch the platform's store, according to their
    /// last heartbeats.
    pub fn store_watchers(&self, now: Instant) -> Vec<StoreWatcher> {
        let state = self.lock();
        let watching = state.live_heartbeats(now).filter(|heartbeat| {
            let is_local = heartbeat.zone == self.own_zone;
            is_local && heartbeat.is_watching_store
        });
        let watchers = watching.map(|heartbeat| StoreWatcher {
            host: heartbeat.host.clone(),
            addr: heartbeat.addr,
            version: heartbeat.state_version,
        });
        watchers.collect()
    }

    /// Returns the digest of the crash records, and the address for calls, of the processes whose
    /// heartbeats or direct summaries are received.
    pub fn quarantine_digests(&self, now: Instant) -> Vec<(SocketAddr, QuarantineDigest)> {
        let state = self.lock();
        let live = state
            .live_heartbeats(now)
            .map(|heartbeat| (heartbeat.addr, heartbeat.quarantine_digest));
        live.chain(state.other_zones.quarantine_digests(now))
            .collect()
    }

    /// Returns when the platform's store last responded to a process of the own zone that watches
    /// it and has no newer state than `known`: at that time, `known` was current.
    pub fn state_current_at(&self, known: StoreStateVersion) -> Option<Instant> {
        let state = self.lock();
        let watching = state.peers.iter().filter(|peer| {
            let is_local = peer.heartbeat.zone == self.own_zone;
            is_local
                && peer.heartbeat.is_watching_store
                && !peer.heartbeat.state_version.is_newer_than(known)
        });
        watching.filter_map(|peer| peer.store_answered_at).max()
    }

    /// Returns the part of a zone summary that describes the own zone's workers, except this
    /// process.
    pub fn worker_summaries(&self, now: Instant) -> Vec<WorkerSummary> {
        let state = self.lock();
        let live = state.peers.iter().filter(|peer| peer.is_live(now));
        let local = live.filter(|peer| peer.heartbeat.zone == self.own_zone);
        let workers = local.filter(|peer| peer.heartbeat.role == Role::Worker);
        let summaries = workers.map(|peer| WorkerSummary {
            host: peer.heartbeat.host.clone(),
            addr: peer.heartbeat.addr,
            leaving: peer.heartbeat.leaving,
            store_reached: peer.heartbeat.store_reached,
            waiting_items: peer.heartbeat.waiting_items,
            silent_for: now.duration_since(peer.last_message_at),
        });
        summaries.collect()
    }

    /// Returns each other zone in which a process is known, with the addresses for messages to
    /// that zone: its representatives, or all its known processes while no recent summary names
    /// representatives.
    pub fn other_zone_recipients(&self, now: Instant) -> Vec<(Zone, Vec<SocketAddr>)> {
        let state = self.lock();
        let zones = state.directory.other_zones(&self.own_zone);
        let addressed = zones.into_iter().map(|zone| {
            let mut addresses = state.other_zones.representatives(&zone, now).to_vec();
            if addresses.is_empty() {
                addresses = state.directory.addresses_in_zone(&zone).collect();
            }
            (zone, addresses)
        });
        addressed.collect()
    }

    /// Returns the addresses of the known processes of each zone without a recent summary, one
    /// list for each zone.
    pub fn silent_zone_recipients(&self, now: Instant) -> Vec<Vec<SocketAddr>> {
        let state = self.lock();
        let zones = state.directory.other_zones(&self.own_zone);
        let silent = zones
            .into_iter()
            .filter(|zone| state.other_zones.representatives(zone, now).is_empty());
        silent
            .map(|zone| state.directory.addresses_in_zone(&zone).collect())
            .collect()
    }

    /// Returns the summaries of other zones that this process forwards to its own zone as its
    /// primary representative or as another one.
    pub fn summaries_to_forward(&self, is_primary: bool, now: Instant) -> Vec<AgedSummary> {
        self.lock()
            .other_zones
            .summaries_to_forward(is_primary, now)
    }

    /// Returns the hosts and addresses of the live processes of `role` whose heartbeats are
    /// received and, for workers, of those that other zones' summaries name. Sorted by host.
    pub fn live_processes(&self, role: Role, now: Instant) -> Vec<(NodeId, SocketAddr)> {
        let state = self.lock();
        let received = state
            .live_heartbeats(now)
            .filter(|heartbeat| heartbeat.role == role);
        let mut live: Vec<_> = received
            .map(|heartbeat| (heartbeat.host.clone(), heartbeat.addr))
            .collect();
        if role == Role::Worker {
            for (_, worker) in state.other_zones.live_workers(now) {
                if let Err(at) = live.binary_search_by(|(host, _)| host.cmp(&worker.host)) {
                    live.insert(at, (worker.host.clone(), worker.addr));
                }
            }
        }
        live
    }

    /// Returns the address of the worker on `host`, or `None` if it is not live.
    pub fn live_worker_addr(&self, host: &str, now: Instant) -> Option<SocketAddr> {
        let live = self.live_processes(Role::Worker, now);
        let found = live.binary_search_by(|(name, _)| name.as_str().cmp(host));
        found.ok().map(|index| live[index].1)
    }

    /// Returns the live processes that may hold the origins of streams.
    pub fn holder_candidates(&self, now: Instant) -> HolderCandidates {
        let state = self.lock();
        let mut candidates = HolderCandidates::default();
        for heartbeat in state.live_heartbeats(now) {
            if heartbeat.zone == self.own_zone {
                candidates.own_zone.push(heartbeat.addr);
            }
            if heartbeat.role == Role::Worker {
                let worker = (heartbeat.zone.clone(), heartbeat.addr);
                candidates.workers.push(worker);
            }
        }
        for (zone, worker) in state.other_zones.live_workers(now) {
            let worker = (zone.clone(), worker.addr);
            if !candidates.workers.contains(&worker) {
                candidates.workers.push(worker);
            }
        }
        candidates
    }

    /// Returns the number of live fronts in all zones, without this process.
    pub fn other_front_count(&self, now: Instant) -> usize {
        let state = self.lock();
        let local = state.live_heartbeats(now).filter(|heartbeat| {
            let is_local = heartbeat.zone == self.own_zone;
            is_local && heartbeat.role == Role::Front
        });
        local.count() + state.other_zones.front_count(now)
    }

    /// Returns the addresses of live processes that reach the platform's store: first those whose
    /// heartbeats are received, then workers known from other zones' summaries, to which this
    /// process may have no working path.
    pub fn processes_reaching_store(&self, now: Instant) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let state = self.lock();
        let received = state
            .live_heartbeats(now)
            .filter(|heartbeat| heartbeat.store_reached);
        let received: Vec<SocketAddr> = received.map(|heartbeat| heartbeat.addr).collect();
        let summarized = state.other_zones.live_workers(now);
        let summarized = summarized.filter(|(_, worker)| worker.store_reached);
        let summarized = summarized.map(|(_, worker)| worker.addr);
        let summarized = summarized.filter(|addr| !received.contains(addr)).collect();
        (received, summarized)
    }

    /// Returns the live workers: those whose heartbeats are received, and those that only other
    /// processes report because they are in another zone or the path to them is cut.
    pub fn live_workers(&self, now: Instant) -> Vec<Worker> {
        let state = self.lock();
        let live = state.peers.iter().filter(|peer| {
            let is_worker = peer.heartbeat.role == Role::Worker;
            is_worker && (peer.is_live(now) || state.is_reported_alive(peer, now))
        });
        let mut workers: Vec<Worker> = live
            .map(|peer| Worker {
                host: peer.heartbeat.host.clone(),
                zone: peer.heartbeat.zone.clone(),
                leaving: peer.heartbeat.leaving,
                has_current_claims: peer.is_live(now),
                claims: peer.heartbeat.claims.clone(),
                waiting_items: peer.heartbeat.waiting_items,
            })
            .collect();
        for (zone, summary) in state.other_zones.live_workers(now) {
            let found = workers.binary_search_by(|worker| worker.host.cmp(&summary.host));
            if let Err(at) = found {
                let worker = Worker {
                    host: summary.host.clone(),
                    zone: zone.clone(),
                    leaving: summary.leaving,
                    has_current_claims: false,
                    claims: Vec::new(),
                    waiting_items: summary.waiting_items,
                };
                workers.insert(at, worker);
            }
        }
        workers
    }
}
