//! What a process does that others of its zone named as a speaker: it tells other zones how
//! full its zone's servers are, and passes on what it hears from them. The second speaker does
//! so where the first one does not, because a path to it is cut.

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

/// Tells the other zones' speakers.
pub async fn send_summary(
    datagram_sender: &DatagramSender,
    node: &Node,
    sequence: u64,
    now: Instant,
) {
    let others = node.peers.other_zone_recipients(now);
    if others.is_empty() {
        return;
    }
    let mut summary = summary(node, sequence, now);
    for (zone, addresses) in others {
        summary.servers = server_loads(node, &zone, now);
        let message = PeerMessage::Summary(summary.clone());
        datagram_sender.send(&message, &addresses).await;
    }
}

/// Asks the processes of each zone that nobody tells of any more: the paths to this zone's
/// speakers may be cut, or those speakers may be dead. A front that knew of no other zone's
/// workers handed its jobs to nobody: they began seconds late.
pub async fn ask_silent_zones(datagram_sender: &DatagramSender, node: &Node, now: Instant) {
    let message = PeerMessage::SummaryWanted(node.endpoint());
    for addresses in node.peers.silent_zone_recipients(now) {
        datagram_sender.send(&message, &addresses).await;
    }
}

/// Answers a process that hears nothing of this zone.
pub async fn answer(
    datagram_sender: &DatagramSender,
    node: &Node,
    asker: &PeerEndpoint,
    sequence: u64,
) {
    let now = Instant::now();
    let mut summary = summary(node, sequence, now);
    summary.servers = server_loads(node, &asker.zone, now);
    let message = PeerMessage::Summary(summary);
    datagram_sender.send(&message, &[asker.addr]).await;
}

/// Passes new summaries of other zones on to those who named this process.
pub async fn pass_on_summaries(datagram_sender: &DatagramSender, node: &Node, now: Instant) {
    for rank in [Rank::Primary, Rank::Secondary] {
        let subscribers = node.subscribers(rank, now);
        if subscribers.is_empty() {
            continue;
        }
        let summaries = node.peers.summaries_to_forward(rank == Rank::Primary, now);
        if !summaries.is_empty() {
            let message = PeerMessage::Summaries(summaries);
            datagram_sender.send(&message, &subscribers).await;
        }
    }
}

/// Takes the load of a process of another zone, and passes it on to those who named this
/// process.
pub async fn apply_cross_zone_loads(
    datagram_sender: &DatagramSender,
    node: &Node,
    mut told: CrossZoneLoads,
    now: Instant,
) {
    if node.peers.apply_cross_zone_loads(&told, now) && !told.passed_on {
        told.passed_on = true;
        let subscribers = node.subscribers(Rank::Primary, now);
        let message = PeerMessage::GuestLoads(told);
        datagram_sender.send(&message, &subscribers).await;
    }
}

/// What every zone is told; the loads are for each one apart.
fn summary(node: &Node, sequence: u64, now: Instant) -> ZoneSummary {
    let settings = &node.settings;
    let local = node.peers.own_zone_peers(now);
    let own_front = usize::from(settings.role == Role::Front);
    let fronts = local.iter().filter(|peer| !peer.member.is_worker).count() + own_front;
    let own = settings.peer_address();
    let addr_of = |host: &NodeId| match *host == settings.host {
        true => Some(own),
        false => local
            .iter()
            .find(|peer| peer.member.host == *host)
            .map(|peer| peer.addr),
    };
    let mut speakers: Vec<SocketAddr> = node.speakers().iter().filter_map(addr_of).collect();
    if !speakers.contains(&own) {
        speakers.push(own);
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
    let mut gone = node.peers.reported_dead_instances(now);
    gone.extend(node.dead_instances(now));
    gone.sort_unstable();
    gone.dedup();
    ZoneSummary {
        zone: settings.availability_zone.clone(),
        host: settings.host.clone(),
        addr: own,
        quarantine: node.quarantine_state(),
        incarnation: node.incarnation,
        sequence,
        speakers,
        fronts: fronts as u32,
        servers: Vec::new(),
        gone,
        workers,
    }
}

/// The load on the zone's servers without that of `told_zone`, which knows its own better.
fn server_loads(
    node: &Node,
    told_zone: &Zone,
    now: Instant,
) -> Vec<(zone_loads::ServerFingerprint, zone_loads::RequestCounts)> {
    let theirs = node.peers.cross_zone_loads(told_zone, now);
    let directory = node.directory.lock().expect("directory lock");
    let local = directory.entries().iter().filter(|member| {
        let server = &member.server;
        server.zone == node.settings.availability_zone && server.state == ServerState::Ready
    });
    let servers = local.map(|member| {
        let key = member.server.instance();
        let own = node.loads.own_load(&key, now);
        let (online, batch) = node.peers.in_flight(&key, now);
        let (their_online, their_batch) = theirs.in_flight(&key);
        let load = zone_loads::RequestCounts {
            online: own.online + online.saturating_sub(their_online),
            batch: own.batch + batch.saturating_sub(their_batch),
        };
        (zone_loads::fingerprint(&key), load, member.server.slots)
    });
    zone_loads::select_freest_servers(servers.collect())
}
