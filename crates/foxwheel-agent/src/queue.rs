//! Priority queue in front of one backend: online requests come first, batch requests only use
//! spare capacity.
//!
//! Engines have no priorities and admit requests in order of arrival, so the agent decides which
//! requests reach the engine. A request holds a [`Permit`] while it runs on the backend. Online
//! requests wait only behind other online requests. Batch requests start only while no online
//! request waits, and at most `max_batch_running` of them run at the same time. When an online
//! request arrives and no slot is free, the newest running batch request is preempted: the token
//! [`Permit::preempted`] is cancelled, and the request closes its stream and queues again to resume
//! later.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use foxwheel_core::declarations::PriorityClass;
use foxwheel_core::protocol::LoadReport;

use crate::batch_admission::BatchAdmission;

/// Maximum numbers of running and waiting requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of running requests, online and batch together.
    pub max_running: u32,
    /// Maximum number of running batch requests; at most `max_running`.
    pub max_batch_running: u32,
    /// Maximum number of waiting online requests.
    pub max_waiting_online: u32,
    /// Maximum number of waiting batch requests. Preempted requests count, but are never refused.
    pub max_waiting_batch: u32,
}

/// Reason why a request got no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum QueueError {
    /// The agent is draining and accepts no new requests.
    #[error("the agent is draining and takes no new work")]
    Draining,
    /// The maximum number of requests of the class is already waiting.
    #[error("too many requests wait for a slot")]
    Full,
}

struct WaitingRequest {
    permit_tx: oneshot::Sender<Permit>,
    /// Workspace that a batch request belongs to; empty for online requests.
    workspace: String,
}

/// Counts of running requests and lists of waiting requests.
///
/// Invariants, checked after every change in debug builds:
/// - `waiting_online` is not longer than its limit, and `waiting_batch` not longer than its limit
///   plus `max_batch_running`, since preempted requests wait in it as well;
/// - `running_online + running_batch <= max_running` and `running_batch <= max_batch_running`;
/// - `preemptible_batch.len() + preempted_running == running_batch`;
/// - `preemptible_batch` is sorted by permit id.
struct QueueState {
    limits: Limits,
    running_online: u32,
    running_batch: u32,
    waiting_online: VecDeque<WaitingRequest>,
    waiting_batch: VecDeque<WaitingRequest>,
    /// Running batch requests that have not been preempted: permit id and preemption token, oldest
    /// first.
    preemptible_batch: Vec<(u64, CancellationToken)>,
    /// Number of batch requests that have been preempted but still hold their permit.
    preempted_running: u32,
    /// Decides which workspaces' batch requests may start.
    admission: BatchAdmission,
    next_permit_id: u64,
    preempted_total: u64,
    draining: bool,
}

impl QueueState {
    fn running_total(&self) -> u32 {
        self.running_online + self.running_batch
    }

    fn has_free_slot(&self) -> bool {
        self.running_total() < self.limits.max_running
    }

    fn has_room_for_batch(&self) -> bool {
        self.has_free_slot()
            && self.running_batch < self.limits.max_batch_running
            && self.waiting_online.is_empty()
            && self.preempted_running == 0
    }

    /// Removes and returns the first waiting batch request that may start. Returns `None` if there
    /// is no room for a batch request, or if none waits that the batch gate admits.
    fn take_admitted_batch_request(&mut self) -> Option<WaitingRequest> {
        if !self.has_room_for_batch() {
            return None;
        }
        let admission = &self.admission;
        let mut waiting = self.waiting_batch.iter();
        let index = waiting.position(|w| admission.is_admitted(&w.workspace))?;
        self.waiting_batch.remove(index)
    }

    /// Returns whether the maximum number of requests of `class` is waiting. Requests whose callers
    /// have disconnected do not count and are removed once the limit is reached.
    fn is_waiting_list_full(&mut self, class: PriorityClass) -> bool {
        let (waiting, max) = match class {
            PriorityClass::Online => (&mut self.waiting_online, self.limits.max_waiting_online),
            PriorityClass::Batch => (&mut self.waiting_batch, self.limits.max_waiting_batch),
        };
        if waiting.len() < max as usize {
            return false;
        }
        waiting.retain(|w| !w.permit_tx.is_closed());
        waiting.len() >= max as usize
    }

    fn check_invariants(&self) {
        debug_assert!(self.waiting_online.len() <= self.limits.max_waiting_online as usize);
        debug_assert!(
            self.waiting_batch.len()
                <= self.limits.max_waiting_batch as usize + self.limits.max_batch_running as usize
        );
        debug_assert!(self.running_total() <= self.limits.max_running);
        debug_assert!(self.running_batch <= self.limits.max_batch_running);
        debug_assert_eq!(
            self.preemptible_batch.len() as u32 + self.preempted_running,
            self.running_batch
        );
        debug_assert!(self.preemptible_batch.windows(2).all(|w| w[0].0 < w[1].0));
    }
}

/// The agent's request queue. Clones share the same state.
#[derive(Clone)]
pub struct Queue {
    state: Arc<Mutex<QueueState>>,
}

/// A slot on the backend, held while a request runs. Dropping the permit frees the slot.
pub struct Permit {
    queue: Queue,
    id: u64,
    class: PriorityClass,
    preempted: CancellationToken,
}

impl Permit {
    /// Returns the class that the permit was granted for.
    pub fn class(&self) -> PriorityClass {
        self.class
    }

    /// Returns the token that is cancelled when an online request needs the slot of this batch
    /// request. It is never cancelled for an online request.
    pub fn preempted(&self) -> &CancellationToken {
        &self.preempted
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let undelivered = self.queue.release_permit(self);
        drop(undelivered);
    }
}

impl Queue {
    /// Creates an empty queue with `limits`.
    pub fn new(limits: Limits) -> Self {
        Self {
            state: Arc::new(Mutex::new(QueueState {
                limits,
                running_online: 0,
                running_batch: 0,
                waiting_online: VecDeque::new(),
                waiting_batch: VecDeque::new(),
                preemptible_batch: Vec::new(),
                preempted_running: 0,
                admission: BatchAdmission::default(),
                next_permit_id: 0,
                preempted_total: 0,
                draining: false,
            })),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, QueueState> {
        self.state.lock().expect("queue lock")
    }

    /// Waits for a slot for a request of `class`. `workspace` is the workspace of a batch request;
    /// it is not used for online requests. Dropping the future withdraws the request.
    /// Returns an error if the agent is draining or too many requests of the class are waiting.
    pub async fn acquire(
        &self,
        class: PriorityClass,
        workspace: &str,
    ) -> Result<Permit, QueueError> {
        let permit_rx = {
            let mut state = self.lock();
            if state.draining {
                return Err(QueueError::Draining);
            }
            let can_start = match class {
                PriorityClass::Online => state.has_free_slot() && state.waiting_online.is_empty(),
                PriorityClass::Batch => {
                    state.has_room_for_batch()
                        && state.waiting_batch.is_empty()
                        && state.admission.is_admitted(workspace)
                }
            };
            if can_start {
                let permit = self.grant_permit(&mut state, class);
                state.check_invariants();
                return Ok(permit);
            }
            if state.is_waiting_list_full(class) {
                return Err(QueueError::Full);
            }
            let (permit_tx, permit_rx) = oneshot::channel();
            let waiting = WaitingRequest {
                permit_tx,
                workspace: workspace.to_owned(),
            };
            match class {
                PriorityClass::Online => {
                    state.waiting_online.push_back(waiting);
                    self.preempt_for_online(&mut state);
                }
                PriorityClass::Batch => state.waiting_batch.push_back(waiting),
            }
            state.check_invariants();
            permit_rx
        };
        permit_rx.await.map_err(|_| QueueError::Draining)
    }

    /// Waits for a slot again after a preemption, ahead of batch requests that have not run yet.
    /// The request was accepted before, so neither the limit of waiting requests nor draining
    /// refuses it.
    pub async fn acquire_after_preemption(&self, workspace: &str) -> Result<Permit, QueueError> {
        let permit_rx = {
            let mut state = self.lock();
            if state.has_room_for_batch() && state.admission.is_admitted(workspace) {
                let permit = self.grant_permit(&mut state, PriorityClass::Batch);
                state.check_invariants();
                return Ok(permit);
            }
            let (permit_tx, permit_rx) = oneshot::channel();
            state.waiting_batch.push_front(WaitingRequest {
                permit_tx,
                workspace: workspace.to_owned(),
            });
            state.check_invariants();
            permit_rx
        };
        permit_rx.await.map_err(|_| QueueError::Draining)
    }

    /// Sets which workspaces' batch requests may start, and starts waiting requests that are now
    /// admitted.
    pub fn set_batch_admission(&self, admission: BatchAdmission) {
        let undelivered = {
            let mut state = self.lock();
            state.admission = admission;
            let undelivered = self.grant_free_slots(&mut state);
            state.check_invariants();
            undelivered
        };
        drop(undelivered);
    }

    /// Makes the queue refuse new requests. Running and waiting requests are still completed.
    pub fn start_draining(&self) {
        self.lock().draining = true;
    }

    /// Returns whether the queue refuses new requests because the agent is draining.
    pub fn is_draining(&self) -> bool {
        self.lock().draining
    }

    /// Returns the current counts of the queue. The field `config_revision` is left at 0, since the
    /// queue does not know it.
    pub fn load_report(&self) -> LoadReport {
        let state = self.lock();
        LoadReport {
            slots: state.limits.max_running,
            running_online: state.running_online,
            running_batch: state.running_batch,
            waiting_online: state.waiting_online.len() as u32,
            waiting_batch: state.waiting_batch.len() as u32,
            preempted_total: state.preempted_total,
            draining: state.draining,
            config_revision: 0,
            gate_closed: state.admission.is_any_closed(),
        }
    }

    /// Returns the number of running and waiting requests, online and batch together.
    pub fn in_flight(&self) -> u32 {
        let state = self.lock();
        state.running_total() + state.waiting_online.len() as u32 + state.waiting_batch.len() as u32
    }

    /// Creates a permit and counts its request as running. The caller checks that a slot is free.
    fn grant_permit(&self, state: &mut QueueState, class: PriorityClass) -> Permit {
        let id = state.next_permit_id;
        state.next_permit_id += 1;
        let preempted = CancellationToken::new();
        match class {
            PriorityClass::Online => state.running_online += 1,
            PriorityClass::Batch => {
                state.running_batch += 1;
                state.preemptible_batch.push((id, preempted.clone()));
            }
        }
        Permit {
            queue: self.clone(),
            id,
            class,
            preempted,
        }
    }

    /// Preempts the newest running batch request if no slot is free and more online requests
    /// wait than slots are about to be freed by preempted requests.
    fn preempt_for_online(&self, state: &mut QueueState) {
        if state.has_free_slot() || state.waiting_online.len() as u32 <= state.preempted_running {
            return;
        }
        if let Some((_, preempted)) = state.preemptible_batch.pop() {
            preempted.cancel();
            state.preempted_running += 1;
            state.preempted_total += 1;
        }
    }

    /// Frees the slot of `permit` and grants free slots to waiting requests. Returns the permits
    /// that could not be delivered because the request's caller had disconnected. They must be
    /// dropped after the lock is released, because dropping a permit takes the lock.
    fn release_permit(&self, permit: &Permit) -> Vec<Permit> {
        let mut state = self.lock();
        match permit.class {
            PriorityClass::Online => state.running_online -= 1,
            PriorityClass::Batch => {
                state.running_batch -= 1;
                match state
                    .preemptible_batch
                    .binary_search_by_key(&permit.id, |(id, _)| *id)
                {
                    Ok(index) => {
                        state.preemptible_batch.remove(index);
                    }
                    Err(_) => state.preempted_running -= 1,
                }
            }
        }
        let undelivered = self.grant_free_slots(&mut state);
        state.check_invariants();
        undelivered
    }

    /// Grants free slots to waiting requests: first to online requests, then to batch requests in
    /// order, skipping those that the batch gate holds back. Returns the permits that could not be
    /// delivered because the request's caller had disconnected.
    fn grant_free_slots(&self, state: &mut QueueState) -> Vec<Permit> {
        let mut undelivered = Vec::new();
        while state.has_free_slot() {
            let (waiting, class) = if let Some(online) = state.waiting_online.pop_front() {
                (online, PriorityClass::Online)
            } else if let Some(batch) = state.take_admitted_batch_request() {
                (batch, PriorityClass::Batch)
            } else {
                break;
            };
            if waiting.permit_tx.is_closed() {
                continue;
            }
            let permit = self.grant_permit(state, class);
            if let Err(permit) = waiting.permit_tx.send(permit) {
                // The caller has disconnected since the check above. The slot is freed when the
                // permit is dropped, after the lock is released.
                undelivered.push(permit);
                break;
            }
        }
        undelivered
    }
}
