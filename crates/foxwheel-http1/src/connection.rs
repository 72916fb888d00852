//! An HTTP/1.1 client connection to one peer, its timeouts and its errors. The connection carries
//! one exchange at a time: a request and its response.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use bytes::Bytes;
use foxwheel_core::error::{Origin, WithCauses};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;

use crate::body::ResponseBody;
use crate::exchange_ids::ExchangeIds;
use crate::transport::{ReadAllowance, ResetOnDrop, Transport, WriteBlocked};

/// Body of a request. Bodies are small enough to be kept in memory completely.
pub type RequestBody = Full<Bytes>;

/// Largest head of a response, and largest buffer of a connection.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Number of bytes that are read before the head of a response is complete: informational responses
/// that precede it, and what arrives together with it.
const MAX_BYTES_BEFORE_BODY: usize = 4 * MAX_HEAD_BYTES;

/// Statuses of responses. Those below announce one, and there are none above.
const RESPONSE_STATUSES: RangeInclusive<u16> = 200..=599;

/// How a connection is closed if its exchange is dropped before the head of the response arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbandonAction {
    /// Close the connection normally. The kernel still delivers the bytes of the request that were
    /// written.
    Close,
    /// Reset the connection. A request that has not arrived at the peer yet will never arrive.
    Reset,
}

/// How long a connection must be idle before the kernel sends the first keepalive probe, and the
/// time between probes. The kernel counts in whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which the kernel closes the connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Allowance for timers that fire late, in this process and in the kernel.
const TIMER_SLACK: Duration = Duration::from_millis(300);

/// Timeouts of a connection, and how it is closed if its exchange is dropped.
#[derive(Debug, Clone, Copy)]
pub struct ConnectOptions {
    /// Longest time that opening the connection may take.
    pub connect_timeout: Duration,
    /// Longest time that sent bytes may stay unacknowledged. After it the kernel closes the
    /// connection, and bytes that have not arrived at the peer will never arrive.
    pub unacknowledged_timeout: Duration,
    /// How the connection is closed if its exchange is dropped before the head of the response
    /// arrives.
    pub on_abandon: AbandonAction,
    /// Buffers of the socket for each direction, which bound what the kernel holds: what has arrived and
    /// is not read, and what the peer has not taken of a request. `None` for the usual ones.
    pub socket_buffer_bytes: Option<u32>,
}

impl ConnectOptions {
    /// Returns for how long after its last exchange a connection may be used for another one.
    ///
    /// The kernel closes an idle connection when keepalive probes stay unanswered. It may still
    /// deliver a request that was written to the connection while the probes were running. A new
    /// request must therefore start so early that its `unacknowledged_timeout` always expires
    /// before the probes fail.
    pub fn max_reusable_idle(&self) -> Duration {
        let probe_failure_delay = KEEPALIVE_INTERVAL * (KEEPALIVE_PROBES + 1);
        probe_failure_delay.saturating_sub(self.unacknowledged_timeout + TIMER_SLACK)
    }
}

/// Why an exchange failed. The variants distinguish whether the request can have reached the peer.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection could not be opened; nothing was sent.
    #[error("cannot connect {origin}: {source}")]
    Connect {
        /// Step that failed and address of the peer.
        origin: Origin,
        /// Error of the socket or of the HTTP handshake.
        source: std::io::Error,
    },
    /// The connection closed before any byte of the request was written.
    #[error("closed before sending {origin}: {}", WithCauses(source))]
    NotSent {
        /// Step that failed and address of the peer.
        origin: Origin,
        /// Error that hyper returned.
        source: hyper::Error,
    },
    /// The request was written and no complete response came: the peer may have acted on it.
    #[error("no whole answer {origin}: {}", WithCauses(source))]
    NoCompleteResponse {
        /// Step that failed and address of the peer.
        origin: Origin,
        /// Error that hyper returned.
        source: hyper::Error,
    },
    /// The response has a status that the protocol does not have, or that only precedes a response.
    #[error("status {status} is no status of a response {origin}")]
    InvalidStatus {
        /// Step that failed and address of the peer.
        origin: Origin,
        /// The status.
        status: u16,
    },
}

impl ExchangeError {
    /// Returns whether it is certain that the peer never received the request.
    pub fn is_not_sent(&self) -> bool {
        match self {
            Self::Connect { .. } | Self::NotSent { .. } => true,
            Self::NoCompleteResponse { .. } | Self::InvalidStatus { .. } => false,
        }
    }
}

/// An open connection that carries one exchange at a time. Dropping it closes the socket at once,
/// so that the peer can stop working on a request whose exchange was dropped.
#[derive(Debug)]
pub struct Connection {
    peer: SocketAddr,
    on_abandon: AbandonAction,
    /// Set while a request awaits its response, if such a request is to be taken back. Once the
    /// response has come, the request was delivered, and the socket is closed in order: the peer
    /// could miss a reset and would go on working on the request.
    reset_on_drop: ResetOnDrop,
    /// Limited while a request awaits the head of its response.
    read_allowance: ReadAllowance,
    /// Whether the peer takes no more of the request.
    write_blocked: WriteBlocked,
    /// Ids of the exchanges so far, as far as they have ids; each was carried once.
    pub(crate) exchange_ids: ExchangeIds,
    sender: http1::SendRequest<RequestBody>,
    io_task: JoinHandle<()>,
}

/// Result of opening a connection to find out whether a process listens at its address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerStatus {
    /// The connection opened: a process listens at the address.
    Accepting,
    /// The connection was refused: no process listens at the address.
    Refusing,
    /// The connection timed out or failed for another reason.
    NoResponse,
}

/// Delay before the probe of a process that may have ended. The kernel closes the sockets of an ended
/// process one after the other, and the listening socket may be the last.
const PROBE_DELAY: Duration = Duration::from_millis(5);

/// How long a probe waits for a connection. The host of an ended process refuses connections
/// immediately.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Finds out whether the process that listened at `peer` has ended, after one of its connections was
/// closed. Opens a connection, which is closed at once.
pub async fn probe_process(peer: SocketAddr) -> ListenerStatus {
    tokio::time::sleep(PROBE_DELAY).await;
    match tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(peer)).await {
        Ok(Ok(_)) => ListenerStatus::Accepting,
        Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => ListenerStatus::Refusing,
        Ok(Err(_)) | Err(_) => ListenerStatus::NoResponse,
    }
}

impl Connection {
    /// Opens a connection to `peer` and spawns its I/O task on the current tokio runtime. Returns
    /// [`ExchangeError::Connect`] if that fails or takes longer than the connect timeout.
    pub async fn open(peer: SocketAddr, options: ConnectOptions) -> Result<Self, ExchangeError> {
        let connect_error = |source| ExchangeError::Connect {
            origin: Origin::new("open connection", peer.to_string()),
            source,
        };
        let connecting = connect(peer, options.socket_buffer_bytes);
        let stream = tokio::time::timeout(options.connect_timeout, connecting)
            .await
            .map_err(|elapsed| connect_error(elapsed.into()))?
            .map_err(connect_error)?;
        set_socket_options(&stream, options.unacknowledged_timeout).map_err(connect_error)?;
        let reset_on_drop = ResetOnDrop::default();
        let read_allowance = ReadAllowance::default();
        let transport = Transport::new(stream, reset_on_drop.clone())
            .with_read_allowance(read_allowance.clone());
        let write_blocked = transport.write_blocked();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(transport))
            .await
            .map_err(|e| connect_error(std::io::Error::other(e)))?;
        // The exchange in progress returns the transport's error, so it is ignored here.
        let io_task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            peer,
            on_abandon: options.on_abandon,
            reset_on_drop,
            read_allowance,
            write_blocked,
            exchange_ids: ExchangeIds::default(),
            sender,
            io_task,
        })
    }

    /// Returns the address of the peer.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns whether the connection has carried the exchange with this id.
    pub fn has_carried(&self, exchange_id: &str) -> bool {
        self.exchange_ids.contains(exchange_id)
    }

    /// Returns whether the connection is open and has no exchange in progress.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection can send a request; returns false if it closed.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends `request` and returns the head of the response, from which the body can be read. If
    /// the call is dropped before the head arrives, the connection is closed as
    /// [`ConnectOptions::on_abandon`] says.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<ResponseBody>, ExchangeError> {
        let origin = Origin::new("exchange", self.peer.to_string());
        self.reset_on_drop
            .set(self.on_abandon == AbandonAction::Reset);
        self.read_allowance.set(MAX_BYTES_BEFORE_BODY);
        let result = self.sender.try_send_request(request).await;
        let response = result.map_err(|mut failed| {
            let request_was_returned = failed.take_message().is_some();
            let source = failed.into_error();
            if request_was_returned {
                ExchangeError::NotSent { origin, source }
            } else {
                ExchangeError::NoCompleteResponse { origin, source }
            }
        })?;
        self.reset_on_drop.set(false);
        self.read_allowance.lift();
        let (head, incoming) = response.into_parts();
        let status = head.status.as_u16();
        if !RESPONSE_STATUSES.contains(&status) {
            let origin = Origin::new("exchange", self.peer.to_string());
            return Err(ExchangeError::InvalidStatus { origin, status });
        }
        let body = ResponseBody::new(self.peer, &head, incoming, self.write_blocked.clone());
        Ok(Response::from_parts(head, body))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.io_task.abort();
    }
}

async fn connect(peer: SocketAddr, socket_buffer_bytes: Option<u32>) -> std::io::Result<TcpStream> {
    let socket = match peer {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Some(bytes) = socket_buffer_bytes {
        socket.set_recv_buffer_size(bytes)?;
        socket.set_send_buffer_size(bytes)?;
    }
    socket.connect(peer).await
}

/// Sets the socket options by which the kernel closes the connection of a peer that has stopped
/// responding. Also disables Nagle's algorithm, so that small writes are sent at once.
fn set_socket_options(stream: &TcpStream, unacknowledged_timeout: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(unacknowledged_timeout))
}
