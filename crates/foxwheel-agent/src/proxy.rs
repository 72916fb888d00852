//! Forwarding to the backend: online requests stream through holding their slot; batch
//! requests are read whole and restarted when preempted.

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse};
use bytes::Bytes;

use foxwheel_core::declarations::PriorityClass;
use foxwheel_core::http;

use crate::queue::{Permit, Queue, QueueError};

/// Largest whole batch answer read, in bytes.
const MAX_BATCH_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// The backend this agent fronts.
#[derive(Clone)]
pub struct Backend {
    /// Its base URL.
    pub base_url: String,
    /// How long one request may take.
    pub timeout: Duration,
}

/// Counts kept by the proxy, read on `GET /load`.
#[derive(Debug, Default)]
pub struct ProxyCounters {
    /// Batch requests restarted after preemption.
    pub batch_restarts: std::sync::atomic::AtomicU64,
}

/// Told in `Retry-After` when every waiting place is taken or the backend is gone.
const RETRY_AFTER_S: u64 = 1;

fn not_queued(error: QueueError) -> HttpResponse {
    let (status, code, retry_after_s) = match error {
        QueueError::Draining => (StatusCode::SERVICE_UNAVAILABLE, "draining", 0),
        QueueError::Full => (StatusCode::TOO_MANY_REQUESTS, "queue_full", RETRY_AFTER_S),
    };
    http::not_run(status, code, error.to_string(), Some(retry_after_s))
}

fn not_answered(backend: &Backend, error: &AttemptError) -> HttpResponse {
    let message = format!("forward to backend {}: {error}", backend.base_url);
    if error.never_reached() {
        return http::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "backend_gone",
            message,
            Some(RETRY_AFTER_S),
        );
    }
    http::unknown(StatusCode::BAD_GATEWAY, "backend_failed", message)
}

/// Why one try on the backend gave no whole answer.
#[derive(Debug, thiserror::Error)]
enum AttemptError {
    #[error("send: {0}")]
    Send(#[from] awc::error::SendRequestError),
    #[error("read answer: {0}")]
    Read(#[from] awc::error::PayloadError),
}

impl AttemptError {
    /// Whether no byte of the request reached the backend.
    fn never_reached(&self) -> bool {
        matches!(self, Self::Send(e) if http::send_never_reached(e))
    }
}

/// Runs one request on the backend under the queue's rules and answers it.
pub async fn handle(
    queue: &Queue,
    client: &awc::Client,
    backend: &Backend,
    counters: &ProxyCounters,
    req: &HttpRequest,
    body: Bytes,
    class: PriorityClass,
) -> HttpResponse {
    let permit = match queue.acquire(class).await {
        Ok(permit) => permit,
        Err(e) => return not_queued(e),
    };
    let url = format!("{}{}", backend.base_url, path_and_query(req));
    match class {
        PriorityClass::Online => {
            let sent = http::forward(
                client,
                req.method().clone(),
                &url,
                req.headers(),
                body,
                backend.timeout,
            );
            match sent.await {
                Ok(response) => http::relay(response, permit),
                Err(e) => not_answered(backend, &e.into()),
            }
        }
        PriorityClass::Batch => {
            run_batch(queue, client, backend, counters, req, body, &url, permit).await
        }
    }
}

#[allow(clippy::too_many_arguments)]
async fn run_batch(
    queue: &Queue,
    client: &awc::Client,
    backend: &Backend,
    counters: &ProxyCounters,
    req: &HttpRequest,
    body: Bytes,
    url: &str,
    mut permit: Permit,
) -> HttpResponse {
    loop {
        let attempt = whole_answer(client, req, body.clone(), url, backend.timeout);
        tokio::select! {
            answer = attempt => {
                return match answer {
                    Ok((status, content_type, bytes)) => HttpResponse::build(status)
                        .insert_header(("content-type", content_type))
                        .body(bytes),
                    Err(e) => not_answered(backend, &e),
                };
            }
            _ = permit.preempted().cancelled() => {
                drop(permit);
                counters.batch_restarts.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                permit = match queue.acquire_after_preemption().await {
                    Ok(permit) => permit,
                    Err(e) => return not_queued(e),
                };
            }
        }
    }
}

async fn whole_answer(
    client: &awc::Client,
    req: &HttpRequest,
    body: Bytes,
    url: &str,
    timeout: Duration,
) -> Result<(StatusCode, String, Bytes), AttemptError> {
    let mut response = http::forward(
        client,
        req.method().clone(),
        url,
        req.headers(),
        body,
        timeout,
    )
    .await?;
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|v| v.to_str().ok())
        .unwrap_or("application/json")
        .to_owned();
    let bytes = response.body().limit(MAX_BATCH_ANSWER_BYTES).await?;
    Ok((response.status(), content_type, bytes))
}

/// The request's path and query as sent to the backend; `/services/<name>` is cut off.
pub fn path_and_query(req: &HttpRequest) -> String {
    let path = req.path();
    let path = match path.strip_prefix("/services/") {
        Some(rest) => rest.find('/').map(|at| &rest[at..]).unwrap_or("/"),
        None => path,
    };
    match req.query_string() {
        "" => path.to_owned(),
        q => format!("{path}?{q}"),
    }
}
