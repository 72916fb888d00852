//! A process from start to stop.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_core::structured_log;
use foxwheel_policy::stopping::StopPlan;
use tokio::net::{TcpListener, UdpSocket};
use tokio_util::sync::CancellationToken;

use crate::node::Node;
use crate::settings::NodeSettings;
use crate::worker_jobs::WorkerJobs;
use crate::{front, heartbeat, peer_server, store_watch, worker};

/// Left of a worker's time to stop when it ends, whatever it still runs: it must be gone
/// before it is killed.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Runs a front until it is told to stop (`leaving`) and its exchanges have ended.
pub async fn run_front(settings: NodeSettings, leaving: CancellationToken) -> std::io::Result<()> {
    let node = Node::new(settings, leaving);
    let background = start_background(&node, None).await?;
    let settings = &node.settings;
    let caller_address = settings
        .caller_address
        .ok_or_else(|| std::io::Error::other("a front needs a caller address"))?;
    let listener = TcpListener::bind(caller_address).await?;
    let stop = front::StopSignals::default();
    let mut serving = front::serve(Arc::clone(&node), listener, stop.clone());
    if let Some(addr) = settings.readiness_address {
        front::serve_readiness(Arc::clone(&node), addr).await?;
    }
    node.leaving.cancelled().await;
    let plan = StopPlan::new(Instant::now(), settings.stop_grace);
    tokio::time::sleep_until(plan.close_idle_at.into()).await;
    stop.close_idle.cancel();
    let refusing = async {
        tokio::time::sleep_until(plan.refuse_from.into()).await;
        stop.refuse.cancel();
        tokio::time::sleep_until(plan.end_at.into()).await;
    };
    let in_time = tokio::select! {
        () = serving.end() => true,
        () = refusing => false,
    };
    log::info!(cut = serving.open(), in_time; "front stopped");
    background.cancel();
    structured_log::flush();
    Ok(())
}

/// Runs a worker until it is told to stop (`leaving`) and has given its jobs back.
pub async fn run_worker(settings: NodeSettings, leaving: CancellationToken) -> std::io::Result<()> {
    let node = Node::new(settings, leaving);
    let jobs = WorkerJobs::new(Arc::clone(&node));
    let background = start_background(&node, Some(Arc::clone(&jobs))).await?;
    let stopped = CancellationToken::new();
    let stop_by = stop_deadline(Arc::clone(&node), stopped.clone());
    let deadline = tokio::spawn(stop_by);
    worker::run(Arc::clone(&node), jobs, stopped).await;
    deadline.abort();
    log::info!(holds_jobs = node.has_owned_jobs(); "worker stopped");
    background.cancel();
    structured_log::flush();
    Ok(())
}

async fn stop_deadline(node: Arc<Node>, stopped: CancellationToken) {
    node.leaving.cancelled().await;
    let grace = node.settings.stop_grace.saturating_sub(STOP_MARGIN);
    tokio::time::sleep(grace).await;
    stopped.cancel();
}

/// Starts what every process does beside its work. Cancelling the answered token stops it.
async fn start_background(
    node: &Arc<Node>,
    jobs: Option<Arc<WorkerJobs>>,
) -> std::io::Result<CancellationToken> {
    let settings = &node.settings;
    log::info!(role:? = settings.role, zone = settings.availability_zone, incarnation = node.incarnation, version = env!("CARGO_PKG_VERSION"); "process started");
    let cancel = CancellationToken::new();
    let addr = settings.bind_address(settings.peer_ports.0);
    let socket = UdpSocket::bind(addr).await?;
    peer_server::serve(Arc::clone(node), jobs, addr, cancel.clone()).await?;
    if let Some(port) = settings.metrics_port {
        front::serve_metrics(Arc::clone(node), settings.bind_address(port)).await?;
    }
    tokio::spawn(heartbeat::run(Arc::clone(node), socket, cancel.clone()));
    tokio::spawn(store_watch::run(Arc::clone(node), cancel.clone()));
    tokio::spawn(log_reloads());
    Ok(cancel)
}

/// Notes each SIGHUP. Settings name addresses that cannot change while the process lives,
/// and seeds that only matter at its start, so nothing else follows.
async fn log_reloads() {
    use tokio::signal::unix::{signal, SignalKind};
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(e) => return log::warn!(error:% = e; "SIGHUP not handled"),
    };
    while hangups.recv().await.is_some() {
        log::info!(outcome = "kept"; "reload asked for");
    }
}
