//! The membership lease: the agent's record under `members/<deployment>/<host>` in the
//! platform store, renewed rarely and marked draining when the host is leaving.
//!
//! Gateways watch `members/` to learn which agents exist, and poll each over the control
//! channel to learn which are alive and taking work. So a renewal only says that the record
//! is not garbage, and losing the store neither adds nor removes hosts.

use std::sync::Arc;
use std::time::Duration;

use foxwheel_core::keys;
use foxwheel_core::protocol::{Member, MemberState};
use foxwheel_store::client::{StoreClient, StoreError};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::queue::Queue;
use crate::settings::AgentSettings;

/// The pause after a failed write, at most; a state change must not wait for a heartbeat.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Tries of the delete at the end of a graceful stop.
const LEAVE_TRIES: u32 = 3;

/// Where this agent is reached.
#[derive(Debug, Clone)]
pub struct Advertised {
    /// The data path, `ip:port`.
    pub agent_addr: String,
    /// The control channel, `ip:port`.
    pub control_addr: String,
}

/// Keeps this agent's membership lease.
#[derive(Clone)]
pub struct Membership {
    store: StoreClient,
    key: String,
    record: Member,
    heartbeat: Duration,
    queue: Queue,
    changed: Arc<Notify>,
}

impl Membership {
    /// The lease of the agent described by `settings`, reachable at `advertised`.
    /// `changed` asks for an immediate write, e.g. after the agent started draining.
    pub fn new(
        settings: &AgentSettings,
        advertised: Advertised,
        queue: Queue,
        changed: Arc<Notify>,
    ) -> Self {
        let record = Member {
            host: settings.host.clone(),
            deployment: settings.deployment.clone(),
            agent_addr: advertised.agent_addr,
            control_addr: advertised.control_addr,
            zone: settings.zone.clone(),
            state: MemberState::Ready,
            lease_ttl_ms: settings.lease_ttl_ms,
            renewals: 0,
        };
        Self {
            store: StoreClient::new(&settings.store_url),
            key: keys::member(&settings.deployment, &settings.host),
            record,
            heartbeat: Duration::from_millis(settings.heartbeat_ms),
            queue,
            changed,
        }
    }

    /// Asks for an immediate write.
    pub fn nudge(&self) {
        self.changed.notify_one();
    }

    /// Writes the record once, with the queue's current drain state.
    pub async fn renew(&mut self) -> Result<(), StoreError> {
        self.record.state = if self.queue.is_draining() {
            MemberState::Draining
        } else {
            MemberState::Ready
        };
        self.record.renewals += 1;
        self.store
            .put(&self.key, &self.record, None)
            .await
            .map(|_| ())
    }

    /// Renews the lease every heartbeat until `cancel` fires. A failed write is tried again
    /// after [`RETRY_PAUSE`]; a change of state is logged once.
    pub async fn run(mut self, cancel: CancellationToken) {
        let mut healthy = true;
        while !cancel.is_cancelled() {
            let renewed = self.renew().await;
            match &renewed {
                Ok(()) if !healthy => log::info!("membership lease renewed again"),
                Err(e) if healthy => log::warn!("membership lease not renewed: {e}"),
                _ => {}
            }
            healthy = renewed.is_ok();
            let pause = if healthy {
                self.heartbeat
            } else {
                self.heartbeat.min(RETRY_PAUSE)
            };
            tokio::select! {
                () = cancel.cancelled() => {}
                () = self.changed.notified() => {}
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    /// Removes the record at the end of a graceful stop.
    pub async fn leave(&self) {
        for _ in 0..LEAVE_TRIES {
            match self.store.delete(&self.key, None).await {
                Ok(()) => return,
                Err(e) => log::warn!("membership record not removed (its lease runs out): {e}"),
            }
        }
    }
}
