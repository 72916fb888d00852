//! Calls to the platform's store that go through a peer while the store turns this host
//! away.
//!
//! Load pattern: for seconds the store serves some hosts only. A submission that fails at
//! its first front comes again elsewhere, too late to count as accepted in time; a call
//! through a peer takes two hops within the data centre.

use std::time::{Duration, Instant};

use foxwheel_core::error::Origin;
use foxwheel_platform::store::{Object, StoreError, Write, Written};

use crate::node::Node;
use crate::peer_calls::{PeerError, Relayed};
use crate::settings::Role;
use crate::store_access::Backoff;

/// Peers asked for one call.
const MAX_PEERS: usize = 2;

/// Performs `write`, through a peer if this process's own calls fail.
pub async fn write(node: &Node, write: &Write) -> Result<Written, StoreError> {
    let direct = match is_turned_away(node) {
        true => None,
        false => Some(node.store.write(write).await),
    };
    match direct {
        Some(Err(e)) if e.is_not_done() => {}
        Some(settled) => return settled,
        None => {}
    }
    for addr in peers(node) {
        let relayed = node.peer_calls.store_write(addr, write.clone()).await;
        match settled(addr, relayed) {
            Err(e) if e.is_not_done() => {}
            settled => return settled,
        }
    }
    // No peer could: the own path may have come back.
    node.store.write(write).await
}

/// Reads one object, through a peer if this process's own calls fail.
pub async fn get(node: &Node, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
    if !is_turned_away(node) {
        let direct = node.store.get(kind, name).await;
        if direct.is_ok() {
            return direct;
        }
    }
    for addr in peers(node) {
        let read = node
            .peer_calls
            .store_get(addr, kind.to_owned(), name.to_owned());
        if let Ok(object) = settled(addr, read.await) {
            return Ok(object);
        }
    }
    node.store.get(kind, name).await
}

/// Reads one object, again after failures, until `deadline`.
pub async fn get_until(
    node: &Node,
    kind: &str,
    name: &str,
    deadline: Instant,
) -> Result<Option<Object>, StoreError> {
    let mut backoff = Backoff::default();
    loop {
        let got = get(node, kind, name).await;
        let pause = backoff.pause();
        if got.is_ok() || Instant::now() + pause >= deadline {
            return got;
        }
        tokio::time::sleep(pause).await;
    }
}

/// Whether this process's last calls failed. The followers go on trying, so the answer
/// changes soon after the store is back.
fn is_turned_away(node: &Node) -> bool {
    node.store
        .failing_for(Instant::now())
        .is_some_and(|failing| failing > Duration::ZERO)
}

/// Live peers in a random order, workers among them.
fn peers(node: &Node) -> Vec<std::net::SocketAddr> {
    let now = Instant::now();
    let mut peers = node.peers.live(Role::Worker, now);
    peers.extend(node.peers.live(Role::Front, now));
    let first = rand::random_range(0..peers.len().max(1));
    peers.rotate_left(first);
    peers.truncate(MAX_PEERS);
    peers.into_iter().map(|(_, addr)| addr).collect()
}

fn settled<T>(
    addr: std::net::SocketAddr,
    relayed: Result<Relayed<T>, PeerError>,
) -> Result<T, StoreError> {
    let origin = || Origin::new("call the store through a peer", addr.to_string());
    match relayed {
        Ok(Relayed::Settled(answer)) => Ok(answer),
        Ok(Relayed::NotDone(reason)) => Err(StoreError::NotDone {
            origin: origin(),
            reason,
        }),
        Ok(Relayed::Unknown(reason)) => Err(StoreError::Unknown {
            origin: origin(),
            reason,
        }),
        Err(e) if e.is_not_sent() => Err(StoreError::NotDone {
            origin: origin(),
            reason: e.to_string(),
        }),
        Err(e) => Err(StoreError::Unknown {
            origin: origin(),
            reason: e.to_string(),
        }),
    }
}
