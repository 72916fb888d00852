//! Heartbeats between processes, as UDP datagrams.
//!
//! They carry liveness, load and held jobs without a call to the platform: a check through
//! the store would cost a write and a wake-up of every watcher for each beat. Between them
//! changes of load are told to those who choose among the same servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use foxwheel_core::ids::Zone;
use foxwheel_core::metric_names::Counter;
use foxwheel_policy::load_reports::{self, ChangeClock};
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

use crate::load_table::ServerLoad;
use crate::node::Node;
use crate::peers::{Heartbeat, LoadChanges, PeerMessage};

/// Largest datagram that can be received.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Most addresses of others told in one heartbeat.
const MAX_KNOWN: usize = 40;

/// Sends and receives heartbeats until cancelled.
pub async fn run(node: Arc<Node>, socket: UdpSocket, cancel: CancellationToken) {
    let socket = Arc::new(socket);
    let receiving = receive(Arc::clone(&node), Arc::clone(&socket));
    let sender = Sender {
        node,
        socket,
        sequence: 0,
        heartbeats: 0,
        next_heartbeat_at: Instant::now(),
        changes: ChangeClock::default(),
    };
    tokio::select! {
        () = cancel.cancelled() => {}
        () = receiving => {}
        () = sender.run() => {}
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
                tokio::time::sleep(load_reports::HEARTBEAT_EVERY).await;
                continue;
            }
        };
        match postcard::from_bytes::<PeerMessage>(received) {
            Ok(PeerMessage::Heartbeat(beat)) => hear(&node, beat, own),
            Ok(PeerMessage::LoadChanges(changes)) => {
                node.peers.take_changes(changes, Instant::now());
            }
            Err(_) => {
                node.metrics.incr(Counter::HeartbeatUnreadable);
                continue;
            }
        }
        node.peer_news.notify_waiters();
    }
}

fn hear(node: &Node, beat: Heartbeat, own: SocketAddr) {
    let host = beat.host.clone();
    let (incarnation, leaving) = (beat.incarnation, beat.leaving);
    if node.peers.hear(beat, own, Instant::now()) {
        log::info!(peer = host, incarnation, leaving; "peer is alive");
    }
}

/// What a process tells the others.
struct Sender {
    node: Arc<Node>,
    socket: Arc<UdpSocket>,
    /// Messages so far.
    sequence: u64,
    /// Heartbeats so far.
    heartbeats: u64,
    next_heartbeat_at: Instant,
    changes: ChangeClock,
}

impl Sender {
    async fn run(mut self) {
        let mut ticks = tokio::time::interval(load_reports::HEARTBEAT_EVERY);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let node = Arc::clone(&self.node);
        loop {
            let heartbeat = tokio::select! {
                _ = ticks.tick() => true,
                () = node.load_alarm.notified() => true,
                () = node.loads.news.notified() => false,
                () = wait_until(self.changes.next_at()), if node.loads.has_changes() => false,
            };
            let now = Instant::now();
            if heartbeat && now >= self.next_heartbeat_at {
                let bytes = self.send_heartbeat(now).await;
                self.next_heartbeat_at = now + load_reports::pause_after(bytes);
            }
            if self.changes.is_due(now) && node.loads.has_changes() {
                self.changes.note(now);
                self.send_changes(now).await;
            }
        }
    }

    /// Sends one heartbeat; answers its size.
    async fn send_heartbeat(&mut self, now: Instant) -> usize {
        self.sequence += 1;
        self.heartbeats += 1;
        let to_all = self.heartbeats % load_reports::LOCAL_PER_REMOTE == 1;
        let addresses = self.node.peers.addresses(now);
        let beat = heartbeat(&self.node, self.sequence, &addresses);
        let Some(bytes) = self.encode(&PeerMessage::Heartbeat(beat)) else {
            return 0;
        };
        for (addr, zone) in addresses {
            if to_all || self.is_local(zone.as_ref()) {
                self.send(&bytes, addr).await;
            }
        }
        bytes.len()
    }

    /// Tells changes of load to the own zone, and those at another zone's servers to that
    /// zone: who chooses among them, or runs batch items there, must know of them.
    async fn send_changes(&mut self, now: Instant) {
        let loads = self.node.loads.take_changes();
        let addresses = self.node.peers.addresses(now);
        let mut zones: Vec<&Zone> = addresses
            .iter()
            .filter_map(|(_, zone)| zone.as_ref())
            .collect();
        zones.sort_unstable();
        zones.dedup();
        for zone in zones {
            let loads: Vec<ServerLoad> = match self.is_local(Some(zone)) {
                true => loads.clone(),
                false => self.loads_in(zone, &loads),
            };
            if loads.is_empty() {
                continue;
            }
            self.sequence += 1;
            let changes = LoadChanges {
                host: self.node.settings.host.clone(),
                incarnation: self.node.incarnation,
                sequence: self.sequence,
                loads,
            };
            let Some(bytes) = self.encode(&PeerMessage::LoadChanges(changes)) else {
                continue;
            };
            let of_zone = addresses
                .iter()
                .filter(|(_, known)| known.as_ref() == Some(zone));
            for (addr, _) in of_zone {
                self.send(&bytes, *addr).await;
            }
        }
    }

    fn loads_in(&self, zone: &Zone, loads: &[ServerLoad]) -> Vec<ServerLoad> {
        let in_zone =
            |load: &&ServerLoad| self.node.server_zone(&load.server).as_ref() == Some(zone);
        loads.iter().filter(in_zone).cloned().collect()
    }

    fn is_local(&self, zone: Option<&Zone>) -> bool {
        zone == Some(&self.node.settings.availability_zone)
    }

    fn encode(&self, message: &PeerMessage) -> Option<Vec<u8>> {
        let encoded = postcard::to_stdvec(message);
        if encoded.is_err() {
            self.node.metrics.incr(Counter::HeartbeatUnencodable);
        }
        encoded.ok()
    }

    async fn send(&self, bytes: &[u8], addr: SocketAddr) {
        // A lost datagram is made good by the next heartbeat.
        let _ = self.socket.send_to(bytes, addr).await;
    }
}

async fn wait_until(at: Option<Instant>) {
    if let Some(at) = at {
        tokio::time::sleep_until(at.into()).await;
    }
}

fn heartbeat(node: &Node, sequence: u64, addresses: &[(SocketAddr, Option<Zone>)]) -> Heartbeat {
    let now = Instant::now();
    Heartbeat {
        host: node.settings.host.clone(),
        incarnation: node.incarnation,
        sequence,
        role: node.settings.role,
        zone: node.settings.availability_zone.clone(),
        addr: node.settings.peer_address(),
        leaving: node.is_leaving(),
        store_reached: node.store.failing_for(now).is_none(),
        loads: node.loads.snapshot(),
        gone: node.gone_servers(now),
        claims: node.claims(),
        waiting_items: node.waiting_items(),
        known: addresses
            .iter()
            .filter(|(_, zone)| zone.is_some())
            .map(|(addr, _)| *addr)
            .take(MAX_KNOWN)
            .collect(),
    }
}
