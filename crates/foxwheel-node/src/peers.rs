//! What this process knows of the others: of its own zone from each of them, of other zones
//! from their speakers.

mod views;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Instant;

use foxwheel_core::ids::Zone;
use foxwheel_policy::load_reports::DEAD_TIMEOUT;
use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::zone_loads::{self, RequestCounts, ServerFingerprint};

use crate::cross_zone_clients::CrossZoneClients;
use crate::load_sums::LoadSums;
use crate::load_table::ServerLoad;
use crate::other_zones::{OtherZones, SummarySource};
use crate::peer_directory::{HeartbeatScope, PeerDirectory};
use crate::peer_messages::{
    AgedSummary, CrossZoneLoads, Heartbeat, Introduction, LoadChanges, PeerEndpoint, ZoneSummary,
};
use crate::reported_loads::ReportedLoads;
use crate::settings::Role;

pub use views::{StoreWatcher, ZonePeer};

/// Most processes told of in one introduction.
const MAX_INTRODUCED: usize = 40;

#[derive(Debug)]
struct Peer {
    /// Its last heartbeat; the loads are in `told`.
    beat: Heartbeat,
    told: ReportedLoads,
    heard_at: Instant,
    /// When the platform's store last answered it; none if that is longer ago than this
    /// process can tell.
    store_answered_at: Option<Instant>,
}

/// The other processes.
#[derive(Debug)]
pub struct Peers {
    own_zone: Zone,
    own_role: Role,
    tables: Mutex<Tables>,
}

#[derive(Debug, Default)]
struct Tables {
    /// Those heard themselves: of the own zone, and between workers; sorted by host.
    peers: Vec<Peer>,
    cross_zone_clients: CrossZoneClients,
    peer_directory: PeerDirectory,
    other_zones: OtherZones,
    /// The loads of peers and guests that are counted.
    sums: LoadSums,
    /// Starts of servers that counted peers found gone; sorted.
    gone: Vec<ServerInstance>,
    /// No counted peer or guest dies before; none without any.
    next_death: Option<Instant>,
}

impl Peers {
    /// Nothing known yet, for a process that does `own_role` in `own_zone`.
    pub fn new(own_zone: Zone, own_role: Role) -> Self {
        Self {
            own_zone,
            own_role,
            tables: Mutex::default(),
        }
    }

    /// Takes a heartbeat; answers whether its sender is new or was taken for dead.
    pub fn apply_heartbeat(&self, beat: Heartbeat, own: SocketAddr, now: Instant) -> bool {
        let mut tables = self.lock();
        let known = beat.known.iter().filter(|addr| **addr != own);
        for addr in known {
            tables.peer_directory.add_address(*addr, now);
        }
        let contact = PeerEndpoint {
            addr: beat.addr,
            zone: beat.zone.clone(),
            role: beat.role,
        };
        tables.peer_directory.note(&contact, &self.own_zone, now);
        tables.peer_directory.refresh(beat.addr, now);
        match tables.position(&beat.host) {
            Ok(at) => {
                let known = &tables.peers[at];
                let order = (beat.incarnation, beat.sequence);
                if order <= (known.beat.incarnation, known.beat.sequence) {
                    return false;
                }
                let was_dead = !known.is_live(now);
                tables.replace(at, beat, now);
                was_dead
            }
            Err(at) => {
                let peer = Peer {
                    told: ReportedLoads::default(),
                    heard_at: now,
                    store_answered_at: None,
                    beat: Heartbeat {
                        loads: Vec::new(),
                        gone: Vec::new(),
                        ..beat.clone()
                    },
                };
                tables.peers.insert(at, peer);
                tables.replace(at, beat, now);
                true
            }
        }
    }

    /// Whether the sender of a heartbeat sent it only because it does not know who is here:
    /// processes of different zones tell each other nothing unless both are workers.
    pub fn should_introduce(&self, beat: &Heartbeat) -> bool {
        let both_workers = beat.role == Role::Worker && self.own_role == Role::Worker;
        beat.zone != self.own_zone && !both_workers
    }

    /// Whom a process of `zone` should know.
    pub fn endpoints_to_introduce(&self, zone: &Zone) -> Vec<PeerEndpoint> {
        self.lock()
            .peer_directory
            .endpoints_to_introduce(zone, MAX_INTRODUCED)
    }

    /// Takes an introduction.
    pub fn apply_introduction(&self, told: &Introduction, own: SocketAddr, now: Instant) {
        let others = told.others.iter().chain([&told.from]);
        for contact in others.filter(|contact| contact.addr != own) {
            self.add_endpoint(contact, now);
        }
    }

    /// Takes changes of a live peer's load, unless something newer was heard of it; a peer that
    /// was silent for long tells everything first.
    pub fn apply_load_changes(&self, changes: LoadChanges, now: Instant) {
        let mut tables = self.lock();
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

    /// Takes what a process of another zone has in flight at this zone's servers; answers
    /// whether it is news.
    pub fn apply_cross_zone_loads(&self, told: &CrossZoneLoads, now: Instant) -> bool {
        let tables = &mut *self.lock();
        let is_news = tables.cross_zone_clients.take(told, &mut tables.sums, now);
        tables.expect_death(now + DEAD_TIMEOUT);
        is_news
    }

    /// What the processes of another zone have in flight at this zone's servers.
    pub fn cross_zone_loads(&self, zone: &Zone, now: Instant) -> LoadSums {
        let mut tables = self.lock();
        tables.notice_deaths(now);
        tables.cross_zone_clients.of_zone(zone)
    }

    /// Takes a summary of another zone.
    pub fn apply_summary(&self, told: AgedSummary, via: SummarySource, now: Instant) {
        if told.summary.zone == self.own_zone {
            return;
        }
        let mut tables = self.lock();
        for contact in contacts_of(&told.summary) {
            tables.peer_directory.note(&contact, &self.own_zone, now);
            tables.peer_directory.refresh(contact.addr, now);
        }
        tables.other_zones.take(told, via, now);
    }

    /// Adds an address of which nothing else is known.
    pub fn add_address(&self, addr: SocketAddr, own: SocketAddr, now: Instant) {
        if addr != own {
            self.lock().peer_directory.add_address(addr, now);
        }
    }

    /// Adds a process other than this one.
    pub fn add_endpoint(&self, contact: &PeerEndpoint, now: Instant) {
        self.lock()
            .peer_directory
            .note(contact, &self.own_zone, now);
    }

    /// Every address that is known, sorted.
    pub fn known_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let mut tables = self.lock();
        tables.peer_directory.forget_silent(now);
        tables.peer_directory.addresses()
    }

    /// Where a heartbeat goes.
    pub fn heartbeat_recipients(&self, reach: HeartbeatScope, now: Instant) -> Vec<SocketAddr> {
        let mut tables = self.lock();
        tables.peer_directory.forget_silent(now);
        tables
            .peer_directory
            .recipients(&self.own_zone, self.own_role, reach)
    }

    /// Requests in flight at `server` from all live processes that told of them: online and
    /// batch.
    pub fn in_flight(&self, server: &ServerInstance, now: Instant) -> (u32, u32) {
        let mut tables = self.lock();
        tables.notice_deaths(now);
        tables.sums.get(server)
    }

    /// Requests in flight at a server of another zone from all processes, as far as is known;
    /// `own` are those of this one. None for the own zone.
    pub fn other_zone_load(
        &self,
        zone: &Zone,
        server: &ServerInstance,
        slots: u32,
        own: RequestCounts,
        now: Instant,
    ) -> Option<RequestCounts> {
        if *zone == self.own_zone {
            return None;
        }
        let mut tables = self.lock();
        tables.notice_deaths(now);
        let (online, batch) = tables.sums.get(server);
        let own_zone = RequestCounts {
            online: own.online + online,
            batch: own.batch + batch,
        };
        let told = tables.other_zones.load(zone, server, slots, own_zone, now);
        Some(told.unwrap_or_else(|| {
            if tables.peer_directory.of_zone(zone).next().is_some() {
                return zone_loads::estimate_silent_zone(slots, own_zone);
            }
            let zones = tables.peer_directory.other_zones(&self.own_zone).len() + 1;
            zone_loads::estimate_zone_without_processes(zones as u32, own_zone)
        }))
    }

    /// The servers that a speaker of another zone told of, if one lives: the freest of a large
    /// zone.
    pub fn summarized_servers(&self, zone: &Zone, now: Instant) -> Option<Vec<ServerFingerprint>> {
        self.lock().other_zones.summarized_servers(zone, now)
    }

    /// Whether a live process found that start of a server to be gone.
    pub fn is_reported_dead(&self, server: &ServerInstance, now: Instant) -> bool {
        let mut tables = self.lock();
        tables.notice_deaths(now);
        tables.gone.binary_search(server).is_ok()
            || tables.other_zones.is_reported_dead(server, now)
    }

    /// Starts of servers that processes of the own zone found gone; sorted.
    pub fn reported_dead_instances(&self, now: Instant) -> Vec<ServerInstance> {
        let mut tables = self.lock();
        tables.notice_deaths(now);
        tables.gone.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Tables> {
        self.tables.lock().expect("peers lock")
    }
}

/// Whom a summary tells of: its zone's workers, and its speakers for the time in which no
/// worker lives there.
fn contacts_of(summary: &ZoneSummary) -> Vec<PeerEndpoint> {
    let contact = |addr, role| PeerEndpoint {
        addr,
        zone: summary.zone.clone(),
        role,
    };
    let workers = summary.workers.iter();
    let mut peer_directory: Vec<PeerEndpoint> = workers
        .map(|note| contact(note.addr, Role::Worker))
        .collect();
    for addr in &summary.speakers {
        if !peer_directory.iter().any(|known| known.addr == *addr) {
            peer_directory.push(contact(*addr, Role::Front));
        }
    }
    peer_directory
}

impl Peer {
    fn is_live(&self, now: Instant) -> bool {
        now.duration_since(self.heard_at) < DEAD_TIMEOUT
    }
}

impl Tables {
    /// Takes the peer's newer heartbeat in place of the one before.
    fn replace(&mut self, at: usize, mut beat: Heartbeat, now: Instant) {
        let peer = &mut self.peers[at];
        let loads = std::mem::take(&mut beat.loads);
        peer.told.replace(loads, &mut self.sums);
        let gone_before = std::mem::replace(&mut peer.beat, beat).gone;
        peer.heard_at = now;
        peer.store_answered_at = now.checked_sub(peer.beat.store_answered_ago);
        if gone_before != self.peers[at].beat.gone {
            self.collect_gone();
        }
        self.expect_death(now + DEAD_TIMEOUT);
    }

    fn set_load(&mut self, at: usize, load: ServerLoad) {
        self.peers[at].told.set(load, &mut self.sums);
    }

    fn expect_death(&mut self, at: Instant) {
        self.next_death = Some(self.next_death.map_or(at, |next| next.min(at)));
    }

    fn collect_gone(&mut self) {
        let counted = self.peers.iter().filter(|peer| peer.told.is_counted());
        self.gone = counted.flat_map(|peer| peer.beat.gone.clone()).collect();
        self.gone.sort_unstable();
        self.gone.dedup();
    }

    /// Forgets the loads of processes that fell silent.
    fn notice_deaths(&mut self, now: Instant) {
        if self.next_death.is_none_or(|next| now < next) {
            return;
        }
        let mut deaths = Vec::new();
        for peer in &mut self.peers {
            match peer.is_live(now) {
                true => deaths.push(peer.heard_at + DEAD_TIMEOUT),
                false => peer.told.remove_from_sums(&mut self.sums),
            }
        }
        deaths.extend(self.cross_zone_clients.forget_silent(&mut self.sums, now));
        self.next_death = deaths.into_iter().min();
        self.collect_gone();
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

    /// Whether others hear a process that is not heard here.
    fn is_told_of(&self, peer: &Peer, now: Instant) -> bool {
        let addr = &peer.beat.addr;
        let by_peers = self.live(now).any(|beat| beat.known.contains(addr));
        let mut noted = self.other_zones.workers(now);
        by_peers || noted.any(|(_, note)| note.host == peer.beat.host)
    }
}
