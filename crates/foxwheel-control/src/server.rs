//! The agent's side of the control channel: a TCP listener that serves control calls.

use std::net::SocketAddr;
use std::sync::Arc;

use foxwheel_core::ids::Version;
use foxwheel_core::protocol::{AgentConfig, LoadReport};
use futures::StreamExt;
use tarpc::context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
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
/// address. When `cancel` is cancelled, the listener and all open connections close. Returns an
/// error if the address cannot be bound.
pub async fn serve(
    listen_addr: &str,
    agent: Arc<dyn AgentHandle>,
    cancel: CancellationToken,
) -> std::io::Result<SocketAddr> {
    let mut incoming = tarpc::serde_transport::tcp::listen(listen_addr, Bincode::default).await?;
    let addr = incoming.local_addr();
    let handler = CallHandler(agent);
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                () = cancel.cancelled() => return,
                accepted = incoming.next() => accepted,
            };
            match accepted {
                Some(Ok(transport)) => {
                    let serve_calls = BaseChannel::with_defaults(transport)
                        .execute(handler.clone().serve())
                        .for_each(|call| call);
                    let cancel = cancel.clone();
                    tokio::spawn(async move {
                        tokio::select! {
                            () = cancel.cancelled() => {}
                            () = serve_calls => {}
                        }
                    });
                }
                Some(Err(e)) => log::debug!("control connection not accepted: {e}"),
                None => return,
            }
        }
    });
    Ok(addr)
}
