//! Relays a stream of events to its caller, and resumes it at another server when it is cut off.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxwheel_core::ids::SoftwareVersion;
use foxwheel_core::metric_names::{Counter, RequestOutcome, Timer};
use foxwheel_event_stream::splitter::{Event, EventSplitter};
use foxwheel_policy::caller_connections::NoRoom;
use foxwheel_policy::hedging::AwaitedPart;
use foxwheel_policy::membership::{ServerInstance, ServerState};
use futures::Stream;
use hyper::body::Frame;

use crate::attempt::{self, BodyFrame, OpenResponse};
use crate::hedging::{Hedged, OutputState, ServerOutput};
use crate::node::Node;
use crate::online_request::{OnlineRequest, PendingAttempt};
use crate::responses::RelayError;

/// How long the next part of a stream waits for room beside the responses of other callers.
const ROOM_TIMEOUT: Duration = Duration::from_secs(1);

/// What a server sent next of a stream, or how the stream ended.
#[derive(Debug)]
struct StreamPart {
    frame: BodyFrame,
    /// The events that `frame` completed; empty if it is forwarded as it is.
    events: Vec<Event>,
}

impl ServerOutput for StreamPart {
    fn state(&self) -> OutputState {
        self.frame.state()
    }
}

/// Waits for the next part of a stream. If only complete events are forwarded, `splitter` finds them,
/// and other bytes are no progress: a server in trouble may send them without end.
async fn next_part(
    response: &mut OpenResponse,
    mut splitter: Option<&mut EventSplitter>,
    deadline: Instant,
) -> StreamPart {
    loop {
        let frame = response.next_frame(deadline).await;
        let mut events = Vec::new();
        if let (Some(splitter), BodyFrame::Data(data)) = (&mut splitter, &frame) {
            splitter.push(data);
            events.extend(std::iter::from_fn(|| splitter.next_event()));
            if events.is_empty() {
                continue;
            }
        }
        return StreamPart { frame, events };
    }
}

/// What was relayed of a stream.
#[derive(Debug)]
struct Progress {
    started_at: Instant,
    /// Age of the request when the first data arrived, and whether that met the target latency.
    first_data: Option<(Duration, bool)>,
    event_count: u64,
}

impl Progress {
    fn start() -> Self {
        Self {
            started_at: Instant::now(),
            first_data: None,
            event_count: 0,
        }
    }

    /// Records that data arrived. The time to the first data goes into the metrics.
    fn record_data(&mut self, node: &Node, request: &OnlineRequest) {
        if self.first_data.is_none() {
            let age = request.received_at.elapsed();
            node.metrics.time(Timer::FirstResponse, age);
            self.first_data = Some((age, request.is_on_time()));
        }
    }
}

/// Who ended the response of a server before it was complete.
#[derive(Debug, Clone, Copy)]
enum CutBy {
    /// The server, or the network.
    Server,
    /// This process gave it up.
    Front,
}

/// A response that was cut off, as the log describes it.
#[derive(Debug)]
struct CutOff {
    by: CutBy,
    reason: String,
    server: ServerInstance,
    version: SoftwareVersion,
    /// For how long the server had sent nothing.
    silence: Duration,
    /// What the entry of the server says; `None` if it is not listed.
    state: Option<ServerState>,
    config_in_force: Option<u64>,
}

impl CutOff {
    fn new(node: &Node, response: &OpenResponse, by: CutBy, reason: impl Into<String>) -> Self {
        let listed = node.listed_server(&response.server);
        Self {
            by,
            reason: reason.into(),
            server: response.server.clone(),
            version: response.origin.version.clone(),
            silence: response.silent_for(),
            state: listed.map(|listed| listed.state),
            config_in_force: node.config().map(|config| config.version),
        }
    }

    fn record_resumed(&self, node: &Node, request: &OnlineRequest, resumed: &OpenResponse) {
        let silent_ms = self.silence.as_millis() as u64;
        log::warn!(request_id = request.caller.id, server = self.server.id, version = self.version, reason = self.reason, cut_by:? = self.by, silent_ms, state:? = self.state, config_version = request.config_version, config_in_force = self.config_in_force, after = request.last_event_id, resumed_at = resumed.server.id, resumed_version = resumed.origin.version; "stream resumed");
        node.metrics.incr(Counter::StreamResumed);
    }

    fn record_broken(&self, node: &Node, request: &mut OnlineRequest) {
        let silent_ms = self.silence.as_millis() as u64;
        log::warn!(request_id = request.caller.id, server = self.server.id, version = self.version, reason = self.reason, cut_by:? = self.by, silent_ms, state:? = self.state, config_version = request.config_version, config_in_force = self.config_in_force, after = request.last_event_id; "stream broken");
        request.count_outcome(node, RequestOutcome::Failed);
        node.metrics.incr(Counter::StreamCutOff);
    }
}

/// Returns the caller's stream: the body frames of `response`, and after a resumption those of
/// the next server. The stream ends with an error if it is cut off and cannot be resumed.
pub fn relay_stream(
    node: Arc<Node>,
    mut request: OnlineRequest,
    mut response: OpenResponse,
) -> impl Stream<Item = Result<Frame<Bytes>, RelayError>> {
    async_stream::try_stream! {
        let mut splitter = EventSplitter::default();
        let mut progress = Progress::start();
        let mut server = response.server.clone();
        loop {
            let is_resumable = request.route.is_repeatable() && response.body().is_event_stream();
            let can_resume = is_resumable || progress.first_data.is_none();
            if server != response.server {
                server = response.server.clone();
            }
            let events_from = is_resumable.then_some(&mut splitter);
            let next_part = next_part(&mut response, events_from, request.caller_deadline);
            let hedged = match can_resume {
                true => request.hedge(&node, &server, AwaitedPart::Data, next_part).await,
                false => Hedged::First(next_part.await),
            };
            let StreamPart { frame, events } = match hedged {
                Hedged::First(part) => part,
                Hedged::Second { second, first, silence } => {
                    splitter.discard_partial_event();
                    let last_frame = first.map(|part| part.frame);
                    let cut_off = record_given_up(&node, &response, last_frame, silence);
                    response = move_stream(&node, &mut request, response, cut_off, second).await?;
                    continue;
                }
            };
            match frame {
                BodyFrame::Data(data) if !is_resumable => {
                    progress.record_data(&node, &request);
                    yield hold_frame(&node, &mut request, &data).await?;
                }
                BodyFrame::Data(_) => {
                    progress.record_data(&node, &request);
                    let complete = accept_events(&events, &mut request, &mut progress);
                    if complete.is_err() {
                        request.count_outcome(&node, RequestOutcome::Failed);
                    }
                    let complete = complete?;
                    request.record_origin(&node, &response).await;
                    yield hold_frame(&node, &mut request, &complete).await?;
                }
                BodyFrame::End => {
                    // A comment after the last event.
                    if splitter.has_partial_event() {
                        yield Frame::data(splitter.take_rest());
                    }
                    if !is_resumable {
                        progress.event_count = response.body().event_count();
                    }
                    finish_stream(&node, &mut request, response, &progress);
                    break;
                }
                BodyFrame::CutOff(reason) => {
                    splitter.discard_partial_event();
                    let cut_off = CutOff::new(&node, &response, CutBy::Server, reason);
                    response = resume_stream(&node, &mut request, response, can_resume, cut_off).await?;
                }
                BodyFrame::TimedOut => {
                    response.record_failure();
                    splitter.discard_partial_event();
                    let reason = attempt::DEADLINE_PASSED;
                    let cut_off = CutOff::new(&node, &response, CutBy::Front, reason);
                    response = resume_stream(&node, &mut request, response, can_resume, cut_off).await?;
                }
            }
        }
    }
}

/// Returns `data` as a frame whose memory counts as held by the caller's connection until it is written.
/// It is copied, because it would keep the buffer alive that it was read into. Returns an error if there
/// is no room for it.
async fn hold_frame(
    node: &Node,
    request: &mut OnlineRequest,
    data: &[u8],
) -> Result<Frame<Bytes>, RelayError> {
    let deadline = Instant::now() + ROOM_TIMEOUT;
    match request.connection.hold_until(data.len(), deadline).await {
        Ok(held) => Ok(Frame::data(held.attach_to(data))),
        Err(NoRoom) => {
            let reason = NoRoom.to_string();
            log::warn!(request_id = request.caller.id, reason, after = request.last_event_id; "stream broken");
            request.count_outcome(node, RequestOutcome::Failed);
            node.metrics.incr(Counter::StreamCutOff);
            Err(RelayError {
                request_id: request.caller.id.clone(),
                reason,
            })
        }
    }
}

/// Counts and logs a complete stream, and ends its exchange.
fn finish_stream(
    node: &Node,
    request: &mut OnlineRequest,
    response: OpenResponse,
    progress: &Progress,
) {
    let (first_age, on_time) = progress.first_data.unwrap_or_default();
    let took = progress.started_at.elapsed();
    request.count_served(node, on_time);
    node.hold_times.record_hold_time(&request.service, took);
    let (in_flight, slots) = request.chosen_server_load();
    let framing = response.body().framing();
    log::info!(request_id = request.caller.id, server = response.server.id, version = response.origin.version, in_flight, slots, list_age_ms = request.chosen_list_age_ms(), events = progress.event_count, framing:? = framing, on_time, first_ms = first_age.as_millis() as u64, took_ms = took.as_millis() as u64; "stream complete");
    response.finish();
}

/// Records that events go to the caller, and returns their bytes. Returns an error for an event whose
/// id is not the successor of the id before it.
fn accept_events(
    events: &[Event],
    request: &mut OnlineRequest,
    progress: &mut Progress,
) -> Result<Bytes, RelayError> {
    let mut bytes = bytes::BytesMut::new();
    for event in events {
        if let Some(id) = event.id {
            let last = request.last_event_id;
            if last.is_some_and(|last| id != last + 1) {
                return Err(RelayError {
                    request_id: request.caller.id.clone(),
                    reason: format!("event {id} follows event {last:?}"),
                });
            }
            request.last_event_id = Some(id);
        }
        progress.event_count += 1;
        bytes.extend_from_slice(&event.bytes);
    }
    Ok(bytes.freeze())
}

/// Records that `response` is given up for that of a second server, after it was silent for `silence`.
/// `last_frame` is what arrived meanwhile and was not forwarded.
fn record_given_up(
    node: &Node,
    response: &OpenResponse,
    last_frame: Option<BodyFrame>,
    silence: Duration,
) -> CutOff {
    let (by, reason) = match last_frame {
        Some(BodyFrame::CutOff(reason)) => (CutBy::Server, reason),
        Some(BodyFrame::Data(_) | BodyFrame::End) => (CutBy::Front, "went on too late".to_owned()),
        Some(BodyFrame::TimedOut) | None => {
            response.record_failure();
            (CutBy::Front, "silent".to_owned())
        }
    };
    let cut_off = CutOff::new(node, response, by, reason);
    CutOff { silence, ..cut_off }
}

/// Moves a stream to a second server that has accepted the request. Returns an error if neither that
/// one nor another one sends the rest.
async fn move_stream(
    node: &Arc<Node>,
    request: &mut OnlineRequest,
    response: OpenResponse,
    cut_off: CutOff,
    second: PendingAttempt,
) -> Result<OpenResponse, RelayError> {
    // Closes the connection, so that the server stops working on the request.
    drop(response);
    request.record_cut_off_stream();
    let moved = request.complete_attempt(node, second).await;
    let moved = moved.inspect_err(|refusal| request.log_refusal(refusal));
    finish_resumption(node, request, cut_off, moved.ok())
}

/// Resumes a stream that was cut off at another server, after the last complete event. Returns
/// an error if the request may not be run again, if what was sent to the caller cannot be continued,
/// or if no other server sends the rest.
async fn resume_stream(
    node: &Arc<Node>,
    request: &mut OnlineRequest,
    response: OpenResponse,
    can_resume: bool,
    cut_off: CutOff,
) -> Result<OpenResponse, RelayError> {
    // Closes the connection first, so that two servers never run the request at the same time.
    drop(response);
    let resumed = match request.record_cut_off_stream() && can_resume {
        true => request.open_at_another_server(node, &cut_off.server).await,
        false => None,
    };
    finish_resumption(node, request, cut_off, resumed)
}

/// Records whether a stream that was cut off is resumed.
fn finish_resumption(
    node: &Node,
    request: &mut OnlineRequest,
    cut_off: CutOff,
    resumed: Option<OpenResponse>,
) -> Result<OpenResponse, RelayError> {
    match resumed {
        Some(resumed) => {
            cut_off.record_resumed(node, request, &resumed);
            Ok(resumed)
        }
        None => {
            cut_off.record_broken(node, request);
            Err(RelayError {
                request_id: request.caller.id.clone(),
                reason: cut_off.reason,
            })
        }
    }
}
