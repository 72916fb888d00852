//! Online completions: `POST /v1/chat/completions` and `POST /v1/completions`.
//!
//! The body is checked, the chain decides deployment and class, the request goes to a host
//! ([`crate::forwarding`]) and its answer comes back whole, from another host where the
//! first breaks off ([`crate::answers`]).

use actix_web::http::StatusCode;
use actix_web::{web, HttpRequest, HttpResponse};
use bytes::Bytes;
use foxwheel_core::declarations::Workload;
use foxwheel_core::http::{self, Refused};
use foxwheel_core::protocol::WORKSPACE_HEADER;
use serde::Deserialize;

use crate::answers;
use crate::filters::{self, Exchange};
use crate::forwarding::Outbound;
use crate::state::{GatewayState, WorkerState};

/// Longest accepted request body, in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

fn bad_request(message: impl Into<String>) -> Refused {
    Refused::not_run(StatusCode::BAD_REQUEST, "bad_request", message, None)
}

/// What the gateway reads of a completion request; the rest is the engine's.
#[derive(Debug, Deserialize)]
pub struct CompletionHead {
    /// The model asked for.
    pub model: String,
    /// Whether the answer is to be streamed.
    #[serde(default)]
    pub stream: bool,
    #[serde(default)]
    messages: Option<serde::de::IgnoredAny>,
    #[serde(default)]
    prompt: Option<serde::de::IgnoredAny>,
}

/// Checks a completion body: a JSON object with a string `model` and a prompt.
pub fn check_body(body: &[u8]) -> Result<CompletionHead, Refused> {
    let head: CompletionHead = serde_json::from_slice(body)
        .map_err(|e| bad_request(format!("body is not a completion request: {e}")))?;
    if head.messages.is_none() && head.prompt.is_none() {
        return Err(bad_request("body needs `messages` or `prompt`"));
    }
    Ok(head)
}

/// The handler of both completion routes.
pub async fn complete(
    state: web::Data<GatewayState>,
    worker: web::Data<WorkerState>,
    req: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let head = match check_body(&body) {
        Ok(head) => head,
        Err(refused) => return refused.into_response(),
    };
    let mut exchange = Exchange::new(
        Workload::Online,
        req.path().to_owned(),
        state.config.current(),
    );
    exchange.model = Some(head.model);
    exchange.workspace = http::header_string(&req, WORKSPACE_HEADER);
    if let Err(refused) = filters::run(&state.chain, &mut exchange, &state.counters) {
        return refused.into_response();
    }
    let mut outbound = Outbound::new(&state, &exchange, &req, body);
    let answered = match outbound.send(&state, &worker).await {
        Ok(answered) => answered,
        Err(failure) => return failure.into_response(),
    };
    let admitted = exchange.admitted;
    if head.stream {
        answers::relay_stream(state, worker, outbound, answered, admitted)
    } else {
        answers::whole(&state, &worker, outbound, answered).await
    }
}
