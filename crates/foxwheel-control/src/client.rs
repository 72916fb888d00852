//! The gateway's side of the control channel: a connection to one agent, with a timeout for every
//! call.

use std::time::{Duration, Instant};

use foxwheel_core::error::Origin;
use foxwheel_core::ids::Version;
use foxwheel_core::protocol::{AgentConfig, LoadReport};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context, serde_transport};

use crate::service::AgentControlClient;

/// Why a control call failed.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The connection could not be opened within the timeout.
    #[error("cannot connect {origin}: {source}")]
    Connect {
        /// Step that failed and control address of the agent.
        origin: Origin,
        /// Error of the transport.
        source: std::io::Error,
    },
    /// The call failed or timed out. The caller has to connect again.
    #[error("no answer {origin}: {source}")]
    Call {
        /// Step that failed and control address of the agent.
        origin: Origin,
        /// Error that `tarpc` returned.
        source: client::RpcError,
    },
}

/// A connection to the control channel of one agent.
#[derive(Debug, Clone)]
pub struct ControlClient {
    peer: String,
    timeout: Duration,
    rpc: AgentControlClient,
}

impl ControlClient {
    /// Connects to the agent at `peer` (`ip:port`) and spawns the transport on the current tokio
    /// runtime. `timeout` applies to connecting and to each later call. Returns
    /// [`ControlError::Connect`] if the connection cannot be opened.
    pub async fn connect(peer: &str, timeout: Duration) -> Result<Self, ControlError> {
        let origin = || Origin::new("connect control channel", peer);
        let connecting = serde_transport::tcp::connect(peer, Bincode::default);
        let transport = tokio::time::timeout(timeout, connecting)
            .await
            .map_err(std::io::Error::from)
            .and_then(|connected| connected)
            .map_err(|source| ControlError::Connect {
                origin: origin(),
                source,
            })?;
        let rpc = AgentControlClient::new(client::Config::default(), transport).spawn();
        Ok(Self {
            peer: peer.to_owned(),
            timeout,
            rpc,
        })
    }

    /// Returns the current load and drain state of the agent.
    pub async fn load(&self) -> Result<LoadReport, ControlError> {
        self.rpc
            .load(self.call_context())
            .await
            .map_err(|source| self.call_error("poll load", source))
    }

    /// Sends `config` to the agent, which applies it if it is newer than its own. Returns the
    /// revision in force on the agent afterwards.
    pub async fn configure(&self, config: AgentConfig) -> Result<Version, ControlError> {
        self.rpc
            .configure(self.call_context(), config)
            .await
            .map_err(|source| self.call_error("push configuration", source))
    }

    fn call_context(&self) -> context::Context {
        let mut context = context::current();
        context.deadline = Instant::now() + self.timeout;
        context
    }

    fn call_error(&self, step: &'static str, source: client::RpcError) -> ControlError {
        ControlError::Call {
            origin: Origin::new(step, &self.peer),
            source,
        }
    }
}
