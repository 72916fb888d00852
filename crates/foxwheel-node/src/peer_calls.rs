//! Calls to other processes, over `tarpc`.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use foxwheel_core::error::Origin;
use foxwheel_core::ids::{ItemId, JobId, Version};
use foxwheel_platform::store::{Object, Write, WriteOutcome};
use foxwheel_policy::batch::item::ItemResult;
use foxwheel_policy::batch::job::JobSpec;
use foxwheel_policy::batch::ledger::{self, LedgerChange, LedgerResponse};
use foxwheel_policy::quarantine::CrashReport;
use foxwheel_policy::routes::Config;
use foxwheel_policy::server_changes::ServerUpdate;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context, serde_transport};

/// Longest wait for a connection to a peer: the peer's kernel opens it, so this is many round
/// trips within a region. A front behind a cut path accepted each job 8 ms after its target of
/// 400 ms when it waited so long for the ledger's keeper.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a peer that did not answer is not asked where another way leads to the same end.
/// Cuts last for seconds; one call in that time shows that they are over.
const AVOID_FAILED_FOR: Duration = Duration::from_millis(2_000);

/// Longest wait for a peer's answer, beside what the call itself may wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest wait for a call that the peer makes to the store: its own bound and a hop.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_700);

/// How new a process's knowledge of the platform is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStateVersion {
    /// The version of the configuration in force there, or none before the first.
    pub config_version: Option<Version>,
    /// The store's revision that its list of servers shows, or none before the first.
    pub servers_revision: Option<u64>,
}

impl StoreStateVersion {
    /// Whether one of both is newer than in `other`.
    pub fn is_newer_than(self, other: Self) -> bool {
        self.config_version > other.config_version || self.servers_revision > other.servers_revision
    }
}

/// What a process knows of the platform, beyond what the one that asks knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoreState {
    /// It follows the store, which answers, or is told by a process that does.
    pub is_current: bool,
    /// The configuration in force there, if it is newer.
    pub config: Option<Config>,
    /// The backend servers listed there.
    pub servers: ServerUpdate,
}

/// Which results to read.
#[serde_as]
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ResultsQuery {
    /// First position wanted.
    pub from: usize,
    /// Most bytes of results; one result is answered even if it is larger.
    pub max_bytes: usize,
    /// Parts of the results that are known to be stored: the answer must know them.
    pub known_parts: u32,
    /// Longest wait for a first result.
    #[serde(rename = "wait_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub wait: Duration,
}

/// A worker's answer to a read of results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResultsResponse {
    /// Results from the wanted position on; empty if there are none yet.
    Results {
        /// Items of the job.
        item_count: usize,
        /// The results.
        results: Vec<ItemResult>,
    },
    /// The worker at this address runs the job.
    Elsewhere(SocketAddr),
    /// No such job was ever accepted.
    NoSuchJob,
    /// It cannot be told now.
    Unsure,
}

/// A worker's answer to a read of an item's body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemBodyResponse {
    /// The body.
    Body(Vec<u8>),
    /// The worker at this address runs the job.
    Elsewhere(SocketAddr),
    /// No such job or item.
    NoSuchItem,
    /// It cannot be told now.
    Unsure,
}

/// What a worker's answer means for whom to ask next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextPeer {
    /// Nobody: the answer settles the question.
    Nobody,
    /// The worker at this address.
    Worker(SocketAddr),
    /// Whoever else may know.
    Others,
}

impl ResultsResponse {
    /// Whom to ask after this answer.
    pub fn next_peer(&self) -> NextPeer {
        match self {
            Self::Results { .. } | Self::NoSuchJob => NextPeer::Nobody,
            Self::Elsewhere(holder) => NextPeer::Worker(*holder),
            Self::Unsure => NextPeer::Others,
        }
    }
}

impl ItemBodyResponse {
    /// Whom to ask after this answer.
    pub fn next_peer(&self) -> NextPeer {
        match self {
            Self::Body(_) | Self::NoSuchItem => NextPeer::Nobody,
            Self::Elsewhere(holder) => NextPeer::Worker(*holder),
            Self::Unsure => NextPeer::Others,
        }
    }
}

/// What came of a call to the store that a peer made for another process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum RelayedResult<T> {
    /// The store answered.
    Settled(T),
    /// The store did not act.
    NotDone(String),
    /// The store may have acted.
    Unknown(String),
}

/// Calls that processes make to each other; all idempotent but `store_write`, which is as
/// conditional as its write.
#[tarpc::service]
pub trait PeerService {
    /// What the peer knows of the platform that a process which knows `known` does not.
    async fn knowledge(known: StoreStateVersion) -> StoreState;
    /// Tells a worker of a job that was just accepted.
    async fn accepted(job: JobSpec);
    /// Tells a worker that a job was ended.
    async fn ended(job: JobId);
    /// Reads results.
    async fn read(job: JobId, read: ResultsQuery) -> ResultsResponse;
    /// Reads the body of an item.
    async fn body(job: JobId, item: ItemId) -> ItemBodyResponse;
    /// Makes a change of the ledger.
    async fn change_ledger(change: LedgerChange) -> RelayedResult<LedgerResponse>;
    /// The crashes of servers that the peer knows of.
    async fn crashes() -> Vec<CrashReport>;
    /// Performs a write for a process that the store turns away.
    async fn store_write(write: Write) -> RelayedResult<WriteOutcome>;
    /// Reads an object for a process that the store turns away.
    async fn store_get(kind: String, name: String) -> RelayedResult<Option<Object>>;
}

/// Why a call to a peer got no answer.
#[derive(Debug, thiserror::Error)]
#[error("no answer {origin}: {reason}")]
pub struct PeerError {
    /// The step and the peer's address.
    origin: Origin,
    /// What the connection or tarpc said.
    reason: String,
    /// The peer cannot have received the call.
    not_sent: bool,
}

impl PeerError {
    /// Whether the peer certainly never received the call.
    pub fn is_not_sent(&self) -> bool {
        self.not_sent
    }
}

/// Connections to peers; one each, opened when first needed and after a failure.
#[derive(Debug, Default)]
pub struct PeerCalls {
    /// Sorted by address.
    clients: Mutex<Vec<(SocketAddr, PeerServiceClient)>>,
    /// Peers whose last call failed, and when; sorted by address.
    failed: Mutex<Vec<(SocketAddr, Instant)>>,
}

impl PeerCalls {
    /// Whether a call to the peer at `addr` failed a short while ago and none succeeded since.
    pub fn has_failed_recently(&self, addr: SocketAddr, now: Instant) -> bool {
        let failed = self.failed.lock().expect("failed peers lock");
        let found = failed.binary_search_by_key(&addr, |(addr, _)| *addr);
        found.is_ok_and(|at| now.duration_since(failed[at].1) < AVOID_FAILED_FOR)
    }

    fn note_outcome(&self, addr: SocketAddr, answered: bool) {
        let mut failed = self.failed.lock().expect("failed peers lock");
        failed.retain(|(known, _)| *known != addr);
        if !answered {
            let at = failed.partition_point(|(known, _)| *known < addr);
            failed.insert(at, (addr, Instant::now()));
        }
    }

    /// What the peer at `addr` knows of the platform beyond `known`.
    pub async fn fetch_state(
        &self,
        addr: SocketAddr,
        known: StoreStateVersion,
    ) -> Result<StoreState, PeerError> {
        let client = self.client(addr).await?;
        let answer = client.knowledge(context_for(CALL_TIMEOUT), known).await;
        self.checked("ask for knowledge", addr, answer)
    }

    /// Tells the worker at `addr` of an accepted job.
    pub async fn send_accepted_job(&self, addr: SocketAddr, job: JobSpec) -> Result<(), PeerError> {
        let client = self.client(addr).await?;
        let answer = client.accepted(context_for(CALL_TIMEOUT), job).await;
        self.checked("hand over job", addr, answer)
    }

    /// Tells the worker at `addr` that a job was ended.
    pub async fn send_ended_job(&self, addr: SocketAddr, job: JobId) -> Result<(), PeerError> {
        let client = self.client(addr).await?;
        let answer = client.ended(context_for(CALL_TIMEOUT), job).await;
        self.checked("tell of ended job", addr, answer)
    }

    /// Reads results from the worker at `addr`.
    pub async fn read_results(
        &self,
        addr: SocketAddr,
        job: JobId,
        read: ResultsQuery,
    ) -> Result<ResultsResponse, PeerError> {
        let client = self.client(addr).await?;
        let context = context_for(read.wait + CALL_TIMEOUT);
        let answer = client.read(context, job, read).await;
        self.checked("read results", addr, answer)
    }

    /// Reads an item's body from the worker at `addr`.
    pub async fn read_item_body(
        &self,
        addr: SocketAddr,
        job: JobId,
        item: ItemId,
    ) -> Result<ItemBodyResponse, PeerError> {
        let client = self.client(addr).await?;
        let answer = client.body(context_for(CALL_TIMEOUT), job, item).await;
        self.checked("read item body", addr, answer)
    }

    /// Has the worker at `addr` make a change of the ledger.
    pub async fn change_ledger(
        &self,
        addr: SocketAddr,
        change: LedgerChange,
    ) -> Result<RelayedResult<LedgerResponse>, PeerError> {
        let client = self.client(addr).await?;
        let context = context_for(ledger::LEDGER_WRITER_TIMEOUT);
        let answer = client.change_ledger(context, change).await;
        self.checked("change ledger", addr, answer)
    }

    /// The crashes of servers that the peer at `addr` knows of.
    pub async fn fetch_crashes(&self, addr: SocketAddr) -> Result<Vec<CrashReport>, PeerError> {
        let client = self.client(addr).await?;
        let answer = client.crashes(context_for(CALL_TIMEOUT)).await;
        self.checked("ask for crashes", addr, answer)
    }

    /// Has the peer at `addr` perform a write.
    pub async fn store_write(
        &self,
        addr: SocketAddr,
        write: Write,
    ) -> Result<RelayedResult<WriteOutcome>, PeerError> {
        let client = self.client(addr).await?;
        let answer = client.store_write(context_for(STORE_TIMEOUT), write).await;
        self.checked("write through peer", addr, answer)
    }

    /// Has the peer at `addr` read an object.
    pub async fn store_get(
        &self,
        addr: SocketAddr,
        kind: String,
        name: String,
    ) -> Result<RelayedResult<Option<Object>>, PeerError> {
        let client = self.client(addr).await?;
        let answer = client
            .store_get(context_for(STORE_TIMEOUT), kind, name)
            .await;
        self.checked("read through peer", addr, answer)
    }

    async fn client(&self, addr: SocketAddr) -> Result<PeerServiceClient, PeerError> {
        if let Some(client) = self.known(addr) {
            return Ok(client);
        }
        let connecting = serde_transport::tcp::connect(addr, Bincode::default);
        let transport = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(std::io::Error::from)
            .and_then(|connected| connected)
            .map_err(|e| {
                self.note_outcome(addr, false);
                PeerError {
                    origin: Origin::new("connect to peer", addr.to_string()),
                    reason: e.to_string(),
                    not_sent: true,
                }
            })?;
        let client = PeerServiceClient::new(client::Config::default(), transport).spawn();
        let mut clients = self.clients.lock().expect("peer clients lock");
        match clients.binary_search_by_key(&addr, |(addr, _)| *addr) {
            Ok(at) => clients[at].1 = client.clone(),
            Err(at) => clients.insert(at, (addr, client.clone())),
        }
        Ok(client)
    }

    fn known(&self, addr: SocketAddr) -> Option<PeerServiceClient> {
        let clients = self.clients.lock().expect("peer clients lock");
        let found = clients.binary_search_by_key(&addr, |(addr, _)| *addr);
        found.ok().map(|at| clients[at].1.clone())
    }

    /// Forgets the connection after a failure: it may be silent for good.
    fn checked<T>(
        &self,
        step: &'static str,
        addr: SocketAddr,
        answer: Result<T, client::RpcError>,
    ) -> Result<T, PeerError> {
        self.note_outcome(addr, answer.is_ok());
        answer.map_err(|e| {
            let mut clients = self.clients.lock().expect("peer clients lock");
            clients.retain(|(known, _)| *known != addr);
            PeerError {
                origin: Origin::new(step, addr.to_string()),
                reason: e.to_string(),
                not_sent: false,
            }
        })
    }
}

fn context_for(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}
