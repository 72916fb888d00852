//! The control controller: polls every agent in the host table over the control channel.
//!
//! Each answer renews the host's liveness and brings its load and drain state. One task
//! polls one agent, on one connection that is opened again after a failure, so a silent
//! agent delays no other.

use std::time::Duration;

use foxwheel_control::client::{ControlClient, ControlError};
use foxwheel_core::protocol::LoadReport;
use foxwheel_core::telemetry::Counters;
use tokio_util::sync::CancellationToken;

use crate::hosts::{HostTable, Target};

/// How agents are polled.
#[derive(Debug, Clone, Copy)]
pub struct PollShape {
    /// The pause between two polls of one agent.
    pub interval: Duration,
    /// Bounds one connect and one call.
    pub timeout: Duration,
}

/// A running poller.
struct Poller {
    control_addr: String,
    cancel: CancellationToken,
}

/// Keeps one poller per agent of `table` until `cancel` fires.
pub async fn run(
    table: HostTable,
    shape: PollShape,
    counters: Counters,
    cancel: CancellationToken,
) {
    // Sorted by control address.
    let mut pollers: Vec<Poller> = Vec::new();
    while !cancel.is_cancelled() {
        let mut targets = table.targets();
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
                actix_web::rt::spawn(poll(target, shape, counters.clone(), cancel.clone()));
                let poller = Poller {
                    control_addr,
                    cancel,
                };
                pollers.insert(at, poller);
            }
        }
        tokio::select! {
            () = cancel.cancelled() => {}
            () = tokio::time::sleep(shape.interval) => {}
        }
    }
}

/// Polls one agent until `cancel` fires; logs when it stops and starts answering.
async fn poll(target: Target, shape: PollShape, counters: Counters, cancel: CancellationToken) {
    let peer = target.member.control_addr.clone();
    let host = &target.member.host;
    let mut client: Option<ControlClient> = None;
    let mut answering = true;
    while !cancel.is_cancelled() {
        let polled = poll_once(&mut client, &peer, shape.timeout).await;
        match polled {
            Ok(report) => {
                counters.incr("control.answered");
                if !answering {
                    log::info!("{host} answers control polls again");
                }
                answering = true;
                target.record(report);
            }
            Err(e) => {
                counters.incr("control.unanswered");
                target.record_missed();
                if answering {
                    log::warn!("{host} does not answer control polls: {e}");
                }
                answering = false;
                client = None;
            }
        }
        tokio::select! {
            () = cancel.cancelled() => {}
            () = tokio::time::sleep(shape.interval) => {}
        }
    }
}

async fn poll_once(
    client: &mut Option<ControlClient>,
    peer: &str,
    timeout: Duration,
) -> Result<LoadReport, ControlError> {
    let connected = match client.take() {
        Some(connected) => connected,
        None => ControlClient::connect(peer, timeout).await?,
    };
    let report = connected.load().await?;
    *client = Some(connected);
    Ok(report)
}
