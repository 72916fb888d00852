//! Serves the callers' batch job requests at a front: submitting a job, reading it and ending it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxwheel_callers::connections::{CallerConnection, HeldBytes};
use foxwheel_core::ids::JobId;
use foxwheel_core::metric_names::{Counter, RefusalReason, Timer};
use foxwheel_core::time;
use foxwheel_platform::batch_api::JobCall;
use foxwheel_platform::online::CallerRequest;
use foxwheel_platform::store::StoreError;
use foxwheel_platform::submission;
use foxwheel_policy::batch::job::JobSpec;
use foxwheel_policy::batch::ledger::{Admission, JobStatus, LedgerChange, LedgerResponse};
use foxwheel_policy::batch::ownership;
use foxwheel_policy::caller_connections::SMALL_BYTES;
use foxwheel_policy::routes::Route;
use hyper::StatusCode;
use tokio::sync::Semaphore;

use crate::job_reads::JobReads;
use crate::job_store::{JobStore, JobStoreError};
use crate::ledger_writer;
use crate::node::Node;
use crate::responses::{self, CallerResponse};
use crate::settings::Role;

/// Time limit for storing a submission. Callers wait about four seconds for the response.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time limit for recording the end of a job in the ledger.
const END_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Value of `retry-after` for calls that fail because the store or the workers are
/// unavailable; about the time until a store call is retried.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Value of `retry-after` for submissions over the quota. Items finish within seconds, so
/// quota becomes free soon.
const QUOTA_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Size of all copies of a submission, relative to its body, while the job is stored: its items, their
/// encoded text, and the object that is written.
const SUBMISSION_COPIES: usize = 3;

/// How long a large submission waits for its turn.
const TURN_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum length of a job id, which becomes part of object names in the store.
const MAX_ID_BYTES: usize = 128;

/// Serves batch job requests at a front.
#[derive(Debug)]
pub struct BatchFront {
    node: Arc<Node>,
    store: Arc<JobStore>,
    reads: JobReads,
    /// The permit of the large submission that waits for room.
    large_submissions: Semaphore,
}

impl BatchFront {
    /// Creates the batch service of the front `node`.
    pub fn new(node: Arc<Node>) -> Self {
        let store = Arc::new(JobStore::new(Arc::clone(&node)));
        Self {
            reads: JobReads::new(Arc::clone(&node), Arc::clone(&store)),
            store,
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
            return responses::no_room();
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
        let Some(addr) = self.node.peers.live_worker_addr(&preferred.host, now) else {
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
        let (JobCall::Read { job, .. } | JobCall::Body { job, .. } | JobCall::End { job }) = &call;
        if !is_valid_id(job) {
            return responses::empty(StatusCode::NOT_FOUND);
        }
        match call {
            JobCall::Read { job, from, wait } => {
                self.reads.read_results(job, from, wait, connection).await
            }
            JobCall::Body { job, item } => self.reads.read_item_body(job, item, connection).await,
            JobCall::End { job } => self.end_job(job).await,
        }
    }

    async fn end_job(&self, job: JobId) -> CallerResponse {
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
