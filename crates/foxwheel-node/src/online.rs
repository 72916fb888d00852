//! Serving an online request to its end: a stream is passed on as it comes, any other
//! answer when it is whole.

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
use crate::online_request::{OnlineRequest, Refusal, LEAST_TIME_LEFT};
use crate::relay;
use crate::responses::{self, CallerResponse};

/// Serves a request to its end.
pub async fn serve(node: Arc<Node>, mut request: OnlineRequest) -> CallerResponse {
    let opened = request.open(&node).await;
    let answered = match opened {
        Ok(answer) if request.route.kind == RouteKind::Stream => {
            return stream_reply(node, request, answer)
        }
        Ok(answer) => whole_reply(&node, &mut request, answer).await,
        Err(refusal) => Err(refusal),
    };
    match answered {
        Ok(reply) => {
            request.count_served(&node, request.is_on_time());
            node.metrics
                .time(Timer::FirstResponse, request.received_at.elapsed());
            reply
        }
        Err(refusal) => {
            request.log_refusal(&refusal);
            request.count(&node, refusal_outcome(&refusal));
            if let Refusal::NotRun { reason, .. } = &refusal {
                node.metrics.incr(Counter::Refused(*reason));
            }
            refusal_reply(
                refusal,
                Instant::now() + LEAST_TIME_LEFT >= request.response_deadline,
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

fn stream_reply(node: Arc<Node>, request: OnlineRequest, answer: OpenResponse) -> CallerResponse {
    let status = answer.head.status;
    let mut headers = online::caller_headers(&answer.head.headers);
    // The rest may come from another server: its length is not known.
    headers.remove(hyper::header::CONTENT_LENGTH);
    let events = relay::relay(node, request, answer);
    let mut reply = Response::new(StreamBody::new(events).boxed_unsync());
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}

/// Collects the body; a broken one is asked for again where that is allowed.
async fn whole_reply(
    node: &Arc<Node>,
    request: &mut OnlineRequest,
    mut answer: OpenResponse,
) -> Result<CallerResponse, Refusal> {
    loop {
        let server = answer.server.clone();
        match answer.read_full_body(request.response_deadline).await {
            Ok(body) => {
                let head = answer.head.clone();
                answer.finish();
                let age = request.received_at.elapsed();
                node.hold_times.record_hold_time(&request.service, age);
                let age_ms = age.as_millis() as u64;
                let (in_flight, slots) = request.seen_load();
                let on_time = request.is_on_time();
                log::info!(request_id = request.caller.id, server = server.id, in_flight, slots, age_ms, on_time; "request served");
                return Ok(pass_on(FullResponse { head, body }));
            }
            Err(reason) => {
                drop(answer);
                let next = request.attempts.record(AttemptOutcome::Unknown);
                log::info!(request_id = request.caller.id, server = server.id, reason, next:? = next; "answer broken");
                request.tried.push(server);
                if next != NextStep::TryAnother {
                    return Err(Refusal::Failed {
                        reason,
                        answer: None,
                    });
                }
                answer = request.open(node).await?;
            }
        }
    }
}

fn pass_on(answer: FullResponse) -> CallerResponse {
    let mut reply = Response::new(responses::full_body(answer.body));
    *reply.status_mut() = answer.head.status;
    *reply.headers_mut() = online::caller_headers(&answer.head.headers);
    reply.headers_mut().remove(hyper::header::CONTENT_LENGTH);
    reply
}

fn refusal_reply(refusal: Refusal, timed_out: bool) -> CallerResponse {
    match refusal {
        Refusal::NotRun { retry_after, .. } => {
            responses::not_run(StatusCode::SERVICE_UNAVAILABLE, retry_after)
        }
        Refusal::Failed {
            answer: Some(answer),
            ..
        } => pass_on(answer),
        Refusal::Failed { .. } if timed_out => responses::empty(StatusCode::GATEWAY_TIMEOUT),
        Refusal::Failed { .. } => responses::empty(StatusCode::BAD_GATEWAY),
    }
}
