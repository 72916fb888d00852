//! Heartbeats between processes, as UDP datagrams.
//!
//! They carry liveness, load and held jobs without a call to the platform: a check through
//! the store would cost a write and a wake-up of every watcher for each beat.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_core::metric_names::Counter;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

use crate::node::Node;
use crate::peers::Heartbeat;

/// Time between heartbeats within a zone; load there decides where work goes. With 100 ms,
/// seven fronts of a zone near its capacity sent 12% of their streams to servers that others
/// had just filled (first event over 300 ms), with 40 ms 7%, with 20 ms 5%.
const LOCAL_EVERY: Duration = Duration::from_millis(25);

/// Heartbeats within the zone for each one to other zones, whose bytes are priced.
const LOCAL_PER_REMOTE: u64 = 12;

/// Bytes of a heartbeat up to which the times above hold: one packet on the usual path. A
/// larger one is sent as many times more rarely, so that the bytes a second stay bounded.
const USUAL_BYTES: usize = 1_400;

/// Largest datagram that can be received.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Most addresses of others told in one heartbeat.
const MAX_KNOWN: usize = 40;

/// Sends and receives heartbeats until cancelled.
pub async fn run(node: Arc<Node>, socket: UdpSocket, cancel: CancellationToken) {
    let socket = Arc::new(socket);
    let receiving = receive(Arc::clone(&node), Arc::clone(&socket));
    let sending = send(node, socket);
    tokio::select! {
        () = cancel.cancelled() => {}
        () = receiving => {}
        () = sending => {}
    }
}

async fn receive(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let own = node.settings.peer_address();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let received = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => &buffer[..length],
            Err(e) => {
                log::warn!(error:% = e; "heartbeat not received");
                tokio::time::sleep(LOCAL_EVERY).await;
                continue;
            }
        };
        let Ok(beat) = postcard::from_bytes::<Heartbeat>(received) else {
            node.metrics.incr(Counter::HeartbeatUnreadable);
            continue;
        };
        let host = beat.host.clone();
        let (incarnation, leaving) = (beat.incarnation, beat.leaving);
        if node.peers.hear(beat, own, Instant::now()) {
            log::info!(peer = host, incarnation, leaving; "peer is alive");
        }
        node.peer_news.notify_waiters();
    }
}

async fn send(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut ticks = tokio::time::interval(LOCAL_EVERY);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut sequence = 0;
    let mut next_at = Instant::now();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = node.load_alarm.notified() => {}
        }
        let now = Instant::now();
        if now < next_at {
            continue;
        }
        sequence += 1;
        let bytes = send_one(&node, &socket, sequence).await;
        next_at = now + pause_after(bytes);
    }
}

/// The least time until the next heartbeat after one of `bytes`.
pub fn pause_after(bytes: usize) -> Duration {
    let packets = bytes.div_ceil(USUAL_BYTES).max(1) as u32;
    LOCAL_EVERY * (packets - 1)
}

/// Sends one heartbeat; answers its size.
async fn send_one(node: &Node, socket: &UdpSocket, sequence: u64) -> usize {
    let now = Instant::now();
    let to_all = sequence % LOCAL_PER_REMOTE == 1;
    let addresses = node.peers.addresses(now);
    let beat = heartbeat(node, sequence, &addresses);
    let Ok(bytes) = postcard::to_stdvec(&beat) else {
        node.metrics.incr(Counter::HeartbeatUnencodable);
        return 0;
    };
    for (addr, zone) in addresses {
        let local = zone.as_deref() == Some(node.settings.availability_zone.as_str());
        if local || to_all {
            // A lost datagram is made good by the next one.
            let _ = socket.send_to(&bytes, addr).await;
        }
    }
    bytes.len()
}

fn heartbeat(
    node: &Node,
    sequence: u64,
    addresses: &[(std::net::SocketAddr, Option<String>)],
) -> Heartbeat {
    Heartbeat {
        host: node.settings.host.clone(),
        incarnation: node.incarnation,
        sequence,
        role: node.settings.role,
        zone: node.settings.availability_zone.clone(),
        addr: node.settings.peer_address(),
        leaving: node.is_leaving(),
        store_reached: node.store.failing_for(std::time::Instant::now()).is_none(),
        loads: node.loads.snapshot(),
        gone: node.gone_servers(std::time::Instant::now()),
        claims: node.claims(),
        known: addresses
            .iter()
            .filter(|(_, zone)| zone.is_some())
            .map(|(addr, _)| *addr)
            .take(MAX_KNOWN)
            .collect(),
    }
}
