//! Accepts the connections that there is room for.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::connections::{CallerConnection, CallerConnections};
use crate::transport::{CallerTransport, ReadCount};

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections in a task until `cancel` is cancelled, which also closes those that are open. Each
/// is served by a task of its own until it ends or must be closed.
pub fn spawn_accept_loop<F, Served>(
    listener: TcpListener,
    connections: Arc<CallerConnections>,
    cancel: CancellationToken,
    serve: F,
) where
    F: Fn(CallerConnection, CallerTransport<TcpStream>) -> Served + Send + Sync + 'static,
    Served: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(accept_until_cancelled(listener, connections, cancel, serve));
}

async fn accept_until_cancelled<F, Served>(
    listener: TcpListener,
    connections: Arc<CallerConnections>,
    cancel: CancellationToken,
    serve: F,
) where
    F: Fn(CallerConnection, CallerTransport<TcpStream>) -> Served,
    Served: Future<Output = ()> + Send + 'static,
{
    while let Some(accepted) = cancel.run_until_cancelled(listener.accept()).await {
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!(error:% = e; "connection not accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(connection) = connections.admit().await else {
            continue;
        };
        let transport = CallerTransport::new(stream, connection.clone(), ReadCount::default());
        let served = serve(connection.clone(), transport);
        let cancel = cancel.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = cancel.cancelled() => {}
                () = connection.closing() => {}
                () = served => {}
            }
        });
    }
}
