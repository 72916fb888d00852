//! Answers of the system's own.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use foxwheel_core::ids::RequestId;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Why a relayed stream ended before its end. The caller's connection is closed, so that
/// the answer does not look whole.
#[derive(Debug, thiserror::Error)]
#[error("stream of request {request_id} broke: {reason}")]
pub struct RelayError {
    /// The caller's request.
    pub request_id: RequestId,
    /// What broke it.
    pub reason: String,
}

/// Body of every answer to a caller.
pub type CallerBody = UnsyncBoxBody<Bytes, RelayError>;

/// An answer to a caller.
pub type CallerResponse = Response<CallerBody>;

/// A whole body.
pub fn full_body(bytes: impl Into<Bytes>) -> CallerBody {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// An answer without a body.
pub fn empty(status: StatusCode) -> CallerResponse {
    let mut reply = Response::new(full_body(Bytes::new()));
    *reply.status_mut() = status;
    reply
}

/// An answer with a line of text that says what is wrong.
pub fn text(code: StatusCode, text: &str) -> CallerResponse {
    let mut reply = Response::new(full_body(text.to_owned()));
    *reply.status_mut() = code;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    reply
}

/// A JSON answer.
pub fn json(bytes: Vec<u8>) -> CallerResponse {
    let mut reply = Response::new(full_body(bytes));
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

/// "Not run, come back after `retry_after`": only for a request that never will run.
pub fn not_run(code: StatusCode, retry_after: Duration) -> CallerResponse {
    let mut reply = empty(code);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}
