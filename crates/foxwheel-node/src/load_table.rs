//! This process's own load on each backend server, and its record of each server's health. All
//! of it is kept by server instance: a restarted server with the same id begins without load and
//! without failures.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxwheel_core::ids::ServerId;
use foxwheel_policy::health::OutcomeHistory;
use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::quarantine::RunKind;
use foxwheel_policy::zone_loads::RequestCounts;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// How long a server is avoided after it was silent or could not be connected to.
const SUSPICION_DURATION: Duration = Duration::from_millis(1_500);

/// The class of work that a request belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkClass {
    /// An online request, whose caller is waiting for the response.
    Online,
    /// An item of a batch job.
    Batch,
}

#[derive(Debug, Clone, Default)]
struct Entry {
    server: ServerInstance,
    online: u32,
    batch: u32,
    suspected_until: Option<Instant>,
    outcomes: OutcomeHistory,
    last_progress_at: Option<Instant>,
}

/// The requests that this process has in flight at each server, and the servers that it avoids.
#[derive(Debug, Default)]
pub struct LoadTable {
    /// Sorted by server instance.
    entries: Mutex<Vec<Entry>>,
    /// Servers whose load changed since the last report to the other processes, sorted.
    unreported: Mutex<Vec<ServerInstance>>,
    /// Notified when this process's load on a server changes.
    pub load_changed: Notify,
    /// Notified when a request ends and frees its slot.
    pub slot_freed: Notify,
}

/// A request in flight. Dropping it frees the request's slot.
#[derive(Debug)]
pub struct InFlight {
    table: Arc<LoadTable>,
    server: ServerInstance,
    class: WorkClass,
}

impl InFlight {
    /// Returns the server instance that serves the request.
    pub fn server(&self) -> &ServerInstance {
        &self.server
    }

    /// Returns the kind of the run, for the case that the server crashes.
    pub fn run_kind(&self) -> RunKind {
        match self.class {
            WorkClass::Online => RunKind::Online,
            WorkClass::Batch => RunKind::BatchItem,
        }
    }
}

/// The requests that one process has in flight at one server instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// The server instance.
    pub server: ServerInstance,
    /// Number of online requests.
    pub online: u32,
    /// Number of batch items.
    pub batch: u32,
}

impl ServerLoad {
    /// Returns the numbers of requests without the server.
    pub fn requests(&self) -> RequestCounts {
        RequestCounts {
            online: self.online,
            batch: self.batch,
        }
    }
}

/// This process's load on one server, and its view of the server's health.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OwnLoad {
    /// Number of online requests in flight.
    pub online: u32,
    /// Number of batch items in flight.
    pub batch: u32,
    /// Whether the server was recently silent or could not be connected to.
    pub is_suspected: bool,
    /// The fraction of this process's requests that the server is expected to fail, 0 to 1.
    pub failure_rate: f64,
}

impl LoadTable {
    /// Counts a request as in flight at `server` until the returned value is dropped.
    pub fn begin_request(self: &Arc<Self>, server: &ServerInstance, class: WorkClass) -> InFlight {
        self.with_entry(server, |entry| *entry.in_flight_mut(class) += 1);
        self.record_change(server);
        InFlight {
            table: Arc::clone(self),
            server: server.clone(),
            class,
        }
    }

    /// Returns the load that this process puts on `server`.
    pub fn own_load(&self, server: &ServerInstance, now: Instant) -> OwnLoad {
        let entries = self.entries.lock().expect("load lock");
        match entries.binary_search_by(|entry| entry.server.cmp(server)) {
            Ok(at) => OwnLoad {
                online: entries[at].online,
                batch: entries[at].batch,
                is_suspected: entries[at].suspected_until.is_some_and(|until| now < until),
                failure_rate: entries[at].outcomes.failure_rate(now),
            },
            Err(_) => OwnLoad::default(),
        }
    }

    /// Returns the load on every server with requests in flight, sorted by server instance.
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

    /// Returns whether the load of any server changed since the last [`Self::take_changes`].
    pub fn has_changes(&self) -> bool {
        !self
            .unreported
            .lock()
            .expect("unreported servers lock")
            .is_empty()
    }

    /// Returns the current load on every server whose load changed since the last call, sorted by
    /// server instance.
    pub fn take_changes(&self) -> Vec<ServerLoad> {
        let unreported =
            std::mem::take(&mut *self.unreported.lock().expect("unreported servers lock"));
        let loads = unreported.into_iter().map(|server| {
            let (online, batch) = self.with_entry(&server, |entry| (entry.online, entry.batch));
            ServerLoad {
                server,
                online,
                batch,
            }
        });
        loads.collect()
    }

    fn record_change(&self, server: &ServerInstance) {
        {
            let mut unreported = self.unreported.lock().expect("unreported servers lock");
            if let Err(at) = unreported.binary_search(server) {
                unreported.insert(at, server.clone());
            }
        }
        self.load_changed.notify_one();
    }

    /// Avoids `server` for `SUSPICION_DURATION` from `now`. Returns whether it was not being avoided
    /// before.
    pub fn mark_suspected(&self, server: &ServerInstance, now: Instant) -> bool {
        self.with_entry(server, |entry| {
            let was_suspected = entry.suspected_until.is_some_and(|until| now < until);
            entry.suspected_until = Some(now + SUSPICION_DURATION);
            !was_suspected
        })
    }

    /// Records whether `server` failed a request or served it.
    pub fn record_outcome(&self, server: &ServerInstance, failed: bool, now: Instant) {
        self.with_entry(server, |entry| entry.outcomes.record(failed, now));
    }

    /// Records that `server` sent something, and stops avoiding it. If it was avoided, returns how long
    /// it had sent nothing.
    pub fn record_progress(&self, server: &ServerInstance, now: Instant) -> Option<Duration> {
        self.with_entry(server, |entry| {
            let last = entry.last_progress_at.replace(now);
            let suspected_until = entry.suspected_until.take()?;
            let silence = last.map(|at| now.saturating_duration_since(at));
            silence.filter(|_| now < suspected_until)
        })
    }

    /// Returns whether `server` has sent nothing for any request of this process for `silence`.
    /// The silence of a single request is no sign of a failure, because it may wait long at a
    /// full server that is serving others.
    pub fn is_silent(&self, server: &ServerInstance, silence: Duration, now: Instant) -> bool {
        self.with_entry(server, |entry| {
            entry
                .last_progress_at
                .is_none_or(|at| now.duration_since(at) >= silence)
        })
    }

    /// Removes the records of the servers in `removed`, except of instances with requests in
    /// flight.
    pub fn remove_servers(&self, removed: &[ServerId]) {
        let mut entries = self.entries.lock().expect("load lock");
        entries
            .retain(|entry| entry.online + entry.batch > 0 || !removed.contains(&entry.server.id));
    }

    fn with_entry<T>(&self, server: &ServerInstance, update: impl FnOnce(&mut Entry) -> T) -> T {
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
        update(&mut entries[at])
    }
}

impl Entry {
    fn in_flight_mut(&mut self, class: WorkClass) -> &mut u32 {
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
            .with_entry(&self.server, |entry| *entry.in_flight_mut(class) -= 1);
        self.table.record_change(&self.server);
        self.table.slot_freed.notify_one();
    }
}
