//! Changes the ledger through one worker, the ledger writer, on behalf of all processes.
//!
//! Load pattern: bursts of submissions arrive at all fronts, also while the store takes a
//! quarter of a second for each call. If each process changed the ledger by itself, the
//! writes would conflict and be repeated. The ledger writer knows the newest ledger and
//! writes all waiting changes in one call. It only saves calls and time: any process may change
//! the ledger, as each write replaces it only at the revision at which it was read.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxwheel_policy::batch::ledger::{
    LedgerChange, LedgerResponse, LedgerTerm, RelayedChange, RelayedResponse,
};
use foxwheel_policy::batch::ownership;
use tokio::sync::{oneshot, Notify};

use crate::job_store::{JobStore, JobStoreError};
use crate::node::Node;
use crate::peer_calls::RelayedResult;

/// Key by which the workers are ranked to choose the ledger writer. Jobs use their id.
pub const LEDGER_RANK_KEY: &str = "ledger";

/// Time limit for one write of the ledger with all waiting changes.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Maximum number of times that a change is relayed: in the term that the process knows, in the one
/// that the ledger writer names, and once more if another one began meanwhile.
const MAX_RELAYS: u32 = 3;

/// A waiting change and where its result is sent.
type WaitingChange = (
    RelayedChange,
    oneshot::Sender<RelayedResult<RelayedResponse>>,
);

/// The changes that wait at this worker for the next write of the ledger.
#[derive(Debug, Default)]
pub struct LedgerWriter {
    waiting: Mutex<Vec<WaitingChange>>,
    wake: Notify,
}

impl LedgerWriter {
    /// Applies `change` with the next write of the ledger, if its term is not over, and returns its
    /// result, or `Unknown` if the write failed.
    pub async fn submit(
        &self,
        store: &JobStore,
        change: RelayedChange,
    ) -> RelayedResult<RelayedResponse> {
        let known_term = store.known_term();
        if change.term < known_term {
            return RelayedResult::Done(RelayedResponse::Outdated(known_term));
        }
        let (sender, receiver) = oneshot::channel();
        {
            let mut waiting = self.waiting.lock().expect("ledger writer lock");
            waiting.push((change, sender));
        }
        self.wake.notify_one();
        receiver
            .await
            .unwrap_or_else(|_| RelayedResult::Unknown("the ledger writer stopped".to_owned()))
    }

    /// Writes waiting changes as the worker `host`. Never returns.
    pub async fn run(&self, store: &JobStore, host: &str) {
        loop {
            self.wake.notified().await;
            let batch = {
                let mut waiting = self.waiting.lock().expect("ledger writer lock");
                std::mem::take(&mut *waiting)
            };
            if !batch.is_empty() {
                write_changes(store, host, batch).await;
            }
        }
    }
}

/// Writes a batch of changes. Begins a new term if the current one is not that of this worker.
async fn write_changes(store: &JobStore, host: &str, batch: Vec<WaitingChange>) {
    let deadline = Instant::now() + WRITE_TIMEOUT;
    let written = store.update_ledger(deadline, |ledger| {
        let begins_term = ledger.writer.as_deref() != Some(host);
        if begins_term {
            ledger.begin_term(host);
        }
        let changes = batch.iter();
        let results = changes.map(|(change, _)| ledger.apply_relayed(change, host));
        (
            results.collect::<Vec<_>>(),
            begins_term.then_some(ledger.term),
        )
    });
    match written.await {
        Ok((results, new_term)) => {
            if let Some(term) = new_term {
                log::info!(term, changes = batch.len(); "term as the ledger writer begun");
            }
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
    let mut relayed_in = None;
    for _ in 0..MAX_RELAYS {
        let relayed = RelayedChange {
            change: change.clone(),
            term: store.known_term(),
        };
        match relay(node, store, own, relayed).await {
            Relay::Done(RelayedResponse::Applied(response)) => return Ok(response),
            Relay::Done(RelayedResponse::Outdated(term)) => store.learn_term(term),
            Relay::Unknown(term) => {
                relayed_in = Some(term);
                break;
            }
            Relay::NotSent => break,
        }
    }
    log::info!(change = change.name(), job = change.job(), relayed_in; "changing the ledger without its writer");
    store
        .update_ledger(deadline, |ledger| {
            ledger.apply_directly(&change, relayed_in)
        })
        .await
}

/// The outcome of relaying a change.
enum Relay {
    /// The ledger writer responded.
    Done(RelayedResponse),
    /// The ledger writer may apply the change in this term.
    Unknown(LedgerTerm),
    /// The change was not sent to a ledger writer.
    NotSent,
}

async fn relay(
    node: &Arc<Node>,
    store: &JobStore,
    own: Option<&LedgerWriter>,
    relayed: RelayedChange,
) -> Relay {
    let term = relayed.term;
    let now = Instant::now();
    let workers = node.peers.live_workers(now);
    let writer = ownership::preferred_worker(LEDGER_RANK_KEY, &workers);
    let own_host = &node.settings.host;
    // A worker is not among its own peers, so it is the ledger writer if it outranks them.
    let is_own =
        writer.is_none_or(|writer| ownership::outranks(LEDGER_RANK_KEY, own_host, &writer.host));
    let result = match (own.filter(|_| is_own), writer) {
        (Some(own), _) => own.submit(store, relayed).await,
        (None, Some(writer)) => {
            let found = node.peers.live_worker_addr(&writer.host, now);
            let Some(addr) = found.filter(|addr| !node.peer_calls.has_failed_recently(*addr, now))
            else {
                return Relay::NotSent;
            };
            match node.peer_calls.change_ledger(addr, relayed).await {
                Ok(result) => result,
                Err(e) => {
                    log::info!(error:% = e, term; "ledger writer did not respond");
                    return match e.is_not_sent() {
                        true => Relay::NotSent,
                        false => Relay::Unknown(term),
                    };
                }
            }
        }
        (None, None) => return Relay::NotSent,
    };
    match result {
        RelayedResult::Done(response) => Relay::Done(response),
        RelayedResult::NotDone(_) => Relay::NotSent,
        RelayedResult::Unknown(_) | RelayedResult::TooLarge => Relay::Unknown(term),
    }
}
