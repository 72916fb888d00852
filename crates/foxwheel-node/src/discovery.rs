//! Discovery of other processes: each process writes its address to the platform's store once
//! and reads the entries of the others.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use foxwheel_platform::store::{EncodedJson, Object, Write, WriteOutcome};

use crate::node::Node;
use crate::peer_messages::PeerEndpoint;
use crate::store_access::Backoff;

/// Interval at which the entries of the other processes are read.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(45);

/// Store kind of the entries that announce processes.
const PROCESS_ENTRY_KIND: &str = "foxwheel-nodes";

/// Reads the addresses of the other processes repeatedly and never returns.
///
/// Processes that start later become known through their heartbeats, so the list serves only
/// for the start and for repair. It is polled rather than watched, because a watch would wake
/// every process whenever one starts.
pub async fn discover_processes(node: &Node) {
    let mut backoff = Backoff::default();
    loop {
        match node.store.list(PROCESS_ENTRY_KIND).await {
            Ok(listing) => {
                for object in &listing.objects {
                    record_process(node, object);
                }
                backoff = Backoff::default();
                tokio::time::sleep(DISCOVERY_INTERVAL).await;
            }
            Err(_) => node.store.wait_before_retry(backoff.next_delay()).await,
        }
    }
}

fn record_process(node: &Node, object: &Object) {
    let own_addr = node.settings.peer_address();
    match serde_json::from_value::<PeerEndpoint>(object.spec.clone()) {
        Ok(endpoint) if endpoint.addr != own_addr => {
            node.peers.add_endpoint(&endpoint, Instant::now())
        }
        Ok(_) => {}
        Err(e) => log::warn!(host = object.name, error:% = e; "cannot decode process entry"),
    }
}

/// Writes this process's entry to the store, so that the other processes send it heartbeats.
/// Retries until the write succeeds.
pub async fn announce_process(node: &Node) {
    let own_addr = node.settings.peer_address();
    for seed in &node.settings.seeds {
        let addr = SocketAddr::new(seed.ip(), own_addr.port());
        node.peers.add_address(addr, own_addr, Instant::now());
    }
    let spec: EncodedJson = serde_json::json!(node.endpoint()).to_string();
    let kind = PROCESS_ENTRY_KIND.to_owned();
    let name = node.settings.host.clone();
    let create = Write::Create {
        kind: kind.clone(),
        name: name.clone(),
        spec: spec.clone(),
    };
    let replace = Write::Replace {
        kind,
        name,
        spec,
        revision: None,
    };
    let mut backoff = Backoff::default();
    loop {
        let is_unchanged = |object: &Object| object.spec == serde_json::json!(node.endpoint());
        let written = match node.store.write(&create).await {
            // An earlier start of this process has already written the same entry.
            Ok(WriteOutcome::Conflict(Some(object))) if is_unchanged(&object) => {
                Ok(WriteOutcome::Done(object))
            }
            Ok(WriteOutcome::Conflict(_)) => node.store.write(&replace).await,
            other => other,
        };
        match written {
            Ok(WriteOutcome::Done(_)) => return log::info!(addr:% = own_addr; "process announced"),
            Ok(_) | Err(_) => node.store.wait_before_retry(backoff.next_delay()).await,
        }
    }
}
