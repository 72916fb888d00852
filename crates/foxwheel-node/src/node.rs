//! What the parts of one process share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxwheel_core::ids::{Incarnation, NodeId, ServiceName, Zone};
use foxwheel_core::time;
use foxwheel_http1::connection::{ConnectOptions, GivenUp};
use foxwheel_http1::pool::Pool;
use foxwheel_policy::batch::ownership::{ClaimStatus, JobClaim};
use foxwheel_policy::config_in_force::ConfigInForce;
use foxwheel_policy::drain_timing;
use foxwheel_policy::membership::{self, BackendServer, ServerDirectory, ServerInstance};
use foxwheel_policy::placement::Candidate;
use foxwheel_policy::quarantine::Quarantine;
use foxwheel_policy::representatives::{self, Rank, ZoneProcess};
use foxwheel_policy::routes::Config;
use foxwheel_policy::server_index::{self, ServerIndex};
use foxwheel_policy::watcher_selection::{self, WatchState};
use foxwheel_policy::zone_loads::RequestCounts;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::load_table::LoadTable;
use crate::metrics::Metrics;
use crate::peer_calls::{PeerCalls, StoreStateVersion};
use crate::peer_messages::PeerEndpoint;
use crate::peers::Peers;
use crate::service_hold_times::ServiceHoldTimes;
use crate::settings::{NodeSettings, Role};
use crate::store_access::StoreAccess;

/// Bounds on a backend server's silence at the connection level.
const SERVER_CONNECT_OPTIONS: ConnectOptions = ConnectOptions {
    // A round trip takes a few milliseconds and a new connection one more; a server that
    // drops the opening packet is full or gone, and the packet comes again too late.
    connect_timeout: Duration::from_millis(250),
    unacknowledged_timeout: drain_timing::MAX_TRANSIT_TIME,
    given_up: GivenUp::Reset,
};

/// The shared state of a front or worker.
#[derive(Debug)]
pub struct Node {
    /// Settings at start.
    pub settings: NodeSettings,
    /// When the process started, in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// The operator's configuration in force here.
    pub config: Mutex<ConfigInForce>,
    /// The backend servers known here.
    pub directory: Mutex<ServerDirectory>,
    /// Index of the directory's servers, and the generation that it shows.
    server_index: Mutex<(u64, Arc<ServerIndex>)>,
    /// This process's load on each backend server.
    pub loads: Arc<LoadTable>,
    /// How fast the slots of each service are freed.
    pub hold_times: ServiceHoldTimes,
    /// Woken to send a heartbeat at once.
    pub urgent_heartbeat: Notify,
    /// The other processes.
    pub peers: Peers,
    /// The processes of the zone that this one takes as speakers, first choice first.
    speakers: Mutex<Vec<NodeId>>,
    /// When another process last named this one as one of the zone's speakers.
    had_subscribers_at: Mutex<Option<Instant>>,
    /// When what other processes told was last known to be all that the store has.
    peer_state_current_at: Mutex<Option<Instant>>,
    /// It follows the store's configuration, which answers.
    pub config_is_current: AtomicBool,
    /// It follows the store's list of servers, which answers.
    pub servers_are_current: AtomicBool,
    /// Woken when a process that follows the store tells that it knows more.
    pub watcher_update: Notify,
    /// Requests under which servers crashed.
    pub quarantine: Mutex<Quarantine>,
    /// Woken when another process tells that it knows of other crashes.
    pub quarantine_update: Notify,
    /// Woken when this process knows of more crashes.
    pub crashes_changed: Notify,
    /// Woken at every heartbeat heard.
    pub peer_update: Notify,
    /// Calls to the other processes.
    pub peer_calls: PeerCalls,
    /// The platform's store.
    pub store: StoreAccess,
    /// Connections to backend servers.
    pub pool: Pool<ServerInstance>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Jobs that this process runs or closed a short while ago; sorted by job.
    claims: Mutex<Vec<JobClaim>>,
    /// Items of its jobs that could run now and found no slot.
    waiting_items: AtomicU32,
    /// Cancelled when the process is told to stop: it takes no new work from then on.
    pub leaving: CancellationToken,
    /// Cancelled when the operator asks that this host be emptied.
    pub retiring: CancellationToken,
}

impl Node {
    /// A process that knows nothing yet. `leaving` is cancelled when it must stop.
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
            speakers: Mutex::default(),
            had_subscribers_at: Mutex::default(),
            peer_state_current_at: Mutex::default(),
            config_is_current: AtomicBool::new(false),
            servers_are_current: AtomicBool::new(false),
            watcher_update: Notify::new(),
            quarantine: Mutex::default(),
            quarantine_update: Notify::new(),
            crashes_changed: Notify::new(),
            peer_update: Notify::new(),
            peer_calls: PeerCalls::default(),
            store: StoreAccess::new(settings.store_address, metrics.clone()),
            pool: Pool::new(SERVER_CONNECT_OPTIONS),
            metrics,
            claims: Mutex::default(),
            waiting_items: AtomicU32::new(0),
            leaving,
            retiring: CancellationToken::new(),
            settings,
        })
    }

    /// The configuration in force, or none before the first.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.lock().expect("config lock").get()
    }

    /// Puts `config` in force if it is newer; `source` is for the log.
    pub fn apply_config(&self, config: Config, source: &str) {
        let version = config.version;
        let routes = config.routes.len();
        let mut in_force = self.config.lock().expect("config lock");
        let before = in_force.version();
        if in_force.replace_if_newer(config) {
            log::info!(version, before, routes, source; "configuration in force");
            // Others of the zone may wait to hear of it.
            self.urgent_heartbeat.notify_one();
        }
    }

    /// Whether the process takes no new work: it was told to stop or its host is emptied.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled() || self.retiring.is_cancelled()
    }

    /// Whether the process knows enough to serve.
    pub fn is_synced(&self) -> bool {
        let knows_servers = {
            let directory = self.directory.lock().expect("directory lock");
            !directory.entries().is_empty()
        };
        knows_servers && self.config().is_some()
    }

    /// Servers of `service` that may take work, without those named in `tried`: a sample of
    /// those of the own zone and of those that other zones told of.
    pub fn online_candidates(
        &self,
        service: &str,
        tried: &[ServerInstance],
        now: Instant,
    ) -> Vec<Candidate> {
        self.sample(service, server_index::MAX_LOCAL_SAMPLE, now)
            .iter()
            .filter(|key| !tried.contains(key))
            .filter_map(|key| self.candidate(key, now))
            .collect()
    }

    /// Servers of `service` as places for batch items: a larger sample.
    pub fn batch_candidates(&self, service: &str, now: Instant) -> Vec<Candidate> {
        self.sample(service, server_index::MAX_BATCH_SAMPLE, now)
            .iter()
            .filter_map(|key| self.candidate(key, now))
            .collect()
    }

    fn sample(&self, service: &str, most_local: usize, now: Instant) -> Vec<ServerInstance> {
        let index = self.server_index();
        let draw = rand::random::<u32>() as usize;
        let mut sampled = Vec::new();
        for group in index.groups_of_service(service) {
            if group.zone == self.settings.availability_zone {
                sampled.extend(group.sample(most_local, draw).cloned());
                continue;
            }
            let most = server_index::MAX_REMOTE_SAMPLE;
            let told = self.peers.summarized_servers(&group.zone, now);
            match told.filter(|_| group.len() > most) {
                Some(told) => {
                    let servers = told
                        .iter()
                        .filter_map(|one| group.find_by_fingerprint(*one));
                    sampled.extend(servers.take(most).cloned());
                }
                None => sampled.extend(group.sample(most, draw).cloned()),
            }
        }
        sampled
    }

    fn server_index(&self) -> Arc<ServerIndex> {
        let directory = self.directory.lock().expect("directory lock");
        let mut index = self.server_index.lock().expect("server index lock");
        if index.0 != directory.generation() {
            let built = ServerIndex::new(directory.entries());
            *index = (directory.generation(), Arc::new(built));
        }
        Arc::clone(&index.1)
    }

    /// That start of a server, if it may take work.
    pub fn candidate(&self, key: &ServerInstance, now: Instant) -> Option<Candidate> {
        let directory = self.directory.lock().expect("directory lock");
        let member = directory.usable_entry(key, now)?;
        let gone = self.peers.is_reported_dead(key, now);
        (!gone).then(|| self.candidate_of(member, key.clone(), now))
    }

    /// The address of that start of a server, if it may take work.
    pub fn usable_addr(&self, key: &ServerInstance, now: Instant) -> Option<SocketAddr> {
        let directory = self.directory.lock().expect("directory lock");
        let member = directory.usable_entry(key, now)?;
        let gone = self.peers.is_reported_dead(key, now);
        (!gone).then_some(member.server.addr)
    }

    fn candidate_of(
        &self,
        member: &membership::DirectoryEntry,
        key: ServerInstance,
        now: Instant,
    ) -> Candidate {
        let server = &member.server;
        let own = self.loads.own_load(&key, now);
        let own_requests = RequestCounts {
            online: own.online,
            batch: own.batch,
        };
        let elsewhere =
            self.peers
                .other_zone_load(&server.zone, &key, server.slots, own_requests, now);
        let load = elsewhere.unwrap_or_else(|| {
            let (online, batch) = self.peers.in_flight(&key, now);
            RequestCounts {
                online: own.online + online,
                batch: own.batch + batch,
            }
        });
        Candidate {
            id: key.id,
            incarnation: key.incarnation,
            zone: server.zone.clone(),
            slots: server.slots,
            in_flight: load.total(),
            batch_in_flight: load.batch,
            own_batch_in_flight: own.batch,
            entry_expired: member.grace_until.is_some(),
            suspect: own.is_suspected,
            failure_rate: own.failure_rate,
            is_slot_manager: false,
        }
    }

    /// When a caller should come back who found every slot of `service` taken.
    pub fn retry_after_full(&self, service: &ServiceName, now: Instant) -> Duration {
        let index = self.server_index();
        let slots = index
            .groups_of_service(service)
            .map(|group| group.slots)
            .sum();
        let fronts = self.peers.other_front_count(now) + 1;
        self.hold_times.retry_after(service, slots, fronts, now)
    }

    /// That start of a server as it is listed.
    pub fn listed_server(&self, key: &ServerInstance) -> Option<BackendServer> {
        let directory = self.directory.lock().expect("directory lock");
        directory.server(key).cloned()
    }

    /// The availability zone of a listed start of a server.
    pub fn server_zone(&self, key: &ServerInstance) -> Option<Zone> {
        let directory = self.directory.lock().expect("directory lock");
        let server = directory.server(key);
        server.map(|server| server.zone.clone())
    }

    /// Takes note that another start answered at a server's address: that start is gone for
    /// certain, here and at every peer.
    pub fn record_dead_instance(&self, server: &ServerInstance) {
        let now = Instant::now();
        let is_news = {
            let mut directory = self.directory.lock().expect("directory lock");
            directory.record_dead_instance(server.clone(), now)
        };
        if is_news {
            log::info!(server = server.id, incarnation = server.incarnation; "another start has the server's address");
            self.urgent_heartbeat.notify_one();
        }
    }

    /// Starts of servers that this process found to be gone a short while ago; sorted.
    pub fn dead_instances(&self, now: Instant) -> Vec<ServerInstance> {
        let directory = self.directory.lock().expect("directory lock");
        directory.dead_instances(now)
    }

    /// This process, as others reach it.
    pub fn endpoint(&self) -> PeerEndpoint {
        PeerEndpoint {
            addr: self.settings.peer_address(),
            zone: self.settings.availability_zone.clone(),
            role: self.settings.role,
        }
    }

    /// Names the processes of the zone that it takes as speakers from now on.
    pub fn select_representatives(&self, now: Instant) {
        let mut members: Vec<ZoneProcess> = self
            .peers
            .own_zone_peers(now)
            .into_iter()
            .map(|peer| peer.member)
            .collect();
        members.push(ZoneProcess {
            host: self.settings.host.clone(),
            is_worker: self.settings.role == Role::Worker,
            leaving: self.is_leaving(),
            store_reached: self.store.failing_for(now).is_none(),
            silent_for: Duration::ZERO,
        });
        let picked = representatives::select(&members);
        if self.has_subscribers(now) {
            *self.had_subscribers_at.lock().expect("naming lock") = Some(now);
        }
        let mut known = self.speakers.lock().expect("speakers lock");
        if *known != picked {
            log::info!(speakers:? = picked; "speakers of the zone");
            *known = picked;
        }
    }

    /// The processes of the zone that this one takes as speakers, first choice first.
    pub fn speakers(&self) -> Vec<NodeId> {
        self.speakers.lock().expect("speakers lock").clone()
    }

    /// Whether another process of the zone named this one as one of its speakers.
    pub fn has_subscribers(&self, now: Instant) -> bool {
        self.peers.is_representative(&self.settings.host, now)
    }

    /// Whether this process should follow the platform's store itself.
    pub fn should_watch_store(&self, now: Instant) -> bool {
        let had_subscribers_at = *self.had_subscribers_at.lock().expect("naming lock");
        let speakers = self.speakers.lock().expect("speakers lock");
        watcher_selection::should_watch_store(WatchState {
            selects_itself: speakers.contains(&self.settings.host),
            selected_by_peer_ago: had_subscribers_at.map(|at| now.duration_since(at)),
            synced_ago: self.peer_state_age(now),
        })
    }

    /// The age of what this process knows of the store by others: how long ago the store last
    /// answered a process that follows it and has told nothing that is not known here.
    fn peer_state_age(&self, now: Instant) -> Option<Duration> {
        let told_at = self.peers.state_current_at(self.state_version());
        let mut current_at = self.peer_state_current_at.lock().expect("told state lock");
        *current_at = (*current_at).max(told_at);
        current_at.map(|at| now.saturating_duration_since(at))
    }

    /// Whether this process follows the platform's store, which answers.
    pub fn is_watching_store(&self, now: Instant) -> bool {
        let both = [&self.config_is_current, &self.servers_are_current];
        let is_current = both.iter().all(|kind| kind.load(Ordering::Relaxed));
        is_current && self.store.failing_for(now).is_none()
    }

    /// Whether this process follows the platform's store, or is told by one that does.
    pub fn is_current(&self, now: Instant) -> bool {
        let told = self.peer_state_age(now);
        self.is_watching_store(now) || told.is_some_and(|ago| ago < watcher_selection::MAX_SYNC_AGE)
    }

    /// How new the configuration and the list of servers are that are known here.
    pub fn state_version(&self) -> StoreStateVersion {
        let config_version = self.config.lock().expect("config lock").version();
        let directory = self.directory.lock().expect("directory lock");
        StoreStateVersion {
            config_version,
            servers_revision: directory.revision(),
        }
    }

    /// Addresses of the zone's processes that take this one for a speaker of `rank`.
    pub fn subscribers(&self, rank: Rank, now: Instant) -> Vec<SocketAddr> {
        let own = &self.settings.host;
        self.peers.own_zone_addresses(now, |_, speakers| {
            representatives::highest_rank(own, std::iter::once(speakers)) == rank
        })
    }

    /// Addresses of the zone's processes that this one named as speakers, or that named it.
    pub fn representatives_and_subscribers(&self, now: Instant) -> Vec<SocketAddr> {
        let named = self.speakers();
        let own = &self.settings.host;
        self.peers.own_zone_addresses(now, |host, speakers| {
            speakers.contains(own) || named.contains(host)
        })
    }

    /// What this process is taken for by the zone's processes and itself.
    pub fn representative_rank(&self, now: Instant) -> Rank {
        let own = self.speakers();
        let local = self.peers.own_zone_peers(now);
        let named = local.iter().map(|peer| peer.representatives.as_slice());
        representatives::highest_rank(&self.settings.host, named.chain([own.as_slice()]))
    }

    /// Jobs that this process runs or closed a short while ago; sorted by job.
    pub fn claims(&self) -> Vec<JobClaim> {
        self.claims.lock().expect("claims lock").clone()
    }

    /// Replaces what this process tells of its jobs; `claims` must be sorted by job.
    pub fn set_claims(&self, claims: Vec<JobClaim>) {
        *self.claims.lock().expect("claims lock") = claims;
    }

    /// Items of this process's jobs that could run now and found no slot.
    pub fn waiting_items(&self) -> u32 {
        self.waiting_items.load(Ordering::Relaxed)
    }

    /// Replaces what this process tells of its waiting items.
    pub fn set_waiting_items(&self, count: u32) {
        self.waiting_items.store(count, Ordering::Relaxed);
    }

    /// Whether this process runs any job.
    pub fn has_owned_jobs(&self) -> bool {
        let claims = self.claims.lock().expect("claims lock");
        claims
            .iter()
            .any(|claim| claim.standing == ClaimStatus::Held)
    }
}
