//! The HTTP server of a front for its callers: their connections, and the steps of a graceful stop.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use foxwheel_callers::connections::{CallerConnection, CallerConnections, CloseReason};
use foxwheel_callers::host::HostLimits;
use foxwheel_callers::transport::{CallerTransport, ReadCount};
use foxwheel_core::metric_names::Counter;
use foxwheel_http1::transport::{ResetOnDrop, Transport};
use foxwheel_policy::caller_connections::{Activity, CallerTimeouts};
use futures::FutureExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::front::Front;
use crate::node::Node;
use crate::responses;
use crate::tracked_body::TrackedBody;
use crate::unframed_body;

/// How long connections stay open beyond the idle timeout of the configuration, so that a request
/// sent just before that timeout never finds the connection closed.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);

/// Idle timeout of connections that were opened before the first configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Smallest buffer of a caller's connection, which bounds the head of a request.
const MIN_BUFFER_BYTES: usize = 32 * 1024;

/// Time from the first to the last byte of a head before the first configuration.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Allowance beyond the header timeout of the configuration, for what arrives late and is read late.
const HEADER_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// How long a caller may read nothing while a response is written. Callers give a stream up that
/// pauses for half as long.
const UNREAD_RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between two checks for callers that are too slow.
const SLOW_CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Open files for each connection: its socket, and a connection to a backend server.
pub const FILES_PER_CONNECTION: usize = 2;

/// Connections that the kernel holds until they are accepted.
const MAX_PENDING_CONNECTIONS: u32 = 512;

/// While the front stops, how long a new connection is kept open for its first request.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Signals for the steps of a graceful stop.
#[derive(Debug, Clone, Default)]
pub struct StopSignals {
    /// Cancelled when idle connections must be closed.
    pub close_idle: CancellationToken,
    /// Cancelled when new requests must be refused.
    pub refuse_requests: CancellationToken,
    /// Cancelled when the listener must stop accepting connections.
    pub stop_accepting: CancellationToken,
}

/// A running HTTP server for callers.
#[derive(Debug)]
pub struct CallerServer {
    connections: TaskTracker,
    accept_task: JoinHandle<()>,
    stop: StopSignals,
}

impl CallerServer {
    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Waits until no connection is open, stops accepting, and waits for the connections that were
    /// accepted last.
    pub async fn wait_until_stopped(&mut self) {
        self.connections.close();
        self.connections.wait().await;
        self.stop.stop_accepting.cancel();
        if let Err(e) = (&mut self.accept_task).await {
            log::warn!(error:% = e; "accept task failed; pending connections are not accepted");
        }
        self.connections.wait().await;
    }
}

/// Listens for callers at `addr`. Returns an error if `addr` cannot be bound.
pub fn listen(addr: SocketAddr, host: HostLimits) -> std::io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // The connections inherit it.
    if let Err(e) = socket.set_recv_buffer_size(host.receive_buffer_bytes()) {
        log::warn!(error:% = e; "sockets of callers keep their usual receive buffers");
    }
    socket.bind(addr)?;
    socket.listen(MAX_PENDING_CONNECTIONS)
}

/// Starts serving callers on `listener` until `stop.stop_accepting` is cancelled.
pub fn serve(node: Arc<Node>, listener: TcpListener, stop: StopSignals) -> CallerServer {
    let connections = TaskTracker::new();
    let metrics = node.metrics.clone();
    let limits = node
        .settings
        .host_limits()
        .for_callers(FILES_PER_CONNECTION);
    let callers = CallerConnections::new(limits, move |reason| {
        metrics.incr(close_counter(reason));
    });
    tokio::spawn(close_slow_callers(
        Arc::clone(&callers),
        Arc::clone(&node),
        stop.stop_accepting.clone(),
    ));
    let acceptor = Acceptor {
        front: Arc::new(Front::new(node, stop.refuse_requests.clone())),
        callers,
        tracker: connections.clone(),
        close_idle: stop.close_idle.clone(),
    };
    let accept_task = tokio::spawn(acceptor.run(listener, stop.stop_accepting.clone()));
    CallerServer {
        connections,
        accept_task,
        stop,
    }
}

/// Returns the counter of the connections that are closed for this reason.
pub(crate) fn close_counter(reason: CloseReason) -> Counter {
    match reason {
        CloseReason::RoomNeeded => Counter::CallerClosedForRoom,
        CloseReason::TimedOut => Counter::CallerTimedOut,
        CloseReason::NotAccepted => Counter::CallerNotAccepted,
    }
}

/// Closes the connections of callers that are too slow, until cancelled.
async fn close_slow_callers(
    callers: Arc<CallerConnections>,
    node: Arc<Node>,
    cancel: CancellationToken,
) {
    let closing = async {
        loop {
            tokio::time::sleep(SLOW_CALLER_CHECK_INTERVAL).await;
            let head_timeout = node.config().map_or(DEFAULT_HEADER_TIMEOUT, |config| {
                config.limits.header_timeout
            });
            callers.close_timed_out(CallerTimeouts {
                head: head_timeout + HEADER_TIMEOUT_MARGIN,
                unread_response: UNREAD_RESPONSE_TIMEOUT,
            });
        }
    };
    cancel.run_until_cancelled(closing).await;
}

/// Accepts connections of callers and starts to serve them.
struct Acceptor {
    front: Arc<Front>,
    callers: Arc<CallerConnections>,
    tracker: TaskTracker,
    close_idle: CancellationToken,
}

impl Acceptor {
    async fn run(self, listener: TcpListener, stop_accepting: CancellationToken) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stop_accepting.cancelled() => break,
            };
            match accepted {
                Ok((stream, _)) => self.serve(stream).await,
                Err(e) => {
                    log::warn!(error:% = e; "caller connection not accepted");
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
        // Accepts the connections that the kernel has already established: closing the listener
        // would reset them.
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            self.serve(stream).await;
        }
    }

    /// Starts to serve a connection, or closes it if there is no room.
    async fn serve(&self, stream: TcpStream) {
        let Some(caller) = self.callers.admit().await else {
            return;
        };
        let front = Arc::clone(&self.front);
        let close_idle = self.close_idle.clone();
        self.tracker.spawn(async move {
            // Dropping the connection closes it, and drops its request.
            tokio::select! {
                biased;
                () = caller.closing() => {}
                () = serve_connection(front, caller.clone(), stream, close_idle) => {}
            }
        });
    }
}

async fn serve_connection(
    front: Arc<Front>,
    caller: CallerConnection,
    stream: TcpStream,
    close_idle: CancellationToken,
) {
    // With Nagle's algorithm, small events would wait for acknowledgements.
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(error:% = e; "connection closed before its first request");
        return;
    }
    let opened_at = tokio::time::Instant::now();
    let config = front.node().config();
    let idle_timeout = config.as_ref().map_or(DEFAULT_IDLE_TIMEOUT, |config| {
        config.limits.idle_timeout + IDLE_TIMEOUT_MARGIN
    });
    // A head within the limit of the configuration, which does not count all bytes, fits into it.
    let header_bytes = config.map_or(0, |config| config.limits.header_bytes);
    let buffer_bytes = MIN_BUFFER_BYTES.max(header_bytes.saturating_mul(2));
    let first_request = CancellationToken::new();
    let first_received = first_request.clone();
    let may_close_idle = async move {
        close_idle.cancelled().await;
        // A caller that has just connected is about to send a request. If the connection were
        // closed now, it could not tell this from a lost response.
        let first_request_deadline = opened_at + FIRST_REQUEST_TIMEOUT;
        tokio::time::timeout_at(first_request_deadline, first_received.cancelled()).await
    };
    let reset_on_drop = ResetOnDrop::default();
    let transport = Transport::new(stream, reset_on_drop.clone());
    let read_count = ReadCount::default();
    let transport = CallerTransport::new(transport, caller.clone(), read_count.clone());
    let reads_at_last_request = AtomicUsize::new(0);
    let service = service_fn(move |request: Request<Incoming>| {
        first_request.cancel();
        let reads = read_count.get();
        let is_pipelined = reads_at_last_request.swap(reads, Ordering::Relaxed) == reads;
        caller.set_activity(match request.body().is_end_stream() {
            true => Activity::Serving,
            false => Activity::ReadingBody,
        });
        let front = Arc::clone(&front);
        let caller = caller.clone();
        let reset_on_drop = reset_on_drop.clone();
        async move {
            let takes_chunks = request.version() >= Version::HTTP_11;
            let mut response = front.respond(request, &caller).await;
            if is_pipelined && responses::is_not_run(&response) {
                // Its caller goes on without a look at when it should come back.
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            if caller.activity() == Activity::ReadingBody {
                caller.set_activity(Activity::Discarding);
            }
            let response = match takes_chunks {
                true => response,
                false => {
                    response.map(|body| unframed_body::reset_unless_complete(body, reset_on_drop))
                }
            };
            Ok::<_, std::convert::Infallible>(response.map(|body| TrackedBody::new(body, caller)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(transport), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        biased;
        result = connection.as_mut() => result,
        _ = may_close_idle => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        log::debug!(error:% = e; "caller connection failed");
    }
}
