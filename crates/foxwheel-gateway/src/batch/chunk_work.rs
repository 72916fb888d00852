//! The work on one chunk: take its lease, run its items, commit their results.
//!
//! Every write of a chunk is conditional on the version its holder last saw, so of two
//! gateways that both believe to hold it only one can write, and each item's result is
//! recorded once. A write whose reply was lost, or that meets another version, is resolved
//! by reading the chunk back: while it bears this holding's nonce nobody else has written.

use std::time::{Duration, Instant};

use foxwheel_core::ids::{ItemId, Version};
use foxwheel_core::{keys, time};
use foxwheel_store::client::{StoreClient, StoreError};
use futures::StreamExt;
use tokio_util::sync::CancellationToken;

use crate::batch::items::{ItemOutcome, ItemRunner};
use crate::batch::jobs::{ChunkLease, ChunkRecord, ItemRecord, ItemState};
use crate::batch::progress::FinishedChunk;

/// Tries of one item that a backend received, before it is failed for good.
pub const MAX_ITEM_ATTEMPTS: u32 = 5;
/// Larger answers are kept in an object of their own, in bytes of JSON.
pub const MAX_INLINE_ANSWER_BYTES: usize = 16 * 1024;
/// Tries of one write within one commit.
const WRITE_TRIES: u32 = 4;

/// How chunks are worked on.
#[derive(Debug, Clone)]
pub struct WorkShape {
    /// This gateway's name, written into leases.
    pub holder: String,
    /// How long a lease lasts unless renewed.
    pub lease: Duration,
    /// Results are committed at least this often.
    pub commit_interval: Duration,
    /// Items of one chunk sent at once.
    pub items_in_flight: usize,
}

/// A chunk as read from the store, not held by anyone.
pub struct FreeChunk {
    chunk: ChunkRecord,
    version: Version,
}

/// A chunk whose lease this gateway holds, or held until a write says otherwise.
pub struct HeldChunk {
    store: StoreClient,
    key: String,
    chunk: ChunkRecord,
    /// The chunk as the store last took it; its final items never change again.
    committed: ChunkRecord,
    /// The version of `committed`.
    version: Version,
    committed_at: Instant,
}

/// How the work on a chunk ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkEnd {
    /// Every item is final and the store has it.
    Finished(FinishedChunk),
    /// Given back with items still pending.
    Unfinished,
    /// The lease was taken over, or its release could not be written.
    Lost,
}

/// Why a commit failed.
#[derive(Debug, thiserror::Error)]
enum CommitError {
    /// Another holder has written the chunk.
    #[error("the lease was lost")]
    LeaseLost,
    /// The store gave no answer; the results are still here.
    #[error(transparent)]
    Store(#[from] StoreError),
}

impl FreeChunk {
    /// The chunk, if its lease is free at `now_ms` and an item is pending.
    pub fn new(chunk: ChunkRecord, version: Version, now_ms: u64) -> Option<Self> {
        (chunk.has_pending() && chunk.is_free(now_ms)).then_some(Self { chunk, version })
    }

    /// Takes the lease; `None` when another gateway was faster or the store is down.
    pub async fn lease(self, store: &StoreClient, shape: &WorkShape) -> Option<HeldChunk> {
        let mut held = HeldChunk {
            store: store.clone(),
            key: keys::chunk(&self.chunk.job_id, self.chunk.index),
            committed: self.chunk.clone(),
            chunk: self.chunk,
            version: self.version,
            committed_at: Instant::now(),
        };
        held.chunk.lease = Some(ChunkLease {
            holder: shape.holder.clone(),
            nonce: rand::random(),
            commit_seq: 0,
            expires_ms: expiry(shape.lease),
        });
        held.write().await.ok()?;
        Some(held)
    }

    /// Marks every pending item of a cancelled job as cancelled; answers the finished chunk
    /// once the store has it.
    pub async fn cancel(mut self, store: &StoreClient) -> Option<FinishedChunk> {
        self.chunk.cancel_pending();
        self.chunk.lease = None;
        let key = keys::chunk(&self.chunk.job_id, self.chunk.index);
        store
            .put(&key, &self.chunk, Some(self.version))
            .await
            .ok()?;
        Some(FinishedChunk {
            index: self.chunk.index,
            counts: self.chunk.counts(),
        })
    }
}

impl HeldChunk {
    /// Runs the pending items and commits their results. Once `stop` fires no further item
    /// starts; those running are finished and the rest is given back. While
    /// `job_cancelled` says so, running items are dropped and the rest is cancelled.
    pub async fn work(
        mut self,
        runner: &ItemRunner,
        shape: &WorkShape,
        stop: &CancellationToken,
        job_cancelled: impl Fn() -> bool,
    ) -> ChunkEnd {
        let pending = self.pending_bodies();
        let (store, job_id, index) = (
            self.store.clone(),
            self.chunk.job_id.clone(),
            self.chunk.index,
        );
        let nonce = self.chunk.lease.as_ref().map_or(0, |lease| lease.nonce);
        let mut outcomes = futures::stream::iter(pending)
            .take_while(|_| std::future::ready(!stop.is_cancelled()))
            .map(|(i, body)| {
                let (store, answer_key) = (&store, keys::response(&job_id, index, i, nonce));
                async move {
                    let outcome = runner.run(body).await;
                    (i, keep_answer(store, answer_key, outcome).await)
                }
            })
            .buffer_unordered(shape.items_in_flight);
        let mut tick = tokio::time::interval(shape.commit_interval);
        loop {
            tokio::select! {
                next = outcomes.next() => match next {
                    Some((i, outcome)) => apply_outcome(&mut self.chunk.items[i], outcome),
                    None => break,
                },
                _ = tick.tick() => {
                    if job_cancelled() {
                        break;
                    }
                    if let Err(CommitError::LeaseLost) = self.commit_if_due(shape).await {
                        return ChunkEnd::Lost;
                    }
                }
            }
        }
        drop(outcomes);
        match job_cancelled() {
            true => self.cancel(shape, stop).await,
            false => self.release(shape, stop).await,
        }
    }

    /// Gives the chunk of a cancelled job back, its pending items as cancelled.
    pub async fn cancel(mut self, shape: &WorkShape, stop: &CancellationToken) -> ChunkEnd {
        self.chunk.cancel_pending();
        self.release(shape, stop).await
    }

    fn pending_bodies(&self) -> Vec<(usize, serde_json::Value)> {
        let items = self.chunk.items.iter().enumerate();
        items
            .filter(|(_, item)| item.state == ItemState::Pending)
            .map(|(i, item)| (i, item.body.clone()))
            .collect()
    }

    /// Commits when results wait or a third of the lease is spent; each write renews it.
    async fn commit_if_due(&mut self, shape: &WorkShape) -> Result<(), CommitError> {
        let results_wait = self.chunk.items != self.committed.items;
        if !results_wait && self.committed_at.elapsed() < shape.lease / 3 {
            return Ok(());
        }
        let lease = self.chunk.lease.as_mut().expect("held chunks bear a lease");
        lease.commit_seq += 1;
        lease.expires_ms = expiry(shape.lease);
        self.write().await
    }

    /// Gives the lease back with the last results. While the store is down this waits for
    /// it: the results exist nowhere else. After `stop` it tries [`WRITE_TRIES`] times.
    pub async fn release(mut self, shape: &WorkShape, stop: &CancellationToken) -> ChunkEnd {
        let mut tries_after_stop = 0;
        while tries_after_stop < WRITE_TRIES {
            let mut released = self.chunk.clone();
            released.lease = None;
            match self.write_as(&released).await {
                Ok(()) if released.has_pending() => return ChunkEnd::Unfinished,
                Ok(()) => {
                    return ChunkEnd::Finished(FinishedChunk {
                        index: released.index,
                        counts: released.counts(),
                    })
                }
                Err(CommitError::LeaseLost) => return ChunkEnd::Lost,
                Err(CommitError::Store(e)) => {
                    log::debug!("{}: results not committed yet: {e}", self.key);
                    tries_after_stop += u32::from(stop.is_cancelled());
                    tokio::time::sleep(shape.commit_interval).await;
                }
            }
        }
        ChunkEnd::Lost
    }

    async fn write(&mut self) -> Result<(), CommitError> {
        let next = self.chunk.clone();
        self.write_as(&next).await
    }

    /// Writes `next` conditionally. After a conflict or a lost reply, reads back what the
    /// store has: `next` itself, an earlier write of this holding, or another's.
    async fn write_as(&mut self, next: &ChunkRecord) -> Result<(), CommitError> {
        check_transitions(&self.committed, next);
        let nonce = self.chunk.lease.as_ref().map(|lease| lease.nonce);
        let mut last = StoreError::NotFound;
        for _ in 0..WRITE_TRIES {
            match self.store.put(&self.key, next, Some(self.version)).await {
                Ok(object) => {
                    self.took_effect(next, object.version);
                    return Ok(());
                }
                Err(e @ (StoreError::Conflict { .. } | StoreError::Unavailable { .. })) => last = e,
                Err(e) => return Err(e.into()),
            }
            let found = self.store.get_value::<ChunkRecord>(&self.key).await?;
            let Some((found, version)) = found else {
                return Err(CommitError::LeaseLost);
            };
            if found == *next {
                self.took_effect(next, version);
                return Ok(());
            }
            let found_nonce = found.lease.as_ref().map(|lease| lease.nonce);
            if version != self.version && found_nonce != nonce {
                return Err(CommitError::LeaseLost);
            }
            if version != self.version {
                self.took_effect(&found, version);
            }
        }
        Err(last.into())
    }

    fn took_effect(&mut self, written: &ChunkRecord, version: Version) {
        self.committed = written.clone();
        self.version = version;
        self.committed_at = Instant::now();
    }
}

fn expiry(lease: Duration) -> u64 {
    time::unix_ms() + lease.as_millis() as u64
}

/// What becomes of an item, with a large answer already in the store.
#[derive(Debug, Clone, PartialEq)]
enum KeptOutcome {
    Inline(ItemOutcome),
    DoneAt(String),
}

/// Puts a large answer under `key`, which no other holding writes. While the store is down
/// this waits for it, for the answer exists nowhere else.
async fn keep_answer(store: &StoreClient, key: String, outcome: ItemOutcome) -> KeptOutcome {
    let ItemOutcome::Done(answer) = &outcome else {
        return KeptOutcome::Inline(outcome);
    };
    if json_len(answer) <= MAX_INLINE_ANSWER_BYTES {
        return KeptOutcome::Inline(outcome);
    }
    loop {
        match store.put(&key, answer, None).await {
            Ok(_) => return KeptOutcome::DoneAt(key),
            Err(e) if e.is_transient() => tokio::time::sleep(Duration::from_millis(500)).await,
            Err(e) => return KeptOutcome::Inline(ItemOutcome::Failed(e.to_string())),
        }
    }
}

/// The length of `value` as JSON, in bytes.
pub fn json_len(value: &serde_json::Value) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX, |bytes| bytes.len())
}

fn apply_outcome(item: &mut ItemRecord, outcome: KeptOutcome) {
    match outcome {
        KeptOutcome::DoneAt(key) => {
            item.state = ItemState::Done;
            item.result_key = Some(key);
        }
        KeptOutcome::Inline(ItemOutcome::Done(answer)) => {
            item.state = ItemState::Done;
            item.result = Some(answer);
        }
        KeptOutcome::Inline(ItemOutcome::Failed(error)) => {
            item.state = ItemState::Failed;
            item.error = Some(error);
        }
        KeptOutcome::Inline(ItemOutcome::BrokeOff(error)) => {
            item.attempts += 1;
            if item.attempts >= MAX_ITEM_ATTEMPTS {
                item.state = ItemState::Failed;
                item.error = Some(format!("gave up after {} attempts: {error}", item.attempts));
            }
        }
        KeptOutcome::Inline(ItemOutcome::NotRun) => {}
    }
}

/// The exactly-once invariant, asserted before every write: an item that the store has as
/// final is written again only as it is.
fn check_transitions(committed: &ChunkRecord, next: &ChunkRecord) {
    let ids = |chunk: &ChunkRecord| -> Vec<ItemId> {
        let items = chunk.items.iter();
        items.map(|item| item.custom_id.clone()).collect()
    };
    debug_assert_eq!(
        ids(committed),
        ids(next),
        "the items of a chunk never change"
    );
    for (before, after) in committed.items.iter().zip(&next.items) {
        debug_assert!(
            !before.state.is_final() || before == after,
            "item {} changed after it was final",
            before.custom_id
        );
    }
}
