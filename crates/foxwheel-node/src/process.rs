//! Runs a front or worker from its start until it has stopped.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_core::structured_log;
use foxwheel_policy::stopping::StopPlan;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

use crate::node::Node;
use crate::settings::NodeSettings;
use crate::worker_jobs::WorkerJobs;
use crate::{caller_server, heartbeat, peer_server, status_server, store_watch, worker};

/// A worker stops this long before its stop grace period ends, even if runs are still in
/// progress, so that it has exited before the platform kills it.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Runs a front until `leaving` is cancelled, and then until its open connections have ended or
/// its stop grace period has passed. Returns an error if an address cannot be bound.
pub async fn run_front(settings: NodeSettings, leaving: CancellationToken) -> std::io::Result<()> {
    let node = Node::new(settings, leaving);
    let background = start_background(&node, None).await?;
    let settings = &node.settings;
    let caller_address = settings.caller_address.ok_or_else(|| {
        std::io::Error::other("setting `caller_address` is missing; a front needs it")
    })?;
    let listener = caller_server::listen(caller_address, settings.host_limits())?;
    let stop = caller_server::StopSignals::default();
    let mut server = caller_server::serve(Arc::clone(&node), listener, stop.clone());
    if let Some(addr) = settings.readiness_address {
        status_server::serve_readiness(Arc::clone(&node), addr).await?;
    }
    node.leaving.cancelled().await;
    let plan = StopPlan::new(Instant::now(), settings.stop_grace);
    tokio::time::sleep_until(plan.close_idle_at.into()).await;
    stop.close_idle.cancel();
    let stop_steps = async {
        tokio::time::sleep_until(plan.refuse_from.into()).await;
        stop.refuse_requests.cancel();
        tokio::time::sleep_until(plan.end_at.into()).await;
    };
    let in_time = tokio::select! {
        () = server.wait_until_stopped() => true,
        () = stop_steps => false,
    };
    log::info!(cut = server.open_connections(), in_time; "front stopped");
    background.cancel();
    structured_log::flush();
    Ok(())
}

/// Runs a worker until `leaving` is cancelled, and then until it has released its jobs or its stop
/// grace period has almost passed. Returns an error if an address cannot be bound.
pub async fn run_worker(settings: NodeSettings, leaving: CancellationToken) -> std::io::Result<()> {
    let node = Node::new(settings, leaving);
    let jobs = WorkerJobs::new(Arc::clone(&node));
    let background = start_background(&node, Some(Arc::clone(&jobs))).await?;
    let stopped = CancellationToken::new();
    let stop_timer = cancel_at_stop_deadline(Arc::clone(&node), stopped.clone());
    let stop_timer_task = tokio::spawn(stop_timer);
    worker::run(Arc::clone(&node), jobs, stopped).await;
    stop_timer_task.abort();
    log::info!(holds_jobs = node.has_owned_jobs(); "worker stopped");
    background.cancel();
    structured_log::flush();
    Ok(())
}

async fn cancel_at_stop_deadline(node: Arc<Node>, stopped: CancellationToken) {
    node.leaving.cancelled().await;
    let grace = node.settings.stop_grace.saturating_sub(STOP_MARGIN);
    tokio::time::sleep(grace).await;
    stopped.cancel();
}

/// Starts the tasks that fronts and workers have in common: peer server, metrics, heartbeats, and
/// watching the store. Cancelling the returned token stops them. Returns an error if an address
/// cannot be bound.
async fn start_background(
    node: &Arc<Node>,
    jobs: Option<Arc<WorkerJobs>>,
) -> std::io::Result<CancellationToken> {
    let settings = &node.settings;
    log::info!(role:? = settings.role, zone = settings.availability_zone, incarnation = node.incarnation, version = env!("CARGO_PKG_VERSION"); "process started");
    let cancel = CancellationToken::new();
    let peer_addr = settings.bind_address(settings.peer_ports.0);
    let socket = UdpSocket::bind(peer_addr).await?;
    peer_server::serve(Arc::clone(node), jobs, peer_addr, cancel.clone()).await?;
    if let Some(port) = settings.metrics_port {
        status_server::serve_metrics(Arc::clone(node), settings.bind_address(port)).await?;
    }
    tokio::spawn(heartbeat::run(Arc::clone(node), socket, cancel.clone()));
    tokio::spawn(store_watch::run(Arc::clone(node), cancel.clone()));
    tokio::spawn(log_reloads());
    Ok(cancel)
}

/// Logs each SIGHUP. A reload changes nothing: the settings consist of addresses that cannot change
/// while the process runs, and of seeds that only matter when it starts.
async fn log_reloads() {
    use tokio::signal::unix::{signal, SignalKind};
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(e) => {
            return log::warn!(error:% = e; "no handler for SIGHUP; reload requests are not logged")
        }
    };
    while hangups.recv().await.is_some() {
        log::info!(outcome = "kept"; "reload asked for");
    }
}
