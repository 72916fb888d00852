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
use foxwheel_store::client::StoreError;

use crate::filters::{self, Exchange};
use crate::forwarding::{Answered, Outbound, SendFailure};
use crate::idempotency::{self, Begin, CallState, Claim};
use crate::state::{GatewayState, WorkerState};

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
    let path = format!("/{tail}");
    let mut exchange = Exchange::new(Workload::Service, path, state.config.current());
    exchange.service = Some(service.clone());
    exchange.workspace = http::header_string(&req, WORKSPACE_HEADER);
    if let Err(refused) = filters::run(&state.chain, &mut exchange, &state.counters) {
        return refused.into_response();
    }
    let mut outbound = Outbound::new(&state, &exchange, &req, body.clone());
    if exchange.idempotent {
        return match outbound.send(&state, &worker).await {
            Ok(answered) => {
                http::relay_response(answered.response, (answered.in_flight, exchange.admitted))
            }
            Err(failure) => failure.into_response(),
        };
    }
    let Some(key) = http::header_string(&req, IDEMPOTENCY_KEY_HEADER) else {
        return key_required(&service, &exchange.path);
    };
    let workspace = exchange.workspace.as_deref().unwrap_or_default();
    let store_key = keys::idempotency(&service, workspace, &key);
    let request = idempotency::request_fingerprint(req.method().as_str(), &exchange.path, &body);
    match idempotency::begin(&worker.store, &store_key, request).await {
        Ok(Begin::Run(claim)) => run_once(&state, &worker, outbound, claim).await,
        Ok(Begin::Replay { status, body }) => {
            state.counters.incr("idempotency.replayed");
            replay(status, body)
        }
        Ok(Begin::InProgress) => {
            state.counters.incr("idempotency.in_progress");
            in_progress()
        }
        Ok(Begin::KeyReused) => key_reused(),
        Err(e) => {
            state.counters.incr("idempotency.store_unavailable");
            not_recorded(&e, state.settings.retry_after_s)
        }
    }
}

/// Sends a claimed call and records its outcome. Without a whole answer the record stays
/// as started, so that no resend runs it again.
async fn run_once(
    state: &GatewayState,
    worker: &WorkerState,
    mut outbound: Outbound,
    claim: Claim,
) -> HttpResponse {
    let (outcome, response) = match outbound.send(state, worker).await {
        Ok(answered) => read_answer(answered).await,
        Err(SendFailure::NotRun(reply)) => (Some(CallState::NotRun), reply),
        Err(SendFailure::Unknown(reply)) => (None, reply),
    };
    if let Some(outcome) = outcome {
        let store_key = claim.store_key.clone();
        if let Err(e) = idempotency::finish(&worker.store, claim, outcome).await {
            log::warn!("call outcome under {store_key} not recorded: {e}");
        }
    }
    response
}

/// Reads a service's answer whole; the outcome to record, if it is known, and the reply.
async fn read_answer(answered: Answered) -> (Option<CallState>, HttpResponse) {
    let mut response = answered.response;
    let status = response.status();
    match response.body().limit(MAX_ANSWER_BYTES).await {
        Ok(body) => {
            let outcome = CallState::Done {
                status: status.as_u16(),
                body: String::from_utf8_lossy(&body).into_owned(),
            };
            let mut reply = HttpResponse::build(status);
            (
                Some(outcome),
                reply.content_type("application/json").body(body),
            )
        }
        Err(e) => {
            let message = format!("reading the answer: {e}");
            let reply = http::unknown_run_state_response(
                StatusCode::BAD_GATEWAY,
                "backend_failed",
                message,
            );
            (None, reply)
        }
    }
}

fn replay(status: u16, body: String) -> HttpResponse {
    HttpResponse::build(StatusCode::from_u16(status).unwrap_or(StatusCode::OK))
        .insert_header((REPLAYED_HEADER, "true"))
        .content_type("application/json")
        .body(body)
}

fn key_required(service: &str, path: &str) -> HttpResponse {
    http::not_run_response(
        StatusCode::BAD_REQUEST,
        "idempotency_key_required",
        format!("{path} on {service} may not be repeated: send an Idempotency-Key header"),
        None,
    )
}

fn key_reused() -> HttpResponse {
    http::not_run_response(
        StatusCode::UNPROCESSABLE_ENTITY,
        "idempotency_key_reused",
        "this Idempotency-Key was used for another request",
        None,
    )
}

fn in_progress() -> HttpResponse {
    http::unknown_run_state_response(
        StatusCode::CONFLICT,
        "call_in_progress",
        "a call with this Idempotency-Key started earlier and its outcome is not recorded; it will not run again",
    )
}

fn not_recorded(error: &StoreError, retry_after_s: u64) -> HttpResponse {
    http::not_run_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "store_unavailable",
        format!("cannot record the call before running it: {error}"),
        Some(retry_after_s),
    )
}
