//! The local queue in front of one backend: online first, batch only in spare capacity.
//!
//! Engines know no priorities and admit requests as they come, so the agent decides what
//! reaches the engine. A request holds a [`Permit`] while it runs on the backend. Online
//! requests wait only behind other online requests. Batch requests are admitted only while
//! no online request waits, up to `max_batch_running`; when an online request arrives and
//! every slot is taken, the newest running batch request is preempted: its permit's
//! [`Permit::preempted`] token fires, it stops its stream and queues again to resume later.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use foxwheel_core::declarations::PriorityClass;
use foxwheel_core::protocol::LoadReport;

use crate::admits::Admits;

/// How many requests may run at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// All classes together.
    pub max_running: u32,
    /// Batch requests, at most; not more than `max_running`.
    pub max_batch_running: u32,
    /// Online requests waiting, at most.
    pub max_waiting_online: u32,
    /// Batch requests waiting, at most.
    pub max_waiting_batch: u32,
}

/// Why a request was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum QueueError {
    /// The agent is draining and takes no new work.
    #[error("the agent is draining and takes no new work")]
    Draining,
    /// Every waiting place of the class is taken.
    #[error("too many requests wait for a slot")]
    Full,
}

/// A request waiting for a slot.
struct Waiting {
    tx: oneshot::Sender<Permit>,
    /// Whose batch work it is; empty for online requests.
    workspace: String,
}

/// The queue's counts and waiters.
///
/// Invariants, checked after every change in debug builds: `waiting_online` is no longer
/// than its limit, `waiting_batch` than its limit and the preempted requests together,
/// `running_online + running_batch <= max_running`, `running_batch <= max_batch_running`,
/// `batch_running.len() + preempting == running_batch`, and `batch_running` is sorted by id.
struct State {
    limits: Limits,
    running_online: u32,
    running_batch: u32,
    waiting_online: VecDeque<Waiting>,
    waiting_batch: VecDeque<Waiting>,
    /// Running batch permits that may still be preempted, by permit id (oldest first).
    batch_running: Vec<(u64, CancellationToken)>,
    /// Batch permits told to stop that have not yet been released.
    preempting: u32,
    /// Which workspaces' batch work may start.
    admits: Admits,
    next_id: u64,
    preempted_total: u64,
    draining: bool,
}

impl State {
    fn running(&self) -> u32 {
        self.running_online + self.running_batch
    }

    fn has_room(&self) -> bool {
        self.running() < self.limits.max_running
    }

    fn batch_has_room(&self) -> bool {
        self.has_room()
            && self.running_batch < self.limits.max_batch_running
            && self.waiting_online.is_empty()
            && self.preempting == 0
    }

    /// Takes the first waiting batch request that may start, if one may.
    fn take_admitted_batch(&mut self) -> Option<Waiting> {
        if !self.batch_has_room() {
            return None;
        }
        let admits = &self.admits;
        let mut waiting = self.waiting_batch.iter();
        let at = waiting.position(|w| admits.admits(&w.workspace))?;
        self.waiting_batch.remove(at)
    }

    /// Whether every waiting place of `class` is taken, not counting callers who left.
    fn waiting_is_full(&mut self, class: PriorityClass) -> bool {
        let (waiting, max) = match class {
            PriorityClass::Online => (&mut self.waiting_online, self.limits.max_waiting_online),
            PriorityClass::Batch => (&mut self.waiting_batch, self.limits.max_waiting_batch),
        };
        if waiting.len() < max as usize {
            return false;
        }
        waiting.retain(|w| !w.tx.is_closed());
        waiting.len() >= max as usize
    }

    fn check_invariants(&self) {
        debug_assert!(self.waiting_online.len() <= self.limits.max_waiting_online as usize);
        debug_assert!(
            self.waiting_batch.len()
                <= self.limits.max_waiting_batch as usize + self.limits.max_batch_running as usize
        );
        debug_assert!(self.running() <= self.limits.max_running);
        debug_assert!(self.running_batch <= self.limits.max_batch_running);
        debug_assert_eq!(
            self.batch_running.len() as u32 + self.preempting,
            self.running_batch
        );
        debug_assert!(self.batch_running.windows(2).all(|w| w[0].0 < w[1].0));
    }
}

/// The queue, shared by every request handler of the agent.
#[derive(Clone)]
pub struct Queue {
    state: Arc<Mutex<State>>,
}

/// A slot on the backend, held while the request runs; dropping it frees the slot.
pub struct Permit {
    queue: Queue,
    id: u64,
    class: PriorityClass,
    preempted: CancellationToken,
}

impl Permit {
    /// The class it was granted for.
    pub fn class(&self) -> PriorityClass {
        self.class
    }

    /// Fires when an online request needs this batch request's slot.
    pub fn preempted(&self) -> &CancellationToken {
        &self.preempted
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let unsent = self.queue.release(self);
        drop(unsent);
    }
}

impl Queue {
    /// An empty queue with `limits`.
    pub fn new(limits: Limits) -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                limits,
                running_online: 0,
                running_batch: 0,
                waiting_online: VecDeque::new(),
                waiting_batch: VecDeque::new(),
                batch_running: Vec::new(),
                preempting: 0,
                admits: Admits::default(),
                next_id: 0,
                preempted_total: 0,
                draining: false,
            })),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("queue lock")
    }

    /// Waits for a slot for a request of `class`; `workspace` is whose batch work it is.
    /// Dropping the future leaves the queue.
    pub async fn acquire(
        &self,
        class: PriorityClass,
        workspace: &str,
    ) -> Result<Permit, QueueError> {
        let rx = {
            let mut state = self.lock();
            if state.draining {
                return Err(QueueError::Draining);
            }
            let may_start = match class {
                PriorityClass::Online => state.has_room() && state.waiting_online.is_empty(),
                PriorityClass::Batch => {
                    state.batch_has_room()
                        && state.waiting_batch.is_empty()
                        && state.admits.admits(workspace)
                }
            };
            if may_start {
                let permit = self.grant(&mut state, class);
                state.check_invariants();
                return Ok(permit);
            }
            if state.waiting_is_full(class) {
                return Err(QueueError::Full);
            }
            let (tx, rx) = oneshot::channel();
            let waiting = Waiting {
                tx,
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
            rx
        };
        rx.await.map_err(|_| QueueError::Draining)
    }

    /// Waits for a slot again after a preemption, ahead of the batch requests that have not
    /// run yet; neither the waiting limit nor a drain refuses work that was accepted.
    pub async fn acquire_after_preemption(&self, workspace: &str) -> Result<Permit, QueueError> {
        let rx = {
            let mut state = self.lock();
            if state.batch_has_room() && state.admits.admits(workspace) {
                let permit = self.grant(&mut state, PriorityClass::Batch);
                state.check_invariants();
                return Ok(permit);
            }
            let (tx, rx) = oneshot::channel();
            state.waiting_batch.push_front(Waiting {
                tx,
                workspace: workspace.to_owned(),
            });
            state.check_invariants();
            rx
        };
        rx.await.map_err(|_| QueueError::Draining)
    }

    /// Sets which workspaces' batch work may start; those admitted now start.
    pub fn set_admits(&self, admits: Admits) {
        let unsent = {
            let mut state = self.lock();
            state.admits = admits;
            let unsent = self.start_waiting(&mut state);
            state.check_invariants();
            unsent
        };
        drop(unsent);
    }

    /// Stops taking new work; running and waiting requests go on.
    pub fn drain(&self) {
        self.lock().draining = true;
    }

    /// Whether the queue is draining.
    pub fn is_draining(&self) -> bool {
        self.lock().draining
    }

    /// Counts for `GET /load`.
    pub fn report(&self) -> LoadReport {
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
            gate_closed: state.admits.any_closed(),
        }
    }

    /// Requests running or waiting, all classes.
    pub fn in_flight(&self) -> u32 {
        let state = self.lock();
        state.running() + state.waiting_online.len() as u32 + state.waiting_batch.len() as u32
    }

    fn grant(&self, state: &mut State, class: PriorityClass) -> Permit {
        let id = state.next_id;
        state.next_id += 1;
        let preempted = CancellationToken::new();
        match class {
            PriorityClass::Online => state.running_online += 1,
            PriorityClass::Batch => {
                state.running_batch += 1;
                state.batch_running.push((id, preempted.clone()));
            }
        }
        Permit {
            queue: self.clone(),
            id,
            class,
            preempted,
        }
    }

    /// Tells the newest running batch request to stop when online requests outnumber the
    /// slots being freed.
    fn preempt_for_online(&self, state: &mut State) {
        if state.has_room() || state.waiting_online.len() as u32 <= state.preempting {
            return;
        }
        if let Some((_, token)) = state.batch_running.pop() {
            token.cancel();
            state.preempting += 1;
            state.preempted_total += 1;
        }
    }

    /// Frees `permit`'s slot and hands free slots to waiters. Returns permits whose waiter
    /// had gone, to be dropped after the lock is released.
    fn release(&self, permit: &Permit) -> Vec<Permit> {
        let mut state = self.lock();
        match permit.class {
            PriorityClass::Online => state.running_online -= 1,
            PriorityClass::Batch => {
                state.running_batch -= 1;
                match state
                    .batch_running
                    .binary_search_by_key(&permit.id, |(id, _)| *id)
                {
                    Ok(at) => {
                        state.batch_running.remove(at);
                    }
                    Err(_) => state.preempting -= 1,
                }
            }
        }
        let unsent = self.start_waiting(&mut state);
        state.check_invariants();
        unsent
    }

    /// Hands free slots to waiters: online first, then batch in order, passing over those
    /// the gate holds back. Answers permits whose waiter had gone.
    fn start_waiting(&self, state: &mut State) -> Vec<Permit> {
        let mut unsent = Vec::new();
        while state.has_room() {
            let (waiting, class) = if let Some(online) = state.waiting_online.pop_front() {
                (online, PriorityClass::Online)
            } else if let Some(batch) = state.take_admitted_batch() {
                (batch, PriorityClass::Batch)
            } else {
                break;
            };
            if waiting.tx.is_closed() {
                continue;
            }
            let granted = self.grant(state, class);
            if let Err(granted) = waiting.tx.send(granted) {
                // The waiter left just now; its slot is freed once the lock is released.
                unsent.push(granted);
                break;
            }
        }
        unsent
    }
}
