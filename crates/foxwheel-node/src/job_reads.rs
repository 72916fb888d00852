//! Reads of accepted jobs at a front: their results and the bodies of their items, from the worker that
//! runs the job or from the store.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_callers::connections::CallerConnection;
use foxwheel_core::ids::{ItemId, JobId};
use foxwheel_core::metric_names::{Counter, RefusalReason};
use foxwheel_platform::batch_api;
use foxwheel_policy::batch::ownership;
use hyper::StatusCode;
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::job_store::JobStore;
use crate::node::Node;
use crate::peer_calls::{
    ItemBodyResponse, NextPeer, PeerError, ResultsQuery, ResultsResponse, MAX_BODY_PART_BYTES,
};
use crate::responses::{self, CallerResponse};

/// Value of `retry-after` for reads that fail because the store or the workers are unavailable; about the
/// time until a store call is retried.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Upper bound on how long a read may wait for its first result.
const MAX_READ_WAIT: Duration = Duration::from_millis(1_000);

/// Time limit for reading a job from the store when no worker responds.
const LOAD_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Number of jobs that are read from the store at the same time. Each is in memory as a whole.
const MAX_STORE_READS: usize = 2;

/// Maximum size of the results in one response to a read. One result is returned even if it is larger.
const MAX_PAGE_BYTES: usize = 256 * 1024;

/// Size of all copies of a page of results while it is read: the results and their JSON.
const PAGE_COPIES: usize = 2;

/// Size of all copies of a part of an item's body while it is read: the message and the part.
const BODY_PART_COPIES: usize = 2;

/// Maximum number of workers that one read queries: the job's preferred worker, its owner, and
/// one more in case the job is changing its owner.
const MAX_WORKERS_QUERIED: u32 = 3;

/// Reads jobs for callers.
#[derive(Debug)]
pub struct JobReads {
    node: Arc<Node>,
    store: Arc<JobStore>,
    /// One permit for each job that may be read from the store at the same time.
    store_reads: Semaphore,
}

impl JobReads {
    /// Creates the reads of the front `node`.
    pub fn new(node: Arc<Node>, store: Arc<JobStore>) -> Self {
        Self {
            node,
            store,
            store_reads: Semaphore::new(MAX_STORE_READS),
        }
    }

    /// Reads the results of `job` from position `from` on.
    pub async fn read_results(
        &self,
        job: JobId,
        from: usize,
        wait: Duration,
        connection: &CallerConnection,
    ) -> CallerResponse {
        let Ok(mut held) = connection.hold(PAGE_COPIES * MAX_PAGE_BYTES) else {
            return self.refuse_read(&job);
        };
        let workers = self.node.peers.live_workers(Instant::now());
        let query = ResultsQuery {
            from,
            max_bytes: MAX_PAGE_BYTES,
            known_parts: ownership::known_stored_parts(&job, &workers),
            wait: wait.min(MAX_READ_WAIT),
        };
        let mut worker_query = WorkerQuery::new(self.workers_to_query(&job));
        while let Some(addr) = worker_query.next_worker() {
            let response = self
                .node
                .peer_calls
                .read_results(addr, job.clone(), query)
                .await;
            worker_query.record_response(response, ResultsResponse::next_peer, &job);
        }
        let response = match worker_query.result {
            Some(response) => response,
            None => self.read_from_store(&job, from).await,
        };
        match response {
            ResultsResponse::Results {
                item_count,
                results,
            } => {
                let bytes = results
                    .iter()
                    .map(|result| result.output.len())
                    .sum::<usize>();
                if held.grow_to(PAGE_COPIES * bytes).is_err() {
                    return self.refuse_read(&job);
                }
                let page = batch_api::encode_read(item_count, from, &results);
                held.shrink_to(page.len());
                responses::json(held.attach_to(page))
            }
            ResultsResponse::NoSuchJob => {
                log::warn!(request_id = job; "read of a job that does not exist");
                responses::empty(StatusCode::NOT_FOUND)
            }
            ResultsResponse::Undetermined | ResultsResponse::OwnedBy(_) => {
                log::warn!(request_id = job; "job cannot be read at present");
                responses::not_run(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER)
            }
        }
    }

    /// Responds that a read finds no room beside the requests of other callers.
    fn refuse_read(&self, job: &JobId) -> CallerResponse {
        log::warn!(request_id = job; "read refused: no room for its response");
        let reason = RefusalReason::NoRoom;
        self.node.metrics.incr(Counter::Refused(reason));
        responses::no_room()
    }

    /// Reads the body of `item`.
    pub async fn read_item_body(
        &self,
        job: JobId,
        item: ItemId,
        connection: &CallerConnection,
    ) -> CallerResponse {
        const NEXT_PART_BYTES: usize = BODY_PART_COPIES * MAX_BODY_PART_BYTES;
        let Ok(mut held) = connection.hold(NEXT_PART_BYTES) else {
            return self.refuse_read(&job);
        };
        let mut body = Vec::new();
        loop {
            let part = match self.read_body_part(&job, &item, body.len()).await {
                ItemBodyResponse::Body(part) => part,
                ItemBodyResponse::NoSuchItem => return responses::empty(StatusCode::NOT_FOUND),
                ItemBodyResponse::Undetermined | ItemBodyResponse::OwnedBy(_) => {
                    log::warn!(request_id = item, job; "item cannot be read at present");
                    return responses::not_run(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER);
                }
            };
            let held_bytes = body.len() + part.len() + NEXT_PART_BYTES;
            if held.grow_to(held_bytes).is_err() {
                return self.refuse_read(&job);
            }
            body.reserve_exact(part.len());
            body.extend_from_slice(&part);
            if part.len() != MAX_BODY_PART_BYTES {
                break;
            }
        }
        held.shrink_to(body.len());
        let mut response = responses::empty(StatusCode::OK);
        *response.body_mut() = responses::full_body(held.attach_to(body));
        response
    }

    /// Reads the body of `item` from byte `from` on, as a worker sends it in parts, or the rest of it from
    /// the store.
    async fn read_body_part(&self, job: &JobId, item: &ItemId, from: usize) -> ItemBodyResponse {
        let mut worker_query = WorkerQuery::new(self.workers_to_query(job));
        while let Some(addr) = worker_query.next_worker() {
            let calls = &self.node.peer_calls;
            let reading = calls.read_item_body(addr, job.clone(), item.clone(), from);
            worker_query.record_response(reading.await, ItemBodyResponse::next_peer, job);
        }
        match worker_query.result {
            Some(response) => response,
            None => self.body_from_store(job, item, from).await,
        }
    }

    /// Returns the addresses of the workers to query about a job: its owners, then its preferred
    /// worker.
    fn workers_to_query(&self, job: &JobId) -> Vec<SocketAddr> {
        let now = Instant::now();
        let workers = self.node.peers.live_workers(now);
        let owners = workers.iter().filter(|worker| worker.owns(job));
        let mut hosts: Vec<&str> = owners.map(|worker| worker.host.as_str()).collect();
        if let Some(preferred) = ownership::preferred_worker(job, &workers) {
            hosts.push(&preferred.host);
        }
        hosts.dedup();
        hosts
            .into_iter()
            .filter_map(|host| self.node.peers.live_worker_addr(host, now))
            .collect()
    }

    /// Waits until a job may be read from the store, or returns `None` if that takes too long.
    async fn begin_store_read(&self, job: &JobId) -> Option<SemaphorePermit<'_>> {
        match tokio::time::timeout(LOAD_TIMEOUT, self.store_reads.acquire()).await {
            Ok(permit) => permit.ok(),
            Err(_) => {
                log::warn!(request_id = job; "job not read from the store: others are being read");
                None
            }
        }
    }

    async fn read_from_store(&self, job: &JobId, from: usize) -> ResultsResponse {
        let Some(_permit) = self.begin_store_read(job).await else {
            return ResultsResponse::Undetermined;
        };
        let deadline = Instant::now() + LOAD_TIMEOUT;
        match self.store.load_progress(job, deadline).await {
            Ok(Some(progress)) => ResultsResponse::Results {
                item_count: progress.spec.items.len(),
                results: progress.stored_results.into_iter().skip(from).collect(),
            },
            Ok(None) => ResultsResponse::NoSuchJob,
            Err(e) => {
                log::info!(request_id = job, error:% = e; "could not read the job from the store");
                ResultsResponse::Undetermined
            }
        }
    }

    async fn body_from_store(&self, job: &JobId, item: &ItemId, from: usize) -> ItemBodyResponse {
        let Some(_permit) = self.begin_store_read(job).await else {
            return ItemBodyResponse::Undetermined;
        };
        let deadline = Instant::now() + LOAD_TIMEOUT;
        match self.store.load_job(job, deadline).await {
            Ok(found) => found
                .and_then(|job| job.items.into_iter().find(|spec| spec.id == *item))
                .map_or(ItemBodyResponse::NoSuchItem, |spec| {
                    ItemBodyResponse::Body(spec.body.slice(from.min(spec.body.len())..))
                }),
            Err(e) => {
                log::info!(request_id = item, error:% = e; "could not read the item from the store");
                ItemBodyResponse::Undetermined
            }
        }
    }
}

/// Queries workers about a job one after the other until a response is conclusive.
struct WorkerQuery<R> {
    workers: VecDeque<SocketAddr>,
    /// Number of workers that may still be queried.
    queries_left: u32,
    /// The conclusive response.
    result: Option<R>,
}

impl<R> WorkerQuery<R> {
    fn new(workers: Vec<SocketAddr>) -> Self {
        Self {
            workers: workers.into(),
            queries_left: MAX_WORKERS_QUERIED,
            result: None,
        }
    }

    /// Returns the next worker to query, or `None` if there is a conclusive response, no
    /// worker is left or the limit is reached.
    fn next_worker(&mut self) -> Option<SocketAddr> {
        if self.result.is_some() || self.queries_left == 0 {
            return None;
        }
        self.queries_left -= 1;
        self.workers.pop_front()
    }

    fn record_response(
        &mut self,
        response: Result<R, PeerError>,
        next_peer: impl Fn(&R) -> NextPeer,
        job: &JobId,
    ) {
        match response {
            Ok(response) => match next_peer(&response) {
                NextPeer::Nobody => self.result = Some(response),
                NextPeer::Worker(owner) => self.workers.push_front(owner),
                NextPeer::Others => {}
            },
            Err(e) => log::info!(request_id = job, error:% = e; "worker did not respond to a read"),
        }
    }
}
