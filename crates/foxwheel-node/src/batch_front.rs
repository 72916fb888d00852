//! Serves the callers' batch job requests at a front: submitting a job, reading its results
//! and item bodies, and ending it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxwheel_callers::connections::{CallerConnection, HeldBytes};
use foxwheel_core::ids::{ItemId, JobId};
use foxwheel_core::metric_names::{Counter, RefusalReason, Timer};
use foxwheel_core::time;
use foxwheel_platform::batch_api::{self, JobCall};
use foxwheel_platform::online::CallerRequest;
use foxwheel_platform::store::StoreError;
use foxwheel_platform::submission;
use foxwheel_policy::batch::job::{JobProgress, JobSpec};
use foxwheel_policy::batch::ledger::{Admission, JobStatus, LedgerChange, LedgerResponse};
use foxwheel_policy::batch::ownership;
use foxwheel_policy::caller_connections::SMALL_BYTES;
use foxwheel_policy::routes::Route;
use hyper::StatusCode;
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::job_store::{JobStore, JobStoreError};
use crate::ledger_writer;
use crate::node::Node;
use crate::peer_calls::{ItemBodyResponse, NextPeer, PeerError, ResultsQuery, ResultsResponse};
use crate::responses::{self, CallerResponse};
use crate::settings::Role;

/// Time limit for storing a submission. Callers wait about four seconds for the response.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time limit for recording the end of a job in the ledger.
const END_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Upper bound on how long a read may wait for its first result.
const MAX_READ_WAIT: Duration = Duration::from_millis(1_000);

/// Time limit for reading a job from the store when no worker responds.
const LOAD_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Number of jobs that are read from the store at the same time. Each is in memory as a whole.
const MAX_STORE_READS: usize = 2;

/// Value of `retry-after` for calls that fail because the store or the workers are
/// unavailable; about the time until a store call is retried.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Value of `retry-after` for submissions over the quota. Items finish within seconds, so
/// quota becomes free soon.
const QUOTA_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Value of `retry-after` for submissions that find no room beside those of other callers.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Size of all copies of a submission, relative to its body, while the job is stored: its items, their
/// encoded text, and the object that is written.
const SUBMISSION_COPIES: usize = 3;

/// How long a large submission waits for its turn.
const TURN_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum size of the results in one response to a read. One result is returned even if it is larger.
const MAX_PAGE_BYTES: usize = 256 * 1024;

/// Size of all copies of a page of results while it is read: the results and their JSON.
const PAGE_COPIES: usize = 2;

/// Maximum number of workers that one read queries: the job's preferred worker, its owner, and
/// one more in case the job is changing its owner.
const MAX_WORKERS_QUERIED: u32 = 3;

/// Maximum length of a job id, which becomes part of object names in the store.
const MAX_ID_BYTES: usize = 128;

/// Serves batch job requests at a front.
#[derive(Debug)]
pub struct BatchFront {
    node: Arc<Node>,
    store: JobStore,
    /// One permit for each job that may be read from the store at the same time.
    store_reads: Semaphore,
    /// The permit of the large submission that waits for room.
    large_submissions: Semaphore,
}

impl BatchFront {
    /// Creates the batch service of the front `node`.
    pub fn new(node: Arc<Node>) -> Self {
        Self {
            store: JobStore::new(Arc::clone(&node)),
            store_reads: Semaphore::new(MAX_STORE_READS),
            large_submissions: Semaphore::new(1),
            node,
        }
    }

    /// Accepts the job in `body` on `route`, or responds why it cannot be accepted.
    ///
    /// The response is 202 only once the job is stored and entered in the ledger.
    pub async fn submit(
        &self,
        caller: &CallerRequest,
        route: &Route,
        body: Bytes,
        connection: &CallerConnection,
    ) -> CallerResponse {
        if !is_valid_id(&caller.id) {
            return responses::text(
                StatusCode::BAD_REQUEST,
                "the job's id is missing or not valid",
            );
        }
        let Some(held) = self.hold_copies(connection, body.len()).await else {
            log::warn!(request_id = caller.id, bytes = body.len(); "job refused: no room to store it");
            let reason = RefusalReason::NoRoom;
            self.node.metrics.incr(Counter::Refused(reason));
            return responses::not_run(StatusCode::SERVICE_UNAVAILABLE, NO_ROOM_RETRY_AFTER);
        };
        let items = match submission::decode_items(&body) {
            Ok(items) => items,
            Err(e) => {
                log::warn!(request_id = caller.id, error:% = e; "job submission is not valid");
                return responses::text(StatusCode::BAD_REQUEST, &e.to_string());
            }
        };
        drop(body);
        let job = JobSpec {
            id: caller.id.clone(),
            host: caller.host.clone(),
            path: caller.path.clone(),
            route: route.name.clone(),
            submitted_unix: Duration::from_millis(time::unix_ms()),
            items,
        };
        let received_at = Instant::now();
        let accepted = self.accept_job(&job, route).await;
        let took_ms = received_at.elapsed().as_millis() as u64;
        match accepted {
            Ok(Admission::OverQuota) => {
                log::warn!(request_id = job.id, route = route.name, quota_tokens = route.quota_tokens, tokens = job.total_tokens(), took_ms; "job refused: over quota");
                self.node.metrics.incr(Counter::JobOverQuota);
                responses::not_run(StatusCode::TOO_MANY_REQUESTS, QUOTA_RETRY_AFTER)
            }
            Ok(Admission::LedgerFull) => {
                log::warn!(request_id = job.id, route = route.name, took_ms; "job refused: the ledger has no room");
                responses::not_run(StatusCode::SERVICE_UNAVAILABLE, QUOTA_RETRY_AFTER)
            }
            Ok(admission) => {
                log::info!(request_id = job.id, route = route.name, admission:? = admission, tokens = job.total_tokens(), took_ms; "job accepted");
                self.node.metrics.incr(Counter::JobAccepted);
                self.node
                    .metrics
                    .time(Timer::JobAccept, received_at.elapsed());
                if admission == Admission::Accepted {
                    self.send_to_preferred_worker(job, held);
                }
                responses::empty(StatusCode::ACCEPTED)
            }
            Err(SubmitError::NotAccepted(e)) => {
                log::warn!(request_id = job.id, error:% = e, took_ms; "job refused");
                match e.store_error() {
                    Some(StoreError::TooLarge { .. }) => {
                        responses::text(StatusCode::PAYLOAD_TOO_LARGE, &e.to_string())
                    }
                    _ => responses::not_run(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER),
                }
            }
            Err(SubmitError::MaybeAccepted(e)) => {
                log::warn!(request_id = job.id, error:% = e, took_ms; "unknown whether the job was accepted");
                responses::empty(StatusCode::BAD_GATEWAY)
            }
        }
    }

    /// Holds the memory for the copies of a submission. Waits for it, as those before give it back soon.
    /// Large submissions wait one after the other: each has a body already, and they could wait for each
    /// other. Returns `None` if there is no room in time.
    async fn hold_copies(
        &self,
        connection: &CallerConnection,
        body_bytes: usize,
    ) -> Option<HeldBytes> {
        let bytes = SUBMISSION_COPIES * body_bytes;
        if bytes <= SMALL_BYTES {
            return connection.hold(bytes).ok();
        }
        let turn = self.large_submissions.acquire();
        let _turn = tokio::time::timeout(TURN_TIMEOUT, turn).await.ok()?.ok()?;
        // Those that wait for their turn give up before.
        let deadline = Instant::now() + 2 * TURN_TIMEOUT;
        connection.hold_until(bytes, deadline).await.ok()
    }

    async fn accept_job(&self, job: &JobSpec, route: &Route) -> Result<Admission, SubmitError> {
        let deadline = Instant::now() + SUBMIT_TIMEOUT;
        // Both writes run concurrently: one after the other would exceed the response time
        // target while the store is slow.
        let saving = self.store.save_job(job, deadline);
        let (saved, admitted) =
            tokio::join!(saving, self.admit_to_ledger(job, route, false, deadline));
        let admission = admitted.map_err(SubmitError::MaybeAccepted)?;
        match (admission, saved) {
            (refusal @ (Admission::OverQuota | Admission::LedgerFull), _) => Ok(refusal),
            (Admission::Accepted, Ok(())) => Ok(Admission::Accepted),
            // The ledger entry may be withdrawn because the job was not stored. It is stored now,
            // so it is admitted again.
            (Admission::Repeat, Ok(())) => self
                .admit_to_ledger(job, route, true, deadline)
                .await
                .map_err(SubmitError::MaybeAccepted),
            (_, Err(e)) if e.store_error().is_some_and(|e| !e.is_not_done()) => {
                Err(SubmitError::MaybeAccepted(e))
            }
            // A job that is not stored cannot be run by any worker, even if the ledger
            // contains it.
            (_, Err(e)) => Err(SubmitError::NotAccepted(e)),
        }
    }

    async fn admit_to_ledger(
        &self,
        job: &JobSpec,
        route: &Route,
        is_stored: bool,
        deadline: Instant,
    ) -> Result<Admission, JobStoreError> {
        let change = LedgerChange::Admit {
            id: job.id.clone(),
            route: job.route.clone(),
            tokens: job.total_tokens(),
            quota_tokens: route.quota_tokens,
            now_unix: job.submitted_unix,
            is_stored,
            max_ledger_bytes: self.store.max_payload_bytes(),
        };
        match self.change_ledger(change, deadline).await? {
            LedgerResponse::Admission(admission) => Ok(admission),
            LedgerResponse::Status(_) => Err(JobStoreError::Contended),
        }
    }

    async fn change_ledger(
        &self,
        change: LedgerChange,
        deadline: Instant,
    ) -> Result<LedgerResponse, JobStoreError> {
        ledger_writer::change_ledger(&self.node, &self.store, None, change, deadline).await
    }

    /// Sends the job to its preferred worker. If the call fails, a worker finds the job in the
    /// ledger. `held` is given back afterwards.
    fn send_to_preferred_worker(&self, job: JobSpec, held: HeldBytes) {
        let now = Instant::now();
        let workers = self.node.peers.live_workers(now);
        let Some(preferred) = ownership::preferred_worker(&job.id, &workers) else {
            log::warn!(request_id = job.id; "no live worker; the job stays in the ledger");
            return;
        };
        let Some(addr) = self.worker_addr(&preferred.host, now) else {
            return;
        };
        let node = Arc::clone(&self.node);
        tokio::spawn(async move {
            let id = job.id.clone();
            if let Err(e) = node.peer_calls.send_accepted_job(addr, job).await {
                log::warn!(request_id = id, error:% = e; "could not send the job to a worker; it stays in the ledger");
            }
            drop(held);
        });
    }

    /// Serves a request on an accepted job.
    pub async fn serve_call(&self, call: JobCall, connection: &CallerConnection) -> CallerResponse {
        match call {
            JobCall::Read { job, from, wait } => {
                self.read_results(job, from, wait, connection).await
            }
            JobCall::Body { job, item } => self.read_item_body(job, item, connection).await,
            JobCall::End { job } => self.end_job(job).await,
        }
    }

    async fn read_results(
        &self,
        job: JobId,
        from: usize,
        wait: Duration,
        connection: &CallerConnection,
    ) -> CallerResponse {
        if !is_valid_id(&job) {
            return responses::empty(StatusCode::NOT_FOUND);
        }
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
        responses::not_run(StatusCode::SERVICE_UNAVAILABLE, NO_ROOM_RETRY_AFTER)
    }

    async fn read_item_body(
        &self,
        job: JobId,
        item: ItemId,
        connection: &CallerConnection,
    ) -> CallerResponse {
        if !is_valid_id(&job) {
            return responses::empty(StatusCode::NOT_FOUND);
        }
        let mut worker_query = WorkerQuery::new(self.workers_to_query(&job));
        while let Some(addr) = worker_query.next_worker() {
            let calls = &self.node.peer_calls;
            let response = calls.read_item_body(addr, job.clone(), item.clone()).await;
            worker_query.record_response(response, ItemBodyResponse::next_peer, &job);
        }
        let response = match worker_query.result {
            Some(response) => response,
            None => self.body_from_store(&job, &item).await,
        };
        match response {
            ItemBodyResponse::Body(body) => {
                let Ok(held) = connection.hold(body.len()) else {
                    return self.refuse_read(&job);
                };
                let mut response = responses::empty(StatusCode::OK);
                *response.body_mut() = responses::full_body(held.attach_to(body));
                response
            }
            ItemBodyResponse::NoSuchItem => responses::empty(StatusCode::NOT_FOUND),
            ItemBodyResponse::Undetermined | ItemBodyResponse::OwnedBy(_) => {
                log::warn!(request_id = item, job; "item cannot be read at present");
                responses::not_run(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER)
            }
        }
    }

    async fn end_job(&self, job: JobId) -> CallerResponse {
        if !is_valid_id(&job) {
            return responses::empty(StatusCode::NOT_FOUND);
        }
        let now_unix = Duration::from_millis(time::unix_ms());
        let deadline = Instant::now() + END_TIMEOUT;
        let change = LedgerChange::Close {
            id: job.clone(),
            now_unix,
        };
        let ended = match self.change_ledger(change, deadline).await {
            Ok(LedgerResponse::Status(JobStatus::Unknown)) => {
                match self.store.load_job(&job, deadline).await {
                    Ok(None) => return responses::empty(StatusCode::NOT_FOUND),
                    Err(_) => {
                        return responses::not_run(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER)
                    }
                    // The job ended long ago, or its submission is still on its way.
                    Ok(Some(_)) => {
                        let id = job.clone();
                        let change = LedgerChange::CloseStored { id, now_unix };
                        self.change_ledger(change, deadline).await
                    }
                }
            }
            ended => ended,
        };
        match ended {
            Ok(LedgerResponse::Status(JobStatus::Closed)) => {
                log::info!(request_id = job; "job ended by its caller");
                self.notify_workers_of_end(&job);
                responses::empty(StatusCode::OK)
            }
            Ok(response) => {
                log::warn!(request_id = job, response:? = response; "the end of the job was not recorded");
                responses::empty(StatusCode::BAD_GATEWAY)
            }
            Err(e) => {
                log::warn!(request_id = job, error:% = e; "could not record the end of the job");
                responses::empty(StatusCode::BAD_GATEWAY)
            }
        }
    }

    /// Notifies every live worker that the job ended, as more than one may believe that it
    /// owns the job.
    fn notify_workers_of_end(&self, job: &JobId) {
        for (_, addr) in self.node.peers.live_processes(Role::Worker, Instant::now()) {
            let node = Arc::clone(&self.node);
            let job = job.clone();
            tokio::spawn(async move {
                if let Err(e) = node.peer_calls.send_ended_job(addr, job.clone()).await {
                    log::info!(request_id = job, error:% = e; "could not notify a worker that the job ended; it will read it from the ledger");
                }
            });
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
            .filter_map(|host| self.worker_addr(host, now))
            .collect()
    }

    fn worker_addr(&self, host: &str, now: Instant) -> Option<SocketAddr> {
        let live = self.node.peers.live_processes(Role::Worker, now);
        live.into_iter()
            .find(|(name, _)| name == host)
            .map(|(_, addr)| addr)
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
        match self.progress_from_store(job).await {
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

    async fn body_from_store(&self, job: &JobId, item: &ItemId) -> ItemBodyResponse {
        let Some(_permit) = self.begin_store_read(job).await else {
            return ItemBodyResponse::Undetermined;
        };
        let deadline = Instant::now() + LOAD_TIMEOUT;
        match self.store.load_job(job, deadline).await {
            Ok(found) => found
                .and_then(|job| job.items.into_iter().find(|spec| spec.id == *item))
                .map_or(ItemBodyResponse::NoSuchItem, |spec| {
                    ItemBodyResponse::Body(spec.body)
                }),
            Err(e) => {
                log::info!(request_id = item, error:% = e; "could not read the item from the store");
                ItemBodyResponse::Undetermined
            }
        }
    }

    async fn progress_from_store(&self, job: &JobId) -> Result<Option<JobProgress>, JobStoreError> {
        let deadline = Instant::now() + LOAD_TIMEOUT;
        self.store.load_progress(job, deadline).await
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

/// Why a submission was not confirmed as accepted.
enum SubmitError {
    /// The job was not accepted and no item of it runs because of this submission.
    NotAccepted(JobStoreError),
    /// The job may be in the ledger, or enter it later.
    MaybeAccepted(JobStoreError),
}

/// Returns whether an id can be used in paths and object names.
fn is_valid_id(id: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(is_allowed)
}
