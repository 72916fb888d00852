//! Who lives, what each does and what it knows, as the others told.

use std::net::SocketAddr;
use std::time::Instant;

use foxwheel_core::ids::{NodeId, Zone};
use foxwheel_policy::batch::ownership::Worker;
use foxwheel_policy::quarantine::QuarantineDigest;
use foxwheel_policy::representatives::ZoneProcess;

use crate::peer_calls::StoreStateVersion;
use crate::peer_messages::{AgedSummary, Heartbeat, WorkerSummary};
use crate::peers::Peers;
use crate::settings::Role;

/// A process of the own zone and whom it takes as speakers.
#[derive(Debug, Clone)]
pub struct ZonePeer {
    /// The process.
    pub member: ZoneProcess,
    /// Where it takes messages.
    pub addr: SocketAddr,
    /// The speakers that it names, first choice first.
    pub speakers: Vec<NodeId>,
}

/// A process of the own zone that follows the platform's store.
#[derive(Debug, Clone)]
pub struct StoreWatcher {
    /// Its host.
    pub host: NodeId,
    /// Where it takes calls.
    pub addr: SocketAddr,
    /// How new what it knows is.
    knows: StoreStateVersion,
}

impl StoreWatcher {
    /// Whether it knows more than `known`.
    pub fn is_newer_than(&self, known: StoreStateVersion) -> bool {
        self.knows.is_newer_than(known)
    }
}

impl Peers {
    /// Addresses of the processes that are heard, or of the workers among them.
    pub fn live_addresses(&self, only_workers: bool, now: Instant) -> Vec<SocketAddr> {
        let tables = self.lock();
        let wanted = |beat: &&Heartbeat| !only_workers || beat.role == Role::Worker;
        let heard = tables.live(now).filter(wanted);
        heard.map(|beat| beat.addr).collect()
    }

    /// The live processes of the own zone that are heard.
    pub fn own_zone_peers(&self, now: Instant) -> Vec<ZonePeer> {
        let tables = self.lock();
        let live = tables.peers.iter().filter(|peer| peer.is_live(now));
        let local = live.filter(|peer| peer.beat.zone == self.own_zone);
        let peers = local.map(|peer| ZonePeer {
            member: ZoneProcess {
                host: peer.beat.host.clone(),
                is_worker: peer.beat.role == Role::Worker,
                leaving: peer.beat.leaving,
                store_reached: peer.beat.store_reached,
                silent_for: now.duration_since(peer.heard_at),
            },
            addr: peer.beat.addr,
            speakers: peer.beat.speakers.clone(),
        });
        peers.collect()
    }

    /// Addresses of the live processes of the own zone that `wanted` picks by their host and the
    /// speakers that they name.
    pub fn own_zone_addresses(
        &self,
        now: Instant,
        wanted: impl Fn(&NodeId, &[NodeId]) -> bool,
    ) -> Vec<SocketAddr> {
        let tables = self.lock();
        let local = tables.live(now).filter(|beat| beat.zone == self.own_zone);
        let wanted = local.filter(|beat| wanted(&beat.host, &beat.speakers));
        wanted.map(|beat| beat.addr).collect()
    }

    /// Whether a live process of the own zone names `host` as a speaker.
    pub fn is_representative(&self, host: &NodeId, now: Instant) -> bool {
        let tables = self.lock();
        let mut local = tables.live(now).filter(|beat| beat.zone == self.own_zone);
        local.any(|beat| beat.speakers.contains(host))
    }

    /// Processes of the own zone that follow the platform's store, as they told last.
    pub fn store_watchers(&self, now: Instant) -> Vec<StoreWatcher> {
        let tables = self.lock();
        let following = tables.live(now).filter(|beat| {
            let is_local = beat.zone == self.own_zone;
            is_local && beat.follows
        });
        let store_watch = following.map(|beat| StoreWatcher {
            host: beat.host.clone(),
            addr: beat.addr,
            knows: beat.knows,
        });
        store_watch.collect()
    }

    /// Which crashes of servers the processes that are heard know of, and where they take calls.
    pub fn quarantine_states(&self, now: Instant) -> Vec<(SocketAddr, QuarantineDigest)> {
        let tables = self.lock();
        let heard = tables.live(now).map(|beat| (beat.addr, beat.quarantine));
        heard
            .chain(tables.other_zones.quarantine_states(now))
            .collect()
    }

    /// When the platform's store last answered a process of the own zone that follows it and
    /// told of nothing newer than `known`: what is known here was current then.
    pub fn state_current_at(&self, known: StoreStateVersion) -> Option<Instant> {
        let tables = self.lock();
        let following = tables.peers.iter().filter(|peer| {
            let is_local = peer.beat.zone == self.own_zone;
            is_local && peer.beat.follows && !peer.beat.knows.is_newer_than(known)
        });
        following.filter_map(|peer| peer.store_answered_at).max()
    }

    /// What other zones are told of the own zone's workers that are heard.
    pub fn worker_summaries(&self, now: Instant) -> Vec<WorkerSummary> {
        let tables = self.lock();
        let live = tables.peers.iter().filter(|peer| peer.is_live(now));
        let local = live.filter(|peer| peer.beat.zone == self.own_zone);
        let workers = local.filter(|peer| peer.beat.role == Role::Worker);
        let notes = workers.map(|peer| WorkerSummary {
            host: peer.beat.host.clone(),
            addr: peer.beat.addr,
            leaving: peer.beat.leaving,
            store_reached: peer.beat.store_reached,
            waiting_items: peer.beat.waiting_items,
            silent_for: now.duration_since(peer.heard_at),
        });
        notes.collect()
    }

    /// Other zones of which a process is known, and where messages for each go: to its
    /// speakers, or to whoever is known there while no speaker is heard.
    pub fn other_zone_recipients(&self, now: Instant) -> Vec<(Zone, Vec<SocketAddr>)> {
        let tables = self.lock();
        let zones = tables.peer_directory.other_zones(&self.own_zone);
        let addressed = zones.into_iter().map(|zone| {
            let mut addresses = tables.other_zones.speakers(&zone, now).to_vec();
            if addresses.is_empty() {
                addresses = tables.peer_directory.of_zone(&zone).collect();
            }
            (zone, addresses)
        });
        addressed.collect()
    }

    /// For each zone of which processes are known and that nobody tells of, where they take
    /// messages.
    pub fn silent_zone_recipients(&self, now: Instant) -> Vec<Vec<SocketAddr>> {
        let tables = self.lock();
        let zones = tables.peer_directory.other_zones(&self.own_zone);
        let silent = zones
            .into_iter()
            .filter(|zone| tables.other_zones.speakers(zone, now).is_empty());
        silent
            .map(|zone| tables.peer_directory.of_zone(&zone).collect())
            .collect()
    }

    /// Summaries of other zones to pass on to this one.
    pub fn summaries_to_forward(&self, is_first: bool, now: Instant) -> Vec<AgedSummary> {
        self.lock().other_zones.summaries_to_forward(is_first, now)
    }

    /// Addresses of live processes that do `role` and are heard, in the order of their hosts;
    /// with the workers that other zones' speakers tell of.
    pub fn live_processes(&self, role: Role, now: Instant) -> Vec<(NodeId, SocketAddr)> {
        let tables = self.lock();
        let heard = tables.live(now).filter(|beat| beat.role == role);
        let mut live: Vec<_> = heard.map(|beat| (beat.host.clone(), beat.addr)).collect();
        if role == Role::Worker {
            for (_, note) in tables.other_zones.workers(now) {
                if let Err(at) = live.binary_search_by(|(host, _)| host.cmp(&note.host)) {
                    live.insert(at, (note.host.clone(), note.addr));
                }
            }
        }
        live
    }

    /// How many live fronts there are beside this process.
    pub fn other_front_count(&self, now: Instant) -> usize {
        let tables = self.lock();
        let heard = tables.live(now).filter(|beat| {
            let is_local = beat.zone == self.own_zone;
            is_local && beat.role == Role::Front
        });
        heard.count() + tables.other_zones.fronts(now)
    }

    /// Addresses of live processes that reach the platform's store: those that are heard, and
    /// other zones' workers, whom this process may not reach.
    pub fn processes_reaching_store(&self, now: Instant) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let tables = self.lock();
        let heard = tables.live(now).filter(|beat| beat.store_reached);
        let heard: Vec<SocketAddr> = heard.map(|beat| beat.addr).collect();
        let told = tables.other_zones.workers(now);
        let told = told.filter(|(_, note)| note.store_reached);
        let told = told.map(|(_, note)| note.addr);
        let told = told.filter(|addr| !heard.contains(addr)).collect();
        (heard, told)
    }

    /// Live workers: those heard, and those that others tell of though they are not heard
    /// here, because they are in another zone or the path to them is cut.
    pub fn live_workers(&self, now: Instant) -> Vec<Worker> {
        let tables = self.lock();
        let heard = tables.peers.iter().filter(|peer| {
            let is_worker = peer.beat.role == Role::Worker;
            is_worker && (peer.is_live(now) || tables.is_told_of(peer, now))
        });
        let mut workers: Vec<Worker> = heard
            .map(|peer| Worker {
                node: peer.beat.host.clone(),
                zone: peer.beat.zone.clone(),
                leaving: peer.beat.leaving,
                heard: peer.is_live(now),
                claims: peer.beat.claims.clone(),
                waiting_items: peer.beat.waiting_items,
            })
            .collect();
        for (zone, note) in tables.other_zones.workers(now) {
            let found = workers.binary_search_by(|worker| worker.node.cmp(&note.host));
            if let Err(at) = found {
                let worker = Worker {
                    node: note.host.clone(),
                    zone: zone.clone(),
                    leaving: note.leaving,
                    heard: false,
                    claims: Vec::new(),
                    waiting_items: note.waiting_items,
                };
                workers.insert(at, worker);
            }
        }
        workers
    }
}
