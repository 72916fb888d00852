//! Backend servers that are replaced a while after they have ended.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxwheel_server_emu::server::{self, Server, ServerConfig};
use foxwheel_soak::store_entries;
use foxwheel_store::client::StoreClient;
use tokio_util::sync::CancellationToken;

use super::{zone_name, Fleet};

/// Time from the end of a server until the entry of its replacement.
const RESTART_DELAY: Duration = Duration::from_millis(600);

/// All instances of the servers so far.
#[derive(Clone, Default)]
pub struct RestartingServers {
    started: Arc<Mutex<Vec<Server>>>,
    ended_at: Arc<Mutex<Vec<Instant>>>,
}

impl RestartingServers {
    /// Starts `count` servers of `shape`, in the zones of the fleet in turn, and keeps replacing them.
    /// Each replacement has an id of its own.
    pub async fn start(fleet: &Fleet, count: usize, zones: u32, shape: &ServerConfig) -> Self {
        let servers = Self::default();
        for place in 0..count {
            let zone = zone_name(place as u32 % zones);
            let keeper = Keeper {
                servers: servers.clone(),
                store: fleet.store.clone(),
                cancel: fleet.cancel.clone(),
                shape: shape.clone(),
                place,
                zone,
            };
            let first = keeper.start_instance(0).await;
            tokio::spawn(keeper.replace_instances(first));
        }
        servers
    }

    /// Returns all instances so far.
    pub fn instances(&self) -> Vec<Server> {
        self.started.lock().expect("servers lock").clone()
    }

    /// Returns when instances ended, in order.
    pub fn ended_at(&self) -> Vec<Instant> {
        self.ended_at.lock().expect("ends lock").clone()
    }

    fn record_end(&self) {
        let mut ended_at = self.ended_at.lock().expect("ends lock");
        ended_at.push(Instant::now());
    }

    /// Returns the number of requests that reached a server after `at` and whose id starts with
    /// `prefix`.
    pub fn arrivals_after(&self, prefix: &str, at: Instant) -> usize {
        let instances = self.instances();
        let arrivals = instances.iter().flat_map(|it| it.run_log.arrivals());
        let late = arrivals.filter(|it| it.request_id.starts_with(prefix) && it.received_at > at);
        late.count()
    }

    /// Terminates all instances that run now.
    pub fn terminate_all(&self) {
        self.instances().iter().for_each(Server::terminate);
    }
}

/// Keeps one server running.
struct Keeper {
    servers: RestartingServers,
    store: StoreClient,
    cancel: CancellationToken,
    shape: ServerConfig,
    place: usize,
    zone: String,
}

impl Keeper {
    fn id(&self, number: usize) -> String {
        format!("restarting-{}-{number}", self.place)
    }

    async fn start_instance(&self, number: usize) -> Server {
        let shape = ServerConfig {
            id: self.id(number),
            ..self.shape.clone()
        };
        let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let server = server::start(ip, shape, self.cancel.clone()).await;
        let server = server.expect("server starts");
        let mut entry = store_entries::server_entry(server.addr, "ready");
        entry["zone"] = self.zone.clone().into();
        let key = format!("servers/{}", self.id(number));
        // Retried by the next instance: a test process may stand still for longer than the client waits.
        let _ = self.store.put(&key, &entry, None).await;
        let mut started = self.servers.started.lock().expect("servers lock");
        started.push(server.clone());
        server
    }

    async fn replace_instances(self, mut current: Server) {
        for number in 1.. {
            current.termination_token().cancelled().await;
            if self.cancel.is_cancelled() {
                return;
            }
            self.servers.record_end();
            tokio::time::sleep(RESTART_DELAY).await;
            let ended = format!("servers/{}", self.id(number - 1));
            let _ = self.store.delete(&ended, None).await;
            current = self.start_instance(number).await;
        }
    }
}
