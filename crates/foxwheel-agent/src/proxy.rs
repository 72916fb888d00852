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

fn draining() -> HttpResponse {
    http::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "draining",
        "this backend is leaving; send the request elsewhere",
        Some(0),
    )
}

fn backend_unreachable(backend: &Backend, e: impl std::fmt::Display) -> HttpResponse {
    http::unknown(
        StatusCode::BAD_GATEWAY,
        "backend_failed",
        format!("forward to backend {}: {e}", backend.base_url),
    )
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
        Err(QueueError::Draining) => return draining(),
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
                Err(e) => backend_unreachable(backend, e),
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
                    Err(e) => backend_unreachable(backend, e),
                };
            }
            _ = permit.preempted().cancelled() => {
                drop(permit);
                counters.batch_restarts.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                permit = match queue.acquire(PriorityClass::Batch).await {
                    Ok(permit) => permit,
                    Err(QueueError::Draining) => return draining(),
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
) -> Result<(StatusCode, String, Bytes), String> {
    let mut response = http::forward(
        client,
        req.method().clone(),
        url,
        req.headers(),
        body,
        timeout,
    )
    .await
    .map_err(|e| e.to_string())?;
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|v| v.to_str().ok())
        .unwrap_or("application/json")
        .to_owned();
    let bytes = response
        .body()
        .limit(MAX_BATCH_ANSWER_BYTES)
        .await
        .map_err(|e| e.to_string())?;
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
