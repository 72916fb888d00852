//! What callers, backend servers and the soak itself saw in a run.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use foxwheel_server_emu::runs::{Arrival, Run};
use serde_json::Value;

use crate::process::{Ended, Resources};

/// What a caller asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May be run again.
    Plain,
    /// Runs once at most.
    Once,
    /// A stream that may be resumed.
    Stream,
    /// A stream that runs once at most.
    StreamOnce,
    /// Crashes each server that begins to run it; may be run again.
    Crashing,
}

impl Kind {
    /// Runs that its route allows.
    pub fn most_runs(self) -> usize {
        match self {
            Self::Plain | Self::Stream | Self::Crashing => 2,
            Self::Once | Self::StreamOnce => 1,
        }
    }
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// An answer whose body ended whole.
    Whole {
        /// Its status.
        status: u16,
        /// Whether it says that nothing was run.
        not_run: bool,
        /// Its body.
        body: Vec<u8>,
    },
    /// The connection broke.
    Broken {
        /// What had come of a success's body.
        body: Vec<u8>,
        /// Whether the connection had served a call before.
        reused: bool,
    },
    /// There was no connection, so nothing was sent.
    NotSent,
    /// The caller left before the end.
    Left {
        /// As it meant to from the start, not because it waited too long.
        meant_to: bool,
    },
}

/// One call of a caller.
#[derive(Debug, Clone)]
pub struct Call {
    /// Its request's id.
    pub id: String,
    /// What it asked for.
    pub kind: Kind,
    /// The front's place.
    pub front: usize,
    /// When its caller began to connect, or took the connection it had kept.
    pub connected_at: Instant,
    /// When it was sent.
    pub sent_at: Instant,
    /// When it ended.
    pub ended_at: Instant,
    /// How.
    pub end: CallEnd,
}

/// A batch job as its client saw it.
#[derive(Debug, Clone)]
pub struct Job {
    /// Its id.
    pub id: String,
    /// Its items.
    pub count: usize,
    /// When it was first submitted.
    pub submitted_at: Instant,
    /// When it was accepted.
    pub accepted_at: Instant,
    /// When its end was confirmed, if the client ended it.
    pub ended_at: Option<Instant>,
    /// Its results in the order read.
    pub results: Vec<Value>,
    /// The same, read once more from the start after all were there.
    pub read_again: Option<Vec<Value>>,
}

/// A run at a backend server.
#[derive(Debug, Clone)]
pub struct ServerRun {
    /// The server's id.
    pub server: String,
    /// When the server was listed as draining or its entry was removed.
    pub leaving_since: Option<Instant>,
    /// The run.
    pub run: Run,
}

/// A request that reached a backend server, whether it was run or not.
#[derive(Debug, Clone)]
pub struct ServerArrival {
    /// The server's id.
    pub server: String,
    /// The request's id and when it came.
    pub arrival: Arrival,
}

/// Whose answers a disturbance may break.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cuts {
    /// Nobody's.
    Nothing,
    /// Those of the front at this place.
    Front(usize),
    /// Anyone's.
    Any,
}

/// A time in which a fault was on.
#[derive(Debug, Clone, Copy)]
pub struct Disturbance {
    /// Its begin.
    pub from: Instant,
    /// Its end.
    pub until: Instant,
    /// What it may break.
    pub cuts: Cuts,
}

/// The operator wrote a configuration.
#[derive(Debug, Clone, Copy)]
pub struct ConfigWrite {
    /// Its version.
    pub version: u64,
    /// When the store had it.
    pub at: Instant,
}

/// A front was asked for the path that only one version routes.
#[derive(Debug, Clone, Copy)]
pub struct ConfigProbe {
    /// The front's place.
    pub front: usize,
    /// The version.
    pub version: u64,
    /// When it was asked.
    pub at: Instant,
    /// Whether it has the route.
    pub routed: bool,
}

/// A process was asked to stop.
#[derive(Debug, Clone)]
pub struct Stop {
    /// Its host.
    pub host: String,
    /// How it ended; none if not within its grace.
    pub ended: Option<Ended>,
}

/// Everything seen in a run.
#[derive(Debug, Default)]
pub struct Evidence {
    /// Calls that ended.
    pub calls: Vec<Call>,
    /// Jobs that were accepted.
    pub jobs: Vec<Job>,
    /// Runs of all servers.
    pub runs: Vec<ServerRun>,
    /// What reached the servers.
    pub arrivals: Vec<ServerArrival>,
    /// Faults.
    pub disturbances: Vec<Disturbance>,
    /// Configurations.
    pub configs: Vec<ConfigWrite>,
    /// What fronts had in force.
    pub probes: Vec<ConfigProbe>,
    /// Connections that a path had taken for the front at a place and that front refused.
    pub refusals: Vec<(usize, Instant)>,
    /// Planned stops.
    pub stops: Vec<Stop>,
    /// Processes that ended unasked, and how.
    pub unasked_ends: Vec<(String, Ended)>,
    /// The most that each host's process held.
    pub resources: Vec<(String, Resources)>,
    /// Events of a whole answer.
    pub events: u64,
    /// Tokens that may wait on the route of the jobs; 0 is no limit.
    pub quota_tokens: u64,
    /// When the users of the fleet began; times are told from then on.
    pub began_at: Option<Instant>,
}

impl Evidence {
    /// When something that began at `from` and takes `bound` without faults is over at the
    /// latest: `bound` after `from` or after the last fault that came in between.
    pub fn settled_by(&self, from: Instant, bound: Duration) -> Instant {
        let mut quiet_from = from;
        loop {
            let quiet_until = quiet_from + bound;
            let disturbs = |one: &&Disturbance| one.from < quiet_until && one.until > quiet_from;
            let disturbing = self.disturbances.iter().filter(disturbs);
            match disturbing.map(|one| one.until).max() {
                Some(until) => quiet_from = until,
                None => return quiet_until,
            }
        }
    }

    /// Whether nothing disturbed the fleet between `from` and `until`.
    pub fn is_quiet(&self, from: Instant, until: Instant) -> bool {
        let mut disturbances = self.disturbances.iter();
        !disturbances.any(|one| one.from < until && one.until > from)
    }

    /// Whether a fault may have broken an answer of the front at `front` in this time.
    pub fn may_be_cut(&self, front: usize, from: Instant, until: Instant) -> bool {
        let mut disturbances = self.disturbances.iter();
        disturbances.any(|one| {
            let reaches = one.cuts == Cuts::Any || one.cuts == Cuts::Front(front);
            reaches && one.from < until && one.until > from
        })
    }

    /// Whether a fault kept the front at `front` itself, or its callers from it, in this time.
    pub fn was_kept(&self, front: usize, from: Instant, until: Instant) -> bool {
        let mut disturbances = self.disturbances.iter();
        disturbances
            .any(|one| one.cuts == Cuts::Front(front) && one.from < until && one.until > from)
    }

    /// Whether the front at `front` refused a connection in this time.
    pub fn has_refused(&self, front: usize, from: Instant, until: Instant) -> bool {
        let mut refusals = self.refusals.iter();
        refusals.any(|(by, at)| *by == front && (from..=until).contains(at))
    }

    /// Milliseconds from the begin to `at`.
    pub fn at_ms(&self, at: Instant) -> u128 {
        let began_at = self.began_at.unwrap_or(at);
        at.saturating_duration_since(began_at).as_millis()
    }

    /// Runs of a request.
    pub fn runs_of<'a>(&'a self, request: &'a str) -> impl Iterator<Item = &'a ServerRun> {
        let runs = self.runs.iter();
        runs.filter(move |seen| seen.run.request_id == request)
    }
}

/// Evidence while it is gathered.
#[derive(Debug, Default)]
pub struct Record(Mutex<Evidence>);

impl Record {
    /// The evidence so far.
    pub fn lock(&self) -> MutexGuard<'_, Evidence> {
        self.0.lock().expect("the record's lock")
    }

    /// Takes the evidence out.
    pub fn take(&self) -> Evidence {
        std::mem::take(&mut *self.lock())
    }
}
