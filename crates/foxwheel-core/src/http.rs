//! HTTP helpers shared by the servers: refusals in a common format, a server that stops gracefully
//! when its cancellation token is cancelled, and the forwarding of requests and responses.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse};
use tokio_util::sync::CancellationToken;

use crate::protocol::{Refusal, RefusalBody, RunState};

/// Builds the response for a refusal: a JSON body, the run state header, and `Retry-After` if a
/// retry can help.
pub fn refusal_response(status: StatusCode, refusal: Refusal) -> HttpResponse {
    let mut builder = HttpResponse::build(status);
    builder.insert_header((
        crate::protocol::RUN_STATE_HEADER,
        refusal.run_state.as_str(),
    ));
    if let Some(retry_after_s) = refusal.retry_after_s {
        builder.insert_header(("retry-after", retry_after_s.to_string()));
    }
    builder.json(RefusalBody { error: refusal })
}

/// A refusal with its HTTP status, returned by filters and checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Content of the response body.
    pub refusal: Refusal,
}

impl Refused {
    /// Creates the refusal of a request that no backend received.
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

    /// Creates the refusal of a request that a backend may have received.
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

    /// Returns the response for the caller.
    pub fn into_response(self) -> HttpResponse {
        refusal_response(self.status, self.refusal)
    }
}

/// Returns the response that refuses a request that no backend received.
pub fn not_run_response(
    status: StatusCode,
    code: &str,
    message: impl Into<String>,
    retry_after_s: Option<u64>,
) -> HttpResponse {
    Refused::not_run(status, code, message, retry_after_s).into_response()
}

/// Returns the response that refuses a request that a backend may have received.
pub fn unknown_run_state_response(
    status: StatusCode,
    code: &str,
    message: impl Into<String>,
) -> HttpResponse {
    Refused::unknown(status, code, message).into_response()
}

/// How long a server keeps an idle connection open. This is longer than in awc's pool (15 s), so
/// that the client closes it first. If the server closed it first, it could do so while the client
/// sends its next request, which would then fail although neither side has a fault.
pub const SERVER_KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Options of [`serve`].
#[derive(Debug, Clone, Copy)]
pub struct ServerOptions {
    /// Number of worker threads.
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

/// Binds `listen_addr` and starts an actix-web server with the application that `factory` builds.
/// Once `cancel` is cancelled, the server stops gracefully: it accepts no new connections and
/// finishes the requests in flight. Returns the bound address and the server, or an error if the
/// address cannot be bound.
pub fn serve<F, I, S, B>(
    listen_addr: &str,
    options: ServerOptions,
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
        .workers(options.workers)
        .keep_alive(SERVER_KEEP_ALIVE)
        .shutdown_timeout(options.shutdown_timeout.as_secs())
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

/// Request headers that are forwarded to the backend. All others are dropped, among them
/// hop-by-hop headers, `host` and `content-length`.
const FORWARDED_HEADERS: &[&str] = &[
    "content-type",
    "accept",
    crate::protocol::REQUEST_ID_HEADER,
    crate::protocol::CLASS_HEADER,
    crate::protocol::WORKSPACE_HEADER,
    crate::protocol::IDEMPOTENCY_KEY_HEADER,
    crate::protocol::RESUME_FROM_HEADER,
];

/// Response headers that are relayed to the caller; all others are dropped.
const RELAYED_HEADERS: &[&str] = &[
    "content-type",
    crate::protocol::RUN_STATE_HEADER,
    "cache-control",
    "retry-after",
    crate::protocol::REPLAYED_HEADER,
];

/// Returns whether the request may have run, as stated by the refusal of an agent. Returns `None`
/// if the response comes from the backend itself.
pub fn read_run_state<S>(response: &awc::ClientResponse<S>) -> Option<RunState> {
    let header = response.headers().get(crate::protocol::RUN_STATE_HEADER)?;
    [RunState::NotRun, RunState::Unknown]
        .into_iter()
        .find(|state| header.as_bytes() == state.as_str().as_bytes())
}

/// Returns whether a send failed while the connection was being opened, so that no byte of the
/// request can have reached the peer.
///
/// awc also reports `ConnectError::Disconnected` for a peer that closed the connection after it had
/// read the request, so that variant is not included.
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

/// Forwards a request to `url` with those of its headers that are passed on.
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

/// Returns a builder of the response to the caller, with the status of the backend's response and
/// those of its headers that are relayed.
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

/// Streams a backend's response to the caller. `guard` is dropped when the stream ends or the caller
/// disconnects, so that a queue slot or an in-flight count is held for exactly that time.
pub fn relay_response<S, G>(response: awc::ClientResponse<S>, guard: G) -> HttpResponse
where
    S: futures::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin + 'static,
    G: 'static,
{
    relay_with_first_chunk_callback(response, guard, || {})
}

/// Like [`relay_response`], and calls `on_first_chunk` when the first chunk of the body arrives.
pub fn relay_with_first_chunk_callback<S, G>(
    response: awc::ClientResponse<S>,
    guard: G,
    on_first_chunk: impl FnOnce() + 'static,
) -> HttpResponse
where
    S: futures::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin + 'static,
    G: 'static,
{
    use futures::StreamExt;
    let mut builder = relayed_response_builder(&response);
    let mut on_first_chunk = Some(on_first_chunk);
    let body = response.map(move |chunk| {
        let _guard = &guard;
        if let (Ok(_), Some(on_first_chunk)) = (&chunk, on_first_chunk.take()) {
            on_first_chunk();
        }
        chunk
    });
    builder.streaming(body)
}

/// Gives access to the success type of a `Result`. It is used to name awc's response type, which
/// differs with the enabled features of awc.
pub trait OkType {
    /// Success type of the `Result`.
    type Ok;
}

impl<T, E> OkType for Result<T, E> {
    type Ok = T;
}

/// The response of a backend, as awc returns it.
pub type BackendResponse = <<awc::SendClientRequest as std::future::Future>::Output as OkType>::Ok;

/// Returns the value of a request header, or `None` if it is missing or contains bytes that are not
/// visible ASCII.
pub fn header_string(req: &HttpRequest, name: &str) -> Option<String> {
    req.headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned)
}
