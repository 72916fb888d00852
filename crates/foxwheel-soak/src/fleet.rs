//! The fleet of a run: a store, backend servers, and the processes with a path on each of
//! their connections.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path as FilePath;
use std::time::{Duration, Instant};

use foxwheel_platform_emu::server as store_emu;
use foxwheel_platform_emu::settings::PlatformSettings;
use foxwheel_server_emu::server::{self, Server, Shape};
use foxwheel_store::client::{StoreClient, StoreError};
use hyper::{Method, StatusCode};
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::evidence::{ServerArrival, ServerRun};
use crate::front_client;
use crate::network::{self, Network};
use crate::plan::{FleetSize, Plan};
use crate::process::{Process, ProcessError, Role, Spec};
use crate::proxy::FaultProxy;
use crate::store_entries;

/// Body of the requests that crash servers.
pub const CRASHING_BODY: &str = "crash";

/// Time from the signal to stop until a process must have ended.
pub const STOP_GRACE: Duration = Duration::from_secs(6);

/// How long a job's results stay readable; longer than any run.
const RESULTS_READABLE: Duration = Duration::from_secs(600);

/// Events of a whole answer, and the time each takes.
pub const EVENTS: u64 = 5;
const STEP: Duration = Duration::from_millis(6);

/// Longest wait for a front to serve at the start, or for the store to take a write.
const PATIENCE: Duration = Duration::from_secs(30);

/// Tokens that may wait on the route of the jobs: fewer than its clients ask for at times.
pub const QUOTA_TOKENS: u64 = 2_500;

/// The first version of the configuration.
pub const FIRST_VERSION: u64 = 1;

/// Hosts listen from this address of the network on, and are reached from its first on.
const FIRST_BOUND_HOST: u8 = 128;

/// Why a run could not be carried out; no verdict on the processes.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A file, socket or folder of the soak's own.
    #[error("cannot {step}: {source}")]
    Io {
        /// The step.
        step: &'static str,
        /// The system's error.
        source: std::io::Error,
    },
    /// A process.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The store's stand-in.
    #[error("cannot {step}: {source}")]
    Store {
        /// The step.
        step: &'static str,
        /// The client's error.
        source: StoreError,
    },
    /// A part of the soak itself broke off.
    #[error("cannot {step}: {source}")]
    Task {
        /// The step.
        step: &'static str,
        /// How the task ended.
        source: tokio::task::JoinError,
    },
    /// A signal came.
    #[error("told to stop")]
    ToldToStop,
    /// No network is free.
    #[error("every loopback network is taken")]
    NoNetwork,
    /// A front did not serve at the start.
    #[error("front {0} never served; see its log")]
    NeverServed(SocketAddr),
}

/// Names the step in which the system failed.
pub fn io_error(step: &'static str) -> impl FnOnce(std::io::Error) -> SoakError {
    move |source| SoakError::Io { step, source }
}

/// Names the step whose task broke off.
pub fn task_error(step: &'static str) -> impl FnOnce(tokio::task::JoinError) -> SoakError {
    move |source| SoakError::Task { step, source }
}

/// A process with the paths that lead to it and to the store.
#[derive(Debug)]
pub struct Node {
    /// The process.
    pub process: Process,
    /// From it to the store.
    pub store: FaultProxy,
    /// From other processes to it.
    pub peers: FaultProxy,
    /// From callers to it; a front's only.
    pub callers: Option<FaultProxy>,
    /// Where it listens once it has started.
    pub listens: SocketAddr,
    /// Whether it is being stopped, killed or paused: such acts come one after the other.
    pub busy: bool,
}

/// A backend server with the path to it.
#[derive(Debug)]
pub struct Place {
    /// The id under which it is listed.
    pub id: String,
    /// The stand-in.
    pub server: Server,
    /// From the processes to it.
    pub path: FaultProxy,
    /// Whether its end was seen, so that another is on its way.
    pub end_seen: bool,
}

/// Who writes to the store beside the processes: the operator and the servers.
#[derive(Debug, Clone)]
pub struct Operator {
    /// The store, on a path of its own.
    pub store: StoreClient,
    /// Ends the servers it starts.
    pub cancel: CancellationToken,
}

impl Operator {
    /// Writes version `version` of the configuration: the usual routes and one that no other
    /// version has.
    pub async fn configure(&self, version: u64) -> Result<(), SoakError> {
        let mut config = store_entries::config(version);
        let own = store_entries::route(&version_name(version), "idempotent", json!({}));
        if let Some(routes) = config["routes"].as_array_mut() {
            for route in routes.iter_mut().filter(|route| route["kind"] == "batch") {
                route["cap"] = QUOTA_TOKENS.into();
            }
            routes.push(own);
        }
        self.write("write the configuration", "config/main", &config)
            .await
    }

    /// Starts a backend server and lists it as ready; the id may have been another's.
    pub async fn start_server(&self, id: String) -> Result<Place, SoakError> {
        let shape = Shape {
            id: id.clone(),
            step: STEP,
            events: EVENTS,
            crashes_on: Some(CRASHING_BODY.to_owned()),
            ..Shape::default()
        };
        let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let server = server::start(ip, shape, self.cancel.clone()).await;
        let server = server.map_err(io_error("start a server"))?;
        let path = FaultProxy::open(SocketAddr::new(ip, 0), server.addr, server.ended()).await;
        let path = path.map_err(io_error("open the path to a server"))?;
        let place = Place {
            id,
            server,
            path,
            end_seen: false,
        };
        self.list(&place.id, place.path.addr, "ready").await?;
        Ok(place)
    }

    /// Writes a server's entry.
    pub async fn list(&self, id: &str, addr: SocketAddr, state: &str) -> Result<(), SoakError> {
        let entry = store_entries::server_entry(addr, state);
        self.write("list a server", &server_key(id), &entry).await
    }

    /// Removes a server's entry.
    pub async fn unlist(&self, id: &str) -> Result<(), SoakError> {
        const STEP: &str = "remove an entry";
        let key = server_key(id);
        until_done(STEP, || async {
            match self.store.delete(&key, None).await {
                Err(StoreError::NotFound) => Ok(()),
                other => other,
            }
        })
        .await
    }

    /// Writes an object.
    pub async fn write(
        &self,
        step: &'static str,
        key: &str,
        value: &serde_json::Value,
    ) -> Result<(), SoakError> {
        until_done(step, || async {
            self.store.put(key, value, None).await.map(|_| ())
        })
        .await
    }
}

/// Repeats a write while the store's faults are on.
async fn until_done<F, W>(step: &'static str, write: W) -> Result<(), SoakError>
where
    W: Fn() -> F,
    F: std::future::Future<Output = Result<(), StoreError>>,
{
    let started = Instant::now();
    loop {
        match write().await {
            Ok(()) => return Ok(()),
            Err(source) if started.elapsed() > PATIENCE => {
                return Err(SoakError::Store { step, source })
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// A server that is not in its place any more.
#[derive(Debug)]
pub struct Former {
    /// Where it was.
    pub place: Place,
    /// From when on it was to get nothing new, if it was asked to leave.
    pub leaving_since: Option<Instant>,
}

/// Everything that a run plays with.
#[derive(Debug)]
pub struct Fleet {
    /// Who writes to the store beside the processes.
    pub operator: Operator,
    /// Fronts, then workers.
    pub nodes: Vec<Node>,
    /// The servers that are listed as ready.
    pub places: Vec<Place>,
    /// Those before them.
    pub former: Vec<Former>,
    network: Network,
    servers_started: usize,
}

impl Fleet {
    /// Starts the fleet of `plan` and waits until every front serves.
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
            places: Vec::new(),
            former: Vec::new(),
            network: Network::claim().ok_or(SoakError::NoNetwork)?,
            servers_started: 0,
        };
        fleet.operator.configure(FIRST_VERSION).await?;
        for _ in 0..plan.size.servers {
            let id = fleet.next_server();
            let place = fleet.operator.start_server(id).await?;
            fleet.places.push(place);
        }
        for at in 0..plan.size.processes() {
            let node = fleet.start_node(at, &plan.size, store_addr, programs, folder);
            let node = node.await?;
            fleet.nodes.push(node);
        }
        for front in fleet.fronts() {
            until_served(front).await?;
        }
        for node in &mut fleet.nodes {
            until_listening(node.listens, PATIENCE).await;
            node.process.note_listening();
        }
        Ok(fleet)
    }

    /// Where callers reach the fronts.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        let paths = self.nodes.iter().filter_map(|node| node.callers.as_ref());
        paths.map(|path| path.addr).collect()
    }

    /// The id of a server that is to be started.
    pub fn next_server(&mut self) -> String {
        self.servers_started += 1;
        format!("server-{}", self.servers_started)
    }

    /// Puts `next` where the server `id` is; beside the others if that was replaced already.
    pub fn replace(&mut self, id: &str, next: Place, leaving_since: Option<Instant>) {
        match self.places.iter_mut().find(|place| place.id == id) {
            Some(place) => self.former.push(Former {
                place: std::mem::replace(place, next),
                leaving_since,
            }),
            None => self.places.push(next),
        }
    }

    /// What reached every server that there was.
    pub fn arrivals(&self) -> Vec<ServerArrival> {
        let former = self.former.iter().map(|former| &former.place);
        let all = self.places.iter().chain(former);
        let arrivals_of = |place: &Place| {
            let arrivals = place.server.runs.arrivals().into_iter();
            let server = place.id.clone();
            arrivals.map(move |arrival| ServerArrival {
                server: server.clone(),
                arrival,
            })
        };
        all.flat_map(arrivals_of).collect()
    }

    /// The runs of every server that there was.
    pub fn runs(&self) -> Vec<ServerRun> {
        let present = self.places.iter().map(|place| (place, None));
        let former = self.former.iter();
        let former = former.map(|former| (&former.place, former.leaving_since));
        let all = present.chain(former);
        let runs_of = |(place, leaving_since): (&Place, Option<Instant>)| {
            let runs = place.server.runs.all().into_iter();
            let server = place.id.clone();
            runs.map(move |run| ServerRun {
                server: server.clone(),
                leaving_since,
                run,
            })
        };
        all.flat_map(runs_of).collect()
    }

    async fn start_node(
        &self,
        at: usize,
        size: &FleetSize,
        store_addr: SocketAddr,
        programs: &FilePath,
        folder: &FilePath,
    ) -> Result<Node, SoakError> {
        let role = match at < size.fronts {
            true => Role::Front,
            false => Role::Worker,
        };
        let reached = self.network.host(at as u8 + 1);
        let bound = self.network.host(at as u8 + FIRST_BOUND_HOST);
        let cancel = &self.operator.cancel;
        let open = |from, to| FaultProxy::open(from, to, cancel.clone());
        let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let store = open(any, store_addr).await;
        let store = store.map_err(io_error("open the path to the store"))?;
        let peer = |ip| SocketAddr::new(ip, network::PEER_PORT);
        let peers = open(peer(reached), peer(bound)).await;
        let peers = peers.map_err(io_error("open the path from peers"))?;
        let relayed = peers.relay_datagrams(peer(bound), cancel.clone()).await;
        relayed.map_err(io_error("relay datagrams"))?;
        let caller = |ip| SocketAddr::new(ip, network::CALLER_PORT);
        let callers = match role {
            Role::Front => {
                let path = open(caller(reached), caller(bound)).await;
                Some(path.map_err(io_error("open the path from callers"))?)
            }
            Role::Worker => None,
        };
        let front_only = |port| (role == Role::Front).then(|| SocketAddr::new(bound, port));
        let host = format!("host-{at}");
        let settings = json!({
            "host": host, "role": role.name(),
            "availability_zone": store_entries::zone_name(at as u32 % size.zones),
            "ip": reached, "bind_ip": bound,
            "peer_ports": [network::PEER_PORT, network::PEER_PORT],
            "seeds": [peer(self.network.host(1)), peer(self.network.host(2))],
            "caller_address": front_only(network::CALLER_PORT),
            "readiness_address": front_only(network::READINESS_PORT),
            "metrics_port": network::METRICS_PORT,
            "store_address": store.addr,
            "store_value_bytes": 1_048_576,
            "stop_grace_s": STOP_GRACE.as_secs_f64(),
            "results_readable_s": RESULTS_READABLE.as_secs_f64(),
        });
        let metrics = SocketAddr::new(bound, network::METRICS_PORT);
        let process = Process::start(Spec {
            host,
            role,
            settings,
            metrics,
            programs,
            folder,
        })?;
        Ok(Node {
            process,
            store,
            peers,
            callers,
            listens: front_only(network::CALLER_PORT).unwrap_or(metrics),
            busy: false,
        })
    }
}

/// Waits until connections to `addr` are taken, for `patience` at most.
pub async fn until_listening(addr: SocketAddr, patience: Duration) {
    let started_at = Instant::now();
    while tokio::net::TcpStream::connect(addr).await.is_err() && started_at.elapsed() < patience {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until a front answers a call.
async fn until_served(front: SocketAddr) -> Result<(), SoakError> {
    let served = async {
        for attempt in 0.. {
            let id = format!("probe-{front}-{attempt}");
            let reply = front_client::call(front, Method::GET, "/plain/probe", &id, &[], "").await;
            if reply.is_ok_and(|reply| reply.status == StatusCode::OK) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, served).await;
    waited.map_err(|_| SoakError::NeverServed(front))
}

/// Name of the route that only `version` has.
pub fn version_name(version: u64) -> String {
    format!("version-{version}")
}

fn server_key(id: &str) -> String {
    format!("servers/{id}")
}
