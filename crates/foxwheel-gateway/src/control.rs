//! The controller that polls every agent in the host table over the control channel.
//!
//! A response shows that the host is alive and reports its load and whether it is draining. An
//! agent whose configuration is older than this gateway's is sent the newer one. Each agent is
//! polled by a task of its own on one connection, which is reopened after a failure, so that an
//! agent that does not respond delays no other.

use std::time::Duration;

use foxwheel_control::client::{ControlClient, ControlError};
use foxwheel_core::protocol::{AgentConfig, LoadReport};
use foxwheel_core::telemetry::Counters;
use tokio_util::sync::CancellationToken;

use crate::config::ConfigHandle;
use crate::hosts::{BackendHost, HostTable};

/// Timing of the polls.
#[derive(Debug, Clone, Copy)]
pub struct PollTiming {
    /// Delay between two polls of one agent.
    pub interval: Duration,
    /// Timeout of one connection attempt and of one call.
    pub timeout: Duration,
}

/// State that all pollers share.
#[derive(Clone)]
pub struct PollContext {
    /// Table of the hosts whose agents are polled.
    pub table: HostTable,
    /// Configuration that is sent to agents.
    pub config: ConfigHandle,
    /// Timing of the polls.
    pub timing: PollTiming,
    /// Counters of polls with and without a response.
    pub counters: Counters,
}

/// A running task that polls one agent.
struct Poller {
    control_addr: String,
    cancel: CancellationToken,
}

/// Keeps one poller running per agent in the table until `cancel` is cancelled.
pub async fn run_pollers(poll_context: PollContext, cancel: CancellationToken) {
    // Sorted by control address, for the binary searches below.
    let mut pollers: Vec<Poller> = Vec::new();
    while !cancel.is_cancelled() {
        let mut hosts = poll_context.table.hosts();
        hosts.sort_by(|a, b| a.member.control_addr.cmp(&b.member.control_addr));
        pollers.retain(|poller| {
            let is_listed = hosts
                .binary_search_by(|t| t.member.control_addr.cmp(&poller.control_addr))
                .is_ok();
            if !is_listed {
                poller.cancel.cancel();
            }
            is_listed
        });
        for host in hosts {
            let control_addr = host.member.control_addr.clone();
            if let Err(at) = pollers.binary_search_by(|p| p.control_addr.cmp(&control_addr)) {
                let cancel = cancel.child_token();
                actix_web::rt::spawn(poll_agent(host, poll_context.clone(), cancel.clone()));
                let poller = Poller {
                    control_addr,
                    cancel,
                };
                pollers.insert(at, poller);
            }
        }
        tokio::select! {
            () = cancel.cancelled() => {}
            () = tokio::time::sleep(poll_context.timing.interval) => {}
        }
    }
}

/// Polls one agent until `cancel` is cancelled. Logs when the agent stops responding and when it
/// responds again.
async fn poll_agent(backend: BackendHost, poll_context: PollContext, cancel: CancellationToken) {
    let host = &backend.member.host;
    let mut client: Option<ControlClient> = None;
    let mut is_responding = true;
    while !cancel.is_cancelled() {
        let result = poll_agent_once(&mut client, &backend, &poll_context).await;
        match result {
            Ok(report) => {
                poll_context.counters.incr("control.answered");
                backend.record_report(report);
                if !is_responding {
                    log::info!("{host} responds to control polls again");
                }
                is_responding = true;
            }
            Err(e) => {
                poll_context.counters.incr("control.unanswered");
                backend.record_missed_poll();
                if is_responding {
                    log::warn!("{host} does not respond to control polls: {e}");
                }
                is_responding = false;
            }
        }
        tokio::select! {
            () = cancel.cancelled() => {}
            () = tokio::time::sleep(poll_context.timing.interval) => {}
        }
    }
}

/// Polls an agent once and sends it the configuration in force if its own is older. `client`
/// keeps the connection for the next poll; after a failure it is left empty.
async fn poll_agent_once(
    client: &mut Option<ControlClient>,
    host: &BackendHost,
    poll_context: &PollContext,
) -> Result<LoadReport, ControlError> {
    let peer = &host.member.control_addr;
    let connection = match client.take() {
        Some(connection) => connection,
        None => ControlClient::connect(peer, poll_context.timing.timeout).await?,
    };
    let report = connection.load().await?;
    let config = poll_context.config.current();
    if config.revision > report.config_revision {
        let deployment = config.deployment(&host.member.deployment);
        let agent_config = AgentConfig {
            revision: config.revision,
            batch_gate: deployment.and_then(|d| d.batch_gate.clone()),
        };
        connection.configure(agent_config).await?;
        poll_context.counters.incr("control.configured");
    }
    *client = Some(connection);
    Ok(report)
}
