//! Acceptance of a batch job: checks the request, splits its items into chunks and writes them to
//! the store.
//!
//! The chunks are written first and the job record last, each only if it does not exist. A job
//! therefore exists completely or not at all, and a client that sends it again with its key writes
//! nothing twice. Dispatchers only see jobs whose record exists.

use std::time::Duration;

use foxwheel_core::ids::JobId;
use foxwheel_core::{fingerprint, keys};
use foxwheel_store::client::{StoreClient, StoreError};
use futures::{StreamExt, TryStreamExt};

use crate::batch::chunk_work::{json_len, MAX_INLINE_RESPONSE_BYTES};
use crate::batch::jobs::{ChunkRecord, ItemInput, ItemRecord, ItemState, JobRecord, CHUNK_ITEMS};

/// Maximum number of items in one job.
pub const MAX_ITEMS: usize = 500_000;
/// Maximum size planned for the items of one chunk with their responses, in bytes. A value in the
/// store holds at most 1 MiB.
const MAX_CHUNK_BYTES: usize = 900_000;
/// Maximum number of chunk writes in flight while a job is created.
const MAX_WRITES_IN_FLIGHT: usize = 16;
/// Maximum number of retries of one write after its response was lost.
const MAX_LOST_REPLY_TRIES: u32 = 3;
/// Average delay after the store's rate limit refused a write.
const RATE_LIMIT_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of retries of one write that the rate limit refused, after which the creation of
/// the job fails.
const MAX_RATE_LIMITED_TRIES: u32 = 240;

/// Collects and checks the items of a request to create a job: those given as a list and those given
/// as JSON lines. Returns an error message for the caller if an item is invalid, an id appears
/// twice, or there are no items or too many.
pub fn collect_items(
    mut items: Vec<ItemInput>,
    input_jsonl: Option<&str>,
) -> Result<Vec<ItemInput>, String> {
    let lines = input_jsonl.into_iter().flat_map(str::lines);
    for (index, line) in lines
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty())
    {
        let item = serde_json::from_str(line)
            .map_err(|e| format!("input_jsonl line {}: {e}", index + 1))?;
        items.push(item);
    }
    if items.is_empty() {
        return Err("the job has no items".to_owned());
    }
    if items.len() > MAX_ITEMS {
        let count = items.len();
        return Err(format!("the job has {count} items; at most {MAX_ITEMS}"));
    }
    let mut ids: Vec<&str> = items.iter().map(|i| i.custom_id.as_str()).collect();
    ids.sort_unstable();
    if let Some(pair) = ids.windows(2).find(|w| w[0] == w[1]) {
        return Err(format!("custom_id `{}` appears twice", pair[0]));
    }
    for item in &items {
        let id = &item.custom_id;
        if !item.body.is_object() {
            return Err(format!("item `{id}`: body must be a JSON object"));
        }
        if planned_item_bytes(item) > MAX_CHUNK_BYTES {
            return Err(format!("item `{id}`: larger than {MAX_CHUNK_BYTES} bytes"));
        }
    }
    Ok(items)
}

fn planned_item_bytes(item: &ItemInput) -> usize {
    json_len(&item.body) + item.custom_id.len() + MAX_INLINE_RESPONSE_BYTES
}

/// Returns the job's id. It is derived from the workspace and the client's key, so that a resend
/// finds the same job and never a job of another workspace. Without a key the id is random.
pub fn job_id(workspace: &str, client_key: Option<&str>) -> JobId {
    match client_key {
        Some(key) => {
            let caller = fingerprint::hash_parts(&[workspace.as_bytes(), key.as_bytes()]);
            format!("batch-{caller}")
        }
        None => format!("batch-{:032x}", rand::random::<u128>()),
    }
}

/// Returns the fingerprint of a job's model and items.
pub fn job_fingerprint(model: &str, items: &[ItemInput]) -> String {
    let items = serde_json::to_vec(items).unwrap_or_default();
    fingerprint::hash_parts(&[model.as_bytes(), &items])
}

/// Splits the items into chunks of at most [`CHUNK_ITEMS`] items and `MAX_CHUNK_BYTES` bytes each.
pub fn split_into_chunks(id: &JobId, items: Vec<ItemInput>) -> Vec<ChunkRecord> {
    let mut chunks: Vec<ChunkRecord> = Vec::new();
    let mut chunk_bytes = 0;
    for item in items {
        let item_bytes = planned_item_bytes(&item);
        let needs_new_chunk = chunks.last().is_none_or(|chunk| {
            chunk.items.len() == CHUNK_ITEMS || chunk_bytes + item_bytes > MAX_CHUNK_BYTES
        });
        if needs_new_chunk {
            chunks.push(ChunkRecord {
                job_id: id.clone(),
                index: chunks.len() as u32,
                items: Vec::new(),
                lease: None,
            });
            chunk_bytes = 0;
        }
        chunk_bytes += item_bytes;
        let chunk = chunks.last_mut().expect("a chunk was pushed");
        chunk.items.push(ItemRecord {
            custom_id: item.custom_id,
            body: item.body,
            state: ItemState::Pending,
            attempts: 0,
            result: None,
            result_key: None,
            error: None,
        });
    }
    chunks
}

/// Writes the chunks of a job, then its record. Either can already exist from an earlier attempt.
/// Returns an error if one of them could not be written.
pub async fn write_job(
    store: &StoreClient,
    job: &JobRecord,
    chunks: &[ChunkRecord],
) -> Result<(), StoreError> {
    futures::stream::iter(chunks)
        .map(|chunk| async move {
            create_if_absent(store, &keys::chunk(&chunk.job_id, chunk.index), chunk).await
        })
        .buffer_unordered(MAX_WRITES_IN_FLIGHT)
        .try_collect::<Vec<()>>()
        .await?;
    create_if_absent(store, &keys::job(&job.id), job).await
}

/// Writes `value` under `key` unless the key exists; an existing object counts as written. Retries
/// with delays while the store's rate limit refuses the write.
async fn create_if_absent<T: serde::Serialize>(
    store: &StoreClient,
    key: &str,
    value: &T,
) -> Result<(), StoreError> {
    let (mut lost_replies, mut rate_limited) = (0, 0);
    loop {
        match store.put(key, value, Some(0)).await {
            Ok(_) | Err(StoreError::Conflict { .. }) => return Ok(()),
            Err(StoreError::RateLimited { .. }) if rate_limited < MAX_RATE_LIMITED_TRIES => {
                rate_limited += 1;
                tokio::time::sleep(RATE_LIMIT_DELAY.mul_f64(0.5 + rand::random::<f64>())).await;
            }
            Err(StoreError::Unavailable { .. }) if lost_replies < MAX_LOST_REPLY_TRIES => {
                lost_replies += 1
            }
            Err(e) => return Err(e),
        }
    }
}
