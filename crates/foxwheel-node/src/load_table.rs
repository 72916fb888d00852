//! What this process knows of each backend server's load and health. All of it belongs to one
//! start of a server: a later start under the same id begins with nothing.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxwheel_core::ids::ServerId;
use foxwheel_policy::health::OutcomeHistory;
use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::zone_loads::RequestCounts;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// How long a server that was silent or could not be connected to is avoided.
const SUSPECT_FOR: Duration = Duration::from_millis(1_500);

/// Which kind of work a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkClass {
    /// A caller waits for it.
    Online,
    /// A batch item.
    Batch,
}

#[derive(Debug, Clone, Default)]
struct Entry {
    server: ServerInstance,
    online: u32,
    batch: u32,
    suspect_until: Option<Instant>,
    outcomes: OutcomeHistory,
    progress_at: Option<Instant>,
}

/// In-flight requests of this process by server, and servers it has reason to avoid.
#[derive(Debug, Default)]
pub struct LoadTable {
    /// Sorted by server and start.
    entries: Mutex<Vec<Entry>>,
    /// Servers whose load changed since the others were told; sorted.
    changed: Mutex<Vec<ServerInstance>>,
    /// Woken when the load of a server changes.
    pub load_changed: Notify,
    /// Woken when a request ends and its slot is free.
    pub slot_freed: Notify,
}

/// A request in flight; dropping it frees its slot.
#[derive(Debug)]
pub struct InFlight {
    table: Arc<LoadTable>,
    server: ServerInstance,
    class: WorkClass,
}

impl InFlight {
    /// The server.
    pub fn server(&self) -> &ServerInstance {
        &self.server
    }
}

/// Requests in flight at one start of a server from one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// The server.
    pub server: ServerInstance,
    /// Online requests.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
}

impl ServerLoad {
    /// The load alone.
    pub fn requests(&self) -> RequestCounts {
        RequestCounts {
            online: self.online,
            batch: self.batch,
        }
    }
}

/// One server's load from this process.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OwnLoad {
    /// Online requests in flight.
    pub online: u32,
    /// Batch items in flight.
    pub batch: u32,
    /// It has been silent or could not be connected to lately.
    pub is_suspected: bool,
    /// The share of this process's requests that it is expected to fail.
    pub failure_rate: f64,
}

impl LoadTable {
    /// Counts a request as in flight at `server` until the answer is dropped.
    pub fn begin_request(self: &Arc<Self>, server: &ServerInstance, class: WorkClass) -> InFlight {
        self.with(server, |entry| *entry.count(class) += 1);
        self.note_change(server);
        InFlight {
            table: Arc::clone(self),
            server: server.clone(),
            class,
        }
    }

    /// The load this process puts on `server`.
    pub fn own_load(&self, server: &ServerInstance, now: Instant) -> OwnLoad {
        let entries = self.entries.lock().expect("load lock");
        match entries.binary_search_by(|entry| entry.server.cmp(server)) {
            Ok(at) => OwnLoad {
                online: entries[at].online,
                batch: entries[at].batch,
                is_suspected: entries[at].suspect_until.is_some_and(|until| now < until),
                failure_rate: entries[at].outcomes.failure_rate(now),
            },
            Err(_) => OwnLoad::default(),
        }
    }

    /// The load on every server with requests in flight; sorted by server and start.
    pub fn snapshot(&self) -> Vec<ServerLoad> {
        let entries = self.entries.lock().expect("load lock");
        entries
            .iter()
            .filter(|entry| entry.online + entry.batch > 0)
            .map(|entry| ServerLoad {
                server: entry.server.clone(),
                online: entry.online,
                batch: entry.batch,
            })
            .collect()
    }

    /// Whether there are changes that the others were not told of.
    pub fn has_changes(&self) -> bool {
        !self
            .changed
            .lock()
            .expect("changed servers lock")
            .is_empty()
    }

    /// The load on every server whose load changed since the last call; sorted by server and
    /// start.
    pub fn take_changes(&self) -> Vec<ServerLoad> {
        let changed = std::mem::take(&mut *self.changed.lock().expect("changed servers lock"));
        let loads = changed.into_iter().map(|server| {
            let (online, batch) = self.with(&server, |entry| (entry.online, entry.batch));
            ServerLoad {
                server,
                online,
                batch,
            }
        });
        loads.collect()
    }

    fn note_change(&self, server: &ServerInstance) {
        {
            let mut changed = self.changed.lock().expect("changed servers lock");
            if let Err(at) = changed.binary_search(server) {
                changed.insert(at, server.clone());
            }
        }
        self.load_changed.notify_one();
    }

    /// Avoids `server` for a while; answers whether that is new.
    pub fn mark_suspected(&self, server: &ServerInstance, now: Instant) -> bool {
        self.with(server, |entry| {
            let known = entry.suspect_until.is_some_and(|until| now < until);
            entry.suspect_until = Some(now + SUSPECT_FOR);
            !known
        })
    }

    /// Takes note of a request that `server` served, or failed.
    pub fn record_outcome(&self, server: &ServerInstance, failed: bool, now: Instant) {
        self.with(server, |entry| entry.outcomes.record(failed, now));
    }

    /// `server` sent something: it is not avoided any more.
    pub fn record_progress(&self, server: &ServerInstance, now: Instant) {
        self.with(server, |entry| {
            entry.suspect_until = None;
            entry.progress_at = Some(now);
        });
    }

    /// Whether `server` sent nothing for any request of this process for `silence`. One
    /// request may wait long at a full server that is at work on others.
    pub fn is_silent(&self, server: &ServerInstance, silence: Duration, now: Instant) -> bool {
        self.with(server, |entry| {
            entry
                .progress_at
                .is_none_or(|at| now.duration_since(at) >= silence)
        })
    }

    /// Forgets servers that are gone.
    pub fn remove_servers(&self, gone: &[ServerId]) {
        let mut entries = self.entries.lock().expect("load lock");
        entries.retain(|entry| entry.online + entry.batch > 0 || !gone.contains(&entry.server.id));
    }

    fn with<T>(&self, server: &ServerInstance, act: impl FnOnce(&mut Entry) -> T) -> T {
        let mut entries = self.entries.lock().expect("load lock");
        let at = entries
            .binary_search_by(|entry| entry.server.cmp(server))
            .unwrap_or_else(|at| {
                let entry = Entry {
                    server: server.clone(),
                    ..Entry::default()
                };
                entries.insert(at, entry);
                at
            });
        act(&mut entries[at])
    }
}

impl Entry {
    fn count(&mut self, class: WorkClass) -> &mut u32 {
        match class {
            WorkClass::Online => &mut self.online,
            WorkClass::Batch => &mut self.batch,
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let class = self.class;
        self.table
            .with(&self.server, |entry| *entry.count(class) -= 1);
        self.table.note_change(&self.server);
        self.table.slot_freed.notify_one();
    }
}
