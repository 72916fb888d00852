//! Changes the ledger through one worker, the ledger writer, on behalf of all processes.
//!
//! Load pattern: bursts of submissions arrive at all fronts, also while the store takes a
//! quarter of a second for each call. If each process changed the ledger by itself, the
//! writes would conflict and be repeated. The ledger writer knows the newest ledger and
//! writes all waiting changes in one call. It only saves calls and time: any process may change
//! the ledger, as each write replaces it only at the revision at which it was read.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxwheel_policy::batch::ledger::{LedgerChange, LedgerResponse};
use foxwheel_policy::batch::ownership;
use tokio::sync::{oneshot, Notify};

use crate::job_store::{JobStore, JobStoreError};
use crate::node::Node;
use crate::peer_calls::RelayedResult;
use crate::settings::Role;

/// Key by which the workers are ranked to choose the ledger writer. Jobs use their id.
const LEDGER_RANK_KEY: &str = "ledger";

/// Time limit for one write of the ledger with all waiting changes.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A waiting change and where its result is sent.
type WaitingChange = (LedgerChange, oneshot::Sender<RelayedResult<LedgerResponse>>);

/// The changes that wait at this worker for the next write of the ledger.
#[derive(Debug, Default)]
pub struct LedgerWriter {
    waiting: Mutex<Vec<WaitingChange>>,
    wake: Notify,
}

impl LedgerWriter {
    /// Applies `change` with the next write of the ledger and returns its result, or
    /// `Unknown` if the write failed.
    pub async fn submit(&self, change: LedgerChange) -> RelayedResult<LedgerResponse> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut waiting = self.waiting.lock().expect("ledger writer lock");
            waiting.push((change, sender));
        }
        self.wake.notify_one();
        receiver
            .await
            .unwrap_or_else(|_| RelayedResult::Unknown("the keeper stopped".to_owned()))
    }

    /// Writes waiting changes. Never returns.
    pub async fn run(&self, store: &JobStore) {
        loop {
            self.wake.notified().await;
            let batch = {
                let mut waiting = self.waiting.lock().expect("ledger writer lock");
                std::mem::take(&mut *waiting)
            };
            if !batch.is_empty() {
                write_changes(store, batch).await;
            }
        }
    }
}

async fn write_changes(store: &JobStore, batch: Vec<WaitingChange>) {
    let deadline = Instant::now() + WRITE_TIMEOUT;
    let written = store.update_ledger(deadline, |ledger| {
        let changes = batch.iter().map(|(change, _)| ledger.apply(change));
        changes.collect::<Vec<_>>()
    });
    match written.await {
        Ok(results) => {
            for ((_, sender), result) in batch.into_iter().zip(results) {
                // The receiver is dropped if the caller gave up.
                let _ = sender.send(RelayedResult::Done(result));
            }
        }
        Err(e) => {
            log::warn!(changes = batch.len(), error:% = e; "could not write the ledger");
            for (_, sender) in batch {
                let _ = sender.send(RelayedResult::Unknown(e.to_string()));
            }
        }
    }
}

/// Applies `change` through the ledger writer, or directly if the ledger writer does not
/// confirm it. `own` is this process's ledger writer if it is a worker.
pub async fn change_ledger(
    node: &Arc<Node>,
    store: &JobStore,
    own: Option<&LedgerWriter>,
    change: LedgerChange,
    deadline: Instant,
) -> Result<LedgerResponse, JobStoreError> {
    let now = Instant::now();
    let workers = node.peers.live_workers(now);
    let writer = ownership::preferred_worker(LEDGER_RANK_KEY, &workers);
    let own_host = &node.settings.host;
    // A worker is not among its own peers, so it is the ledger writer if it outranks them.
    let is_own = own.is_some()
        && writer.is_none_or(|writer| ownership::outranks(LEDGER_RANK_KEY, own_host, &writer.host));
    let written = match (own, writer) {
        (Some(own), _) if is_own => Some(own.submit(change.clone()).await),
        (_, Some(writer)) => {
            let live = node.peers.live_processes(Role::Worker, now);
            let found = live.iter().find(|(host, _)| *host == writer.host);
            match found {
                Some((_, addr)) if !node.peer_calls.has_failed_recently(*addr, now) => {
                    let result = node.peer_calls.change_ledger(*addr, change.clone()).await;
                    result
                        .inspect_err(|e| log::info!(error:% = e; "ledger writer did not respond"))
                        .ok()
                }
                Some(_) | None => None,
            }
        }
        _ => None,
    };
    if let Some(RelayedResult::Done(result)) = written {
        return Ok(result);
    }
    store
        .update_ledger(deadline, |ledger| ledger.apply(&change))
        .await
}
