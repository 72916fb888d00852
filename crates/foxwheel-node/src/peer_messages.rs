//! What processes tell each other by datagrams.

use std::net::SocketAddr;

use foxwheel_core::ids::{Incarnation, NodeId, Zone};
use foxwheel_policy::batch::ownership::JobClaim;
use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::quarantine::QuarantineDigest;
use foxwheel_policy::zone_loads::{RequestCounts, ServerFingerprint};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::load_table::ServerLoad;
use crate::peer_calls::StoreStateVersion;
use crate::settings::Role;

/// What a process tells the others of its zone several times a second, and, without loads,
/// workers tell those of other zones.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The process's host.
    pub host: NodeId,
    /// When it started, in milliseconds since the Unix epoch; tells restarts apart.
    pub incarnation: Incarnation,
    /// Grows with each message of an incarnation.
    pub sequence: u64,
    /// What it does.
    pub role: Role,
    /// Its availability zone.
    pub zone: Zone,
    /// Where it takes calls and heartbeats.
    pub addr: SocketAddr,
    /// It is stopping and takes no new work.
    pub leaving: bool,
    /// Its own last call to the platform's store succeeded.
    pub store_reached: bool,
    /// It follows the store itself, which answers.
    pub follows: bool,
    /// How long ago the store last answered it.
    #[serde(rename = "store_answered_ago_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub store_answered_ago: std::time::Duration,
    /// How new the configuration and the list of servers are that it knows.
    pub knows: StoreStateVersion,
    /// Which crashes of servers it knows of.
    pub quarantine: QuarantineDigest,
    /// The processes of its zone that it takes as speakers, first choice first.
    pub speakers: Vec<NodeId>,
    /// Its load on backend servers; sorted by server and start.
    pub loads: Vec<ServerLoad>,
    /// Starts of servers that it found to be gone a short while ago; sorted.
    pub gone: Vec<ServerInstance>,
    /// Jobs it runs or closed a short while ago; sorted by job.
    pub claims: Vec<JobClaim>,
    /// Items of its jobs that could run now and found no slot.
    pub waiting_items: u32,
    /// Addresses of the processes it hears.
    pub known: Vec<SocketAddr>,
}

/// Changes of a process's load, told to its zone as they happen; a heartbeat makes good a
/// lost one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadChanges {
    /// The process's host.
    pub host: NodeId,
    /// When it started, in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Grows with each message of an incarnation, heartbeats included.
    pub sequence: u64,
    /// Its load now on the servers where it changed; sorted by server and start.
    pub loads: Vec<ServerLoad>,
}

/// All that a process of another zone has in flight at the servers of a zone. The zone's first
/// speaker passes it on to its zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrossZoneLoads {
    /// The process's host.
    pub host: NodeId,
    /// The process's availability zone.
    pub zone: Zone,
    /// When it started, in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Grows with each message of an incarnation.
    pub sequence: u64,
    /// A speaker of the servers' zone passed it on.
    pub passed_on: bool,
    /// Its load on the zone's servers; sorted by server and start.
    pub loads: Vec<ServerLoad>,
}

/// What a zone's speaker tells another zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneSummary {
    /// The zone.
    pub zone: Zone,
    /// The sender's host.
    pub host: NodeId,
    /// Where the sender takes calls and heartbeats.
    pub addr: SocketAddr,
    /// Which crashes of servers the sender knows of.
    pub quarantine: QuarantineDigest,
    /// When the sender started, in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Grows with each message of an incarnation.
    pub sequence: u64,
    /// Where the zone's speakers take messages, the first one first; the sender among them.
    pub speakers: Vec<SocketAddr>,
    /// Fronts that live there.
    pub fronts: u32,
    /// Load on the zone's servers from all zones but the one that is told; sorted by server.
    pub servers: Vec<(ServerFingerprint, RequestCounts)>,
    /// Starts of servers that the zone found to be gone; sorted.
    pub gone: Vec<ServerInstance>,
    /// The zone's workers; sorted by host.
    pub workers: Vec<WorkerSummary>,
}

/// What other zones are told of a worker.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSummary {
    /// Its host.
    pub host: NodeId,
    /// Where it takes calls and heartbeats.
    pub addr: SocketAddr,
    /// It is stopping and takes no new work.
    pub leaving: bool,
    /// Its own last call to the platform's store succeeded.
    pub store_reached: bool,
    /// Items of its jobs that could run now and found no slot.
    pub waiting_items: u32,
    /// How long the speaker has not heard it.
    #[serde(rename = "silent_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub silent_for: std::time::Duration,
}

/// A summary of another zone as a speaker passes it on to its own zone.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedSummary {
    /// How long ago the speaker heard it.
    #[serde(rename = "age_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: std::time::Duration,
    /// The summary.
    pub summary: ZoneSummary,
}

/// A process and where it takes messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEndpoint {
    /// Where it takes calls and heartbeats.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// What it does.
    pub role: Role,
}

/// What a process answers to a heartbeat from another zone that does not know it: who it is,
/// so that it is sent no more of them, and whom the sender should know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// The process itself.
    pub from: PeerEndpoint,
    /// Workers, and processes of the asking process's zone.
    pub others: Vec<PeerEndpoint>,
}

/// What processes tell each other by datagrams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Everything, within the zone.
    Heartbeat(Heartbeat),
    /// What changed, within the zone.
    LoadChanges(LoadChanges),
    /// Load of a process on another zone's servers.
    GuestLoads(CrossZoneLoads),
    /// From speaker to speaker.
    Summary(ZoneSummary),
    /// From a speaker to its zone.
    Summaries(Vec<AgedSummary>),
    /// From a process that hears nothing of the receiver's zone: it is answered a summary.
    SummaryWanted(PeerEndpoint),
    /// Answer to a heartbeat from another zone.
    Introduction(Introduction),
}
