//! Runs fronts and workers in the test process, together with emulators of the store and the
//! backend servers.
//!
//! Each host has its own loopback address, because the processes use the same ports on all
//! hosts.

// Each test file uses only some of these items.
#![allow(dead_code, unused_imports)]

pub mod crashing_servers;
pub mod early_servers;
pub mod endless_servers;
pub mod pausing_servers;
pub mod peer_messages;
pub mod programs;
pub mod restarting_servers;

pub use foxwheel_soak::front_client::{self, ReceivedResponse};
pub use foxwheel_soak::front_client::{
    build_request, call, connect, job_body, read_response, read_results, submit_job,
};
pub use foxwheel_soak::store_entries::{self, zone_name, HOST};

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use foxwheel_callers::connections::{CallerConnection, CallerConnections};
use foxwheel_core::keys;
use foxwheel_node::caller_server;
use foxwheel_node::process;
use foxwheel_node::settings::{NodeSettings, Role};
use foxwheel_platform_emu::settings::PlatformSettings;
use foxwheel_server_emu::server::{self, Server, ServerConfig};
use foxwheel_soak::network::{self, Network};
use foxwheel_soak::proxy::FaultProxy;
use foxwheel_store::api::Faults;
use foxwheel_store::client::{StoreClient, StoreError};
use hyper::{Method, StatusCode};
use serde_json::{json, Value};
use tokio_util::sync::CancellationToken;

/// A store with backend servers, fronts and workers.
pub struct Fleet {
    /// Client of the store, as used by the operator and the backend servers.
    pub store: StoreClient,
    /// The backend servers.
    pub servers: Vec<Server>,
    /// The address at which each front serves callers.
    pub fronts: Vec<SocketAddr>,
    /// The processes: first the fronts, then the workers, then processes that were added later.
    pub processes: Vec<Process>,
    /// Cancelled to stop the whole fleet.
    pub cancel: CancellationToken,
    host_count: u32,
    zone_count: u32,
    network: Network,
    store_addr: SocketAddr,
}

/// A front or worker with its own thread and runtime.
pub struct Process {
    /// Settings of the process.
    pub settings: NodeSettings,
    /// Proxy through which the process reaches the store.
    pub store_path: FaultProxy,
    /// Cancelled to stop the process gracefully.
    pub stop: CancellationToken,
    kill: CancellationToken,
    thread: std::thread::JoinHandle<()>,
}

impl Process {
    fn start(settings: NodeSettings, store_path: FaultProxy, cancel: &CancellationToken) -> Self {
        let stop = CancellationToken::new();
        let kill = cancel.child_token();
        let (stopped, killed, own_settings) = (stop.clone(), kill.clone(), settings.clone());
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            runtime.block_on(async move {
                let run = async {
                    match own_settings.role {
                        Role::Front => process::run_front(own_settings, stopped).await,
                        Role::Worker => process::run_worker(own_settings, stopped).await,
                    }
                };
                tokio::select! {
                    () = killed.cancelled() => {}
                    ended = run => ended.expect("the process runs"),
                }
            });
            // Dropping the runtime also drops all tasks that the process spawned.
            drop(runtime);
        });
        Self {
            settings,
            store_path,
            stop,
            kill,
            thread,
        }
    }

    /// Kills the process without a graceful stop.
    pub fn kill(&self) {
        self.kill.cancel();
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        self.thread.is_finished()
    }
}

/// Ends all processes before the network of the fleet is released: another fleet that claimed it could
/// not use their addresses.
impl Drop for Fleet {
    fn drop(&mut self) {
        self.cancel.cancel();
        let dropped_at = std::time::Instant::now();
        let is_waiting = || dropped_at.elapsed() < WAIT_TIMEOUT;
        while !self.processes.iter().all(Process::has_ended) && is_waiting() {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Size of a fleet.
pub struct FleetPlan {
    /// Shapes of the backend servers.
    pub servers: Vec<ServerConfig>,
    /// Number of fronts.
    pub fronts: u32,
    /// Number of workers.
    pub workers: u32,
    /// Number of availability zones. Hosts are assigned to them in turn, fronts before workers.
    pub zones: u32,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            servers: server_shapes(2),
            fronts: 1,
            workers: 1,
            zones: 1,
        }
    }
}

/// Returns the shapes of `count` servers.
pub fn server_shapes(count: usize) -> Vec<ServerConfig> {
    (0..count)
        .map(|at| ServerConfig {
            id: format!("server-{at}"),
            ..ServerConfig::default()
        })
        .collect()
}

impl Fleet {
    /// Starts a fleet and waits until every front is ready.
    pub async fn start(plan: FleetPlan) -> Self {
        let cancel = CancellationToken::new();
        let settings = PlatformSettings::for_test();
        let (store_addr, store) =
            foxwheel_platform_emu::server::start(&settings, cancel.clone()).expect("store starts");
        actix_web::rt::spawn(store);
        let mut fleet = Self {
            store: StoreClient::new(format!("http://{store_addr}")),
            servers: Vec::new(),
            fronts: Vec::new(),
            processes: Vec::new(),
            cancel,
            host_count: 0,
            zone_count: plan.zones,
            network: Network::claim().expect("a free network"),
            store_addr,
        };
        fleet.configure(1, |_| {}).await;
        for shape in plan.servers {
            fleet.add_server(shape).await;
        }
        for _ in 0..plan.fronts {
            fleet.add_process(Role::Front).await;
        }
        for _ in 0..plan.workers {
            fleet.add_process(Role::Worker).await;
        }
        for front in fleet.fronts.clone() {
            fleet.wait_until_serving(front).await;
        }
        fleet
    }

    /// Starts a backend server of the service `model` and registers it.
    pub async fn add_server(&mut self, shape: ServerConfig) {
        self.add_server_of_service("model", shape).await;
    }

    /// Starts a backend server of a service and registers it.
    pub async fn add_server_of_service(&mut self, service: &str, shape: ServerConfig) {
        let id = shape.id.clone();
        let (version, slots) = (shape.version.clone(), shape.slots);
        let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let started = server::start(ip, shape, self.cancel.clone()).await;
        let server = started.expect("server starts");
        let mut entry = server_entry(server.addr, "ready");
        entry["service"] = json!(service);
        entry["slots"] = json!(slots);
        if let Some(version) = version {
            entry["version"] = json!(version);
        }
        self.write_server_entry(&id, &entry).await;
        self.servers.push(server);
    }

    /// Registers a backend server of the service `model`.
    pub async fn register_server(&self, id: &str, addr: SocketAddr, state: &str) {
        self.register_server_of_service("model", id, addr, state)
            .await;
    }

    /// Registers a backend server of a service.
    pub async fn register_server_of_service(
        &self,
        service: &str,
        id: &str,
        addr: SocketAddr,
        state: &str,
    ) {
        let mut entry = server_entry(addr, state);
        entry["service"] = json!(service);
        self.write_server_entry(id, &entry).await;
    }

    /// Writes any value as the entry of a backend server.
    pub async fn write_server_entry(&self, id: &str, entry: &Value) {
        self.write_object(&format!("servers/{id}"), entry).await;
    }

    /// Writes the default configuration as changed by `alter`.
    pub async fn configure(&self, version: u64, alter: impl FnOnce(&mut Value)) {
        let mut config = store_entries::config(version);
        alter(&mut config);
        self.write_object("config/main", &config).await;
    }

    /// Writes an object. Retries while the store does not respond, because on a busy machine the
    /// test process can be suspended for longer than the store's client waits.
    async fn write_object(&self, key: &str, value: &Value) {
        let started_at = std::time::Instant::now();
        while let Err(e) = self.store.put(key, value, None).await {
            let can_retry =
                matches!(e, StoreError::Unavailable { .. }) && started_at.elapsed() < WAIT_TIMEOUT;
            assert!(can_retry, "{key}: {e}");
        }
    }

    /// Starts a front or worker on a new host. The address of a front is appended to `fronts`.
    pub async fn add_process(&mut self, role: Role) {
        let any_port = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let store_path = FaultProxy::open(any_port, self.store_addr, self.cancel.clone()).await;
        let store_path = store_path.expect("a path to the store");
        self.host_count += 1;
        let mut settings = self.process_settings(self.host_count, role);
        settings.store_address = store_path.addr;
        self.fronts.extend(settings.caller_address);
        self.processes
            .push(Process::start(settings, store_path, &self.cancel));
    }

    /// Kills all processes and starts them again with the same settings.
    pub async fn restart_all_processes(&mut self) {
        for process in &self.processes {
            process.kill();
        }
        let killed = std::mem::take(&mut self.processes);
        while !killed.iter().all(Process::has_ended) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let restarted = killed
            .into_iter()
            .map(|old| Process::start(old.settings, old.store_path, &self.cancel));
        self.processes = restarted.collect();
    }

    /// Kills the process at `index` and starts it again with the same settings.
    pub async fn restart(&mut self, index: usize) {
        self.processes[index].kill();
        while !self.processes[index].has_ended() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let killed = self.processes.remove(index);
        let restarted = Process::start(killed.settings, killed.store_path, &self.cancel);
        self.processes.insert(index, restarted);
    }

    /// Returns the settings of a process on host `number` with a direct connection to the store.
    pub fn process_settings(&self, number: u32, role: Role) -> NodeSettings {
        let host_ip = |host| self.network.host(host);
        let ip = host_ip(number as u8);
        let front_port = |port| (role == Role::Front).then(|| SocketAddr::new(ip, port));
        NodeSettings {
            host: format!("host-{number}"),
            role,
            availability_zone: zone_name(number % self.zone_count),
            ip,
            bind_ip: None,
            peer_ports: (network::PEER_PORT, network::PEER_PORT),
            seeds: vec![SocketAddr::new(host_ip(1), network::PEER_PORT)],
            caller_address: front_port(network::CALLER_PORT),
            readiness_address: front_port(network::READINESS_PORT),
            metrics_port: Some(network::METRICS_PORT),
            store_address: self.store_addr,
            store_value_bytes: 1_048_576,
            stop_grace: Duration::from_secs(6),
            results_readable: Duration::from_secs(120),
            memory_limit_mb: 88.0,
            open_files_limit: None,
        }
    }

    /// Waits until `front` serves requests, that is until it has its configuration and servers.
    pub async fn wait_until_serving(&self, front: SocketAddr) {
        for attempt in 0..400 {
            let id = format!("probe-{front}-{attempt}");
            let response = call(front, Method::GET, "/plain/probe", &id, &[], "").await;
            if response.is_ok_and(|response| response.status == StatusCode::OK) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("front {front} did not serve requests in time");
    }

    /// Registers a backend server of the service `model` in the zone `number`.
    pub async fn register_server_in_zone(&self, number: u32, id: &str, addr: SocketAddr) {
        let mut entry = server_entry(addr, "ready");
        entry["zone"] = json!(zone_name(number));
        self.write_server_entry(id, &entry).await;
    }

    /// Reads a counter from the metrics of a process; 0 if it has not been counted yet.
    pub async fn read_counter(&self, process: &Process, name: &str) -> u64 {
        let addr = SocketAddr::new(process.settings.ip, network::METRICS_PORT);
        let response = call(addr, Method::GET, "/metrics", "metrics", &[], "").await;
        let text = response.expect("metrics").text();
        let found = text.lines().find_map(|line| line.strip_prefix(name));
        found.map_or(0, |value| value.trim().parse().expect("a number"))
    }

    /// Sets the faults that the store simulates.
    pub async fn set_store_faults(&self, faults: Faults) {
        self.store.set_faults(&faults).await.expect("faults set");
    }

    /// Returns all runs of a request, grouped by server.
    pub fn runs_of_request(&self, request_id: &str) -> Vec<foxwheel_server_emu::runs::Run> {
        let servers = self.servers.iter();
        servers
            .flat_map(|server| server.run_log.runs_of(request_id))
            .collect()
    }

    /// Returns the values of the store's objects whose keys start with `prefix`.
    pub async fn list_stored(&self, prefix: &str) -> Vec<Value> {
        assert!(keys::kind_and_name_prefix(prefix).is_some(), "one kind");
        let listed = self.store.list(prefix).await.expect("listed");
        listed
            .objects
            .into_iter()
            .map(|object| object.value)
            .collect()
    }
}

/// Returns the settings of a process without peers, for tests of one component.
pub fn single_process_settings(role: Role, store_address: SocketAddr) -> NodeSettings {
    NodeSettings {
        host: "host-1".to_owned(),
        role,
        availability_zone: zone_name(0),
        ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
        bind_ip: None,
        peer_ports: (7_660, 7_660),
        seeds: Vec::new(),
        caller_address: None,
        readiness_address: None,
        metrics_port: None,
        store_address,
        store_value_bytes: 1_048_576,
        stop_grace: Duration::from_secs(8),
        results_readable: Duration::from_secs(120),
        memory_limit_mb: 88.0,
        open_files_limit: None,
    }
}

/// Returns the connection of a caller to a process with these settings.
pub async fn caller_connection(settings: &NodeSettings) -> CallerConnection {
    let limits = settings
        .host_limits()
        .for_callers(caller_server::FILES_PER_CONNECTION);
    let connections = CallerConnections::new(limits, |_| {});
    connections.admit().await.expect("room for a connection")
}

/// Returns the entry of a backend server of the service `model`.
pub fn server_entry(addr: SocketAddr, state: &str) -> Value {
    store_entries::server_entry(addr, state)
}

/// Time limit for conditions that are normally met within milliseconds.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the status with which `front` responds to a GET of `path`, or `None` if it does not
/// respond.
pub async fn get_status(front: SocketAddr, path: &str) -> Option<StatusCode> {
    let response = call(front, Method::GET, path, "r", &[], "").await.ok()?;
    Some(response.status)
}

/// Waits until `front` responds to a GET of `path` with `expected`.
pub async fn wait_for_status(front: SocketAddr, path: &str, expected: StatusCode) {
    let polling = async {
        while get_status(front, path).await != Some(expected) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let polled = tokio::time::timeout(WAIT_TIMEOUT, polling).await;
    assert!(
        polled.is_ok(),
        "{front}{path} did not respond with {expected} in time"
    );
}

/// Moves the route of `/plain/` to `/moved/`.
pub fn move_plain_route(config: &mut Value) {
    config["routes"][0]["path_prefix"] = json!("/moved/");
}

/// Reads a job until at least `count` results are listed, and returns them.
pub async fn wait_for_results(front: SocketAddr, job: &str, count: usize) -> Vec<Value> {
    let mut results = Vec::new();
    for _ in 0..300 {
        if let Some(read) = read_results(front, job, results.len()).await {
            results.extend(read["results"].as_array().expect("a list").clone());
        }
        if results.len() >= count {
            return results;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!(
        "only {} of {count} results of {job} were listed in time",
        results.len()
    );
}

/// Returns the item ids of results, sorted.
pub fn result_ids(results: &[Value]) -> Vec<String> {
    let ids = results
        .iter()
        .map(|result| result["id"].as_str().expect("an id"));
    let mut ids: Vec<String> = ids.map(str::to_owned).collect();
    ids.sort();
    ids
}

/// Returns the ids of the items of a job as submitted, sorted.
pub fn item_ids(job: &str, count: usize) -> Vec<String> {
    let mut ids: Vec<String> = (0..count)
        .map(|at| front_client::item_id(job, at))
        .collect();
    ids.sort();
    ids
}

/// A fleet shared by test cases that do not affect each other.
pub type SharedFleet = Arc<Fleet>;
