//! Fetches the configuration and the server list from other processes: from the store watchers
//! of the own zone, and from any process while the store is out of reach.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use foxwheel_core::ids::NodeId;
use foxwheel_policy::watcher_selection;

use crate::node::Node;
use crate::peer_calls::{StoreState, StoreStateVersion};
use crate::settings::Role;

/// Interval at which the state versions of the zone's store watchers are checked. Their
/// heartbeats trigger the check immediately; the interval covers a missed notification.
const SYNC_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// How long calls to the store must have failed before any peer is asked for its state.
const ANY_PEER_SYNC_DELAY: Duration = Duration::from_millis(600);

/// Interval at which peers are asked while the store is out of reach.
const ANY_PEER_SYNC_INTERVAL: Duration = Duration::from_millis(1_000);

/// Fetches the state of a store watcher of the zone whenever a heartbeat shows that it has newer
/// state. Never returns.
pub async fn sync_from_watchers(node: &Node) {
    loop {
        // After a timeout, newer state is looked for in the same way as after a notification.
        let _ =
            tokio::time::timeout(SYNC_CHECK_INTERVAL, node.newer_state_reported.notified()).await;
        let now = Instant::now();
        let known = node.state_version();
        for watcher in node.peers.store_watchers(now) {
            if !watcher.is_newer_than(known) {
                continue;
            }
            if sync_from_peer(node, &watcher.host, watcher.addr, known).await {
                break;
            }
        }
        tokio::time::sleep(watcher_selection::MIN_SYNC_DELAY).await;
    }
}

/// Fetches the state of any peer that has the store's current one, while the store is out of
/// reach and no other process watches it for the zone. Never returns.
pub async fn sync_from_any_peer(node: &Node) {
    loop {
        tokio::time::sleep(ANY_PEER_SYNC_INTERVAL).await;
        let now = Instant::now();
        let failing = node.store.failing_for(now);
        let is_cut_off = failing.is_some_and(|failing| failing >= ANY_PEER_SYNC_DELAY);
        if !is_cut_off || !node.should_watch_store(now) {
            continue;
        }
        for (host, addr) in peers_from_random_start(node, now) {
            if sync_from_peer(node, &host, addr, node.state_version()).await {
                break;
            }
        }
    }
}

/// Fetches and applies the state of one peer. Returns false if the peer did not respond or does
/// not have the store's current state itself.
async fn sync_from_peer(
    node: &Node,
    host: &NodeId,
    addr: SocketAddr,
    known: StoreStateVersion,
) -> bool {
    let state = match node.peer_calls.fetch_state(addr, known).await {
        Ok(state) => state,
        Err(e) => {
            log::info!(peer = host, error:% = e; "cannot fetch store state from peer");
            return false;
        }
    };
    if !state.is_current {
        return false;
    }
    apply_state(node, host, known, state);
    true
}

fn apply_state(node: &Node, host: &NodeId, known: StoreStateVersion, state: StoreState) {
    if let Some(config) = state.config {
        node.apply_config(config, "peer");
    }
    let now = Instant::now();
    let list_age = node.server_list_age(now);
    let mut directory = node.directory.lock().expect("directory lock");
    directory.record_confirmed(list_age.and_then(|age| now.checked_sub(age)));
    let is_applied = directory.apply_update(state.servers, known.servers_revision, now);
    if is_applied {
        node.server_list_replaced.notify_one();
        let revision = directory.revision();
        log::info!(peer = host, revision; "backend servers updated from a peer");
    }
}

/// Returns the live workers and then the live fronts, rotated to start at a random one.
fn peers_from_random_start(node: &Node, now: Instant) -> Vec<(NodeId, SocketAddr)> {
    let mut peers = node.peers.live_processes(Role::Worker, now);
    peers.extend(node.peers.live_processes(Role::Front, now));
    let first = rand::random_range(0..peers.len().max(1));
    peers.rotate_left(first);
    peers
}
