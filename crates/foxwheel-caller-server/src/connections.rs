//! Registers the connections of a server, and closes those that must make room.

use std::any::Any;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use actix_web::body::MessageBody;
use actix_web::dev::{Extensions, ServiceRequest, ServiceResponse};
use actix_web::http::StatusCode;
use actix_web::middleware::Next;
use actix_web::rt::net::TcpStream;
use actix_web::{Error, HttpRequest, HttpResponse};
use foxwheel_callers::connections::{CallerConnection, CallerConnections, CloseReason};
use foxwheel_callers::host::HostLimits;
use foxwheel_core::http;
use foxwheel_core::telemetry::Counters;
use foxwheel_policy::caller_connections::{Activity, CallerTimeouts, ConnectionLimits};
use futures::future::{self, Either};
use socket2::{Domain, SockRef, Socket, Type};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::response_body::TrackedBody;

/// Connections that the kernel holds until they are accepted.
const MAX_PENDING_CONNECTIONS: i32 = 512;

/// Open files for each connection: its socket, the handle that closes it, and a connection to a backend
/// server.
pub const FILES_PER_CONNECTION: usize = 3;

/// Maximum number of connections that a server has accepted and not registered: its threads may be busy.
const MAX_UNREGISTERED_CONNECTIONS: usize = 16;

/// Limits of the wait for callers. The server itself limits the time for a head.
const TIMEOUTS: CallerTimeouts = CallerTimeouts {
    head: Duration::MAX,
    unread_response: Duration::from_secs(10),
};

/// Time between two checks for callers that are too slow.
const SLOW_CALLER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// `Retry-After` of requests that find no room, in seconds.
pub(crate) const NO_ROOM_RETRY_AFTER_S: u64 = 1;

/// A connection as the handlers of its requests find it.
struct Registered {
    connection: CallerConnection,
    /// Ends the task that waits until the connection must be closed.
    _closed: DropGuard,
}

/// Listens at `listen_addr`. The receive buffers of the connections suit `host`. Returns an error if the
/// address is not valid or cannot be bound.
pub fn listen(listen_addr: &str, host: HostLimits) -> std::io::Result<TcpListener> {
    let addr: SocketAddr = listen_addr.parse().map_err(std::io::Error::other)?;
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    // The connections inherit it.
    socket.set_recv_buffer_size(host.receive_buffer_bytes() as usize)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(MAX_PENDING_CONNECTIONS)?;
    Ok(socket.into())
}

/// Creates the connections of callers of a server on `host`. Those that are closed are counted.
pub fn for_callers(host: HostLimits, counters: Counters) -> Arc<CallerConnections> {
    new_connections(host.for_callers(FILES_PER_CONNECTION), counters)
}

/// Creates connections that take no more than `limits`. Those that are closed are counted.
pub fn new_connections(limits: ConnectionLimits, counters: Counters) -> Arc<CallerConnections> {
    CallerConnections::new(limits, move |reason| {
        counters.incr(match reason {
            CloseReason::RoomNeeded => "callers.closed_for_room",
            CloseReason::TimedOut => "callers.timed_out",
            CloseReason::NotAccepted => "callers.not_accepted",
        });
    })
}

/// Returns the options of a server that registers each connection that it accepts.
pub fn server_options(connections: Arc<CallerConnections>) -> http::ServerOptions {
    let max_connections = connections.limits().max_connections + MAX_UNREGISTERED_CONNECTIONS;
    http::ServerOptions {
        on_connect: Some(Arc::new(move |io, data| register(&connections, io, data))),
        max_connections: Some(max_connections),
        ..http::ServerOptions::default()
    }
}

/// Registers a connection that the server has accepted, or closes it if there is no room.
fn register(connections: &Arc<CallerConnections>, io: &dyn Any, data: &mut Extensions) {
    let Some(stream) = io.downcast_ref::<TcpStream>() else {
        return;
    };
    let socket = SockRef::from(stream);
    let Some(connection) = connections.admit_now() else {
        // The server notices that nothing more comes.
        shut_down(&socket);
        return;
    };
    let Ok(socket) = socket.try_clone() else {
        shut_down(&socket);
        return;
    };
    let closed = CancellationToken::new();
    data.insert(Registered {
        connection: connection.clone(),
        _closed: closed.clone().drop_guard(),
    });
    actix_web::rt::spawn(async move {
        let closing = std::pin::pin!(connection.closing());
        let closed = std::pin::pin!(closed.cancelled());
        if let Either::Left(_) = future::select(closing, closed).await {
            shut_down(&socket);
        }
    });
}

fn shut_down(socket: &Socket) {
    // An error means that the connection is closed already.
    let _ = socket.shutdown(Shutdown::Both);
}

/// Returns the connection of a request.
pub fn connection_of(request: &HttpRequest) -> Option<&CallerConnection> {
    let registered = request.conn_data::<Registered>()?;
    Some(&registered.connection)
}

/// Middleware that records what the connection of a request does. Requests of connections that were not
/// registered are refused.
pub async fn track_request(
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<TrackedBody>, Error> {
    let connection = connection_of(request.request()).cloned();
    let response = match &connection {
        Some(connection) => {
            connection.set_activity(Activity::Serving);
            next.call(request).await?.map_into_boxed_body()
        }
        None => request.into_response(no_room_response("the connection")),
    };
    Ok(response.map_body(|_, body| TrackedBody::new(body, connection)))
}

/// Closes the connections of callers that do not read their responses, until cancelled.
pub async fn close_slow_callers(connections: Arc<CallerConnections>, cancel: CancellationToken) {
    let closing = async {
        loop {
            actix_web::rt::time::sleep(SLOW_CALLER_CHECK_INTERVAL).await;
            connections.close_timed_out(TIMEOUTS);
        }
    };
    cancel.run_until_cancelled(closing).await;
}

/// Returns the response to a request that finds no room for `what`.
pub fn no_room_response(what: &str) -> HttpResponse {
    http::not_run_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "no_room",
        format!("no room for {what} beside those of other callers"),
        Some(NO_ROOM_RETRY_AFTER_S),
    )
}
