//! Sends requests to URLs on pooled connections and reads the responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use foxwheel_core::error::Origin;
use foxwheel_core::protocol::REQUEST_ID_HEADER;
use foxwheel_http1::body::{BodyError, Framing, ResponseBody};
use foxwheel_http1::connection::{
    self, AbandonAction, ConnectOptions, Connection, ExchangeError, ListenerStatus, RequestBody,
};
use foxwheel_http1::pool::Pool;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::response;
use hyper::{Request, Response, StatusCode, Uri};

/// Buffers of a socket. A long request that its server does not read is then not in the kernel as a whole.
const SOCKET_BUFFER_BYTES: u32 = 64 * 1024;

const CONNECT_OPTIONS: ConnectOptions = ConnectOptions {
    connect_timeout: Duration::from_secs(5),
    unacknowledged_timeout: Duration::from_millis(700),
    on_abandon: AbandonAction::Close,
    socket_buffer_bytes: Some(SOCKET_BUFFER_BYTES),
};

/// Idle timeout assumed of a server: shorter than the defaults of common HTTP servers.
const ASSUMED_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Port of a URL that names none.
const DEFAULT_PORT: u16 = 80;

/// Why no response was received.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The URL has another scheme than `http`, or no host.
    #[error("not an http URL with a host: {url}")]
    InvalidUrl {
        /// The URL.
        url: Uri,
    },
    /// The request is not valid HTTP.
    #[error("not a valid request to {url}: {source}")]
    InvalidRequest {
        /// The URL.
        url: String,
        /// Error of the method, the URL or a header.
        source: hyper::http::Error,
    },
    /// The host of the URL has no address.
    #[error("cannot resolve host {origin}: {reason}")]
    Unresolved {
        /// Step that failed and host and port of the URL.
        origin: Origin,
        /// Reason that the resolver gave.
        reason: String,
    },
    /// The exchange failed.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The head of the response did not arrive in time.
    #[error("no response within {timeout:?} {origin}")]
    Timeout {
        /// Step that failed and host and port of the URL.
        origin: Origin,
        /// The time limit.
        timeout: Duration,
    },
    /// The response carries the id of an earlier request on its connection.
    #[error("response of another request {origin}")]
    ForeignResponse {
        /// Step that failed and host and port of the URL.
        origin: Origin,
    },
}

impl SendError {
    /// Returns whether it is certain that no byte of the request reached the server.
    pub fn is_not_sent(&self) -> bool {
        match self {
            Self::InvalidUrl { .. } | Self::InvalidRequest { .. } | Self::Unresolved { .. } => true,
            Self::Exchange(error) => error.is_not_sent(),
            Self::Timeout { .. } | Self::ForeignResponse { .. } => false,
        }
    }
}

/// Why the body of a response was not received completely.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The body is not complete.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The body ended with its connection, and the process of the server has ended.
    #[error("server ended with its response {origin}")]
    ServerEnded {
        /// Step that failed and host and port of the server.
        origin: Origin,
    },
    /// The body is larger than the reader accepts.
    #[error("response body larger than {max_bytes} bytes {origin}")]
    TooLarge {
        /// Step that failed and host and port of the server.
        origin: Origin,
        /// The largest body that is accepted.
        max_bytes: usize,
    },
}

/// A client with a pool of idle connections. Clones share the pool. It may be used on one runtime
/// only, because its connections are driven by tasks of that runtime. A connection carries each request
/// id once, and a response with the id of an earlier request on it is an error. Other ids may be the
/// server's own.
#[derive(Debug, Clone)]
pub struct HttpClient {
    /// Keyed by host and port as they stand in URLs.
    pool: Arc<Pool<String>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self {
            pool: Arc::new(Pool::new(CONNECT_OPTIONS)),
        }
    }
}

impl HttpClient {
    /// Sends `request` to its absolute URL and waits at most `timeout` for the head of the response.
    pub async fn send(
        &self,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<ClientResponse, SendError> {
        let (authority, request) = to_origin_form(request)?;
        let request_id = request.headers().get(REQUEST_ID_HEADER).cloned();
        let exchange_id = request_id.as_ref().and_then(|id| id.to_str().ok());
        let exchange = self.exchange(&authority, request, exchange_id);
        let result = tokio::time::timeout(timeout, exchange).await;
        let origin = || Origin::new("send request", &authority);
        let (connection, response) = result.map_err(|_| SendError::Timeout {
            origin: origin(),
            timeout,
        })??;
        let (head, body) = response.into_parts();
        let response_id = head.headers.get(REQUEST_ID_HEADER);
        let response_id = response_id.and_then(|id| id.to_str().ok());
        let is_foreign = |id| exchange_id != Some(id) && connection.has_carried(id);
        if response_id.is_some_and(is_foreign) {
            return Err(SendError::ForeignResponse { origin: origin() });
        }
        Ok(ClientResponse {
            head,
            body,
            connection: Some(connection),
            authority,
            pool: Arc::clone(&self.pool),
        })
    }

    async fn exchange(
        &self,
        authority: &String,
        request: Request<Bytes>,
        exchange_id: Option<&str>,
    ) -> Result<(Connection, Response<ResponseBody>), SendError> {
        self.pool.close_expired();
        let addr = resolve(authority).await?;
        let request = request.map(RequestBody::new);
        let mut pooled = self.pool.acquire(authority, addr, exchange_id).await?;
        let mut sent = pooled.connection.send(request.clone()).await;
        let was_idle = !pooled.is_new;
        if was_idle && sent.as_ref().is_err_and(ExchangeError::is_not_sent) {
            // The server had closed the idle connection.
            pooled = self.pool.open(addr, exchange_id).await?;
            sent = pooled.connection.send(request).await;
        }
        Ok((pooled.connection, sent?))
    }
}

/// Splits the absolute URL of `request` into host and port, which are returned, and the path that the
/// request keeps.
fn to_origin_form(mut request: Request<Bytes>) -> Result<(String, Request<Bytes>), SendError> {
    let url = std::mem::take(request.uri_mut());
    let is_http = url.scheme_str() == Some("http");
    let Some(authority) = url.authority().filter(|_| is_http) else {
        return Err(SendError::InvalidUrl { url });
    };
    let authority = match authority.port() {
        Some(_) => authority.as_str().to_owned(),
        None => format!("{authority}:{DEFAULT_PORT}"),
    };
    let path = url
        .path_and_query()
        .and_then(|path| path.as_str().parse().ok());
    *request.uri_mut() = path.unwrap_or_default();
    let Ok(host) = HeaderValue::from_str(&authority) else {
        return Err(SendError::InvalidUrl { url });
    };
    request.headers_mut().insert(header::HOST, host);
    Ok((authority, request))
}

async fn resolve(authority: &str) -> Result<SocketAddr, SendError> {
    let unresolved = |reason: String| SendError::Unresolved {
        origin: Origin::new("resolve host", authority),
        reason,
    };
    let resolved = tokio::net::lookup_host(authority).await;
    let mut addrs = resolved.map_err(|e| unresolved(e.to_string()))?;
    addrs
        .next()
        .ok_or_else(|| unresolved("no address".to_owned()))
}

/// A response whose head was received. Dropping it before the end of its body closes the
/// connection.
#[derive(Debug)]
pub struct ClientResponse {
    head: response::Parts,
    body: ResponseBody,
    /// `None` once the body has ended.
    connection: Option<Connection>,
    authority: String,
    pool: Arc<Pool<String>>,
}

impl ClientResponse {
    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Returns the headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// Waits for the next bytes of the body. Returns `None` at the end of a complete body.
    pub async fn next_data(&mut self) -> Result<Option<Bytes>, ReadError> {
        if let Some(data) = self.body.next_data().await? {
            return Ok(Some(data));
        }
        if self.body.framing() == Framing::UntilClose {
            self.check_server_lives().await?;
        } else if let Some(connection) = self.connection.take_if(|_| self.body.keeps_connection()) {
            self.pool
                .release(&self.authority, connection, Some(ASSUMED_IDLE_TIMEOUT));
        }
        Ok(None)
    }

    /// Returns an error if the process of the server has ended. The kernel closes the connections of
    /// an ended process in order.
    async fn check_server_lives(&mut self) -> Result<(), ReadError> {
        let Some(connection) = self.connection.take() else {
            return Ok(());
        };
        match connection::probe_process(connection.peer()).await {
            ListenerStatus::Refusing => Err(ReadError::ServerEnded {
                origin: self.origin(),
            }),
            ListenerStatus::Accepting | ListenerStatus::NoResponse => Ok(()),
        }
    }

    /// Reads the rest of the body, of which there may be at most `max_bytes`.
    pub async fn read_to_end(&mut self, max_bytes: usize) -> Result<Bytes, ReadError> {
        let mut bytes = BytesMut::new();
        while let Some(data) = self.next_data().await? {
            bytes.extend_from_slice(&data);
            if bytes.len() > max_bytes {
                return Err(ReadError::TooLarge {
                    origin: self.origin(),
                    max_bytes,
                });
            }
        }
        Ok(bytes.freeze())
    }

    fn origin(&self) -> Origin {
        Origin::new("read response body", &self.authority)
    }
}
