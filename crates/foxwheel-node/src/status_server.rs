//! The HTTP servers of a process for its platform and its operators: readiness checks and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::node::Node;
use crate::responses::{self, CallerResponse};

/// Serves readiness checks on `addr`. The process is ready while it is synced with the store and
/// was not asked to stop. Returns an error if `addr` cannot be bound.
pub async fn serve_readiness(node: Arc<Node>, addr: SocketAddr) -> std::io::Result<()> {
    let was_ready = std::sync::atomic::AtomicBool::new(false);
    let was_ready = Arc::new(was_ready);
    serve_paths(addr, move |path| {
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
    serve_paths(addr, move |path| match path {
        "/metrics" => responses::text(StatusCode::OK, &node.metrics.render()),
        _ => responses::empty(StatusCode::NOT_FOUND),
    })
    .await
}

/// Serves requests whose responses depend only on the path and need no waiting.
async fn serve_paths(
    addr: SocketAddr,
    respond: impl Fn(&str) -> CallerResponse + Clone + Send + Sync + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(addr).await?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let respond = respond.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request: Request<Incoming>| {
                    let response = respond(request.uri().path());
                    async move { Ok::<_, std::convert::Infallible>(response) }
                });
                // An error means that the client disconnected, so that it needs no response.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    Ok(())
}
