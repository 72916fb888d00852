//! HTTP routes of the agent and its life cycle: start, serve, drain and stop.
//!
//! Routes:
//! - `POST /v1/chat/completions`, `POST /v1/completions`: queued with the priority class of the
//!   `x-foxwheel-class` header (online when absent) and forwarded to the engine.
//! - `/services/{service}/{path}`: queued as an online request and forwarded to the plain service.
//! - `GET /load`: returns the current [`LoadReport`](foxwheel_core::protocol::LoadReport).
//! - `GET /counters`: returns the counters since the start of the process, as a JSON object.
//! - `POST /drain`: refuses new requests from now on and announces this in the membership record.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::{middleware, web, HttpRequest, HttpResponse};
use foxwheel_caller_server::connections;
use foxwheel_caller_server::request_body::{self, MaxBodyBytes, RequestBody};
use tokio_util::sync::CancellationToken;

use foxwheel_control::server::{self as control, AgentHandle};
use foxwheel_core::declarations::{BackendKind, PriorityClass};
use foxwheel_core::http;
use foxwheel_core::protocol::CLASS_HEADER;
use foxwheel_core::telemetry::Counters;
use foxwheel_http_client::client::HttpClient;

use crate::gate::{self, Gate};
use crate::membership::{AdvertisedAddrs, Membership};
use crate::proxy;
use crate::queue::{Limits, Queue};
use crate::settings::AgentSettings;
use crate::state::{AgentState, Backend};

fn read_priority_class(req: &HttpRequest) -> PriorityClass {
    req.headers()
        .get(CLASS_HEADER)
        .and_then(|v| v.to_str().ok())
        .and_then(PriorityClass::parse)
        .unwrap_or(PriorityClass::Online)
}

async fn handle_completion(
    state: web::Data<AgentState>,
    client: web::Data<HttpClient>,
    req: HttpRequest,
    body: RequestBody,
) -> HttpResponse {
    let class = read_priority_class(&req);
    proxy::forward_request(&state, &client, &req, body.bytes, class).await
}

async fn handle_service_call(
    state: web::Data<AgentState>,
    client: web::Data<HttpClient>,
    req: HttpRequest,
    body: RequestBody,
) -> HttpResponse {
    let class = PriorityClass::Online;
    proxy::forward_request(&state, &client, &req, body.bytes, class).await
}

async fn get_load(state: web::Data<AgentState>) -> HttpResponse {
    HttpResponse::Ok().json(state.load())
}

async fn get_counters(state: web::Data<AgentState>) -> HttpResponse {
    HttpResponse::Ok().json(state.counters.to_json())
}

async fn start_draining(state: web::Data<AgentState>) -> HttpResponse {
    if !state.queue.is_draining() {
        log::info!("draining: new requests are refused");
    }
    state.queue.start_draining();
    state.renewal_requested.notify_one();
    HttpResponse::Ok().json(state.queue.load_report())
}

/// Addresses and task of a running agent.
pub struct RunningAgent {
    /// Bound address of the HTTP server.
    pub addr: SocketAddr,
    /// Bound address of the control channel.
    pub control_addr: SocketAddr,
    /// Task that ends when the agent has stopped.
    pub stopped: tokio::task::JoinHandle<()>,
}

/// Starts the agent: its queue, HTTP server, control channel, membership lease and, for a model
/// engine, the batch gate.
///
/// When `cancel` is cancelled, the agent announces that it is draining and keeps serving for
/// `drain_grace_ms`, so that gateways notice it. Then it stops accepting connections, completes
/// the requests in flight and removes its membership record.
///
/// Returns an error if an address cannot be bound or the statsd client cannot be set up.
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
    let renewal_requested = Arc::new(tokio::sync::Notify::new());
    let state = Arc::new(AgentState {
        queue: queue.clone(),
        gate: Gate::default(),
        backend: Backend {
            base_url: settings.backend_url.trim_end_matches('/').to_owned(),
            timeout: Duration::from_millis(settings.request_timeout_ms),
        },
        renewal_requested: renewal_requested.clone(),
        counters: Counters::new("agent", settings.statsd_addr.as_deref())?,
    });
    let server_cancel = CancellationToken::new();
    let control_cancel = CancellationToken::new();
    let handler_state = web::Data::from(state.clone());
    let host = settings.host_limits();
    let callers = connections::for_callers(host, state.counters.clone());
    actix_web::rt::spawn(connections::close_slow_callers(
        Arc::clone(&callers),
        control_cancel.clone(),
    ));
    let server_options = http::ServerOptions {
        // A gateway that leaves a request frees its slot, even if the backend is silent.
        allows_half_closed: false,
        ..connections::server_options(callers)
    };
    let (addr, server) = http::serve_on(
        connections::listen(&settings.listen_addr, host)?,
        server_options,
        server_cancel.clone(),
        move || {
            actix_web::App::new()
                .wrap(middleware::from_fn(connections::track_request))
                .app_data(web::Data::new(MaxBodyBytes(request_body::MAX_BODY_BYTES)))
                .app_data(handler_state.clone())
                .app_data(web::Data::new(HttpClient::default()))
                .route("/v1/chat/completions", web::post().to(handle_completion))
                .route("/v1/completions", web::post().to(handle_completion))
                .route("/services/{tail:.*}", web::route().to(handle_service_call))
                .route("/load", web::get().to(get_load))
                .route("/counters", web::get().to(get_counters))
                .route("/drain", web::post().to(start_draining))
        },
    )?;
    let control_listen_addr = settings
        .control_addr
        .clone()
        .unwrap_or_else(|| SocketAddr::new(addr.ip(), 0).to_string());
    let control_addr = control::serve(
        &control_listen_addr,
        state.clone(),
        connections::new_connections(host.for_peers(), state.counters.clone()),
        control_cancel.clone(),
    )
    .await?;
    let advertised_addrs = AdvertisedAddrs {
        agent_addr: settings
            .advertise_addr
            .clone()
            .unwrap_or_else(|| addr.to_string()),
        control_addr: control_addr.to_string(),
    };
    let membership = Membership::new(
        &settings,
        advertised_addrs,
        queue.clone(),
        renewal_requested,
    );
    if settings.backend == BackendKind::Model {
        let engine_url = state.backend.base_url.clone();
        let gate_controller = gate::run_controller(
            state.gate.clone(),
            queue.clone(),
            engine_url,
            control_cancel.clone(),
        );
        actix_web::rt::spawn(gate_controller);
    }
    let renewal_cancel = CancellationToken::new();
    actix_web::rt::spawn(membership.clone().run(renewal_cancel.clone()));
    let drain_grace = Duration::from_millis(settings.drain_grace_ms);
    let stopped = actix_web::rt::spawn(async move {
        let server_task = actix_web::rt::spawn(server);
        cancel.cancelled().await;
        log::info!("stopping: draining for {} ms", drain_grace.as_millis());
        queue.start_draining();
        membership.request_renewal();
        tokio::time::sleep(drain_grace).await;
        server_cancel.cancel();
        let _ = server_task.await;
        renewal_cancel.cancel();
        membership.remove_record().await;
        control_cancel.cancel();
        log::info!("stopped");
    });
    Ok(RunningAgent {
        addr,
        control_addr,
        stopped,
    })
}
