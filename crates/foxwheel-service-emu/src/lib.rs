//! A stand-in for plain services such as yardbook (order tracking) and emite-cartao (card
//! issuing).
//!
//! `GET` on any path answers a small JSON record. `POST` on any path is an execution: it is
//! recorded with its `Idempotency-Key` header, so that tests can count how often each
//! non-idempotent call ran. `GET /_emu/executions` lists the counts.

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
    /// The service's name, e.g. `yardbook`.
    pub service: String,
    /// Time each call takes, in milliseconds.
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

/// How often one (path, key) pair was executed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionCount {
    /// The path posted to.
    pub path: String,
    /// The `Idempotency-Key` sent, or empty.
    pub idempotency_key: String,
    /// Executions seen.
    pub count: u64,
}

/// The service's state: executions by (path, key).
#[derive(Debug, Default)]
pub struct Service {
    name: String,
    delay: Duration,
    executions: Mutex<BTreeMap<(String, String), u64>>,
}

async fn record_execution(
    service: web::Data<Service>,
    req: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    tokio::time::sleep(service.delay).await;
    let key = req
        .headers()
        .get(IDEMPOTENCY_KEY_HEADER)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let path = req.path().to_owned();
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

async fn read(service: web::Data<Service>, req: HttpRequest) -> HttpResponse {
    tokio::time::sleep(service.delay).await;
    HttpResponse::Ok().json(serde_json::json!({
        "service": service.name,
        "path": req.path(),
        "status": "ok",
    }))
}

async fn executions(service: web::Data<Service>) -> HttpResponse {
    let list: Vec<ExecutionCount> = service
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
    HttpResponse::Ok().json(list)
}

/// Starts the service; it stops gracefully when `cancel` fires. Returns the bound address.
pub fn start(
    settings: &ServiceSettings,
    cancel: CancellationToken,
) -> std::io::Result<(SocketAddr, actix_web::dev::Server)> {
    let service = web::Data::from(Arc::new(Service {
        name: settings.service.clone(),
        delay: Duration::from_millis(settings.delay_ms),
        executions: Mutex::default(),
    }));
    let shape = ServerOptions {
        shutdown_timeout: Duration::from_secs(10),
        ..ServerOptions::default()
    };
    http::serve(&settings.listen_addr, shape, cancel, move || {
        actix_web::App::new()
            .app_data(service.clone())
            .route("/_emu/executions", web::get().to(executions))
            .default_service(web::route().to(dispatch))
    })
}

async fn dispatch(service: web::Data<Service>, req: HttpRequest, body: web::Bytes) -> HttpResponse {
    if req.method() == actix_web::http::Method::GET {
        read(service, req).await
    } else {
        record_execution(service, req, body).await
    }
}
