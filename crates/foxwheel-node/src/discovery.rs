//! Where the other processes are: each announces itself once in the platform's store and
//! reads the others' entries.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use foxwheel_platform::store::{EncodedJson, Object, Write, WriteOutcome};

use crate::node::Node;
use crate::peer_messages::PeerEndpoint;
use crate::store_access::Backoff;

/// How often the other processes' entries are read again.
const FIND_PROCESSES_EVERY: Duration = Duration::from_secs(45);

/// Kind of the entries with which processes announce themselves.
const NODES_KIND: &str = "foxwheel-nodes";

/// Reads where the other processes are. A process that starts later is heard by its
/// heartbeats, so this is a start and a remedy, not a watch: a watch would wake every
/// process for each one that starts.
pub async fn discover_processes(node: &Node) {
    let mut backoff = Backoff::default();
    loop {
        match node.store.list(NODES_KIND).await {
            Ok(listing) => {
                for object in &listing.objects {
                    note_process(node, object);
                }
                backoff = Backoff::default();
                tokio::time::sleep(FIND_PROCESSES_EVERY).await;
            }
            Err(_) => node.store.wait_before_retry(backoff.next_delay()).await,
        }
    }
}

fn note_process(node: &Node, object: &Object) {
    let own = node.settings.peer_address();
    match serde_json::from_value::<PeerEndpoint>(object.spec.clone()) {
        Ok(contact) if contact.addr != own => node.peers.add_endpoint(&contact, Instant::now()),
        Ok(_) => {}
        Err(e) => log::warn!(host = object.name, error:% = e; "process entry not readable"),
    }
}

/// Announces this process once, so that the others send it heartbeats.
pub async fn announce_process(node: &Node) {
    let own = node.settings.peer_address();
    for seed in &node.settings.seeds {
        let addr = SocketAddr::new(seed.ip(), own.port());
        node.peers.add_address(addr, own, Instant::now());
    }
    let spec: EncodedJson = serde_json::json!(node.contact()).to_string();
    let kind = NODES_KIND.to_owned();
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
        let stands = |object: &Object| object.spec == serde_json::json!(node.contact());
        let written = match node.store.write(&create).await {
            // It started before: the entry need not be written again.
            Ok(WriteOutcome::Conflict(Some(object))) if stands(&object) => {
                Ok(WriteOutcome::Done(object))
            }
            Ok(WriteOutcome::Conflict(_)) => node.store.write(&replace).await,
            other => other,
        };
        match written {
            Ok(WriteOutcome::Done(_)) => return log::info!(addr:% = own; "process announced"),
            Ok(_) | Err(_) => node.store.wait_before_retry(backoff.next_delay()).await,
        }
    }
}
