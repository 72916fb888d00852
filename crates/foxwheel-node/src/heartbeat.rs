//! Sends and receives datagrams between processes: heartbeats and load changes within a zone,
//! summaries and cross-zone loads between zones.
//!
//! Datagrams report liveness, load and owned jobs without calls to the platform. Liveness checks
//! through the store would cost one write, and one wake-up of every watcher, per heartbeat.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_core::ids::Zone;
use foxwheel_core::metric_names::Counter;
use foxwheel_policy::batch::claim_pages::{ClaimPager, ClaimRange};
use foxwheel_policy::batch::ownership::JobClaim;
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

/// Size of the receive buffer: the largest possible datagram.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Maximum number of other processes' addresses in one heartbeat.
const MAX_KNOWN_ADDRESSES: usize = 40;

/// Every tenth heartbeat, one per second, contains the addresses of all processes whose
/// heartbeats are received. The others contain only those of workers, because other processes
/// derive the liveness of workers from them. With all addresses in every heartbeat, the addresses
/// were half of the bytes sent in a zone of 25 processes.
const HEARTBEATS_PER_FULL_ADDRESS_LIST: u64 = 10;

/// Sends and receives datagrams until cancelled.
pub async fn run(node: Arc<Node>, socket: UdpSocket, cancel: CancellationToken) {
    let socket = Arc::new(socket);
    let socket = Arc::clone(node.peer_socket.get_or_init(|| socket));
    let sequence = Arc::new(AtomicU64::new(0));
    let datagrams = DatagramSender::new(Arc::clone(&node), Arc::clone(&socket));
    let receiving = receive_messages(datagrams.clone(), socket, Arc::clone(&sequence));
    let reporter = Reporter {
        datagrams,
        node,
        sequence,
        heartbeat_count: 0,
        next_heartbeat_at: Instant::now(),
        load_changes_timer: ReportTimer::new(load_reports::MIN_CHANGES_INTERVAL),
        cross_zone_timer: ReportTimer::new(load_reports::MIN_CROSS_ZONE_LOADS_INTERVAL),
        zones_to_report: Vec::new(),
        zone_claims: ClaimPager::default(),
        representative_claims: ClaimPager::default(),
        remote_claims: ClaimPager::default(),
    };
    tokio::select! {
        () = cancel.cancelled() => {}
        () = receiving => {}
        () = reporter.run() => {}
    }
}

async fn receive_messages(
    datagrams: DatagramSender,
    socket: Arc<UdpSocket>,
    sequence: Arc<AtomicU64>,
) {
    let node = datagrams.node();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let received = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => &buffer[..length],
            Err(e) => {
                log::warn!(error:% = e; "cannot receive datagram");
                tokio::time::sleep(load_reports::HEARTBEAT_INTERVAL).await;
                continue;
            }
        };
        node.metrics.incr(Counter::PeerMessageReceived);
        node.metrics.add(Counter::PeerBytesReceived, received.len());
        match postcard::from_bytes::<PeerMessage>(received) {
            Ok(message) => apply_message(&datagrams, message, &sequence).await,
            Err(_) => node.metrics.incr(Counter::HeartbeatDecodeFailed),
        }
    }
}

/// Stores the content of a message, or responds to it if it asks for something.
async fn apply_message(datagrams: &DatagramSender, message: PeerMessage, sequence: &AtomicU64) {
    let node = datagrams.node();
    let now = Instant::now();
    let own_addr = node.settings.peer_address();
    match message {
        PeerMessage::Heartbeat(heartbeat) | PeerMessage::PagedHeartbeat(heartbeat, _)
            if node.peers.should_introduce(&heartbeat) =>
        {
            return send_introduction(datagrams, &heartbeat).await;
        }
        PeerMessage::Heartbeat(heartbeat) => {
            apply_heartbeat(node, heartbeat, &ClaimRange::default(), own_addr, now)
        }
        PeerMessage::PagedHeartbeat(heartbeat, claim_range) => {
            apply_heartbeat(node, heartbeat, &claim_range, own_addr, now)
        }
        PeerMessage::LoadChanges(changes) => node.peers.apply_load_changes(changes, now),
        PeerMessage::CrossZoneLoads(report) => {
            zone_representative::apply_cross_zone_loads(datagrams, node, report, now).await
        }
        PeerMessage::Summary(summary) => {
            request_crash_sync_if_different(node, summary.quarantine_digest);
            let age = Duration::ZERO;
            let received = AgedSummary { age, summary };
            node.peers
                .apply_summary(received, SummarySource::Direct, now);
        }
        PeerMessage::Summaries(summaries) => {
            for received in summaries {
                node.peers
                    .apply_summary(received, SummarySource::Forwarded, now);
            }
        }
        PeerMessage::SummaryRequest(requester) => {
            return zone_representative::respond_with_summary(
                datagrams,
                node,
                &requester,
                next_sequence(sequence),
            )
            .await;
        }
        PeerMessage::Introduction(received) => {
            node.peers.apply_introduction(&received, own_addr, now)
        }
        PeerMessage::StreamOrigin(report) => return node.apply_origin_report(&report),
    }
    node.peers_changed.notify_waiters();
}

fn apply_heartbeat(
    node: &Node,
    heartbeat: Heartbeat,
    claim_range: &ClaimRange,
    own_addr: SocketAddr,
    now: Instant,
) {
    let host = heartbeat.host.clone();
    let (incarnation, leaving) = (heartbeat.incarnation, heartbeat.leaving);
    if heartbeat.is_watching_store && heartbeat.state_version.is_newer_than(node.state_version()) {
        node.newer_state_reported.notify_one();
    }
    request_crash_sync_if_different(node, heartbeat.quarantine_digest);
    if node
        .peers
        .apply_paged_heartbeat(heartbeat, claim_range, own_addr, now)
    {
        log::info!(peer = host, incarnation, leaving; "peer is alive");
    }
}

/// Triggers a request for crash reports if the sender of a message knows crashes of servers and
/// its set of them differs from that of this process.
fn request_crash_sync_if_different(node: &Node, reported: QuarantineDigest) {
    if reported != 0 && reported != node.quarantine_digest() {
        node.other_crashes_reported.notify_one();
    }
}

/// Responds to a process of another zone that does not know this process.
async fn send_introduction(datagrams: &DatagramSender, heartbeat: &Heartbeat) {
    let node = datagrams.node();
    let unknown_process = PeerEndpoint {
        addr: heartbeat.addr,
        zone: heartbeat.zone.clone(),
        role: heartbeat.role,
    };
    node.peers.add_endpoint(&unknown_process, Instant::now());
    let introduction = Introduction {
        sender: node.endpoint(),
        others: node.peers.endpoints_to_introduce(&heartbeat.zone),
    };
    let message = PeerMessage::Introduction(introduction);
    datagrams.send(&message, &[heartbeat.addr]).await;
}

/// Why a heartbeat is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HeartbeatTrigger {
    /// The heartbeat interval has passed.
    Interval,
    /// The process's state changed in a way that others must learn immediately.
    UrgentUpdate,
}

/// Sends this process's state to the other processes.
struct Reporter {
    datagrams: DatagramSender,
    node: Arc<Node>,
    /// Sequence number of the last message. Responses to other processes' messages share it.
    sequence: Arc<AtomicU64>,
    /// Number of heartbeats sent so far.
    heartbeat_count: u64,
    next_heartbeat_at: Instant,
    load_changes_timer: ReportTimer,
    cross_zone_timer: ReportTimer,
    /// Other zones that need a report of this process's load on their servers, sorted.
    zones_to_report: Vec<Zone>,
    /// Choose the claims in heartbeats to the whole zone, to its representatives and subscribers,
    /// and to workers of other zones, each of which misses the heartbeats to the others.
    zone_claims: ClaimPager,
    representative_claims: ClaimPager,
    remote_claims: ClaimPager,
}

impl Reporter {
    async fn run(mut self) {
        let mut ticks = tokio::time::interval(load_reports::HEARTBEAT_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let node = Arc::clone(&self.node);
        loop {
            let heartbeat = tokio::select! {
                _ = ticks.tick() => Some(HeartbeatTrigger::Interval),
                () = node.urgent_heartbeat.notified() => Some(HeartbeatTrigger::UrgentUpdate),
                () = node.loads.load_changed.notified() => None,
                () = wait_until(self.load_changes_timer.next_at()), if node.loads.has_changes() => None,
                () = wait_until(self.cross_zone_timer.next_at()), if !self.zones_to_report.is_empty() => None,
            };
            let now = Instant::now();
            if let Some(trigger) = heartbeat.filter(|_| now >= self.next_heartbeat_at) {
                let bytes = self.send_heartbeat(trigger, now).await;
                self.next_heartbeat_at = now + load_reports::min_delay_after(bytes);
            }
            if self.load_changes_timer.is_due(now) && node.loads.has_changes() {
                self.load_changes_timer.record_report(now);
                self.send_load_changes(now).await;
            }
            if self.cross_zone_timer.is_due(now) && !self.zones_to_report.is_empty() {
                self.cross_zone_timer.record_report(now);
                self.send_cross_zone_loads(now).await;
            }
        }
    }

    fn next_sequence(&self) -> u64 {
        next_sequence(&self.sequence)
    }

    /// Sends one heartbeat and the messages that accompany every few heartbeats. Returns the
    /// size of the heartbeat in bytes.
    async fn send_heartbeat(&mut self, trigger: HeartbeatTrigger, now: Instant) -> usize {
        self.heartbeat_count += 1;
        self.node.select_representatives(now);
        let sequence = self.next_sequence();
        let mut heartbeat = build_heartbeat(&self.node, sequence, now);
        let with_all_addresses = self.heartbeat_count % HEARTBEATS_PER_FULL_ADDRESS_LIST == 1;
        heartbeat.known_addresses = self.node.peers.live_addresses(!with_all_addresses, now);
        heartbeat.known_addresses.truncate(MAX_KNOWN_ADDRESSES);
        let mut local = self
            .node
            .peers
            .heartbeat_recipients(HeartbeatScope::OwnZone, now);
        let mut local_claims = &mut self.zone_claims;
        if trigger == HeartbeatTrigger::Interval
            && !load_reports::is_zone_wide(self.heartbeat_count, local.len())
        {
            local = self.node.representatives_and_subscribers(now);
            local_claims = &mut self.representative_claims;
        }
        let message = with_claims(heartbeat.clone(), local_claims, &self.node.claims());
        let bytes = self.datagrams.send(&message, &local).await;
        if self.heartbeat_count % load_reports::REPORTS_PER_REMOTE_REPORT == 1 {
            heartbeat.loads.clear();
            let remote = self
                .node
                .peers
                .heartbeat_recipients(HeartbeatScope::OtherZones, now);
            let message = with_claims(heartbeat, &mut self.remote_claims, &self.node.claims());
            self.datagrams.send(&message, &remote).await;
            let loads = self.node.loads.snapshot();
            self.record_zones_to_report(&loads);
            zone_representative::request_missing_summaries(&self.datagrams, &self.node, now).await;
        }
        let heartbeats_per_summary = match self.node.representative_rank(now) {
            Rank::Primary => Some(load_reports::REPORTS_PER_SUMMARY),
            Rank::Secondary => Some(load_reports::REPORTS_PER_SECONDARY_SUMMARY),
            Rank::None => None,
        };
        if heartbeats_per_summary.is_some_and(|heartbeats_per_summary| {
            self.heartbeat_count % heartbeats_per_summary == 1
        }) {
            let sequence = self.next_sequence();
            zone_representative::send_summary(&self.datagrams, &self.node, sequence, now).await;
        }
        zone_representative::forward_summaries(&self.datagrams, &self.node, now).await;
        bytes
    }

    /// Sends load changes to the own zone and records which other zones need a report of them.
    async fn send_load_changes(&mut self, now: Instant) {
        let loads = self.node.loads.take_changes();
        self.record_zones_to_report(&loads);
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
        self.datagrams.send(&message, &local).await;
    }

    fn record_zones_to_report(&mut self, loads: &[ServerLoad]) {
        let zones = loads
            .iter()
            .filter_map(|load| self.node.server_zone(&load.server));
        for zone in zones.filter(|zone| *zone != self.node.settings.availability_zone) {
            if let Err(at) = self.zones_to_report.binary_search(&zone) {
                self.zones_to_report.insert(at, zone);
            }
        }
    }

    /// Reports this process's load on other zones' servers to those zones, because the processes
    /// there that choose among the same servers must take it into account.
    async fn send_cross_zone_loads(&mut self, now: Instant) {
        let loads = self.node.loads.snapshot();
        let zones = self.node.peers.other_zone_recipients(now);
        for reported_zone in std::mem::take(&mut self.zones_to_report) {
            let Some((_, recipients)) = zones.iter().find(|(zone, _)| *zone == reported_zone)
            else {
                continue;
            };
            let sequence = self.next_sequence();
            let is_in_zone = |load: &&ServerLoad| {
                self.node.server_zone(&load.server).as_ref() == Some(&reported_zone)
            };
            let report = CrossZoneLoads {
                host: self.node.settings.host.clone(),
                zone: self.node.settings.availability_zone.clone(),
                incarnation: self.node.incarnation,
                sequence,
                is_forwarded: false,
                loads: loads.iter().filter(is_in_zone).cloned().collect(),
            };
            self.datagrams
                .send(&PeerMessage::CrossZoneLoads(report), recipients)
                .await;
        }
    }
}

fn next_sequence(sequence: &AtomicU64) -> u64 {
    sequence.fetch_add(1, Ordering::Relaxed) + 1
}

/// Waits until `at`. Returns immediately if it is None.
async fn wait_until(at: Option<Instant>) {
    if let Some(at) = at {
        tokio::time::sleep_until(at.into()).await;
    }
}

/// Returns the message with this heartbeat and the next page of `claims`.
pub fn with_claims(
    mut heartbeat: Heartbeat,
    pager: &mut ClaimPager,
    claims: &[JobClaim],
) -> PeerMessage {
    let (range, page) = pager.next_page(claims);
    heartbeat.claims = page;
    match range == ClaimRange::default() {
        true => PeerMessage::Heartbeat(heartbeat),
        false => PeerMessage::PagedHeartbeat(heartbeat, range),
    }
}

/// Builds a heartbeat without claims and known addresses.
fn build_heartbeat(node: &Node, sequence: u64, now: Instant) -> Heartbeat {
    Heartbeat {
        host: node.settings.host.clone(),
        incarnation: node.incarnation,
        sequence,
        role: node.settings.role,
        zone: node.settings.availability_zone.clone(),
        addr: node.settings.peer_address(),
        leaving: node.is_leaving(),
        store_reached: node.store.failing_for(now).is_none(),
        is_watching_store: node.is_watching_store(now),
        time_since_store_response: node
            .watched_state_age(now)
            .unwrap_or_else(|| node.store.time_since_response(now)),
        state_version: node.state_version(),
        quarantine_digest: node.quarantine_digest(),
        representatives: node.representatives(),
        loads: node.loads.snapshot(),
        dead_instances: node.dead_instances(now),
        claims: Vec::new(),
        waiting_items: node.waiting_items(),
        known_addresses: Vec::new(),
    }
}
