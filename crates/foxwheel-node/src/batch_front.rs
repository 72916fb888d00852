//! A front's side of batch jobs: submissions, reads, ends.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxwheel_core::ids::{ItemId, JobId};
use foxwheel_core::metric_names::{Counter, Timer};
use foxwheel_core::time;
use foxwheel_platform::batch_api::{self, JobCall};
use foxwheel_platform::online::CallerRequest;
use foxwheel_policy::batch::job::{JobProgress, JobSpec};
use foxwheel_policy::batch::ledger::{Admission, JobStanding, LedgerAnswer, LedgerChange};
use foxwheel_policy::batch::ownership;
use foxwheel_policy::routes::Route;
use hyper::StatusCode;

use crate::job_store::{JobStore, JobStoreError};
use crate::ledger_writer;
use crate::node::Node;
use crate::peer_calls::{ItemBodyResponse, NextPeer, PeerError, ResultsQuery, ResultsResponse};
use crate::responses::{self, CallerResponse};
use crate::settings::Role;

/// Longest time for storing a submission; the caller waits about four seconds.
const SUBMIT_TIME: Duration = Duration::from_millis(3_000);

/// Longest time for recording the end of a job.
const END_TIME: Duration = Duration::from_millis(3_000);

/// Longest wait of one read for a first result.
const MAX_READ_WAIT: Duration = Duration::from_millis(1_000);

/// Longest time to read a job from the store when no worker answers.
const LOAD_TIME: Duration = Duration::from_millis(1_000);

/// When a refused call should come again: about a retry of the store.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// When a submission over the quota should come again: items finish within seconds.
const QUOTA_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Workers asked for one read: the one that should run the job, the one that does, and one
/// more if the job is moving.
const MAX_WORKERS_ASKED: u32 = 3;

/// Longest id of a job; it becomes part of object names.
const MAX_ID_BYTES: usize = 128;

/// A front's side of batch jobs.
#[derive(Debug)]
pub struct BatchFront {
    node: Arc<Node>,
    store: JobStore,
}

impl BatchFront {
    /// The calls on jobs at this front.
    pub fn new(node: Arc<Node>) -> Self {
        Self {
            store: JobStore::new(Arc::clone(&node)),
            node,
        }
    }

    /// Takes a submission to `route`.
    pub async fn submit(
        &self,
        caller: &CallerRequest,
        route: &Route,
        body: Bytes,
    ) -> CallerResponse {
        if !is_valid_id(&caller.id) {
            return responses::text(
                StatusCode::BAD_REQUEST,
                "the job's id is missing or not valid",
            );
        }
        let items = match batch_api::decode_items(&body) {
            Ok(items) => items,
            Err(e) => {
                log::warn!(request_id = caller.id, error:% = e; "submission not valid");
                return responses::text(StatusCode::BAD_REQUEST, &e.to_string());
            }
        };
        let job = JobSpec {
            id: caller.id.clone(),
            host: caller.host.clone(),
            path: caller.path.clone(),
            route: route.name.clone(),
            submitted_unix: Duration::from_millis(time::unix_ms()),
            items,
        };
        let received_at = Instant::now();
        let accepted = self.accept(&job, route).await;
        let took_ms = received_at.elapsed().as_millis() as u64;
        match accepted {
            Ok(Admission::OverQuota) => {
                log::warn!(request_id = job.id, route = route.name, quota_tokens = route.quota_tokens, tokens = job.tokens(), took_ms; "job refused: over quota");
                self.node.metrics.incr(Counter::JobOverQuota);
                responses::not_run(StatusCode::TOO_MANY_REQUESTS, QUOTA_RETRY_AFTER)
            }
            Ok(admission) => {
                log::info!(request_id = job.id, route = route.name, admission:? = admission, tokens = job.tokens(), took_ms; "job accepted");
                self.node.metrics.incr(Counter::JobAccepted);
                self.node
                    .metrics
                    .time(Timer::JobAccept, received_at.elapsed());
                if admission == Admission::Accepted {
                    self.hand_over(job);
                }
                responses::empty(StatusCode::ACCEPTED)
            }
            Err(NotAccepted::Never(e)) => {
                log::warn!(request_id = job.id, error:% = e, took_ms; "job refused");
                match e {
                    JobStoreError::ItemTooLarge { .. } => {
                        responses::text(StatusCode::PAYLOAD_TOO_LARGE, &e.to_string())
                    }
                    _ => responses::not_run(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER),
                }
            }
            Err(NotAccepted::Perhaps(e)) => {
                log::warn!(request_id = job.id, error:% = e, took_ms; "job may be accepted or not");
                responses::empty(StatusCode::BAD_GATEWAY)
            }
        }
    }

    async fn accept(&self, job: &JobSpec, route: &Route) -> Result<Admission, NotAccepted> {
        let deadline = Instant::now() + SUBMIT_TIME;
        self.store
            .split_items(&job.items)
            .map_err(NotAccepted::Never)?;
        // Both at once: while the store is slow, one after the other misses the target.
        let saving = self.store.save_job(job, deadline);
        let (saved, admitted) = tokio::join!(saving, self.admit(job, route, deadline));
        let admission = admitted.map_err(NotAccepted::Perhaps)?;
        match (admission, saved) {
            (Admission::OverQuota, _) => Ok(Admission::OverQuota),
            (Admission::Accepted, Ok(())) => Ok(Admission::Accepted),
            // The job may have been withdrawn for not being stored; now it is stored.
            (Admission::Repeat, Ok(())) => self
                .admit(job, route, deadline)
                .await
                .map_err(NotAccepted::Perhaps),
            (_, Err(JobStoreError::Store(e))) if !e.is_not_done() => {
                Err(NotAccepted::Perhaps(e.into()))
            }
            // Not stored, so no worker can run it, whatever the ledger says.
            (_, Err(e)) => Err(NotAccepted::Never(e)),
        }
    }

    async fn admit(
        &self,
        job: &JobSpec,
        route: &Route,
        deadline: Instant,
    ) -> Result<Admission, JobStoreError> {
        let admit = LedgerChange::Admit {
            id: job.id.clone(),
            route: job.route.clone(),
            tokens: job.tokens(),
            quota_tokens: route.quota_tokens,
            now_unix: job.submitted_unix,
        };
        match self.change_ledger(admit, deadline).await? {
            LedgerAnswer::Admission(admission) => Ok(admission),
            LedgerAnswer::Standing(_) => Err(JobStoreError::Contended),
        }
    }

    async fn change_ledger(
        &self,
        change: LedgerChange,
        deadline: Instant,
    ) -> Result<LedgerAnswer, JobStoreError> {
        ledger_writer::change_ledger(&self.node, &self.store, None, change, deadline).await
    }

    /// Tells the worker that should run the job. If the call is lost, a worker finds the
    /// job in the ledger.
    fn hand_over(&self, job: JobSpec) {
        let now = Instant::now();
        let workers = self.node.peers.live_workers(now);
        let Some(first) = ownership::first_choice(&job.id, &workers) else {
            log::warn!(request_id = job.id; "no live worker, the ledger keeps the job");
            return;
        };
        let Some(addr) = self.worker_addr(&first.node, now) else {
            return;
        };
        let node = Arc::clone(&self.node);
        tokio::spawn(async move {
            let id = job.id.clone();
            if let Err(e) = node.peer_calls.send_accepted_job(addr, job).await {
                log::warn!(request_id = id, error:% = e; "job not handed over, the ledger keeps it");
            }
        });
    }

    /// Serves a call on a job.
    pub async fn call(&self, call: JobCall) -> CallerResponse {
        match call {
            JobCall::Read { job, from, wait } => self.read(job, from, wait).await,
            JobCall::Body { job, item } => self.body(job, item).await,
            JobCall::End { job } => self.end(job).await,
        }
    }

    async fn read(&self, job: JobId, from: usize, wait: Duration) -> CallerResponse {
        if !is_valid_id(&job) {
            return responses::empty(StatusCode::NOT_FOUND);
        }
        let workers = self.node.peers.live_workers(Instant::now());
        let read = ResultsQuery {
            from,
            max_bytes: batch_api::MAX_READ_BYTES,
            known_parts: ownership::known_parts(&job, &workers),
            wait: wait.min(MAX_READ_WAIT),
        };
        let mut asking = Asking::new(self.workers_for(&job));
        while let Some(addr) = asking.next() {
            let answer = self
                .node
                .peer_calls
                .read_results(addr, job.clone(), read)
                .await;
            asking.take(answer, ResultsResponse::next_peer, &job);
        }
        let answer = match asking.settled {
            Some(answer) => answer,
            None => self.read_from_store(&job, from).await,
        };
        match answer {
            ResultsResponse::Results {
                item_count,
                results,
            } => responses::json(batch_api::encode_read(item_count, from, &results)),
            ResultsResponse::NoSuchJob => {
                log::warn!(request_id = job; "read of an unknown job");
                responses::empty(StatusCode::NOT_FOUND)
            }
            ResultsResponse::Unsure | ResultsResponse::Elsewhere(_) => {
                log::warn!(request_id = job; "job not readable now");
                responses::not_run(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER)
            }
        }
    }

    async fn body(&self, job: JobId, item: ItemId) -> CallerResponse {
        if !is_valid_id(&job) {
            return responses::empty(StatusCode::NOT_FOUND);
        }
        let mut asking = Asking::new(self.workers_for(&job));
        while let Some(addr) = asking.next() {
            let calls = &self.node.peer_calls;
            let answer = calls.read_item_body(addr, job.clone(), item.clone()).await;
            asking.take(answer, ItemBodyResponse::next_peer, &job);
        }
        let answer = match asking.settled {
            Some(answer) => answer,
            None => self.body_from_store(&job, &item).await,
        };
        match answer {
            ItemBodyResponse::Body(body) => {
                let mut reply = responses::empty(StatusCode::OK);
                *reply.body_mut() = responses::full_body(body);
                reply
            }
            ItemBodyResponse::NoSuchItem => responses::empty(StatusCode::NOT_FOUND),
            ItemBodyResponse::Unsure | ItemBodyResponse::Elsewhere(_) => {
                log::warn!(request_id = item, job; "item not readable now");
                responses::not_run(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER)
            }
        }
    }

    async fn end(&self, job: JobId) -> CallerResponse {
        if !is_valid_id(&job) {
            return responses::empty(StatusCode::NOT_FOUND);
        }
        let now_unix = Duration::from_millis(time::unix_ms());
        let deadline = Instant::now() + END_TIME;
        let close = LedgerChange::Close {
            id: job.clone(),
            now_unix,
        };
        match self.change_ledger(close, deadline).await {
            Ok(LedgerAnswer::Standing(JobStanding::Closed)) => {
                log::info!(request_id = job; "job ended by its caller");
                self.tell_ended(&job);
                responses::empty(StatusCode::OK)
            }
            Ok(_) => self.end_unknown(&job).await,
            Err(e) => {
                log::warn!(request_id = job, error:% = e; "end of the job not recorded");
                responses::empty(StatusCode::BAD_GATEWAY)
            }
        }
    }

    /// An end of a job that is not in the ledger: it was pruned long after it ended, or
    /// never was accepted.
    async fn end_unknown(&self, job: &JobId) -> CallerResponse {
        let deadline = Instant::now() + LOAD_TIME;
        match self.store.load_job(job, deadline).await {
            Ok(Some(_)) => responses::empty(StatusCode::OK),
            Ok(None) => responses::empty(StatusCode::NOT_FOUND),
            Err(_) => responses::not_run(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER),
        }
    }

    /// Tells every worker: more than one may believe that it runs the job.
    fn tell_ended(&self, job: &JobId) {
        for (_, addr) in self.node.peers.live_processes(Role::Worker, Instant::now()) {
            let node = Arc::clone(&self.node);
            let job = job.clone();
            tokio::spawn(async move {
                if let Err(e) = node.peer_calls.send_ended_job(addr, job.clone()).await {
                    log::info!(request_id = job, error:% = e; "worker not told of the end, the ledger tells it");
                }
            });
        }
    }

    /// Addresses of the workers to ask about a job: its holder, then the one that should
    /// hold it.
    fn workers_for(&self, job: &JobId) -> Vec<SocketAddr> {
        let now = Instant::now();
        let workers = self.node.peers.live_workers(now);
        let holders = workers.iter().filter(|worker| worker.holds(job));
        let mut hosts: Vec<&str> = holders.map(|worker| worker.node.as_str()).collect();
        if let Some(first) = ownership::first_choice(job, &workers) {
            hosts.push(&first.node);
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

    async fn read_from_store(&self, job: &JobId, from: usize) -> ResultsResponse {
        match self.progress_from_store(job).await {
            Ok(Some(progress)) => ResultsResponse::Results {
                item_count: progress.spec.items.len(),
                results: progress.listed.into_iter().skip(from).collect(),
            },
            Ok(None) => ResultsResponse::NoSuchJob,
            Err(e) => {
                log::info!(request_id = job, error:% = e; "job not read from the store");
                ResultsResponse::Unsure
            }
        }
    }

    async fn body_from_store(&self, job: &JobId, item: &ItemId) -> ItemBodyResponse {
        let deadline = Instant::now() + LOAD_TIME;
        match self.store.load_job(job, deadline).await {
            Ok(found) => found
                .and_then(|job| job.items.into_iter().find(|spec| spec.id == *item))
                .map_or(ItemBodyResponse::NoSuchItem, |spec| {
                    ItemBodyResponse::Body(spec.body)
                }),
            Err(e) => {
                log::info!(request_id = item, error:% = e; "item not read from the store");
                ItemBodyResponse::Unsure
            }
        }
    }

    async fn progress_from_store(&self, job: &JobId) -> Result<Option<JobProgress>, JobStoreError> {
        let deadline = Instant::now() + LOAD_TIME;
        self.store.load_progress(job, deadline).await
    }
}

/// Asking workers about a job, one after the other, until an answer settles the question.
struct Asking<A> {
    workers: VecDeque<SocketAddr>,
    /// Questions that may still be asked.
    left: u32,
    /// The answer that settles it.
    settled: Option<A>,
}

impl<A> Asking<A> {
    fn new(workers: Vec<SocketAddr>) -> Self {
        Self {
            workers: workers.into(),
            left: MAX_WORKERS_ASKED,
            settled: None,
        }
    }

    /// The next worker to ask; none once the question is settled.
    fn next(&mut self) -> Option<SocketAddr> {
        if self.settled.is_some() || self.left == 0 {
            return None;
        }
        self.left -= 1;
        self.workers.pop_front()
    }

    fn take(
        &mut self,
        answer: Result<A, PeerError>,
        next_peer: impl Fn(&A) -> NextPeer,
        job: &JobId,
    ) {
        match answer {
            Ok(answer) => match next_peer(&answer) {
                NextPeer::Nobody => self.settled = Some(answer),
                NextPeer::Worker(holder) => self.workers.push_front(holder),
                NextPeer::Others => {}
            },
            Err(e) => log::info!(request_id = job, error:% = e; "worker did not answer a read"),
        }
    }
}

enum NotAccepted {
    /// No part of the job will run through this submission.
    Never(JobStoreError),
    /// The ledger may come to name the job.
    Perhaps(JobStoreError),
}

/// Whether an id can stand in a path and an object's name.
fn is_valid_id(id: &str) -> bool {
    let valid = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(valid)
}
