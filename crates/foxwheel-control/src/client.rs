//! The gateway's side: one connection to one agent, with a deadline on every call.

use std::time::{Duration, Instant};

use foxwheel_core::error::Origin;
use foxwheel_core::ids::Version;
use foxwheel_core::protocol::{AgentConfig, LoadReport};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context, serde_transport};

use crate::service::AgentControlClient;

/// Why a control call got no answer.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The connection was refused or did not open in time.
    #[error("cannot connect {origin}: {source}")]
    Connect {
        /// The step and the agent's control address.
        origin: Origin,
        /// The transport's error.
        source: std::io::Error,
    },
    /// The call failed or missed its deadline; connect again.
    #[error("no answer {origin}: {source}")]
    Call {
        /// The step and the agent's control address.
        origin: Origin,
        /// tarpc's error.
        source: client::RpcError,
    },
}

/// A connection to one agent's control channel.
#[derive(Debug, Clone)]
pub struct ControlClient {
    peer: String,
    timeout: Duration,
    rpc: AgentControlClient,
}

impl ControlClient {
    /// Connects to the agent at `peer` (`ip:port`); `timeout` bounds the connect and each
    /// later call. Runs its transport on the current tokio runtime.
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

    /// The agent's load and drain state now.
    pub async fn load(&self) -> Result<LoadReport, ControlError> {
        self.rpc
            .load(self.context())
            .await
            .map_err(|source| self.call_error("poll load", source))
    }

    /// Offers `config`; answers the revision in force on the agent afterwards.
    pub async fn configure(&self, config: AgentConfig) -> Result<Version, ControlError> {
        self.rpc
            .configure(self.context(), config)
            .await
            .map_err(|source| self.call_error("push configuration", source))
    }

    fn context(&self) -> context::Context {
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
