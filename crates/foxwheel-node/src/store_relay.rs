//! Calls to the platform's store that go through a peer while the store turns this host
//! away.
//!
//! Load pattern: for seconds the store serves some hosts only. A submission that fails at
//! its first front comes again elsewhere, too late to count as accepted in time; a call
//! through a peer takes two hops within the data centre.

use std::net::SocketAddr;
use std::time::Instant;

use foxwheel_core::error::Origin;
use foxwheel_platform::store::{Object, StoreError, Write, WriteOutcome};

use crate::node::Node;
use crate::peer_calls::{PeerError, RelayedResult};
use crate::store_access::Backoff;

/// Peers asked for one call.
const MAX_PEERS: usize = 2;

/// Performs `write`, through a peer if this process's own calls fail and the peer's do not.
pub async fn write(node: &Node, write: &Write) -> Result<WriteOutcome, StoreError> {
    let mut last = None;
    for route in routes(node) {
        let tried = match route {
            Route::Own => node.store.write(write).await,
            Route::Peer(addr) => {
                let relayed = node.peer_calls.store_write(addr, write.clone()).await;
                settled(addr, relayed)
            }
        };
        match tried {
            Err(e) if e.is_not_done() => last = Some(e),
            settled => return settled,
        }
    }
    Err(last.unwrap_or_else(no_route))
}

/// Reads one object, through a peer if this process's own calls fail and the peer's do not.
pub async fn get(node: &Node, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
    let mut last = None;
    for route in routes(node) {
        let read = match route {
            Route::Own => node.store.get(kind, name).await,
            Route::Peer(addr) => {
                let relayed = node
                    .peer_calls
                    .store_get(addr, kind.to_owned(), name.to_owned());
                settled(addr, relayed.await)
            }
        };
        match read {
            Ok(object) => return Ok(object),
            Err(e) => last = Some(e),
        }
    }
    Err(last.unwrap_or_else(no_route))
}

/// Reads one object, again after failures, until `deadline`.
pub async fn get_with_retries(
    node: &Node,
    kind: &str,
    name: &str,
    deadline: Instant,
) -> Result<Option<Object>, StoreError> {
    let mut backoff = Backoff::default();
    loop {
        let got = get(node, kind, name).await;
        let pause = backoff.next_delay();
        if got.is_ok() || Instant::now() + pause >= deadline {
            return got;
        }
        node.store.wait_before_retry(pause).await;
    }
}

/// A way to the store.
enum Route {
    /// This process's own.
    Own,
    /// Through a peer.
    Peer(SocketAddr),
}

/// The ways to try, best first. While no peer reaches the store either, it is down and a
/// call through peers would only be refused several times.
fn routes(node: &Node) -> Vec<Route> {
    let now = Instant::now();
    let (mut heard, mut told) = node.peers.processes_reaching_store(now);
    for peers in [&mut heard, &mut told] {
        peers.retain(|addr| !node.peer_calls.has_failed_recently(*addr, now));
        let first = rand::random_range(0..peers.len().max(1));
        peers.rotate_left(first);
    }
    let peers = heard.into_iter().chain(told).take(MAX_PEERS);
    let mut routes: Vec<Route> = peers.map(Route::Peer).collect();
    let turned_away = node.store.failing_for(now).is_some();
    if !turned_away {
        routes.insert(0, Route::Own);
    } else if routes.is_empty() {
        routes.push(Route::Own);
    }
    routes
}

fn no_route() -> StoreError {
    StoreError::NotDone {
        origin: Origin::new("call the store", ""),
        reason: "no way to it".to_owned(),
    }
}

fn settled<T>(
    addr: SocketAddr,
    relayed: Result<RelayedResult<T>, PeerError>,
) -> Result<T, StoreError> {
    let origin = || Origin::new("call the store through a peer", addr.to_string());
    match relayed {
        Ok(RelayedResult::Settled(answer)) => Ok(answer),
        Ok(RelayedResult::NotDone(reason)) => Err(StoreError::NotDone {
            origin: origin(),
            reason,
        }),
        Ok(RelayedResult::Unknown(reason)) => Err(StoreError::Unknown {
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
