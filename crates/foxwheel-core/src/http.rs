//! HTTP helpers shared by the servers: refusals in a common format, and a server that stops gracefully
//! when its cancellation token is cancelled.

use std::any::Any;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use actix_web::dev::Extensions;
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

/// How long a server keeps an idle connection open. This is longer than clients keep them, so that
/// the client closes it first. If the server closed it first, it could do so while the client
/// sends its next request, which would then fail although neither side has a fault.
pub const SERVER_KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Called with the socket of each connection that a server accepts, and the data that its requests share.
pub type OnConnect = Arc<dyn Fn(&dyn Any, &mut Extensions) + Send + Sync>;

/// Options of [`serve`].
#[derive(Clone)]
pub struct ServerOptions {
    /// Number of worker threads.
    pub workers: usize,
    /// How long a graceful stop waits for requests in flight.
    pub shutdown_timeout: Duration,
    /// Whether a client may close its sending side after a request and still read the response. If it
    /// may not, a request ends when its client closes the connection, also while there is nothing to
    /// send to it.
    pub allows_half_closed: bool,
    /// Called for each connection.
    pub on_connect: Option<OnConnect>,
    /// Maximum number of connections, among them those that `on_connect` has not seen. Further ones are
    /// accepted once others have ended. `None` for the default of actix-web.
    pub max_connections: Option<usize>,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            workers: 2,
            shutdown_timeout: Duration::from_secs(30),
            allows_half_closed: true,
            on_connect: None,
            max_connections: None,
        }
    }
}

/// Binds `listen_addr` and starts a server there, as [`serve_on`] does. Returns an error if the address
/// cannot be bound.
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
    serve_on(TcpListener::bind(listen_addr)?, options, cancel, factory)
}

/// Starts an actix-web server on `listener` with the application that `factory` builds. Once `cancel` is
/// cancelled, the server stops gracefully: it accepts no new connections and finishes the requests in
/// flight. Returns the address and the server.
pub fn serve_on<F, I, S, B>(
    listener: TcpListener,
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
    let addr = listener.local_addr()?;
    let on_connect = options.on_connect;
    let mut server = actix_web::HttpServer::new(factory);
    if let Some(max_connections) = options.max_connections {
        server = server.max_connections(max_connections.div_ceil(options.workers));
    }
    let server = server
        .workers(options.workers)
        .keep_alive(SERVER_KEEP_ALIVE)
        .h1_allow_half_closed(options.allows_half_closed)
        .shutdown_timeout(options.shutdown_timeout.as_secs())
        .disable_signals()
        .on_connect(move |io, data| {
            if let Some(on_connect) = &on_connect {
                on_connect(io, data);
            }
        })
        .listen(listener)?;
    let server = server.run();
    let handle = server.handle();
    actix_web::rt::spawn(async move {
        cancel.cancelled().await;
        handle.stop(true).await;
    });
    Ok((addr, server))
}

/// Returns the value of a request header, or `None` if it is missing or contains bytes that are not
/// visible ASCII.
pub fn header_string(req: &HttpRequest, name: &str) -> Option<String> {
    req.headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned)
}
