//! An online request: sends attempts to backend servers until one of them responds with a
//! success or no further attempt is allowed.

mod placement;
mod resumption;
mod sending;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxwheel_callers::connections::CallerConnection;
use foxwheel_core::ids::{ServerId, ServiceName};
use foxwheel_core::metric_names::{Counter, RefusalReason, RequestKind, RequestOutcome};
use foxwheel_http1::body::ExpectedEvents;
use foxwheel_platform::online::{self, Attempt, CallerRequest};
use foxwheel_policy::hedging::AwaitedPart;
use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::retry::{AttemptOutcome, Attempts, NextStep};
use foxwheel_policy::routes::{Route, RouteKind};
use foxwheel_policy::stream_origin::StreamOrigin;
use futures::future::BoxFuture;
use hyper::http::request;

use crate::attempt::{AttemptParams, Failure, OpenResponse};
use crate::hedging::Hedged;
use crate::load_table::InFlight;
use crate::node::Node;
use crate::online_request::placement::Placement;
use crate::part_quarantine::RunRefusal;
use crate::refusal::Refusal;
use crate::request_content::RequestContent;
use crate::request_quarantine::TrialRun;

/// Delay after which a caller whose time limit has passed should retry, if it is still waiting.
const DEADLINE_EXCEEDED_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Delay after which a caller should retry that was refused because no server is available.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// No attempt is started with less than this left until the deadline, as its response could not
/// arrive in time.
pub const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// An online request and the state of its attempts.
#[derive(Debug)]
pub struct OnlineRequest {
    /// The caller's id, host, path and limits.
    pub caller: CallerRequest,
    /// The request's route under the configuration in force when it arrived.
    pub route: Route,
    /// The service that the route selected for this request.
    pub service: ServiceName,
    /// The outcomes of the attempts so far, and how many are allowed.
    pub attempts: Attempts,
    /// Id of the last event that the caller had received before this request or was sent since.
    pub last_event_id: Option<u64>,
    /// Where the stream began, once its first event is known to have reached the caller. Only servers
    /// of that origin may go on with it.
    origin: Option<StreamOrigin>,
    /// Whether the holders were told where the stream of this request began.
    is_origin_recorded: bool,
    /// When the caller stops waiting: the time limit that it sent, else that of the route.
    pub caller_deadline: Instant,
    /// When the response must be complete, or for a stream its head must be received: the earlier
    /// one of the caller's and the route's time limit. Equal to `caller_deadline` once a stream is
    /// resumed.
    pub response_deadline: Instant,
    /// When the request head was read.
    pub received_at: Instant,
    /// Version of the configuration that `route` is from.
    pub config_version: u64,
    /// Whether the outcome was counted. A request that is dropped before was abandoned by its caller.
    has_ended: bool,
    /// The load of the server that was chosen last, as known when it was chosen.
    pub chosen_server: Option<ChosenServer>,
    head: request::Parts,
    body: Bytes,
    /// The connection of the caller, for which the response is held.
    pub(crate) connection: CallerConnection,
    content: Arc<RequestContent>,
    /// Server instances that attempts were sent to.
    pub tried_servers: Vec<ServerInstance>,
    /// The trial that the current attempt is, until its response is complete.
    trial: Option<TrialRun>,
    /// Whether the request may be sent to a silent server while another one has it.
    may_use_silent_servers: bool,
}

/// The known load of a server at the time it was chosen.
#[derive(Debug, Clone)]
pub struct ChosenServer {
    /// The server's id.
    pub id: ServerId,
    /// Requests in flight at the server, including those last reported by peers.
    pub in_flight: u32,
    /// Number of requests that the server runs at the same time.
    pub slots: u32,
    /// How long a request was expected to wait for a slot at the server.
    pub expected_wait: Duration,
    /// Age of the server list from which the server was chosen; `None` if it was never confirmed.
    pub list_age: Option<Duration>,
}

/// An attempt that was sent and whose response has not arrived. Dropping it withdraws the attempt, as
/// far as its server has not received it.
pub(crate) struct PendingAttempt {
    /// The server that it was sent to.
    pub server: ServerInstance,
    /// The response, if it is a success whose body may be forwarded.
    pub response: BoxFuture<'static, Result<OpenResponse, Failure>>,
}

impl OnlineRequest {
    /// Creates a request of `connection` from its head and complete body, and selects its service.
    pub fn new(
        caller: CallerRequest,
        route: Route,
        config_version: u64,
        head: request::Parts,
        body: Bytes,
        connection: CallerConnection,
        received_at: Instant,
    ) -> Self {
        let service = route.pick_service(rand::random()).clone();
        let time_limit = caller.time_limit.unwrap_or(route.timeout);
        let content = RequestContent::new(
            head.method.as_str(),
            &caller.host,
            online::request_target(&head),
            body.clone(),
            online::shared_prompt_parts(&head.headers),
        );
        Self {
            attempts: Attempts::new(route.is_repeatable(), route.max_attempts),
            last_event_id: caller.last_event_id,
            origin: None,
            is_origin_recorded: false,
            caller_deadline: received_at + time_limit,
            response_deadline: received_at + time_limit.min(route.timeout),
            tried_servers: Vec::new(),
            chosen_server: None,
            trial: None,
            may_use_silent_servers: true,
            caller,
            route,
            service,
            received_at,
            config_version,
            has_ended: false,
            head,
            body,
            connection,
            content: Arc::new(content),
        }
    }

    /// Gives the rest of a response until the end of the caller's time limit. That of the route applies
    /// until the head has arrived.
    pub(crate) fn extend_to_caller_deadline(&mut self) {
        self.response_deadline = self.caller_deadline;
    }

    /// Records that an attempt was sent to `server`. Others are preferred from now on.
    pub(crate) fn mark_tried(&mut self, server: &ServerInstance) {
        if !self.tried_servers.contains(server) {
            self.tried_servers.push(server.clone());
        }
    }

    /// Sets whether the request may be sent to a silent server while another one has it.
    pub(crate) fn allow_silent_servers(&mut self, is_allowed: bool) {
        self.may_use_silent_servers = is_allowed;
    }

    /// Returns whether the current attempt is a trial.
    pub(crate) fn is_trial(&self) -> bool {
        self.trial.is_some()
    }

    /// Ends the trial of the current attempt, if it is one.
    pub(crate) fn end_trial(&mut self) {
        self.trial = None;
    }

    /// Sends attempts until a server responds with a success whose body may be forwarded. Returns
    /// a refusal if the request may not be sent again, or there is no time or server for it.
    pub async fn open_response(&mut self, node: &Arc<Node>) -> Result<OpenResponse, Refusal> {
        let attempt = self.start_attempt(node).await?;
        self.complete_attempt(node, attempt).await
    }

    /// Waits for the response of `attempt`. If it fails, sends further ones as [`Self::open_response`]
    /// does.
    pub(crate) async fn complete_attempt(
        &mut self,
        node: &Arc<Node>,
        mut attempt: PendingAttempt,
    ) -> Result<OpenResponse, Refusal> {
        loop {
            let PendingAttempt { server, response } = attempt;
            let hedged = self.hedge(node, &server, AwaitedPart::Head, response).await;
            let failure = match hedged {
                Hedged::First(Ok(response)) => return Ok(response),
                Hedged::First(Err(failure)) => failure,
                Hedged::Second { second, first, .. } => {
                    let outcome = match first {
                        Some(Err(failure)) => failure.outcome,
                        Some(Ok(_)) | None => AttemptOutcome::Unknown,
                    };
                    self.attempts.record(outcome);
                    attempt = second;
                    continue;
                }
            };
            let next = self.record_failed_attempt(node, &server, &failure);
            match next {
                NextStep::TryAnother => {}
                NextStep::PassOn | NextStep::FailUnknown => {
                    return Err(Refusal::Failed {
                        reason: failure.reason,
                        response: failure.response,
                    })
                }
                NextStep::RefuseNotRun => {
                    let retry_after = node.retry_after_full(&self.service, Instant::now());
                    return Err(self.build_refusal(RefusalReason::Rejected, retry_after));
                }
            }
            attempt = self.start_attempt(node).await?;
        }
    }

    /// Records and logs an attempt that failed. Returns what to do next.
    pub(crate) fn record_failed_attempt(
        &mut self,
        node: &Node,
        server: &ServerInstance,
        failure: &Failure,
    ) -> NextStep {
        let next = self.attempts.record(failure.outcome);
        if let Some(trial) = &mut self.trial {
            trial.record_failure(failure.outcome);
        }
        let age_ms = self.received_at.elapsed().as_millis() as u64;
        let (in_flight, slots) = self.chosen_server_load();
        log::info!(request_id = self.caller.id, server = server.id, in_flight, slots, list_age_ms = self.chosen_list_age_ms(), outcome:? = failure.outcome, reason = failure.reason, age_ms, next:? = next; "attempt failed");
        node.metrics.incr(Counter::AttemptFailed);
        self.mark_tried(server);
        next
    }

    /// Chooses a server and sends an attempt to it. Returns a refusal if there is no time or server
    /// for it.
    pub(crate) async fn start_attempt(
        &mut self,
        node: &Arc<Node>,
    ) -> Result<PendingAttempt, Refusal> {
        let now = Instant::now();
        // The trial of the attempt before has ended.
        self.trial = None;
        match node.begin_run(&self.content, &self.service, now) {
            Ok(trial) => self.trial = trial,
            // Each further run could crash another server and cut off other callers' requests.
            Err(RunRefusal { part, time_left }) => {
                let time_left = time_left.unwrap_or(NO_SERVER_RETRY_AFTER);
                let time_left_ms = time_left.as_millis() as u64;
                log::info!(request_id = self.caller.id, part, service = self.service, time_left_ms; "run refused: quarantined");
                return Err(self.build_refusal(RefusalReason::Quarantined, time_left));
            }
        }
        if now + MIN_TIME_LEFT >= self.response_deadline {
            return Err(self.build_refusal(
                RefusalReason::DeadlineExceeded,
                DEADLINE_EXCEEDED_RETRY_AFTER,
            ));
        }
        match self.reserve_slot(node).await {
            Placement::Reserved(slot) => Ok(self.begin_attempt(node, slot)),
            Placement::ServersFull => {
                let retry_after = node.retry_after_full(&self.service, now);
                Err(self.build_refusal(RefusalReason::ServersFull, retry_after))
            }
            Placement::NoServer => {
                Err(self.build_refusal(RefusalReason::NoServer, NO_SERVER_RETRY_AFTER))
            }
        }
    }

    /// Returns what a stream must have to be complete; `None` if the route does not stream.
    fn expected_events(&self) -> Option<ExpectedEvents> {
        let streams = self.route.kind == RouteKind::Stream;
        streams.then(|| ExpectedEvents::after(self.last_event_id))
    }

    /// Begins an attempt at the server of `slot`.
    fn begin_attempt(&mut self, node: &Arc<Node>, slot: InFlight) -> PendingAttempt {
        self.attempts.begin();
        let now = Instant::now();
        let deadline = match self.route.kind {
            RouteKind::Stream => self.caller_deadline,
            _ => self.response_deadline,
        };
        let attempt = Attempt {
            server: &slot.server().id,
            time_left: Some(deadline.saturating_duration_since(now)),
            last_event_id: self.last_event_id,
        };
        let request = online::forwarded_request(&self.head, self.body.clone(), attempt);
        let params = AttemptParams {
            slot,
            required_version: self.required_version().map(str::to_owned),
            request_id: self.caller.id.clone(),
            content: Arc::clone(&self.content),
            expected_events: self.expected_events(),
            expected_wait: self
                .chosen_server
                .as_ref()
                .map_or(Duration::ZERO, |server| server.expected_wait),
            deadline: self.response_deadline,
        };
        PendingAttempt {
            server: params.slot.server().clone(),
            response: Box::pin(sending::send_attempt(
                Arc::clone(node),
                params,
                request,
                self.connection.clone(),
            )),
        }
    }

    /// Builds the refusal of a request that gets no further attempt. It is "not run" only if no
    /// attempt may have run.
    fn build_refusal(&self, reason: RefusalReason, retry_after: Duration) -> Refusal {
        match self.attempts.give_up() {
            NextStep::RefuseNotRun => Refusal::NotRun {
                reason,
                retry_after,
            },
            _ => Refusal::Failed {
                reason: reason.text().to_owned(),
                response: None,
            },
        }
    }

    /// Returns whether a response, or the first event of a stream, would now meet the route's
    /// target latency.
    pub fn is_on_time(&self) -> bool {
        self.received_at.elapsed() <= self.route.target_latency
    }

    /// Counts the outcome of the request in the metrics.
    pub fn count_outcome(&mut self, node: &Node, outcome: RequestOutcome) {
        self.has_ended = true;
        let kind = match self.route.kind {
            RouteKind::Idempotent | RouteKind::Batch => RequestKind::Idempotent,
            RouteKind::NonIdempotent => RequestKind::NonIdempotent,
            RouteKind::Stream => RequestKind::Stream,
        };
        node.metrics.incr(Counter::Request(kind, outcome));
    }

    /// Counts a request whose response was complete.
    pub fn count_served(&mut self, node: &Node, on_time: bool) {
        let outcome = match on_time {
            true => RequestOutcome::OnTime,
            false => RequestOutcome::Late,
        };
        self.count_outcome(node, outcome);
    }

    /// Returns the requests in flight and the slots of the server that was chosen last, as known
    /// when it was chosen.
    pub fn chosen_server_load(&self) -> (Option<u32>, Option<u32>) {
        let chosen = self.chosen_server.as_ref();
        (
            chosen.map(|server| server.in_flight),
            chosen.map(|server| server.slots),
        )
    }

    /// Returns the age of the server list from which the server was chosen last, in milliseconds.
    pub fn chosen_list_age_ms(&self) -> Option<u64> {
        let age = self.chosen_server.as_ref()?.list_age?;
        Some(age.as_millis() as u64)
    }

    /// Logs that the request was refused or failed, and will not be tried again.
    pub fn log_refusal(&self, refusal: &Refusal) {
        let age_ms = self.received_at.elapsed().as_millis() as u64;
        let attempts = self.attempts.count();
        let may_have_run = self.attempts.may_have_run();
        let retry_after_ms = refusal.retry_after().map(|delay| delay.as_millis() as u64);
        log::warn!(request_id = self.caller.id, route = self.route.name, reason = refusal.reason(), age_ms, attempts, may_have_run, retry_after_ms; "request failed");
    }
}

impl Drop for OnlineRequest {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let age_ms = self.received_at.elapsed().as_millis() as u64;
        let server = self.chosen_server.as_ref().map(|chosen| &chosen.id);
        log::info!(request_id = self.caller.id, route = self.route.name, server, after = self.last_event_id, age_ms, attempts = self.attempts.count(), config_version = self.config_version; "request abandoned: the connection of its caller ended");
    }
}
