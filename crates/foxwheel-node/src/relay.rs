//! Relays a stream of events to its caller, and resumes it at another server when it is cut off.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxwheel_core::metric_names::{Counter, RequestOutcome, Timer};
use foxwheel_event_stream::splitter::EventSplitter;
use futures::Stream;
use hyper::body::Frame;

use crate::attempt::{self, BodyFrame, OpenResponse};
use crate::node::Node;
use crate::online_request::OnlineRequest;
use crate::responses::RelayError;

/// A resumable stream without an event for this long is resumed at another server. The time is
/// several times the longest pause that callers count as on time, and far below the time after
/// which they give up.
const STREAM_SILENCE_TIMEOUT: Duration = Duration::from_millis(900);

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

/// How a response was cut off.
#[derive(Debug)]
struct CutOff {
    by: CutBy,
    reason: String,
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
        loop {
            let is_resumable = request.route.is_repeatable() && response.body().is_event_stream();
            let can_resume = is_resumable || progress.first_data.is_none();
            let deadline = next_frame_deadline(&request);
            match response.next_frame(deadline).await {
                BodyFrame::Data(data) if !is_resumable => {
                    progress.record_data(&node, &request);
                    yield Frame::data(data);
                }
                BodyFrame::Data(data) => {
                    progress.record_data(&node, &request);
                    splitter.push(&data);
                    let complete = complete_events(&mut splitter, &mut request, &mut progress);
                    if complete.is_err() {
                        request.count_outcome(&node, RequestOutcome::Failed);
                    }
                    let complete = complete?;
                    if !complete.is_empty() {
                        request.record_origin(&node, &response).await;
                        yield Frame::data(complete);
                    }
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
                    let cut = CutOff { by: CutBy::Server, reason };
                    response = resume_stream(&node, &mut request, response, can_resume, cut).await?;
                }
                BodyFrame::TimedOut => {
                    response.record_failure();
                    splitter.discard_partial_event();
                    let reason = attempt::DEADLINE_PASSED.to_owned();
                    let cut = CutOff { by: CutBy::Front, reason };
                    response = resume_stream(&node, &mut request, response, can_resume, cut).await?;
                }
            }
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
    log::info!(request_id = request.caller.id, server = response.server.id, version = response.origin.version, in_flight, slots, events = progress.event_count, framing:? = framing, on_time, first_ms = first_age.as_millis() as u64, took_ms = took.as_millis() as u64; "stream complete");
    response.finish();
}

/// Returns until when to wait for the next body frame.
fn next_frame_deadline(request: &OnlineRequest) -> Instant {
    let can_resume = request.route.is_repeatable() && request.attempts.may_run_again();
    if can_resume {
        request
            .caller_deadline
            .min(Instant::now() + STREAM_SILENCE_TIMEOUT)
    } else {
        request.caller_deadline
    }
}

/// Removes the complete events from `splitter` and returns their bytes. Returns an error for an
/// event whose id is not the successor of the id before it.
fn complete_events(
    splitter: &mut EventSplitter,
    request: &mut OnlineRequest,
    progress: &mut Progress,
) -> Result<Bytes, RelayError> {
    let mut bytes = bytes::BytesMut::new();
    while let Some(event) = splitter.next_event() {
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

/// Resumes a stream that was cut off at another server, after the last complete event. Returns
/// an error if the request may not be run again, if what was sent to the caller cannot be continued,
/// or if no other server sends the rest.
async fn resume_stream(
    node: &Arc<Node>,
    request: &mut OnlineRequest,
    cut_off: OpenResponse,
    can_resume: bool,
    cut: CutOff,
) -> Result<OpenResponse, RelayError> {
    let server = cut_off.server.clone();
    let version = cut_off.origin.version.clone();
    let silent_ms = cut_off.silent_for().as_millis() as u64;
    let (cut_by, reason) = (cut.by, cut.reason);
    let state = node.listed_server(&server).map(|listed| listed.state);
    let config_version = request.config_version;
    let config_in_force = node.config().map(|config| config.version);
    // Closes the connection first, so that two servers never run the request at the same time.
    drop(cut_off);
    let resumed = match request.record_cut_off_stream() && can_resume {
        true => request.open_at_another_server(node, &server).await,
        false => None,
    };
    let last_event_id = request.last_event_id;
    match resumed {
        Some(response) => {
            log::warn!(request_id = request.caller.id, server = server.id, version, reason, cut_by:? = cut_by, silent_ms, state:? = state, config_version, config_in_force, after = last_event_id, resumed_at = response.server.id, resumed_version = response.origin.version; "stream resumed");
            node.metrics.incr(Counter::StreamResumed);
            Ok(response)
        }
        None => {
            log::warn!(request_id = request.caller.id, server = server.id, version, reason, cut_by:? = cut_by, silent_ms, state:? = state, config_version, config_in_force, after = last_event_id; "stream broken");
            request.count_outcome(node, RequestOutcome::Failed);
            node.metrics.incr(Counter::StreamCutOff);
            Err(RelayError {
                request_id: request.caller.id.clone(),
                reason,
            })
        }
    }
}
