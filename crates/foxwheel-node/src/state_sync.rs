//! Taking the configuration and the servers from other processes: from those that follow the
//! store for the zone, and from any while the store is out of reach.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use foxwheel_core::ids::NodeId;

use crate::node::Node;
use crate::peer_calls::{StoreState, StoreStateVersion};
use crate::settings::Role;

/// How often a process looks whether those that follow for the zone know more, in case the
/// wake-up by their heartbeats was missed.
const LOOK_EVERY: Duration = Duration::from_millis(300);

/// Least time between two questions of one process: changes come several at a time.
const ASK_PAUSE: Duration = Duration::from_millis(20);

/// How long the store may fail before any peer is asked for what it knows.
const ASK_PEERS_AFTER: Duration = Duration::from_millis(600);

/// Time between questions to peers while the store is out of reach.
const ASK_PEERS_EVERY: Duration = Duration::from_millis(1_000);

/// Asks a process that follows the store for the zone, as soon as its heartbeat tells of
/// something newer.
pub async fn run(node: &Node) {
    loop {
        // Both mean that there may be news.
        let _ = tokio::time::timeout(LOOK_EVERY, node.watcher_update.notified()).await;
        let now = Instant::now();
        let known = node.state_version();
        for follower in node.peers.store_watchers(now) {
            if !follower.is_newer_than(known) {
                continue;
            }
            if ask(node, &follower.host, follower.addr, known).await {
                break;
            }
        }
        tokio::time::sleep(ASK_PAUSE).await;
    }
}

/// While the store is out of reach and nobody follows it for the zone, takes what any peer
/// knows that is told of its changes.
pub async fn ask_peers(node: &Node) {
    loop {
        tokio::time::sleep(ASK_PEERS_EVERY).await;
        let now = Instant::now();
        let failing = node.store.failing_for(now);
        let is_cut_off = failing.is_some_and(|failing| failing >= ASK_PEERS_AFTER);
        if !is_cut_off || !node.should_watch_store(now) {
            continue;
        }
        for (host, addr) in peers_in_turn(node, now) {
            if ask(node, &host, addr, node.state_version()).await {
                break;
            }
        }
    }
}

/// Asks a peer and takes what it knows; answers whether the peer knew the store's state.
async fn ask(node: &Node, host: &NodeId, addr: SocketAddr, known: StoreStateVersion) -> bool {
    let knowledge = match node.peer_calls.fetch_state(addr, known).await {
        Ok(knowledge) => knowledge,
        Err(e) => {
            log::info!(peer = host, error:% = e; "peer did not tell what it knows");
            return false;
        }
    };
    if !knowledge.is_current {
        return false;
    }
    take(node, host, known, knowledge);
    true
}

fn take(node: &Node, host: &NodeId, known: StoreStateVersion, knowledge: StoreState) {
    if let Some(config) = knowledge.config {
        node.apply_config(config, "peer");
    }
    let mut directory = node.directory.lock().expect("directory lock");
    let taken = directory.apply_update(knowledge.servers, known.servers_revision, Instant::now());
    if taken {
        let revision = directory.revision();
        log::info!(peer = host, revision; "backend servers taken from a peer");
    }
}

fn peers_in_turn(node: &Node, now: Instant) -> Vec<(NodeId, SocketAddr)> {
    let mut peers = node.peers.live_processes(Role::Worker, now);
    peers.extend(node.peers.live_processes(Role::Front, now));
    let first = rand::random_range(0..peers.len().max(1));
    peers.rotate_left(first);
    peers
}
