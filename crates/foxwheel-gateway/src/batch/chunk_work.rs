//! Processing of one chunk: takes its lease, runs its items and commits their results.
//!
//! Every write of a chunk is conditional on the version that its holder last saw. If two gateways
//! both assume that they hold the lease, only one of them can write, and each item's result is
//! recorded once. After a version conflict or a lost response of the store, the chunk is read back:
//! as long as it contains the nonce of this lease, no other gateway has written it.

use std::time::{Duration, Instant};

use foxwheel_core::ids::{ItemId, Version};
use foxwheel_core::{keys, time};
use foxwheel_store::client::{StoreClient, StoreError};
use futures::StreamExt;
use tokio_util::sync::CancellationToken;

use crate::batch::items::{ItemOutcome, ItemRunner};
use crate::batch::jobs::{ChunkLease, ChunkRecord, ItemRecord, ItemState};
use crate::batch::progress::FinishedChunk;

/// Maximum number of attempts of one item that a backend received, after which the item fails.
pub const MAX_ITEM_ATTEMPTS: u32 = 5;
/// Maximum size of a response that is stored in the chunk record, in bytes of JSON. Larger ones are
/// stored in an object of their own.
pub const MAX_INLINE_RESPONSE_BYTES: usize = 16 * 1024;
/// Maximum number of attempts of one write. It also limits the attempts to release a chunk after the
/// dispatcher was stopped.
const MAX_WRITE_TRIES: u32 = 4;

/// Options of the work on chunks.
#[derive(Debug, Clone)]
pub struct ChunkWorkOptions {
    /// Name of this gateway, which is written into leases.
    pub holder: String,
    /// Time until a lease expires unless it is renewed.
    pub lease_duration: Duration,
    /// Maximum time between two commits of new results.
    pub commit_interval: Duration,
    /// Maximum number of items of one chunk in flight at once.
    pub items_in_flight: usize,
}

/// A chunk with pending items that no gateway held a valid lease on when it was read.
pub struct FreeChunk {
    chunk: ChunkRecord,
    version: Version,
}

/// A chunk whose lease this gateway has taken. A write shows if another gateway has taken it over
/// since.
pub struct LeasedChunk {
    store: StoreClient,
    key: String,
    chunk: ChunkRecord,
    /// The chunk as last committed to the store. Its final items never change again.
    committed: ChunkRecord,
    /// Version of `committed` in the store.
    version: Version,
    committed_at: Instant,
}

/// Result of the work on a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkOutcome {
    /// Every item is final and committed to the store.
    Finished(FinishedChunk),
    /// The chunk was released with items still pending.
    Unfinished,
    /// Another gateway took the lease over, or the release could not be written.
    LeaseLost,
}

/// Error of a commit.
#[derive(Debug, thiserror::Error)]
enum CommitError {
    /// Another gateway has written the chunk.
    #[error("another gateway took the lease over")]
    LeaseLost,
    /// The write failed. The results are kept in memory.
    #[error(transparent)]
    Store(#[from] StoreError),
}

impl FreeChunk {
    /// Returns the chunk if an item is pending and no lease is valid at `now_ms`.
    pub fn new(chunk: ChunkRecord, version: Version, now_ms: u64) -> Option<Self> {
        (chunk.has_pending_items() && chunk.is_lease_free(now_ms))
            .then_some(Self { chunk, version })
    }

    /// Takes the lease. Returns `None` if another gateway was faster or the store is unavailable.
    pub async fn take_lease(
        self,
        store: &StoreClient,
        options: &ChunkWorkOptions,
    ) -> Option<LeasedChunk> {
        let mut leased = LeasedChunk {
            store: store.clone(),
            key: keys::chunk(&self.chunk.job_id, self.chunk.index),
            committed: self.chunk.clone(),
            chunk: self.chunk,
            version: self.version,
            committed_at: Instant::now(),
        };
        leased.chunk.lease = Some(ChunkLease {
            holder: options.holder.clone(),
            nonce: rand::random(),
            commit_seq: 0,
            expires_ms: lease_expiry_ms(options.lease_duration),
        });
        leased.write_current().await.ok()?;
        Some(leased)
    }

    /// Marks every pending item of a cancelled job as cancelled and writes the chunk. Returns the
    /// finished chunk, or `None` if the write failed.
    pub async fn cancel_items(mut self, store: &StoreClient) -> Option<FinishedChunk> {
        self.chunk.cancel_pending_items();
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

impl LeasedChunk {
    /// Runs the pending items, commits their results and releases the chunk. Once `stop` is
    /// cancelled, no further item starts: the running items are finished, and the chunk is released
    /// with the others still pending. Once `is_job_cancelled` returns true, running items are dropped
    /// and all pending items are marked as cancelled.
    pub async fn run_items(
        mut self,
        runner: &ItemRunner,
        options: &ChunkWorkOptions,
        stop: &CancellationToken,
        is_job_cancelled: impl Fn() -> bool,
    ) -> ChunkOutcome {
        let pending_items = self.pending_request_bodies();
        let (store, job_id, chunk_index) = (
            self.store.clone(),
            self.chunk.job_id.clone(),
            self.chunk.index,
        );
        let nonce = self.chunk.lease.as_ref().map_or(0, |lease| lease.nonce);
        let mut outcomes = futures::stream::iter(pending_items)
            .take_while(|_| std::future::ready(!stop.is_cancelled()))
            .map(|(item_index, body)| {
                let (store, response_key) = (
                    &store,
                    keys::response(&job_id, chunk_index, item_index, nonce),
                );
                async move {
                    let outcome = runner.run_item(body).await;
                    (
                        item_index,
                        store_large_response(store, response_key, outcome).await,
                    )
                }
            })
            .buffer_unordered(options.items_in_flight);
        let mut commit_timer = tokio::time::interval(options.commit_interval);
        loop {
            tokio::select! {
                next = outcomes.next() => match next {
                    Some((item_index, outcome)) => {
                        apply_outcome(&mut self.chunk.items[item_index], outcome)
                    },
                    None => break,
                },
                _ = commit_timer.tick() => {
                    if is_job_cancelled() {
                        break;
                    }
                    if let Err(CommitError::LeaseLost) = self.commit_if_due(options).await {
                        return ChunkOutcome::LeaseLost;
                    }
                }
            }
        }
        drop(outcomes);
        match is_job_cancelled() {
            true => self.cancel_and_release(options, stop).await,
            false => self.release(options, stop).await,
        }
    }

    /// Marks the pending items of a cancelled job as cancelled and releases the chunk.
    pub async fn cancel_and_release(
        mut self,
        options: &ChunkWorkOptions,
        stop: &CancellationToken,
    ) -> ChunkOutcome {
        self.chunk.cancel_pending_items();
        self.release(options, stop).await
    }

    fn pending_request_bodies(&self) -> Vec<(usize, serde_json::Value)> {
        let items = self.chunk.items.iter().enumerate();
        items
            .filter(|(_, item)| item.state == ItemState::Pending)
            .map(|(i, item)| (i, item.body.clone()))
            .collect()
    }

    /// Commits if there are uncommitted results or a third of the lease has elapsed. Each commit
    /// renews the lease.
    async fn commit_if_due(&mut self, options: &ChunkWorkOptions) -> Result<(), CommitError> {
        let has_uncommitted_results = self.chunk.items != self.committed.items;
        if !has_uncommitted_results && self.committed_at.elapsed() < options.lease_duration / 3 {
            return Ok(());
        }
        let lease = self
            .chunk
            .lease
            .as_mut()
            .expect("a leased chunk has a lease");
        lease.commit_seq += 1;
        lease.expires_ms = lease_expiry_ms(options.lease_duration);
        self.write_current().await
    }

    /// Commits the last results and releases the lease. While the store is down, this retries until
    /// the store is available, because the results exist nowhere else. Once `stop` is cancelled, it
    /// makes at most [`MAX_WRITE_TRIES`] more attempts.
    pub async fn release(
        mut self,
        options: &ChunkWorkOptions,
        stop: &CancellationToken,
    ) -> ChunkOutcome {
        let mut tries_after_stop = 0;
        while tries_after_stop < MAX_WRITE_TRIES {
            let mut released = self.chunk.clone();
            released.lease = None;
            match self.write_record(&released).await {
                Ok(()) if released.has_pending_items() => return ChunkOutcome::Unfinished,
                Ok(()) => {
                    return ChunkOutcome::Finished(FinishedChunk {
                        index: released.index,
                        counts: released.counts(),
                    })
                }
                Err(CommitError::LeaseLost) => return ChunkOutcome::LeaseLost,
                Err(CommitError::Store(e)) => {
                    log::debug!("{}: results not committed yet: {e}", self.key);
                    tries_after_stop += u32::from(stop.is_cancelled());
                    tokio::time::sleep(options.commit_interval).await;
                }
            }
        }
        ChunkOutcome::LeaseLost
    }

    async fn write_current(&mut self) -> Result<(), CommitError> {
        let current = self.chunk.clone();
        self.write_record(&current).await
    }

    /// Writes `next` if the version in the store is the expected one. After a conflict or a lost
    /// response, reads back what the store contains: `next` itself, an earlier write under this
    /// lease, or the write of another gateway.
    async fn write_record(&mut self, next: &ChunkRecord) -> Result<(), CommitError> {
        assert_final_items_unchanged(&self.committed, next);
        let nonce = self.chunk.lease.as_ref().map(|lease| lease.nonce);
        let mut last_error = StoreError::NotFound;
        for _ in 0..MAX_WRITE_TRIES {
            match self.store.put(&self.key, next, Some(self.version)).await {
                Ok(object) => {
                    self.record_committed(next, object.version);
                    return Ok(());
                }
                Err(e @ (StoreError::Conflict { .. } | StoreError::Unavailable { .. })) => {
                    last_error = e
                }
                Err(e) => return Err(e.into()),
            }
            let found = self.store.get_value::<ChunkRecord>(&self.key).await?;
            let Some((found, version)) = found else {
                return Err(CommitError::LeaseLost);
            };
            if found == *next {
                self.record_committed(next, version);
                return Ok(());
            }
            let found_nonce = found.lease.as_ref().map(|lease| lease.nonce);
            if version != self.version && found_nonce != nonce {
                return Err(CommitError::LeaseLost);
            }
            if version != self.version {
                self.record_committed(&found, version);
            }
        }
        Err(last_error.into())
    }

    fn record_committed(&mut self, written: &ChunkRecord, version: Version) {
        self.committed = written.clone();
        self.version = version;
        self.committed_at = Instant::now();
    }
}

fn lease_expiry_ms(lease_duration: Duration) -> u64 {
    time::unix_ms() + lease_duration.as_millis() as u64
}

/// Outcome of an item whose response, if it is large, has been stored in an object of its own.
#[derive(Debug, Clone, PartialEq)]
enum StoredOutcome {
    /// The outcome itself, with a small response if the item is done.
    Inline(ItemOutcome),
    /// The item is done and its response is stored under this key.
    StoredAt(String),
}

/// Stores a large response under `key`, which is not written under any other lease. While the store
/// is down, this retries until it is available, because the response exists nowhere else.
async fn store_large_response(
    store: &StoreClient,
    key: String,
    outcome: ItemOutcome,
) -> StoredOutcome {
    let ItemOutcome::Done(response) = &outcome else {
        return StoredOutcome::Inline(outcome);
    };
    if json_len(response) <= MAX_INLINE_RESPONSE_BYTES {
        return StoredOutcome::Inline(outcome);
    }
    loop {
        match store.put(&key, response, None).await {
            Ok(_) => return StoredOutcome::StoredAt(key),
            Err(e) if e.is_transient() => tokio::time::sleep(Duration::from_millis(500)).await,
            Err(e) => return StoredOutcome::Inline(ItemOutcome::Failed(e.to_string())),
        }
    }
}

/// Returns the length of `value` as JSON, in bytes.
pub fn json_len(value: &serde_json::Value) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX, |bytes| bytes.len())
}

fn apply_outcome(item: &mut ItemRecord, outcome: StoredOutcome) {
    match outcome {
        StoredOutcome::StoredAt(key) => {
            item.state = ItemState::Done;
            item.result_key = Some(key);
        }
        StoredOutcome::Inline(ItemOutcome::Done(response)) => {
            item.state = ItemState::Done;
            item.result = Some(response);
        }
        StoredOutcome::Inline(ItemOutcome::Failed(error)) => {
            item.state = ItemState::Failed;
            item.error = Some(error);
        }
        StoredOutcome::Inline(ItemOutcome::AttemptFailed(error)) => {
            item.attempts += 1;
            if item.attempts >= MAX_ITEM_ATTEMPTS {
                item.state = ItemState::Failed;
                item.error = Some(format!("gave up after {} attempts: {error}", item.attempts));
            }
        }
        StoredOutcome::Inline(ItemOutcome::NotRun) => {}
    }
}

/// Asserts the exactly-once invariant before every write: an item that is final in the store is
/// never written with a change.
fn assert_final_items_unchanged(committed: &ChunkRecord, next: &ChunkRecord) {
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
