//! The HTTP servers of a process for its platform and its operators: readiness checks and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foxwheel_callers::connections::{CallerConnection, CallerConnections};
use foxwheel_callers::host::HostLimits;
use foxwheel_callers::listener;
use foxwheel_callers::transport::CallerTransport;
use foxwheel_policy::caller_connections::Activity;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::caller_server;
use crate::node::Node;
use crate::responses::{self, CallerResponse};
use crate::tracked_body::TrackedBody;

/// How long a connection may be without a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves readiness checks on `addr`. The process is ready while it is synced with the store and
/// was not asked to stop. Returns an error if `addr` cannot be bound.
pub async fn serve_readiness(node: Arc<Node>, addr: SocketAddr) -> std::io::Result<()> {
    let was_ready = std::sync::atomic::AtomicBool::new(false);
    let was_ready = Arc::new(was_ready);
    let of_node = Arc::clone(&node);
    serve_paths(&of_node, addr, move |path| {
        if path != foxwheel_platform::READINESS_PATH {
            return responses::empty(StatusCode::NOT_FOUND);
        }
        let is_ready = node.is_synced() && !node.is_leaving();
        let before = was_ready.swap(is_ready, std::sync::atomic::Ordering::Relaxed);
        if is_ready != before {
            let version = node.config().map(|config| config.version);
            log::info!(ready = is_ready, version, leaving = node.is_leaving(); "readiness changed");
        }
        responses::empty(match is_ready {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        })
    })
    .await
}

/// Serves the process's counters and histograms at `/metrics` on `addr`. Returns an error if `addr`
/// cannot be bound.
pub async fn serve_metrics(node: Arc<Node>, addr: SocketAddr) -> std::io::Result<()> {
    let of_node = Arc::clone(&node);
    serve_paths(&of_node, addr, move |path| match path {
        "/metrics" => responses::text(StatusCode::OK, &node.metrics.render()),
        _ => responses::empty(StatusCode::NOT_FOUND),
    })
    .await
}

/// Serves requests whose responses depend only on the path and need no waiting.
async fn serve_paths(
    node: &Node,
    addr: SocketAddr,
    respond: impl Fn(&str) -> CallerResponse + Clone + Send + Sync + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(addr).await?;
    let metrics = node.metrics.clone();
    let connections = CallerConnections::new(HostLimits::for_status(), move |reason| {
        metrics.incr(caller_server::close_counter(reason));
    });
    let never = CancellationToken::new();
    let serve =
        move |connection, transport| serve_connection(connection, transport, respond.clone());
    listener::spawn_accept_loop(listener, connections, never, serve);
    Ok(())
}

async fn serve_connection(
    connection: CallerConnection,
    transport: CallerTransport<TcpStream>,
    respond: impl Fn(&str) -> CallerResponse,
) {
    let service = service_fn(move |request: Request<Incoming>| {
        connection.set_activity(Activity::Serving);
        let response = respond(request.uri().path());
        let response = response.map(|body| TrackedBody::new(body, connection.clone()));
        async move { Ok::<_, std::convert::Infallible>(response) }
    });
    // An error means that the client disconnected, so that it needs no response.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(transport), service)
        .await;
}
