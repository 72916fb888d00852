//! What this process knows of the other processes: of those in its own zone from their
//! heartbeats, of other zones from the summaries of their representatives.

mod views;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Instant;

use foxwheel_core::ids::Zone;
use foxwheel_policy::batch::claim_pages::ClaimRange;
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

/// Maximum number of other processes named in one introduction.
const MAX_INTRODUCED: usize = 40;

#[derive(Debug)]
struct Peer {
    /// The last heartbeat without its loads, which are in `reported`.
    heartbeat: Heartbeat,
    reported: ReportedLoads,
    /// When the last heartbeat or change of load was received.
    last_message_at: Instant,
    /// When the platform's store last responded to the peer. None if that is longer ago than
    /// the clock of this process can represent.
    store_answered_at: Option<Instant>,
}

/// What a process knows of the other processes.
#[derive(Debug)]
pub struct Peers {
    own_zone: Zone,
    own_role: Role,
    state: Mutex<PeerState>,
}

#[derive(Debug, Default)]
struct PeerState {
    /// Processes whose heartbeats are received: those of the own zone and, at a worker, the
    /// other zones' workers. Sorted by host.
    peers: Vec<Peer>,
    clients: CrossZoneClients,
    directory: PeerDirectory,
    other_zones: OtherZones,
    /// Sums of the loads of live peers and cross-zone clients.
    sums: LoadSums,
    /// Server instances that live peers report as dead, sorted.
    dead_instances: Vec<ServerInstance>,
    /// No peer or cross-zone client expires before this time. None if nothing can expire.
    next_expiry: Option<Instant>,
}

impl Peers {
    /// Creates an empty view for a process of `own_role` in `own_zone`.
    pub fn new(own_zone: Zone, own_role: Role) -> Self {
        Self {
            own_zone,
            own_role,
            state: Mutex::default(),
        }
    }

    /// Stores a heartbeat with all claims of its sender, as [`Self::apply_paged_heartbeat`] does.
    pub fn apply_heartbeat(
        &self,
        heartbeat: Heartbeat,
        own_addr: SocketAddr,
        now: Instant,
    ) -> bool {
        self.apply_paged_heartbeat(heartbeat, &ClaimRange::default(), own_addr, now)
    }

    /// Stores a heartbeat unless an equally new or newer message of its sender is known. Its claims
    /// are those of the jobs in `claim_range`. `own_addr` is the address of this process. Returns
    /// whether the sender was unknown or considered dead before.
    pub fn apply_paged_heartbeat(
        &self,
        heartbeat: Heartbeat,
        claim_range: &ClaimRange,
        own_addr: SocketAddr,
        now: Instant,
    ) -> bool {
        let mut state = self.lock();
        let known = heartbeat
            .known_addresses
            .iter()
            .filter(|addr| **addr != own_addr);
        for addr in known {
            state.directory.add_address(*addr, now);
        }
        let endpoint = PeerEndpoint {
            addr: heartbeat.addr,
            zone: heartbeat.zone.clone(),
            role: heartbeat.role,
        };
        state
            .directory
            .record_endpoint(&endpoint, &self.own_zone, now);
        state.directory.record_message_from(heartbeat.addr, now);
        match state.position(&heartbeat.host) {
            Ok(at) => {
                let known = &state.peers[at];
                let order = (heartbeat.incarnation, heartbeat.sequence);
                if order <= (known.heartbeat.incarnation, known.heartbeat.sequence) {
                    return false;
                }
                let was_dead = !known.is_live(now);
                let mut heartbeat = heartbeat;
                if known.heartbeat.incarnation == heartbeat.incarnation {
                    let page = std::mem::take(&mut heartbeat.claims);
                    heartbeat.claims.clone_from(&known.heartbeat.claims);
                    claim_range.apply(page, &mut heartbeat.claims);
                }
                state.replace_heartbeat(at, heartbeat, now);
                was_dead
            }
            Err(at) => {
                let peer = Peer {
                    reported: ReportedLoads::default(),
                    last_message_at: now,
                    store_answered_at: None,
                    heartbeat: Heartbeat {
                        loads: Vec::new(),
                        dead_instances: Vec::new(),
                        ..heartbeat.clone()
                    },
                };
                state.peers.insert(at, peer);
                state.replace_heartbeat(at, heartbeat, now);
                true
            }
        }
    }

    /// Returns whether the response to a heartbeat must be an introduction. Processes of different
    /// zones exchange no heartbeats unless both are workers, so any other heartbeat from another
    /// zone shows that its sender does not know who receives it.
    pub fn should_introduce(&self, heartbeat: &Heartbeat) -> bool {
        let both_workers = heartbeat.role == Role::Worker && self.own_role == Role::Worker;
        heartbeat.zone != self.own_zone && !both_workers
    }

    /// Returns the processes that a process of `zone` should know.
    pub fn endpoints_to_introduce(&self, zone: &Zone) -> Vec<PeerEndpoint> {
        self.lock()
            .directory
            .endpoints_to_introduce(zone, MAX_INTRODUCED)
    }

    /// Records the processes that an introduction names, except this one at `own_addr`.
    pub fn apply_introduction(&self, received: &Introduction, own_addr: SocketAddr, now: Instant) {
        let introduced = received.others.iter().chain([&received.sender]);
        for endpoint in introduced.filter(|endpoint| endpoint.addr != own_addr) {
            self.add_endpoint(endpoint, now);
        }
    }

    /// Stores changes of a live peer's load, unless a newer message of the peer is known. Changes
    /// of a dead or unknown peer are ignored, because its complete load is not known before its
    /// next heartbeat.
    pub fn apply_load_changes(&self, changes: LoadChanges, now: Instant) {
        let mut state = self.lock();
        let Ok(at) = state.position(&changes.host) else {
            return;
        };
        let known = &mut state.peers[at];
        let is_next = known.is_live(now)
            && changes.incarnation == known.heartbeat.incarnation
            && changes.sequence > known.heartbeat.sequence;
        if !is_next {
            return;
        }
        known.heartbeat.sequence = changes.sequence;
        known.last_message_at = now;
        for load in changes.loads {
            state.set_load(at, load);
        }
    }

    /// Stores the load that a process of another zone puts on this zone's servers. Returns false
    /// if the report was not newer than the known one.
    pub fn apply_cross_zone_loads(&self, report: &CrossZoneLoads, now: Instant) -> bool {
        let state = &mut *self.lock();
        let is_new = state.clients.apply_report(report, &mut state.sums, now);
        state.schedule_expiry(now + DEAD_TIMEOUT);
        is_new
    }

    /// Returns the load that the processes of another zone put on this zone's servers.
    pub fn cross_zone_loads(&self, zone: &Zone, now: Instant) -> LoadSums {
        let mut state = self.lock();
        state.remove_expired_loads(now);
        state.clients.loads_from_zone(zone)
    }

    /// Stores a summary of another zone and the addresses that it names.
    pub fn apply_summary(&self, received: AgedSummary, source: SummarySource, now: Instant) {
        if received.summary.zone == self.own_zone {
            return;
        }
        let mut state = self.lock();
        for endpoint in endpoints_in_summary(&received.summary) {
            state
                .directory
                .record_endpoint(&endpoint, &self.own_zone, now);
            state.directory.record_message_from(endpoint.addr, now);
        }
        state.other_zones.apply_summary(received, source, now);
    }

    /// Adds an address whose process is unknown, unless it is `own_addr`, that of this process.
    pub fn add_address(&self, addr: SocketAddr, own_addr: SocketAddr, now: Instant) {
        if addr != own_addr {
            self.lock().directory.add_address(addr, now);
        }
    }

    /// Records a process other than this one.
    pub fn add_endpoint(&self, endpoint: &PeerEndpoint, now: Instant) {
        self.lock()
            .directory
            .record_endpoint(endpoint, &self.own_zone, now);
    }

    /// Returns every known address, sorted.
    pub fn known_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let mut state = self.lock();
        state.directory.remove_expired(now);
        state.directory.addresses()
    }

    /// Returns the addresses to which this process sends a heartbeat of `scope`.
    pub fn heartbeat_recipients(&self, scope: HeartbeatScope, now: Instant) -> Vec<SocketAddr> {
        let mut state = self.lock();
        state.directory.remove_expired(now);
        state
            .directory
            .heartbeat_recipients(&self.own_zone, self.own_role, scope)
    }

    /// Returns the numbers of online requests and of batch items in flight at `server` from all
    /// live processes that reported them. Excludes this process.
    pub fn in_flight(&self, server: &ServerInstance, now: Instant) -> (u32, u32) {
        let mut state = self.lock();
        state.remove_expired_loads(now);
        state.sums.in_flight(server)
    }

    /// Estimates the requests in flight at a server of another zone from all processes. `own_load`
    /// is the load of this process. Returns None for a server of the own zone.
    pub fn other_zone_load(
        &self,
        zone: &Zone,
        server: &ServerInstance,
        slots: u32,
        own_load: RequestCounts,
        now: Instant,
    ) -> Option<RequestCounts> {
        if *zone == self.own_zone {
            return None;
        }
        let mut state = self.lock();
        state.remove_expired_loads(now);
        let (online, batch) = state.sums.in_flight(server);
        let own_zone = RequestCounts {
            online: own_load.online + online,
            batch: own_load.batch + batch,
        };
        let reported = state
            .other_zones
            .server_load(zone, server, slots, own_zone, now);
        Some(reported.unwrap_or_else(|| {
            if state.directory.addresses_in_zone(zone).next().is_some() {
                return zone_loads::estimate_silent_zone(slots, own_zone);
            }
            let zones = state.directory.other_zones(&self.own_zone).len() + 1;
            zone_loads::estimate_zone_without_processes(zones as u32, own_zone)
        }))
    }

    /// Returns the servers in the last summary of another zone, or None if no recent one is
    /// known. The summary of a large zone names only its least loaded servers.
    pub fn summarized_servers(&self, zone: &Zone, now: Instant) -> Option<Vec<ServerFingerprint>> {
        self.lock().other_zones.summarized_servers(zone, now)
    }

    /// Returns whether a live process reports that server instance as dead.
    pub fn is_reported_dead(&self, server: &ServerInstance, now: Instant) -> bool {
        let mut state = self.lock();
        state.remove_expired_loads(now);
        state.dead_instances.binary_search(server).is_ok()
            || state.other_zones.is_reported_dead(server, now)
    }

    /// Returns the server instances that live peers report as dead, sorted.
    pub fn reported_dead_instances(&self, now: Instant) -> Vec<ServerInstance> {
        let mut state = self.lock();
        state.remove_expired_loads(now);
        state.dead_instances.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, PeerState> {
        self.state.lock().expect("peers lock")
    }
}

/// Returns the workers that a summary names, and the zone's representatives, which receive
/// messages for the zone while it has no live worker.
fn endpoints_in_summary(summary: &ZoneSummary) -> Vec<PeerEndpoint> {
    let endpoint = |addr, role| PeerEndpoint {
        addr,
        zone: summary.zone.clone(),
        role,
    };
    let workers = summary.workers.iter();
    let mut endpoints: Vec<PeerEndpoint> = workers
        .map(|worker| endpoint(worker.addr, Role::Worker))
        .collect();
    for addr in &summary.representatives {
        if !endpoints.iter().any(|known| known.addr == *addr) {
            endpoints.push(endpoint(*addr, Role::Front));
        }
    }
    endpoints
}

impl Peer {
    fn is_live(&self, now: Instant) -> bool {
        now.duration_since(self.last_message_at) < DEAD_TIMEOUT
    }
}

impl PeerState {
    /// Replaces the heartbeat of the peer at index `at` by a newer one.
    fn replace_heartbeat(&mut self, at: usize, mut heartbeat: Heartbeat, now: Instant) {
        let peer = &mut self.peers[at];
        let loads = std::mem::take(&mut heartbeat.loads);
        peer.reported.replace_loads(loads, &mut self.sums);
        let previously_dead = std::mem::replace(&mut peer.heartbeat, heartbeat).dead_instances;
        peer.last_message_at = now;
        peer.store_answered_at = now.checked_sub(peer.heartbeat.time_since_store_response);
        if previously_dead != self.peers[at].heartbeat.dead_instances {
            self.collect_dead_instances();
        }
        self.schedule_expiry(now + DEAD_TIMEOUT);
    }

    fn set_load(&mut self, at: usize, load: ServerLoad) {
        self.peers[at]
            .reported
            .set_server_load(load, &mut self.sums);
    }

    fn schedule_expiry(&mut self, at: Instant) {
        self.next_expiry = Some(self.next_expiry.map_or(at, |next| next.min(at)));
    }

    fn collect_dead_instances(&mut self) {
        let live = self.peers.iter().filter(|peer| peer.reported.is_in_sums());
        self.dead_instances = live
            .flat_map(|peer| peer.heartbeat.dead_instances.clone())
            .collect();
        self.dead_instances.sort_unstable();
        self.dead_instances.dedup();
    }

    /// Removes the loads and dead-instance reports of processes that have become silent.
    fn remove_expired_loads(&mut self, now: Instant) {
        if self.next_expiry.is_none_or(|next| now < next) {
            return;
        }
        let mut expiries = Vec::new();
        for peer in &mut self.peers {
            match peer.is_live(now) {
                true => expiries.push(peer.last_message_at + DEAD_TIMEOUT),
                false => peer.reported.remove_from_sums(&mut self.sums),
            }
        }
        expiries.extend(self.clients.remove_expired(&mut self.sums, now));
        self.next_expiry = expiries.into_iter().min();
        self.collect_dead_instances();
    }

    fn position(&self, host: &str) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|peer| peer.heartbeat.host.as_str().cmp(host))
    }

    /// Returns the last heartbeats of the live peers.
    fn live_heartbeats(&self, now: Instant) -> impl Iterator<Item = &Heartbeat> {
        self.peers
            .iter()
            .filter(move |peer| peer.is_live(now))
            .map(|peer| &peer.heartbeat)
    }

    /// Returns whether other processes receive the heartbeats of `peer`.
    fn is_reported_alive(&self, peer: &Peer, now: Instant) -> bool {
        let addr = &peer.heartbeat.addr;
        let by_peers = self
            .live_heartbeats(now)
            .any(|heartbeat| heartbeat.known_addresses.contains(addr));
        let mut summarized = self.other_zones.live_workers(now);
        by_peers || summarized.any(|(_, worker)| worker.host == peer.heartbeat.host)
    }
}
