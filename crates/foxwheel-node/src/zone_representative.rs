//! The duties of a process that others of its zone selected as a representative: it reports the
//! load of its zone's servers to other zones and forwards their summaries within its zone. The
//! secondary representative does the same for processes and zones that the primary one cannot
//! reach because a network path to it is cut.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use foxwheel_core::ids::{NodeId, Zone};
use foxwheel_policy::membership::ServerState;
use foxwheel_policy::representatives::Rank;
use foxwheel_policy::zone_loads;

use crate::datagram_sender::DatagramSender;
use crate::node::Node;
use crate::peer_messages::{CrossZoneLoads, PeerEndpoint, PeerMessage, WorkerSummary, ZoneSummary};
use crate::settings::Role;

/// Sends a summary of this zone to the representatives of every other zone.
pub async fn send_summary(datagrams: &DatagramSender, node: &Node, sequence: u64, now: Instant) {
    let recipients_by_zone = node.peers.other_zone_recipients(now);
    if recipients_by_zone.is_empty() {
        return;
    }
    let mut summary = build_summary(node, sequence, now);
    for (zone, addresses) in recipients_by_zone {
        summary.servers = server_loads_for(node, &zone, now);
        let message = PeerMessage::Summary(summary.clone());
        datagrams.send(&message, &addresses).await;
    }
}

/// Requests a summary from the processes of each other zone of which no recent summary is known:
/// the paths from that zone to this zone's representatives may be cut, or those representatives
/// may be dead.
///
/// The request prevents this fault: a front that knew no workers of other zones had no process to
/// send its accepted jobs to, and the jobs began seconds late.
pub async fn request_missing_summaries(datagrams: &DatagramSender, node: &Node, now: Instant) {
    let message = PeerMessage::SummaryRequest(node.endpoint());
    for addresses in node.peers.silent_zone_recipients(now) {
        datagrams.send(&message, &addresses).await;
    }
}

/// Sends a summary of this zone to a process of another zone that requested it.
pub async fn respond_with_summary(
    datagrams: &DatagramSender,
    node: &Node,
    requester: &PeerEndpoint,
    sequence: u64,
) {
    let now = Instant::now();
    let mut summary = build_summary(node, sequence, now);
    summary.servers = server_loads_for(node, &requester.zone, now);
    let message = PeerMessage::Summary(summary);
    datagrams.send(&message, &[requester.addr]).await;
}

/// Forwards summaries of other zones to the processes that selected this one as a representative,
/// if new ones arrived since the last call.
pub async fn forward_summaries(datagrams: &DatagramSender, node: &Node, now: Instant) {
    for rank in [Rank::Primary, Rank::Secondary] {
        let subscribers = node.subscribers(rank, now);
        if subscribers.is_empty() {
            continue;
        }
        let summaries = node.peers.summaries_to_forward(rank == Rank::Primary, now);
        if !summaries.is_empty() {
            let message = PeerMessage::Summaries(summaries);
            datagrams.send(&message, &subscribers).await;
        }
    }
}

/// Stores the load that a process of another zone puts on this zone's servers. If the report is
/// new and came directly from that process, also forwards it to the processes that selected this
/// one as their primary representative.
pub async fn apply_cross_zone_loads(
    datagrams: &DatagramSender,
    node: &Node,
    mut report: CrossZoneLoads,
    now: Instant,
) {
    if node.peers.apply_cross_zone_loads(&report, now) && !report.is_forwarded {
        report.is_forwarded = true;
        let subscribers = node.subscribers(Rank::Primary, now);
        let message = PeerMessage::CrossZoneLoads(report);
        datagrams.send(&message, &subscribers).await;
    }
}

/// Builds the part of the summary that is the same for every recipient zone. The server loads
/// are left empty.
fn build_summary(node: &Node, sequence: u64, now: Instant) -> ZoneSummary {
    let settings = &node.settings;
    let zone_peers = node.peers.own_zone_peers(now);
    let own_front_count = usize::from(settings.role == Role::Front);
    let front_count = zone_peers
        .iter()
        .filter(|peer| !peer.process.is_worker)
        .count()
        + own_front_count;
    let own_addr = settings.peer_address();
    let addr_of = |host: &NodeId| match *host == settings.host {
        true => Some(own_addr),
        false => zone_peers
            .iter()
            .find(|peer| peer.process.host == *host)
            .map(|peer| peer.addr),
    };
    let mut representatives: Vec<SocketAddr> =
        node.representatives().iter().filter_map(addr_of).collect();
    if !representatives.contains(&own_addr) {
        representatives.push(own_addr);
    }
    let mut workers = node.peers.worker_summaries(now);
    if settings.role == Role::Worker {
        workers.push(WorkerSummary {
            host: settings.host.clone(),
            addr: settings.peer_address(),
            leaving: node.is_leaving(),
            store_reached: node.store.failing_for(now).is_none(),
            waiting_items: node.waiting_items(),
            silent_for: Duration::ZERO,
        });
        workers.sort_unstable_by(|a, b| a.host.cmp(&b.host));
    }
    let mut dead_instances = node.peers.reported_dead_instances(now);
    dead_instances.extend(node.dead_instances(now));
    dead_instances.sort_unstable();
    dead_instances.dedup();
    ZoneSummary {
        zone: settings.availability_zone.clone(),
        host: settings.host.clone(),
        addr: own_addr,
        quarantine_digest: node.quarantine_digest(),
        incarnation: node.incarnation,
        sequence,
        representatives,
        fronts: front_count as u32,
        servers: Vec::new(),
        dead_instances,
        workers,
    }
}

/// Returns the load on this zone's servers for a summary to `recipient_zone`. Excludes the load
/// that the recipient zone itself puts on them, because it knows that load better.
fn server_loads_for(
    node: &Node,
    recipient_zone: &Zone,
    now: Instant,
) -> Vec<(zone_loads::ServerFingerprint, zone_loads::RequestCounts)> {
    let recipient_loads = node.peers.cross_zone_loads(recipient_zone, now);
    let directory = node.directory.lock().expect("directory lock");
    let ready_entries = directory.entries().iter().filter(|entry| {
        let server = &entry.server;
        server.zone == node.settings.availability_zone && server.state == ServerState::Ready
    });
    let servers = ready_entries.map(|entry| {
        let instance = entry.server.instance();
        let own_load = node.loads.own_load(&instance, now);
        let (online, batch) = node.peers.in_flight(&instance, now);
        let (recipient_online, recipient_batch) = recipient_loads.in_flight(&instance);
        let load = zone_loads::RequestCounts {
            online: own_load.online + online.saturating_sub(recipient_online),
            batch: own_load.batch + batch.saturating_sub(recipient_batch),
        };
        (zone_loads::fingerprint(&instance), load, entry.server.slots)
    });
    zone_loads::select_freest_servers(servers.collect())
}
