//! Which backend servers may be sent new work.
//!
//! The platform's list is followed as events and as whole lists. An entry that vanishes
//! while the list's source was out of reach may only have expired, so its server stays a
//! last resort until it had time to register again. A server may start again under its id:
//! what is known of one start never speaks for another.

use std::time::{Duration, Instant};

use foxwheel_core::ids::ServerId;

pub use crate::backend_server::{BackendServer, ServerInstance, ServerState};
use crate::server_changes::{ChangeLog, ServerChange, ServerUpdate};

/// How long after an entry vanished in calm times its server is still a last resort.
/// Half of the shortest drain bound met so far (2 s), so that no request arrives late.
const EXPIRED_ENTRY_GRACE: Duration = Duration::from_millis(800);

/// How long after the list's source came back entries that lapsed meanwhile are awaited.
/// Live servers register again within about 2 s of its return.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_400);

/// How long a start that another start's answer showed to be gone stays out of use. Longer
/// than a listed entry outlives its server (three heartbeats of 1.2 s, and an outage of the
/// store); bounded, as the answer may have been spoiled on its way.
const DEAD_INSTANCE_RETENTION: Duration = Duration::from_secs(12);

/// A listed server and what this process thinks of its entry.
#[derive(Debug, Clone)]
pub struct DirectoryEntry {
    /// The newest entry seen.
    pub server: BackendServer,
    /// Set when the entry vanished: until then the server is a last resort.
    pub grace_until: Option<Instant>,
}

impl DirectoryEntry {
    /// Whether it is a listed start later than `other`.
    fn outlives(&self, other: &BackendServer) -> bool {
        self.grace_until.is_none() && self.server.incarnation > other.incarnation
    }
}

/// The backend servers known to one process.
#[derive(Debug, Default)]
pub struct ServerDirectory {
    /// Sorted by server id.
    entries: Vec<DirectoryEntry>,
    /// Entries that name no server; sorted, disjoint from the members.
    refused: Vec<ServerId>,
    /// The store's revision that the members show, or none before the first list; only grows.
    revision: Option<u64>,
    /// Changes since a whole list.
    changes: ChangeLog,
    /// Grows with each change of the members.
    generation: u64,
    /// Set while the list's source is out of reach.
    source_lost: bool,
    /// When the list's source was last found again.
    source_back_at: Option<Instant>,
    /// Starts that this process found to be gone, and until when; sorted by start.
    dead_instances: Vec<(ServerInstance, Instant)>,
}

impl ServerDirectory {
    /// Takes one changed entry. An earlier start than the one that is listed changes nothing:
    /// its last write may be done after the first of the later start. Once the entry was
    /// removed, any start counts, as the clock that it goes by may have been set back.
    pub fn upsert(&mut self, server: BackendServer) {
        self.generation += 1;
        self.refused.retain(|id| *id != server.id);
        let member = DirectoryEntry {
            server,
            grace_until: None,
        };
        match self.position(&member.server.id) {
            Ok(at) if self.entries[at].outlives(&member.server) => {}
            Ok(at) => self.entries[at] = member,
            Err(at) => self.entries.insert(at, member),
        }
    }

    /// Takes note that the entry of `id` names no server any more: another writer spoiled
    /// it. The server is used again once its entry is whole.
    pub fn refuse_entry(&mut self, id: &str) {
        self.generation += 1;
        if let Ok(at) = self.position(id) {
            self.entries.remove(at);
        }
        if let Err(at) = self
            .refused
            .binary_search_by(|known| known.as_str().cmp(id))
        {
            self.refused.insert(at, id.to_owned());
        }
    }

    /// Takes note that a start is gone for certain: its address answered as another start.
    /// Answers whether that is new.
    pub fn record_dead_instance(&mut self, start: ServerInstance, now: Instant) -> bool {
        self.dead_instances.retain(|(_, until)| now < *until);
        let until = now + DEAD_INSTANCE_RETENTION;
        match self
            .dead_instances
            .binary_search_by(|(known, _)| known.cmp(&start))
        {
            Ok(at) => {
                self.dead_instances[at].1 = until;
                false
            }
            Err(at) => {
                self.dead_instances.insert(at, (start, until));
                true
            }
        }
    }

    /// Starts that this process found to be gone a short while ago; sorted.
    pub fn dead_instances(&self, now: Instant) -> Vec<ServerInstance> {
        let lasting = self.dead_instances.iter().filter(|(_, until)| now < *until);
        lasting.map(|(start, _)| start.clone()).collect()
    }

    fn is_dead(&self, server: &BackendServer, now: Instant) -> bool {
        let found = self.dead_instances.binary_search_by(|(start, _)| {
            (start.id.as_str(), start.incarnation).cmp(&(server.id.as_str(), server.incarnation))
        });
        found.is_ok_and(|at| now < self.dead_instances[at].1)
    }

    /// Takes note that the entry of `id` was removed.
    pub fn remove(&mut self, id: &str, now: Instant) {
        self.generation += 1;
        self.refused.retain(|refused| refused != id);
        let Ok(at) = self.position(id) else { return };
        let until = self.grace_end(now);
        let member = &mut self.entries[at];
        if member.server.state == ServerState::Draining {
            self.entries.remove(at);
        } else {
            member.grace_until.get_or_insert(until);
        }
    }

    /// Takes a whole list: what is missing from it counts as removed.
    fn replace_all(&mut self, listed: Vec<BackendServer>, now: Instant) {
        let missing: Vec<ServerId> = self
            .entries
            .iter()
            .map(|member| &member.server.id)
            .filter(|id| !listed.iter().any(|server| server.id == **id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(&id, now);
        }
        for server in listed {
            self.upsert(server);
        }
    }

    /// Takes a whole list as it was at `revision` of the store, unless what is known is newer:
    /// lists come from the store and from peers, and a peer's may be late. Answers whether it
    /// was taken.
    pub fn apply_list(&mut self, listed: Vec<BackendServer>, revision: u64, now: Instant) -> bool {
        if self.revision.is_some_and(|known| known > revision) {
            return false;
        }
        self.refused.clear();
        self.replace_all(listed, now);
        self.revision = Some(revision);
        self.changes.restart(revision);
        true
    }

    /// Takes one change, made at `revision` of the store, unless the members show it already:
    /// another process may have told of it and of later ones.
    pub fn apply_change(&mut self, change: ServerChange, revision: u64, now: Instant) {
        if self.revision.is_some_and(|known| revision <= known) {
            return;
        }
        match change.clone() {
            ServerChange::Listed(server) => self.upsert(server),
            ServerChange::Removed(id) => self.remove(&id, now),
            ServerChange::Refused(id) => self.refuse_entry(&id),
        }
        self.changes.push(revision, change);
    }

    /// What a process is told that knows the list as it was at `known`, if any.
    pub fn updates_since(&self, known: Option<u64>) -> ServerUpdate {
        let Some(revision) = self.revision.filter(|_| known < self.revision) else {
            return ServerUpdate::Nothing;
        };
        if let Some(changes) = known.and_then(|known| self.changes.since(known)) {
            return ServerUpdate::Changes { changes, revision };
        }
        let listed = self.entries.iter();
        let listed = listed.filter(|member| member.grace_until.is_none());
        ServerUpdate::List {
            servers: listed.map(|member| member.server.clone()).collect(),
            refused: self.refused.clone(),
            revision,
        }
    }

    /// Takes what another process told; `asked_from` is the revision that was known here when
    /// it was asked. Answers whether the list is newer now.
    pub fn apply_update(
        &mut self,
        news: ServerUpdate,
        asked_from: Option<u64>,
        now: Instant,
    ) -> bool {
        match news {
            ServerUpdate::Nothing => false,
            // What was taken meanwhile is newer, or the next news brings it.
            ServerUpdate::Changes { .. } if self.revision != asked_from => false,
            ServerUpdate::Changes { changes, revision } => {
                for change in changes {
                    self.apply_change(change, revision, now);
                }
                self.advance_revision(revision);
                true
            }
            ServerUpdate::List {
                servers,
                refused,
                revision,
            } => {
                let taken = self.apply_list(servers, revision, now);
                for id in refused.iter().filter(|_| taken) {
                    self.refuse_entry(id);
                }
                taken
            }
        }
    }

    /// Takes note that every change up to `revision` was taken.
    pub fn advance_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(Some(revision));
    }

    /// The store's revision that the members show, or none before the first list.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// The list's source cannot be reached.
    pub fn record_source_lost(&mut self) {
        self.source_lost = true;
    }

    /// The list's source answers again; call before taking its first list.
    pub fn record_source_regained(&mut self, now: Instant) {
        if self.source_lost {
            self.source_lost = false;
            self.source_back_at = Some(now);
        }
    }

    /// Drops servers whose grace after a vanished entry is over; answers their ids.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<ServerId> {
        let mut gone = Vec::new();
        self.entries.retain(|member| {
            let keep = member.grace_until.is_none_or(|until| now < until);
            if !keep {
                self.generation += 1;
                gone.push(member.server.id.clone());
            }
            keep
        });
        gone
    }

    /// Servers of `service` that may be sent new work, last resorts included.
    pub fn usable_servers<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = &'a DirectoryEntry> {
        self.entries
            .iter()
            .filter(move |member| member.server.service == service)
            .filter(move |member| self.is_usable(member, now))
    }

    /// That start of a server, if it may be sent new work, as a last resort at least.
    pub fn usable_entry(&self, key: &ServerInstance, now: Instant) -> Option<&DirectoryEntry> {
        let member = &self.entries[self.position(&key.id).ok()?];
        let is_start = member.server.incarnation == key.incarnation;
        (is_start && self.is_usable(member, now)).then_some(member)
    }

    fn is_usable(&self, member: &DirectoryEntry, now: Instant) -> bool {
        member.server.state == ServerState::Ready && !self.is_dead(&member.server, now)
    }

    /// That start of a server, if it is the one that is known.
    pub fn server(&self, key: &ServerInstance) -> Option<&BackendServer> {
        let at = self.position(&key.id).ok()?;
        let server = &self.entries[at].server;
        (server.incarnation == key.incarnation).then_some(server)
    }

    /// Tells whether the members changed since it was asked before.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Every member, sorted by id.
    pub fn entries(&self) -> &[DirectoryEntry] {
        &self.entries
    }

    fn grace_end(&self, now: Instant) -> Instant {
        if self.source_lost {
            return now + REREGISTRATION_GRACE;
        }
        let calm = now + EXPIRED_ENTRY_GRACE;
        match self.source_back_at {
            Some(back_at) => calm.max(back_at + REREGISTRATION_GRACE),
            None => calm,
        }
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|member| member.server.id.as_str().cmp(id))
    }
}
