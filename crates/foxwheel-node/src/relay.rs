//! Passing a stream of events on to its caller, and resuming it elsewhere after a break.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxwheel_core::metric_names::{Counter, RequestOutcome, Timer};
use futures::Stream;
use hyper::body::Frame;

use crate::attempt::{BodyFrame, OpenResponse};
use crate::event_stream::EventSplitter;
use crate::node::Node;
use crate::online_request::OnlineRequest;
use crate::responses::RelayError;

/// Silence between events after which a resumable stream goes on elsewhere: several times
/// the longest pause that callers count as on time, far below where they give up.
const RESUME_SILENCE: Duration = Duration::from_millis(900);

/// Passes `answer` on as it comes. The stream ends in an error if it breaks for good.
pub fn relay(
    node: Arc<Node>,
    mut request: OnlineRequest,
    mut answer: OpenResponse,
) -> impl Stream<Item = Result<Frame<Bytes>, RelayError>> {
    async_stream::try_stream! {
        let mut splitter = EventSplitter::default();
        let started = Instant::now();
        let mut events = 0_u32;
        let mut first = None;
        loop {
            let resumable = request.route.is_repeatable();
            let deadline = silence_limit(&request);
            let piece = answer.next_frame(deadline).await;
            if first.is_none() && matches!(piece, BodyFrame::Data(_)) {
                let age = request.received_at.elapsed();
                node.metrics.time(Timer::FirstResponse, age);
                first = Some((age, request.is_on_time()));
            }
            match piece {
                BodyFrame::Data(data) if !resumable => yield Frame::data(data),
                BodyFrame::Data(data) => {
                    splitter.push(&data);
                    let whole = whole_events(&mut splitter, &mut request, &mut events);
                    if whole.is_err() {
                        request.count(&node, RequestOutcome::Failed);
                    }
                    let whole = whole?;
                    if !whole.is_empty() {
                        yield Frame::data(whole);
                    }
                }
                BodyFrame::End if !splitter.has_partial_event() => {
                    let (first_age, on_time) = first.unwrap_or_default();
                    request.count_served(&node, on_time);
                    node.hold_times.record_hold_time(&request.service, started.elapsed());
                    let (in_flight, slots) = request.seen_load();
                    log::info!(request_id = request.caller.id, server = answer.server.id, in_flight, slots, events, on_time, first_ms = first_age.as_millis() as u64, took_ms = started.elapsed().as_millis() as u64; "stream complete");
                    answer.finish();
                    break;
                }
                BodyFrame::End => {
                    answer = resume(&node, &mut request, answer, "ended within an event").await?;
                    splitter.discard_partial_event();
                }
                BodyFrame::CutOff(reason) => {
                    answer = resume(&node, &mut request, answer, &reason).await?;
                    splitter.discard_partial_event();
                }
            }
        }
    }
}

/// Until when the next piece is waited for.
fn silence_limit(request: &OnlineRequest) -> Instant {
    let elsewhere = request.route.is_repeatable() && request.attempts.may_run_again();
    if elsewhere {
        request.caller_deadline.min(Instant::now() + RESUME_SILENCE)
    } else {
        request.caller_deadline
    }
}

/// The bytes of the events that are whole now. Fails on an event that does not follow the
/// one before.
fn whole_events(
    splitter: &mut EventSplitter,
    request: &mut OnlineRequest,
    events: &mut u32,
) -> Result<Bytes, RelayError> {
    let mut whole = bytes::BytesMut::new();
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
        *events += 1;
        whole.extend_from_slice(&event.bytes);
    }
    Ok(whole.freeze())
}

/// Opens the rest of a broken stream at another server.
async fn resume(
    node: &Arc<Node>,
    request: &mut OnlineRequest,
    broken: OpenResponse,
    reason: &str,
) -> Result<OpenResponse, RelayError> {
    let server = broken.server.clone();
    // Closes the connection first, so that two servers never work on one request.
    drop(broken);
    node.loads.record_outcome(&server, true, Instant::now());
    let opened = match request.may_resume() {
        true => request.open_elsewhere(node, &server).await,
        false => None,
    };
    let after = request.last_event_id;
    match opened {
        Some(answer) => {
            log::warn!(request_id = request.caller.id, server = server.id, reason, after, resumed_at = answer.server.id; "stream resumed");
            node.metrics.incr(Counter::StreamResumed);
            Ok(answer)
        }
        None => {
            log::warn!(request_id = request.caller.id, server = server.id, reason, after; "stream broken");
            request.count(node, RequestOutcome::Failed);
            node.metrics.incr(Counter::StreamBroken);
            Err(RelayError {
                request_id: request.caller.id.clone(),
                reason: reason.to_owned(),
            })
        }
    }
}
