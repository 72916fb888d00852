//! HTTP helpers shared by the servers: refusals in one shape and a server that stops
//! gracefully when its cancellation token fires.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse};
use tokio_util::sync::CancellationToken;

use crate::protocol::{Refusal, RefusalBody, RunState};

/// Builds a refusal answer: the JSON body, and `Retry-After` when coming back can help.
pub fn refusal_response(status: StatusCode, refusal: Refusal) -> HttpResponse {
    let mut builder = HttpResponse::build(status);
    builder.insert_header((
        crate::protocol::RUN_STATE_HEADER,
        refusal.run_state.as_str(),
    ));
    if let Some(seconds) = refusal.retry_after_s {
        builder.insert_header(("retry-after", seconds.to_string()));
    }
    builder.json(RefusalBody { error: refusal })
}

/// A refusal with its HTTP status, as filters and checks return it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// The HTTP status to answer with.
    pub status: StatusCode,
    /// The body.
    pub refusal: Refusal,
}

impl Refused {
    /// A refusal of a request that no backend received.
    pub fn not_run(
        status: StatusCode,
        code: &str,
        message: impl Into<String>,
        retry_after_s: Option<u64>,
    ) -> Self {
        Self {
            status,
            refusal: Refusal {
                message: message.into(),
                code: code.to_owned(),
                run_state: RunState::NotRun,
                retry_after_s,
            },
        }
    }

    /// A refusal of a request that a backend may have received.
    pub fn unknown(status: StatusCode, code: &str, message: impl Into<String>) -> Self {
        Self {
            status,
            refusal: Refusal {
                message: message.into(),
                code: code.to_owned(),
                run_state: RunState::Unknown,
                retry_after_s: None,
            },
        }
    }

    /// The answer for the caller.
    pub fn into_response(self) -> HttpResponse {
        refusal_response(self.status, self.refusal)
    }
}

/// The answer refusing a request that no backend received.
pub fn not_run_response(
    status: StatusCode,
    code: &str,
    message: impl Into<String>,
    retry_after_s: Option<u64>,
) -> HttpResponse {
    Refused::not_run(status, code, message, retry_after_s).into_response()
}

/// The answer refusing a request that a backend may have received.
pub fn unknown_run_state_response(
    status: StatusCode,
    code: &str,
    message: impl Into<String>,
) -> HttpResponse {
    Refused::unknown(status, code, message).into_response()
}

/// How long a server keeps an idle connection open: longer than awc's pool does (15 s), so
/// that it is the client that closes one. A server that closes first may do so just as the
/// client sends its next request, which then fails although nothing is wrong.
pub const SERVER_KEEP_ALIVE: Duration = Duration::from_secs(75);

/// How a server is run.
#[derive(Debug, Clone, Copy)]
pub struct ServerOptions {
    /// Worker threads.
    pub workers: usize,
    /// How long a graceful stop waits for requests in flight.
    pub shutdown_timeout: Duration,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            workers: 2,
            shutdown_timeout: Duration::from_secs(30),
        }
    }
}

/// Binds and starts an actix-web server built by `factory`; it stops gracefully (refusing
/// new connections, finishing requests in flight) once `cancel` fires.
pub fn serve<F, I, S, B>(
    listen_addr: &str,
    shape: ServerOptions,
    cancel: CancellationToken,
    factory: F,
) -> std::io::Result<(SocketAddr, actix_web::dev::Server)>
where
    F: Fn() -> I + Send + Clone + 'static,
    I: actix_service::IntoServiceFactory<S, actix_http::Request>,
    S: actix_web::dev::ServiceFactory<
            actix_http::Request,
            Config = actix_web::dev::AppConfig,
            Response = actix_web::dev::ServiceResponse<B>,
            Error = actix_web::Error,
            InitError = (),
        > + 'static,
    S::Future: 'static,
    B: actix_web::body::MessageBody + 'static,
{
    let server = actix_web::HttpServer::new(factory)
        .workers(shape.workers)
        .keep_alive(SERVER_KEEP_ALIVE)
        .shutdown_timeout(shape.shutdown_timeout.as_secs())
        .disable_signals()
        .bind(listen_addr)?;
    let addr = server.addrs()[0];
    let server = server.run();
    let handle = server.handle();
    actix_web::rt::spawn(async move {
        cancel.cancelled().await;
        handle.stop(true).await;
    });
    Ok((addr, server))
}

/// Request headers passed on when forwarding; all others (hop-by-hop, host, length) are not.
const FORWARDED_HEADERS: &[&str] = &[
    "content-type",
    "accept",
    crate::protocol::REQUEST_ID_HEADER,
    crate::protocol::CLASS_HEADER,
    crate::protocol::WORKSPACE_HEADER,
    crate::protocol::IDEMPOTENCY_KEY_HEADER,
    crate::protocol::RESUME_FROM_HEADER,
];

/// Response headers passed back to the caller.
const RELAYED_HEADERS: &[&str] = &[
    "content-type",
    crate::protocol::RUN_STATE_HEADER,
    "cache-control",
    "retry-after",
    crate::protocol::REPLAYED_HEADER,
];

/// What an agent's refusal says of the request; `None` when the answer is the backend's own.
pub fn read_run_state<S>(response: &awc::ClientResponse<S>) -> Option<RunState> {
    let header = response.headers().get(crate::protocol::RUN_STATE_HEADER)?;
    [RunState::NotRun, RunState::Unknown]
        .into_iter()
        .find(|state| header.as_bytes() == state.as_str().as_bytes())
}

/// Whether a send failed before any byte of the request could reach the peer.
///
/// awc reports a peer that closed the connection after reading the request as
/// `ConnectError::Disconnected`, so only the errors of opening a connection count.
pub fn is_connect_failure(error: &awc::error::SendRequestError) -> bool {
    use awc::error::{ConnectError, SendRequestError};
    matches!(
        error,
        SendRequestError::Connect(
            ConnectError::Resolver(_)
                | ConnectError::NoRecords
                | ConnectError::Timeout
                | ConnectError::Unresolved
                | ConnectError::Io(_)
        )
    )
}

/// Sends a request on to `url`, copying the headers foxwheel passes on.
pub fn forward_request(
    client: &awc::Client,
    method: actix_web::http::Method,
    url: &str,
    headers: &actix_web::http::header::HeaderMap,
    body: bytes::Bytes,
    timeout: Duration,
) -> awc::SendClientRequest {
    let mut request = client.request(method, url).timeout(timeout);
    for name in FORWARDED_HEADERS {
        if let Some(value) = headers.get(*name) {
            request = request.insert_header((*name, value.clone()));
        }
    }
    request.send_body(body)
}

/// The head of the caller's answer: the backend's status and the headers passed back.
pub fn relayed_response_builder<S>(
    response: &awc::ClientResponse<S>,
) -> actix_web::HttpResponseBuilder {
    let mut builder = HttpResponse::build(response.status());
    for name in RELAYED_HEADERS {
        if let Some(value) = response.headers().get(*name) {
            builder.insert_header((*name, value.clone()));
        }
    }
    builder
}

/// Streams a backend's answer to the caller, keeping `guard` alive until the stream ends
/// or the caller goes away (so a queue slot or an in-flight count is held exactly as long).
pub fn relay_response<S, G>(response: awc::ClientResponse<S>, guard: G) -> HttpResponse
where
    S: futures::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin + 'static,
    G: 'static,
{
    relay_with_first_chunk_callback(response, guard, || {})
}

/// [`relay`], calling `on_first` when the first part of the body has come.
pub fn relay_with_first_chunk_callback<S, G>(
    response: awc::ClientResponse<S>,
    guard: G,
    on_first: impl FnOnce() + 'static,
) -> HttpResponse
where
    S: futures::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin + 'static,
    G: 'static,
{
    use futures::StreamExt;
    let mut builder = relayed_response_builder(&response);
    let mut on_first = Some(on_first);
    let body = response.map(move |chunk| {
        let _held = &guard;
        if let (Ok(_), Some(on_first)) = (&chunk, on_first.take()) {
            on_first();
        }
        chunk
    });
    builder.streaming(body)
}

/// Names the success type of a `Result`, to name awc's response type without depending on
/// which of its features are on.
pub trait OkType {
    /// The success type.
    type Ok;
}

impl<T, E> OkType for Result<T, E> {
    type Ok = T;
}

/// A backend's answer as awc gives it.
pub type BackendResponse = <<awc::SendClientRequest as std::future::Future>::Output as OkType>::Ok;

/// A request header's value as a string, if present and readable.
pub fn header_string(req: &HttpRequest, name: &str) -> Option<String> {
    req.headers()
        .get(name)
        .and_then(|v| v.to_str().ok())
        .map(str::to_owned)
}
