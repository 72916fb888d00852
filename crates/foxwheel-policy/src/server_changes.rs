//! A log of changes to the list of backend servers, for processes that have an older list.

use foxwheel_core::ids::ServerId;
use serde::{Deserialize, Serialize};

use crate::backend_server::BackendServer;

/// Maximum number of changes in the log. More than 3,000 servers can register within the second
/// or two by which a process may lag behind. With a log of 512 changes, every process of a zone
/// then fetched complete lists instead, which cost 200 KB per second averaged over a day.
const MAX_CHANGES: usize = 4_096;

/// A change of one server's entry in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerChange {
    /// The entry was added or replaced by this one.
    Listed(BackendServer),
    /// The entry was removed.
    Removed(ServerId),
    /// The entry no longer describes a server, because another writer corrupted it.
    #[serde(rename = "Refused")]
    Corrupted(ServerId),
}

/// The update of a server list, sent to a process that has an older one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerUpdate {
    /// The recipient's list is already up to date.
    Nothing,
    /// The changes since the recipient's list.
    Changes {
        /// The changes, in the order in which they were made.
        changes: Vec<ServerChange>,
        /// Store revision of the list after these changes.
        revision: u64,
    },
    /// The complete list.
    List {
        /// The listed servers.
        servers: Vec<BackendServer>,
        /// Ids of the corrupted entries; sorted.
        #[serde(rename = "refused")]
        corrupted: Vec<ServerId>,
        /// Store revision of the list.
        revision: u64,
    },
}

/// The most recent changes of the server list.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Store revision after which the log contains every change; `None` before the first list.
    complete_from: Option<u64>,
    /// The changes with their store revisions, in ascending order.
    changes: Vec<(u64, ServerChange)>,
}

impl ChangeLog {
    /// Clears the log after a complete list of `revision` was received.
    pub fn restart(&mut self, revision: u64) {
        self.complete_from = Some(revision);
        self.changes.clear();
    }

    /// Appends the change made at `revision`. Drops the older half of a full log first.
    pub fn push(&mut self, revision: u64, change: ServerChange) {
        if self.changes.len() == MAX_CHANGES {
            let dropped = MAX_CHANGES / 2;
            self.complete_from = Some(self.changes[dropped - 1].0);
            self.changes.drain(..dropped);
        }
        self.changes.push((revision, change));
    }

    /// Returns the changes made after `revision`, or `None` if the log no longer has all of
    /// them.
    pub fn since(&self, revision: u64) -> Option<Vec<ServerChange>> {
        if self.complete_from.is_none_or(|from| revision < from) {
            return None;
        }
        let later = self.changes.iter().filter(|(at, _)| *at > revision);
        Some(later.map(|(_, change)| change.clone()).collect())
    }
}
