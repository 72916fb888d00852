//! The state of other zones, as the summaries of their representatives describe it.

use std::net::SocketAddr;
use std::time::Instant;

use foxwheel_core::ids::Zone;
use foxwheel_policy::load_reports::{DEAD_TIMEOUT, SECONDARY_RELAY_DELAY};
use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::quarantine::QuarantineDigest;
use foxwheel_policy::zone_loads::{self, RequestCounts, ServerFingerprint};

use crate::peer_messages::{AgedSummary, WorkerSummary, ZoneSummary};

/// The newest known summary of a zone.
#[derive(Debug)]
struct OtherZone {
    summary: ZoneSummary,
    /// When the zone's representative sent the summary, as computed from the reported age.
    sent_at: Instant,
    /// Whether the summary came directly from its zone and was not forwarded yet as the primary
    /// representative.
    needs_primary_forwarding: bool,
    /// The same as another representative: a process can be the primary one of some processes of
    /// its zone and the secondary one of others.
    needs_secondary_forwarding: bool,
    source: SummarySource,
    /// When another process of this zone last forwarded a summary of that zone to this process.
    last_forwarded_at: Option<Instant>,
}

/// How a summary reached this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SummarySource {
    /// Sent by a representative of the zone that it describes.
    Direct,
    /// Forwarded by a representative of this zone.
    Forwarded,
}

/// The newest summaries of all other zones.
#[derive(Debug, Default)]
pub struct OtherZones {
    /// Sorted by zone.
    zones: Vec<OtherZone>,
}

impl OtherZones {
    /// Stores a summary unless a newer one of its zone is known.
    pub fn apply_summary(&mut self, received: AgedSummary, source: SummarySource, now: Instant) {
        let AgedSummary { age, summary } = received;
        let Some(sent_at) = now.checked_sub(age) else {
            return;
        };
        let found = self
            .zones
            .binary_search_by(|known| known.summary.zone.cmp(&summary.zone));
        let mut last_forwarded_at = (source == SummarySource::Forwarded).then_some(now);
        if let Ok(at) = found {
            let known = &mut self.zones[at];
            known.last_forwarded_at = last_forwarded_at.or(known.last_forwarded_at);
            last_forwarded_at = known.last_forwarded_at;
            let is_newer = if known.summary.host == summary.host {
                let order = |of: &ZoneSummary| (of.incarnation, of.sequence);
                order(&summary) > order(&known.summary)
            } else {
                sent_at > known.sent_at
            };
            if !is_newer {
                return;
            }
        }
        let zone = OtherZone {
            summary,
            sent_at,
            needs_primary_forwarding: source == SummarySource::Direct,
            needs_secondary_forwarding: source == SummarySource::Direct,
            source,
            last_forwarded_at,
        };
        match found {
            Ok(at) => self.zones[at] = zone,
            Err(at) => self.zones.insert(at, zone),
        }
    }

    /// Returns the load on a server of `zone`, or None if no recent summary of that zone is
    /// known. `own_zone` is the load that this process's zone puts on the server.
    pub fn server_load(
        &self,
        zone: &Zone,
        server: &ServerInstance,
        slots: u32,
        own_zone: RequestCounts,
        now: Instant,
    ) -> Option<RequestCounts> {
        let other = self
            .live_zones(now)
            .find(|other| other.summary.zone == *zone)?;
        let fingerprint = zone_loads::fingerprint(server);
        let Some(reported) = find_load(&other.summary.servers, fingerprint) else {
            return Some(zone_loads::estimate_unreported(slots, own_zone));
        };
        Some(zone_loads::estimate_reported(reported, own_zone))
    }

    /// Returns the servers in the summary of `zone`, or None if no recent one is known.
    pub fn summarized_servers(&self, zone: &Zone, now: Instant) -> Option<Vec<ServerFingerprint>> {
        let other = self
            .live_zones(now)
            .find(|other| other.summary.zone == *zone)?;
        let servers = other.summary.servers.iter();
        Some(servers.map(|(server, _)| *server).collect())
    }

    /// Returns whether another zone reports that server instance as dead.
    pub fn is_reported_dead(&self, server: &ServerInstance, now: Instant) -> bool {
        self.live_zones(now)
            .any(|other| other.summary.dead_instances.binary_search(server).is_ok())
    }

    /// Returns the number of live fronts in the other zones.
    pub fn front_count(&self, now: Instant) -> usize {
        self.live_zones(now)
            .map(|other| other.summary.fronts as usize)
            .sum()
    }

    /// Returns the digest of the crash records, and the address for calls, of each
    /// representative that sent its summary directly to this process. Crash records of zones
    /// with forwarded summaries reach this zone through its own representatives.
    pub fn quarantine_digests(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (SocketAddr, QuarantineDigest)> + '_ {
        let direct = self
            .live_zones(now)
            .filter(|other| other.source == SummarySource::Direct);
        direct.map(|other| (other.summary.addr, other.summary.quarantine_digest))
    }

    /// Returns the live workers of the other zones with their zones.
    pub fn live_workers(&self, now: Instant) -> impl Iterator<Item = (&Zone, &WorkerSummary)> {
        self.live_zones(now).flat_map(move |other| {
            let age = now.duration_since(other.sent_at);
            let is_live = move |worker: &&WorkerSummary| age + worker.silent_for < DEAD_TIMEOUT;
            let workers = other.summary.workers.iter().filter(is_live);
            workers.map(|worker| (&other.summary.zone, worker))
        })
    }

    /// Returns the addresses of the representatives of `zone`, or nothing if no recent summary
    /// of that zone is known.
    pub fn representatives(&self, zone: &Zone, now: Instant) -> &[SocketAddr] {
        let other = self
            .live_zones(now)
            .find(|other| other.summary.zone == *zone);
        other.map_or(&[], |other| &other.summary.representatives)
    }

    /// Returns the summaries that this process forwards to the processes of its zone of which it is
    /// the primary representative, or to those of which it is another one.
    ///
    /// The primary representative forwards all recent summaries if at least one arrived
    /// directly since the last call. Any other representative forwards only those that arrived
    /// directly and that no other process has forwarded recently.
    pub fn summaries_to_forward(&mut self, is_primary: bool, now: Instant) -> Vec<AgedSummary> {
        let mut any_new = false;
        let mut summaries = Vec::new();
        for other in &mut self.zones {
            let is_new = std::mem::take(match is_primary {
                true => &mut other.needs_primary_forwarding,
                false => &mut other.needs_secondary_forwarding,
            });
            any_new |= is_new;
            let is_not_forwarded = other
                .last_forwarded_at
                .is_none_or(|at| now.duration_since(at) >= SECONDARY_RELAY_DELAY);
            let age = now.duration_since(other.sent_at);
            if age < DEAD_TIMEOUT && (is_primary || (is_new && is_not_forwarded)) {
                summaries.push(AgedSummary {
                    age,
                    summary: other.summary.clone(),
                });
            }
        }
        if !any_new {
            summaries.clear();
        }
        summaries
    }

    /// Returns the zones whose summary is recent enough to be used.
    fn live_zones(&self, now: Instant) -> impl Iterator<Item = &OtherZone> {
        let is_live = move |other: &&OtherZone| now.duration_since(other.sent_at) < DEAD_TIMEOUT;
        self.zones.iter().filter(is_live)
    }
}

fn find_load(
    servers: &[(ServerFingerprint, RequestCounts)],
    server: ServerFingerprint,
) -> Option<RequestCounts> {
    let found = servers.binary_search_by_key(&server, |(server, _)| *server);
    found.ok().map(|at| servers[at].1)
}
