//! The batch caller API.
//!
//! - `POST /v1/batches` creates a job from a [`CreateJob`] and returns its [`JobStatus`]. A resend
//!   with the same `client_key` returns the job that was created the first time.
//! - `GET /v1/batches/{id}` returns the [`JobStatus`].
//! - `POST /v1/batches/{id}/cancel` cancels the job. No chunk is started afterwards, and a chunk
//!   that a gateway works on is stopped as soon as that gateway receives the change.
//! - `GET /v1/batches/{id}/results` returns one [`ItemResult`] per line (JSON lines).

use std::time::{Duration, Instant};

use actix_web::http::StatusCode;
use actix_web::{web, HttpRequest, HttpResponse};
use bytes::Bytes;
use foxwheel_caller_server::connections;
use foxwheel_caller_server::request_body::RequestBody;
use foxwheel_callers::connections::CallerConnection;
use foxwheel_core::declarations::Workload;
use foxwheel_core::http::Refused;
use foxwheel_core::ids::Version;
use foxwheel_core::protocol::WORKSPACE_HEADER;
use foxwheel_core::{http, keys, time};
use foxwheel_policy::caller_connections::NoRoom;
use foxwheel_store::client::{StoreClient, StoreError};
use futures::{Stream, StreamExt};

use crate::batch::jobs::{
    ChunkRecord, CreateJob, ItemCounts, ItemRecord, ItemResult, ItemState, JobRecord, JobState,
    JobStatus,
};
use crate::batch::{intake, progress};
use crate::filters::{self, RequestContext};
use crate::state::{GatewayState, WorkerState};

/// Size of all copies of a batch while it is created, relative to its body: its items as values, and the
/// chunks that are written.
pub const BATCH_COPIES: usize = 6;

/// How long a result waits for room beside the responses to other callers.
const ROOM_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of attempts to record a cancellation, after conflicts with other writes and lost
/// responses.
const MAX_CANCEL_TRIES: u32 = 8;

fn bad_request(message: impl Into<String>) -> HttpResponse {
    http::not_run_response(StatusCode::BAD_REQUEST, "bad_request", message, None)
}

fn store_unavailable_response(e: &StoreError, retry_after_s: u64) -> HttpResponse {
    http::not_run_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "store_unavailable",
        format!("the job store cannot be reached: {e}"),
        Some(retry_after_s),
    )
}

fn no_job_response(id: &str) -> HttpResponse {
    let message = format!("no batch job `{id}`");
    http::not_run_response(StatusCode::NOT_FOUND, "no_job", message, None)
}

/// Returns the record of a job and its version, from `jobs/` or, if the job has ended, from
/// `archive/`. Returns `None` if there is no such job.
async fn find_job(
    store: &StoreClient,
    id: &str,
) -> Result<Option<(JobRecord, Version)>, StoreError> {
    if let Some(found) = store.get_value(&keys::job(id)).await? {
        return Ok(Some(found));
    }
    store.get_value(&keys::archived_job(id)).await
}

/// Returns a job's status from its record and, unless the job has ended, from its progress.
async fn build_status(store: &StoreClient, job: JobRecord) -> Result<JobStatus, StoreError> {
    let counts = match job.final_counts {
        Some(counts) => counts,
        None => {
            let mut counts = progress::read(store, &job.id).await?.counts;
            let unfinished_items = job.item_count - counts.total;
            counts += match job.state {
                JobState::Cancelled => ItemCounts {
                    total: unfinished_items,
                    cancelled: unfinished_items,
                    ..ItemCounts::default()
                },
                JobState::Running | JobState::Completed => ItemCounts {
                    total: unfinished_items,
                    pending: unfinished_items,
                    ..ItemCounts::default()
                },
            };
            counts
        }
    };
    debug_assert_eq!(counts.total, job.item_count);
    Ok(JobStatus { job, counts })
}

async fn status_response(store: &StoreClient, job: JobRecord, retry_after_s: u64) -> HttpResponse {
    match build_status(store, job).await {
        Ok(status) => HttpResponse::Ok().json(status),
        Err(e) => store_unavailable_response(&e, retry_after_s),
    }
}

/// Handles `POST /v1/batches`.
pub async fn create_job(
    state: web::Data<GatewayState>,
    worker: web::Data<WorkerState>,
    req: HttpRequest,
    body: RequestBody,
) -> HttpResponse {
    let RequestBody {
        bytes: body,
        connection,
    } = body;
    let Ok(_held) = connection.hold(BATCH_COPIES * body.len()) else {
        return connections::no_room_response("the batch");
    };
    let request: CreateJob = match serde_json::from_slice(&body) {
        Ok(request) => request,
        Err(e) => return bad_request(format!("body is not a valid batch request: {e}")),
    };
    drop(body);
    let items = match intake::collect_items(request.items, request.input_jsonl.as_deref()) {
        Ok(items) => items,
        Err(message) => return bad_request(message),
    };
    let workspace = http::header_string(&req, WORKSPACE_HEADER).unwrap_or_default();
    let mut context = RequestContext::new(
        Workload::Batch,
        "/v1/batches".to_owned(),
        state.config.current(),
    );
    context.model = Some(request.model.clone());
    context.workspace = (!workspace.is_empty()).then(|| workspace.clone());
    if let Err(refused) = filters::apply_chain(&state.filter_chain, &mut context, &state.counters) {
        return refused.into_response();
    }
    let deployment = context.deployment.expect("routed by MatchRules").name;
    let id = intake::job_id(&workspace, request.client_key.as_deref());
    let fingerprint = intake::job_fingerprint(&request.model, &items);
    let (store, retry_after_s) = (&worker.store, state.settings.retry_after_s);
    match find_job(store, &id).await {
        Ok(Some((job, _))) if job.fingerprint != fingerprint => {
            return http::not_run_response(
                StatusCode::UNPROCESSABLE_ENTITY,
                "client_key_reused",
                "this client_key was used for a job with other items",
                None,
            )
        }
        Ok(Some((job, _))) => return status_response(store, job, retry_after_s).await,
        Ok(None) => {}
        Err(e) => return store_unavailable_response(&e, retry_after_s),
    }
    let item_count = items.len() as u32;
    let chunks = intake::split_into_chunks(&id, items);
    let now_ms = time::unix_ms();
    let job = JobRecord {
        id,
        model: request.model,
        workspace,
        deployment,
        fingerprint,
        state: JobState::Running,
        final_counts: None,
        created_ms: now_ms,
        deadline_ms: now_ms + request.completion_window_s.saturating_mul(1000),
        item_count,
        chunk_count: chunks.len() as u32,
    };
    match intake::write_job(store, &job, &chunks).await {
        Ok(()) => status_response(store, job, retry_after_s).await,
        Err(e) => store_unavailable_response(&e, retry_after_s),
    }
}

/// Handles `GET /v1/batches/{id}`.
pub async fn job_status(
    state: web::Data<GatewayState>,
    worker: web::Data<WorkerState>,
    id: web::Path<String>,
) -> HttpResponse {
    let retry_after_s = state.settings.retry_after_s;
    match find_job(&worker.store, &id).await {
        Ok(Some((job, _))) => status_response(&worker.store, job, retry_after_s).await,
        Ok(None) => no_job_response(&id),
        Err(e) => store_unavailable_response(&e, retry_after_s),
    }
}

/// Handles `GET /v1/batches/{id}/results`. The response is streamed chunk by chunk, so that its
/// length does not matter for memory. An error aborts the response, so that it is not mistaken for
/// the end of the results.
pub async fn stream_results(
    state: web::Data<GatewayState>,
    worker: web::Data<WorkerState>,
    req: HttpRequest,
    id: web::Path<String>,
) -> HttpResponse {
    let Some(connection) = connections::connection_of(&req).cloned() else {
        return connections::no_room_response("the results");
    };
    match find_job(&worker.store, &id).await {
        Ok(Some((job, _))) => HttpResponse::Ok()
            .content_type("application/jsonl")
            .streaming(result_lines(worker.store.clone(), job, connection)),
        Ok(None) => no_job_response(&id),
        Err(e) => store_unavailable_response(&e, state.settings.retry_after_s),
    }
}

/// Why results are not sent to their end.
#[derive(Debug, thiserror::Error)]
enum ResultsError {
    /// The store did not give a chunk or a result.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Other callers take all memory that callers may.
    #[error(transparent)]
    NoRoom(#[from] NoRoom),
}

fn result_lines(
    store: StoreClient,
    job: JobRecord,
    connection: CallerConnection,
) -> impl Stream<Item = Result<Bytes, ResultsError>> {
    futures::stream::iter(0..job.chunk_count).then(move |index| {
        let (store, key) = (store.clone(), keys::chunk(&job.id, index));
        let job_state = job.state;
        let mut held = connection.hold_nothing();
        async move {
            let found = store.get_value::<ChunkRecord>(&key).await?;
            let (chunk, _) = found.ok_or(StoreError::NotFound)?;
            let mut lines = String::new();
            for item in chunk.items {
                let line = result_line(&store, job_state, item).await?;
                let line = serde_json::to_string(&line).expect("a result line encodes");
                let deadline = Instant::now() + ROOM_TIMEOUT;
                held.grow_until(lines.len() + line.len() + 1, deadline)
                    .await?;
                lines.push_str(&line);
                lines.push('\n');
            }
            Ok(held.attach_to(lines))
        }
    })
}

async fn result_line(
    store: &StoreClient,
    job_state: JobState,
    item: ItemRecord,
) -> Result<ItemResult, StoreError> {
    let response = match &item.result_key {
        Some(key) => Some(store.get(key).await?.value),
        None => item.result,
    };
    let state = match (item.state, job_state) {
        (ItemState::Pending, JobState::Cancelled) => ItemState::Cancelled,
        (state, _) => state,
    };
    Ok(ItemResult {
        custom_id: item.custom_id,
        state,
        response,
        error: item.error,
    })
}

/// Handles `POST /v1/batches/{id}/cancel`.
pub async fn cancel_job(
    state: web::Data<GatewayState>,
    worker: web::Data<WorkerState>,
    id: web::Path<String>,
) -> HttpResponse {
    let retry_after_s = state.settings.retry_after_s;
    match record_cancel(&worker.store, &id, retry_after_s).await {
        Ok(job) => status_response(&worker.store, job, retry_after_s).await,
        Err(refused) => refused.into_response(),
    }
}

/// Records the cancellation by a conditional update, which is retried if another write came between
/// the read and the write. If a response was lost after the write took effect, the next attempt reads
/// a cancelled job. Returns the refusal for the caller if the job does not exist, has completed or
/// cannot be updated.
async fn record_cancel(
    store: &StoreClient,
    id: &str,
    retry_after_s: u64,
) -> Result<JobRecord, Refused> {
    let store_unavailable_response = |e: &StoreError| {
        Refused::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "store_unavailable",
            format!("the cancel cannot be recorded: {e}"),
            Some(retry_after_s),
        )
    };
    let mut last_error = StoreError::NotFound;
    for _ in 0..MAX_CANCEL_TRIES {
        let found = find_job(store, id)
            .await
            .map_err(|e| store_unavailable_response(&e))?;
        let Some((mut job, version)) = found else {
            let message = format!("no batch job `{id}`");
            return Err(Refused::not_run(
                StatusCode::NOT_FOUND,
                "no_job",
                message,
                None,
            ));
        };
        match job.state {
            JobState::Cancelled => return Ok(job),
            JobState::Completed => {
                return Err(Refused::not_run(
                    StatusCode::CONFLICT,
                    "job_completed",
                    "the job completed before the cancel",
                    None,
                ))
            }
            JobState::Running => job.state = JobState::Cancelled,
        }
        match store.put(&keys::job(id), &job, Some(version)).await {
            Ok(_) => {
                log::info!("batch job {id} cancelled");
                return Ok(job);
            }
            Err(e) if e.is_transient() || matches!(e, StoreError::Conflict { .. }) => {
                last_error = e
            }
            Err(e) => return Err(store_unavailable_response(&e)),
        }
    }
    // A write whose response was lost may have taken effect.
    Err(Refused::unknown(
        StatusCode::SERVICE_UNAVAILABLE,
        "store_unavailable",
        format!("the cancel may not be recorded, send it again: {last_error}"),
    ))
}
