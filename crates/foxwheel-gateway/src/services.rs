//! Calls of plain services such as yardbook and emite-cartao: `/services/{service}/{path}`.
//!
//! Calls to paths that the deployment declares non-idempotent need an `Idempotency-Key` header
//! and run at most once ([`crate::idempotency`]). They are never retried once a host may have
//! received them. Other calls are forwarded like online requests.

use actix_web::http::{StatusCode, Version};
use actix_web::{web, HttpRequest, HttpResponse};
use foxwheel_caller_server::connections;
use foxwheel_caller_server::request_body::RequestBody;
use foxwheel_core::declarations::Workload;
use foxwheel_core::protocol::{IDEMPOTENCY_KEY_HEADER, REPLAYED_HEADER, WORKSPACE_HEADER};
use foxwheel_core::{http, keys};
use foxwheel_http_client::client::ReadError;
use foxwheel_http_client::forward;
use foxwheel_store::client::StoreError;

use crate::filters::{self, RequestContext};
use crate::forwarding::{HostResponse, OutboundRequest, SendFailure};
use crate::idempotency::{self, CallState, Claim, ClaimResult};
use crate::state::{GatewayState, WorkerState};

/// Maximum size of a service's response that is stored for replay, in bytes.
const MAX_RESPONSE_BYTES: usize = 512 * 1024;

/// Maximum size of a service's response to a caller that takes no chunks, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Handles `/services/{service}/{path}`.
pub async fn forward_call(
    state: web::Data<GatewayState>,
    worker: web::Data<WorkerState>,
    req: HttpRequest,
    path: web::Path<(String, String)>,
    body: RequestBody,
) -> HttpResponse {
    let RequestBody {
        bytes: body,
        connection,
    } = body;
    let (service, tail) = path.into_inner();
    let path = format!("/{tail}");
    let mut context = RequestContext::new(Workload::Service, path, state.config.current());
    context.service = Some(service.clone());
    context.workspace = http::header_string(&req, WORKSPACE_HEADER);
    if let Err(refused) = filters::apply_chain(&state.filter_chain, &mut context, &state.counters) {
        return refused.into_response();
    }
    // The end of the connection is all that tells such a caller the end of a body in parts.
    let takes_chunks = req.version() >= Version::HTTP_11;
    let buffered_bytes = match (context.idempotent, takes_chunks) {
        (true, true) => 0,
        (true, false) => MAX_BUFFERED_RESPONSE_BYTES,
        (false, _) => MAX_RESPONSE_BYTES,
    };
    let Ok(_held) = connection.hold(buffered_bytes) else {
        return connections::no_room_response("the response");
    };
    let mut outbound = OutboundRequest::new(&state, &context, &req, body.clone());
    if context.idempotent {
        return match outbound.send(&state, &worker).await {
            Ok(host_response) if !takes_chunks => read_relayed_response(host_response).await,
            Ok(host_response) => forward::relay_response(
                host_response.response,
                (host_response.in_flight, context.admission_guard),
            ),
            Err(failure) => failure.into_response(),
        };
    }
    let Some(key) = http::header_string(&req, IDEMPOTENCY_KEY_HEADER) else {
        return key_required_response(&service, &context.path);
    };
    let workspace = context.workspace.as_deref().unwrap_or_default();
    let store_key = keys::idempotency(&service, workspace, &key);
    let fingerprint = idempotency::request_fingerprint(req.method().as_str(), &context.path, &body);
    match idempotency::claim_call(&worker.store, &store_key, fingerprint).await {
        Ok(ClaimResult::Run(claim)) => run_once(&state, &worker, outbound, claim).await,
        Ok(ClaimResult::Replay { status, body }) => {
            state.counters.incr("idempotency.replayed");
            replay_response(status, body)
        }
        Ok(ClaimResult::InProgress) => {
            state.counters.incr("idempotency.in_progress");
            in_progress_response()
        }
        Ok(ClaimResult::KeyReused) => key_reused_response(),
        Err(e) => {
            state.counters.incr("idempotency.store_unavailable");
            not_recorded_response(&e, state.settings.retry_after_s)
        }
    }
}

/// Sends a claimed call and records its outcome. If no complete response is received, the record
/// stays in state `started`, so that no resend runs the call again.
async fn run_once(
    state: &GatewayState,
    worker: &WorkerState,
    mut outbound: OutboundRequest,
    claim: Claim,
) -> HttpResponse {
    let (outcome, response) = match outbound.send(state, worker).await {
        Ok(host_response) => read_service_response(host_response).await,
        Err(SendFailure::NotRun(response)) => (Some(CallState::NotRun), response),
        Err(SendFailure::Unknown(response)) => (None, response),
    };
    if let Some(outcome) = outcome {
        let store_key = claim.store_key.clone();
        if let Err(e) = idempotency::record_outcome(&worker.store, claim, outcome).await {
            log::warn!("the outcome of the call under {store_key} was not recorded: {e}");
        }
    }
    response
}

/// Reads a service's complete response and returns it to the caller with its length.
async fn read_relayed_response(host_response: HostResponse) -> HttpResponse {
    let mut response = host_response.response;
    match response.read_to_end(MAX_BUFFERED_RESPONSE_BYTES).await {
        Ok(body) => forward::relayed_response_builder(&response).body(body),
        Err(e) => incomplete_response(&e),
    }
}

fn incomplete_response(error: &ReadError) -> HttpResponse {
    let message = format!("reading the answer: {error}");
    http::unknown_run_state_response(StatusCode::BAD_GATEWAY, "backend_failed", message)
}

/// Reads a service's complete response. Returns the outcome to record, or `None` if it is not known,
/// and the response for the caller.
async fn read_service_response(host_response: HostResponse) -> (Option<CallState>, HttpResponse) {
    let mut response = host_response.response;
    let status = forward::status(&response);
    match response.read_to_end(MAX_RESPONSE_BYTES).await {
        Ok(body) => {
            let outcome = CallState::Done {
                status: status.as_u16(),
                body: String::from_utf8_lossy(&body).into_owned(),
            };
            let mut builder = HttpResponse::build(status);
            (
                Some(outcome),
                builder.content_type("application/json").body(body),
            )
        }
        Err(e) => (None, incomplete_response(&e)),
    }
}

fn replay_response(status: u16, body: String) -> HttpResponse {
    HttpResponse::build(StatusCode::from_u16(status).unwrap_or(StatusCode::OK))
        .insert_header((REPLAYED_HEADER, "true"))
        .content_type("application/json")
        .body(body)
}

fn key_required_response(service: &str, path: &str) -> HttpResponse {
    http::not_run_response(
        StatusCode::BAD_REQUEST,
        "idempotency_key_required",
        format!("{path} on {service} may not be repeated: send an Idempotency-Key header"),
        None,
    )
}

fn key_reused_response() -> HttpResponse {
    http::not_run_response(
        StatusCode::UNPROCESSABLE_ENTITY,
        "idempotency_key_reused",
        "this Idempotency-Key was used for another request",
        None,
    )
}

fn in_progress_response() -> HttpResponse {
    http::unknown_run_state_response(
        StatusCode::CONFLICT,
        "call_in_progress",
        "a call with this Idempotency-Key started earlier and its outcome is not recorded; it will not run again",
    )
}

fn not_recorded_response(error: &StoreError, retry_after_s: u64) -> HttpResponse {
    http::not_run_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "store_unavailable",
        format!("cannot record the call before running it: {error}"),
        Some(retry_after_s),
    )
}
