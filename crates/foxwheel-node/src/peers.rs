//! What this process knows of the others, from their heartbeats.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use foxwheel_core::ids::{Incarnation, NodeId, Zone};
use foxwheel_policy::batch::ownership::{JobClaim, Worker};
use foxwheel_policy::membership::ServerKey;
use serde::{Deserialize, Serialize};

use crate::load_sums::LoadSums;
use crate::load_table::ServerLoad;
use crate::settings::Role;

/// Silence after which a process counts as dead: five heartbeats between zones, so that a
/// lost datagram or two changes nothing.
pub const DEAD_AFTER: Duration = Duration::from_millis(1_600);

/// Silence after which a process's address is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// What a process tells the others several times a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The process's host.
    pub host: NodeId,
    /// When it started, in milliseconds since the Unix epoch; tells restarts apart.
    pub incarnation: Incarnation,
    /// Grows with each message of an incarnation.
    pub sequence: u64,
    /// What it does.
    pub role: Role,
    /// Its availability zone.
    pub zone: Zone,
    /// Where it takes calls and heartbeats.
    pub addr: SocketAddr,
    /// It is stopping and takes no new work.
    pub leaving: bool,
    /// Its own last call to the platform's store succeeded.
    pub store_reached: bool,
    /// Its load on backend servers; sorted by server and start.
    pub loads: Vec<ServerLoad>,
    /// Starts of servers that it found to be gone a short while ago; sorted.
    pub gone: Vec<ServerKey>,
    /// Jobs it runs or closed a short while ago; sorted by job.
    pub claims: Vec<JobClaim>,
    /// Items of its jobs that could run now and found no slot.
    pub waiting_items: u32,
    /// Addresses of the processes it hears.
    pub known: Vec<SocketAddr>,
}

/// Changes of a process's load, told as they happen; a heartbeat makes good a lost one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadChanges {
    /// The process's host.
    pub host: NodeId,
    /// When it started, in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Grows with each message of an incarnation, heartbeats included.
    pub sequence: u64,
    /// Its load now on the servers where it changed; sorted by server and start.
    pub loads: Vec<ServerLoad>,
}

/// What processes tell each other by datagrams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Everything.
    Heartbeat(Heartbeat),
    /// What changed.
    LoadChanges(LoadChanges),
}

#[derive(Debug)]
struct Peer {
    beat: Heartbeat,
    heard_at: Instant,
    /// Its loads are in the sums; true from the first message until its death is noticed.
    counted: bool,
}

/// The other processes.
#[derive(Debug, Default)]
pub struct Peers(Mutex<Tables>);

#[derive(Debug, Default)]
struct Tables {
    /// Sorted by host.
    peers: Vec<Peer>,
    /// Addresses to tell, whether or not they were ever heard; sorted by address.
    addresses: Vec<(SocketAddr, Instant)>,
    /// The loads of the peers that are counted.
    sums: LoadSums,
    /// Starts of servers that counted peers found gone; sorted.
    gone: Vec<ServerKey>,
    /// No counted peer dies before; none without peers.
    next_death: Option<Instant>,
}

impl Peers {
    /// Takes a heartbeat; answers whether its sender is new or was taken for dead.
    pub fn hear(&self, beat: Heartbeat, own: SocketAddr, now: Instant) -> bool {
        let mut tables = self.0.lock().expect("peers lock");
        for addr in beat.known.iter().chain([&beat.addr]) {
            tables.note_address(*addr, own, now);
        }
        tables.refresh_address(beat.addr, now);
        match tables.position(&beat.host) {
            Ok(at) => {
                let known = &mut tables.peers[at];
                let order = (beat.incarnation, beat.sequence);
                if order <= (known.beat.incarnation, known.beat.sequence) {
                    return false;
                }
                let was_dead = now.duration_since(known.heard_at) >= DEAD_AFTER;
                tables.replace(at, beat, now);
                was_dead
            }
            Err(at) => {
                let peer = Peer {
                    beat,
                    heard_at: now,
                    counted: false,
                };
                tables.peers.insert(at, peer);
                tables.count(at);
                true
            }
        }
    }

    /// Takes changes of a live peer's load, unless something newer was heard of it; a peer that
    /// was silent for long tells everything first.
    pub fn take_changes(&self, changes: LoadChanges, now: Instant) {
        let mut tables = self.0.lock().expect("peers lock");
        let Ok(at) = tables.position(&changes.host) else {
            return;
        };
        let known = &mut tables.peers[at];
        let is_next = known.is_live(now)
            && changes.incarnation == known.beat.incarnation
            && changes.sequence > known.beat.sequence;
        if !is_next {
            return;
        }
        known.beat.sequence = changes.sequence;
        known.heard_at = now;
        for load in changes.loads {
            tables.set_load(at, load);
        }
    }

    /// Adds an address to tell.
    pub fn note_address(&self, addr: SocketAddr, own: SocketAddr, now: Instant) {
        let mut tables = self.0.lock().expect("peers lock");
        tables.note_address(addr, own, now);
    }

    /// Every address to tell, with the zone of the process there if it was heard.
    pub fn addresses(&self, now: Instant) -> Vec<(SocketAddr, Option<Zone>)> {
        let mut tables = self.0.lock().expect("peers lock");
        tables
            .addresses
            .retain(|(_, noted)| now.duration_since(*noted) < FORGET_AFTER);
        let zone_of = |addr: SocketAddr| {
            let live = tables.peers.iter().filter(|peer| peer.is_live(now));
            live.map(|peer| &peer.beat)
                .find(|beat| beat.addr == addr)
                .map(|beat| beat.zone.clone())
        };
        let addresses = tables.addresses.iter();
        addresses.map(|(addr, _)| (*addr, zone_of(*addr))).collect()
    }

    /// Addresses of live processes that do `role`, in the order of their hosts.
    pub fn live(&self, role: Role, now: Instant) -> Vec<(NodeId, SocketAddr)> {
        let tables = self.0.lock().expect("peers lock");
        tables
            .live(now)
            .filter(|beat| beat.role == role)
            .map(|beat| (beat.host.clone(), beat.addr))
            .collect()
    }

    /// Addresses of live processes that reach the platform's store.
    pub fn reaching_store(&self, now: Instant) -> Vec<SocketAddr> {
        let tables = self.0.lock().expect("peers lock");
        let reaching = tables.live(now).filter(|beat| beat.store_reached);
        reaching.map(|beat| beat.addr).collect()
    }

    /// Live workers: those heard, and those that live processes hear though this one does
    /// not, because the path between them is cut.
    pub fn workers(&self, now: Instant) -> Vec<Worker> {
        let tables = self.0.lock().expect("peers lock");
        let workers = tables.peers.iter().filter(|peer| {
            let is_worker = peer.beat.role == Role::Worker;
            is_worker && (peer.is_live(now) || tables.is_heard_by_others(peer.beat.addr, now))
        });
        workers
            .map(|peer| Worker {
                node: peer.beat.host.clone(),
                zone: peer.beat.zone.clone(),
                leaving: peer.beat.leaving,
                heard: peer.is_live(now),
                claims: peer.beat.claims.clone(),
                waiting_items: peer.beat.waiting_items,
            })
            .collect()
    }

    /// Requests in flight at `server` from all live peers: online and batch.
    pub fn load(&self, server: &ServerKey, now: Instant) -> (u32, u32) {
        let mut tables = self.0.lock().expect("peers lock");
        tables.notice_deaths(now);
        tables.sums.get(server)
    }

    /// Whether a live peer found that start of a server to be gone.
    pub fn found_gone(&self, server: &ServerKey, now: Instant) -> bool {
        let mut tables = self.0.lock().expect("peers lock");
        tables.notice_deaths(now);
        tables.gone.binary_search(server).is_ok()
    }
}

impl Peer {
    fn is_live(&self, now: Instant) -> bool {
        now.duration_since(self.heard_at) < DEAD_AFTER
    }
}

impl Tables {
    /// Takes the peer's newer heartbeat in place of the one before.
    fn replace(&mut self, at: usize, beat: Heartbeat, now: Instant) {
        self.uncount(at);
        self.peers[at].beat = beat;
        self.peers[at].heard_at = now;
        self.count(at);
    }

    fn count(&mut self, at: usize) {
        let peer = &mut self.peers[at];
        peer.counted = true;
        self.sums.add(&peer.beat.loads);
        let death = peer.heard_at + DEAD_AFTER;
        self.next_death = Some(self.next_death.map_or(death, |next| next.min(death)));
        for start in &peer.beat.gone {
            if let Err(place) = self.gone.binary_search(start) {
                self.gone.insert(place, start.clone());
            }
        }
    }

    fn uncount(&mut self, at: usize) {
        let peer = &mut self.peers[at];
        if !std::mem::take(&mut peer.counted) {
            return;
        }
        self.sums.subtract(&peer.beat.loads);
        if !peer.beat.gone.is_empty() {
            let counted = self.peers.iter().filter(|peer| peer.counted);
            self.gone = counted.flat_map(|peer| peer.beat.gone.clone()).collect();
            self.gone.sort_unstable();
            self.gone.dedup();
        }
    }

    /// Forgets the loads of peers that fell silent.
    fn notice_deaths(&mut self, now: Instant) {
        if self.next_death.is_none_or(|next| now < next) {
            return;
        }
        for at in 0..self.peers.len() {
            if !self.peers[at].is_live(now) {
                self.uncount(at);
            }
        }
        let counted = self.peers.iter().filter(|peer| peer.counted);
        self.next_death = counted.map(|peer| peer.heard_at + DEAD_AFTER).min();
    }

    fn set_load(&mut self, at: usize, load: ServerLoad) {
        let beat = &mut self.peers[at].beat;
        let found = beat
            .loads
            .binary_search_by(|known| known.server.cmp(&load.server));
        if let Ok(place) = found {
            let before = beat.loads.remove(place);
            self.sums.subtract(std::slice::from_ref(&before));
        }
        if load.online + load.batch > 0 {
            let (Ok(place) | Err(place)) = found;
            self.sums.add(std::slice::from_ref(&load));
            beat.loads.insert(place, load);
        }
    }

    fn position(&self, host: &str) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|peer| peer.beat.host.as_str().cmp(host))
    }

    fn live(&self, now: Instant) -> impl Iterator<Item = &Heartbeat> {
        self.peers
            .iter()
            .filter(move |peer| peer.is_live(now))
            .map(|peer| &peer.beat)
    }

    fn is_heard_by_others(&self, addr: SocketAddr, now: Instant) -> bool {
        self.live(now).any(|beat| beat.known.contains(&addr))
    }

    fn note_address(&mut self, addr: SocketAddr, own: SocketAddr, now: Instant) {
        if addr == own {
            return;
        }
        let found = self
            .addresses
            .binary_search_by_key(&addr, |(addr, _)| *addr);
        if let Err(at) = found {
            self.addresses.insert(at, (addr, now));
        }
    }

    /// Only the process itself keeps its address from being forgotten; hearsay does not.
    fn refresh_address(&mut self, addr: SocketAddr, now: Instant) {
        let found = self
            .addresses
            .binary_search_by_key(&addr, |(addr, _)| *addr);
        if let Ok(at) = found {
            self.addresses[at].1 = now;
        }
    }
}
