//! The agent's side: a TCP listener that answers control calls until cancelled.

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

/// What the control channel asks of the agent; each call is a short read or write of
/// memory and never blocks.
pub trait AgentHandle: Send + Sync + 'static {
    /// The agent's load and drain state now.
    fn load(&self) -> LoadReport;

    /// Puts `config` in force if it is newer; answers the revision in force afterwards.
    fn configure(&self, config: AgentConfig) -> Version;
}

/// Answers control calls from an [`AgentHandle`].
#[derive(Clone)]
struct Handler(Arc<dyn AgentHandle>);

impl AgentControl for Handler {
    async fn load(self, _: context::Context) -> LoadReport {
        self.0.load()
    }

    async fn configure(self, _: context::Context, config: AgentConfig) -> Version {
        self.0.configure(config)
    }
}

/// Binds `listen_addr` and answers control calls with `agent` until `cancel` fires.
/// Answers the bound address; open connections are dropped on cancel.
pub async fn serve(
    listen_addr: &str,
    agent: Arc<dyn AgentHandle>,
    cancel: CancellationToken,
) -> std::io::Result<SocketAddr> {
    let mut incoming = tarpc::serde_transport::tcp::listen(listen_addr, Bincode::default).await?;
    let addr = incoming.local_addr();
    let handler = Handler(agent);
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                () = cancel.cancelled() => return,
                accepted = incoming.next() => accepted,
            };
            match accepted {
                Some(Ok(transport)) => {
                    let calls = BaseChannel::with_defaults(transport)
                        .execute(handler.clone().serve())
                        .for_each(|call| call);
                    let cancel = cancel.clone();
                    tokio::spawn(async move {
                        tokio::select! {
                            () = cancel.cancelled() => {}
                            () = calls => {}
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
