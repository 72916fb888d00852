//! Serves an online request: a stream of events is relayed as it arrives, any other response is
//! sent when it is complete.

use std::sync::Arc;
use std::time::Instant;

use foxwheel_core::metric_names::{Counter, RequestOutcome, Timer};
use foxwheel_platform::online;
use foxwheel_policy::retry::{AttemptOutcome, NextStep};
use foxwheel_policy::routes::RouteKind;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, StatusCode};

use crate::attempt::{FullResponse, OpenResponse};
use crate::node::Node;
use crate::online_request::{OnlineRequest, MIN_TIME_LEFT};
use crate::refusal::Refusal;
use crate::relay;
use crate::responses::{self, CallerResponse};

/// Serves a request and returns the response to its caller. The body of a stream is relayed after
/// this returns.
pub async fn serve(node: Arc<Node>, mut request: OnlineRequest) -> CallerResponse {
    let opened = match request.find_origin(&node).await {
        Ok(()) => request.open_response(&node).await,
        Err(refusal) => Err(refusal),
    };
    let result = match opened {
        Ok(response) if request.route.kind == RouteKind::Stream => {
            return stream_response(node, request, response)
        }
        Ok(response) => full_response(&node, &mut request, response).await,
        Err(refusal) => Err(refusal),
    };
    match result {
        Ok(response) => {
            request.count_served(&node, request.is_on_time());
            node.metrics
                .time(Timer::FirstResponse, request.received_at.elapsed());
            response
        }
        Err(refusal) => {
            request.log_refusal(&refusal);
            request.count_outcome(&node, refusal_outcome(&refusal));
            if let Refusal::NotRun { reason, .. } = &refusal {
                node.metrics.incr(Counter::Refused(*reason));
            }
            refusal_response(
                refusal,
                Instant::now() + MIN_TIME_LEFT >= request.response_deadline,
            )
        }
    }
}

fn refusal_outcome(refusal: &Refusal) -> RequestOutcome {
    match refusal {
        Refusal::NotRun { .. } => RequestOutcome::Refused,
        Refusal::Failed { .. } => RequestOutcome::Failed,
    }
}

fn stream_response(
    node: Arc<Node>,
    request: OnlineRequest,
    response: OpenResponse,
) -> CallerResponse {
    let status = response.head.status;
    let mut headers = online::caller_headers(&response.head.headers);
    // The rest of the stream may come from another server, so that its length is unknown.
    headers.remove(hyper::header::CONTENT_LENGTH);
    let events = relay::relay_stream(node, request, response);
    let mut response = Response::new(StreamBody::new(events).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Reads the complete response. If the body is cut off, the request is sent again as far as its
/// route allows.
async fn full_response(
    node: &Arc<Node>,
    request: &mut OnlineRequest,
    mut response: OpenResponse,
) -> Result<CallerResponse, Refusal> {
    loop {
        let server = response.server.clone();
        let deadline = request.response_deadline;
        match response.read_full_body(&request.connection, deadline).await {
            Ok(body) => {
                let head = response.head.clone();
                let framing = response.body().framing();
                response.finish();
                let age = request.received_at.elapsed();
                node.hold_times.record_hold_time(&request.service, age);
                let age_ms = age.as_millis() as u64;
                let (in_flight, slots) = request.chosen_server_load();
                let on_time = request.is_on_time();
                log::info!(request_id = request.caller.id, server = server.id, in_flight, slots, list_age_ms = request.chosen_list_age_ms(), age_ms, framing:? = framing, on_time; "request served");
                return Ok(forward_response(FullResponse { head, body }));
            }
            Err(reason) => {
                drop(response);
                let next = request.attempts.record(AttemptOutcome::Unknown);
                log::info!(request_id = request.caller.id, server = server.id, reason, next:? = next; "response cut off");
                request.mark_tried(&server);
                if next != NextStep::TryAnother {
                    return Err(Refusal::Failed {
                        reason,
                        response: None,
                    });
                }
                response = request.open_response(node).await?;
            }
        }
    }
}

fn forward_response(received: FullResponse) -> CallerResponse {
    let mut response = Response::new(responses::full_body(received.body));
    *response.status_mut() = received.head.status;
    *response.headers_mut() = online::caller_headers(&received.head.headers);
    response.headers_mut().remove(hyper::header::CONTENT_LENGTH);
    response
}

fn refusal_response(refusal: Refusal, is_timed_out: bool) -> CallerResponse {
    match refusal {
        Refusal::NotRun { retry_after, .. } => {
            responses::not_run(StatusCode::SERVICE_UNAVAILABLE, retry_after)
        }
        Refusal::Failed {
            response: Some(response),
            ..
        } => forward_response(response),
        Refusal::Failed { .. } if is_timed_out => responses::empty(StatusCode::GATEWAY_TIMEOUT),
        Refusal::Failed { .. } => responses::empty(StatusCode::BAD_GATEWAY),
    }
}
