//! Changes of the list of backend servers, kept for processes that know an older list.

use foxwheel_core::ids::ServerId;
use serde::{Deserialize, Serialize};

use crate::backend_server::BackendServer;

/// Changes that are kept: more than 3,000 servers bring that register within the second or two
/// by which a process may be behind. With 512 each process of a zone took whole lists of them
/// then, 200 KB a second over a day.
const MAX_CHANGES: usize = 4_096;

/// A change of one server's entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerChange {
    /// It is listed so now.
    Listed(BackendServer),
    /// The entry was removed.
    Removed(ServerId),
    /// The entry names no server any more: another writer spoiled it.
    Refused(ServerId),
}

/// What a process is told that knows an older list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerUpdate {
    /// Its list is as new.
    Nothing,
    /// What changed since, in order.
    Changes {
        /// The changes.
        changes: Vec<ServerChange>,
        /// The store's revision that the list shows with them.
        revision: u64,
    },
    /// The whole list.
    List {
        /// The servers whose entries are listed.
        servers: Vec<BackendServer>,
        /// Entries that name no server; sorted.
        refused: Vec<ServerId>,
        /// The store's revision that they show.
        revision: u64,
    },
}

/// The last changes.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// The store's revision behind which no change is missing; none before the first list.
    complete_from: Option<u64>,
    /// In the order of their revisions.
    changes: Vec<(u64, ServerChange)>,
}

impl ChangeLog {
    /// Starts anew behind a whole list.
    pub fn restart(&mut self, revision: u64) {
        self.complete_from = Some(revision);
        self.changes.clear();
    }

    /// Adds the change of `revision`.
    pub fn push(&mut self, revision: u64, change: ServerChange) {
        if self.changes.len() == MAX_CHANGES {
            let dropped = MAX_CHANGES / 2;
            self.complete_from = Some(self.changes[dropped - 1].0);
            self.changes.drain(..dropped);
        }
        self.changes.push((revision, change));
    }

    /// The changes behind `revision`, or none if some of them are not kept.
    pub fn since(&self, revision: u64) -> Option<Vec<ServerChange>> {
        if self.complete_from.is_none_or(|from| revision < from) {
            return None;
        }
        let later = self.changes.iter().filter(|(at, _)| *at > revision);
        Some(later.map(|(_, change)| change.clone()).collect())
    }
}
