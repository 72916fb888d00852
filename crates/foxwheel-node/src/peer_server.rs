//! Serves the calls of other processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use foxwheel_callers::connections::{CallerConnection, CallerConnections};
use foxwheel_callers::listener;
use foxwheel_callers::transport::CallerTransport;
use foxwheel_core::ids::{ItemId, JobId};
use foxwheel_platform::store::{Object, StoreError, Write, WriteOutcome};
use foxwheel_policy::batch::job::JobSpec;
use foxwheel_policy::batch::ledger::{RelayedChange, RelayedResponse};
use foxwheel_policy::caller_connections::Activity;
use foxwheel_policy::part_quarantine::PartEvidence;
use foxwheel_policy::quarantine::CrashReport;
use foxwheel_policy::routes::Config;
use foxwheel_policy::stream_origin::{StreamKey, StreamOrigin};
use futures::StreamExt;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{context, serde_transport};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

use crate::caller_server;
use crate::node::Node;
use crate::peer_calls::{
    ItemBodyResponse, PeerService, RelayedResult, ResultsQuery, ResultsResponse, StoreState,
    StoreStateVersion, MAX_BODY_PART_BYTES,
};
use crate::worker_jobs::WorkerJobs;

#[derive(Clone)]
struct PeerServiceHandler {
    node: Arc<Node>,
    /// The worker's jobs. None on a front, which responds that it does not know.
    jobs: Option<Arc<WorkerJobs>>,
}

impl PeerService for PeerServiceHandler {
    async fn knowledge(self, _: context::Context, known: StoreStateVersion) -> StoreState {
        let is_newer = |config: &Arc<Config>| Some(config.version) > known.config_version;
        let config = self.node.config().filter(is_newer);
        let is_current = self.node.is_current(Instant::now());
        let directory = self.node.directory.lock().expect("directory lock");
        StoreState {
            is_current,
            config: config.map(|config| config.as_ref().clone()),
            servers: directory.updates_since(known.servers_revision),
        }
    }

    async fn accepted(self, _: context::Context, job: JobSpec) {
        if let Some(jobs) = &self.jobs {
            jobs.start_new_job(job);
        }
    }

    async fn ended(self, _: context::Context, job: JobId) {
        if let Some(jobs) = &self.jobs {
            jobs.end_job_of_caller(&job);
        }
    }

    async fn read(self, _: context::Context, job: JobId, read: ResultsQuery) -> ResultsResponse {
        match &self.jobs {
            Some(jobs) => match jobs.remote_owner(&job) {
                Some(owner) => ResultsResponse::OwnedBy(owner),
                None => jobs.read_results(&job, read).await,
            },
            None => ResultsResponse::Undetermined,
        }
    }

    async fn body(self, _: context::Context, job: JobId, item: ItemId) -> ItemBodyResponse {
        self.read_item_body(&job, &item).await
    }

    async fn change_ledger(
        self,
        _: context::Context,
        change: RelayedChange,
    ) -> RelayedResult<RelayedResponse> {
        match &self.jobs {
            Some(jobs) => jobs.ledger_writer.submit(&jobs.store, change).await,
            None => RelayedResult::NotDone("not a worker".to_owned()),
        }
    }

    async fn crashes(self, _: context::Context) -> Vec<CrashReport> {
        let quarantine = self.node.quarantine.lock().expect("quarantine lock");
        quarantine.reports(Instant::now())
    }

    async fn store_write(self, _: context::Context, write: Write) -> RelayedResult<WriteOutcome> {
        to_relayed(self.node.store.write(&write).await)
    }

    async fn store_get(
        self,
        _: context::Context,
        kind: String,
        name: String,
    ) -> RelayedResult<Option<Object>> {
        to_relayed(self.node.store.get(&kind, &name).await)
    }

    async fn stream_origin(self, _: context::Context, stream: StreamKey) -> Option<StreamOrigin> {
        self.node.known_origin(stream)
    }

    async fn part_evidence(self, _: context::Context) -> PartEvidence {
        let quarantine = self.node.lock_part_quarantine();
        quarantine.evidence(Instant::now())
    }

    async fn body_part(
        self,
        _: context::Context,
        job: JobId,
        item: ItemId,
        from: usize,
    ) -> ItemBodyResponse {
        match self.read_item_body(&job, &item).await {
            ItemBodyResponse::Body(body) => {
                let from = from.min(body.len());
                let end = body.len().min(from.saturating_add(MAX_BODY_PART_BYTES));
                ItemBodyResponse::Body(body.slice(from..end))
            }
            other => other,
        }
    }
}

impl PeerServiceHandler {
    async fn read_item_body(&self, job: &JobId, item: &ItemId) -> ItemBodyResponse {
        match &self.jobs {
            Some(jobs) => match jobs.remote_owner(job) {
                Some(owner) => ItemBodyResponse::OwnedBy(owner),
                None => jobs.read_item_body(job, item).await,
            },
            None => ItemBodyResponse::Undetermined,
        }
    }
}

fn to_relayed<T>(result: Result<T, StoreError>) -> RelayedResult<T> {
    match result {
        Ok(response) => RelayedResult::Done(response),
        Err(StoreError::TooLarge { .. }) => RelayedResult::TooLarge,
        Err(e) if e.is_not_done() => RelayedResult::NotDone(e.to_string()),
        Err(e) => RelayedResult::Unknown(e.to_string()),
    }
}

/// Listens on `addr` and serves the calls of other processes in the background until cancelled.
/// Returns an error if `addr` cannot be bound.
pub async fn serve(
    node: Arc<Node>,
    jobs: Option<Arc<WorkerJobs>>,
    addr: SocketAddr,
    cancel: CancellationToken,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(addr).await?;
    let metrics = node.metrics.clone();
    let limits = node.settings.host_limits().for_peers();
    let connections = CallerConnections::new(limits, move |reason| {
        metrics.incr(caller_server::close_counter(reason));
    });
    let handler = PeerServiceHandler { node, jobs };
    let serve =
        move |connection, transport| serve_connection(connection, transport, handler.clone());
    listener::spawn_accept_loop(listener, connections, cancel, serve);
    Ok(())
}

/// Serves the calls of one connection. It counts as idle between two calls, although those before may
/// still be running.
async fn serve_connection(
    connection: CallerConnection,
    transport: CallerTransport<TcpStream>,
    handler: PeerServiceHandler,
) {
    let frames = Framed::new(transport, LengthDelimitedCodec::new());
    let messages = serde_transport::new(frames, Bincode::default());
    BaseChannel::with_defaults(messages)
        .execute(handler.serve())
        .for_each(|call| {
            connection.set_activity(Activity::Serving);
            connection.set_activity(Activity::Idle);
            tokio::spawn(call);
            std::future::ready(())
        })
        .await;
}
