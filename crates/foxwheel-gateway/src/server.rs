//! The gateway's routes and life cycle.
//!
//! Routes:
//! - `POST /v1/chat/completions`, `POST /v1/completions`: [`crate::online`].
//! - `POST /v1/batches`, `GET /v1/batches/{id}`, `POST /v1/batches/{id}/cancel`,
//!   `GET /v1/batches/{id}/results`: [`crate::batch::api`].
//! - `/services/{service}/{path}`: [`crate::services`].
//! - `GET /ready`: 200 once a configuration is in force, for the platform's load balancer.
//! - `GET /snapshot?prefix=`: this gateway's copy of `config/` or `members/`, for a peer
//!   that starts while the store is down.
//! - `GET /counters`: totals since the start, as a JSON object.
//! - `GET /status`: the configuration revision in force and the live hosts per deployment.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::Arc;
use std::time::Duration;

use actix_web::{middleware, web, HttpResponse};
use foxwheel_caller_server::connections;
use foxwheel_caller_server::request_body::{self, MaxBodyBytes};
use serde::Deserialize;
use tokio_util::sync::CancellationToken;

use foxwheel_core::telemetry::Counters;
use foxwheel_core::{http, keys};
use foxwheel_http_client::client::HttpClient;
use foxwheel_store::client::StoreClient;
use foxwheel_store::reflector::Reflector;

use crate::batch::{api, dispatch::Dispatcher};
use crate::config::{self, ConfigHandle};
use crate::control::{self, PollContext, PollTiming};
use crate::filters::{Admission, Filter, MatchRules};
use crate::hosts::{self, HostTable};
use crate::settings::GatewaySettings;
use crate::state::{GatewayState, WorkerState};
use crate::{online, services};

async fn status(state: web::Data<GatewayState>) -> HttpResponse {
    let config = state.config.current();
    let deployments: Vec<serde_json::Value> = config
        .deployments
        .iter()
        .map(|d| serde_json::json!({"deployment": d.name, "live_hosts": state.hosts.live_count(&d.name)}))
        .collect();
    HttpResponse::Ok().json(serde_json::json!({
        "gateway": state.settings.name,
        "config_revision": config.revision,
        "rules": config.rules.rules.len(),
        "deployments": deployments,
    }))
}

/// Responds with 200 once a configuration is in force. The platform's load balancer polls this.
async fn ready(state: web::Data<GatewayState>) -> HttpResponse {
    if state.config.current().revision == 0 {
        return HttpResponse::ServiceUnavailable().body("no configuration in force yet");
    }
    HttpResponse::Ok().body("ready")
}

#[derive(Debug, Deserialize)]
struct SnapshotQuery {
    prefix: String,
}

async fn snapshot(
    state: web::Data<GatewayState>,
    query: web::Query<SnapshotQuery>,
) -> HttpResponse {
    let reflector = state.reflectors.iter().find(|r| r.prefix() == query.prefix);
    match reflector {
        Some(reflector) => HttpResponse::Ok().json(reflector.to_list_response()),
        None => HttpResponse::NotFound().body("no copy of this prefix"),
    }
}

async fn counters(state: web::Data<GatewayState>) -> HttpResponse {
    HttpResponse::Ok().json(state.counters.to_json())
}

/// Registers the gateway's routes.
pub fn configure_routes(cfg: &mut web::ServiceConfig, max_batch_bytes: usize) {
    cfg.route(
        "/v1/chat/completions",
        web::post().to(online::handle_completion),
    )
    .route("/v1/completions", web::post().to(online::handle_completion))
    .service(
        web::resource("/v1/batches")
            .app_data(web::Data::new(MaxBodyBytes(max_batch_bytes)))
            .route(web::post().to(api::create_job)),
    )
    .route("/v1/batches/{id}", web::get().to(api::job_status))
    .route("/v1/batches/{id}/cancel", web::post().to(api::cancel_job))
    .route(
        "/v1/batches/{id}/results",
        web::get().to(api::stream_results),
    )
    .route(
        "/services/{service}/{tail:.*}",
        web::route().to(services::forward_call),
    )
    .route("/status", web::get().to(status))
    .route("/counters", web::get().to(counters))
    .route("/ready", web::get().to(ready))
    .route("/snapshot", web::get().to(snapshot));
}

/// A running gateway.
pub struct RunningGateway {
    /// Address that the server is bound to.
    pub addr: SocketAddr,
    /// Resolves when the gateway has stopped.
    pub stopped: tokio::task::JoinHandle<()>,
}

/// Starts the gateway's controllers and its server. Once `cancel` is cancelled, the gateway commits
/// and releases its batch work, then accepts no new connections and finishes the requests in flight.
/// Returns an error if the address cannot be bound.
pub fn start(
    settings: GatewaySettings,
    cancel: CancellationToken,
) -> std::io::Result<RunningGateway> {
    let counters = Counters::new("gateway", settings.statsd_addr.as_deref())?;
    let config = ConfigHandle::default();
    let table = HostTable::new(settings.control_missed_polls);
    let controllers_cancel = CancellationToken::new();
    let reflector = |prefix| Reflector::new(prefix).with_peers(settings.peers.clone());
    let reflectors = [
        reflector(keys::CONFIG_PREFIX),
        reflector(keys::MEMBERS_PREFIX),
    ];
    actix_web::rt::spawn(config::run_controller(
        config.clone(),
        reflectors[0].clone(),
        StoreClient::new(&settings.store_url),
        controllers_cancel.clone(),
    ));
    actix_web::rt::spawn(hosts::run_controller(
        table.clone(),
        reflectors[1].clone(),
        StoreClient::new(&settings.store_url),
        controllers_cancel.clone(),
    ));
    let poll_timing = PollTiming {
        interval: Duration::from_millis(settings.control_poll_ms),
        timeout: Duration::from_millis(settings.control_poll_timeout_ms),
    };
    let poll_context = PollContext {
        table: table.clone(),
        config: config.clone(),
        timing: poll_timing,
        counters: counters.clone(),
    };
    actix_web::rt::spawn(control::run_pollers(
        poll_context,
        controllers_cancel.clone(),
    ));
    let dispatch_cancel = cancel.child_token();
    let dispatcher = actix_web::rt::spawn(
        Dispatcher::new(settings.clone(), table.clone(), counters.clone()).run(dispatch_cancel),
    );
    let filter_chain: Vec<Box<dyn Filter>> = vec![
        Box::new(MatchRules),
        Box::new(Admission {
            online_in_flight: Arc::new(AtomicU32::new(0)),
            online_max_in_flight: settings.online_max_in_flight,
            retry_after_s: settings.retry_after_s,
        }),
    ];
    let store_url = settings.store_url.clone();
    let host = settings.host_limits();
    let listener = connections::listen(&settings.listen_addr, host)?;
    let callers = connections::for_callers(host, counters.clone());
    let max_batch_bytes = settings.max_batch_bytes();
    let state = web::Data::from(Arc::new(GatewayState {
        settings,
        config,
        hosts: table,
        reflectors,
        filter_chain,
        counters,
    }));
    let server_cancel = CancellationToken::new();
    actix_web::rt::spawn(connections::close_slow_callers(
        Arc::clone(&callers),
        controllers_cancel.clone(),
    ));
    let server_options = connections::server_options(callers);
    let (addr, server) =
        http::serve_on(listener, server_options, server_cancel.clone(), move || {
            actix_web::App::new()
                .wrap(middleware::from_fn(connections::track_request))
                .app_data(state.clone())
                .app_data(web::Data::new(WorkerState {
                    http: HttpClient::default(),
                    store: StoreClient::new(&store_url),
                }))
                .app_data(web::Data::new(MaxBodyBytes(request_body::MAX_BODY_BYTES)))
                .configure(|cfg| configure_routes(cfg, max_batch_bytes))
        })?;
    let stopped = actix_web::rt::spawn(async move {
        let server_task = actix_web::rt::spawn(server);
        cancel.cancelled().await;
        log::info!("stopping: releasing batch work and finishing requests in flight");
        let _ = dispatcher.await;
        server_cancel.cancel();
        let _ = server_task.await;
        controllers_cancel.cancel();
        log::info!("stopped");
    });
    Ok(RunningGateway { addr, stopped })
}
