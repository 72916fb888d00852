//! The control controller: polls every agent in the host table over the control channel.
//!
//! Each answer renews the host's liveness and brings its load and drain state; an agent
//! whose configuration is older than this gateway's is pushed the newer one. One task
//! polls one agent, on one connection that is opened again after a failure, so a silent
//! agent delays no other.

use std::time::Duration;

use foxwheel_control::client::{ControlClient, ControlError};
use foxwheel_core::protocol::{AgentConfig, LoadReport};
use foxwheel_core::telemetry::Counters;
use tokio_util::sync::CancellationToken;

use crate::config::ConfigHandle;
use crate::hosts::{HostTable, Target};

/// How agents are polled.
#[derive(Debug, Clone, Copy)]
pub struct PollShape {
    /// The pause between two polls of one agent.
    pub interval: Duration,
    /// Bounds one connect and one call.
    pub timeout: Duration,
}

/// What every poller shares.
#[derive(Clone)]
pub struct Polling {
    /// The table whose agents are polled.
    pub table: HostTable,
    /// The configuration pushed to agents.
    pub config: ConfigHandle,
    /// How agents are polled.
    pub shape: PollShape,
    /// Counts answers and misses.
    pub counters: Counters,
}

/// A running poller.
struct Poller {
    control_addr: String,
    cancel: CancellationToken,
}

/// Keeps one poller per agent of the table until `cancel` fires.
pub async fn run(polling: Polling, cancel: CancellationToken) {
    // Sorted by control address.
    let mut pollers: Vec<Poller> = Vec::new();
    while !cancel.is_cancelled() {
        let mut targets = polling.table.targets();
        targets.sort_by(|a, b| a.member.control_addr.cmp(&b.member.control_addr));
        pollers.retain(|poller| {
            let wanted = targets
                .binary_search_by(|t| t.member.control_addr.cmp(&poller.control_addr))
                .is_ok();
            if !wanted {
                poller.cancel.cancel();
            }
            wanted
        });
        for target in targets {
            let control_addr = target.member.control_addr.clone();
            if let Err(at) = pollers.binary_search_by(|p| p.control_addr.cmp(&control_addr)) {
                let cancel = cancel.child_token();
                actix_web::rt::spawn(poll(target, polling.clone(), cancel.clone()));
                let poller = Poller {
                    control_addr,
                    cancel,
                };
                pollers.insert(at, poller);
            }
        }
        tokio::select! {
            () = cancel.cancelled() => {}
            () = tokio::time::sleep(polling.shape.interval) => {}
        }
    }
}

/// Polls one agent until `cancel` fires; logs when it stops and starts answering.
async fn poll(target: Target, polling: Polling, cancel: CancellationToken) {
    let host = &target.member.host;
    let mut client: Option<ControlClient> = None;
    let mut answering = true;
    while !cancel.is_cancelled() {
        let polled = poll_once(&mut client, &target, &polling).await;
        match polled {
            Ok(report) => {
                polling.counters.incr("control.answered");
                target.record(report);
                if !answering {
                    log::info!("{host} answers control polls again");
                }
                answering = true;
            }
            Err(e) => {
                polling.counters.incr("control.unanswered");
                target.record_missed();
                if answering {
                    log::warn!("{host} does not answer control polls: {e}");
                }
                answering = false;
            }
        }
        tokio::select! {
            () = cancel.cancelled() => {}
            () = tokio::time::sleep(polling.shape.interval) => {}
        }
    }
}

/// One poll, and a push when the agent's configuration is older; a connection that failed
/// is not put back.
async fn poll_once(
    client: &mut Option<ControlClient>,
    target: &Target,
    polling: &Polling,
) -> Result<LoadReport, ControlError> {
    let peer = &target.member.control_addr;
    let connected = match client.take() {
        Some(connected) => connected,
        None => ControlClient::connect(peer, polling.shape.timeout).await?,
    };
    let report = connected.load().await?;
    let config = polling.config.current();
    if config.revision > report.config_revision {
        let deployment = config.deployment(&target.member.deployment);
        let pushed = AgentConfig {
            revision: config.revision,
            batch_gate: deployment.and_then(|d| d.batch_gate.clone()),
        };
        connected.configure(pushed).await?;
        polling.counters.incr("control.configured");
    }
    *client = Some(connected);
    Ok(report)
}
