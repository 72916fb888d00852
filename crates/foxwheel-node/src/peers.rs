//! What this process knows of the others: of its own zone from each of them, of other zones
//! from their speakers.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use foxwheel_core::ids::{NodeId, Zone};
use foxwheel_policy::batch::ownership::Worker;
use foxwheel_policy::load_reports::DEAD_AFTER;
use foxwheel_policy::membership::ServerKey;
use foxwheel_policy::quarantine::QuarantineState;
use foxwheel_policy::speakers::Member;
use foxwheel_policy::zone_loads::{self, Requests, ServerFingerprint};

use crate::contacts::{Contacts, Reach};
use crate::guests::Guests;
use crate::load_sums::LoadSums;
use crate::load_table::ServerLoad;
use crate::other_zones::{OtherZones, Via};
use crate::peer_calls::KnownState;
use crate::peer_messages::{
    AgedSummary, Contact, GuestLoads, Heartbeat, Introduction, LoadChanges, WorkerNote, ZoneSummary,
};
use crate::settings::Role;
use crate::told_loads::ToldLoads;

/// Most processes told of in one introduction.
const MAX_INTRODUCED: usize = 40;

#[derive(Debug)]
struct Peer {
    /// Its last heartbeat; the loads are in `told`.
    beat: Heartbeat,
    told: ToldLoads,
    heard_at: Instant,
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
    guests: Guests,
    contacts: Contacts,
    other_zones: OtherZones,
    /// The loads of peers and guests that are counted.
    sums: LoadSums,
    /// Starts of servers that counted peers found gone; sorted.
    gone: Vec<ServerKey>,
    /// No counted peer or guest dies before; none without any.
    next_death: Option<Instant>,
}

/// A process of the own zone and whom it takes as speakers.
#[derive(Debug, Clone)]
pub struct ZonePeer {
    /// The process.
    pub member: Member,
    /// Where it takes messages.
    pub addr: SocketAddr,
    /// The speakers that it names, first choice first.
    pub speakers: Vec<NodeId>,
}

/// A process of the own zone that follows the platform's store.
#[derive(Debug, Clone)]
pub struct StoreFollower {
    /// Its host.
    pub host: NodeId,
    /// Where it takes calls.
    pub addr: SocketAddr,
    /// How new what it knows is.
    knows: KnownState,
}

impl StoreFollower {
    /// Whether it knows more than `known`.
    pub fn knows_more(&self, known: KnownState) -> bool {
        self.knows.is_more_than(known)
    }
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
    pub fn hear(&self, beat: Heartbeat, own: SocketAddr, now: Instant) -> bool {
        let mut tables = self.lock();
        let known = beat.known.iter().filter(|addr| **addr != own);
        for addr in known {
            tables.contacts.note_address(*addr, now);
        }
        let contact = Contact {
            addr: beat.addr,
            zone: beat.zone.clone(),
            role: beat.role,
        };
        tables.contacts.note(&contact, &self.own_zone, now);
        tables.contacts.refresh(beat.addr, now);
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
                    told: ToldLoads::default(),
                    heard_at: now,
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
    pub fn is_stranger(&self, beat: &Heartbeat) -> bool {
        let both_workers = beat.role == Role::Worker && self.own_role == Role::Worker;
        beat.zone != self.own_zone && !both_workers
    }

    /// Whom a process of `zone` should know.
    pub fn to_introduce(&self, zone: &Zone) -> Vec<Contact> {
        self.lock().contacts.to_introduce(zone, MAX_INTRODUCED)
    }

    /// Takes an introduction.
    pub fn take_introduction(&self, told: &Introduction, own: SocketAddr, now: Instant) {
        let others = told.others.iter().chain([&told.from]);
        for contact in others.filter(|contact| contact.addr != own) {
            self.note_contact(contact, now);
        }
    }

    /// Takes changes of a live peer's load, unless something newer was heard of it; a peer that
    /// was silent for long tells everything first.
    pub fn take_changes(&self, changes: LoadChanges, now: Instant) {
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
    pub fn take_guest(&self, told: &GuestLoads, now: Instant) -> bool {
        let tables = &mut *self.lock();
        let is_news = tables.guests.take(told, &mut tables.sums, now);
        tables.expect_death(now + DEAD_AFTER);
        is_news
    }

    /// What the processes of another zone have in flight at this zone's servers.
    pub fn guest_loads(&self, zone: &Zone, now: Instant) -> LoadSums {
        let mut tables = self.lock();
        tables.notice_deaths(now);
        tables.guests.of_zone(zone)
    }

    /// Takes a summary of another zone.
    pub fn take_summary(&self, told: AgedSummary, via: Via, now: Instant) {
        if told.summary.zone == self.own_zone {
            return;
        }
        let mut tables = self.lock();
        for contact in contacts_of(&told.summary) {
            tables.contacts.note(&contact, &self.own_zone, now);
            tables.contacts.refresh(contact.addr, now);
        }
        tables.other_zones.take(told, via, now);
    }

    /// Adds an address of which nothing else is known.
    pub fn note_address(&self, addr: SocketAddr, own: SocketAddr, now: Instant) {
        if addr != own {
            self.lock().contacts.note_address(addr, now);
        }
    }

    /// Adds a process other than this one.
    pub fn note_contact(&self, contact: &Contact, now: Instant) {
        self.lock().contacts.note(contact, &self.own_zone, now);
    }

    /// Every address that is known, sorted.
    pub fn addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let mut tables = self.lock();
        tables.contacts.forget_silent(now);
        tables.contacts.addresses()
    }

    /// Where a heartbeat goes.
    pub fn recipients(&self, reach: Reach, now: Instant) -> Vec<SocketAddr> {
        let mut tables = self.lock();
        tables.contacts.forget_silent(now);
        tables
            .contacts
            .recipients(&self.own_zone, self.own_role, reach)
    }

    /// Addresses of the processes that are heard, or of the workers among them.
    pub fn heard(&self, only_workers: bool, now: Instant) -> Vec<SocketAddr> {
        let tables = self.lock();
        let wanted = |beat: &&Heartbeat| !only_workers || beat.role == Role::Worker;
        let heard = tables.live(now).filter(wanted);
        heard.map(|beat| beat.addr).collect()
    }

    /// The live processes of the own zone that are heard.
    pub fn of_own_zone(&self, now: Instant) -> Vec<ZonePeer> {
        let tables = self.lock();
        let live = tables.peers.iter().filter(|peer| peer.is_live(now));
        let local = live.filter(|peer| peer.beat.zone == self.own_zone);
        let peers = local.map(|peer| ZonePeer {
            member: Member {
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

    /// Processes of the own zone that follow the platform's store, as they told last.
    pub fn followers(&self, now: Instant) -> Vec<StoreFollower> {
        let tables = self.lock();
        let following = tables.live(now).filter(|beat| {
            let is_local = beat.zone == self.own_zone;
            is_local && beat.follows
        });
        let followers = following.map(|beat| StoreFollower {
            host: beat.host.clone(),
            addr: beat.addr,
            knows: beat.knows,
        });
        followers.collect()
    }

    /// Which crashes of servers the processes that are heard know of, and where they take calls.
    pub fn quarantine_states(&self, now: Instant) -> Vec<(SocketAddr, QuarantineState)> {
        let tables = self.lock();
        let heard = tables.live(now).map(|beat| (beat.addr, beat.quarantine));
        heard
            .chain(tables.other_zones.quarantine_states(now))
            .collect()
    }

    /// How long ago a process of the own zone last told that it follows the platform's store.
    pub fn told_by_follower_ago(&self, now: Instant) -> Option<Duration> {
        let tables = self.lock();
        let following = tables.peers.iter().filter(|peer| {
            let is_local = peer.beat.zone == self.own_zone;
            is_local && peer.beat.follows
        });
        let ago = following.map(|peer| now.duration_since(peer.heard_at));
        ago.min()
    }

    /// What other zones are told of the own zone's workers that are heard.
    pub fn worker_notes(&self, now: Instant) -> Vec<WorkerNote> {
        let tables = self.lock();
        let live = tables.peers.iter().filter(|peer| peer.is_live(now));
        let local = live.filter(|peer| peer.beat.zone == self.own_zone);
        let workers = local.filter(|peer| peer.beat.role == Role::Worker);
        let notes = workers.map(|peer| WorkerNote {
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
    pub fn other_zones(&self, now: Instant) -> Vec<(Zone, Vec<SocketAddr>)> {
        let tables = self.lock();
        let zones = tables.contacts.other_zones(&self.own_zone);
        let addressed = zones.into_iter().map(|zone| {
            let mut addresses = tables.other_zones.speakers(&zone, now).to_vec();
            if addresses.is_empty() {
                addresses = tables.contacts.of_zone(&zone).collect();
            }
            (zone, addresses)
        });
        addressed.collect()
    }

    /// For each zone of which processes are known and that nobody tells of, where they take
    /// messages.
    pub fn silent_zones(&self, now: Instant) -> Vec<Vec<SocketAddr>> {
        let tables = self.lock();
        let zones = tables.contacts.other_zones(&self.own_zone);
        let silent = zones
            .into_iter()
            .filter(|zone| tables.other_zones.speakers(zone, now).is_empty());
        silent
            .map(|zone| tables.contacts.of_zone(&zone).collect())
            .collect()
    }

    /// Summaries of other zones to pass on to this one.
    pub fn to_pass_on(&self, is_first: bool, now: Instant) -> Vec<AgedSummary> {
        self.lock().other_zones.to_pass_on(is_first, now)
    }

    /// Addresses of live processes that do `role` and are heard, in the order of their hosts;
    /// with the workers that other zones' speakers tell of.
    pub fn live(&self, role: Role, now: Instant) -> Vec<(NodeId, SocketAddr)> {
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
    pub fn front_count(&self, now: Instant) -> usize {
        let tables = self.lock();
        let heard = tables.live(now).filter(|beat| {
            let is_local = beat.zone == self.own_zone;
            is_local && beat.role == Role::Front
        });
        heard.count() + tables.other_zones.fronts(now)
    }

    /// Addresses of live processes that reach the platform's store: those that are heard, and
    /// other zones' workers, whom this process may not reach.
    pub fn reaching_store(&self, now: Instant) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
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
    pub fn workers(&self, now: Instant) -> Vec<Worker> {
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

    /// Requests in flight at `server` from all live processes that told of them: online and
    /// batch.
    pub fn load(&self, server: &ServerKey, now: Instant) -> (u32, u32) {
        let mut tables = self.lock();
        tables.notice_deaths(now);
        tables.sums.get(server)
    }

    /// Requests in flight at a server of another zone from all processes, as far as is known;
    /// `own` are those of this one. None for the own zone.
    pub fn load_elsewhere(
        &self,
        zone: &Zone,
        server: &ServerKey,
        slots: u32,
        own: Requests,
        now: Instant,
    ) -> Option<Requests> {
        if *zone == self.own_zone {
            return None;
        }
        let mut tables = self.lock();
        tables.notice_deaths(now);
        let (online, batch) = tables.sums.get(server);
        let own_zone = Requests {
            online: own.online + online,
            batch: own.batch + batch,
        };
        let told = tables.other_zones.load(zone, server, slots, own_zone, now);
        Some(told.unwrap_or_else(|| {
            if tables.contacts.of_zone(zone).next().is_some() {
                return zone_loads::silent(slots, own_zone);
            }
            let zones = tables.contacts.other_zones(&self.own_zone).len() + 1;
            zone_loads::shared_evenly(zones as u32, own_zone)
        }))
    }

    /// The servers that a speaker of another zone told of, if one lives: the freest of a large
    /// zone.
    pub fn told_servers(&self, zone: &Zone, now: Instant) -> Option<Vec<ServerFingerprint>> {
        self.lock().other_zones.told_servers(zone, now)
    }

    /// Whether a live process found that start of a server to be gone.
    pub fn found_gone(&self, server: &ServerKey, now: Instant) -> bool {
        let mut tables = self.lock();
        tables.notice_deaths(now);
        tables.gone.binary_search(server).is_ok() || tables.other_zones.found_gone(server, now)
    }

    /// Starts of servers that processes of the own zone found gone; sorted.
    pub fn gone(&self, now: Instant) -> Vec<ServerKey> {
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
fn contacts_of(summary: &ZoneSummary) -> Vec<Contact> {
    let contact = |addr, role| Contact {
        addr,
        zone: summary.zone.clone(),
        role,
    };
    let workers = summary.workers.iter();
    let mut contacts: Vec<Contact> = workers
        .map(|note| contact(note.addr, Role::Worker))
        .collect();
    for addr in &summary.speakers {
        if !contacts.iter().any(|known| known.addr == *addr) {
            contacts.push(contact(*addr, Role::Front));
        }
    }
    contacts
}

impl Peer {
    fn is_live(&self, now: Instant) -> bool {
        now.duration_since(self.heard_at) < DEAD_AFTER
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
        if gone_before != self.peers[at].beat.gone {
            self.collect_gone();
        }
        self.expect_death(now + DEAD_AFTER);
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
                true => deaths.push(peer.heard_at + DEAD_AFTER),
                false => peer.told.uncount(&mut self.sums),
            }
        }
        deaths.extend(self.guests.forget_silent(&mut self.sums, now));
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
