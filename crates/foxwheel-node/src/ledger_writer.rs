//! Changes of the ledger, made by one worker for all processes.
//!
//! Load pattern: bursts of submissions at all fronts, also while the store takes a quarter
//! of a second for each call. Processes that change the ledger each by itself meet each
//! other's changes and write twice; the keeper knows the newest ledger and writes all
//! changes that wait at once. It only saves calls and time: any process may change the
//! ledger, which is replaced only at the revision it was read at.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxwheel_policy::batch::ledger::{LedgerAnswer, LedgerChange};
use foxwheel_policy::batch::ownership;
use tokio::sync::{oneshot, Notify};

use crate::job_store::{JobStore, JobStoreError};
use crate::node::Node;
use crate::peer_calls::RelayedResult;
use crate::settings::Role;

/// Stands for the ledger where workers are ranked for a job.
const LEDGER_RANK: &str = "ledger";

/// Longest time for one write of the ledger with all changes that wait.
const WRITE_TIME: Duration = Duration::from_millis(1_200);

type Waiting = (LedgerChange, oneshot::Sender<RelayedResult<LedgerAnswer>>);

/// Changes that wait at a worker.
#[derive(Debug, Default)]
pub struct LedgerWriter {
    waiting: Mutex<Vec<Waiting>>,
    wake: Notify,
}

impl LedgerWriter {
    /// Makes `change` with the next write.
    pub async fn submit(&self, change: LedgerChange) -> RelayedResult<LedgerAnswer> {
        let (answer, answered) = oneshot::channel();
        {
            let mut waiting = self.waiting.lock().expect("ledger keeper lock");
            waiting.push((change, answer));
        }
        self.wake.notify_one();
        answered
            .await
            .unwrap_or_else(|_| RelayedResult::Unknown("the keeper stopped".to_owned()))
    }

    /// Writes changes for as long as the process lives.
    pub async fn run(&self, store: &JobStore) {
        loop {
            self.wake.notified().await;
            let batch = {
                let mut waiting = self.waiting.lock().expect("ledger keeper lock");
                std::mem::take(&mut *waiting)
            };
            if !batch.is_empty() {
                write(store, batch).await;
            }
        }
    }
}

async fn write(store: &JobStore, batch: Vec<Waiting>) {
    let deadline = Instant::now() + WRITE_TIME;
    let written = store.update_ledger(deadline, |ledger| {
        let changes = batch.iter().map(|(change, _)| ledger.apply(change));
        changes.collect::<Vec<_>>()
    });
    match written.await {
        Ok(answers) => {
            for ((_, sender), answer) in batch.into_iter().zip(answers) {
                // Whoever asked may have given up.
                let _ = sender.send(RelayedResult::Settled(answer));
            }
        }
        Err(e) => {
            log::warn!(changes = batch.len(), error:% = e; "ledger not written");
            for (_, sender) in batch {
                let _ = sender.send(RelayedResult::Unknown(e.to_string()));
            }
        }
    }
}

/// Makes `change` through the keeper, or by itself if the keeper does not settle it. `own`
/// is this process's part as a keeper, if it is a worker.
pub async fn change_ledger(
    node: &Arc<Node>,
    store: &JobStore,
    own: Option<&LedgerWriter>,
    change: LedgerChange,
    deadline: Instant,
) -> Result<LedgerAnswer, JobStoreError> {
    let now = Instant::now();
    let workers = node.peers.live_workers(now);
    let keeper = ownership::first_choice(LEDGER_RANK, &workers);
    let own_host = &node.settings.host;
    // A worker is not among its own peers: it is the keeper if it outranks them.
    let is_own = own.is_some()
        && keeper.is_none_or(|keeper| ownership::outranks(LEDGER_RANK, own_host, &keeper.node));
    let kept = match (own, keeper) {
        (Some(own), _) if is_own => Some(own.submit(change.clone()).await),
        (_, Some(keeper)) => {
            let live = node.peers.live_processes(Role::Worker, now);
            let found = live.iter().find(|(host, _)| *host == keeper.node);
            match found {
                Some((_, addr)) if !node.peer_calls.has_failed_recently(*addr, now) => {
                    let asked = node.peer_calls.change_ledger(*addr, change.clone()).await;
                    asked
                        .inspect_err(|e| log::info!(error:% = e; "ledger keeper did not answer"))
                        .ok()
                }
                Some(_) | None => None,
            }
        }
        _ => None,
    };
    if let Some(RelayedResult::Settled(answer)) = kept {
        return Ok(answer);
    }
    store
        .update_ledger(deadline, |ledger| ledger.apply(&change))
        .await
}
