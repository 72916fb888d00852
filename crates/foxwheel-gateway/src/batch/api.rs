//! The batch caller API.
//!
//! - `POST /v1/batches` takes a [`CreateJob`]; answers the [`JobStatus`]. A resend with the
//!   same `client_key` answers the job made the first time.
//! - `GET /v1/batches/{id}` answers the [`JobStatus`].
//! - `POST /v1/batches/{id}/cancel` cancels it; no item starts afterwards.
//! - `GET /v1/batches/{id}/results` answers one [`ItemResult`] per line (JSON lines).

use actix_web::http::StatusCode;
use actix_web::{web, HttpRequest, HttpResponse};
use bytes::Bytes;
use futures::{StreamExt, TryStreamExt};

use foxwheel_core::declarations::Workload;
use foxwheel_core::{http, keys, time};
use foxwheel_store::client::{StoreClient, StoreError};

use crate::batch::jobs::{
    ChunkRecord, CreateJob, ItemCounts, ItemInput, ItemRecord, ItemResult, ItemState, JobRecord,
    JobState, JobStatus, CHUNK_ITEMS,
};
use crate::filters::{self, Exchange};
use crate::server::{GatewayState, WorkerState};

/// Items in one job, at most.
pub const MAX_ITEMS: usize = 500_000;
/// Chunk writes in flight while a job is created.
const CREATE_WRITES_IN_FLIGHT: usize = 16;
/// Tries of one create whose reply was lost.
const CREATE_TRIES: u32 = 3;

fn bad_request(message: impl Into<String>) -> HttpResponse {
    http::not_run(StatusCode::BAD_REQUEST, "bad_request", message, None)
}

fn store_down(e: &StoreError, retry_after_s: u64) -> HttpResponse {
    http::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "store_unavailable",
        format!("the job store cannot be reached: {e}"),
        Some(retry_after_s),
    )
}

/// Parses and checks the items of a create request.
pub fn parse_items(create: &CreateJob) -> Result<Vec<ItemInput>, String> {
    let mut items = create.items.clone();
    if let Some(lines) = &create.input_jsonl {
        for (n, line) in lines
            .lines()
            .enumerate()
            .filter(|(_, l)| !l.trim().is_empty())
        {
            let item: ItemInput = serde_json::from_str(line)
                .map_err(|e| format!("input_jsonl line {}: {e}", n + 1))?;
            items.push(item);
        }
    }
    if items.is_empty() {
        return Err("the job has no items".to_owned());
    }
    if items.len() > MAX_ITEMS {
        return Err(format!(
            "the job has {} items; at most {MAX_ITEMS}",
            items.len()
        ));
    }
    let mut ids: Vec<&str> = items.iter().map(|i| i.custom_id.as_str()).collect();
    ids.sort_unstable();
    if let Some(pair) = ids.windows(2).find(|w| w[0] == w[1]) {
        return Err(format!("custom_id `{}` appears twice", pair[0]));
    }
    for item in &items {
        if !item.body.is_object() {
            return Err(format!(
                "item `{}`: body must be a JSON object",
                item.custom_id
            ));
        }
    }
    Ok(items)
}

/// The job id: derived from the client's key, so a resend finds the same job.
pub fn job_id(client_key: Option<&str>) -> String {
    match client_key {
        Some(key) => {
            use std::hash::{Hash, Hasher};
            let mut hasher = std::collections::hash_map::DefaultHasher::new();
            key.hash(&mut hasher);
            format!("batch-{:016x}", hasher.finish())
        }
        None => format!("batch-{:016x}", rand::random::<u64>()),
    }
}

/// Writes `value` under `key` only if absent; an existing object counts as written.
async fn create_once<T: serde::Serialize>(
    store: &StoreClient,
    key: &str,
    value: &T,
) -> Result<(), StoreError> {
    let mut last = None;
    for _ in 0..CREATE_TRIES {
        match store.put(key, value, Some(0)).await {
            Ok(_) | Err(StoreError::Conflict { .. }) => return Ok(()),
            Err(e @ StoreError::Unavailable { .. }) => {
                if store.get(key).await.is_ok() {
                    return Ok(());
                }
                last = Some(e);
            }
            Err(e) => return Err(e),
        }
    }
    Err(last.expect("at least one try"))
}

/// Reads a job and counts its items.
pub async fn job_status(
    store: &StoreClient,
    id: &str,
) -> Result<Option<(JobStatus, Vec<ChunkRecord>)>, StoreError> {
    let Some((job, _)) = store.get_value::<JobRecord>(&keys::job(id)).await? else {
        return Ok(None);
    };
    let listed = store.list(&keys::chunks_of(id)).await?;
    let mut counts = ItemCounts::default();
    let mut chunks = Vec::with_capacity(listed.objects.len());
    for object in listed.objects {
        let chunk: ChunkRecord =
            serde_json::from_value(object.value).map_err(|e| StoreError::Decode {
                step: "read chunk",
                peer: store.base_url().to_owned(),
                detail: e.to_string(),
            })?;
        for item in &chunk.items {
            let state = match (item.state, job.state) {
                (ItemState::Pending, JobState::Cancelled) => ItemState::Cancelled,
                (state, _) => state,
            };
            counts.add(state);
        }
        chunks.push(chunk);
    }
    debug_assert!(counts.total <= job.item_count);
    Ok(Some((JobStatus { job, counts }, chunks)))
}

/// `POST /v1/batches`.
pub async fn create(
    state: web::Data<GatewayState>,
    worker: web::Data<WorkerState>,
    body: Bytes,
) -> HttpResponse {
    let create: CreateJob = match serde_json::from_slice(&body) {
        Ok(c) => c,
        Err(e) => return bad_request(format!("body is not a valid batch request: {e}")),
    };
    let items = match parse_items(&create) {
        Ok(items) => items,
        Err(message) => return bad_request(message),
    };
    let mut exchange = Exchange::new(
        Workload::Batch,
        "/v1/batches".to_owned(),
        state.config.current(),
    );
    exchange.model = Some(create.model.clone());
    if let Err(refused) = filters::run(&state.chain, &mut exchange) {
        return refused.into_response();
    }
    let deployment = exchange
        .deployment
        .as_ref()
        .expect("routed by MatchRules")
        .name
        .clone();
    let id = job_id(create.client_key.as_deref());
    let store = &worker.store;
    let retry_after_s = state.settings.retry_after_s;
    match job_status(store, &id).await {
        Ok(Some((status, _))) => return HttpResponse::Ok().json(status),
        Ok(None) => {}
        Err(e) => return store_down(&e, retry_after_s),
    }
    let chunks: Vec<ChunkRecord> = items
        .chunks(CHUNK_ITEMS)
        .enumerate()
        .map(|(index, part)| ChunkRecord {
            job_id: id.clone(),
            index: index as u32,
            items: part
                .iter()
                .map(|i| ItemRecord {
                    custom_id: i.custom_id.clone(),
                    body: i.body.clone(),
                    state: ItemState::Pending,
                    attempts: 0,
                    result: None,
                    error: None,
                })
                .collect(),
            lease: None,
        })
        .collect();
    let chunk_count = chunks.len() as u32;
    let written = futures::stream::iter(chunks.iter())
        .map(|chunk| {
            let key = keys::chunk(&id, chunk.index);
            async move { create_once(store, &key, chunk).await }
        })
        .buffer_unordered(CREATE_WRITES_IN_FLIGHT)
        .try_collect::<Vec<()>>()
        .await;
    if let Err(e) = written {
        return store_down(&e, retry_after_s);
    }
    let now = time::unix_ms();
    let job = JobRecord {
        id: id.clone(),
        model: create.model,
        deployment,
        state: JobState::Running,
        created_ms: now,
        deadline_ms: now + create.completion_window_s * 1000,
        item_count: items.len() as u32,
        chunk_count,
    };
    if let Err(e) = create_once(store, &keys::job(&id), &job).await {
        return store_down(&e, retry_after_s);
    }
    match job_status(store, &id).await {
        Ok(Some((status, _))) => HttpResponse::Ok().json(status),
        Ok(None) => store_down(&StoreError::NotFound, retry_after_s),
        Err(e) => store_down(&e, retry_after_s),
    }
}

fn no_job(id: &str) -> HttpResponse {
    http::not_run(
        StatusCode::NOT_FOUND,
        "no_job",
        format!("no batch job `{id}`"),
        None,
    )
}

/// `GET /v1/batches/{id}`.
pub async fn status(
    state: web::Data<GatewayState>,
    worker: web::Data<WorkerState>,
    id: web::Path<String>,
) -> HttpResponse {
    match job_status(&worker.store, &id).await {
        Ok(Some((status, _))) => HttpResponse::Ok().json(status),
        Ok(None) => no_job(&id),
        Err(e) => store_down(&e, state.settings.retry_after_s),
    }
}

/// `GET /v1/batches/{id}/results`.
pub async fn results(
    state: web::Data<GatewayState>,
    worker: web::Data<WorkerState>,
    id: web::Path<String>,
) -> HttpResponse {
    let (status, chunks) = match job_status(&worker.store, &id).await {
        Ok(Some(found)) => found,
        Ok(None) => return no_job(&id),
        Err(e) => return store_down(&e, state.settings.retry_after_s),
    };
    let mut lines = String::new();
    for item in chunks.into_iter().flat_map(|c| c.items) {
        let state = match (item.state, status.job.state) {
            (ItemState::Pending, JobState::Cancelled) => ItemState::Cancelled,
            (state, _) => state,
        };
        let line = ItemResult {
            custom_id: item.custom_id,
            state,
            response: item.result,
            error: item.error,
        };
        lines.push_str(&serde_json::to_string(&line).unwrap_or_default());
        lines.push('\n');
    }
    HttpResponse::Ok()
        .content_type("application/jsonl")
        .body(lines)
}

/// `POST /v1/batches/{id}/cancel`: a conditional update, tried again when another
/// operator's write came between the read and the write.
pub async fn cancel(
    state: web::Data<GatewayState>,
    worker: web::Data<WorkerState>,
    id: web::Path<String>,
    _req: HttpRequest,
) -> HttpResponse {
    let store = &worker.store;
    let key = keys::job(&id);
    let retry_after_s = state.settings.retry_after_s;
    loop {
        let (mut job, version) = match store.get_value::<JobRecord>(&key).await {
            Ok(Some(found)) => found,
            Ok(None) => return no_job(&id),
            Err(e) => return store_down(&e, retry_after_s),
        };
        match job.state {
            JobState::Cancelled => break,
            JobState::Completed => {
                return http::not_run(
                    StatusCode::CONFLICT,
                    "job_completed",
                    "the job completed before the cancel",
                    None,
                )
            }
            JobState::Running => {}
        }
        job.state = JobState::Cancelled;
        match store.put(&key, &job, Some(version)).await {
            Ok(_) => {
                log::info!("batch job {id} cancelled");
                break;
            }
            Err(StoreError::Conflict { .. }) | Err(StoreError::Unavailable { .. }) => continue,
            Err(e) => return store_down(&e, retry_after_s),
        }
    }
    match job_status(store, &id).await {
        Ok(Some((status, _))) => HttpResponse::Ok().json(status),
        Ok(None) => no_job(&id),
        Err(e) => store_down(&e, retry_after_s),
    }
}
