//! The gateway's routes and life cycle.
//!
//! Routes:
//! - `POST /v1/chat/completions`, `POST /v1/completions`: [`crate::online`].
//! - `POST /v1/batches`, `GET /v1/batches/{id}`, `POST /v1/batches/{id}/cancel`,
//!   `GET /v1/batches/{id}/results`: [`crate::batch::api`].
//! - `/services/{service}/{path}`: [`crate::services`].
//! - `GET /ready`: 200 once a configuration is in force, for the platform's balancer.
//! - `GET /snapshot?prefix=`: this gateway's copy of `config/` or `members/`, for a peer
//!   that starts while the store is down.
//! - `GET /counters`: totals since start, as a JSON object.
//! - `GET /status`: the configuration revision in force and live hosts per deployment.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::Arc;
use std::time::Duration;

use actix_web::{web, HttpResponse};
use serde::Deserialize;
use tokio_util::sync::CancellationToken;

use foxwheel_core::telemetry::Counters;
use foxwheel_core::{http, keys};
use foxwheel_store::client::StoreClient;
use foxwheel_store::reflector::Reflector;

use crate::batch::{api, dispatch::Dispatcher};
use crate::config::{self, ConfigHandle};
use crate::control::{self, PollShape, Polling};
use crate::filters::{Admission, Filter, MatchRules};
use crate::hosts::{self, HostTable};
use crate::settings::GatewaySettings;
use crate::state::{GatewayState, WorkerState};
use crate::{online, services};

async fn status(state: web::Data<GatewayState>) -> HttpResponse {
    let config = state.config.current();
    let live: Vec<serde_json::Value> = config
        .deployments
        .iter()
        .map(|d| serde_json::json!({"deployment": d.name, "live_hosts": state.hosts.live_count(&d.name)}))
        .collect();
    HttpResponse::Ok().json(serde_json::json!({
        "gateway": state.settings.name,
        "config_revision": config.revision,
        "rules": config.rules.rules.len(),
        "deployments": live,
    }))
}

/// Ready once a configuration is in force; the platform's balancer asks this.
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
    let found = state.reflectors.iter().find(|r| r.prefix() == query.prefix);
    match found {
        Some(reflector) => HttpResponse::Ok().json(reflector.to_list_response()),
        None => HttpResponse::NotFound().body("no copy of this prefix"),
    }
}

async fn counters(state: web::Data<GatewayState>) -> HttpResponse {
    HttpResponse::Ok().json(state.counters.to_json())
}

/// Registers the gateway's routes.
pub fn routes(cfg: &mut web::ServiceConfig) {
    cfg.route("/v1/chat/completions", web::post().to(online::complete))
        .route("/v1/completions", web::post().to(online::complete))
        .route("/v1/batches", web::post().to(api::create))
        .route("/v1/batches/{id}", web::get().to(api::status))
        .route("/v1/batches/{id}/cancel", web::post().to(api::cancel))
        .route("/v1/batches/{id}/results", web::get().to(api::results))
        .route(
            "/services/{service}/{tail:.*}",
            web::route().to(services::call),
        )
        .route("/status", web::get().to(status))
        .route("/counters", web::get().to(counters))
        .route("/ready", web::get().to(ready))
        .route("/snapshot", web::get().to(snapshot));
}

/// A running gateway.
pub struct RunningGateway {
    /// The bound address.
    pub addr: SocketAddr,
    /// Resolves when the gateway has stopped.
    pub stopped: tokio::task::JoinHandle<()>,
}

/// Starts the gateway's controllers and server; when `cancel` fires, batch work is
/// committed and released, new connections are refused and requests in flight finish.
pub fn start(
    settings: GatewaySettings,
    cancel: CancellationToken,
) -> std::io::Result<RunningGateway> {
    let counters = Counters::new("gateway", settings.statsd_addr.as_deref())?;
    let config = ConfigHandle::default();
    let table = HostTable::new(settings.control_missed_polls);
    let controllers = CancellationToken::new();
    let reflector = |prefix| Reflector::new(prefix).with_peers(settings.peers.clone());
    let reflectors = [
        reflector(keys::CONFIG_PREFIX),
        reflector(keys::MEMBERS_PREFIX),
    ];
    actix_web::rt::spawn(config::run(
        config.clone(),
        reflectors[0].clone(),
        StoreClient::new(&settings.store_url),
        controllers.clone(),
    ));
    actix_web::rt::spawn(hosts::run(
        table.clone(),
        reflectors[1].clone(),
        StoreClient::new(&settings.store_url),
        controllers.clone(),
    ));
    let poll_shape = PollShape {
        interval: Duration::from_millis(settings.control_poll_ms),
        timeout: Duration::from_millis(settings.control_poll_timeout_ms),
    };
    let polling = Polling {
        table: table.clone(),
        config: config.clone(),
        shape: poll_shape,
        counters: counters.clone(),
    };
    actix_web::rt::spawn(control::run(polling, controllers.clone()));
    let dispatch_cancel = cancel.child_token();
    let dispatcher = actix_web::rt::spawn(
        Dispatcher::new(settings.clone(), table.clone(), counters.clone()).run(dispatch_cancel),
    );
    let chain: Vec<Box<dyn Filter>> = vec![
        Box::new(MatchRules),
        Box::new(Admission {
            online_in_flight: Arc::new(AtomicU32::new(0)),
            online_max_in_flight: settings.online_max_in_flight,
            retry_after_s: settings.retry_after_s,
        }),
    ];
    let store_url = settings.store_url.clone();
    let listen_addr = settings.listen_addr.clone();
    let state = web::Data::from(Arc::new(GatewayState {
        settings,
        config,
        hosts: table,
        reflectors,
        chain,
        counters,
    }));
    let server_cancel = CancellationToken::new();
    let (addr, server) = http::serve(
        &listen_addr,
        http::ServerOptions::default(),
        server_cancel.clone(),
        move || {
            actix_web::App::new()
                .app_data(state.clone())
                .app_data(web::Data::new(WorkerState {
                    http: awc::Client::builder().disable_timeout().finish(),
                    store: StoreClient::new(&store_url),
                }))
                .app_data(web::PayloadConfig::new(online::MAX_BODY_BYTES * 64))
                .configure(routes)
        },
    )?;
    let stopped = actix_web::rt::spawn(async move {
        let server_task = actix_web::rt::spawn(server);
        cancel.cancelled().await;
        log::info!("stopping: releasing batch work, finishing requests in flight");
        let _ = dispatcher.await;
        server_cancel.cancel();
        let _ = server_task.await;
        controllers.cancel();
        log::info!("stopped");
    });
    Ok(RunningGateway { addr, stopped })
}
