//! The membership lease: the agent's record under `members/<deployment>/<host>` in the
//! platform store, renewed by heartbeat and marked draining when the host is leaving.
//!
//! Gateways watch `members/` and route only to records that are ready and unexpired, so an
//! agent that dies drops out when its lease runs out, and one that drains drops out as soon
//! as its draining record is seen.

use std::time::Duration;

use tokio_util::sync::CancellationToken;

use foxwheel_core::protocol::{Member, MemberState};
use foxwheel_core::{keys, time};
use foxwheel_store::client::StoreClient;

use crate::queue::Queue;
use crate::settings::AgentSettings;

/// Keeps this agent's membership lease.
#[derive(Clone)]
pub struct Membership {
    store: StoreClient,
    key: String,
    record: Member,
    heartbeat: Duration,
    ttl: Duration,
    queue: Queue,
    changed: std::sync::Arc<tokio::sync::Notify>,
}

impl Membership {
    /// The lease of the agent described by `settings`, reachable at `agent_addr`.
    pub fn new(settings: &AgentSettings, agent_addr: String, queue: Queue) -> Self {
        let record = Member {
            host: settings.host.clone(),
            deployment: settings.deployment.clone(),
            agent_addr,
            zone: settings.zone.clone(),
            state: MemberState::Ready,
            lease_expires_ms: 0,
            lease_ttl_ms: settings.lease_ttl_ms,
        };
        Self {
            store: StoreClient::new(&settings.store_url),
            key: keys::member(&settings.deployment, &settings.host),
            record,
            heartbeat: Duration::from_millis(settings.heartbeat_ms),
            ttl: Duration::from_millis(settings.lease_ttl_ms),
            queue,
            changed: Default::default(),
        }
    }

    /// A handle that asks for an immediate write, e.g. after the agent started draining.
    /// It may be shared across threads, unlike the lease itself.
    pub fn nudger(&self) -> std::sync::Arc<tokio::sync::Notify> {
        self.changed.clone()
    }

    /// Asks for an immediate write.
    pub fn nudge(&self) {
        self.changed.notify_one();
    }

    /// Writes the record once, with the queue's current drain state.
    pub async fn renew(&self) -> Result<(), foxwheel_store::client::StoreError> {
        let mut record = self.record.clone();
        record.state = if self.queue.is_draining() {
            MemberState::Draining
        } else {
            MemberState::Ready
        };
        record.lease_expires_ms = time::unix_ms() + self.ttl.as_millis() as u64;
        self.store.put(&self.key, &record, None).await.map(|_| ())
    }

    /// Renews the lease every heartbeat until `cancel` fires; store outages are retried at
    /// the next heartbeat, and a change of state is logged once.
    pub async fn run(self, cancel: CancellationToken) {
        let mut healthy = true;
        while !cancel.is_cancelled() {
            match self.renew().await {
                Ok(()) if !healthy => {
                    log::info!("membership lease renewed again");
                    healthy = true;
                }
                Err(e) if healthy => {
                    log::warn!("membership lease not renewed: {e}");
                    healthy = false;
                }
                _ => {}
            }
            tokio::select! {
                _ = cancel.cancelled() => {}
                _ = self.changed.notified() => {}
                _ = tokio::time::sleep(self.heartbeat) => {}
            }
        }
    }

    /// Removes the record at the end of a graceful stop.
    pub async fn leave(&self) {
        if let Err(e) = self.store.delete(&self.key, None).await {
            log::warn!("membership record not removed (its lease will run out): {e}");
        }
    }
}
