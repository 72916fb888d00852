//! The agent's routes and its life cycle: start, serve, drain, stop.
//!
//! Routes:
//! - `POST /v1/chat/completions`, `POST /v1/completions`: queued by the `x-foxwheel-class`
//!   header (online when absent) and forwarded to the engine.
//! - `/services/{service}/{path}`: forwarded to the plain service as online work.
//! - `GET /load`: the queue's [`LoadReport`](foxwheel_core::protocol::LoadReport).
//! - `GET /counters`: totals since start, as a JSON object.
//! - `POST /drain`: stop taking new work and announce it in the membership record.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::{web, HttpRequest, HttpResponse};
use bytes::Bytes;
use tokio_util::sync::CancellationToken;

use foxwheel_control::server::{self as control, AgentHandle};
use foxwheel_core::declarations::{BackendKind, PriorityClass};
use foxwheel_core::http;
use foxwheel_core::protocol::CLASS_HEADER;
use foxwheel_core::telemetry::Counters;

use crate::gate::{self, Gate};
use crate::membership::{Advertised, Membership};
use crate::proxy;
use crate::queue::{Limits, Queue};
use crate::settings::AgentSettings;
use crate::state::{AgentState, Backend};

fn class_of(req: &HttpRequest) -> PriorityClass {
    req.headers()
        .get(CLASS_HEADER)
        .and_then(|v| v.to_str().ok())
        .and_then(PriorityClass::parse)
        .unwrap_or(PriorityClass::Online)
}

async fn complete(
    state: web::Data<AgentState>,
    client: web::Data<awc::Client>,
    req: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let class = class_of(&req);
    proxy::handle(&state, &client, &req, body, class).await
}

async fn service_call(
    state: web::Data<AgentState>,
    client: web::Data<awc::Client>,
    req: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let class = PriorityClass::Online;
    proxy::handle(&state, &client, &req, body, class).await
}

async fn load(state: web::Data<AgentState>) -> HttpResponse {
    HttpResponse::Ok().json(state.load())
}

async fn counters(state: web::Data<AgentState>) -> HttpResponse {
    HttpResponse::Ok().json(state.counters.to_json())
}

async fn drain(state: web::Data<AgentState>) -> HttpResponse {
    if !state.queue.is_draining() {
        log::info!("draining: taking no new work");
    }
    state.queue.drain();
    state.membership_nudge.notify_one();
    HttpResponse::Ok().json(state.queue.report())
}

/// A running agent.
pub struct RunningAgent {
    /// The bound data-path address.
    pub addr: SocketAddr,
    /// The bound control channel address.
    pub control_addr: SocketAddr,
    /// Resolves when the agent has stopped.
    pub stopped: tokio::task::JoinHandle<()>,
}

/// Starts the agent: membership lease, queue, server. When `cancel` fires it drains
/// (announces it, waits `drain_grace_ms` for gateways to notice), stops accepting, lets
/// requests in flight finish, and removes its membership record.
pub async fn start(
    settings: AgentSettings,
    cancel: CancellationToken,
) -> std::io::Result<RunningAgent> {
    let queue = Queue::new(Limits {
        max_running: settings.max_running,
        max_batch_running: settings.max_batch_running,
        max_waiting_online: settings.max_waiting_online,
        max_waiting_batch: settings.max_waiting_batch,
    });
    let nudge = Arc::new(tokio::sync::Notify::new());
    let state = Arc::new(AgentState {
        queue: queue.clone(),
        gate: Gate::default(),
        backend: Backend {
            base_url: settings.backend_url.trim_end_matches('/').to_owned(),
            timeout: Duration::from_millis(settings.request_timeout_ms),
        },
        membership_nudge: nudge.clone(),
        counters: Counters::new("agent", settings.statsd_addr.as_deref())?,
    });
    let server_cancel = CancellationToken::new();
    let control_cancel = CancellationToken::new();
    let served_state = web::Data::from(state.clone());
    let shape = http::ServerOptions::default();
    let (addr, server) = http::serve(
        &settings.listen_addr,
        shape,
        server_cancel.clone(),
        move || {
            actix_web::App::new()
                .app_data(served_state.clone())
                .app_data(web::Data::new(
                    awc::Client::builder().disable_timeout().finish(),
                ))
                .route("/v1/chat/completions", web::post().to(complete))
                .route("/v1/completions", web::post().to(complete))
                .route("/services/{tail:.*}", web::route().to(service_call))
                .route("/load", web::get().to(load))
                .route("/counters", web::get().to(counters))
                .route("/drain", web::post().to(drain))
        },
    )?;
    let control_listen = settings
        .control_addr
        .clone()
        .unwrap_or_else(|| SocketAddr::new(addr.ip(), 0).to_string());
    let control_addr =
        control::serve(&control_listen, state.clone(), control_cancel.clone()).await?;
    let advertised = Advertised {
        agent_addr: settings
            .advertise_addr
            .clone()
            .unwrap_or_else(|| addr.to_string()),
        control_addr: control_addr.to_string(),
    };
    let membership = Membership::new(&settings, advertised, queue.clone(), nudge);
    if settings.backend == BackendKind::Model {
        let engine_url = state.backend.base_url.clone();
        let gate = gate::run(
            state.gate.clone(),
            queue.clone(),
            engine_url,
            control_cancel.clone(),
        );
        actix_web::rt::spawn(gate);
    }
    let heartbeat_cancel = CancellationToken::new();
    actix_web::rt::spawn(membership.clone().run(heartbeat_cancel.clone()));
    let grace = Duration::from_millis(settings.drain_grace_ms);
    let stopped = actix_web::rt::spawn(async move {
        let server_task = actix_web::rt::spawn(server);
        cancel.cancelled().await;
        log::info!("stopping: draining for {} ms", grace.as_millis());
        queue.drain();
        membership.nudge();
        tokio::time::sleep(grace).await;
        server_cancel.cancel();
        let _ = server_task.await;
        heartbeat_cancel.cancel();
        membership.leave().await;
        control_cancel.cancel();
        log::info!("stopped");
    });
    Ok(RunningAgent {
        addr,
        control_addr,
        stopped,
    })
}
