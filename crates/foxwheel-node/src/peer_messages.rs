//! The messages that processes send each other as datagrams.

use std::net::SocketAddr;

use foxwheel_core::ids::{Incarnation, NodeId, Zone};
use foxwheel_policy::batch::claim_pages::ClaimRange;
use foxwheel_policy::batch::ownership::JobClaim;
use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::quarantine::QuarantineDigest;
use foxwheel_policy::zone_loads::{RequestCounts, ServerFingerprint};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::load_table::ServerLoad;
use crate::peer_calls::StoreStateVersion;
use crate::settings::Role;
use crate::stream_origins::StreamOriginReport;

/// State that a process sends to its zone several times a second. Workers also send it, without
/// the loads, to the workers of other zones.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's host.
    pub host: NodeId,
    /// When the sender started, in milliseconds since the Unix epoch. Distinguishes restarts.
    pub incarnation: Incarnation,
    /// Increases with each message that the sender sends within an incarnation.
    pub sequence: u64,
    /// Whether the sender is a front or a worker.
    pub role: Role,
    /// The sender's availability zone.
    pub zone: Zone,
    /// The address at which the sender receives calls and heartbeats.
    pub addr: SocketAddr,
    /// Whether the sender is stopping and accepts no new work.
    pub leaving: bool,
    /// Whether the sender's last call to the platform's store succeeded.
    pub store_reached: bool,
    /// Whether the sender watches the store itself and the store responds to it.
    #[serde(rename = "follows")]
    pub is_watching_store: bool,
    /// How long ago the store last confirmed what the sender has of it, if the sender watches the
    /// store; otherwise how long ago the store last responded to the sender.
    #[serde(rename = "store_answered_ago_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub time_since_store_response: std::time::Duration,
    /// The version of the configuration and of the server list that the sender has.
    #[serde(rename = "knows")]
    pub state_version: StoreStateVersion,
    /// Identifies the set of server crashes that the sender knows.
    #[serde(rename = "quarantine")]
    pub quarantine_digest: QuarantineDigest,
    /// The processes that the sender selected as representatives of its zone, primary first.
    #[serde(rename = "speakers")]
    pub representatives: Vec<NodeId>,
    /// The sender's load on backend servers, sorted by server instance.
    pub loads: Vec<ServerLoad>,
    /// Server instances that the sender recently found to be dead, sorted.
    #[serde(rename = "gone")]
    pub dead_instances: Vec<ServerInstance>,
    /// Jobs that the sender runs or closed recently, sorted by job.
    pub claims: Vec<JobClaim>,
    /// Number of items of the sender's jobs that are ready to run but found no free slot.
    pub waiting_items: u32,
    /// Addresses of processes whose heartbeats the sender receives.
    #[serde(rename = "known")]
    pub known_addresses: Vec<SocketAddr>,
}

/// Changes of a process's load, sent to its zone as they happen. The next heartbeat corrects
/// the state if one is lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadChanges {
    /// The sender's host.
    pub host: NodeId,
    /// When the sender started, in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Increases with each message within an incarnation; shared with heartbeats.
    pub sequence: u64,
    /// The current load on each server whose load changed, sorted by server instance.
    pub loads: Vec<ServerLoad>,
}

/// The complete load that a process puts on the servers of another zone. The primary
/// representative of that zone forwards it within the zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrossZoneLoads {
    /// The sender's host.
    pub host: NodeId,
    /// The sender's availability zone.
    pub zone: Zone,
    /// When the sender started, in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Increases with each message within an incarnation.
    pub sequence: u64,
    /// Whether a representative of the servers' zone forwarded the message.
    #[serde(rename = "passed_on")]
    pub is_forwarded: bool,
    /// The sender's load on the zone's servers, sorted by server instance.
    pub loads: Vec<ServerLoad>,
}

/// State of a zone that its representative sends to another zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneSummary {
    /// The zone that the summary describes.
    pub zone: Zone,
    /// The sender's host.
    pub host: NodeId,
    /// The address at which the sender receives calls and heartbeats.
    pub addr: SocketAddr,
    /// Identifies the set of server crashes that the sender knows.
    #[serde(rename = "quarantine")]
    pub quarantine_digest: QuarantineDigest,
    /// When the sender started, in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Increases with each message within an incarnation.
    pub sequence: u64,
    /// Addresses of the zone's representatives, primary first. Includes the sender.
    #[serde(rename = "speakers")]
    pub representatives: Vec<SocketAddr>,
    /// Number of live fronts in the zone.
    pub fronts: u32,
    /// Load on the zone's servers from all zones except the recipient's, sorted by server.
    pub servers: Vec<(ServerFingerprint, RequestCounts)>,
    /// Server instances that the zone found to be dead, sorted.
    #[serde(rename = "gone")]
    pub dead_instances: Vec<ServerInstance>,
    /// The zone's workers, sorted by host.
    pub workers: Vec<WorkerSummary>,
}

/// State of a worker within a [`ZoneSummary`].
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSummary {
    /// The worker's host.
    pub host: NodeId,
    /// The address at which the worker receives calls and heartbeats.
    pub addr: SocketAddr,
    /// Whether the worker is stopping and accepts no new work.
    pub leaving: bool,
    /// Whether the worker's last call to the platform's store succeeded.
    pub store_reached: bool,
    /// Number of items of the worker's jobs that are ready to run but found no free slot.
    pub waiting_items: u32,
    /// Time since the summary's sender last received a heartbeat from the worker.
    #[serde(rename = "silent_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub silent_for: std::time::Duration,
}

/// A summary of another zone, as a representative forwards it within its own zone.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedSummary {
    /// How long ago the representative received the summary.
    #[serde(rename = "age_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: std::time::Duration,
    /// The summary.
    pub summary: ZoneSummary,
}

/// A process and the address at which it receives messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEndpoint {
    /// The address at which the process receives calls and heartbeats.
    pub addr: SocketAddr,
    /// The process's availability zone.
    pub zone: Zone,
    /// Whether the process is a front or a worker.
    pub role: Role,
}

/// Response to a heartbeat from a process of another zone that does not know the receiver yet.
/// It names the receiver, so that it is sent no further heartbeats, and other processes that
/// the sender should know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// The process that sends the introduction.
    #[serde(rename = "from")]
    pub sender: PeerEndpoint,
    /// Workers, and processes of the recipient's zone.
    pub others: Vec<PeerEndpoint>,
}

/// A message sent as one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender's complete state, within a zone and between workers.
    Heartbeat(Heartbeat),
    /// Changes of the sender's load since its last message, within a zone.
    LoadChanges(LoadChanges),
    /// The sender's load on the servers of the recipient's zone.
    #[serde(rename = "GuestLoads")]
    CrossZoneLoads(CrossZoneLoads),
    /// A summary of the sender's zone, sent by its representative to another zone.
    Summary(ZoneSummary),
    /// Summaries of other zones, forwarded by a representative within its zone.
    Summaries(Vec<AgedSummary>),
    /// A request for a summary, from a process that has no recent one of the recipient's zone.
    #[serde(rename = "SummaryWanted")]
    SummaryRequest(PeerEndpoint),
    /// The response to a heartbeat from another zone.
    Introduction(Introduction),
    /// Where a stream of the sender began, for which the recipient is a holder.
    StreamOrigin(StreamOriginReport),
    /// The same as [`Self::Heartbeat`], with the claims of some of the sender's jobs.
    PagedHeartbeat(Heartbeat, ClaimRange),
}
