//! Reads the body of a caller's request.

use std::time::Duration;

use bytes::Bytes;
use foxwheel_callers::body::{BodyBuffer, BodyRefusal};
use foxwheel_callers::connections::CallerConnection;
use foxwheel_policy::caller_connections::Activity;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Why there is no complete body.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The body is not accepted.
    #[error(transparent)]
    Refused(#[from] BodyRefusal),
    /// The caller has not sent all of it in time.
    #[error("the body is not complete after {0:?}")]
    TimedOut(Duration),
    /// The connection failed, or its bytes are not HTTP.
    #[error("the body is broken: {0}")]
    Broken(#[from] hyper::Error),
}

/// Reads a body of at most `max_bytes` within `time_limit`. The memory for it counts as held by
/// `connection` until the last copy of the body is dropped.
pub async fn read(
    body: Incoming,
    connection: &CallerConnection,
    max_bytes: usize,
    time_limit: Duration,
) -> Result<Bytes, ReadError> {
    let buffer = BodyBuffer::begin(connection, max_bytes, body.size_hint().exact())?;
    let reading = tokio::time::timeout(time_limit, read_to_end(body, buffer));
    let body = reading
        .await
        .map_err(|_| ReadError::TimedOut(time_limit))??;
    connection.set_activity(Activity::Serving);
    Ok(body)
}

async fn read_to_end(mut body: Incoming, mut buffer: BodyBuffer) -> Result<Bytes, ReadError> {
    while let Some(frame) = body.frame().await {
        // Trailers are skipped: they apply only to this connection.
        if let Ok(data) = frame?.into_data() {
            buffer.push(&data)?;
        }
    }
    Ok(buffer.finish())
}
