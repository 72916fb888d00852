//! The directory of backend servers, which decides to which of them new work may be sent.
//!
//! The directory applies the platform's list as single changes and as complete lists. An entry
//! that is removed while the source of the list is out of reach may only have expired there, so
//! its server stays usable as a last resort until it has had time to register again. A server
//! may restart under the same id: nothing known of one instance is applied to another one.

use std::time::{Duration, Instant};

use foxwheel_core::ids::ServerId;

pub use crate::backend_server::{BackendServer, ServerInstance, ServerState};
use crate::drain_timing;
use crate::server_changes::{ChangeLog, ServerChange, ServerUpdate};
use crate::stream_origin::StreamOrigin;
use crate::version_history::{GapNumber, VersionHistory, VersionRecord};

/// How long a server without an entry stays usable as a last resort while the source of the list
/// is reachable, unless [`drain_timing::MAX_USE_AFTER_CONFIRMATION`] ends sooner.
const EXPIRED_ENTRY_GRACE: Duration = Duration::from_millis(800);

/// How long after the source of the list is reachable again servers whose entries expired in
/// the meantime stay usable. Live servers register again within about 2 s.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_400);

/// How long an instance stays out of use after another instance responded at its address. Longer
/// than the entry of a dead server stays listed (three heartbeats of 1.2 s, plus an outage of
/// the store), but bounded, because that response may have been corrupted in transit.
const DEAD_INSTANCE_RETENTION: Duration = Duration::from_secs(12);

/// A server in the directory.
#[derive(Debug, Clone)]
pub struct DirectoryEntry {
    /// The newest entry received from the platform's list.
    pub server: BackendServer,
    /// Set once the entry has been removed from the list: until when the server stays usable as
    /// a last resort.
    pub grace_until: Option<Instant>,
}

impl DirectoryEntry {
    /// Returns whether this is a later instance than `other` and still listed.
    fn supersedes(&self, other: &BackendServer) -> bool {
        self.grace_until.is_none() && self.server.incarnation > other.incarnation
    }
}

/// The backend servers that one process knows.
#[derive(Debug, Default)]
pub struct ServerDirectory {
    /// Sorted by server id.
    entries: Vec<DirectoryEntry>,
    /// Ids of corrupted entries, which describe no server; sorted, disjoint from `entries`.
    corrupted: Vec<ServerId>,
    /// Store revision that the entries correspond to; `None` before the first list. It never
    /// decreases.
    revision: Option<u64>,
    /// The changes since the last complete list.
    changes: ChangeLog,
    /// Incremented with each change of the entries.
    generation: u64,
    /// When the entries were last known to be those of the list; `None` if that is not known.
    confirmed_at: Option<Instant>,
    /// Whether the source of the list is out of reach.
    source_lost: bool,
    /// When the source of the list last became reachable again.
    source_regained_at: Option<Instant>,
    /// Instances that this process found dead, and until when they stay out of use; sorted by
    /// instance.
    dead_instances: Vec<(ServerInstance, Instant)>,
    /// The versions of servers that are not among the entries any more.
    version_history: VersionHistory,
}

impl ServerDirectory {
    /// Adds or replaces one entry.
    ///
    /// An earlier instance than the listed one is ignored, because its last write may complete
    /// after the first write of the later instance. Once the entry has been removed, any instance
    /// is accepted, because the host's clock, from which the incarnation is taken, may have been
    /// set back.
    pub fn upsert(&mut self, server: BackendServer) {
        self.generation += 1;
        self.corrupted.retain(|id| *id != server.id);
        let entry = DirectoryEntry {
            server,
            grace_until: None,
        };
        match self.position(&entry.server.id) {
            Ok(at) if self.entries[at].supersedes(&entry.server) => {}
            Ok(at) => {
                let replaced = std::mem::replace(&mut self.entries[at], entry);
                if replaced.server.origin() != self.entries[at].server.origin() {
                    self.version_history.record_gone(&replaced.server);
                }
            }
            Err(at) => self.entries.insert(at, entry),
        }
    }

    /// Removes the server `id`, whose entry describes no server any more because another writer
    /// corrupted it. The server is used again once its entry is valid.
    pub fn record_corrupted_entry(&mut self, id: &str) {
        self.generation += 1;
        if let Ok(at) = self.position(id) {
            self.remove_at(at);
        }
        if let Err(at) = self
            .corrupted
            .binary_search_by(|known| known.as_str().cmp(id))
        {
            self.corrupted.insert(at, id.to_owned());
        }
    }

    /// Records that `instance` is dead, because another instance responded at its address.
    /// Returns whether that was not known yet.
    pub fn record_dead_instance(&mut self, instance: ServerInstance, now: Instant) -> bool {
        self.dead_instances.retain(|(_, until)| now < *until);
        let until = now + DEAD_INSTANCE_RETENTION;
        match self
            .dead_instances
            .binary_search_by(|(known, _)| known.cmp(&instance))
        {
            Ok(at) => {
                self.dead_instances[at].1 = until;
                false
            }
            Err(at) => {
                self.dead_instances.insert(at, (instance, until));
                true
            }
        }
    }

    /// Returns the instances that this process recently found dead, sorted.
    pub fn dead_instances(&self, now: Instant) -> Vec<ServerInstance> {
        let current = self.dead_instances.iter().filter(|(_, until)| now < *until);
        current.map(|(instance, _)| instance.clone()).collect()
    }

    fn is_dead(&self, server: &BackendServer, now: Instant) -> bool {
        let found = self.dead_instances.binary_search_by(|(instance, _)| {
            (instance.id.as_str(), instance.incarnation)
                .cmp(&(server.id.as_str(), server.incarnation))
        });
        found.is_ok_and(|at| now < self.dead_instances[at].1)
    }

    /// Records that the entry of `id` was removed from the platform's list. A draining server is
    /// dropped immediately; any other one stays usable as a last resort until its grace is over.
    pub fn remove_entry(&mut self, id: &str, now: Instant) {
        self.generation += 1;
        self.corrupted.retain(|known| known != id);
        let Ok(at) = self.position(id) else { return };
        let grace_until = self.grace_end(now);
        let entry = &mut self.entries[at];
        if entry.server.state == ServerState::Draining {
            self.remove_at(at);
        } else {
            entry.grace_until.get_or_insert(grace_until);
        }
    }

    fn remove_at(&mut self, at: usize) {
        let removed = self.entries.remove(at);
        self.version_history.record_gone(&removed.server);
    }

    /// Applies a complete list; servers that are missing from it count as removed.
    fn replace_all(&mut self, listed: Vec<BackendServer>, now: Instant) {
        let missing: Vec<ServerId> = self
            .entries
            .iter()
            .map(|entry| &entry.server.id)
            .filter(|id| !listed.iter().any(|server| server.id == **id))
            .cloned()
            .collect();
        for id in missing {
            self.remove_entry(&id, now);
        }
        for server in listed {
            self.upsert(server);
        }
    }

    /// Applies a complete list of store revision `revision`, unless the directory is newer: lists
    /// come from the store and from peers, and a peer's list may be outdated. Returns whether the
    /// list was applied.
    pub fn apply_list(&mut self, listed: Vec<BackendServer>, revision: u64, now: Instant) -> bool {
        if self.revision.is_some_and(|known| known > revision) {
            return false;
        }
        self.corrupted.clear();
        self.version_history.record_gap();
        self.replace_all(listed, now);
        self.revision = Some(revision);
        self.changes.restart(revision);
        true
    }

    /// Applies one change made at store revision `revision`, unless the directory includes it
    /// already: another process may have sent it together with later ones.
    pub fn apply_change(&mut self, change: ServerChange, revision: u64, now: Instant) {
        if self.revision.is_some_and(|known| revision <= known) {
            return;
        }
        match change.clone() {
            ServerChange::Listed(server) => self.upsert(server),
            ServerChange::Removed(id) => self.remove_entry(&id, now),
            ServerChange::Corrupted(id) => self.record_corrupted_entry(&id),
        }
        self.changes.push(revision, change);
    }

    /// Returns the update for a process whose list has revision `known`, or that has no list yet.
    pub fn updates_since(&self, known: Option<u64>) -> ServerUpdate {
        let Some(revision) = self.revision.filter(|_| known < self.revision) else {
            return ServerUpdate::Nothing;
        };
        if let Some(changes) = known.and_then(|known| self.changes.since(known)) {
            return ServerUpdate::Changes { changes, revision };
        }
        let listed = self.entries.iter();
        let listed = listed.filter(|entry| entry.grace_until.is_none());
        ServerUpdate::List {
            servers: listed.map(|entry| entry.server.clone()).collect(),
            corrupted: self.corrupted.clone(),
            revision,
        }
    }

    /// Applies an update received from another process. `requested_from` is the revision of this
    /// directory when the update was requested. Returns whether the directory is newer now.
    pub fn apply_update(
        &mut self,
        update: ServerUpdate,
        requested_from: Option<u64>,
        now: Instant,
    ) -> bool {
        match update {
            ServerUpdate::Nothing => false,
            // The directory has changed since the request. It is newer than these changes, or the
            // next update includes them.
            ServerUpdate::Changes { .. } if self.revision != requested_from => false,
            ServerUpdate::Changes { changes, revision } => {
                for change in changes {
                    self.apply_change(change, revision, now);
                }
                self.advance_revision(revision);
                true
            }
            ServerUpdate::List {
                servers,
                corrupted,
                revision,
            } => {
                let applied = self.apply_list(servers, revision, now);
                for id in corrupted.iter().filter(|_| applied) {
                    self.record_corrupted_entry(id);
                }
                applied
            }
        }
    }

    /// Records that every change up to `revision` has been applied.
    pub fn advance_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(Some(revision));
    }

    /// Returns the store revision that the entries correspond to, or `None` before the first list.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Records when the entries were last known to be those of the list, which limits for how long
    /// servers without an entry are used. Must be called before an update is applied.
    pub fn record_confirmed(&mut self, confirmed_at: Option<Instant>) {
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
    }

    /// Records that the source of the list is out of reach.
    pub fn record_source_lost(&mut self) {
        self.source_lost = true;
    }

    /// Records that the source of the list is reachable again. Must be called before its first
    /// list is applied.
    pub fn record_source_regained(&mut self, now: Instant) {
        if self.source_lost {
            self.source_lost = false;
            self.source_regained_at = Some(now);
        }
    }

    /// Drops the servers whose grace after the removal of their entry is over, and returns their
    /// ids.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<ServerId> {
        let mut removed = Vec::new();
        self.entries.retain(|entry| {
            let keep = entry.grace_until.is_none_or(|until| now < until);
            if !keep {
                self.generation += 1;
                self.version_history.record_gone(&entry.server);
                removed.push(entry.server.id.clone());
            }
            keep
        });
        self.version_history.expire(now);
        removed
    }

    /// Returns the servers of `service` to which new work may be sent, including those that are
    /// only a last resort.
    pub fn usable_entries<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = &'a DirectoryEntry> {
        self.entries
            .iter()
            .filter(move |entry| entry.server.service == service)
            .filter(move |entry| self.is_usable(entry, now))
    }

    /// Returns the entry of a server instance if new work may be sent to it, at least as a last
    /// resort.
    pub fn usable_entry(&self, instance: &ServerInstance, now: Instant) -> Option<&DirectoryEntry> {
        let entry = &self.entries[self.position(&instance.id).ok()?];
        let is_same_instance = entry.server.incarnation == instance.incarnation;
        (is_same_instance && self.is_usable(entry, now)).then_some(entry)
    }

    fn is_usable(&self, entry: &DirectoryEntry, now: Instant) -> bool {
        let is_listed = entry.grace_until.is_none_or(|until| now < until);
        is_listed && entry.server.state == ServerState::Ready && !self.is_dead(&entry.server, now)
    }

    /// Returns the entry's server of `instance`, or `None` if the directory has no server of that
    /// id or another instance of it.
    pub fn server(&self, instance: &ServerInstance) -> Option<&BackendServer> {
        let at = self.position(&instance.id).ok()?;
        let server = &self.entries[at].server;
        (server.incarnation == instance.incarnation).then_some(server)
    }

    /// Returns the gap in what the directory knows of versions that left, or `None` if there is none.
    pub fn version_gap(&self) -> Option<GapNumber> {
        self.version_history.open_gap()
    }

    /// Closes a gap with records that were read after it, as [`VersionHistory::close_gap`] does.
    pub fn close_version_gap(&mut self, gap: GapNumber, records: &[VersionRecord]) {
        let listed = self.listed_origins();
        let is_listed = |origin: &StreamOrigin| listed.binary_search(origin).is_ok();
        self.version_history.close_gap(gap, records, is_listed);
    }

    /// Returns the origins of the streams that the servers of the directory begin, sorted.
    pub fn listed_origins(&self) -> Vec<StreamOrigin> {
        let servers = self.entries.iter().map(|entry| &entry.server);
        let mut origins: Vec<StreamOrigin> = servers.map(BackendServer::origin).collect();
        origins.sort_unstable();
        origins.dedup();
        origins
    }

    /// Returns the origin of all streams that servers of `service` may have begun, or `None` if there
    /// are several: servers of another version serve as well, or did until recently. Also `None` while
    /// versions may have left unnoticed.
    pub fn sole_origin(&self, service: &str) -> Option<StreamOrigin> {
        if self.version_gap().is_some() {
            return None;
        }
        let listed = self.entries.iter().map(|entry| &entry.server);
        let mut listed = listed.filter(|server| server.service == service);
        let origin = listed.next()?.origin();
        let is_sole = listed.all(|server| server.version == origin.version);
        let mut gone = self.version_history.origins();
        let is_other = |gone: &StreamOrigin| gone.service == service && *gone != origin;
        (is_sole && !gone.any(is_other)).then_some(origin)
    }

    /// Returns a number that increases with each change of the entries.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns every entry, sorted by server id.
    pub fn entries(&self) -> &[DirectoryEntry] {
        &self.entries
    }

    fn grace_end(&self, now: Instant) -> Instant {
        if self.source_lost {
            return now + REREGISTRATION_GRACE;
        }
        let last_use = self.confirmed_at.map_or(now, |confirmed_at| {
            confirmed_at + drain_timing::MAX_USE_AFTER_CONFIRMATION
        });
        let grace_end = last_use.min(now + EXPIRED_ENTRY_GRACE);
        match self.source_regained_at {
            Some(regained_at) => grace_end.max(regained_at + REREGISTRATION_GRACE),
            None => grace_end,
        }
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.server.id.as_str().cmp(id))
    }
}
