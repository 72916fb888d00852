//! A front: answers callers and the platform's readiness checks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxwheel_core::metric_names::{Counter, RefusalReason};
use foxwheel_platform::batch_api;
use foxwheel_platform::online as wire;
use foxwheel_policy::routes::{CallerLimits, Config, RouteKind};
use futures::FutureExt;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::http::request;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::batch_front::BatchFront;
use crate::node::Node;
use crate::online;
use crate::online_request::OnlineRequest;
use crate::responses::{self, CallerResponse};

/// Kept open beyond the operator's idle limit, so that a request sent just before it never
/// meets a closed connection.
const IDLE_SLACK: Duration = Duration::from_secs(5);

/// Idle limit before the first configuration.
const DEFAULT_IDLE: Duration = Duration::from_secs(30);

/// When a caller refused for lack of a configuration should come back.
const UNINFORMED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// When a caller refused by a stopping front should come back: at once, to another front.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// How long the first request of a connection may take to come while the front stops.
const FIRST_REQUEST_WITHIN: Duration = Duration::from_millis(300);

/// The front's part that connections share.
#[derive(Debug)]
struct Front {
    node: Arc<Node>,
    batch: BatchFront,
    stop: StopSignals,
}

/// How a stopping front is told of the steps of its stop.
#[derive(Debug, Clone, Default)]
pub struct StopSignals {
    /// Cancelled when idle connections are to be closed.
    pub close_idle: CancellationToken,
    /// Cancelled when new requests are to be refused.
    pub refuse: CancellationToken,
    /// Cancelled when no new connections are to be taken.
    pub close: CancellationToken,
}

/// A front that takes connections.
#[derive(Debug)]
pub struct Serving {
    connections: TaskTracker,
    accepting: JoinHandle<()>,
    stop: StopSignals,
}

impl Serving {
    /// Open connections.
    pub fn open(&self) -> usize {
        self.connections.len()
    }

    /// Waits until no connection is open, takes those that were opened meanwhile as the last,
    /// and waits for them too.
    pub async fn end(&mut self) {
        self.connections.close();
        self.connections.wait().await;
        self.stop.close.cancel();
        if let Err(e) = (&mut self.accepting).await {
            log::warn!(error:% = e; "connections of the last moment not taken");
        }
        self.connections.wait().await;
    }
}

/// Answers callers on `listener` until told to close.
pub fn serve(node: Arc<Node>, listener: TcpListener, stop: StopSignals) -> Serving {
    let connections = TaskTracker::new();
    let front = Arc::new(Front {
        batch: BatchFront::new(Arc::clone(&node)),
        node,
        stop: stop.clone(),
    });
    let (tracker, close) = (connections.clone(), stop.close.clone());
    let accepting = tokio::spawn(async move {
        let take = |stream| {
            tracker.spawn(serve_connection(Arc::clone(&front), stream));
        };
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = close.cancelled() => break,
            };
            match accepted {
                Ok((stream, _)) => take(stream),
                Err(e) => {
                    log::warn!(error:% = e; "caller's connection not accepted");
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
        // Closing the listener would break connections that the kernel has already opened.
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            take(stream);
        }
    });
    Serving {
        connections,
        accepting,
        stop,
    }
}

async fn serve_connection(front: Arc<Front>, stream: TcpStream) {
    // Without it small events wait for acknowledgements.
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(error:% = e; "connection closed before its first request");
        return;
    }
    let opened_at = tokio::time::Instant::now();
    let idle = front.node.config().map_or(DEFAULT_IDLE, |config| {
        config.limits.idle_timeout + IDLE_SLACK
    });
    let close_idle = front.stop.close_idle.clone();
    let asked = CancellationToken::new();
    let first_asked = asked.clone();
    let may_close = async move {
        close_idle.cancelled().await;
        // Whoever has just connected is about to ask, and could not tell a close from an
        // answer that was lost.
        let first_by = opened_at + FIRST_REQUEST_WITHIN;
        tokio::time::timeout_at(first_by, first_asked.cancelled()).await
    };
    let service = service_fn(move |request| {
        asked.cancel();
        let front = Arc::clone(&front);
        async move { Ok::<_, std::convert::Infallible>(front.answer(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        biased;
        ended = connection.as_mut() => ended,
        _ = may_close => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        log::debug!(error:% = e; "caller's connection broke");
    }
}

impl Front {
    async fn answer(&self, request: Request<Incoming>) -> CallerResponse {
        let received_at = Instant::now();
        let mut reply = self.route(request, received_at).await;
        if self.node.is_leaving() {
            reply
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    /// Refuses a request before its route is known.
    fn refuse(
        &self,
        caller: &wire::CallerRequest,
        reason: RefusalReason,
        after: Duration,
    ) -> CallerResponse {
        log::warn!(request_id = caller.id, reason = reason.text(); "request refused");
        self.node.metrics.incr(Counter::Refused(reason));
        responses::not_run(StatusCode::SERVICE_UNAVAILABLE, after)
    }

    async fn route(&self, request: Request<Incoming>, received_at: Instant) -> CallerResponse {
        let (head, body) = request.into_parts();
        let caller = wire::decode_request(&head);
        if self.stop.refuse.is_cancelled() {
            return self.refuse(&caller, RefusalReason::Stopping, STOPPING_RETRY_AFTER);
        }
        let Some(config) = self.node.config() else {
            return self.refuse(
                &caller,
                RefusalReason::NoConfiguration,
                UNINFORMED_RETRY_AFTER,
            );
        };
        if head_bytes(&head) > config.limits.header_bytes {
            log::warn!(request_id = caller.id, bytes = head_bytes(&head); "request refused: head too large");
            return responses::empty(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
        }
        if let Some(call) = job_call(&config, &head, &caller) {
            return self.batch.serve_call(call).await;
        }
        let Some(route) = config.match_route(&caller.host, &caller.path).cloned() else {
            log::warn!(request_id = caller.id, host = caller.host, path = caller.path, version = config.version; "no route");
            return responses::empty(StatusCode::NOT_FOUND);
        };
        let time_limit = caller.time_limit.unwrap_or(route.timeout);
        let body = match read_body(body, &config.limits, time_limit).await {
            Ok(body) => body,
            Err(status) => {
                log::warn!(request_id = caller.id, status = status.as_u16(); "request refused: body not read");
                return responses::empty(status);
            }
        };
        if route.kind == RouteKind::Batch {
            if head.method != Method::POST {
                return responses::empty(StatusCode::METHOD_NOT_ALLOWED);
            }
            return self.batch.submit(&caller, &route, body).await;
        }
        let request = OnlineRequest::new(caller, route, head, body, received_at);
        online::serve(Arc::clone(&self.node), request).await
    }
}

/// A call on a job, if the request is one and its host takes jobs.
fn job_call(
    config: &Config,
    head: &request::Parts,
    caller: &wire::CallerRequest,
) -> Option<batch_api::JobCall> {
    let call = batch_api::decode_call(head)?;
    let routed = config.match_route(&caller.host, &caller.path).is_some();
    (!routed && config.has_host(&caller.host)).then_some(call)
}

fn head_bytes(head: &request::Parts) -> usize {
    /// Separators of a header line.
    const LINE_BYTES: usize = 4;
    let headers = head.headers.iter();
    let lines: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + LINE_BYTES)
        .sum();
    let path = head
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    lines + path
}

async fn read_body(
    body: Incoming,
    limits: &CallerLimits,
    time_limit: Duration,
) -> Result<Bytes, StatusCode> {
    let reading = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(time_limit, reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

/// Answers readiness checks on `addr`: ready while the process knows enough to serve and
/// was not told to leave.
pub async fn serve_readiness(node: Arc<Node>, addr: SocketAddr) -> std::io::Result<()> {
    let was_ready = std::sync::atomic::AtomicBool::new(false);
    let was_ready = Arc::new(was_ready);
    serve_small(addr, move |path| {
        if path != foxwheel_platform::READINESS_PATH {
            return responses::empty(StatusCode::NOT_FOUND);
        }
        let ready = node.is_synced() && !node.is_leaving();
        let before = was_ready.swap(ready, std::sync::atomic::Ordering::Relaxed);
        if ready != before {
            let version = node.config().map(|config| config.version);
            log::info!(ready, version, leaving = node.is_leaving(); "readiness changed");
        }
        responses::empty(match ready {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        })
    })
    .await
}

/// Serves the process's counters and histograms at `/metrics` on `addr`.
pub async fn serve_metrics(node: Arc<Node>, addr: SocketAddr) -> std::io::Result<()> {
    serve_small(addr, move |path| match path {
        "/metrics" => responses::text(StatusCode::OK, &node.metrics.render()),
        _ => responses::empty(StatusCode::NOT_FOUND),
    })
    .await
}

/// Serves plain GETs whose answers are at hand.
async fn serve_small(
    addr: SocketAddr,
    answer: impl Fn(&str) -> CallerResponse + Clone + Send + Sync + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(addr).await?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let answer = answer.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request: Request<Incoming>| {
                    let reply = answer(request.uri().path());
                    async move { Ok::<_, std::convert::Infallible>(reply) }
                });
                // A checker that hangs up needs no answer.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    Ok(())
}
