//! Taking a batch job in: checks the request, splits its items into chunks and writes them.
//!
//! The chunks are written first and the job record last, all only if absent, so a job
//! exists whole or not at all and a client that resends it with its key writes nothing
//! twice. Dispatchers only see jobs whose record exists.

use std::time::Duration;

use foxwheel_core::ids::JobId;
use foxwheel_core::{fingerprint, keys};
use foxwheel_store::client::{StoreClient, StoreError};
use futures::{StreamExt, TryStreamExt};

use crate::batch::chunk_work::{json_len, MAX_INLINE_ANSWER_BYTES};
use crate::batch::jobs::{ChunkRecord, ItemInput, ItemRecord, ItemState, JobRecord, CHUNK_ITEMS};

/// Items in one job, at most.
pub const MAX_ITEMS: usize = 500_000;
/// Bytes planned for one chunk's items, answers included; a store value holds 1 MiB.
const MAX_CHUNK_BYTES: usize = 900_000;
/// Chunk writes in flight while a job is created.
const WRITES_IN_FLIGHT: usize = 16;
/// Tries of one write whose reply was lost.
const LOST_REPLY_TRIES: u32 = 3;
/// The pause after the store's rate limit refused a write, on average.
const BUSY_PAUSE: Duration = Duration::from_millis(250);
/// Writes refused by the rate limit before the create is given up.
const BUSY_TRIES: u32 = 240;

/// Collects and checks the items of a create request: those given and those of its JSON
/// lines. The error is for the caller.
pub fn check_items(
    mut items: Vec<ItemInput>,
    input_jsonl: Option<&str>,
) -> Result<Vec<ItemInput>, String> {
    let lines = input_jsonl.into_iter().flat_map(str::lines);
    for (n, line) in lines.enumerate().filter(|(_, l)| !l.trim().is_empty()) {
        let item =
            serde_json::from_str(line).map_err(|e| format!("input_jsonl line {}: {e}", n + 1))?;
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
        if item_bytes(item) > MAX_CHUNK_BYTES {
            return Err(format!("item `{id}`: larger than {MAX_CHUNK_BYTES} bytes"));
        }
    }
    Ok(items)
}

fn item_bytes(item: &ItemInput) -> usize {
    json_len(&item.body) + item.custom_id.len() + MAX_INLINE_ANSWER_BYTES
}

/// The job id: derived from the workspace and the client's key, so that a resend finds the
/// same job and no other workspace's.
pub fn job_id(workspace: &str, client_key: Option<&str>) -> JobId {
    match client_key {
        Some(key) => {
            let caller = fingerprint::hash_parts(&[workspace.as_bytes(), key.as_bytes()]);
            format!("batch-{caller}")
        }
        None => format!("batch-{:032x}", rand::random::<u128>()),
    }
}

/// The fingerprint of a job's model and items.
pub fn job_fingerprint(model: &str, items: &[ItemInput]) -> String {
    let items = serde_json::to_vec(items).unwrap_or_default();
    fingerprint::hash_parts(&[model.as_bytes(), &items])
}

/// Splits items into chunks of at most [`CHUNK_ITEMS`] items and `MAX_CHUNK_BYTES` bytes.
pub fn split(id: &JobId, items: Vec<ItemInput>) -> Vec<ChunkRecord> {
    let mut chunks: Vec<ChunkRecord> = Vec::new();
    let mut bytes = 0;
    for item in items {
        let item_bytes = item_bytes(&item);
        let is_full = chunks.last().is_none_or(|chunk| {
            chunk.items.len() == CHUNK_ITEMS || bytes + item_bytes > MAX_CHUNK_BYTES
        });
        if is_full {
            chunks.push(ChunkRecord {
                job_id: id.clone(),
                index: chunks.len() as u32,
                items: Vec::new(),
                lease: None,
            });
            bytes = 0;
        }
        bytes += item_bytes;
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

/// Writes a job: its chunks, then its record. Either may be there from an earlier try.
pub async fn write_job(
    store: &StoreClient,
    job: &JobRecord,
    chunks: &[ChunkRecord],
) -> Result<(), StoreError> {
    futures::stream::iter(chunks)
        .map(|chunk| async move {
            create_once(store, &keys::chunk(&chunk.job_id, chunk.index), chunk).await
        })
        .buffer_unordered(WRITES_IN_FLIGHT)
        .try_collect::<Vec<()>>()
        .await?;
    create_once(store, &keys::job(&job.id), job).await
}

/// Writes `value` under `key` only if absent; an existing object counts as written. Waits
/// while the store's rate limit refuses the write.
async fn create_once<T: serde::Serialize>(
    store: &StoreClient,
    key: &str,
    value: &T,
) -> Result<(), StoreError> {
    let (mut lost, mut busy) = (0, 0);
    loop {
        match store.put(key, value, Some(0)).await {
            Ok(_) | Err(StoreError::Conflict { .. }) => return Ok(()),
            Err(StoreError::RateLimited { .. }) if busy < BUSY_TRIES => {
                busy += 1;
                tokio::time::sleep(BUSY_PAUSE.mul_f64(0.5 + rand::random::<f64>())).await;
            }
            Err(StoreError::Unavailable { .. }) if lost < LOST_REPLY_TRIES => lost += 1,
            Err(e) => return Err(e),
        }
    }
}
