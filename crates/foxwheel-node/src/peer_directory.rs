//! Where other processes take messages: those of the own zone, workers everywhere, and a few
//! fronts of each other zone in case it has no worker.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use foxwheel_core::ids::Zone;

use crate::peer_messages::PeerEndpoint;
use crate::settings::Role;

/// Silence after which a process's address is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Fronts of another zone that are kept: they hear of this zone while theirs has no worker.
const FRONTS_OF_OTHER_ZONES: usize = 2;

/// What is known of the process at an address.
#[derive(Debug, Clone)]
struct Entry {
    addr: SocketAddr,
    /// None until it was heard or introduced.
    known: Option<(Zone, Role)>,
    noted_at: Instant,
}

/// The addresses known to one process.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    /// Sorted by address.
    entries: Vec<Entry>,
}

/// Which processes a heartbeat goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatScope {
    /// Those of the own zone.
    OwnZone,
    /// Others: those of whom only the address is known, so that they answer who they are, and,
    /// from a worker, the other zones' workers.
    OtherZones,
}

impl PeerDirectory {
    /// Adds an address of which nothing else is known.
    pub fn add_address(&mut self, addr: SocketAddr, now: Instant) {
        if let Err(at) = self.position(addr) {
            let entry = Entry {
                addr,
                known: None,
                noted_at: now,
            };
            self.entries.insert(at, entry);
        }
    }

    /// Adds a process, if it is of `own_zone` or may be needed from there.
    pub fn note(&mut self, contact: &PeerEndpoint, own_zone: &Zone, now: Instant) {
        let known = Some((contact.zone.clone(), contact.role));
        match self.position(contact.addr) {
            Ok(at) => self.entries[at].known = known,
            Err(at) if contact.zone == *own_zone || self.wants(contact) => {
                let entry = Entry {
                    addr: contact.addr,
                    known,
                    noted_at: now,
                };
                self.entries.insert(at, entry);
            }
            Err(_) => {}
        }
    }

    fn wants(&self, contact: &PeerEndpoint) -> bool {
        let front = (contact.zone.clone(), Role::Front);
        let fronts = self.entries.iter();
        let fronts = fronts.filter(|entry| entry.known.as_ref() == Some(&front));
        contact.role == Role::Worker || fronts.count() < FRONTS_OF_OTHER_ZONES
    }

    /// Takes note that the process at `addr` lives. Only the process itself keeps its address
    /// from being forgotten; hearsay does not.
    pub fn refresh(&mut self, addr: SocketAddr, now: Instant) {
        if let Ok(at) = self.position(addr) {
            self.entries[at].noted_at = now;
        }
    }

    /// Forgets addresses whose processes have been silent for long.
    pub fn forget_silent(&mut self, now: Instant) {
        self.entries
            .retain(|entry| now.duration_since(entry.noted_at) < FORGET_AFTER);
    }

    /// Addresses that a heartbeat of a process of `own_zone` goes to.
    pub fn recipients(
        &self,
        own_zone: &Zone,
        own_role: Role,
        reach: HeartbeatScope,
    ) -> Vec<SocketAddr> {
        let is_told = |entry: &&Entry| match &entry.known {
            Some((zone, _)) if zone == own_zone => reach == HeartbeatScope::OwnZone,
            Some((_, role)) => {
                reach == HeartbeatScope::OtherZones
                    && *role == Role::Worker
                    && own_role == Role::Worker
            }
            None => reach == HeartbeatScope::OtherZones,
        };
        let told = self.entries.iter().filter(is_told);
        told.map(|entry| entry.addr).collect()
    }

    /// The processes of `zone` that are known.
    pub fn of_zone(&self, zone: &Zone) -> impl Iterator<Item = SocketAddr> + '_ {
        let zone = zone.clone();
        let in_zone = move |entry: &&Entry| entry.known.as_ref().is_some_and(|(z, _)| *z == zone);
        self.entries.iter().filter(in_zone).map(|entry| entry.addr)
    }

    /// Every zone but `own_zone` that a process is known of; sorted.
    pub fn other_zones(&self, own_zone: &Zone) -> Vec<Zone> {
        let known = self.entries.iter().filter_map(|entry| entry.known.as_ref());
        let others = known.filter(|(zone, _)| zone != own_zone);
        let mut zones: Vec<Zone> = others.map(|(zone, _)| zone.clone()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Processes that one of `zone` should know, at most `most`: its own and workers.
    pub fn endpoints_to_introduce(&self, zone: &Zone, most: usize) -> Vec<PeerEndpoint> {
        let peer_directory = self.entries.iter().filter_map(|entry| {
            let (known_zone, role) = entry.known.clone()?;
            let is_useful = known_zone == *zone || role == Role::Worker;
            is_useful.then_some(PeerEndpoint {
                addr: entry.addr,
                zone: known_zone,
                role,
            })
        });
        let mut peer_directory: Vec<PeerEndpoint> = peer_directory.collect();
        peer_directory.sort_by_key(|contact| contact.zone != *zone);
        peer_directory.truncate(most);
        peer_directory
    }

    /// Every address, sorted.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.addr).collect()
    }

    fn position(&self, addr: SocketAddr) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&addr, |entry| entry.addr)
    }
}
