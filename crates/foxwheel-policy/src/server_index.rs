//! Which servers a choice looks at: all of a small zone, a sample of a large one.
//!
//! Load pattern: thousands of servers. A choice that looks at each of them costs a front more
//! than passing on the answer (3,000 servers: 18 % of its processor), and gains nothing: the
//! least loaded of a few dozen drawn at random is nearly as free as the least loaded of all,
//! and fronts that draw apart do not all fill the same one.

use foxwheel_core::ids::{ServiceName, Zone};

use crate::backend_server::{ServerInstance, ServerState};
use crate::membership::DirectoryEntry;
use crate::zone_loads::{self, ServerFingerprint};

/// Most servers of the own zone that one choice looks at.
pub const MAX_LOCAL_SAMPLE: usize = 32;

/// Most servers of each other zone that one choice looks at: what is known of them is older,
/// and fronts that look at fewer of them crowd less.
pub const MAX_REMOTE_SAMPLE: usize = 16;

/// Most servers of a service that a worker looks at in one round; the next round, a few tens
/// of milliseconds later, draws others.
pub const MAX_BATCH_SAMPLE: usize = 64;

/// The servers of a service in one zone that take new work.
#[derive(Debug, Clone, Default)]
pub struct ServerGroup {
    /// The service.
    pub service: ServiceName,
    /// The availability zone.
    pub zone: Zone,
    /// Sorted by server.
    servers: Vec<ServerInstance>,
    /// Sorted by fingerprint; the same servers.
    by_fingerprint: Vec<(ServerFingerprint, usize)>,
    /// Requests that they run at once, together.
    pub slots: u32,
}

/// The servers that take new work, by service and zone.
#[derive(Debug, Clone, Default)]
pub struct ServerIndex {
    /// Sorted by service and zone.
    groups: Vec<ServerGroup>,
}

impl ServerIndex {
    /// An index of `members`, which must be sorted by server.
    pub fn new(members: &[DirectoryEntry]) -> Self {
        let mut index = Self::default();
        let ready = members
            .iter()
            .filter(|member| member.server.state == ServerState::Ready);
        for member in ready {
            let server = &member.server;
            let group = index.group_mut(&server.service, &server.zone);
            group.servers.push(server.instance());
            group.slots += server.slots;
        }
        for group in &mut index.groups {
            let fingerprints = group.servers.iter().map(zone_loads::fingerprint);
            group.by_fingerprint = fingerprints.zip(0..).collect();
            group.by_fingerprint.sort_unstable();
        }
        index
    }

    /// The groups of `service`.
    pub fn groups_of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a ServerGroup> + 'a {
        let of_service = move |group: &&ServerGroup| group.service == service;
        self.groups.iter().filter(of_service)
    }

    fn group_mut(&mut self, service: &str, zone: &str) -> &mut ServerGroup {
        let found = self.groups.binary_search_by(|group| {
            (group.service.as_str(), group.zone.as_str()).cmp(&(service, zone))
        });
        let at = found.unwrap_or_else(|at| {
            let group = ServerGroup {
                service: service.to_owned(),
                zone: zone.to_owned(),
                ..ServerGroup::default()
            };
            self.groups.insert(at, group);
            at
        });
        &mut self.groups[at]
    }
}

impl ServerGroup {
    /// Every server if there are at most `most`, else that many in a row, from the one that
    /// `draw` means on. Rows overlap, so that no server is left out.
    pub fn sample(&self, most: usize, draw: usize) -> impl Iterator<Item = &ServerInstance> {
        let count = self.servers.len();
        let sampled = (0..count.min(most)).map(move |step| (draw + step) % count.max(1));
        sampled.map(|at| &self.servers[at])
    }

    /// The server with that fingerprint.
    pub fn find_by_fingerprint(&self, fingerprint: ServerFingerprint) -> Option<&ServerInstance> {
        let found = self
            .by_fingerprint
            .binary_search_by_key(&fingerprint, |(known, _)| *known);
        found
            .ok()
            .map(|at| &self.servers[self.by_fingerprint[at].1])
    }

    /// How many servers there are.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
