//! An emulator of plain services such as yardbook (order tracking) and emite-cartao (card
//! issuing).
//!
//! The response to `GET` on any path is a small JSON record. Any other method, such as `POST`, is
//! an execution: it is counted by its path and `Idempotency-Key` header, so that tests can check
//! how often each non-idempotent call ran. `GET /_emu/executions` returns the counts.
//!
//! [`scripted`] is a server whose responses are given byte for byte.

pub mod scripted;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_web::{web, HttpRequest, HttpResponse};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use foxwheel_core::http::{self, ServerOptions};
use foxwheel_core::protocol::IDEMPOTENCY_KEY_HEADER;
use foxwheel_core::settings::{Check, Problems};

/// Settings of `foxwheel-service-emu`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Address to listen on.
    pub listen_addr: String,
    /// Name of the service, e.g. `yardbook`.
    pub service: String,
    /// Time that each call takes, in milliseconds.
    #[serde(default = "default_delay_ms")]
    pub delay_ms: u64,
}

fn default_delay_ms() -> u64 {
    5
}

impl Check for ServiceSettings {
    fn check(&self, problems: &mut Problems) {
        problems.require_non_empty("listen_addr", &self.listen_addr);
        problems.require_non_empty("service", &self.service);
    }
}

/// The number of executions of one pair of path and idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionCount {
    /// The path of the calls.
    pub path: String,
    /// The `Idempotency-Key` header of the calls, empty if they had none.
    pub idempotency_key: String,
    /// Number of executions.
    pub count: u64,
}

/// The state of the service, with the number of executions by path and idempotency key.
#[derive(Debug, Default)]
pub struct Service {
    name: String,
    delay: Duration,
    executions: Mutex<BTreeMap<(String, String), u64>>,
}

async fn serve_execution(
    service: web::Data<Service>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    tokio::time::sleep(service.delay).await;
    let key = request
        .headers()
        .get(IDEMPOTENCY_KEY_HEADER)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let path = request.path().to_owned();
    let count = {
        let mut executions = service.executions.lock().expect("executions lock");
        let count = executions.entry((path.clone(), key.clone())).or_insert(0);
        *count += 1;
        *count
    };
    HttpResponse::Ok().json(serde_json::json!({
        "service": service.name,
        "path": path,
        "idempotency_key": key,
        "execution": count,
        "request_bytes": body.len(),
        "status": "accepted",
    }))
}

async fn serve_read(service: web::Data<Service>, request: HttpRequest) -> HttpResponse {
    tokio::time::sleep(service.delay).await;
    HttpResponse::Ok().json(serde_json::json!({
        "service": service.name,
        "path": request.path(),
        "status": "ok",
    }))
}

async fn get_executions(service: web::Data<Service>) -> HttpResponse {
    let counts: Vec<ExecutionCount> = service
        .executions
        .lock()
        .expect("executions lock")
        .iter()
        .map(|((path, key), count)| ExecutionCount {
            path: path.clone(),
            idempotency_key: key.clone(),
            count: *count,
        })
        .collect();
    HttpResponse::Ok().json(counts)
}

/// Starts the service and returns the address that it listens on and its server. The service
/// stops gracefully when `cancel` is cancelled.
///
/// Returns an error if the address of the settings can't be bound.
pub fn start(
    settings: &ServiceSettings,
    cancel: CancellationToken,
) -> std::io::Result<(SocketAddr, actix_web::dev::Server)> {
    let service = web::Data::from(Arc::new(Service {
        name: settings.service.clone(),
        delay: Duration::from_millis(settings.delay_ms),
        executions: Mutex::default(),
    }));
    let options = ServerOptions {
        shutdown_timeout: Duration::from_secs(10),
        ..ServerOptions::default()
    };
    http::serve(&settings.listen_addr, options, cancel, move || {
        actix_web::App::new()
            .app_data(service.clone())
            .route("/_emu/executions", web::get().to(get_executions))
            .default_service(web::route().to(serve_call))
    })
}

async fn serve_call(
    service: web::Data<Service>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    if request.method() == actix_web::http::Method::GET {
        serve_read(service, request).await
    } else {
        serve_execution(service, request, body).await
    }
}
