//! One attempt at one backend server.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxwheel_core::error::WithCauses;
use foxwheel_core::ids::RequestId;
use foxwheel_core::metric_names::Counter;
use foxwheel_http1::connection::{Connection, ExchangeError, RequestBody};
use foxwheel_platform::online::{self, ResponseHead};
use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::retry::AttemptOutcome;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Request, StatusCode};
use tokio::time::Instant as TokioInstant;

use crate::load_table::InFlight;
use crate::node::Node;
use crate::request_content::RequestContent;
use crate::server_probe::{self, CutOffRequest};

/// Silence of a server on all requests of this process after which it is sent nothing new:
/// engines take a step every few milliseconds.
const SUSPECT_SILENCE: Duration = Duration::from_millis(400);

/// Longest wait for what became of a server that broke an answer off: one that crashed refuses
/// connections within a round trip.
const FINDING_PATIENCE: Duration = Duration::from_millis(100);

/// Where an attempt goes and how long it may take.
#[derive(Debug)]
pub struct Target {
    /// The slot taken when the server was chosen, so that the next choice counts it.
    pub slot: InFlight,
    /// The request's id, which the answer must carry.
    pub request_id: RequestId,
    /// What the request asks for.
    pub content: Arc<RequestContent>,
    /// How long it is expected to wait for a slot there.
    pub expected_wait: Duration,
    /// When to stop waiting.
    pub deadline: Instant,
    /// When to stop waiting for the head of the answer and try elsewhere; none waits on.
    pub head_deadline: Option<Instant>,
}

/// Why an attempt gave no usable answer.
#[derive(Debug)]
pub struct Failure {
    /// What is known to have happened.
    pub outcome: AttemptOutcome,
    /// The reason, for the log.
    pub reason: String,
    /// The server's own whole failure, if it answered one.
    pub answer: Option<FullResponse>,
}

/// A server's whole answer.
#[derive(Debug)]
pub struct FullResponse {
    /// Its head.
    pub head: response::Parts,
    /// Its body.
    pub body: Bytes,
}

/// An answer whose head came and whose body is on its way. Dropping it closes the
/// connection, so that the server stops working on it.
#[derive(Debug)]
pub struct OpenResponse {
    /// The answer's head.
    pub head: response::Parts,
    /// The decoded head.
    pub decoded_head: ResponseHead,
    /// The server.
    pub server: ServerInstance,
    node: Arc<Node>,
    request_id: RequestId,
    content: Arc<RequestContent>,
    sent_at: Instant,
    body: Incoming,
    connection: Connection,
    slot: InFlight,
}

/// What came next of a body.
#[derive(Debug)]
pub enum BodyFrame {
    /// Bytes.
    Data(Bytes),
    /// The body ended whole.
    End,
    /// The connection broke or the wait ended first.
    CutOff(String),
}

/// Sends `request` and waits for the head of an answer that belongs to it.
pub async fn send(
    node: &Arc<Node>,
    target: Target,
    request: Request<RequestBody>,
) -> Result<OpenResponse, Failure> {
    let server = target.slot.server();
    let Some(addr) = node.usable_addr(server, Instant::now()) else {
        return Err(Failure::left());
    };
    let sent_at = Instant::now();
    let mut is_new = true;
    let exchange = async {
        let mut lease = node.pool.take(server, addr).await?;
        is_new = lease.is_new;
        if is_new {
            node.metrics.incr(Counter::ServerConnection);
        }
        // It may have begun to drain while the connection was opened.
        if node.usable_addr(server, Instant::now()).is_none() {
            return Ok(None);
        }
        let response = lease.connection.send(request).await?;
        Ok::<_, ExchangeError>(Some((lease.connection, response)))
    };
    let wait_until = target
        .head_deadline
        .map_or(target.deadline, |at| at.min(target.deadline));
    let patience = SUSPECT_SILENCE + target.expected_wait;
    let exchanged = bounded(node, server, patience, wait_until, exchange).await;
    if !matches!(exchanged, Some(Ok(_))) {
        let waited_ms = sent_at.elapsed().as_millis() as u64;
        log::info!(request_id = target.request_id, server = server.id, is_new, waited_ms; "connection given up");
    }
    let (connection, response) = match exchanged {
        Some(Ok(Some(exchanged))) => exchanged,
        Some(Ok(None)) => return Err(Failure::left()),
        Some(Err(e)) => {
            note_broken(node, server, &e, is_new);
            if matches!(e, ExchangeError::Broken { .. }) {
                let run = CutOffRequest {
                    server: server.clone(),
                    request_id: target.request_id,
                    content: target.content,
                    sent_at,
                    broke_at: Instant::now(),
                };
                look_at_server(node, run).await;
            }
            let outcome = match e.is_not_sent() {
                true => AttemptOutcome::NotSent,
                false => AttemptOutcome::Unknown,
            };
            return Err(Failure::new(outcome, e.to_string()));
        }
        None => {
            if node.loads.is_silent(server, patience, Instant::now()) {
                note_suspect(node, server, "no answer");
            }
            return Err(Failure::new(AttemptOutcome::Unknown, "no answer in time"));
        }
    };
    let (head, body) = response.into_parts();
    let decoded_head = online::decode_response(&head, &target.request_id);
    if decoded_head.for_another_request || decoded_head.is_encoded {
        node.loads.record_outcome(server, true, Instant::now());
        return Err(Failure::new(
            AttemptOutcome::Unknown,
            "answer is not the request's",
        ));
    }
    let now = Instant::now();
    node.loads.record_progress(server, now);
    if decoded_head.from_another_instance {
        node.record_dead_instance(server);
    }
    if decoded_head.status.is_success() || decoded_head.status == StatusCode::INTERNAL_SERVER_ERROR
    {
        let failed = !decoded_head.status.is_success();
        node.loads.record_outcome(server, failed, now);
    }
    Ok(OpenResponse {
        head,
        decoded_head,
        server: server.clone(),
        node: Arc::clone(node),
        request_id: target.request_id,
        content: target.content,
        sent_at,
        body,
        connection,
        slot: target.slot,
    })
}

impl OpenResponse {
    /// The next piece of the body, waited for until `deadline`.
    pub async fn next_frame(&mut self, deadline: Instant) -> BodyFrame {
        loop {
            let frame = self.body.frame();
            let next = bounded(&self.node, &self.server, SUSPECT_SILENCE, deadline, frame).await;
            return match next {
                Some(None) => BodyFrame::End,
                Some(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => {
                        self.node
                            .loads
                            .record_progress(&self.server, Instant::now());
                        BodyFrame::Data(data)
                    }
                    // Trailers concern the connection only.
                    Err(_) => continue,
                },
                Some(Some(Err(e))) => {
                    look_at_server(&self.node, self.broken_run()).await;
                    BodyFrame::CutOff(WithCauses(&e).to_string())
                }
                None => BodyFrame::CutOff("silent for too long".to_owned()),
            };
        }
    }

    fn broken_run(&self) -> CutOffRequest {
        CutOffRequest {
            server: self.server.clone(),
            request_id: self.request_id.clone(),
            content: Arc::clone(&self.content),
            sent_at: self.sent_at,
            broke_at: Instant::now(),
        }
    }

    /// The whole body, waited for until `deadline`.
    pub async fn read_full_body(&mut self, deadline: Instant) -> Result<Bytes, String> {
        let mut whole = bytes::BytesMut::new();
        loop {
            match self.next_frame(deadline).await {
                BodyFrame::Data(data) => whole.extend_from_slice(&data),
                BodyFrame::End => return Ok(whole.freeze()),
                BodyFrame::CutOff(reason) => return Err(reason),
            }
        }
    }

    /// Gives the connection back after a body that ended whole.
    pub fn finish(self) {
        let Self {
            decoded_head,
            server,
            node,
            connection,
            slot,
            content,
            ..
        } = self;
        drop(slot);
        if decoded_head.status.is_success() && !decoded_head.not_run {
            node.record_success(&content, &server);
        }
        if !decoded_head.closes_connection {
            node.pool
                .put(&server, connection, decoded_head.idle_timeout);
        }
    }
}

impl Failure {
    /// The server takes no new work, so it was sent nothing.
    fn left() -> Self {
        Self::new(AttemptOutcome::NotSent, "server takes no new work")
    }

    /// A failure without an answer of the server's.
    pub fn new(outcome: AttemptOutcome, reason: impl Into<String>) -> Self {
        Self {
            outcome,
            reason: reason.into(),
            answer: None,
        }
    }
}

/// Waits for `work` until `deadline`; meanwhile a server that stays silent for `patience`
/// is sent nothing new.
async fn bounded<T>(
    node: &Node,
    server: &ServerInstance,
    patience: Duration,
    deadline: Instant,
    work: impl std::future::Future<Output = T>,
) -> Option<T> {
    tokio::pin!(work);
    let suspect_at = Instant::now() + patience;
    if suspect_at < deadline {
        tokio::select! {
            biased;
            done = &mut work => return Some(done),
            () = tokio::time::sleep_until(TokioInstant::from_std(suspect_at)) => {}
        }
        if node.loads.is_silent(server, patience, Instant::now()) {
            note_suspect(node, server, "silent");
        }
    }
    tokio::select! {
        biased;
        done = &mut work => Some(done),
        () = tokio::time::sleep_until(TokioInstant::from_std(deadline)) => None,
    }
}

/// What a broken exchange says of its server: one that cannot be connected to is sent nothing
/// for a while; an answer that was lost is a failure; a connection that the server closed
/// while it was idle says nothing.
fn note_broken(node: &Node, server: &ServerInstance, error: &ExchangeError, is_new: bool) {
    match error {
        ExchangeError::Connect { .. } => note_suspect(node, server, "no connection"),
        ExchangeError::NotSent { .. } if !is_new => {}
        ExchangeError::NotSent { .. } | ExchangeError::Broken { .. } => {
            node.loads.record_outcome(server, true, Instant::now());
        }
    }
}

/// Has the server looked at that broke an answer off, before the request goes on elsewhere:
/// one that crashes servers would otherwise reach the next ones faster than it is found out.
async fn look_at_server(node: &Arc<Node>, run: CutOffRequest) {
    let look = server_probe::look(Arc::clone(node), run);
    // Looked for to the end, also when the caller leaves meanwhile; without a finding in time
    // the request goes on.
    let _ = tokio::time::timeout(FINDING_PATIENCE, tokio::spawn(look)).await;
}

fn note_suspect(node: &Node, server: &ServerInstance, reason: &str) {
    if node.loads.mark_suspected(server, Instant::now()) {
        log::info!(server = server.id, reason; "backend server suspected");
    }
}
