//! Batch job and chunk records as kept in the store.
//!
//! A job's items are split into chunks of at most [`CHUNK_ITEMS`] items, each stored as one object.
//! One conditional write thereby commits several results, and the number of writes to the store is
//! divided by the chunk size. One gateway at a time works on a chunk, under a lease that is kept in
//! the chunk record itself. Every write is conditional on the version that the holder last wrote, so
//! a holder whose lease was taken over cannot write again.

use serde::{Deserialize, Serialize};

use foxwheel_core::ids::{DeploymentName, ItemId, JobId, ModelName};

/// Maximum number of items in one chunk.
pub const CHUNK_ITEMS: usize = 32;

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// The job's items are being run.
    Running,
    /// Every item is done, failed or cancelled.
    Completed,
    /// The job was cancelled by an operator or its caller; no further item starts.
    Cancelled,
}

/// Record of a job, stored under `jobs/<id>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Id of the job.
    pub id: JobId,
    /// Model that the job's items request.
    pub model: ModelName,
    /// Workspace of the caller; empty if it named none.
    #[serde(default)]
    pub workspace: String,
    /// Deployment that the rules selected when the job was accepted.
    pub deployment: DeploymentName,
    /// Fingerprint of the model and the items. It distinguishes a resend from another job under the
    /// same client key.
    pub fingerprint: String,
    /// State of the job.
    pub state: JobState,
    /// Number of items by state, set once every chunk is finished. It does not change afterwards.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub final_counts: Option<ItemCounts>,
    /// Time when the job was accepted, in Unix milliseconds.
    pub created_ms: u64,
    /// Time when the job is due, in Unix milliseconds.
    pub deadline_ms: u64,
    /// Number of items.
    pub item_count: u32,
    /// Number of chunks. Chunk indexes run from 0 to `chunk_count - 1`.
    pub chunk_count: u32,
}

/// State of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemState {
    /// The item is not finished yet.
    Pending,
    /// The item is finished; `result` or the object under `result_key` holds the response.
    Done,
    /// The item failed for good; `error` gives the reason.
    Failed,
    /// The job was cancelled before the item finished.
    Cancelled,
}

impl ItemState {
    /// Returns whether an item in this state never changes again.
    pub fn is_final(self) -> bool {
        self != Self::Pending
    }
}

/// Record of one item, as part of its chunk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ItemRecord {
    /// Id that the caller gave the item, unique in the job.
    pub custom_id: ItemId,
    /// Body of the completion request.
    pub body: serde_json::Value,
    /// State of the item.
    pub state: ItemState,
    /// Number of attempts that a backend received without giving a usable response.
    pub attempts: u32,
    /// Response, if the item is done and the response is small enough to be stored here.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<serde_json::Value>,
    /// Key of the response in the store, if the item is done and the response is stored in an object
    /// of its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result_key: Option<String>,
    /// Reason of the failure, if the item failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// Lease on a chunk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkLease {
    /// Name of the gateway that holds the lease.
    pub holder: String,
    /// Random number chosen when the lease was taken, by which the holder recognizes its own write
    /// after the response to it was lost.
    pub nonce: u64,
    /// Number of commits made under this lease since it was taken.
    pub commit_seq: u64,
    /// Time when the lease expires unless a write renews it, in Unix milliseconds.
    pub expires_ms: u64,
}

/// Record of a chunk, stored under `chunks/<job>/<index>`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// Id of the job that the chunk belongs to.
    pub job_id: JobId,
    /// Index of the chunk in the job.
    pub index: u32,
    /// Items of the chunk, in the order in which the caller gave them.
    pub items: Vec<ItemRecord>,
    /// Current lease, if a gateway has taken one. It may have expired.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<ChunkLease>,
}

impl ChunkRecord {
    /// Returns the number of items by state.
    pub fn counts(&self) -> ItemCounts {
        let mut counts = ItemCounts::default();
        for item in &self.items {
            counts.add(item.state);
        }
        counts
    }

    /// Marks every pending item as cancelled.
    pub fn cancel_pending_items(&mut self) {
        for item in &mut self.items {
            if item.state == ItemState::Pending {
                item.state = ItemState::Cancelled;
            }
        }
    }

    /// Returns whether any item is still pending.
    pub fn has_pending_items(&self) -> bool {
        self.items
            .iter()
            .any(|item| item.state == ItemState::Pending)
    }

    /// Returns whether the chunk has no lease or its lease has expired at `now_ms`.
    pub fn is_lease_free(&self, now_ms: u64) -> bool {
        self.lease
            .as_ref()
            .is_none_or(|lease| lease.expires_ms <= now_ms)
    }
}

/// Number of items by state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemCounts {
    /// Number of all items.
    pub total: u32,
    /// Number of items that are not finished.
    pub pending: u32,
    /// Number of items that are done.
    pub done: u32,
    /// Number of items that failed for good.
    pub failed: u32,
    /// Number of items that a cancellation stopped.
    pub cancelled: u32,
}

impl std::ops::AddAssign for ItemCounts {
    fn add_assign(&mut self, other: Self) {
        self.total += other.total;
        self.pending += other.pending;
        self.done += other.done;
        self.failed += other.failed;
        self.cancelled += other.cancelled;
    }
}

impl ItemCounts {
    /// Counts one more item in `state`.
    pub fn add(&mut self, state: ItemState) {
        self.total += 1;
        match state {
            ItemState::Pending => self.pending += 1,
            ItemState::Done => self.done += 1,
            ItemState::Failed => self.failed += 1,
            ItemState::Cancelled => self.cancelled += 1,
        }
    }
}

/// Response to `GET /v1/batches/{id}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Record of the job.
    pub job: JobRecord,
    /// Number of items by state. Items of chunks that are not finished count as pending, or as
    /// cancelled if the job is cancelled.
    pub counts: ItemCounts,
}

/// One item, as the caller sends it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ItemInput {
    /// Id that the caller gave the item, unique in the job.
    pub custom_id: ItemId,
    /// Body of a completion request, with `model` and either `messages` or `prompt`.
    pub body: serde_json::Value,
}

/// Body of `POST /v1/batches`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CreateJob {
    /// Key that the caller chose for this job. A resend with the same key returns the same job
    /// instead of creating another one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub client_key: Option<String>,
    /// Model that every item requests.
    pub model: ModelName,
    /// Time within which the job is to be completed, in seconds.
    pub completion_window_s: u64,
    /// Items of the job. They can also be given as `input_jsonl`.
    #[serde(default)]
    pub items: Vec<ItemInput>,
    /// Items as JSON lines, one [`ItemInput`] per line, which is the format of batch files.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub input_jsonl: Option<String>,
}

/// One line of `GET /v1/batches/{id}/results`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Id that the caller gave the item.
    pub custom_id: ItemId,
    /// State of the item.
    pub state: ItemState,
    /// Response, if the item is done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub response: Option<serde_json::Value>,
    /// Reason of the failure, if the item failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}
