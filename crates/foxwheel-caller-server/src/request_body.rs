//! Reads the bodies of requests.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use actix_web::dev::Payload;
use actix_web::http::header::CONTENT_LENGTH;
use actix_web::http::StatusCode;
use actix_web::{error, web, Error, FromRequest, HttpRequest, HttpResponse};
use bytes::Bytes;
use foxwheel_callers::body::{BodyBuffer, BodyRefusal};
use foxwheel_callers::connections::CallerConnection;
use foxwheel_core::http;
use foxwheel_policy::caller_connections::Activity;
use futures::StreamExt;

use crate::connections;

/// How long the body of a request may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// Largest body of a request, unless its route says otherwise.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// The largest body of the requests that follow in the configuration of a server.
#[derive(Debug, Clone, Copy)]
pub struct MaxBodyBytes(pub usize);

/// The body of a request. The memory for it counts as held by the caller until the last copy is dropped.
#[derive(Debug)]
pub struct RequestBody {
    /// The complete body.
    pub bytes: Bytes,
    /// The connection that it arrived on.
    pub connection: CallerConnection,
}

impl FromRequest for RequestBody {
    type Error = Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self, Error>>>>;

    fn from_request(request: &HttpRequest, payload: &mut Payload) -> Self::Future {
        let request = request.clone();
        let payload = payload.take();
        Box::pin(async move {
            let read = read(&request, payload).await;
            read.map_err(|refused| error::InternalError::from_response("refused", refused).into())
        })
    }
}

async fn read(request: &HttpRequest, payload: Payload) -> Result<RequestBody, HttpResponse> {
    let Some(connection) = connections::connection_of(request).cloned() else {
        return Err(connections::no_room_response("the connection"));
    };
    connection.set_activity(Activity::ReadingBody);
    let limit = request.app_data::<web::Data<MaxBodyBytes>>();
    let max_bytes = limit.map_or(usize::MAX, |limit| limit.0);
    let announced = request.headers().get(CONTENT_LENGTH);
    let announced_bytes = announced.and_then(|value| value.to_str().ok()?.parse().ok());
    let buffer = BodyBuffer::begin(&connection, max_bytes, announced_bytes)
        .map_err(|e| refusal_response(&e))?;
    let reading = actix_web::rt::time::timeout(BODY_TIMEOUT, read_to_end(payload, buffer));
    let Ok(read) = reading.await else {
        return Err(http::not_run_response(
            StatusCode::REQUEST_TIMEOUT,
            "body_timeout",
            format!("the body is not complete after {BODY_TIMEOUT:?}"),
            None,
        ));
    };
    let bytes = read?;
    connection.set_activity(Activity::Serving);
    Ok(RequestBody { bytes, connection })
}

async fn read_to_end(mut payload: Payload, mut buffer: BodyBuffer) -> Result<Bytes, HttpResponse> {
    while let Some(data) = payload.next().await {
        let data = data.map_err(|e| {
            let message = format!("the body is broken: {e}");
            http::not_run_response(StatusCode::BAD_REQUEST, "bad_request", message, None)
        })?;
        buffer.push(&data).map_err(|e| refusal_response(&e))?;
    }
    Ok(buffer.finish())
}

fn refusal_response(refusal: &BodyRefusal) -> HttpResponse {
    match refusal {
        BodyRefusal::NoRoom(_) => connections::no_room_response("the body"),
        BodyRefusal::TooLarge(_) => http::not_run_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
            refusal.to_string(),
            None,
        ),
    }
}
