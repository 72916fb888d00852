//! One client connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use foxwheel_core::error::{Origin, WithCauses};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::transport::{Transport, Unanswered};

/// Body of every request: small enough to be held whole.
pub type RequestBody = Full<Bytes>;

/// How a connection ends whose exchange was given up before it was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbandonAction {
    /// It is closed in order: the kernel goes on delivering the request.
    Close,
    /// It is reset: a request that has not arrived never will.
    Reset,
}

/// Silence after which an open connection is probed, and the time between probes. The kernel
/// counts whole seconds.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Probes that must go unanswered before the connection counts as broken.
const PROBES: u32 = 2;

/// Late timers, here and in the kernel.
const TIMER_SLACK: Duration = Duration::from_millis(300);

/// Bounds on how long a peer may be silent, and what follows.
#[derive(Debug, Clone, Copy)]
pub struct ConnectOptions {
    /// Longest wait for the connection to open.
    pub connect_timeout: Duration,
    /// Longest time that sent bytes stay unacknowledged: the connection counts as broken then,
    /// and what has not arrived never will.
    pub unacknowledged_timeout: Duration,
    /// What becomes of an exchange that was given up.
    pub on_abandon: AbandonAction,
}

impl ConnectOptions {
    /// How long after its last exchange a connection may carry another one. A connection that
    /// ends by unanswered probes may still deliver what was written to it since, so the bound
    /// on unacknowledged bytes must end it first.
    pub fn max_reusable_idle(&self) -> Duration {
        let probes_fail_after = PROBE_EVERY * (PROBES + 1);
        probes_fail_after.saturating_sub(self.unacknowledged_timeout + TIMER_SLACK)
    }
}

/// Why an exchange failed, and whether the request can have reached the peer.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// No connection: nothing was sent.
    #[error("cannot connect {origin}: {source}")]
    Connect {
        /// The step and the peer's address.
        origin: Origin,
        /// The socket's error.
        source: std::io::Error,
    },
    /// The connection closed before any byte of the request was written.
    #[error("closed before sending {origin}: {}", WithCauses(source))]
    NotSent {
        /// The step and the peer's address.
        origin: Origin,
        /// hyper's error.
        source: hyper::Error,
    },
    /// The request was written and no whole answer came: the peer may have acted on it.
    #[error("no whole answer {origin}: {}", WithCauses(source))]
    NoCompleteResponse {
        /// The step and the peer's address.
        origin: Origin,
        /// hyper's error.
        source: hyper::Error,
    },
}

impl ExchangeError {
    /// Whether the peer certainly never received the request.
    pub fn is_not_sent(&self) -> bool {
        !matches!(self, Self::NoCompleteResponse { .. })
    }
}

/// An open connection that serves one exchange at a time. Dropping it closes the socket at
/// once, so that the peer of an abandoned exchange stops working on it.
#[derive(Debug)]
pub struct Connection {
    peer: SocketAddr,
    on_abandon: AbandonAction,
    unanswered: Unanswered,
    sender: http1::SendRequest<RequestBody>,
    driver: JoinHandle<()>,
}

/// What a peer's kernel makes of a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerStatus {
    /// It opens it.
    Accepting,
    /// It refuses it: nothing listens there.
    Refusing,
    /// Neither came in time.
    NoResponse,
}

/// Whether something listens at `peer`, found out by a connection that is closed at once.
pub async fn probe_listener(peer: SocketAddr, timeout: Duration) -> ListenerStatus {
    match tokio::time::timeout(timeout, TcpStream::connect(peer)).await {
        Ok(Ok(_)) => ListenerStatus::Accepting,
        Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => ListenerStatus::Refusing,
        Ok(Err(_)) | Err(_) => ListenerStatus::NoResponse,
    }
}

impl Connection {
    /// Opens a connection to `peer`. Runs its transport on the current tokio runtime.
    pub async fn open(peer: SocketAddr, options: ConnectOptions) -> Result<Self, ExchangeError> {
        let error = |source| ExchangeError::Connect {
            origin: Origin::new("open connection", peer.to_string()),
            source,
        };
        let connecting = TcpStream::connect(peer);
        let stream = tokio::time::timeout(options.connect_timeout, connecting)
            .await
            .map_err(|elapsed| error(elapsed.into()))?
            .map_err(error)?;
        bound_silence(&stream, options.unacknowledged_timeout).map_err(error)?;
        let unanswered = Unanswered::default();
        let transport = Transport::new(stream, unanswered.clone());
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(transport))
            .await
            .map_err(|e| error(std::io::Error::other(e)))?;
        // An error of the transport reaches the exchange under way, which reports it.
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            peer,
            on_abandon: options.on_abandon,
            unanswered,
            sender,
            driver,
        })
    }

    /// The peer's address.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Whether the connection is open and has no exchange under way.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection can take a request; false if it closed.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends `request` and waits for the head of its answer.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let origin = Origin::new("exchange", self.peer.to_string());
        self.unanswered.set(self.on_abandon == AbandonAction::Reset);
        let answer = self.sender.try_send_request(request).await;
        let answer = answer.map_err(|mut failed| {
            let returned = failed.take_message().is_some();
            let source = failed.into_error();
            if returned {
                ExchangeError::NotSent { origin, source }
            } else {
                ExchangeError::NoCompleteResponse { origin, source }
            }
        })?;
        self.unanswered.set(false);
        Ok(answer)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Lets the kernel report a peer that stopped answering, and sends small writes at once.
fn bound_silence(stream: &TcpStream, timeout: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(PROBE_EVERY)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(timeout))
}
