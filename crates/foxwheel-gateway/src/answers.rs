//! Bringing a completion's answer back whole.
//!
//! A host may die, hang or end its answer early. A streamed answer is passed on by whole
//! events; when it breaks off before its last event, another host is asked for the rest
//! after the tokens already delivered. An answer that is not streamed is read whole and
//! asked for again. When no host finishes it, the caller's connection is broken off, so that
//! a part is never taken for the whole.

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use bytes::{Bytes, BytesMut};
use foxwheel_core::http::{self, BackendResponse};
use futures::StreamExt;
use memchr::memmem;

use crate::filters::AdmissionGuard;
use crate::forwarding::{Answered, Outbound};
use crate::state::{GatewayState, WorkerState};

/// Ends one server-sent event.
const EVENT_END: &[u8] = b"\n\n";
/// The last event of a completion.
const LAST_EVENT: &[u8] = b"data: [DONE]\n\n";
/// Largest answer that is not streamed, in bytes.
const MAX_WHOLE_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// A streamed answer broke off and nobody finished it.
#[derive(Debug, thiserror::Error)]
#[error("the answer broke off after {delivered} tokens and no host finished it")]
struct BrokenOff {
    delivered: usize,
}

/// The next part of an answer, or `None` when it ended, broke or stalled.
async fn next_part(response: &mut BackendResponse, stall: Duration) -> Option<Bytes> {
    let part = tokio::time::timeout(stall, response.next()).await;
    part.ok()??.ok()
}

/// A streamed answer on its way to the caller.
struct Relay {
    state: web::Data<GatewayState>,
    worker: web::Data<WorkerState>,
    outbound: Outbound,
    answered: Answered,
    /// Held until the answer ends.
    _admitted: Option<AdmissionGuard>,
    /// Read but not yet a whole event.
    partial: BytesMut,
    /// Events passed on, one token each; the last event is not counted.
    delivered: usize,
    done: bool,
}

impl Relay {
    /// The next whole events, `None` after the last.
    async fn next(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        let stall = Duration::from_millis(self.state.settings.stream_stall_ms);
        while !self.done {
            match next_part(&mut self.answered.response, stall).await {
                Some(part) => {
                    self.partial.extend_from_slice(&part);
                    if let Some(events) = self.take_events() {
                        return Some(Ok(events));
                    }
                }
                None => {
                    if let Err(broken) = self.resume().await {
                        self.done = true;
                        return Some(Err(broken));
                    }
                }
            }
        }
        None
    }

    fn take_events(&mut self) -> Option<Bytes> {
        let end = memmem::rfind(&self.partial, EVENT_END)? + EVENT_END.len();
        let events = self.partial.split_to(end).freeze();
        self.done = events.ends_with(LAST_EVENT);
        self.delivered += memmem::find_iter(&events, EVENT_END).count() - usize::from(self.done);
        Some(events)
    }

    /// Goes on with another host, which starts after the tokens delivered.
    async fn resume(&mut self) -> Result<(), BrokenOff> {
        self.partial.clear();
        let counters = self.state.counters.clone();
        self.outbound.broke_off(self.answered.host.clone());
        self.outbound.resume_after(self.delivered);
        match self.outbound.send(&self.state, &self.worker).await {
            Ok(answered) if answered.response.status().is_success() => {
                counters.incr("streams.resumed");
                self.answered = answered;
                Ok(())
            }
            _ => {
                counters.incr("streams.broken_off");
                Err(BrokenOff {
                    delivered: self.delivered,
                })
            }
        }
    }
}

/// Streams the answer to the caller, resuming it elsewhere when it breaks off. An answer
/// that is no stream of events (an error of the engine) is passed on as it is.
pub fn relay_stream(
    state: web::Data<GatewayState>,
    worker: web::Data<WorkerState>,
    outbound: Outbound,
    answered: Answered,
    admitted: Option<AdmissionGuard>,
) -> HttpResponse {
    if !answered.response.status().is_success() {
        return http::relay_response(answered.response, (answered.in_flight, admitted));
    }
    let mut builder = http::relayed_response_builder(&answered.response);
    let relay = Relay {
        state,
        worker,
        outbound,
        answered,
        _admitted: admitted,
        partial: BytesMut::new(),
        delivered: 0,
        done: false,
    };
    let events = futures::stream::unfold(relay, |mut relay| async move {
        let events = relay.next().await?;
        Some((events, relay))
    });
    builder.streaming(Box::pin(events))
}

/// Reads the answer whole, from another host when it breaks off, and answers it.
pub async fn whole(
    state: &GatewayState,
    worker: &WorkerState,
    mut outbound: Outbound,
    mut answered: Answered,
) -> HttpResponse {
    let stall = Duration::from_millis(state.settings.stream_stall_ms);
    loop {
        if let Some(answer) = read_whole(&mut answered.response, stall).await {
            return http::relayed_response_builder(&answered.response).body(answer);
        }
        state.counters.incr("retried.broke_off");
        outbound.broke_off(answered.host);
        answered = match outbound.send(state, worker).await {
            Ok(answered) => answered,
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

/// The body, if it is whole: JSON from start to end.
async fn read_whole(response: &mut BackendResponse, stall: Duration) -> Option<Bytes> {
    let mut body = BytesMut::new();
    while body.len() <= MAX_WHOLE_ANSWER_BYTES {
        match next_part(response, stall).await {
            Some(part) => body.extend_from_slice(&part),
            None => {
                let is_whole = serde_json::from_slice::<serde::de::IgnoredAny>(&body).is_ok();
                return is_whole.then(|| body.freeze());
            }
        }
    }
    None
}
