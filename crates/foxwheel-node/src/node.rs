//! The state that the tasks of one process share.

mod store_state;
mod zone_selection;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use foxwheel_core::ids::{Incarnation, NodeId, ServiceName, Zone};
use foxwheel_core::time;
use foxwheel_http1::connection::{AbandonAction, ConnectOptions};
use foxwheel_http1::pool::Pool;
use foxwheel_policy::batch::ownership::{ClaimStatus, JobClaim};
use foxwheel_policy::config_in_force::ConfigInForce;
use foxwheel_policy::drain_timing;
use foxwheel_policy::membership::{self, BackendServer, ServerDirectory, ServerInstance};
use foxwheel_policy::part_quarantine::PartQuarantine;
use foxwheel_policy::placement::Candidate;
use foxwheel_policy::quarantine::Quarantine;
use foxwheel_policy::routes::Config;
use foxwheel_policy::server_index::{self, ServerGroup, ServerIndex};
use foxwheel_policy::stream_origin::StreamOrigin;
use foxwheel_policy::zone_loads::RequestCounts;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::load_table::LoadTable;
use crate::metrics::Metrics;
use crate::peer_calls::PeerCalls;
use crate::peer_messages::PeerEndpoint;
use crate::peers::Peers;
use crate::service_hold_times::ServiceHoldTimes;
use crate::settings::NodeSettings;
use crate::store_access::StoreAccess;
use crate::stream_origins::OriginTable;
use crate::watched_kind::WatchedKind;

/// Options of connections to backend servers, but for their receive buffers.
const SERVER_CONNECT_OPTIONS: ConnectOptions = ConnectOptions {
    // A round trip takes a few milliseconds, and opening a connection takes one more. A server
    // that drops the opening packet is overloaded or dead, and the kernel would resend the packet
    // too late to be of use.
    connect_timeout: Duration::from_millis(250),
    unacknowledged_timeout: drain_timing::MAX_TRANSIT_TIME,
    on_abandon: AbandonAction::Reset,
    socket_buffer_bytes: None,
};

/// The shared state of a front or worker.
#[derive(Debug)]
pub struct Node {
    /// Settings from the start of the process.
    pub settings: NodeSettings,
    /// When the process started, in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// The operator's configuration in force.
    pub config: Mutex<ConfigInForce>,
    /// The known backend servers.
    pub directory: Mutex<ServerDirectory>,
    /// Index of the directory's servers, with the directory generation from which it was built.
    server_index: Mutex<(u64, Arc<ServerIndex>)>,
    /// This process's load on each backend server.
    pub loads: Arc<LoadTable>,
    /// Hold times of slots by service.
    pub hold_times: ServiceHoldTimes,
    /// Notified to send a heartbeat immediately.
    pub urgent_heartbeat: Notify,
    /// What is known of the other processes.
    pub peers: Peers,
    /// The representatives of the zone that this process selected, primary first.
    representatives: Mutex<Vec<NodeId>>,
    /// When another process was last known to have selected this one as a representative.
    had_subscribers_at: Mutex<Option<Instant>>,
    /// When the state received from other processes was last known to equal that of the store.
    peer_state_current_at: Mutex<Option<Instant>>,
    /// The watch of the configuration in the store.
    pub watched_config: WatchedKind,
    /// The watch of the server list in the store.
    pub watched_servers: WatchedKind,
    /// Notified when a complete list has replaced the server list.
    pub server_list_replaced: Notify,
    /// Notified when a heartbeat of a store watcher shows that it has newer state.
    pub newer_state_reported: Notify,
    /// Requests during which servers crashed.
    pub quarantine: Mutex<Quarantine>,
    /// Prompt parts under which servers crashed.
    pub part_quarantine: Mutex<PartQuarantine>,
    /// Notified when a message shows that another process knows other server crashes.
    pub other_crashes_reported: Notify,
    /// Notified when this process learns of more server crashes.
    pub crashes_changed: Notify,
    /// The socket for datagrams to the other processes, once the process has opened it.
    pub peer_socket: OnceLock<Arc<UdpSocket>>,
    /// When it was last logged that a datagram could not be sent.
    pub send_error_logged_at: Mutex<Option<Instant>>,
    /// Where the streams of this process began, and those for which it is a holder.
    pub stream_origins: OriginTable,
    /// Notified after every received message that may change the view of the other processes.
    pub peers_changed: Notify,
    /// Client for calls to the other processes.
    pub peer_calls: PeerCalls,
    /// Access to the platform's store.
    pub store: StoreAccess,
    /// Pool of connections to backend servers.
    pub pool: Pool<ServerInstance>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Jobs that this process runs or closed recently, sorted by job.
    claims: Mutex<Vec<JobClaim>>,
    /// Number of items of this process's jobs that are ready to run but found no free slot.
    waiting_items: AtomicU32,
    /// Cancelled when the process is asked to stop. It accepts no new work from then on.
    pub leaving: CancellationToken,
    /// Cancelled when the operator asks for this host to be retired.
    pub retiring: CancellationToken,
}

impl Node {
    /// Creates the state of a process that has no configuration, servers or peers yet. `leaving`
    /// is cancelled when the process must stop.
    pub fn new(settings: NodeSettings, leaving: CancellationToken) -> Arc<Self> {
        let metrics = Metrics::default();
        Arc::new(Self {
            incarnation: time::unix_ms(),
            config: Mutex::default(),
            directory: Mutex::default(),
            server_index: Mutex::default(),
            loads: Arc::default(),
            hold_times: ServiceHoldTimes::default(),
            urgent_heartbeat: Notify::new(),
            peers: Peers::new(settings.availability_zone.clone(), settings.role),
            representatives: Mutex::default(),
            had_subscribers_at: Mutex::default(),
            peer_state_current_at: Mutex::default(),
            watched_config: WatchedKind::default(),
            watched_servers: WatchedKind::default(),
            server_list_replaced: Notify::new(),
            newer_state_reported: Notify::new(),
            quarantine: Mutex::default(),
            part_quarantine: Mutex::default(),
            other_crashes_reported: Notify::new(),
            crashes_changed: Notify::new(),
            peer_socket: OnceLock::new(),
            send_error_logged_at: Mutex::default(),
            stream_origins: OriginTable::default(),
            peers_changed: Notify::new(),
            peer_calls: PeerCalls::default(),
            store: StoreAccess::new(settings.store_address, metrics.clone()),
            pool: Pool::new(ConnectOptions {
                // What a server sends piles up there if the caller does not read.
                socket_buffer_bytes: Some(settings.host_limits().receive_buffer_bytes()),
                ..SERVER_CONNECT_OPTIONS
            }),
            metrics,
            claims: Mutex::default(),
            waiting_items: AtomicU32::new(0),
            leaving,
            retiring: CancellationToken::new(),
            settings,
        })
    }

    /// Returns the configuration in force, or None before the first one.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.lock().expect("config lock").get()
    }

    /// Puts `config` in force if it is newer than the present one. `source` is written to the log.
    pub fn apply_config(&self, config: Config, source: &str) {
        let version = config.version;
        let routes = config.routes.len();
        let mut in_force = self.config.lock().expect("config lock");
        let before = in_force.version();
        if in_force.replace_if_newer(config) {
            log::info!(version, before, routes, source; "configuration in force");
            // Other processes of the zone may be waiting for this version.
            self.urgent_heartbeat.notify_one();
        }
    }

    /// Returns whether the process accepts no new work, because it was asked to stop or because its
    /// host is being retired.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled() || self.retiring.is_cancelled()
    }

    /// Returns whether the process has a configuration and at least one server, so that it can
    /// serve requests.
    pub fn is_synced(&self) -> bool {
        let knows_servers = {
            let directory = self.directory.lock().expect("directory lock");
            !directory.entries().is_empty()
        };
        knows_servers && self.config().is_some()
    }

    /// Returns a sample of the servers of `service` that may accept work, except those in `tried`:
    /// some of the own zone, and for each other zone some of the servers in its summary. If `version`
    /// is given, only servers of that version.
    pub fn online_candidates(
        &self,
        service: &str,
        version: Option<&str>,
        tried: &[ServerInstance],
        now: Instant,
    ) -> Vec<Candidate> {
        self.sample_servers(service, version, server_index::MAX_LOCAL_SAMPLE, now)
            .iter()
            .filter(|instance| !tried.contains(instance))
            .filter_map(|instance| self.candidate(instance, now))
            .collect()
    }

    /// Returns a larger sample of the servers of `service`, for the placement of batch items. If
    /// `version` is given, only servers of that version.
    pub fn batch_candidates(
        &self,
        service: &str,
        version: Option<&str>,
        now: Instant,
    ) -> Vec<Candidate> {
        self.sample_servers(service, version, server_index::MAX_BATCH_SAMPLE, now)
            .iter()
            .filter_map(|instance| self.candidate(instance, now))
            .collect()
    }

    /// Samples at most `max_local` servers of the own zone and a fixed number of each other zone.
    fn sample_servers(
        &self,
        service: &str,
        version: Option<&str>,
        max_local: usize,
        now: Instant,
    ) -> Vec<ServerInstance> {
        let index = self.server_index();
        let random = rand::random::<u32>() as usize;
        let mut sampled = Vec::new();
        for group in index.groups_of_service(service) {
            if let Some(version) = version {
                let is_local = group.zone == self.settings.availability_zone;
                let max_count = match is_local {
                    true => max_local,
                    false => server_index::MAX_REMOTE_SAMPLE,
                };
                sampled.extend(group.sample_of_version(version, max_count, random).cloned());
                continue;
            }
            if group.zone == self.settings.availability_zone {
                sampled.extend(group.sample(max_local, random).cloned());
                continue;
            }
            let max_remote = server_index::MAX_REMOTE_SAMPLE;
            let summarized = self.peers.summarized_servers(&group.zone, now);
            match summarized.filter(|_| group.len() > max_remote) {
                Some(summarized) => {
                    let servers = summarized
                        .iter()
                        .filter_map(|server| group.find_by_fingerprint(*server));
                    sampled.extend(servers.take(max_remote).cloned());
                }
                None => sampled.extend(group.sample(max_remote, random).cloned()),
            }
        }
        sampled
    }

    /// Returns all ready servers of `service`, or those of `version` if it is given.
    pub fn servers_of_service(&self, service: &str, version: Option<&str>) -> Vec<ServerInstance> {
        let index = self.server_index();
        let groups = index.groups_of_service(service);
        match version {
            Some(version) => groups
                .flat_map(|group| group.sample_of_version(version, usize::MAX, 0))
                .cloned()
                .collect(),
            None => groups.flat_map(ServerGroup::servers).cloned().collect(),
        }
    }

    /// Returns whether a ready server can go on with what began there.
    pub fn has_server_of(&self, origin: &StreamOrigin) -> bool {
        let index = self.server_index();
        let mut groups = index.groups_of_service(&origin.service);
        groups.any(|group| {
            let mut servers = group.sample_of_version(&origin.version, 1, 0);
            servers.next().is_some()
        })
    }

    /// Returns the origin of all streams that servers of `service` may have begun, or `None` if there
    /// may be several. `None` as well if other processes have the store's current state and this one
    /// does not: they may have begun streams at a version that this one does not know.
    pub fn sole_origin(&self, service: &str, now: Instant) -> Option<StreamOrigin> {
        let (received, summarized) = self.peers.processes_reaching_store(now);
        let others_are_current = !received.is_empty() || !summarized.is_empty();
        if others_are_current && !self.is_current(now) {
            return None;
        }
        let directory = self.directory.lock().expect("directory lock");
        directory.sole_origin(service)
    }

    /// Returns the index of the directory's servers, rebuilt if the directory has changed.
    fn server_index(&self) -> Arc<ServerIndex> {
        let directory = self.directory.lock().expect("directory lock");
        let mut index = self.server_index.lock().expect("server index lock");
        if index.0 != directory.generation() {
            let built = ServerIndex::new(directory.entries());
            *index = (directory.generation(), Arc::new(built));
        }
        Arc::clone(&index.1)
    }

    /// Returns the server instance as a candidate, or None if it must not be given work.
    pub fn candidate(&self, instance: &ServerInstance, now: Instant) -> Option<Candidate> {
        let directory = self.directory.lock().expect("directory lock");
        let entry = directory.usable_entry(instance, now)?;
        let is_dead = self.peers.is_reported_dead(instance, now);
        (!is_dead).then(|| self.build_candidate(entry, instance.clone(), now))
    }

    /// Returns the address of the server instance and its software, or None if it must not be given
    /// work.
    pub fn usable_server(
        &self,
        instance: &ServerInstance,
        now: Instant,
    ) -> Option<(SocketAddr, StreamOrigin)> {
        let directory = self.directory.lock().expect("directory lock");
        let entry = directory.usable_entry(instance, now)?;
        let is_dead = self.peers.is_reported_dead(instance, now);
        (!is_dead).then(|| (entry.server.addr, entry.server.origin()))
    }

    fn build_candidate(
        &self,
        entry: &membership::DirectoryEntry,
        instance: ServerInstance,
        now: Instant,
    ) -> Candidate {
        let server = &entry.server;
        let own_load = self.loads.own_load(&instance, now);
        let own_requests = RequestCounts {
            online: own_load.online,
            batch: own_load.batch,
        };
        let other_zone_load =
            self.peers
                .other_zone_load(&server.zone, &instance, server.slots, own_requests, now);
        let load = other_zone_load.unwrap_or_else(|| {
            let (online, batch) = self.peers.in_flight(&instance, now);
            RequestCounts {
                online: own_load.online + online,
                batch: own_load.batch + batch,
            }
        });
        Candidate {
            id: instance.id,
            incarnation: instance.incarnation,
            zone: server.zone.clone(),
            slots: server.slots,
            in_flight: load.total(),
            batch_in_flight: load.batch,
            own_batch_in_flight: own_load.batch,
            entry_expired: entry.grace_until.is_some(),
            is_suspected: own_load.is_suspected,
            failure_rate: own_load.failure_rate,
            is_slot_manager: false,
        }
    }

    /// Returns the delay after which a caller should retry that found every slot of `service`
    /// occupied.
    pub fn retry_after_full(&self, service: &ServiceName, now: Instant) -> Duration {
        let index = self.server_index();
        let slots = index
            .groups_of_service(service)
            .map(|group| group.slots)
            .sum();
        let fronts = self.peers.other_front_count(now) + 1;
        self.hold_times.retry_after(service, slots, fronts, now)
    }

    /// Returns the listed server if this instance of it is the listed one, otherwise None.
    pub fn listed_server(&self, instance: &ServerInstance) -> Option<BackendServer> {
        let directory = self.directory.lock().expect("directory lock");
        directory.server(instance).cloned()
    }

    /// Returns the availability zone of a listed server instance, or None if it is not listed.
    pub fn server_zone(&self, instance: &ServerInstance) -> Option<Zone> {
        let directory = self.directory.lock().expect("directory lock");
        let server = directory.server(instance);
        server.map(|server| server.zone.clone())
    }

    /// Records that another instance responded at the address of `server`. That proves the instance
    /// dead, and every peer is informed of it.
    pub fn record_dead_instance(&self, server: &ServerInstance) {
        let now = Instant::now();
        let is_new = {
            let mut directory = self.directory.lock().expect("directory lock");
            directory.record_dead_instance(server.clone(), now)
        };
        if is_new {
            log::info!(server = server.id, incarnation = server.incarnation; "another server instance has taken the address");
            self.urgent_heartbeat.notify_one();
        }
    }

    /// Returns the server instances that this process recently found to be dead, sorted.
    pub fn dead_instances(&self, now: Instant) -> Vec<ServerInstance> {
        let directory = self.directory.lock().expect("directory lock");
        directory.dead_instances(now)
    }

    /// Returns the endpoint at which other processes reach this one.
    pub fn endpoint(&self) -> PeerEndpoint {
        PeerEndpoint {
            addr: self.settings.peer_address(),
            zone: self.settings.availability_zone.clone(),
            role: self.settings.role,
        }
    }

    /// Returns the jobs that this process runs or closed recently, sorted by job.
    pub fn claims(&self) -> Vec<JobClaim> {
        self.claims.lock().expect("claims lock").clone()
    }

    /// Replaces the jobs that this process reports as its own. `claims` must be sorted by job.
    pub fn set_claims(&self, claims: Vec<JobClaim>) {
        *self.claims.lock().expect("claims lock") = claims;
    }

    /// Returns the number of items of this process's jobs that are ready to run but found no free
    /// slot.
    pub fn waiting_items(&self) -> u32 {
        self.waiting_items.load(Ordering::Relaxed)
    }

    /// Replaces the number of waiting items that this process reports.
    pub fn set_waiting_items(&self, count: u32) {
        self.waiting_items.store(count, Ordering::Relaxed);
    }

    /// Returns whether this process owns any job.
    pub fn has_owned_jobs(&self) -> bool {
        let claims = self.claims.lock().expect("claims lock");
        claims
            .iter()
            .any(|claim| claim.status == ClaimStatus::Owned)
    }
}
