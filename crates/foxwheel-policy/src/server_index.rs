//! An index of the ready servers by service and zone, and bounded samples of it from which a
//! server is chosen.
//!
//! Load pattern: thousands of servers. A choice that examines all of them costs a front more
//! than forwarding the response (with 3,000 servers 18 % of its CPU time) and gains nothing: the
//! least loaded server of a random sample of a few dozen is nearly as free as the least loaded
//! of all, and fronts with different samples do not all fill the same server.

use foxwheel_core::ids::{ServiceName, SoftwareVersion, Zone};

use crate::backend_server::{ServerInstance, ServerState};
use crate::membership::DirectoryEntry;
use crate::zone_loads::{self, ServerFingerprint};

/// Maximum number of servers of the own zone that are examined for one choice.
pub const MAX_LOCAL_SAMPLE: usize = 32;

/// Maximum number of servers of each other zone that are examined for one choice. It is smaller
/// because the loads known of other zones are older, and fronts that examine fewer of those
/// servers are less likely to choose the same one.
pub const MAX_REMOTE_SAMPLE: usize = 16;

/// Maximum number of servers of a service that a worker examines in one scheduling round; the
/// next round, a few tens of milliseconds later, draws a different sample.
pub const MAX_BATCH_SAMPLE: usize = 64;

/// The ready servers of one service in one zone.
#[derive(Debug, Clone, Default)]
pub struct ServerGroup {
    /// The service.
    pub service: ServiceName,
    /// The availability zone.
    pub zone: Zone,
    /// Sorted by instance.
    servers: Vec<ServerInstance>,
    /// The software version of each server, at the same positions as `servers`.
    versions: Vec<SoftwareVersion>,
    /// Fingerprint and position in `servers` of each server; sorted by fingerprint.
    by_fingerprint: Vec<(ServerFingerprint, usize)>,
    /// Number of requests that the servers of the group run concurrently in total.
    pub slots: u32,
}

/// The ready servers by service and zone.
#[derive(Debug, Clone, Default)]
pub struct ServerIndex {
    /// Sorted by service and zone.
    groups: Vec<ServerGroup>,
}

impl ServerIndex {
    /// Builds an index of `entries`, which must be sorted by server id.
    pub fn new(entries: &[DirectoryEntry]) -> Self {
        let mut index = Self::default();
        let ready = entries
            .iter()
            .filter(|entry| entry.server.state == ServerState::Ready);
        for entry in ready {
            let server = &entry.server;
            let group = index.group_mut(&server.service, &server.zone);
            group.servers.push(server.instance());
            group.versions.push(server.version.clone());
            group.slots += server.slots;
        }
        for group in &mut index.groups {
            let fingerprints = group.servers.iter().map(zone_loads::fingerprint);
            group.by_fingerprint = fingerprints.zip(0..).collect();
            group.by_fingerprint.sort_unstable();
        }
        index
    }

    /// Returns the groups of `service`, one per zone.
    pub fn groups_of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a ServerGroup> + 'a {
        let is_of_service = move |group: &&ServerGroup| group.service == service;
        self.groups.iter().filter(is_of_service)
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
    /// Returns every server if there are at most `max_count`, else `max_count` consecutive ones
    /// from the position that `draw` selects. Every server is part of some sample, because
    /// samples of adjacent positions overlap.
    pub fn sample(&self, max_count: usize, draw: usize) -> impl Iterator<Item = &ServerInstance> {
        let count = self.servers.len();
        let sampled = (0..count.min(max_count)).map(move |step| (draw + step) % count.max(1));
        sampled.map(|at| &self.servers[at])
    }

    /// Returns a sample as [`Self::sample`] does, but only of servers of that software version.
    pub fn sample_of_version<'a>(
        &'a self,
        version: &'a str,
        max_count: usize,
        draw: usize,
    ) -> impl Iterator<Item = &'a ServerInstance> + 'a {
        let count = self.servers.len();
        let positions = (0..count).map(move |step| (draw % count + step) % count);
        let of_version = positions.filter(move |at| self.versions[*at] == version);
        of_version.take(max_count).map(|at| &self.servers[at])
    }

    /// Returns all servers, sorted by instance.
    pub fn servers(&self) -> &[ServerInstance] {
        &self.servers
    }

    /// Returns the server with that fingerprint, or `None` if the group has none.
    pub fn find_by_fingerprint(&self, fingerprint: ServerFingerprint) -> Option<&ServerInstance> {
        let found = self
            .by_fingerprint
            .binary_search_by_key(&fingerprint, |(known, _)| *known);
        found
            .ok()
            .map(|at| &self.servers[self.by_fingerprint[at].1])
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether the group has no server.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
