//! What this process knows of other zones, from their speakers' summaries.

use std::net::SocketAddr;
use std::time::Instant;

use foxwheel_core::ids::Zone;
use foxwheel_policy::load_reports::{DEAD_TIMEOUT, SECONDARY_RELAY_DELAY};
use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::quarantine::QuarantineDigest;
use foxwheel_policy::zone_loads::{self, RequestCounts, ServerFingerprint};

use crate::peer_messages::{AgedSummary, WorkerSummary, ZoneSummary};

/// A zone's newest summary.
#[derive(Debug)]
struct OtherZone {
    summary: ZoneSummary,
    /// When its speaker sent it, as far as is known.
    told_at: Instant,
    /// It came from that zone and was not passed on to this one yet.
    is_news: bool,
    /// By which way it came.
    via: SummarySource,
    /// When another process of this zone last passed on a summary of that zone.
    passed_on_at: Option<Instant>,
}

/// By which way a summary came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SummarySource {
    /// From a speaker of the zone that it tells of.
    Direct,
    /// Passed on by a speaker of this zone.
    Forwarded,
}

/// The other zones.
#[derive(Debug, Default)]
pub struct OtherZones {
    /// Sorted by zone.
    zones: Vec<OtherZone>,
}

impl OtherZones {
    /// Takes a summary that is `age` old, unless a newer one of its zone is known.
    pub fn take(&mut self, told: AgedSummary, via: SummarySource, now: Instant) {
        let AgedSummary { age, summary } = told;
        let Some(told_at) = now.checked_sub(age) else {
            return;
        };
        let found = self
            .zones
            .binary_search_by(|known| known.summary.zone.cmp(&summary.zone));
        let mut passed_on_at = (via == SummarySource::Forwarded).then_some(now);
        if let Ok(at) = found {
            let known = &mut self.zones[at];
            known.passed_on_at = passed_on_at.or(known.passed_on_at);
            passed_on_at = known.passed_on_at;
            let is_newer = if known.summary.host == summary.host {
                let order = |of: &ZoneSummary| (of.incarnation, of.sequence);
                order(&summary) > order(&known.summary)
            } else {
                told_at > known.told_at
            };
            if !is_newer {
                return;
            }
        }
        let zone = OtherZone {
            summary,
            told_at,
            is_news: via == SummarySource::Direct,
            via,
            passed_on_at,
        };
        match found {
            Ok(at) => self.zones[at] = zone,
            Err(at) => self.zones.insert(at, zone),
        }
    }

    /// The load on a server of `zone`, if a speaker of that zone lives; `own_zone` is what this
    /// zone has in flight there.
    pub fn load(
        &self,
        zone: &Zone,
        server: &ServerInstance,
        slots: u32,
        own_zone: RequestCounts,
        now: Instant,
    ) -> Option<RequestCounts> {
        let other = self.live(now).find(|other| other.summary.zone == *zone)?;
        let fingerprint = zone_loads::fingerprint(server);
        let Some(told) = find(&other.summary.servers, fingerprint) else {
            return Some(zone_loads::estimate_unreported(slots, own_zone));
        };
        Some(zone_loads::estimate_reported(told, own_zone))
    }

    /// The servers that a speaker of `zone` told of, if one lives.
    pub fn summarized_servers(&self, zone: &Zone, now: Instant) -> Option<Vec<ServerFingerprint>> {
        let other = self.live(now).find(|other| other.summary.zone == *zone)?;
        let servers = other.summary.servers.iter();
        Some(servers.map(|(server, _)| *server).collect())
    }

    /// Whether a zone found that start of a server to be gone.
    pub fn is_reported_dead(&self, server: &ServerInstance, now: Instant) -> bool {
        self.live(now)
            .any(|other| other.summary.gone.binary_search(server).is_ok())
    }

    /// Fronts that live in the other zones.
    pub fn fronts(&self, now: Instant) -> usize {
        self.live(now)
            .map(|other| other.summary.fronts as usize)
            .sum()
    }

    /// Which crashes the speakers know of that told this process themselves, and where they
    /// take calls; the others' news reach this zone by its own speakers.
    pub fn quarantine_states(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (SocketAddr, QuarantineDigest)> + '_ {
        let direct = self
            .live(now)
            .filter(|other| other.via == SummarySource::Direct);
        direct.map(|other| (other.summary.addr, other.summary.quarantine))
    }

    /// Live workers of the other zones, and their zones.
    pub fn workers(&self, now: Instant) -> impl Iterator<Item = (&Zone, &WorkerSummary)> {
        self.live(now).flat_map(move |other| {
            let age = now.duration_since(other.told_at);
            let lives = move |note: &&WorkerSummary| age + note.silent_for < DEAD_TIMEOUT;
            let workers = other.summary.workers.iter().filter(lives);
            workers.map(|note| (&other.summary.zone, note))
        })
    }

    /// Where the speakers of `zone` take messages; nothing if none lives.
    pub fn speakers(&self, zone: &Zone, now: Instant) -> &[SocketAddr] {
        let other = self.live(now).find(|other| other.summary.zone == *zone);
        other.map_or(&[], |other| &other.summary.speakers)
    }

    /// Live summaries to pass on to this zone: for its first speaker all of them if any came
    /// since the last call, for another one those that came and that nobody else passes on.
    pub fn summaries_to_forward(&mut self, is_first: bool, now: Instant) -> Vec<AgedSummary> {
        let mut any_news = false;
        let mut summaries_to_forward = Vec::new();
        for other in &mut self.zones {
            let is_news = std::mem::take(&mut other.is_news);
            any_news |= is_news;
            let is_left_out = other
                .passed_on_at
                .is_none_or(|at| now.duration_since(at) >= SECONDARY_RELAY_DELAY);
            let age = now.duration_since(other.told_at);
            if age < DEAD_TIMEOUT && (is_first || (is_news && is_left_out)) {
                summaries_to_forward.push(AgedSummary {
                    age,
                    summary: other.summary.clone(),
                });
            }
        }
        if !any_news {
            summaries_to_forward.clear();
        }
        summaries_to_forward
    }

    fn live(&self, now: Instant) -> impl Iterator<Item = &OtherZone> {
        let lives = move |other: &&OtherZone| now.duration_since(other.told_at) < DEAD_TIMEOUT;
        self.zones.iter().filter(lives)
    }
}

fn find(
    servers: &[(ServerFingerprint, RequestCounts)],
    server: ServerFingerprint,
) -> Option<RequestCounts> {
    let found = servers.binary_search_by_key(&server, |(server, _)| *server);
    found.ok().map(|at| servers[at].1)
}
