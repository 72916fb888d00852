//! Datagrams between processes: heartbeats and changes of load within a zone, summaries and
//! the load of guests between zones.
//!
//! They carry liveness, load and held jobs without a call to the platform: a check through
//! the store would cost a write and a wake-up of every watcher for each beat.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_core::ids::Zone;
use foxwheel_core::metric_names::Counter;
use foxwheel_policy::load_reports::{self, ReportTimer};
use foxwheel_policy::quarantine::QuarantineDigest;
use foxwheel_policy::representatives::Rank;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

use crate::datagram_sender::DatagramSender;
use crate::load_table::ServerLoad;
use crate::node::Node;
use crate::other_zones::SummarySource;
use crate::peer_directory::HeartbeatScope;
use crate::peer_messages::{
    AgedSummary, CrossZoneLoads, Heartbeat, Introduction, LoadChanges, PeerEndpoint, PeerMessage,
};
use crate::zone_representative;

/// Largest datagram that can be received.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Most addresses of others told in one heartbeat.
const MAX_KNOWN: usize = 40;

/// Heartbeats for each one that tells of all processes that are heard: once a second. The
/// others tell of workers only, whose liveness others rely on; with all addresses in each,
/// these took half of the bytes in a zone of 25 processes.
const PER_FULL_INTRODUCTION: u64 = 10;

/// Sends and receives until cancelled.
pub async fn run(node: Arc<Node>, socket: UdpSocket, cancel: CancellationToken) {
    let socket = Arc::new(socket);
    let sequence = Arc::new(AtomicU64::new(0));
    let datagram_sender = DatagramSender::new(Arc::clone(&node), Arc::clone(&socket));
    let receiving = receive(datagram_sender.clone(), socket, Arc::clone(&sequence));
    let sender = Sender {
        datagram_sender,
        node,
        sequence,
        heartbeats: 0,
        next_heartbeat_at: Instant::now(),
        changes: ReportTimer::new(load_reports::MIN_CHANGES_INTERVAL),
        cross_zone_loads: ReportTimer::new(load_reports::MIN_CROSS_ZONE_LOADS_INTERVAL),
        visited: Vec::new(),
    };
    tokio::select! {
        () = cancel.cancelled() => {}
        () = receiving => {}
        () = sender.run() => {}
    }
}

async fn receive(
    datagram_sender: DatagramSender,
    socket: Arc<UdpSocket>,
    sequence: Arc<AtomicU64>,
) {
    let node = datagram_sender.node();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let received = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => &buffer[..length],
            Err(e) => {
                log::warn!(error:% = e; "heartbeat not received");
                tokio::time::sleep(load_reports::HEARTBEAT_INTERVAL).await;
                continue;
            }
        };
        node.metrics.incr(Counter::PeerMessageReceived);
        node.metrics.add(Counter::PeerBytesReceived, received.len());
        match postcard::from_bytes::<PeerMessage>(received) {
            Ok(message) => take(&datagram_sender, message, &sequence).await,
            Err(_) => node.metrics.incr(Counter::HeartbeatDecodeFailed),
        }
    }
}

async fn take(datagram_sender: &DatagramSender, message: PeerMessage, sequence: &AtomicU64) {
    let node = datagram_sender.node();
    let now = Instant::now();
    let own = node.settings.peer_address();
    match message {
        PeerMessage::Heartbeat(beat) if node.peers.should_introduce(&beat) => {
            return introduce(datagram_sender, &beat).await;
        }
        PeerMessage::Heartbeat(beat) => apply_heartbeat(node, beat, own, now),
        PeerMessage::LoadChanges(changes) => node.peers.apply_load_changes(changes, now),
        PeerMessage::GuestLoads(told) => {
            zone_representative::apply_cross_zone_loads(datagram_sender, node, told, now).await
        }
        PeerMessage::Summary(summary) => {
            hear_quarantine(node, summary.quarantine);
            let age = Duration::ZERO;
            let told = AgedSummary { age, summary };
            node.peers.apply_summary(told, SummarySource::Direct, now);
        }
        PeerMessage::Summaries(summaries) => {
            for told in summaries {
                node.peers
                    .apply_summary(told, SummarySource::Forwarded, now);
            }
        }
        PeerMessage::SummaryWanted(asker) => {
            return zone_representative::answer(
                datagram_sender,
                node,
                &asker,
                next_sequence(sequence),
            )
            .await;
        }
        PeerMessage::Introduction(told) => node.peers.apply_introduction(&told, own, now),
    }
    node.peer_update.notify_waiters();
}

fn apply_heartbeat(node: &Node, beat: Heartbeat, own: SocketAddr, now: Instant) {
    let host = beat.host.clone();
    let (incarnation, leaving) = (beat.incarnation, beat.leaving);
    if beat.follows && beat.knows.is_newer_than(node.state_version()) {
        node.watcher_update.notify_one();
    }
    hear_quarantine(node, beat.quarantine);
    if node.peers.apply_heartbeat(beat, own, now) {
        log::info!(peer = host, incarnation, leaving; "peer is alive");
    }
}

/// Has the sender of a message asked, if it knows of other crashes of servers.
fn hear_quarantine(node: &Node, told: QuarantineDigest) {
    if told != 0 && told != node.quarantine_state() {
        node.quarantine_update.notify_one();
    }
}

/// Answers a process of another zone that does not know who is here.
async fn introduce(datagram_sender: &DatagramSender, beat: &Heartbeat) {
    let node = datagram_sender.node();
    let stranger = PeerEndpoint {
        addr: beat.addr,
        zone: beat.zone.clone(),
        role: beat.role,
    };
    node.peers.add_endpoint(&stranger, Instant::now());
    let introduction = Introduction {
        from: node.endpoint(),
        others: node.peers.endpoints_to_introduce(&beat.zone),
    };
    let message = PeerMessage::Introduction(introduction);
    datagram_sender.send(&message, &[beat.addr]).await;
}

/// Why a heartbeat is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// Its time has come.
    Time,
    /// Something must be known at once.
    News,
}

/// What a process tells the others.
struct Sender {
    datagram_sender: DatagramSender,
    node: Arc<Node>,
    /// Number of the last message; answers to others are counted with it.
    sequence: Arc<AtomicU64>,
    /// Heartbeats so far.
    heartbeats: u64,
    next_heartbeat_at: Instant,
    changes: ReportTimer,
    cross_zone_loads: ReportTimer,
    /// Other zones to be told of the load on their servers; sorted.
    visited: Vec<Zone>,
}

impl Sender {
    async fn run(mut self) {
        let mut ticks = tokio::time::interval(load_reports::HEARTBEAT_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let node = Arc::clone(&self.node);
        loop {
            let heartbeat = tokio::select! {
                _ = ticks.tick() => Some(Cause::Time),
                () = node.urgent_heartbeat.notified() => Some(Cause::News),
                () = node.loads.load_changed.notified() => None,
                () = wait_until(self.changes.next_at()), if node.loads.has_changes() => None,
                () = wait_until(self.cross_zone_loads.next_at()), if !self.visited.is_empty() => None,
            };
            let now = Instant::now();
            if let Some(cause) = heartbeat.filter(|_| now >= self.next_heartbeat_at) {
                let bytes = self.send_heartbeat(cause, now).await;
                self.next_heartbeat_at = now + load_reports::min_delay_after(bytes);
            }
            if self.changes.is_due(now) && node.loads.has_changes() {
                self.changes.record_report(now);
                self.send_changes(now).await;
            }
            if self.cross_zone_loads.is_due(now) && !self.visited.is_empty() {
                self.cross_zone_loads.record_report(now);
                self.send_guest_loads(now).await;
            }
        }
    }

    fn next_sequence(&self) -> u64 {
        next_sequence(&self.sequence)
    }

    /// Sends one heartbeat, and what goes out with every few of them; answers its size.
    async fn send_heartbeat(&mut self, cause: Cause, now: Instant) -> usize {
        self.heartbeats += 1;
        self.node.select_representatives(now);
        let sequence = self.next_sequence();
        let mut beat = heartbeat(&self.node, sequence, now);
        let whole = self.heartbeats % PER_FULL_INTRODUCTION == 1;
        beat.known = self.node.peers.live_addresses(!whole, now);
        beat.known.truncate(MAX_KNOWN);
        let mut local = self
            .node
            .peers
            .heartbeat_recipients(HeartbeatScope::OwnZone, now);
        if cause == Cause::Time && !load_reports::is_zone_wide(self.heartbeats, local.len()) {
            local = self.node.representatives_and_subscribers(now);
        }
        let message = PeerMessage::Heartbeat(beat.clone());
        let bytes = self.datagram_sender.send(&message, &local).await;
        if self.heartbeats % load_reports::REPORTS_PER_REMOTE_REPORT == 1 {
            beat.loads.clear();
            let beyond = self
                .node
                .peers
                .heartbeat_recipients(HeartbeatScope::OtherZones, now);
            let message = PeerMessage::Heartbeat(beat);
            self.datagram_sender.send(&message, &beyond).await;
            let loads = self.node.loads.snapshot();
            self.note_visited(&loads);
            zone_representative::ask_silent_zones(&self.datagram_sender, &self.node, now).await;
        }
        let per_summary = match self.node.representative_rank(now) {
            Rank::Primary => Some(load_reports::REPORTS_PER_SUMMARY),
            Rank::Secondary => Some(load_reports::REPORTS_PER_SECONDARY_SUMMARY),
            Rank::None => None,
        };
        if per_summary.is_some_and(|per_summary| self.heartbeats % per_summary == 1) {
            let sequence = self.next_sequence();
            zone_representative::send_summary(&self.datagram_sender, &self.node, sequence, now)
                .await;
        }
        zone_representative::pass_on_summaries(&self.datagram_sender, &self.node, now).await;
        bytes
    }

    /// Tells changes of load to the own zone, and notes which other zones must know of them.
    async fn send_changes(&mut self, now: Instant) {
        let loads = self.node.loads.take_changes();
        self.note_visited(&loads);
        let changes = LoadChanges {
            host: self.node.settings.host.clone(),
            incarnation: self.node.incarnation,
            sequence: self.next_sequence(),
            loads,
        };
        let local = self
            .node
            .peers
            .heartbeat_recipients(HeartbeatScope::OwnZone, now);
        let message = PeerMessage::LoadChanges(changes);
        self.datagram_sender.send(&message, &local).await;
    }

    fn note_visited(&mut self, loads: &[ServerLoad]) {
        let zones = loads
            .iter()
            .filter_map(|load| self.node.server_zone(&load.server));
        for zone in zones.filter(|zone| *zone != self.node.settings.availability_zone) {
            if let Err(at) = self.visited.binary_search(&zone) {
                self.visited.insert(at, zone);
            }
        }
    }

    /// Tells other zones of this process's load on their servers: who chooses among them must
    /// know of it.
    async fn send_guest_loads(&mut self, now: Instant) {
        let loads = self.node.loads.snapshot();
        let zones = self.node.peers.other_zone_recipients(now);
        for visited in std::mem::take(&mut self.visited) {
            let Some((_, speakers)) = zones.iter().find(|(zone, _)| *zone == visited) else {
                continue;
            };
            let sequence = self.next_sequence();
            let at_zone =
                |load: &&ServerLoad| self.node.server_zone(&load.server).as_ref() == Some(&visited);
            let told = CrossZoneLoads {
                host: self.node.settings.host.clone(),
                zone: self.node.settings.availability_zone.clone(),
                incarnation: self.node.incarnation,
                sequence,
                passed_on: false,
                loads: loads.iter().filter(at_zone).cloned().collect(),
            };
            self.datagram_sender
                .send(&PeerMessage::GuestLoads(told), speakers)
                .await;
        }
    }
}

fn next_sequence(sequence: &AtomicU64) -> u64 {
    sequence.fetch_add(1, Ordering::Relaxed) + 1
}

async fn wait_until(at: Option<Instant>) {
    if let Some(at) = at {
        tokio::time::sleep_until(at.into()).await;
    }
}

fn heartbeat(node: &Node, sequence: u64, now: Instant) -> Heartbeat {
    Heartbeat {
        host: node.settings.host.clone(),
        incarnation: node.incarnation,
        sequence,
        role: node.settings.role,
        zone: node.settings.availability_zone.clone(),
        addr: node.settings.peer_address(),
        leaving: node.is_leaving(),
        store_reached: node.store.failing_for(now).is_none(),
        follows: node.is_watching_store(now),
        store_answered_ago: node.store.time_since_response(now),
        knows: node.state_version(),
        quarantine: node.quarantine_state(),
        speakers: node.speakers(),
        loads: node.loads.snapshot(),
        gone: node.dead_instances(now),
        claims: node.claims(),
        waiting_items: node.waiting_items(),
        known: Vec::new(),
    }
}
