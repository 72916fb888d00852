//! Which chunks of a job are finished: one small object per job, so that neither a status
//! call nor a dispatcher reads a job's thousands of chunks.
//!
//! Gateways merge the chunks they finished with conditional updates. Merging is idempotent
//! (a chunk counts once, however often it is reported), so a gateway lost between
//! finishing a chunk and reporting it costs one more read of that chunk, never a count.

use foxwheel_core::ids::JobId;
use foxwheel_core::keys;
use foxwheel_store::client::{StoreClient, StoreError};
use serde::{Deserialize, Serialize};

use crate::batch::jobs::ItemCounts;

/// Tries of a merge that met other gateways' merges.
const MERGE_TRIES: u32 = 8;

/// A finished chunk and its items by state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinishedChunk {
    /// The chunk's index in the job.
    pub index: u32,
    /// Its items; none is pending.
    pub counts: ItemCounts,
}

/// The record under `progress/<job>`.
///
/// Invariant: `counts` is the sum over the chunks whose bit is set, and bits are never
/// cleared.
#[serde_with::serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// One bit per chunk, set when it is finished; in hex.
    #[serde_as(as = "serde_with::hex::Hex")]
    finished: Vec<u8>,
    /// Items of the finished chunks by state.
    pub counts: ItemCounts,
}

impl JobProgress {
    /// Whether chunk `index` is finished.
    pub fn is_finished(&self, index: u32) -> bool {
        let byte = self.finished.get(index as usize / 8).copied();
        byte.unwrap_or(0) & (1 << (index % 8)) != 0
    }

    /// Finished chunks.
    pub fn finished_count(&self) -> u32 {
        self.finished.iter().map(|byte| byte.count_ones()).sum()
    }

    /// Counts `chunk` unless it was counted before; answers whether this changed anything.
    pub fn merge(&mut self, chunk: FinishedChunk) -> bool {
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

/// Reads a job's progress; a job without a record has none.
pub async fn read(store: &StoreClient, job: &JobId) -> Result<JobProgress, StoreError> {
    let found = store.get_value(&keys::progress(job)).await?;
    Ok(found.map_or_else(JobProgress::default, |(progress, _)| progress))
}

/// Merges `chunks` into a job's progress and answers the record after it. A write whose
/// reply was lost is merged again, which changes nothing.
pub async fn publish(
    store: &StoreClient,
    job: &JobId,
    chunks: &[FinishedChunk],
) -> Result<JobProgress, StoreError> {
    let key = keys::progress(job);
    let mut last = StoreError::NotFound;
    for _ in 0..MERGE_TRIES {
        let found = store.get_value::<JobProgress>(&key).await?;
        let (mut progress, version) = found.unwrap_or_default();
        let mut changed = false;
        for chunk in chunks {
            changed |= progress.merge(*chunk);
        }
        if !changed {
            return Ok(progress);
        }
        match store.put(&key, &progress, Some(version)).await {
            Ok(_) => return Ok(progress),
            Err(e @ (StoreError::Conflict { .. } | StoreError::Unavailable { .. })) => last = e,
            Err(e) => return Err(e),
        }
    }
    Err(last)
}
