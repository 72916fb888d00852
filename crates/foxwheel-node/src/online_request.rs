//! An online request on its way: attempts at backend servers until one gives a success or
//! none may.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxwheel_core::ids::ServiceName;
use foxwheel_core::metric_names::{Counter, RefusalReason, RequestKind, RequestOutcome};
use foxwheel_platform::online::{self, Attempt, CallerRequest};
use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::placement;
use foxwheel_policy::retry::{AttemptOutcome, Attempts, NextStep};
use foxwheel_policy::routes::{Route, RouteKind};
use hyper::http::request;

use crate::attempt::{self, Failure, FullResponse, OpenResponse, Target};
use crate::load_table::{InFlight, WorkClass};
use crate::node::Node;
use crate::request_content::RequestContent;

/// How long a repeatable request waits for the head of an answer before it is sent to
/// another server: many times a usual answer's time, a third of a usual caller's.
const HEAD_PATIENCE: Duration = Duration::from_millis(1_200);

/// Longest wait at the front for a slot when every server is full; a quarter of a usual
/// target, so that a refused caller can still be served in time elsewhere.
const SLOT_WAIT: Duration = Duration::from_millis(60);

/// When a caller whose time is up should come back, if it still waits.
const TIME_UP_RETRY_AFTER: Duration = Duration::from_millis(150);

/// When a caller refused for lack of any server should come back.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Left of a caller's time below which no attempt is started: an answer could not be back.
pub const LEAST_TIME_LEFT: Duration = Duration::from_millis(10);

/// One online request on its way.
#[derive(Debug)]
pub struct OnlineRequest {
    /// What the caller said.
    pub caller: CallerRequest,
    /// Its route under the configuration in force when it came.
    pub route: Route,
    /// The service picked for it.
    pub service: ServiceName,
    /// Attempts so far.
    pub attempts: Attempts,
    /// The last event that the caller has or was sent.
    pub last_event_id: Option<u64>,
    /// When the caller stops waiting.
    pub caller_deadline: Instant,
    /// When the operator wants it answered.
    pub response_deadline: Instant,
    /// When its head was read.
    pub received_at: Instant,
    /// What was known of the server that was chosen last, when it was chosen.
    pub choice: Option<Choice>,
    head: request::Parts,
    body: Bytes,
    content: Arc<RequestContent>,
    /// Servers that were tried.
    pub tried: Vec<ServerInstance>,
}

/// What was known of a server when it was chosen.
#[derive(Debug, Clone, Copy)]
pub struct Choice {
    /// Requests in flight there, those that peers last told included.
    pub in_flight: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How long a request was expected to wait for a slot there.
    pub expected_wait: Duration,
}

enum Placed {
    At(InFlight),
    Full,
    NoServer,
}

impl OnlineRequest {
    /// A request that was received whole.
    pub fn new(
        caller: CallerRequest,
        route: Route,
        head: request::Parts,
        body: Bytes,
        received_at: Instant,
    ) -> Self {
        let service = route.pick_service(rand::random()).clone();
        let time_limit = caller.time_limit.unwrap_or(route.timeout);
        let content = RequestContent::new(
            head.method.as_str(),
            &caller.host,
            online::request_target(&head),
            body.clone(),
        );
        Self {
            attempts: Attempts::new(route.is_repeatable(), route.max_attempts),
            last_event_id: caller.last_event_id,
            caller_deadline: received_at + time_limit,
            response_deadline: received_at + time_limit.min(route.timeout),
            tried: Vec::new(),
            choice: None,
            caller,
            route,
            service,
            received_at,
            head,
            body,
            content: Arc::new(content),
        }
    }

    /// Whether a stream that broke may go on at another server.
    pub fn may_resume(&mut self) -> bool {
        self.attempts.record(AttemptOutcome::Unknown) == NextStep::TryAnother
    }

    /// Opens the rest of a stream behind the last event at a server other than `broken`.
    pub async fn open_elsewhere(
        &mut self,
        node: &Arc<Node>,
        broken: &ServerInstance,
    ) -> Option<OpenResponse> {
        self.tried.push(broken.clone());
        // The operator's time limit ends with the first event; the caller's does not.
        self.response_deadline = self.caller_deadline;
        let opened = self.open(node).await;
        opened.inspect_err(|refusal| self.log_refusal(refusal)).ok()
    }

    /// Tries servers until one gives a success whose body may be passed on.
    pub async fn open(&mut self, node: &Arc<Node>) -> Result<OpenResponse, Refusal> {
        loop {
            let now = Instant::now();
            if let Some(left) = node.quarantine_time_left(&self.content, now) {
                // Each further run would crash one more server under other callers' requests.
                return Err(self.refusal(RefusalReason::Quarantined, left));
            }
            if now + LEAST_TIME_LEFT >= self.response_deadline {
                return Err(self.refusal(RefusalReason::DeadlineExceeded, TIME_UP_RETRY_AFTER));
            }
            let slot = match self.place(node).await {
                Placed::At(slot) => slot,
                Placed::Full => {
                    let retry_after = node.retry_after_full(&self.service, now);
                    return Err(self.refusal(RefusalReason::ServersFull, retry_after));
                }
                Placed::NoServer => {
                    return Err(self.refusal(RefusalReason::NoServer, NO_SERVER_RETRY_AFTER))
                }
            };
            let server = slot.server().clone();
            let failure = match self.attempt(node, slot).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            let next = self.attempts.record(failure.outcome);
            let age_ms = self.received_at.elapsed().as_millis() as u64;
            let (in_flight, slots) = self.seen_load();
            log::info!(request_id = self.caller.id, server = server.id, in_flight, slots, outcome:? = failure.outcome, reason = failure.reason, age_ms, next:? = next; "attempt failed");
            node.metrics.incr(Counter::AttemptFailed);
            self.tried.push(server);
            match next {
                NextStep::TryAnother => {}
                NextStep::PassOn | NextStep::FailUnknown => {
                    return Err(Refusal::Failed {
                        reason: failure.reason,
                        answer: failure.response,
                    })
                }
                NextStep::RefuseNotRun => {
                    let retry_after = node.retry_after_full(&self.service, now);
                    return Err(self.refusal(RefusalReason::Rejected, retry_after));
                }
            }
        }
    }

    async fn place(&mut self, node: &Node) -> Placed {
        let wait_until = (Instant::now() + SLOT_WAIT).min(self.response_deadline);
        loop {
            let now = Instant::now();
            let mut candidates = node.online_candidates(&self.service, &self.tried, now);
            if candidates.is_empty() && self.attempts.count() > 0 {
                // Every server was tried: the least loaded may do better now.
                candidates = node.online_candidates(&self.service, &[], now);
            }
            if candidates.is_empty() {
                return Placed::NoServer;
            }
            let zone = &node.settings.availability_zone;
            if let Some(pick) =
                placement::pick_online(&candidates, zone, rand::random::<u32>() as usize)
            {
                self.choice = Some(Choice {
                    in_flight: pick.in_flight,
                    slots: pick.slots,
                    expected_wait: placement::expected_wait(
                        pick,
                        node.hold_times.hold_time(&self.service),
                    ),
                });
                return Placed::At(
                    node.loads
                        .begin_request(&pick.instance(), WorkClass::Online),
                );
            }
            let freed = async {
                tokio::select! {
                    () = node.loads.slot_freed.notified() => {}
                    () = node.peer_update.notified() => {}
                }
            };
            let until = tokio::time::Instant::from_std(wait_until);
            if tokio::time::timeout_at(until, freed).await.is_err() {
                return Placed::Full;
            }
        }
    }

    async fn attempt(&self, node: &Arc<Node>, slot: InFlight) -> Result<OpenResponse, Failure> {
        let now = Instant::now();
        let limit = match self.route.kind {
            RouteKind::Stream => self.caller_deadline,
            _ => self.response_deadline,
        };
        let attempt = Attempt {
            server: &slot.server().id,
            time_left: Some(limit.saturating_duration_since(now)),
            last_event_id: self.last_event_id,
        };
        let request = online::forwarded_request(&self.head, self.body.clone(), attempt);
        let again =
            self.route.is_repeatable() && self.route.max_attempts > self.attempts.count() + 1;
        let target = Target {
            slot,
            request_id: self.caller.id.clone(),
            content: Arc::clone(&self.content),
            expected_wait: self.choice.map_or(Duration::ZERO, |one| one.expected_wait),
            deadline: self.response_deadline,
            head_deadline: again.then(|| now + HEAD_PATIENCE),
        };
        let mut answer = attempt::send(node, target, request).await?;
        if answer.decoded_head.status.is_success() && !answer.decoded_head.not_run {
            if answer.decoded_head.is_signed {
                return Ok(answer);
            }
            return Err(Failure::new(
                AttemptOutcome::Unknown,
                "success without a signature",
            ));
        }
        if answer.decoded_head.not_run {
            let reason = format!("rejected with {}", answer.decoded_head.status.as_u16());
            let outcome = match answer.decoded_head.from_another_instance {
                true => AttemptOutcome::Gone,
                false => AttemptOutcome::Rejected,
            };
            if answer.read_full_body(self.response_deadline).await.is_ok() {
                answer.finish();
            }
            return Err(Failure::new(outcome, reason));
        }
        Err(self.server_failure(answer).await)
    }

    /// A failure that the server itself answered.
    async fn server_failure(&self, mut answer: OpenResponse) -> Failure {
        let reason = format!("server answered {}", answer.decoded_head.status.as_u16());
        match answer.read_full_body(self.response_deadline).await {
            Ok(body) if answer.decoded_head.is_signed => {
                let head = answer.head.clone();
                answer.finish();
                Failure {
                    outcome: AttemptOutcome::Failed,
                    reason,
                    response: Some(FullResponse { head, body }),
                }
            }
            _ => Failure::new(AttemptOutcome::Unknown, reason),
        }
    }

    fn refusal(&self, reason: RefusalReason, retry_after: Duration) -> Refusal {
        match self.attempts.give_up() {
            NextStep::RefuseNotRun => Refusal::NotRun {
                reason,
                retry_after,
            },
            _ => Refusal::Failed {
                reason: reason.text().to_owned(),
                answer: None,
            },
        }
    }

    /// Whether an answer now, or a first event, is within the operator's target.
    pub fn is_on_time(&self) -> bool {
        self.received_at.elapsed() <= self.route.target_latency
    }

    /// Counts what became of the request.
    pub fn count(&self, node: &Node, outcome: RequestOutcome) {
        let kind = match self.route.kind {
            RouteKind::Idempotent | RouteKind::Batch => RequestKind::Idempotent,
            RouteKind::NonIdempotent => RequestKind::NonIdempotent,
            RouteKind::Stream => RequestKind::Stream,
        };
        node.metrics.incr(Counter::Request(kind, outcome));
    }

    /// Counts a request that was answered whole.
    pub fn count_served(&self, node: &Node, on_time: bool) {
        let outcome = match on_time {
            true => RequestOutcome::OnTime,
            false => RequestOutcome::Late,
        };
        self.count(node, outcome);
    }

    /// Load and slots of the server that was chosen last, as they were known then.
    pub fn seen_load(&self) -> (Option<u32>, Option<u32>) {
        let choice = self.choice;
        (choice.map(|one| one.in_flight), choice.map(|one| one.slots))
    }

    /// Logs that the request failed for good.
    pub fn log_refusal(&self, refusal: &Refusal) {
        let age_ms = self.received_at.elapsed().as_millis() as u64;
        let attempts = self.attempts.count();
        let may_have_run = self.attempts.may_have_run();
        let retry_after_ms = refusal.retry_after().map(|after| after.as_millis() as u64);
        log::warn!(request_id = self.caller.id, route = self.route.name, reason = refusal.reason(), age_ms, attempts, may_have_run, retry_after_ms; "request failed");
    }
}

/// Why a request gets no success.
#[derive(Debug)]
pub enum Refusal {
    /// It has not run and never will.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// When the caller should come back.
        retry_after: Duration,
    },
    /// It may have run. `answer` is the server's own failure, if it gave one.
    Failed {
        /// Why, for the log.
        reason: String,
        /// The server's own failure.
        answer: Option<FullResponse>,
    },
}

impl Refusal {
    /// When the caller is told to come back, if the request was not run.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NotRun { retry_after, .. } => Some(*retry_after),
            Self::Failed { .. } => None,
        }
    }

    /// Why, for the log.
    pub fn reason(&self) -> &str {
        match self {
            Self::NotRun { reason, .. } => reason.text(),
            Self::Failed { reason, .. } => reason,
        }
    }
}
