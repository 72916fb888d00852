//! How full a server of another zone is, from what its zone told some tenths of a second ago.

use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

use crate::backend_server::ServerInstance;

/// Stands for a start of a server in messages between zones: a third of the key's bytes. Two
/// servers with one fingerprint, once in 10^13 fleets of 1,000, would count as equally full.
pub type ServerFingerprint = u64;

/// Most servers of a zone that other zones are told of: the freest ones. More than a zone of
/// 150 hosts has; a larger zone's summary stays within one packet.
pub const MAX_REPORTED_SERVERS: usize = 24;

/// The fingerprint of a start of a server.
pub fn fingerprint(server: &ServerInstance) -> ServerFingerprint {
    let mut hasher = DefaultHasher::new();
    server.hash(&mut hasher);
    hasher.finish()
}

/// RequestCounts in flight at a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Online requests.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
}

impl RequestCounts {
    /// All of them.
    pub fn total(self) -> u32 {
        self.online + self.batch
    }
}

/// The load on a server of another zone: what that zone told of all but this zone's requests,
/// and what this zone has in flight there now, which it knows better. Told together with them,
/// requests that were on their way when the zone told would count twice or not at all.
pub fn estimate_reported(told: RequestCounts, own_zone: RequestCounts) -> RequestCounts {
    RequestCounts {
        online: told.online + own_zone.online,
        batch: told.batch + own_zone.batch,
    }
}

/// The load on a server that its zone did not tell of: it is new there, or among the fullest.
/// It counts as full.
pub fn estimate_unreported(slots: u32, own_zone: RequestCounts) -> RequestCounts {
    RequestCounts {
        online: own_zone.online + slots,
        batch: own_zone.batch,
    }
}

/// Share of its slots that a server is taken to use while nobody speaks for its zone. Servers
/// that counted as empty then drew the requests of every full zone at once: half of the
/// requests of a small fleet were late for as long as the path to one speaker was cut.
const UNKNOWN_SHARE: f64 = 0.75;

/// The load on a server of a zone whose processes are known and silent.
pub fn estimate_silent_zone(slots: u32, own_zone: RequestCounts) -> RequestCounts {
    RequestCounts {
        online: own_zone.online + (f64::from(slots) * UNKNOWN_SHARE).ceil() as u32,
        batch: own_zone.batch,
    }
}

/// The load on a server of a zone that has no processes: each of `zones` zones that have some
/// is taken to use it as this one does.
pub fn estimate_zone_without_processes(zones: u32, own_zone: RequestCounts) -> RequestCounts {
    RequestCounts {
        online: own_zone.online * zones,
        batch: own_zone.batch * zones,
    }
}

/// Keeps the servers that other zones are told of: the freest by their load as a share of
/// their slots. Each is a fingerprint, its load and its slots.
pub fn select_freest_servers(
    mut servers: Vec<(ServerFingerprint, RequestCounts, u32)>,
) -> Vec<(ServerFingerprint, RequestCounts)> {
    let share = |load: RequestCounts, slots: u32| f64::from(load.total()) / f64::from(slots.max(1));
    servers.sort_unstable_by(|a, b| share(a.1, a.2).total_cmp(&share(b.1, b.2)));
    servers.truncate(MAX_REPORTED_SERVERS);
    let mut told: Vec<_> = servers
        .into_iter()
        .map(|(server, load, _)| (server, load))
        .collect();
    told.sort_unstable_by_key(|(server, _)| *server);
    told
}
