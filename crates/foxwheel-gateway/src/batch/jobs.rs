//! Batch job and chunk records as kept in the store.
//!
//! A job's items are split into chunks of at most [`CHUNK_ITEMS`], each one object, so
//! that one conditional write commits several results and the store's write budget is
//! divided by the chunk size. A chunk is worked on by one gateway at a time, under a lease
//! held in the chunk record itself: every write is conditional on the version the holder
//! last wrote, so a holder whose lease was taken over cannot write again.

use serde::{Deserialize, Serialize};

use foxwheel_core::ids::{DeploymentName, ItemId, JobId, ModelName};

/// Items in one chunk, at most.
pub const CHUNK_ITEMS: usize = 32;

/// Where a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Items are being run.
    Running,
    /// Every item is done, failed or cancelled.
    Completed,
    /// Cancelled by an operator or caller: no further item starts.
    Cancelled,
}

/// A job record, under `jobs/<id>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job's id.
    pub id: JobId,
    /// The model its items ask for.
    pub model: ModelName,
    /// The caller's workspace; empty when it named none.
    #[serde(default)]
    pub workspace: String,
    /// The deployment chosen by the rules when the job was accepted.
    pub deployment: DeploymentName,
    /// A fingerprint of the model and items, so that a client key used for another job is
    /// told apart from a resend.
    pub fingerprint: String,
    /// Where it stands.
    pub state: JobState,
    /// Its items by state, once every chunk is finished; they do not change afterwards.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub final_counts: Option<ItemCounts>,
    /// Accepted at, Unix milliseconds.
    pub created_ms: u64,
    /// Due at, Unix milliseconds.
    pub deadline_ms: u64,
    /// Items in all.
    pub item_count: u32,
    /// Chunks in all; chunk indexes run from 0 to `chunk_count - 1`.
    pub chunk_count: u32,
}

/// Where an item stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemState {
    /// Not finished yet.
    Pending,
    /// Finished; `result` holds the answer.
    Done,
    /// Can never be done; `error` says why.
    Failed,
    /// Its job was cancelled before it finished.
    Cancelled,
}

impl ItemState {
    /// Whether the item will not change again.
    pub fn is_final(self) -> bool {
        self != Self::Pending
    }
}

/// One item.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ItemRecord {
    /// The caller's id for it, unique in the job.
    pub custom_id: ItemId,
    /// The completion request body.
    pub body: serde_json::Value,
    /// Where it stands.
    pub state: ItemState,
    /// Tries that a backend received and did not answer well.
    pub attempts: u32,
    /// The answer, when done and small enough to be kept here.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<serde_json::Value>,
    /// The store key of the answer, when done and kept in an object of its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result_key: Option<String>,
    /// Why it failed, when failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// A lease on a chunk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkLease {
    /// The gateway holding it.
    pub holder: String,
    /// A random number for this holding, to recognise our own write after a lost reply.
    pub nonce: u64,
    /// Writes made under this holding; grows by one with each.
    pub commit_seq: u64,
    /// Runs out at this Unix time in milliseconds unless renewed by a write.
    pub expires_ms: u64,
}

/// A chunk record, under `chunks/<job>/<index>`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// The job it belongs to.
    pub job_id: JobId,
    /// Its index in the job.
    pub index: u32,
    /// Its items, in the order given.
    pub items: Vec<ItemRecord>,
    /// The current lease, if anyone holds one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<ChunkLease>,
}

impl ChunkRecord {
    /// Its items by state.
    pub fn counts(&self) -> ItemCounts {
        let mut counts = ItemCounts::default();
        for item in &self.items {
            counts.add(item.state);
        }
        counts
    }

    /// Marks every unfinished item as cancelled.
    pub fn cancel_pending(&mut self) {
        for item in &mut self.items {
            if item.state == ItemState::Pending {
                item.state = ItemState::Cancelled;
            }
        }
    }

    /// Whether any item is still pending.
    pub fn has_pending(&self) -> bool {
        self.items.iter().any(|i| i.state == ItemState::Pending)
    }

    /// Whether the lease, if any, has run out by `now_ms`.
    pub fn is_free(&self, now_ms: u64) -> bool {
        self.lease.as_ref().is_none_or(|l| l.expires_ms <= now_ms)
    }
}

/// Counts of items by state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemCounts {
    /// Items in all.
    pub total: u32,
    /// Not finished.
    pub pending: u32,
    /// Finished.
    pub done: u32,
    /// Can never be done.
    pub failed: u32,
    /// Stopped by a cancel.
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
    /// Adds one item in `state`.
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

/// The answer to `GET /v1/batches/{id}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's record.
    pub job: JobRecord,
    /// Its items by state, as of the chunks finished so far; pending items of a cancelled
    /// job count as cancelled.
    pub counts: ItemCounts,
}

/// One item as the caller sends it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ItemInput {
    /// The caller's id for it, unique in the job.
    pub custom_id: ItemId,
    /// A completion request body: `model` and `messages` or `prompt`.
    pub body: serde_json::Value,
}

/// The body of `POST /v1/batches`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CreateJob {
    /// The caller's key for this job: a resend with the same key returns the same job
    /// instead of making another.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub client_key: Option<String>,
    /// The model every item asks for.
    pub model: ModelName,
    /// How long the job may take, in seconds.
    pub completion_window_s: u64,
    /// The items; or give `input_jsonl` instead.
    #[serde(default)]
    pub items: Vec<ItemInput>,
    /// The items as JSON lines, one [`ItemInput`] per line, as batch files are written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub input_jsonl: Option<String>,
}

/// One line of `GET /v1/batches/{id}/results`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The caller's id.
    pub custom_id: ItemId,
    /// Where it stands.
    pub state: ItemState,
    /// The answer, when done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub response: Option<serde_json::Value>,
    /// Why it failed, when failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}
