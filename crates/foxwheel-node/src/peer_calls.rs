//! Calls to other processes over `tarpc`: the service, its data types and the client.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxwheel_core::error::Origin;
use foxwheel_core::ids::{ItemId, JobId, Version};
use foxwheel_platform::store::{Object, Write, WriteOutcome};
use foxwheel_policy::batch::item::ItemResult;
use foxwheel_policy::batch::job::JobSpec;
use foxwheel_policy::batch::ledger::{self, RelayedChange, RelayedResponse};
use foxwheel_policy::part_quarantine::PartEvidence;
use foxwheel_policy::quarantine::CrashReport;
use foxwheel_policy::routes::Config;
use foxwheel_policy::server_changes::ServerUpdate;
use foxwheel_policy::stream_origin::{StreamKey, StreamOrigin};
use futures::future::{BoxFuture, Shared};
use futures::FutureExt;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context, serde_transport};

/// Timeout for a connection to a peer. The peer's kernel accepts the connection, so this equals
/// many round trips within a region. When a front behind a cut path waited this long for the
/// ledger writer at each job, it accepted each job 8 ms after its target of 400 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a peer is avoided after a failed call, if there is another way to get the same
/// result. Cut paths last for seconds, and one call per this period detects that the path works
/// again.
const FAILED_PEER_RETRY_DELAY: Duration = Duration::from_millis(2_000);

/// Timeout for a peer's response, in addition to the time for which the call itself may wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout for a call that the peer relays to the store: the timeout of the peer's own call and
/// the time of one hop.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Maximum size of a part of an item's body in one response to a read. A part of this size may be
/// followed by others.
pub const MAX_BODY_PART_BYTES: usize = 256 * 1024;

/// The versions of the configuration and of the server list that a process has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStateVersion {
    /// The version of the configuration in force, or None before the first one.
    pub config_version: Option<Version>,
    /// The store's revision that the server list represents, or None before the first list.
    pub servers_revision: Option<u64>,
}

impl StoreStateVersion {
    /// Returns whether the configuration, the server list or both are newer than in `other`.
    pub fn is_newer_than(self, other: Self) -> bool {
        self.config_version > other.config_version || self.servers_revision > other.servers_revision
    }
}

/// The part of a process's store state that is newer than that of the requesting process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoreState {
    /// Whether the process has the store's current state, because it watches the store itself or
    /// receives the state from a process that does.
    pub is_current: bool,
    /// The configuration in force, if it is newer than the requesting process's.
    pub config: Option<Config>,
    /// The backend servers that changed, or all of them.
    pub servers: ServerUpdate,
}

/// Selects a range of a job's results.
#[serde_as]
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ResultsQuery {
    /// Position of the first result to return.
    pub from: usize,
    /// Maximum number of bytes to return. One result is returned even if it is larger.
    pub max_bytes: usize,
    /// Number of result parts that the reader knows to be stored. The response must include
    /// them.
    pub known_parts: u32,
    /// Maximum wait for the first result.
    #[serde(rename = "wait_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub wait: Duration,
}

/// A worker's response to a read of results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResultsResponse {
    /// Results from the requested position on. Empty if there are none yet.
    Results {
        /// Number of items of the job.
        item_count: usize,
        /// The results.
        results: Vec<ItemResult>,
    },
    /// The worker at this address owns the job.
    #[serde(rename = "Elsewhere")]
    OwnedBy(SocketAddr),
    /// No job with this id was ever accepted.
    NoSuchJob,
    /// The process that was asked does not know at present.
    #[serde(rename = "Unsure")]
    Undetermined,
}

/// A worker's response to a read of an item's body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemBodyResponse {
    /// The body, or the part of it that was asked for.
    Body(Bytes),
    /// The worker at this address owns the job.
    #[serde(rename = "Elsewhere")]
    OwnedBy(SocketAddr),
    /// There is no such job or item.
    NoSuchItem,
    /// The process that was asked does not know at present.
    #[serde(rename = "Unsure")]
    Undetermined,
}

/// The process to ask next after a worker's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextPeer {
    /// No process: the response is final.
    Nobody,
    /// The worker at this address.
    Worker(SocketAddr),
    /// Any other worker that may know.
    Others,
}

impl ResultsResponse {
    /// Returns the process to ask after this response.
    pub fn next_peer(&self) -> NextPeer {
        match self {
            Self::Results { .. } | Self::NoSuchJob => NextPeer::Nobody,
            Self::OwnedBy(owner) => NextPeer::Worker(*owner),
            Self::Undetermined => NextPeer::Others,
        }
    }
}

impl ItemBodyResponse {
    /// Returns the process to ask after this response.
    pub fn next_peer(&self) -> NextPeer {
        match self {
            Self::Body(_) | Self::NoSuchItem => NextPeer::Nobody,
            Self::OwnedBy(owner) => NextPeer::Worker(*owner),
            Self::Undetermined => NextPeer::Others,
        }
    }
}

/// The result of a call to the store that a peer made on behalf of another process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum RelayedResult<T> {
    /// The store responded.
    #[serde(rename = "Settled")]
    Done(T),
    /// The store did not execute the call, for this reason.
    NotDone(String),
    /// The store may have executed the call. The text is the error.
    Unknown(String),
    /// The store did not execute the call because its value is too large.
    TooLarge,
}

/// Calls that processes make to each other. All are idempotent except `store_write`, whose
/// repetition has the effect of repeating its write: only a conditional write is safe to repeat.
#[tarpc::service]
pub trait PeerService {
    /// Returns the peer's store state as far as it is newer than `known`.
    async fn knowledge(known: StoreStateVersion) -> StoreState;
    /// Informs a worker of a job that was just accepted.
    async fn accepted(job: JobSpec);
    /// Informs a worker that a job was ended.
    async fn ended(job: JobId);
    /// Reads results of a job.
    async fn read(job: JobId, read: ResultsQuery) -> ResultsResponse;
    /// Reads the whole body of an item of a job. Fronts of another release call this.
    async fn body(job: JobId, item: ItemId) -> ItemBodyResponse;
    /// Applies a change to the job ledger, if its term is not over.
    async fn change_ledger(change: RelayedChange) -> RelayedResult<RelayedResponse>;
    /// Returns the server crashes that the peer knows.
    async fn crashes() -> Vec<CrashReport>;
    /// Performs a write for a process whose calls the store rejects.
    async fn store_write(write: Write) -> RelayedResult<WriteOutcome>;
    /// Reads an object for a process whose calls the store rejects.
    async fn store_get(kind: String, name: String) -> RelayedResult<Option<Object>>;
    /// Returns where a stream began, if the peer knows it.
    async fn stream_origin(stream: StreamKey) -> Option<StreamOrigin>;
    /// Returns the server crashes that the peer knows, by the parts of the prompts.
    async fn part_evidence() -> PartEvidence;
    /// Reads the body of an item of a job from byte `from` on, at most [`MAX_BODY_PART_BYTES`].
    async fn body_part(job: JobId, item: ItemId, from: usize) -> ItemBodyResponse;
}

/// Error of a call to a peer that got no response.
#[derive(Debug, thiserror::Error)]
#[error("no answer {origin}: {reason}")]
pub struct PeerError {
    /// The step that failed and the peer's address.
    origin: Origin,
    /// The error text of the connection or of tarpc.
    reason: String,
    /// Whether the call cannot have reached the peer.
    not_sent: bool,
}

impl PeerError {
    /// Returns whether the call certainly never reached the peer.
    pub fn is_not_sent(&self) -> bool {
        self.not_sent
    }
}

/// A connection that is open or being opened. All calls wait for the same one.
type Connecting = Shared<BoxFuture<'static, Result<PeerServiceClient, Arc<std::io::Error>>>>;

async fn connect(addr: SocketAddr) -> Result<PeerServiceClient, Arc<std::io::Error>> {
    let connecting = serde_transport::tcp::connect(addr, Bincode::default);
    let transport = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(std::io::Error::from)
        .and_then(|connected| connected)?;
    Ok(PeerServiceClient::new(client::Config::default(), transport).spawn())
}

/// Client for calls to peers. Keeps one connection to each peer, opened when first needed and
/// again after a failure.
#[derive(Debug, Default)]
pub struct PeerCalls {
    /// Sorted by address.
    clients: Mutex<Vec<(SocketAddr, Connecting)>>,
    /// Peers whose last call failed, with the time of the failure. Sorted by address.
    failures: Mutex<Vec<(SocketAddr, Instant)>>,
}

impl PeerCalls {
    /// Returns whether the last call to the peer at `addr` failed, less than
    /// `FAILED_PEER_RETRY_DELAY` ago.
    pub fn has_failed_recently(&self, addr: SocketAddr, now: Instant) -> bool {
        let failures = self.failures.lock().expect("failed peers lock");
        let found = failures.binary_search_by_key(&addr, |(addr, _)| *addr);
        found.is_ok_and(|at| now.duration_since(failures[at].1) < FAILED_PEER_RETRY_DELAY)
    }

    fn record_call(&self, addr: SocketAddr, succeeded: bool) {
        let mut failures = self.failures.lock().expect("failed peers lock");
        failures.retain(|(known, _)| *known != addr);
        if !succeeded {
            let at = failures.partition_point(|(known, _)| *known < addr);
            failures.insert(at, (addr, Instant::now()));
        }
    }

    /// Fetches the store state of the peer at `addr` as far as it is newer than `known`.
    pub async fn fetch_state(
        &self,
        addr: SocketAddr,
        known: StoreStateVersion,
    ) -> Result<StoreState, PeerError> {
        let client = self.client(addr).await?;
        let response = client
            .knowledge(context_with_timeout(CALL_TIMEOUT), known)
            .await;
        self.check_response("fetch store state", addr, response)
    }

    /// Informs the worker at `addr` of an accepted job.
    pub async fn send_accepted_job(&self, addr: SocketAddr, job: JobSpec) -> Result<(), PeerError> {
        let client = self.client(addr).await?;
        let response = client
            .accepted(context_with_timeout(CALL_TIMEOUT), job)
            .await;
        self.check_response("send accepted job", addr, response)
    }

    /// Informs the worker at `addr` that a job was ended.
    pub async fn send_ended_job(&self, addr: SocketAddr, job: JobId) -> Result<(), PeerError> {
        let client = self.client(addr).await?;
        let response = client.ended(context_with_timeout(CALL_TIMEOUT), job).await;
        self.check_response("send ended job", addr, response)
    }

    /// Reads results of a job from the worker at `addr`.
    pub async fn read_results(
        &self,
        addr: SocketAddr,
        job: JobId,
        read: ResultsQuery,
    ) -> Result<ResultsResponse, PeerError> {
        let client = self.client(addr).await?;
        let context = context_with_timeout(read.wait + CALL_TIMEOUT);
        let response = client.read(context, job, read).await;
        self.check_response("read results", addr, response)
    }

    /// Reads an item's body from byte `from` on from the worker at `addr`, at most
    /// [`MAX_BODY_PART_BYTES`].
    pub async fn read_item_body(
        &self,
        addr: SocketAddr,
        job: JobId,
        item: ItemId,
        from: usize,
    ) -> Result<ItemBodyResponse, PeerError> {
        let client = self.client(addr).await?;
        let response = client
            .body_part(context_with_timeout(CALL_TIMEOUT), job, item, from)
            .await;
        self.check_response("read item body", addr, response)
    }

    /// Requests a change of the job ledger from the worker at `addr`.
    pub async fn change_ledger(
        &self,
        addr: SocketAddr,
        change: RelayedChange,
    ) -> Result<RelayedResult<RelayedResponse>, PeerError> {
        let client = self.client(addr).await?;
        let context = context_with_timeout(ledger::LEDGER_WRITER_TIMEOUT);
        let response = client.change_ledger(context, change).await;
        self.check_response("change ledger", addr, response)
    }

    /// Fetches the server crashes that the peer at `addr` knows.
    pub async fn fetch_crashes(&self, addr: SocketAddr) -> Result<Vec<CrashReport>, PeerError> {
        let client = self.client(addr).await?;
        let response = client.crashes(context_with_timeout(CALL_TIMEOUT)).await;
        self.check_response("fetch server crashes", addr, response)
    }

    /// Fetches the server crashes that the peer at `addr` knows, by the parts of the prompts.
    pub async fn fetch_part_evidence(&self, addr: SocketAddr) -> Result<PartEvidence, PeerError> {
        let client = self.client(addr).await?;
        let context = context_with_timeout(CALL_TIMEOUT);
        let response = client.part_evidence(context).await;
        self.check_response("fetch crashes by prompt part", addr, response)
    }

    /// Fetches where a stream began from the peer at `addr`, or `None` if the peer does not know.
    pub async fn fetch_origin(
        &self,
        addr: SocketAddr,
        stream: StreamKey,
    ) -> Result<Option<StreamOrigin>, PeerError> {
        let client = self.client(addr).await?;
        let response = client
            .stream_origin(context_with_timeout(CALL_TIMEOUT), stream)
            .await;
        self.check_response("fetch origin of a stream", addr, response)
    }

    /// Performs a write to the store through the peer at `addr`.
    pub async fn store_write(
        &self,
        addr: SocketAddr,
        write: Write,
    ) -> Result<RelayedResult<WriteOutcome>, PeerError> {
        let client = self.client(addr).await?;
        let response = client
            .store_write(context_with_timeout(STORE_TIMEOUT), write)
            .await;
        self.check_response("write through peer", addr, response)
    }

    /// Reads an object of the store through the peer at `addr`. Returns None if the object does
    /// not exist.
    pub async fn store_get(
        &self,
        addr: SocketAddr,
        kind: String,
        name: String,
    ) -> Result<RelayedResult<Option<Object>>, PeerError> {
        let client = self.client(addr).await?;
        let response = client
            .store_get(context_with_timeout(STORE_TIMEOUT), kind, name)
            .await;
        self.check_response("read through peer", addr, response)
    }

    async fn client(&self, addr: SocketAddr) -> Result<PeerServiceClient, PeerError> {
        let connecting = self.connection_to(addr);
        connecting.clone().await.map_err(|e| {
            let mut clients = self.clients.lock().expect("peer clients lock");
            clients.retain(|(_, known)| !known.ptr_eq(&connecting));
            self.record_call(addr, false);
            PeerError {
                origin: Origin::new("connect to peer", addr.to_string()),
                reason: e.to_string(),
                not_sent: true,
            }
        })
    }

    /// Returns the connection to the peer at `addr`, which is opened if there is none.
    fn connection_to(&self, addr: SocketAddr) -> Connecting {
        let mut clients = self.clients.lock().expect("peer clients lock");
        match clients.binary_search_by_key(&addr, |(addr, _)| *addr) {
            Ok(at) => clients[at].1.clone(),
            Err(at) => {
                let connecting = connect(addr).boxed().shared();
                clients.insert(at, (addr, connecting.clone()));
                connecting
            }
        }
    }

    /// Records the outcome of a call and drops the connection after a failure, because a broken
    /// connection may never respond again.
    fn check_response<T>(
        &self,
        step: &'static str,
        addr: SocketAddr,
        response: Result<T, client::RpcError>,
    ) -> Result<T, PeerError> {
        self.record_call(addr, response.is_ok());
        response.map_err(|e| {
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

fn context_with_timeout(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}
