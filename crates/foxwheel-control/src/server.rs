//! The agent's side of the control channel: a TCP listener that serves control calls.

use std::net::SocketAddr;
use std::sync::Arc;

use foxwheel_callers::connections::{CallerConnection, CallerConnections};
use foxwheel_callers::listener;
use foxwheel_callers::transport::CallerTransport;
use foxwheel_core::ids::Version;
use foxwheel_core::protocol::{AgentConfig, LoadReport};
use foxwheel_policy::caller_connections::Activity;
use futures::StreamExt;
use tarpc::context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

use crate::service::AgentControl;

/// Interface through which the control channel reads and configures the agent. Implementations
/// only read or write memory briefly and never block.
pub trait AgentHandle: Send + Sync + 'static {
    /// Returns the current load and drain state of the agent.
    fn load(&self) -> LoadReport;

    /// Applies `config` if it is newer than the agent's configuration. Returns the revision in force
    /// afterwards.
    fn configure(&self, config: AgentConfig) -> Version;
}

/// Serves control calls with an [`AgentHandle`].
#[derive(Clone)]
struct CallHandler(Arc<dyn AgentHandle>);

impl AgentControl for CallHandler {
    async fn load(self, _: context::Context) -> LoadReport {
        self.0.load()
    }

    async fn configure(self, _: context::Context, config: AgentConfig) -> Version {
        self.0.configure(config)
    }
}

/// Binds `listen_addr`, spawns a task that serves control calls with `agent`, and returns the bound
/// address. `connections` keeps those that there is room for. When `cancel` is cancelled, the listener
/// and all open connections close. Returns an error if the address cannot be bound.
pub async fn serve(
    listen_addr: &str,
    agent: Arc<dyn AgentHandle>,
    connections: Arc<CallerConnections>,
    cancel: CancellationToken,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(listen_addr).await?;
    let addr = listener.local_addr()?;
    let handler = CallHandler(agent);
    let serve =
        move |connection, transport| serve_connection(connection, transport, handler.clone());
    listener::spawn_accept_loop(listener, connections, cancel, serve);
    Ok(addr)
}

async fn serve_connection(
    connection: CallerConnection,
    transport: CallerTransport<TcpStream>,
    handler: CallHandler,
) {
    let frames = Framed::new(transport, LengthDelimitedCodec::new());
    let messages = tarpc::serde_transport::new(frames, Bincode::default());
    BaseChannel::with_defaults(messages)
        .execute(handler.serve())
        .for_each(|call| async {
            connection.set_activity(Activity::Serving);
            call.await;
            connection.set_activity(Activity::Idle);
        })
        .await;
}
