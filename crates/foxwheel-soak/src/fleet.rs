//! The fleet of a soak run: a store emulator, backend server emulators, and real fronts and
//! workers whose connections all pass through proxies that can inject faults.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path as FilePath;
use std::rc::Rc;
use std::time::{Duration, Instant};

use foxwheel_platform_emu::server as store_emu;
use foxwheel_platform_emu::settings::PlatformSettings;
use foxwheel_server_emu::server::{self, Server, ServerConfig};
use foxwheel_store::client::{StoreClient, StoreError};
use hyper::{Method, StatusCode};
use serde_json::json;
use tokio::sync::Mutex;
use tokio_util::sync::CancellationToken;

use crate::evidence::{ServerArrival, ServerRun};
use crate::front_client;
use crate::network::{self, Network};
use crate::plan::{FleetSize, Plan};
use crate::process::{Process, ProcessError, ProcessSpec, Role};
use crate::proxy::FaultProxy;
use crate::store_entries;

/// Every server sends each response of this number without a length and without chunks.
const UNFRAMED_INTERVAL: u64 = 4;

/// The ids of servers consist of this and a number.
const SERVER_ID_PREFIX: &str = "server-";

/// Request body on which backend servers crash.
pub const CRASHING_BODY: &str = "crash";

/// Time from the stop signal until a process must have ended.
pub const STOP_GRACE: Duration = Duration::from_secs(6);

/// How long the results of a job stay readable. Longer than any soak run.
const RESULTS_RETENTION: Duration = Duration::from_secs(600);

/// Number of events of a complete response.
pub const EVENT_COUNT: u64 = 5;

/// Time between two events of a response.
const EVENT_INTERVAL: Duration = Duration::from_millis(6);

/// Time limit for a front to serve requests after its start, and for a write to the store.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of tokens that may wait on the route of the jobs. Clients sometimes submit more than
/// this, so that some submissions exceed the quota.
pub const QUOTA_TOKENS: u64 = 2_500;

/// The first version of the configuration.
pub const FIRST_CONFIG_VERSION: u64 = 1;

/// Number of the loopback address that the process with index 0 binds. Its proxies listen on the
/// address with number 1. The other processes and their proxies use the numbers after these.
const FIRST_BIND_HOST: u8 = 128;

/// Failure of the soak itself. It says nothing about whether the processes keep their promises.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A file, directory or socket of the soak failed.
    #[error("cannot {step}: {source}")]
    Io {
        /// The step that failed, as a verb with its object.
        step: &'static str,
        /// Error of the system.
        source: std::io::Error,
    },
    /// A process could not be started or signalled.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The store emulator failed.
    #[error("cannot {step}: {source}")]
    Store {
        /// The step that failed, as a verb with its object.
        step: &'static str,
        /// Error of the store client.
        source: StoreError,
    },
    /// A task of the soak panicked or was cancelled.
    #[error("cannot {step}: {source}")]
    Task {
        /// The step that the task carried out, as a verb with its object.
        step: &'static str,
        /// How the task ended.
        source: tokio::task::JoinError,
    },
    /// The soak received a signal to stop.
    #[error("stopped by a signal")]
    Interrupted,
    /// All loopback networks are in use.
    #[error("all loopback networks are in use")]
    NoFreeNetwork,
    /// A front did not serve requests after its start.
    #[error("front {0} did not serve requests after its start; see its log")]
    FrontNotReady(SocketAddr),
}

/// Converts a system error in `step` to a [`SoakError`].
pub fn io_error(step: &'static str) -> impl FnOnce(std::io::Error) -> SoakError {
    move |source| SoakError::Io { step, source }
}

/// Converts the failure of a task in `step` to a [`SoakError`].
pub fn task_error(step: &'static str) -> impl FnOnce(tokio::task::JoinError) -> SoakError {
    move |source| SoakError::Task { step, source }
}

/// A front or worker with the proxies on its network paths.
#[derive(Debug)]
pub struct Node {
    /// The process.
    pub process: Process,
    /// Path from the process to the store.
    pub store_path: FaultProxy,
    /// Path from other processes to this one.
    pub peer_path: FaultProxy,
    /// Path from callers to the process. `None` for a worker.
    pub caller_path: Option<FaultProxy>,
    /// Address on which the process accepts connections once it is running.
    pub listen_addr: SocketAddr,
    /// Whether the process is being stopped, killed or suspended. Only one such fault is injected
    /// into a process at a time.
    pub is_under_fault: bool,
    /// Held while the settings are written and the process starts with them or is told to reload
    /// them.
    pub settings_lock: Rc<Mutex<()>>,
}

/// A backend server emulator with the proxy on its path.
#[derive(Debug)]
pub struct ListedServer {
    /// Id under which the server is listed in the store.
    pub id: String,
    /// The emulator.
    pub emulator: Server,
    /// Path from all processes to the server.
    pub proxy: FaultProxy,
    /// Whether the end of the emulator was noticed and a replacement is being started.
    pub crash_handled: bool,
}

/// Writes to the store as the operator and on behalf of the backend servers.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Client of the store whose connections have no injected faults.
    pub store: StoreClient,
    /// Cancelled to end the servers and proxies that were started.
    pub cancel: CancellationToken,
}

impl Operator {
    /// Writes version `version` of the configuration: the usual routes, and one route that no
    /// other version has.
    pub async fn write_config(&self, version: u64) -> Result<(), SoakError> {
        let mut config = store_entries::config(version);
        let version_route =
            store_entries::route(&version_route_name(version), "idempotent", json!({}));
        if let Some(routes) = config["routes"].as_array_mut() {
            for route in routes.iter_mut().filter(|route| route["kind"] == "batch") {
                route["cap"] = QUOTA_TOKENS.into();
            }
            routes.push(version_route);
        }
        self.write_object("write the configuration", "config/main", &config)
            .await
    }

    /// Starts a backend server and lists it as ready. The id can be that of an earlier server.
    pub async fn start_server(&self, id: String) -> Result<ListedServer, SoakError> {
        let shape = ServerConfig {
            id: id.clone(),
            step_time: EVENT_INTERVAL,
            events_per_stream: EVENT_COUNT,
            crashing_body: Some(CRASHING_BODY.to_owned()),
            unframed_interval: Some(UNFRAMED_INTERVAL),
            version: Some(version_of_server(&id).to_owned()),
            ..ServerConfig::default()
        };
        let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let emulator = server::start(ip, shape, self.cancel.clone()).await;
        let emulator = emulator.map_err(io_error("start a server"))?;
        let proxy = FaultProxy::open(
            SocketAddr::new(ip, 0),
            emulator.addr,
            emulator.termination_token(),
        )
        .await;
        let proxy = proxy.map_err(io_error("open the path to a server"))?;
        let server = ListedServer {
            id,
            emulator,
            proxy,
            crash_handled: false,
        };
        self.list_server(&server.id, server.proxy.addr, "ready")
            .await?;
        Ok(server)
    }

    /// Writes the entry of a server.
    pub async fn list_server(
        &self,
        id: &str,
        addr: SocketAddr,
        state: &str,
    ) -> Result<(), SoakError> {
        let mut entry = store_entries::server_entry(addr, state);
        entry["version"] = version_of_server(id).into();
        self.write_object("list a server", &server_key(id), &entry)
            .await
    }

    /// Removes the entry of a server. Succeeds if the entry does not exist.
    pub async fn unlist_server(&self, id: &str) -> Result<(), SoakError> {
        const STEP: &str = "remove an entry";
        let key = server_key(id);
        retry_until_stored(STEP, || async {
            match self.store.delete(&key, None).await {
                Err(StoreError::NotFound) => Ok(()),
                other => other,
            }
        })
        .await
    }

    /// Writes an object to the store. `step` names the write in errors.
    pub async fn write_object(
        &self,
        step: &'static str,
        key: &str,
        value: &serde_json::Value,
    ) -> Result<(), SoakError> {
        retry_until_stored(step, || async {
            self.store.put(key, value, None).await.map(|_| ())
        })
        .await
    }
}

/// Retries a write for up to [`WAIT_TIMEOUT`], because faults of the store make it fail.
async fn retry_until_stored<F, W>(step: &'static str, write: W) -> Result<(), SoakError>
where
    W: Fn() -> F,
    F: std::future::Future<Output = Result<(), StoreError>>,
{
    let started_at = Instant::now();
    loop {
        match write().await {
            Ok(()) => return Ok(()),
            Err(source) if started_at.elapsed() > WAIT_TIMEOUT => {
                return Err(SoakError::Store { step, source })
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// A server that was replaced.
#[derive(Debug)]
pub struct FormerServer {
    /// The server.
    pub server: ListedServer,
    /// When the server was listed as draining or its entry was removed. `None` if it crashed or
    /// was restarted.
    pub leaving_since: Option<Instant>,
}

/// All parts of a soak run's fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Writes to the store.
    pub operator: Operator,
    /// Fronts, then workers.
    pub nodes: Vec<Node>,
    /// Servers that are listed as ready.
    pub servers: Vec<ListedServer>,
    /// Servers that were replaced.
    pub former_servers: Vec<FormerServer>,
    network: Network,
    servers_started: usize,
}

impl Fleet {
    /// Starts the fleet of `plan` and waits until every front serves requests.
    pub async fn start(
        plan: &Plan,
        programs: &FilePath,
        folder: &FilePath,
    ) -> Result<Self, SoakError> {
        let cancel = CancellationToken::new();
        let settings = PlatformSettings::for_test();
        let (store_addr, store) =
            store_emu::start(&settings, cancel.clone()).map_err(io_error("start the store"))?;
        actix_web::rt::spawn(store);
        let store = StoreClient::new(format!("http://{store_addr}"));
        let mut fleet = Self {
            operator: Operator { store, cancel },
            nodes: Vec::new(),
            servers: Vec::new(),
            former_servers: Vec::new(),
            network: Network::claim().ok_or(SoakError::NoFreeNetwork)?,
            servers_started: 0,
        };
        fleet.operator.write_config(FIRST_CONFIG_VERSION).await?;
        for _ in 0..plan.size.servers {
            let id = fleet.next_server_id();
            let server = fleet.operator.start_server(id).await?;
            fleet.servers.push(server);
        }
        for index in 0..plan.size.processes() {
            let node = fleet.start_node(index, &plan.size, store_addr, programs, folder);
            let node = node.await?;
            fleet.nodes.push(node);
        }
        for front in fleet.fronts() {
            wait_until_serving(front).await?;
        }
        for node in &mut fleet.nodes {
            wait_until_listening(node.listen_addr, WAIT_TIMEOUT).await;
            node.process.mark_listening();
        }
        Ok(fleet)
    }

    /// Returns the addresses at which callers reach the fronts.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        let paths = self
            .nodes
            .iter()
            .filter_map(|node| node.caller_path.as_ref());
        paths.map(|path| path.addr).collect()
    }

    /// Returns the id for the next server to start.
    pub fn next_server_id(&mut self) -> String {
        self.servers_started += 1;
        format!("{SERVER_ID_PREFIX}{}", self.servers_started)
    }

    /// Replaces the server with this id by `replacement`, or adds `replacement` if that server was already
    /// replaced.
    pub fn replace_server(
        &mut self,
        id: &str,
        replacement: ListedServer,
        leaving_since: Option<Instant>,
    ) {
        match self.servers.iter_mut().find(|server| server.id == id) {
            Some(server) => self.former_servers.push(FormerServer {
                server: std::mem::replace(server, replacement),
                leaving_since,
            }),
            None => self.servers.push(replacement),
        }
    }

    /// Returns the requests that arrived at all current and former servers.
    pub fn arrivals(&self) -> Vec<ServerArrival> {
        let former = self.former_servers.iter().map(|former| &former.server);
        let servers = self.servers.iter().chain(former);
        let arrivals_at_server = |server: &ListedServer| {
            let arrivals = server.emulator.run_log.arrivals().into_iter();
            let server = server.id.clone();
            arrivals.map(move |arrival| ServerArrival {
                server: server.clone(),
                arrival,
            })
        };
        servers.flat_map(arrivals_at_server).collect()
    }

    /// Returns the runs at all current and former servers.
    pub fn runs(&self) -> Vec<ServerRun> {
        let current = self.servers.iter().map(|server| (server, None));
        let former = self.former_servers.iter();
        let former = former.map(|former| (&former.server, former.leaving_since));
        let servers = current.chain(former);
        let runs_of_server = |(server, leaving_since): (&ListedServer, Option<Instant>)| {
            let runs = server.emulator.run_log.all_runs().into_iter();
            let server = server.id.clone();
            runs.map(move |run| ServerRun {
                server: server.clone(),
                leaving_since,
                run,
            })
        };
        servers.flat_map(runs_of_server).collect()
    }

    async fn start_node(
        &self,
        index: usize,
        size: &FleetSize,
        store_addr: SocketAddr,
        programs: &FilePath,
        folder: &FilePath,
    ) -> Result<Node, SoakError> {
        let role = match index < size.fronts {
            true => Role::Front,
            false => Role::Worker,
        };
        let proxy_ip = self.network.host(index as u8 + 1);
        let bind_ip = self.network.host(index as u8 + FIRST_BIND_HOST);
        let cancel = &self.operator.cancel;
        let open = |from, to| FaultProxy::open(from, to, cancel.clone());
        let any_port = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let store_path = open(any_port, store_addr).await;
        let store_path = store_path.map_err(io_error("open the path to the store"))?;
        let peer_addr = |ip| SocketAddr::new(ip, network::PEER_PORT);
        let peer_path = open(peer_addr(proxy_ip), peer_addr(bind_ip)).await;
        let peer_path = peer_path.map_err(io_error("open the path from peers"))?;
        let relay = peer_path
            .relay_datagrams(peer_addr(bind_ip), cancel.clone())
            .await;
        relay.map_err(io_error("relay datagrams"))?;
        let caller_addr = |ip| SocketAddr::new(ip, network::CALLER_PORT);
        let caller_path = match role {
            Role::Front => {
                let path = open(caller_addr(proxy_ip), caller_addr(bind_ip)).await;
                Some(path.map_err(io_error("open the path from callers"))?)
            }
            Role::Worker => None,
        };
        let front_port = |port| (role == Role::Front).then(|| SocketAddr::new(bind_ip, port));
        let host = format!("host-{index}");
        let settings = json!({
            "host": host, "role": role.name(),
            "availability_zone": store_entries::zone_name(index as u32 % size.zones),
            "ip": proxy_ip, "bind_ip": bind_ip,
            "peer_ports": [network::PEER_PORT, network::PEER_PORT],
            "seeds": [peer_addr(self.network.host(1)), peer_addr(self.network.host(2))],
            "caller_address": front_port(network::CALLER_PORT),
            "readiness_address": front_port(network::READINESS_PORT),
            "metrics_port": network::METRICS_PORT,
            "store_address": store_path.addr,
            "store_value_bytes": 1_048_576,
            "stop_grace_s": STOP_GRACE.as_secs_f64(),
            "results_readable_s": RESULTS_RETENTION.as_secs_f64(),
        });
        let metrics_addr = SocketAddr::new(bind_ip, network::METRICS_PORT);
        let process = Process::start(ProcessSpec {
            host,
            role,
            settings,
            metrics_addr,
            programs,
            folder,
        })?;
        Ok(Node {
            process,
            store_path,
            peer_path,
            caller_path,
            listen_addr: front_port(network::CALLER_PORT).unwrap_or(metrics_addr),
            is_under_fault: false,
            settings_lock: Rc::default(),
        })
    }
}

/// Waits until `addr` accepts connections, or until `timeout` has elapsed.
pub async fn wait_until_listening(addr: SocketAddr, timeout: Duration) {
    let started_at = Instant::now();
    while tokio::net::TcpStream::connect(addr).await.is_err() && started_at.elapsed() < timeout {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until a front serves a request.
async fn wait_until_serving(front: SocketAddr) -> Result<(), SoakError> {
    let polling = async {
        for attempt in 0.. {
            let id = format!("probe-{front}-{attempt}");
            let response =
                front_client::call(front, Method::GET, "/plain/probe", &id, &[], "").await;
            if response.is_ok_and(|response| response.status == StatusCode::OK) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let polled = tokio::time::timeout(WAIT_TIMEOUT, polling).await;
    polled.map_err(|_| SoakError::FrontNotReady(front))
}

/// Returns the name of the route that only configuration `version` has.
pub fn version_route_name(version: u64) -> String {
    format!("version-{version}")
}

/// Returns the software version of a server. Servers with successive ids have different ones, and a
/// server that starts again under its id has the same one.
pub fn version_of_server(id: &str) -> &'static str {
    let number = id.trim_start_matches(SERVER_ID_PREFIX);
    // An id without a number is that of an entry that no server wrote.
    let number: usize = number.parse().unwrap_or_default();
    store_entries::VERSIONS[number % store_entries::VERSIONS.len()]
}

fn server_key(id: &str) -> String {
    format!("servers/{id}")
}
