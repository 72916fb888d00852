//! Online completions: `POST /v1/chat/completions` and `POST /v1/completions`.
//!
//! The body is checked, the filter chain decides the deployment and the priority class, and the
//! request is sent to a host ([`crate::forwarding`]). The complete response is relayed to the
//! caller; if the first host's response is cut off, another host completes it
//! ([`crate::response_relay`]).

use actix_web::http::StatusCode;
use actix_web::{web, HttpRequest, HttpResponse};
use foxwheel_caller_server::request_body::RequestBody;
use foxwheel_core::declarations::Workload;
use foxwheel_core::http::{self, Refused};
use foxwheel_core::protocol::WORKSPACE_HEADER;
use serde::Deserialize;

use crate::filters::{self, RequestContext};
use crate::forwarding::OutboundRequest;
use crate::response_relay;
use crate::state::{GatewayState, WorkerState};

fn bad_request(message: impl Into<String>) -> Refused {
    Refused::not_run(StatusCode::BAD_REQUEST, "bad_request", message, None)
}

/// The fields of a completion request that the gateway reads. All others are left to the engine.
#[derive(Debug, Deserialize)]
pub struct CompletionFields {
    /// Requested model.
    pub model: String,
    /// Whether the response is to be streamed.
    #[serde(default)]
    pub stream: bool,
    #[serde(default)]
    messages: Option<serde::de::IgnoredAny>,
    #[serde(default)]
    prompt: Option<serde::de::IgnoredAny>,
}

/// Checks that a completion's body is a JSON object with a string `model` and with `messages` or a
/// `prompt`. Returns the refusal for the caller otherwise.
pub fn check_completion_body(body: &[u8]) -> Result<CompletionFields, Refused> {
    let head: CompletionFields = serde_json::from_slice(body)
        .map_err(|e| bad_request(format!("body is not a completion request: {e}")))?;
    if head.messages.is_none() && head.prompt.is_none() {
        return Err(bad_request("body needs `messages` or `prompt`"));
    }
    Ok(head)
}

/// Handles both completion routes.
pub async fn handle_completion(
    state: web::Data<GatewayState>,
    worker: web::Data<WorkerState>,
    req: HttpRequest,
    body: RequestBody,
) -> HttpResponse {
    let RequestBody {
        bytes: body,
        connection,
    } = body;
    let head = match check_completion_body(&body) {
        Ok(head) => head,
        Err(refused) => return refused.into_response(),
    };
    let mut context = RequestContext::new(
        Workload::Online,
        req.path().to_owned(),
        state.config.current(),
    );
    context.model = Some(head.model);
    context.workspace = http::header_string(&req, WORKSPACE_HEADER);
    if let Err(refused) = filters::apply_chain(&state.filter_chain, &mut context, &state.counters) {
        return refused.into_response();
    }
    let mut outbound = OutboundRequest::new(&state, &context, &req, body);
    let host_response = match outbound.send(&state, &worker).await {
        Ok(host_response) => host_response,
        Err(failure) => return failure.into_response(),
    };
    let admission_guard = context.admission_guard;
    if head.stream {
        response_relay::relay_streamed_response(
            state,
            worker,
            outbound,
            host_response,
            admission_guard,
        )
    } else {
        response_relay::relay_full_response(&state, &worker, outbound, host_response, connection)
            .await
    }
}
