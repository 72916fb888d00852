//! The addresses to which a process sends messages: all processes of its own zone, the workers
//! of all zones, and a few fronts of each other zone in case that zone has no worker.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use foxwheel_core::ids::Zone;

use crate::peer_messages::PeerEndpoint;
use crate::settings::Role;

/// How long an address is kept without a message from its process.
const ADDRESS_EXPIRY: Duration = Duration::from_secs(60);

/// Number of fronts kept for each other zone. They receive this zone's messages while their
/// zone has no worker.
const MAX_FRONTS_PER_OTHER_ZONE: usize = 2;

#[derive(Debug, Clone)]
struct Entry {
    addr: SocketAddr,
    /// Zone and role of the process. None until the process sent a message or was introduced.
    identity: Option<(Zone, Role)>,
    /// When the address was added or its process last sent a message.
    last_seen_at: Instant,
}

/// The addresses that a process knows of other processes.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    /// Sorted by address.
    entries: Vec<Entry>,
}

/// Selects the recipients of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatScope {
    /// The processes of the sender's own zone.
    OwnZone,
    /// Addresses whose process is still unknown, so that it introduces itself. If the sender is
    /// a worker, also the workers of the other zones.
    OtherZones,
}

impl PeerDirectory {
    /// Adds an address whose process is unknown, unless the address is known already.
    pub fn add_address(&mut self, addr: SocketAddr, now: Instant) {
        if let Err(at) = self.position(addr) {
            let entry = Entry {
                addr,
                identity: None,
                last_seen_at: now,
            };
            self.entries.insert(at, entry);
        }
    }

    /// Records zone and role of the process at a known address. A process at an unknown address
    /// is added if it is in `own_zone` or if processes of `own_zone` may need it.
    pub fn record_endpoint(&mut self, endpoint: &PeerEndpoint, own_zone: &Zone, now: Instant) {
        let identity = Some((endpoint.zone.clone(), endpoint.role));
        match self.position(endpoint.addr) {
            Ok(at) => self.entries[at].identity = identity,
            Err(at) if endpoint.zone == *own_zone || self.is_needed(endpoint) => {
                let entry = Entry {
                    addr: endpoint.addr,
                    identity,
                    last_seen_at: now,
                };
                self.entries.insert(at, entry);
            }
            Err(_) => {}
        }
    }

    /// Returns whether an endpoint of another zone is worth keeping.
    fn is_needed(&self, endpoint: &PeerEndpoint) -> bool {
        let front = (endpoint.zone.clone(), Role::Front);
        let fronts = self.entries.iter();
        let fronts = fronts.filter(|entry| entry.identity.as_ref() == Some(&front));
        endpoint.role == Role::Worker || fronts.count() < MAX_FRONTS_PER_OTHER_ZONE
    }

    /// Restarts the expiry of `addr` after a message from its process. Only messages from the
    /// process itself keep its address; mentions of it by other processes do not.
    pub fn record_message_from(&mut self, addr: SocketAddr, now: Instant) {
        if let Ok(at) = self.position(addr) {
            self.entries[at].last_seen_at = now;
        }
    }

    /// Removes the addresses whose processes have sent nothing for `ADDRESS_EXPIRY`.
    pub fn remove_expired(&mut self, now: Instant) {
        self.entries
            .retain(|entry| now.duration_since(entry.last_seen_at) < ADDRESS_EXPIRY);
    }

    /// Returns the addresses to which a process of `own_zone` sends a heartbeat of `scope`.
    pub fn heartbeat_recipients(
        &self,
        own_zone: &Zone,
        own_role: Role,
        scope: HeartbeatScope,
    ) -> Vec<SocketAddr> {
        let is_recipient = |entry: &&Entry| match &entry.identity {
            Some((zone, _)) if zone == own_zone => scope == HeartbeatScope::OwnZone,
            Some((_, role)) => {
                scope == HeartbeatScope::OtherZones
                    && *role == Role::Worker
                    && own_role == Role::Worker
            }
            None => scope == HeartbeatScope::OtherZones,
        };
        let recipients = self.entries.iter().filter(is_recipient);
        recipients.map(|entry| entry.addr).collect()
    }

    /// Returns the addresses of the known processes of `zone`.
    pub fn addresses_in_zone(&self, zone: &Zone) -> impl Iterator<Item = SocketAddr> + '_ {
        let zone = zone.clone();
        let in_zone =
            move |entry: &&Entry| entry.identity.as_ref().is_some_and(|(z, _)| *z == zone);
        self.entries.iter().filter(in_zone).map(|entry| entry.addr)
    }

    /// Returns the zones other than `own_zone` in which a process is known, sorted.
    pub fn other_zones(&self, own_zone: &Zone) -> Vec<Zone> {
        let identities = self
            .entries
            .iter()
            .filter_map(|entry| entry.identity.as_ref());
        let others = identities.filter(|(zone, _)| zone != own_zone);
        let mut zones: Vec<Zone> = others.map(|(zone, _)| zone.clone()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Returns at most `max_count` processes that a process of `zone` should know: the processes
    /// of that zone first, then workers.
    pub fn endpoints_to_introduce(&self, zone: &Zone, max_count: usize) -> Vec<PeerEndpoint> {
        let endpoints = self.entries.iter().filter_map(|entry| {
            let (known_zone, role) = entry.identity.clone()?;
            let is_useful = known_zone == *zone || role == Role::Worker;
            is_useful.then_some(PeerEndpoint {
                addr: entry.addr,
                zone: known_zone,
                role,
            })
        });
        let mut endpoints: Vec<PeerEndpoint> = endpoints.collect();
        endpoints.sort_by_key(|endpoint| endpoint.zone != *zone);
        endpoints.truncate(max_count);
        endpoints
    }

    /// Returns every address, sorted.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.addr).collect()
    }

    fn position(&self, addr: SocketAddr) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&addr, |entry| entry.addr)
    }
}
