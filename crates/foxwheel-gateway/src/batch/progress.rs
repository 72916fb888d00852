//! Progress of a job: which of its chunks are finished. It is kept in one small object per job, so
//! that neither a status request nor a dispatcher has to read the thousands of chunks of a job.
//!
//! Gateways merge the chunks that they finished by conditional updates. Merging is idempotent: a
//! chunk is counted once, however often it is reported. If a gateway dies after it finished a chunk
//! and before it reported it, another gateway reads that chunk once more, and the counts stay right.

use foxwheel_core::ids::JobId;
use foxwheel_core::keys;
use foxwheel_store::client::{StoreClient, StoreError};
use serde::{Deserialize, Serialize};

use crate::batch::jobs::ItemCounts;

/// Maximum number of attempts to merge while other gateways update the same record or responses of
/// the store are lost.
const MAX_MERGE_TRIES: u32 = 8;

/// A finished chunk, with the number of its items by state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinishedChunk {
    /// Index of the chunk in the job.
    pub index: u32,
    /// Number of items by state; none is pending.
    pub counts: ItemCounts,
}

/// Record of a job's progress, stored under `progress/<job>`.
///
/// Invariant: `counts` is the sum over the chunks whose bit is set, and bits are never cleared.
#[serde_with::serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// One bit per chunk, set once the chunk is finished; stored in hexadecimal.
    #[serde_as(as = "serde_with::hex::Hex")]
    finished: Vec<u8>,
    /// Number of items by state, summed over the finished chunks.
    pub counts: ItemCounts,
}

impl JobProgress {
    /// Returns whether the chunk with this index is finished.
    pub fn is_finished(&self, index: u32) -> bool {
        let byte = self.finished.get(index as usize / 8).copied();
        byte.unwrap_or(0) & (1 << (index % 8)) != 0
    }

    /// Returns the number of finished chunks.
    pub fn finished_count(&self) -> u32 {
        self.finished.iter().map(|byte| byte.count_ones()).sum()
    }

    /// Adds `chunk` unless it was added before. Returns whether this changed the record.
    pub fn merge_chunk(&mut self, chunk: FinishedChunk) -> bool {
        debug_assert_eq!(chunk.counts.pending, 0, "only finished chunks are merged");
        if self.is_finished(chunk.index) {
            return false;
        }
        let byte = chunk.index as usize / 8;
        if self.finished.len() <= byte {
            self.finished.resize(byte + 1, 0);
        }
        self.finished[byte] |= 1 << (chunk.index % 8);
        self.counts += chunk.counts;
        true
    }
}

/// Reads a job's progress, which is empty if the job has no such record yet. Returns an error if the
/// store cannot be read.
pub async fn read(store: &StoreClient, job: &JobId) -> Result<JobProgress, StoreError> {
    let found = store.get_value(&keys::progress(job)).await?;
    Ok(found.map_or_else(JobProgress::default, |(progress, _)| progress))
}

/// Merges `chunks` into a job's progress and returns the updated record. After a lost response the
/// merge is repeated, which changes nothing if the write took effect. Returns an error if the record
/// could not be updated.
pub async fn publish(
    store: &StoreClient,
    job: &JobId,
    chunks: &[FinishedChunk],
) -> Result<JobProgress, StoreError> {
    let key = keys::progress(job);
    let mut last_error = StoreError::NotFound;
    for _ in 0..MAX_MERGE_TRIES {
        let found = store.get_value::<JobProgress>(&key).await?;
        let (mut progress, version) = found.unwrap_or_default();
        let mut changed = false;
        for chunk in chunks {
            changed |= progress.merge_chunk(*chunk);
        }
        if !changed {
            return Ok(progress);
        }
        match store.put(&key, &progress, Some(version)).await {
            Ok(_) => return Ok(progress),
            Err(e @ (StoreError::Conflict { .. } | StoreError::Unavailable { .. })) => {
                last_error = e
            }
            Err(e) => return Err(e),
        }
    }
    Err(last_error)
}
