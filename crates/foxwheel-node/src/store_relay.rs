//! Calls to the platform's store through a peer while the store rejects the calls of this host.
//!
//! Load pattern: for seconds at a time, the store serves only some hosts. A job submission that
//! fails at one front is sent again to another one, too late to count as accepted in time. A
//! call through a peer costs only two hops within the data centre.

use std::net::SocketAddr;
use std::time::Instant;

use foxwheel_core::error::Origin;
use foxwheel_platform::store::{EncodedJson, Object, StoreError, Write, WriteOutcome};

use crate::node::Node;
use crate::peer_calls::{PeerError, RelayedResult};
use crate::store_access::Backoff;

/// Maximum number of peers tried for one call.
const MAX_PEERS: usize = 2;

/// Performs `write`, through a peer if this process's own calls fail and the peer's do not.
/// Tries the next route only after an error which shows that the write was not executed, and might
/// be there.
pub async fn write(node: &Node, write: &Write) -> Result<WriteOutcome, StoreError> {
    let mut last_error = None;
    for route in routes_to_try(node) {
        let tried = match route {
            Route::Direct => node.store.write(write).await,
            Route::ThroughPeer(addr) => {
                let relayed = node.peer_calls.store_write(addr, write.clone()).await;
                to_store_result(addr, relayed)
            }
        };
        match tried {
            // The rates are those of all hosts, so that a peer would be rejected as well.
            Err(e @ StoreError::RateLimited { .. }) if !node.store.is_in_doubt() => return Err(e),
            Err(e) if e.is_not_done() && e.may_succeed_later() => last_error = Some(e),
            settled => return settled,
        }
    }
    Err(last_error.unwrap_or_else(no_route_error))
}

/// Reads one object, through a peer if this process's own calls fail and the peer's do not.
/// Returns None if the object does not exist.
pub async fn get(node: &Node, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
    let mut last_error = None;
    for route in routes_to_try(node) {
        let read = match route {
            Route::Direct => node.store.get(kind, name).await,
            Route::ThroughPeer(addr) => {
                let relayed = node
                    .peer_calls
                    .store_get(addr, kind.to_owned(), name.to_owned());
                to_store_result(addr, relayed.await)
            }
        };
        match read {
            Ok(object) => return Ok(object),
            Err(e) => last_error = Some(e),
        }
    }
    Err(last_error.unwrap_or_else(no_route_error))
}

/// Reads one object like [`get`] and retries after errors until `deadline`. Returns the last
/// error if no attempt succeeded.
pub async fn get_with_retries(
    node: &Node,
    kind: &str,
    name: &str,
    deadline: Instant,
) -> Result<Option<Object>, StoreError> {
    let mut backoff = Backoff::default();
    loop {
        let got = get(node, kind, name).await;
        let delay = backoff.next_delay();
        if got.is_ok() || Instant::now() + delay >= deadline {
            return got;
        }
        node.store.wait_before_retry(delay).await;
    }
}

/// Creates an object, retrying after errors and lost responses until `deadline`.
///
/// Returns `None` if the last try created the object, otherwise the object that existed at that
/// time; an earlier try whose response was lost may have created it.
pub async fn create_with_retries(
    node: &Node,
    kind: &str,
    name: &str,
    spec: EncodedJson,
    deadline: Instant,
) -> Result<Option<Object>, StoreError> {
    let create = Write::Create {
        kind: kind.to_owned(),
        name: name.to_owned(),
        spec,
    };
    let mut backoff = Backoff::default();
    // Error of an earlier try whose response was lost. The store may still perform it.
    let mut unknown_outcome = None;
    loop {
        match write(node, &create).await {
            Ok(WriteOutcome::Done(_)) => return Ok(None),
            Ok(WriteOutcome::Conflict(Some(object))) if !object.spec.is_null() => {
                return Ok(Some(object))
            }
            Ok(WriteOutcome::Conflict(_) | WriteOutcome::Missing) => {
                if let Some(object) = get_with_retries(node, kind, name, deadline).await? {
                    return Ok(Some(object));
                }
            }
            Err(e) if !e.may_succeed_later() => return Err(e),
            Err(e) if Instant::now() >= deadline => return Err(unknown_outcome.unwrap_or(e)),
            // If the write was done after all, the next try reports a conflict.
            Err(e) => {
                if !e.is_not_done() {
                    unknown_outcome = Some(e);
                }
                node.store.wait_before_retry(backoff.next_delay()).await;
            }
        }
    }
}

/// A way to reach the store.
enum Route {
    /// A call from this process.
    Direct,
    /// A call by the peer at this address.
    ThroughPeer(SocketAddr),
}

/// Returns the routes to try, best first. If this process's own calls fail, its direct route is
/// tried only when no usable peer reaches the store: the store is then down, and calls through
/// peers would only be rejected several times.
fn routes_to_try(node: &Node) -> Vec<Route> {
    let now = Instant::now();
    let (mut received, mut summarized) = node.peers.processes_reaching_store(now);
    for peers in [&mut received, &mut summarized] {
        peers.retain(|addr| !node.peer_calls.has_failed_recently(*addr, now));
        let first = rand::random_range(0..peers.len().max(1));
        peers.rotate_left(first);
    }
    let peers = received.into_iter().chain(summarized).take(MAX_PEERS);
    let mut routes: Vec<Route> = peers.map(Route::ThroughPeer).collect();
    let is_failing = node.store.failing_for(now).is_some();
    if !is_failing {
        routes.insert(0, Route::Direct);
    } else if routes.is_empty() {
        routes.push(Route::Direct);
    }
    routes
}

fn no_route_error() -> StoreError {
    StoreError::NotDone {
        origin: Origin::new("call the store", ""),
        reason: "no way to it".to_owned(),
    }
}

fn to_store_result<T>(
    addr: SocketAddr,
    relayed: Result<RelayedResult<T>, PeerError>,
) -> Result<T, StoreError> {
    let origin = || Origin::new("call the store through a peer", addr.to_string());
    match relayed {
        Ok(RelayedResult::Done(response)) => Ok(response),
        Ok(RelayedResult::NotDone(reason)) => Err(StoreError::NotDone {
            origin: origin(),
            reason,
        }),
        Ok(RelayedResult::TooLarge) => Err(StoreError::TooLarge { origin: origin() }),
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
