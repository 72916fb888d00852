//! Construction of the responses that a front sends to callers.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use foxwheel_core::ids::RequestId;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Delay after which a caller should retry that was refused because other callers take all memory: by
/// then those that are behind have made room.
pub const NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A relayed stream ended early. The error makes the HTTP server close the caller's connection,
/// so that the response is not mistaken for a complete one.
#[derive(Debug, thiserror::Error)]
#[error("stream of request {request_id} ended early: {reason}")]
pub struct RelayError {
    /// The id of the caller's request.
    pub request_id: RequestId,
    /// Why the stream could not be continued.
    pub reason: String,
}

/// The body of every response to a caller: complete or streamed.
pub type CallerBody = UnsyncBoxBody<Bytes, RelayError>;

/// A response to a caller.
pub type CallerResponse = Response<CallerBody>;

/// Creates a complete body.
pub fn full_body(bytes: impl Into<Bytes>) -> CallerBody {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Creates a response without a body.
pub fn empty(status: StatusCode) -> CallerResponse {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Creates a plain-text response.
pub fn text(code: StatusCode, text: &str) -> CallerResponse {
    let mut response = Response::new(full_body(text.to_owned()));
    *response.status_mut() = code;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// Creates a JSON response from encoded bytes.
pub fn json(bytes: impl Into<Bytes>) -> CallerResponse {
    let mut response = Response::new(full_body(bytes));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns whether a response tells its caller that the request was not run.
pub fn is_not_run(response: &CallerResponse) -> bool {
    let status = response.status();
    status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS
}

/// Creates a response that tells the caller that the request was not run and that it should
/// retry after `retry_after`. Callers rely on this: use it only for a request that has not run
/// and never will.
pub fn not_run(code: StatusCode, retry_after: Duration) -> CallerResponse {
    let mut response = empty(code);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Creates the response to a request that finds no room beside those of other callers.
pub fn no_room() -> CallerResponse {
    not_run(StatusCode::SERVICE_UNAVAILABLE, NO_ROOM_RETRY_AFTER)
}
