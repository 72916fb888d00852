//! Load estimates for servers of other zones, from load summaries that are some tenths of a
//! second old.

use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

use crate::backend_server::ServerInstance;

/// A hash of a server instance that identifies it in messages between zones, in a third of the
/// bytes. Two servers with the same fingerprint, expected once in 10^13 fleets of 1,000 servers,
/// would be treated as equally loaded.
pub type ServerFingerprint = u64;

/// Maximum number of servers in a zone's load summary; the least loaded ones are included. A
/// zone of 150 hosts has fewer servers, and the summary of a larger zone still fits into one
/// packet.
pub const MAX_REPORTED_SERVERS: usize = 24;

/// Returns the fingerprint of a server instance.
pub fn fingerprint(server: &ServerInstance) -> ServerFingerprint {
    let mut hasher = DefaultHasher::new();
    server.hash(&mut hasher);
    hasher.finish()
}

/// Number of requests in flight at a server, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Online requests.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
}

impl RequestCounts {
    /// Returns the number of requests of both kinds.
    pub fn total(self) -> u32 {
        self.online + self.batch
    }
}

/// Returns the estimated load of a server whose zone reported it.
///
/// `reported` excludes the requests of this process's own zone; `own_zone` are those that its
/// zone has in flight there now, which it knows more precisely. If the report included them,
/// requests in transit when the report was sent would be counted twice or not at all.
pub fn estimate_reported(reported: RequestCounts, own_zone: RequestCounts) -> RequestCounts {
    RequestCounts {
        online: reported.online + own_zone.online,
        batch: reported.batch + own_zone.batch,
    }
}

/// Returns the estimated load of a server that its zone's report leaves out: it is either new
/// or among the most loaded ones, and is therefore treated as full.
pub fn estimate_unreported(slots: u32, own_zone: RequestCounts) -> RequestCounts {
    RequestCounts {
        online: own_zone.online + slots,
        batch: own_zone.batch,
    }
}

/// Share of its slots that a server is assumed to use while its zone sends no reports. When such
/// servers were treated as empty, they attracted the requests of all full zones: half
/// of the requests of a small fleet were late while the path to one representative was cut.
const UNKNOWN_LOAD_SHARE: f64 = 0.75;

/// Returns the estimated load of a server whose zone has known processes, none of which has
/// reported lately.
pub fn estimate_silent_zone(slots: u32, own_zone: RequestCounts) -> RequestCounts {
    RequestCounts {
        online: own_zone.online + (f64::from(slots) * UNKNOWN_LOAD_SHARE).ceil() as u32,
        batch: own_zone.batch,
    }
}

/// Returns the estimated load of a server in a zone without processes: each of the `zones`
/// zones that have processes is assumed to use the server as much as this one does.
pub fn estimate_zone_without_processes(zones: u32, own_zone: RequestCounts) -> RequestCounts {
    RequestCounts {
        online: own_zone.online * zones,
        batch: own_zone.batch * zones,
    }
}

/// Returns the servers to include in a load summary, sorted by fingerprint: those with the
/// lowest load relative to their slots. Each input is a fingerprint, the load and the slots.
pub fn select_freest_servers(
    mut servers: Vec<(ServerFingerprint, RequestCounts, u32)>,
) -> Vec<(ServerFingerprint, RequestCounts)> {
    let share = |load: RequestCounts, slots: u32| f64::from(load.total()) / f64::from(slots.max(1));
    servers.sort_unstable_by(|a, b| share(a.1, a.2).total_cmp(&share(b.1, b.2)));
    servers.truncate(MAX_REPORTED_SERVERS);
    let mut reported: Vec<_> = servers
        .into_iter()
        .map(|(server, load, _)| (server, load))
        .collect();
    reported.sort_unstable_by_key(|(server, _)| *server);
    reported
}
