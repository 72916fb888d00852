//! Relays the complete response of a completion to the caller.
//!
//! A host can die, hang, pause or end its response early ([`crate::hedging`]). A streamed response is
//! forwarded in complete events; another host resumes it after the tokens already delivered. A
//! response that is not streamed is read to its end, from whichever host completes it. If no host
//! completes a stream, the caller's connection is closed without an end of the body, and if no host
//! gives a complete response without streaming, the caller gets an error, so that a part is never
//! mistaken for the complete response.

use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use bytes::{Bytes, BytesMut};
use foxwheel_callers::body::BodyBuffer;
use foxwheel_callers::connections::CallerConnection;
use foxwheel_core::http;
use foxwheel_event_stream::splitter::EventSplitter;
use foxwheel_http_client::forward;

use crate::filters::AdmissionGuard;
use crate::forwarding::{HostResponse, OutboundRequest};
use crate::hedging::{self, BodyReader, HostRun, Progress};
use crate::state::{GatewayState, WorkerState};

/// Data of the last event of a streamed completion.
const LAST_EVENT_DATA: &str = "[DONE]";
/// Maximum size of a response that is not streamed, in bytes.
const MAX_FULL_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Error of a streamed response that was cut off and that no other host completed.
#[derive(Debug, thiserror::Error)]
#[error("the response was cut off after {delivered_tokens} tokens and no other host completed it")]
struct ResponseCutOff {
    delivered_tokens: usize,
}

/// Complete events of a stream.
struct Events {
    bytes: Bytes,
    /// Number of tokens that they carry.
    token_count: usize,
    /// Whether the last event of the stream is among them.
    has_last: bool,
}

/// Splits the stream of one host into events.
struct EventReader {
    splitter: EventSplitter,
    /// Comments that wait for the first event.
    comments: BytesMut,
    /// Whether comments are delivered by themselves. A host that has sent nothing else does not
    /// replace another one.
    delivers_comments: bool,
}

impl EventReader {
    fn new(delivers_comments: bool) -> Self {
        Self {
            splitter: EventSplitter::default(),
            comments: BytesMut::new(),
            delivers_comments,
        }
    }
}

impl BodyReader for EventReader {
    type Delivery = Events;

    const ACCEPTS_ERRORS: bool = false;

    fn factory_for_other_hosts(&self) -> Box<dyn Fn() -> Self> {
        Box::new(|| Self::new(false))
    }

    fn push(&mut self, chunk: &Bytes) -> Progress<Events> {
        self.splitter.push(chunk);
        let mut bytes = std::mem::take(&mut self.comments);
        let mut token_count = 0;
        let mut has_last = false;
        while !has_last {
            let Some(event) = self.splitter.next_event() else {
                break;
            };
            bytes.extend_from_slice(&event.bytes);
            match event.data().as_str() {
                LAST_EVENT_DATA => has_last = true,
                // A comment carries no token.
                "" => {}
                _ => token_count += 1,
            }
        }
        self.delivers_comments |= has_last || token_count > 0;
        if bytes.is_empty() || !self.delivers_comments {
            self.comments = bytes;
            return Progress::NeedsMore;
        }
        Progress::Delivered(Events {
            bytes: bytes.freeze(),
            token_count,
            has_last,
        })
    }

    /// The last event ends the stream; a body that ends before it is not complete.
    fn finish(&mut self) -> Progress<Events> {
        Progress::Incomplete
    }
}

/// A streamed response that is being relayed to the caller.
struct StreamRelay {
    state: web::Data<GatewayState>,
    worker: web::Data<WorkerState>,
    outbound: OutboundRequest,
    /// Host whose events are forwarded; `None` if no events follow, because the last one was
    /// forwarded or the response was cut off for good.
    run: Option<HostRun<EventReader>>,
    /// Held until the response ends.
    _admission_guard: Option<AdmissionGuard>,
    /// Number of events forwarded, each of which carries one token. The last event is not counted.
    delivered_tokens: usize,
}

impl StreamRelay {
    /// Returns the next complete events, or `None` after the last one.
    async fn next_events(&mut self) -> Option<Result<Bytes, ResponseCutOff>> {
        let run = self.run.take()?;
        let host = run.host_response.host.clone();
        self.outbound.resume_after(self.delivered_tokens);
        let next = hedging::next_delivery(&self.state, &self.worker, &mut self.outbound, run);
        let Some((run, events)) = next.await else {
            self.state.counters.incr("streams.broken_off");
            return Some(Err(ResponseCutOff {
                delivered_tokens: self.delivered_tokens,
            }));
        };
        if run.host_response.host != host {
            self.state.counters.incr("streams.resumed");
        }
        self.delivered_tokens += events.token_count;
        self.run = (!events.has_last).then_some(run);
        Some(Ok(events.bytes))
    }
}

/// Streams the response to the caller, and resumes it on another host if its own breaks off or is
/// silent. An error of the engine is not a stream of events and is forwarded unchanged.
pub fn relay_streamed_response(
    state: web::Data<GatewayState>,
    worker: web::Data<WorkerState>,
    outbound: OutboundRequest,
    host_response: HostResponse,
    admission_guard: Option<AdmissionGuard>,
) -> HttpResponse {
    if !host_response.response.status().is_success() {
        return forward::relay_response(
            host_response.response,
            (host_response.in_flight, admission_guard),
        );
    }
    let mut builder = forward::relayed_response_builder(&host_response.response);
    let reader = EventReader::new(true);
    let run = HostRun {
        host_response,
        reader,
    };
    let relay = StreamRelay {
        state,
        worker,
        outbound,
        run: Some(run),
        _admission_guard: admission_guard,
        delivered_tokens: 0,
    };
    let events = futures::stream::unfold(relay, |mut relay| async move {
        let events = relay.next_events().await?;
        Some((events, relay))
    });
    builder.streaming(Box::pin(events))
}

/// Collects a body that is not streamed. The memory for it counts as held by the caller.
struct FullBodyReader {
    connection: CallerConnection,
    body: BodyBuffer,
}

impl FullBodyReader {
    fn new(connection: CallerConnection) -> Self {
        Self {
            body: BodyBuffer::new(&connection, MAX_FULL_RESPONSE_BYTES),
            connection,
        }
    }
}

impl BodyReader for FullBodyReader {
    type Delivery = Bytes;

    const ACCEPTS_ERRORS: bool = true;

    fn factory_for_other_hosts(&self) -> Box<dyn Fn() -> Self> {
        let connection = self.connection.clone();
        Box::new(move || Self::new(connection.clone()))
    }

    fn push(&mut self, chunk: &Bytes) -> Progress<Bytes> {
        match self.body.push(chunk) {
            Ok(()) => Progress::NeedsMore,
            Err(e) => {
                log::debug!("response given up: {e}");
                Progress::Incomplete
            }
        }
    }

    /// A host can end a body early in order, so a complete one is also valid JSON from start to end.
    fn finish(&mut self) -> Progress<Bytes> {
        let empty = BodyBuffer::new(&self.connection, MAX_FULL_RESPONSE_BYTES);
        let body = std::mem::replace(&mut self.body, empty).finish();
        match serde_json::from_slice::<serde::de::IgnoredAny>(&body) {
            Ok(_) => Progress::Delivered(body),
            Err(_) => Progress::Incomplete,
        }
    }
}

/// Reads the response to its end, from another host if its own breaks off or is silent and the other
/// one completes it, and returns it to the caller. If no host gives a complete response, returns an
/// error that leaves open whether the request ran.
pub async fn relay_full_response(
    state: &GatewayState,
    worker: &WorkerState,
    mut outbound: OutboundRequest,
    host_response: HostResponse,
    connection: CallerConnection,
) -> HttpResponse {
    let run = HostRun {
        host_response,
        reader: FullBodyReader::new(connection),
    };
    match hedging::next_delivery(state, worker, &mut outbound, run).await {
        Some((run, body)) => {
            forward::relayed_response_builder(&run.host_response.response).body(body)
        }
        None => {
            state.counters.incr("failed.unknown");
            http::unknown_run_state_response(
                StatusCode::BAD_GATEWAY,
                "backend_failed",
                "the answer broke off and no other host gave it whole",
            )
        }
    }
}
