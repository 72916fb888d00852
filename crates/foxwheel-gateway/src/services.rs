//! Plain service calls: `/services/{service}/{path}` to yardbook, emite-cartao and the like.
//!
//! Calls to paths the deployment marks non-idempotent need an `Idempotency-Key` header and
//! run at most once: see [`crate::idempotency`]. They are never retried once a host may
//! have received them. Other calls pass through like online requests.

use actix_web::http::StatusCode;
use actix_web::{web, HttpRequest, HttpResponse};
use bytes::Bytes;

use foxwheel_core::declarations::Workload;
use foxwheel_core::protocol::{IDEMPOTENCY_KEY_HEADER, REPLAYED_HEADER, WORKSPACE_HEADER};
use foxwheel_core::{http, keys};

use crate::filters::{self, Exchange};
use crate::forwarding::{Answered, Outbound, SendFailure};
use crate::idempotency::{self, Begin, CallState};
use crate::online::header_string;
use crate::server::{GatewayState, WorkerState};

/// Largest service answer stored for replay, in bytes.
const MAX_ANSWER_BYTES: usize = 512 * 1024;

/// The handler of `/services/{service}/{path}`.
pub async fn call(
    state: web::Data<GatewayState>,
    worker: web::Data<WorkerState>,
    req: HttpRequest,
    path: web::Path<(String, String)>,
    body: Bytes,
) -> HttpResponse {
    let (service, tail) = path.into_inner();
    let tail = format!("/{tail}");
    let mut exchange = Exchange::new(Workload::Service, tail.clone(), state.config.current());
    exchange.service = Some(service.clone());
    exchange.workspace = header_string(&req, WORKSPACE_HEADER);
    if let Err(refused) = filters::run(&state.chain, &mut exchange, &state.counters) {
        return refused.into_response();
    }
    let mut outbound = Outbound::new(&state, &exchange, &req, body.clone());
    if exchange.idempotent {
        return match outbound.send(&state, &worker).await {
            Ok(answered) => http::relay(answered.response, (answered.in_flight, exchange.admitted)),
            Err(failure) => failure.into_response(),
        };
    }
    let Some(key) = header_string(&req, IDEMPOTENCY_KEY_HEADER) else {
        return http::not_run(
            StatusCode::BAD_REQUEST,
            "idempotency_key_required",
            format!("{tail} on {service} may not be repeated: send an Idempotency-Key header"),
            None,
        );
    };
    let workspace = exchange.workspace.as_deref().unwrap_or_default();
    let store_key = keys::idempotency(&service, workspace, &key);
    let request = idempotency::request_fingerprint(req.method().as_str(), &tail, &body);
    let begun = idempotency::begin(&worker.store, &store_key, request).await;
    let (version, record) = match begun {
        Ok(Begin::Run { version, record }) => (version, record),
        Ok(Begin::Replay { status, body }) => {
            state.counters.incr("idempotency.replayed");
            return HttpResponse::build(StatusCode::from_u16(status).unwrap_or(StatusCode::OK))
                .insert_header((REPLAYED_HEADER, "true"))
                .content_type("application/json")
                .body(body);
        }
        Ok(Begin::InProgress) => {
            state.counters.incr("idempotency.in_progress");
            return http::unknown(
                StatusCode::CONFLICT,
                "call_in_progress",
                "a call with this Idempotency-Key started earlier and its outcome is not recorded; it will not run again",
            );
        }
        Ok(Begin::KeyReused) => {
            return http::not_run(
                StatusCode::UNPROCESSABLE_ENTITY,
                "idempotency_key_reused",
                "this Idempotency-Key was used for another request",
                None,
            )
        }
        Err(e) => {
            state.counters.incr("idempotency.store_unavailable");
            return http::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "store_unavailable",
                format!("cannot record the call before running it: {e}"),
                Some(state.settings.retry_after_s),
            );
        }
    };
    let sent = outbound.send(&state, &worker).await;
    let (outcome, answer, response) = match sent {
        Ok(Answered {
            mut response,
            in_flight: _in_flight,
            ..
        }) => {
            let status = response.status();
            match response.body().limit(MAX_ANSWER_BYTES).await {
                Ok(bytes) => {
                    let text = String::from_utf8_lossy(&bytes).into_owned();
                    let reply = HttpResponse::build(status)
                        .content_type("application/json")
                        .body(bytes);
                    (CallState::Done, Some((status.as_u16(), text)), reply)
                }
                Err(e) => (
                    CallState::Started,
                    None,
                    http::unknown(
                        StatusCode::BAD_GATEWAY,
                        "backend_failed",
                        format!("reading the answer: {e}"),
                    ),
                ),
            }
        }
        Err(SendFailure::NotRun(reply)) => (CallState::NotRun, None, reply),
        Err(SendFailure::Unknown(reply)) => (CallState::Started, None, reply),
    };
    if outcome != CallState::Started {
        if let Err(e) =
            idempotency::finish(&worker.store, &store_key, version, record, outcome, answer).await
        {
            log::warn!("call outcome under {store_key} not recorded: {e}");
        }
    }
    response
}
