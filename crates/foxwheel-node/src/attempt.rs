//! Sends one request to one backend server and reads its response.

pub mod response_body;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxwheel_core::ids::{RequestId, SoftwareVersion};
use foxwheel_core::metric_names::Counter;
use foxwheel_http1::body::{ExpectedEvents, Framing, ResponseBody};
use foxwheel_http1::connection::{Connection, ExchangeError, RequestBody};
use foxwheel_platform::online::{self, ResponseHead};
use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::retry::AttemptOutcome;
use foxwheel_policy::stream_origin::StreamOrigin;
use hyper::http::response;
use hyper::{Request, StatusCode};
use tokio::time::Instant as TokioInstant;

use crate::load_table::InFlight;
use crate::node::Node;
use crate::request_content::RequestContent;
use crate::server_probe::{self, CutOffRequest, ServerLiveness};

/// A server that sends nothing on any request of this process for this long is suspected and
/// gets no new requests. The engine of a working server takes a step, which generates the next
/// tokens, every few milliseconds, so that the server is never silent for so long.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a request waits for the liveness probe of a server that cut its response off. A
/// crashed server refuses connections within one round trip.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Reason for the log when no data arrived before the deadline.
pub const DEADLINE_PASSED: &str = "no more data before the deadline";

/// The server of an attempt, the request's identity and the time limits of the attempt.
#[derive(Debug)]
pub struct AttemptParams {
    /// The server's slot. It is reserved when the server is chosen, so that concurrent choices
    /// already count this request in the server's load.
    pub slot: InFlight,
    /// The version that the server must have; `None` if it may have any.
    pub required_version: Option<SoftwareVersion>,
    /// The request's id; a response that carries another id is discarded.
    pub request_id: RequestId,
    /// The request's content, under which a crash of the server is recorded.
    pub content: Arc<RequestContent>,
    /// What the response must have if the request asks for a stream of events; `None` if it asks
    /// for another response.
    pub expected_events: Option<ExpectedEvents>,
    /// How long the request is expected to wait for a slot at the server. Silence during this
    /// time does not make the server suspected.
    pub expected_wait: Duration,
    /// When to stop waiting for the response head and fail the attempt.
    pub deadline: Instant,
}

/// Why an attempt produced no usable response.
#[derive(Debug)]
pub struct Failure {
    /// What is known about the execution of the request at the server.
    pub outcome: AttemptOutcome,
    /// The reason, for the log.
    pub reason: String,
    /// The error response of the server, if it sent a complete one.
    pub response: Option<FullResponse>,
}

/// A response whose body was received completely.
#[derive(Debug)]
pub struct FullResponse {
    /// Status and headers.
    pub head: response::Parts,
    /// The complete body.
    pub body: Bytes,
}

/// A response whose head was received and whose body is still arriving. Dropping it closes the
/// connection, which makes the server cancel the request.
#[derive(Debug)]
pub struct OpenResponse {
    /// Status and headers as received.
    pub head: response::Parts,
    /// The meaning of the head: who responded, and whether the request was run.
    pub decoded_head: ResponseHead,
    /// The server instance that sent the response.
    pub server: ServerInstance,
    /// The software of that server.
    pub origin: StreamOrigin,
    /// The address of the server.
    addr: SocketAddr,
    node: Arc<Node>,
    request_id: RequestId,
    content: Arc<RequestContent>,
    sent_at: Instant,
    body: ResponseBody,
    connection: Connection,
    slot: InFlight,
    progress: ResponseProgress,
    /// When the head or the last data arrived.
    last_data_at: Instant,
    /// The state of the server after the end of the body, if that had to be found out.
    liveness_at_end: Option<ServerLiveness>,
}

/// How long the data of a response has been arriving.
#[derive(Debug, Clone, Copy)]
enum ResponseProgress {
    NoData,
    Since(Instant),
    /// For so long that no part of the prompt crashed the server.
    Survived,
}

/// The result of waiting for the next frame of a response body.
#[derive(Debug)]
pub enum BodyFrame {
    /// The next bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The body ended before it was complete. Holds the reason.
    CutOff(String),
    /// No data arrived before the deadline.
    TimedOut,
}

/// Sends `request` and waits for the head of its response.
///
/// Returns an error if the request could not be sent, if no head arrived in time, if the response
/// belongs to another request, or if it is encoded. A response that reports a rejection or an
/// error is returned as `Ok`.
pub async fn send(
    node: &Arc<Node>,
    params: AttemptParams,
    request: Request<RequestBody>,
) -> Result<OpenResponse, Failure> {
    let server = params.slot.server();
    let Some((addr, _)) = node.usable_server(server, Instant::now()) else {
        return Err(Failure::no_new_work());
    };
    let sent_at = Instant::now();
    let mut is_new = true;
    let exchange = async {
        let mut pooled = node
            .pool
            .acquire(server, addr, Some(&params.request_id))
            .await?;
        is_new = pooled.is_new;
        if is_new {
            node.metrics.incr(Counter::ServerConnection);
        }
        // The server may have started to drain, or may be a new instance, since it was chosen.
        let required = params.required_version.as_ref();
        let usable = node.usable_server(server, Instant::now());
        let usable = usable.filter(|(_, origin)| required.is_none_or(|it| *it == origin.version));
        let Some((_, origin)) = usable else {
            return Ok(None);
        };
        let response = pooled.connection.send(request).await?;
        Ok::<_, ExchangeError>(Some((pooled.connection, origin, response)))
    };
    let suspect_timeout = SUSPECT_TIMEOUT + params.expected_wait;
    let exchange_result =
        suspect_while_silent(node, server, suspect_timeout, params.deadline, exchange).await;
    if !matches!(exchange_result, Some(Ok(_))) {
        let waited_ms = sent_at.elapsed().as_millis() as u64;
        log::info!(request_id = params.request_id, server = server.id, is_new, waited_ms; "attempt ended without a response head");
    }
    let (connection, origin, response) = match exchange_result {
        Some(Ok(Some(exchanged))) => exchanged,
        Some(Ok(None)) => return Err(Failure::no_new_work()),
        Some(Err(e)) => {
            record_exchange_error(node, server, &e, is_new);
            if matches!(e, ExchangeError::NoCompleteResponse { .. }) {
                let cut_off = CutOffRequest {
                    server: server.clone(),
                    addr,
                    request_id: params.request_id,
                    content: params.content,
                    run_kind: params.slot.run_kind(),
                    framing: None,
                    sent_at,
                    cut_off_at: Instant::now(),
                };
                probe_server(node, cut_off).await;
            }
            let outcome = match e.is_not_sent() {
                true => AttemptOutcome::NotSent,
                false => AttemptOutcome::Unknown,
            };
            return Err(Failure::new(outcome, e.to_string()));
        }
        None => {
            if node
                .loads
                .is_silent(server, suspect_timeout, Instant::now())
            {
                mark_suspected(node, server, "no answer");
            }
            return Err(Failure::new(AttemptOutcome::Unknown, "no response in time"));
        }
    };
    let (head, mut body) = response.into_parts();
    if let Some(expected) = params.expected_events.filter(|_| head.status.is_success()) {
        body.expect_events(expected);
    }
    if body.framing() == Framing::UntilClose {
        node.metrics.incr(Counter::ResponseUntilClose);
    }
    let decoded_head = online::decode_response(&head, &params.request_id);
    if let Some(reason) = unusable_reason(&decoded_head) {
        if decoded_head.for_another_request {
            let response_id = online::response_id(&head);
            let status = head.status.as_u16();
            log::warn!(request_id = params.request_id, server = server.id, response_id, status, is_new; "response of another request");
            node.metrics.incr(Counter::ForeignResponse);
        }
        node.loads.record_outcome(server, true, Instant::now());
        return Err(Failure::new(AttemptOutcome::Unknown, reason));
    }
    let now = Instant::now();
    record_progress(node, server, now);
    if decoded_head.from_another_instance {
        node.record_dead_instance(server);
    }
    // Whether a success is one shows only at the end of its body.
    if decoded_head.status == StatusCode::INTERNAL_SERVER_ERROR {
        node.loads.record_outcome(server, true, now);
    }
    Ok(OpenResponse {
        head,
        decoded_head,
        server: server.clone(),
        origin,
        addr,
        node: Arc::clone(node),
        request_id: params.request_id,
        content: params.content,
        sent_at,
        body,
        connection,
        slot: params.slot,
        progress: ResponseProgress::NoData,
        last_data_at: now,
        liveness_at_end: None,
    })
}

impl Failure {
    /// Creates the failure of a request that was not sent because the server accepts no new ones.
    fn no_new_work() -> Self {
        Self::new(AttemptOutcome::NotSent, "server takes no new work")
    }

    /// Creates a failure that carries no response from the server.
    pub fn new(outcome: AttemptOutcome, reason: impl Into<String>) -> Self {
        Self {
            outcome,
            reason: reason.into(),
            response: None,
        }
    }
}

/// Returns why a response may not be used; `None` if it may.
fn unusable_reason(head: &ResponseHead) -> Option<&'static str> {
    if head.for_another_request {
        Some("response belongs to another request")
    } else if head.is_encoded {
        Some("response is encoded")
    } else {
        None
    }
}

/// Runs `work` until `deadline`; returns `None` if it does not complete in time. If the server
/// is silent for `suspect_timeout` meanwhile, it is marked as suspected and gets no new requests,
/// but `work` goes on.
async fn suspect_while_silent<T>(
    node: &Node,
    server: &ServerInstance,
    suspect_timeout: Duration,
    deadline: Instant,
    work: impl std::future::Future<Output = T>,
) -> Option<T> {
    tokio::pin!(work);
    let suspect_at = Instant::now() + suspect_timeout;
    if suspect_at < deadline {
        tokio::select! {
            biased;
            output = &mut work => return Some(output),
            () = tokio::time::sleep_until(TokioInstant::from_std(suspect_at)) => {}
        }
        if node
            .loads
            .is_silent(server, suspect_timeout, Instant::now())
        {
            mark_suspected(node, server, "silent");
        }
    }
    tokio::select! {
        biased;
        output = &mut work => Some(output),
        () = tokio::time::sleep_until(TokioInstant::from_std(deadline)) => None,
    }
}

/// Records what a failed exchange implies for the server. A server that refuses connections is
/// marked as suspected, and a lost response counts as a failed request. A reused connection
/// that failed before the request was sent implies nothing: the server closed it while idle.
fn record_exchange_error(
    node: &Node,
    server: &ServerInstance,
    error: &ExchangeError,
    is_new: bool,
) {
    match error {
        ExchangeError::Connect { .. } => mark_suspected(node, server, "no connection"),
        ExchangeError::NotSent { .. } if !is_new => {}
        ExchangeError::NotSent { .. }
        | ExchangeError::NoCompleteResponse { .. }
        | ExchangeError::InvalidStatus { .. } => {
            node.loads.record_outcome(server, true, Instant::now());
        }
    }
}

/// Waits for a liveness probe of a server that cut a response off, before the request is sent
/// elsewhere. Without the wait, a request that crashes servers would reach the next servers
/// faster than it is identified.
async fn probe_server(node: &Arc<Node>, cut_off: CutOffRequest) {
    run_probe(
        server_probe::probe(Arc::clone(node), cut_off),
        PROBE_TIMEOUT,
    )
    .await;
}

/// Runs a probe and returns its result. The spawned probe completes even if the caller disconnects.
/// If it takes longer than the timeout, the request continues without its result.
async fn run_probe(
    probe: impl std::future::Future<Output = ServerLiveness> + Send + 'static,
    timeout: Duration,
) -> ServerLiveness {
    match tokio::time::timeout(timeout, tokio::spawn(probe)).await {
        Ok(Ok(liveness)) => liveness,
        Ok(Err(_)) | Err(_) => ServerLiveness::Unknown,
    }
}

fn record_progress(node: &Node, server: &ServerInstance, now: Instant) {
    if let Some(silence) = node.loads.record_progress(server, now) {
        let silent_ms = silence.as_millis() as u64;
        log::info!(server = server.id, silent_ms; "backend server sends again");
    }
}

fn mark_suspected(node: &Node, server: &ServerInstance, reason: &str) {
    if node.loads.mark_suspected(server, Instant::now()) {
        log::info!(server = server.id, reason; "backend server suspected");
    }
}
