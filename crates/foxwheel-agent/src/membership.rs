//! The agent's membership lease: its record under `members/<deployment>/<host>` in the platform
//! store, renewed at long intervals and marked as draining before the host shuts down.
//!
//! Gateways watch `members/` to learn which agents exist, and poll each agent over the control
//! channel to learn whether it is alive and accepts requests. A renewal therefore only shows that
//! the record is not left over from a dead agent, and an outage of the store neither adds nor
//! removes hosts.

use std::sync::Arc;
use std::time::Duration;

use foxwheel_core::keys;
use foxwheel_core::protocol::{Member, MemberState};
use foxwheel_store::client::{StoreClient, StoreError};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::queue::Queue;
use crate::settings::AgentSettings;

/// Maximum delay before a failed write is retried. Waiting for the next heartbeat would publish a
/// change of the drain state too late.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of attempts to delete the record at the end of a graceful stop.
const MAX_REMOVE_ATTEMPTS: u32 = 3;

/// Addresses that the membership record gives to gateways.
#[derive(Debug, Clone)]
pub struct AdvertisedAddrs {
    /// Address for requests, as `ip:port`.
    pub agent_addr: String,
    /// Address of the control channel, as `ip:port`.
    pub control_addr: String,
}

/// Writes, renews and removes this agent's membership record.
#[derive(Clone)]
pub struct Membership {
    store: StoreClient,
    key: String,
    record: Member,
    renewal_interval: Duration,
    queue: Queue,
    renewal_requested: Arc<Notify>,
}

impl Membership {
    /// Creates the lease of the agent that is described by `settings` and reachable at `addrs`,
    /// without writing it. Notifying `renewal_requested` makes [`Self::run`] write the record
    /// immediately, e.g. after the agent has started draining.
    pub fn new(
        settings: &AgentSettings,
        addrs: AdvertisedAddrs,
        queue: Queue,
        renewal_requested: Arc<Notify>,
    ) -> Self {
        let record = Member {
            host: settings.host.clone(),
            deployment: settings.deployment.clone(),
            agent_addr: addrs.agent_addr,
            control_addr: addrs.control_addr,
            zone: settings.zone.clone(),
            state: MemberState::Ready,
            lease_ttl_ms: settings.lease_ttl_ms,
            renewals: 0,
        };
        Self {
            store: StoreClient::new(&settings.store_url),
            key: keys::member(&settings.deployment, &settings.host),
            record,
            renewal_interval: Duration::from_millis(settings.heartbeat_ms),
            queue,
            renewal_requested,
        }
    }

    /// Makes [`Self::run`] write the record immediately.
    pub fn request_renewal(&self) {
        self.renewal_requested.notify_one();
    }

    /// Writes the record once, with the current drain state of the queue. Returns an error if the
    /// store cannot be reached or refuses the write.
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

    /// Renews the lease at every heartbeat interval, and when a renewal is requested, until
    /// `cancel` is cancelled. A failed write is retried after at most `MAX_RETRY_DELAY`. Only the
    /// first of several failures in a row and the first success after them are logged.
    pub async fn run(mut self, cancel: CancellationToken) {
        let mut last_succeeded = true;
        while !cancel.is_cancelled() {
            let renewal = self.renew().await;
            match &renewal {
                Ok(()) if !last_succeeded => log::info!("membership lease renewed after a failure"),
                Err(e) if last_succeeded => {
                    log::warn!("membership lease not renewed, retrying: {e}")
                }
                _ => {}
            }
            last_succeeded = renewal.is_ok();
            let delay = if last_succeeded {
                self.renewal_interval
            } else {
                self.renewal_interval.min(MAX_RETRY_DELAY)
            };
            tokio::select! {
                () = cancel.cancelled() => {}
                () = self.renewal_requested.notified() => {}
                () = tokio::time::sleep(delay) => {}
            }
        }
    }

    /// Removes the record at the end of a graceful stop. If all attempts fail, the record stays
    /// until its lease expires.
    pub async fn remove_record(&self) {
        for _ in 0..MAX_REMOVE_ATTEMPTS {
            match self.store.delete(&self.key, None).await {
                Ok(()) => return,
                Err(e) => {
                    log::warn!("membership record not removed (it expires with its lease): {e}")
                }
            }
        }
    }
}
