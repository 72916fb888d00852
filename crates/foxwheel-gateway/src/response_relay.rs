//! Relays the complete response of a completion to the caller.
//!
//! A host can die, hang or end its response early. A streamed response is forwarded in complete
//! events; if it is cut off before its last event, the request is sent to another host, which
//! resumes after the tokens already delivered. A response that is not streamed is read to its
//! end, and the request is sent again if it is incomplete. If no host completes a stream, the
//! caller's connection is closed without an end of the body, and if no host gives a complete
//! response without streaming, the caller gets an error, so that a part is never mistaken for
//! the complete response.

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use bytes::{Bytes, BytesMut};
use foxwheel_core::http;
use foxwheel_event_stream::splitter::EventSplitter;
use foxwheel_http_client::client::ClientResponse;
use foxwheel_http_client::forward;

use crate::filters::AdmissionGuard;
use crate::forwarding::{HostResponse, OutboundRequest};
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

/// Returns the next chunk of a response body, or `None` if the body ended, failed or delivered
/// nothing for `stall_timeout`.
async fn next_body_chunk(response: &mut ClientResponse, stall_timeout: Duration) -> Option<Bytes> {
    let chunk = tokio::time::timeout(stall_timeout, response.next_data()).await;
    chunk.ok()?.ok()?
}

/// A streamed response that is being relayed to the caller.
struct StreamRelay {
    state: web::Data<GatewayState>,
    worker: web::Data<WorkerState>,
    outbound: OutboundRequest,
    host_response: HostResponse,
    /// Held until the response ends.
    _admission_guard: Option<AdmissionGuard>,
    events: EventSplitter,
    /// Number of events forwarded, each of which carries one token. The last event is not counted.
    delivered_tokens: usize,
    /// Whether no events follow, because the last one was forwarded or the response was cut off for
    /// good.
    has_ended: bool,
}

impl StreamRelay {
    /// Returns the next complete events, or `None` after the last one.
    async fn next_events(&mut self) -> Option<Result<Bytes, ResponseCutOff>> {
        let stall_timeout = Duration::from_millis(self.state.settings.stream_stall_ms);
        while !self.has_ended {
            match next_body_chunk(&mut self.host_response.response, stall_timeout).await {
                Some(chunk) => {
                    self.events.push(&chunk);
                    let events = self.take_complete_events();
                    if !events.is_empty() {
                        return Some(Ok(events));
                    }
                }
                None => {
                    if let Err(cut_off) = self.resume_on_another_host().await {
                        self.has_ended = true;
                        return Some(Err(cut_off));
                    }
                }
            }
        }
        None
    }

    /// Returns the bytes of the complete events received, up to the last one of the stream.
    fn take_complete_events(&mut self) -> Bytes {
        let mut bytes = BytesMut::new();
        while !self.has_ended {
            let Some(event) = self.events.next_event() else {
                break;
            };
            bytes.extend_from_slice(&event.bytes);
            match event.data().as_str() {
                LAST_EVENT_DATA => self.has_ended = true,
                // A comment carries no token.
                "" => {}
                _ => self.delivered_tokens += 1,
            }
        }
        bytes.freeze()
    }

    /// Sends the request to another host, which resumes after the tokens delivered so far.
    async fn resume_on_another_host(&mut self) -> Result<(), ResponseCutOff> {
        self.events.discard_partial_event();
        let counters = self.state.counters.clone();
        self.outbound
            .record_cut_off(self.host_response.host.clone());
        self.outbound.resume_after(self.delivered_tokens);
        match self.outbound.send(&self.state, &self.worker).await {
            Ok(host_response) if host_response.response.status().is_success() => {
                counters.incr("streams.resumed");
                self.host_response = host_response;
                Ok(())
            }
            _ => {
                counters.incr("streams.broken_off");
                Err(ResponseCutOff {
                    delivered_tokens: self.delivered_tokens,
                })
            }
        }
    }
}

/// Streams the response to the caller and resumes it on another host if it is cut off. An error
/// of the engine is not a stream of events and is forwarded unchanged.
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
    let relay = StreamRelay {
        state,
        worker,
        outbound,
        host_response,
        _admission_guard: admission_guard,
        events: EventSplitter::default(),
        delivered_tokens: 0,
        has_ended: false,
    };
    let events = futures::stream::unfold(relay, |mut relay| async move {
        let events = relay.next_events().await?;
        Some((events, relay))
    });
    builder.streaming(Box::pin(events))
}

/// Reads the response to its end, from another host if it is cut off, and returns it to the
/// caller. If no host gives a complete response, returns an error that leaves open whether the
/// request ran.
pub async fn relay_full_response(
    state: &GatewayState,
    worker: &WorkerState,
    mut outbound: OutboundRequest,
    mut host_response: HostResponse,
) -> HttpResponse {
    let stall_timeout = Duration::from_millis(state.settings.stream_stall_ms);
    loop {
        if let Some(body) = read_full_body(&mut host_response.response, stall_timeout).await {
            return forward::relayed_response_builder(&host_response.response).body(body);
        }
        state.counters.incr("retried.broke_off");
        outbound.record_cut_off(host_response.host);
        host_response = match outbound.send(state, worker).await {
            Ok(host_response) => host_response,
            Err(_) => {
                state.counters.incr("failed.unknown");
                return http::unknown_run_state_response(
                    StatusCode::BAD_GATEWAY,
                    "backend_failed",
                    "the answer broke off and no other host gave it whole",
                );
            }
        };
    }
}

/// Returns the body if it is complete, which means that it has the end that its framing marks and is
/// valid JSON. Returns `None` if it is not, or if it is larger than `MAX_FULL_RESPONSE_BYTES`.
async fn read_full_body(response: &mut ClientResponse, stall_timeout: Duration) -> Option<Bytes> {
    let mut body = BytesMut::new();
    while body.len() <= MAX_FULL_RESPONSE_BYTES {
        // A body that paused or broke off is not complete, even if it is valid JSON so far.
        let read = tokio::time::timeout(stall_timeout, response.next_data()).await;
        match read.ok()?.ok()? {
            Some(chunk) => body.extend_from_slice(&chunk),
            None => {
                let is_complete = serde_json::from_slice::<serde::de::IgnoredAny>(&body).is_ok();
                return is_complete.then(|| body.freeze());
            }
        }
    }
    None
}
