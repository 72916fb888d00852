//! Passes requests of an actix-web server on to a backend and relays the responses to the callers.

use std::time::Duration;

use actix_web::http::header::HeaderMap;
use actix_web::http::{Method, StatusCode};
use actix_web::{HttpResponse, HttpResponseBuilder};
use bytes::Bytes;
use foxwheel_core::protocol::{self, RunState};
use hyper::Request;

use crate::client::{ClientResponse, HttpClient, ReadError, SendError};

/// Request headers that are forwarded to the backend. All others are dropped, among them
/// hop-by-hop headers, `host` and `content-length`.
const FORWARDED_HEADERS: &[&str] = &[
    "content-type",
    "accept",
    protocol::REQUEST_ID_HEADER,
    protocol::CLASS_HEADER,
    protocol::WORKSPACE_HEADER,
    protocol::IDEMPOTENCY_KEY_HEADER,
    protocol::RESUME_FROM_HEADER,
];

/// Response headers that are relayed to the caller; all others are dropped.
const RELAYED_HEADERS: &[&str] = &[
    "content-type",
    "content-encoding",
    protocol::REQUEST_ID_HEADER,
    protocol::RUN_STATE_HEADER,
    "cache-control",
    "retry-after",
    protocol::REPLAYED_HEADER,
];

/// Forwards a request to `url` with those of its headers that are passed on. Waits at most `timeout`
/// for the head of the response.
pub async fn forward_request(
    client: &HttpClient,
    method: &Method,
    url: &str,
    headers: &HeaderMap,
    body: Bytes,
    timeout: Duration,
) -> Result<ClientResponse, SendError> {
    let mut builder = Request::builder().method(method.as_str()).uri(url);
    for name in FORWARDED_HEADERS {
        if let Some(value) = headers.get(*name) {
            builder = builder.header(*name, value.as_bytes());
        }
    }
    let request = builder
        .body(body)
        .map_err(|source| SendError::InvalidRequest {
            url: url.to_owned(),
            source,
        })?;
    client.send(request, timeout).await
}

/// Returns whether the request may have run, as stated by the refusal of an agent. Returns `None`
/// if the response comes from the backend itself.
pub fn read_run_state(response: &ClientResponse) -> Option<RunState> {
    let header = response.headers().get(protocol::RUN_STATE_HEADER)?;
    [RunState::NotRun, RunState::Unknown]
        .into_iter()
        .find(|state| header.as_bytes() == state.as_str().as_bytes())
}

/// Returns the status of a response as actix-web represents it.
pub fn status(response: &ClientResponse) -> StatusCode {
    let status = StatusCode::from_u16(response.status().as_u16());
    status.expect("both libraries accept the same numbers")
}

/// Returns a builder of the response to the caller, with the status of the backend's response and
/// those of its headers that are relayed.
pub fn relayed_response_builder(response: &ClientResponse) -> HttpResponseBuilder {
    let mut builder = HttpResponse::build(status(response));
    for name in RELAYED_HEADERS {
        if let Some(value) = response.headers().get(*name) {
            builder.insert_header((*name, value.as_bytes()));
        }
    }
    builder
}

/// Streams a backend's response to the caller. A response that is not complete ends with an error,
/// so that the caller's connection is closed before the end of the body. `guard` is dropped when the
/// stream ends or the caller disconnects, so that a queue slot or an in-flight count is held for
/// exactly that time.
pub fn relay_response<G: 'static>(response: ClientResponse, guard: G) -> HttpResponse {
    relay_with_first_chunk_callback(response, guard, || {})
}

/// Like [`relay_response`], and calls `on_first_chunk` when the first chunk of the body arrives.
pub fn relay_with_first_chunk_callback<G: 'static>(
    response: ClientResponse,
    guard: G,
    on_first_chunk: impl FnOnce() + 'static,
) -> HttpResponse {
    let mut builder = relayed_response_builder(&response);
    let relay = Relay {
        response,
        on_first_chunk: Some(on_first_chunk),
        _guard: guard,
    };
    let body = futures::stream::try_unfold(relay, |mut relay| async move {
        let Some(chunk) = relay.response.next_data().await? else {
            return Ok::<_, ReadError>(None);
        };
        if let Some(on_first_chunk) = relay.on_first_chunk.take() {
            on_first_chunk();
        }
        Ok(Some((chunk, relay)))
    });
    builder.streaming(Box::pin(body))
}

/// A response that is being relayed.
struct Relay<F, G> {
    response: ClientResponse,
    on_first_chunk: Option<F>,
    _guard: G,
}
