//! Observations of callers, backend servers and the soak itself during a soak run.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use foxwheel_server_emu::runs::{Arrival, Run};
use serde_json::Value;

use crate::process::{ProcessExit, Resources};

/// Kind of online request, by the route that it is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A request that may be run again.
    Plain,
    /// A request that runs at most once.
    Once,
    /// A stream that can be resumed.
    Stream,
    /// A stream that runs at most once.
    StreamOnce,
    /// A request that crashes each server that starts to run it. It may be run again.
    Crashing,
}

impl RequestKind {
    /// Returns the number of runs that the request's route allows.
    pub fn max_runs(self) -> usize {
        match self {
            Self::Plain | Self::Stream | Self::Crashing => 2,
            Self::Once | Self::StreamOnce => 1,
        }
    }
}

/// How a call ended. The report writes the names of variants and fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// The response was received completely.
    Whole {
        /// Its status code.
        status: u16,
        /// Whether the response states that the request was not run.
        not_run: bool,
        /// Its body.
        body: Vec<u8>,
    },
    /// The connection failed before the response was complete.
    Broken {
        /// Part of the response body that was received before. Empty if no response head was
        /// received.
        body: Vec<u8>,
        /// Whether an earlier call had used the same connection.
        reused: bool,
    },
    /// The connection could not be opened or failed before the request was sent.
    NotSent,
    /// The caller disconnected before the response was complete.
    Left {
        /// True if the caller had planned to disconnect early, false if its response timeout
        /// elapsed.
        meant_to: bool,
    },
}

/// The stream that a call resumes, as far as its caller received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumedStream {
    /// Id of the request that began the stream.
    pub began: String,
    /// Number of the last event that was received.
    pub last_event: u64,
    /// Version of the servers that wrote the events.
    pub version: &'static str,
}

/// A call of an online caller.
#[derive(Debug, Clone)]
pub struct Call {
    /// Request id.
    pub id: String,
    /// Kind of the request.
    pub kind: RequestKind,
    /// The stream that the call resumes; `None` if it starts a new one.
    pub resumed: Option<ResumedStream>,
    /// Index of the front.
    pub front: usize,
    /// When the caller started to connect, or started to use the connection that it had kept.
    pub connected_at: Instant,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the call ended.
    pub ended_at: Instant,
    /// How the call ended.
    pub end: CallEnd,
}

/// A batch job as seen by its client.
#[derive(Debug, Clone)]
pub struct Job {
    /// Id of the job.
    pub id: String,
    /// Number of items.
    pub item_count: usize,
    /// When the job was first submitted.
    pub submitted_at: Instant,
    /// When the client received the acceptance.
    pub accepted_at: Instant,
    /// When the front confirmed the end of the job. `None` if the client did not end it.
    pub ended_at: Option<Instant>,
    /// Results in the order in which they were read.
    pub results: Vec<Value>,
    /// Results of a second read from the first position, made after the first read was complete.
    pub second_read: Option<Vec<Value>>,
}

/// A job that was refused as not run at each attempt of its client, which then gave it up.
#[derive(Debug, Clone)]
pub struct RefusedJob {
    /// Id of the job.
    pub id: String,
    /// Number of items of the job.
    pub item_count: usize,
}

/// A run at a backend server.
#[derive(Debug, Clone)]
pub struct ServerRun {
    /// Id of the server.
    pub server: String,
    /// When the server was listed as draining or its entry was removed. `None` if neither
    /// happened.
    pub leaving_since: Option<Instant>,
    /// The run as recorded by the server.
    pub run: Run,
}

/// A request that arrived at a backend server, whether it was run or not.
#[derive(Debug, Clone)]
pub struct ServerArrival {
    /// Id of the server.
    pub server: String,
    /// Id of the request and its time of arrival.
    pub arrival: Arrival,
}

/// Which responses may be cut off by a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutScope {
    /// No responses.
    Nothing,
    /// Responses of the front with this index.
    Front(usize),
    /// Responses of any front.
    Any,
}

/// A period in which a fault was active.
#[derive(Debug, Clone, Copy)]
pub struct FaultPeriod {
    /// Start of the fault.
    pub from: Instant,
    /// End of the fault.
    pub until: Instant,
    /// Responses that the fault may cut off.
    pub cut_scope: CutScope,
}

/// A configuration that the operator wrote.
#[derive(Debug, Clone, Copy)]
pub struct ConfigWrite {
    /// Version of the configuration.
    pub version: u64,
    /// When the store had confirmed the write.
    pub stored_at: Instant,
}

/// A request to a front for a path that only one version of the configuration routes.
#[derive(Debug, Clone, Copy)]
pub struct ConfigProbe {
    /// Index of the front.
    pub front: usize,
    /// Version whose route was requested.
    pub version: u64,
    /// When the request was sent.
    pub sent_at: Instant,
    /// Whether the front routed the request.
    pub has_route: bool,
}

/// A process that was asked to stop.
#[derive(Debug, Clone)]
pub struct ProcessStop {
    /// Host of the process.
    pub host: String,
    /// How the process ended. `None` if it was still running after its stop grace.
    pub exit: Option<ProcessExit>,
}

/// All observations of a soak run.
#[derive(Debug, Default)]
pub struct Evidence {
    /// Calls that ended.
    pub calls: Vec<Call>,
    /// Jobs that were accepted.
    pub jobs: Vec<Job>,
    /// Jobs that were refused and given up by their clients.
    pub refused_jobs: Vec<RefusedJob>,
    /// Runs at all backend servers.
    pub runs: Vec<ServerRun>,
    /// Requests that arrived at backend servers.
    pub arrivals: Vec<ServerArrival>,
    /// Periods in which faults were active.
    pub fault_periods: Vec<FaultPeriod>,
    /// Configurations that were written, in order of version.
    pub configs: Vec<ConfigWrite>,
    /// Which versions of the configuration the fronts had in force.
    pub probes: Vec<ConfigProbe>,
    /// Connections that a proxy accepted for a front and the front refused: index of the front and
    /// time.
    pub refusal_times: Vec<(usize, Instant)>,
    /// Processes that were asked to stop.
    pub stops: Vec<ProcessStop>,
    /// Processes that ended without being asked to: host, and how they ended.
    pub unexpected_exits: Vec<(String, ProcessExit)>,
    /// Highest resource use of the process on each host, sorted by host.
    pub max_resources: Vec<(String, Resources)>,
    /// Number of events of a complete response.
    pub event_count: u64,
    /// Number of tokens that may wait on the route of the jobs. 0 means no limit.
    pub quota_tokens: u64,
    /// When callers and clients started. Times in the report count from here.
    pub started_at: Option<Instant>,
}

impl Evidence {
    /// Returns when something that starts at `from`, and takes up to `bound` without faults, must
    /// be complete: `bound` after `from`, or `bound` after the end of the last fault that
    /// interrupted it.
    pub fn deadline_after_faults(&self, from: Instant, bound: Duration) -> Instant {
        let mut fault_free_from = from;
        loop {
            let deadline = fault_free_from + bound;
            let interrupts =
                |period: &&FaultPeriod| period.from < deadline && period.until > fault_free_from;
            let interrupting = self.fault_periods.iter().filter(interrupts);
            match interrupting.map(|period| period.until).max() {
                Some(until) => fault_free_from = until,
                None => return deadline,
            }
        }
    }

    /// Returns whether no fault was active between `from` and `until`.
    pub fn is_fault_free(&self, from: Instant, until: Instant) -> bool {
        let mut fault_periods = self.fault_periods.iter();
        !fault_periods.any(|period| period.from < until && period.until > from)
    }

    /// Returns whether a fault may have cut off a response of the front with index `front` between
    /// `from` and `until`.
    pub fn may_be_cut_off(&self, front: usize, from: Instant, until: Instant) -> bool {
        let mut fault_periods = self.fault_periods.iter();
        fault_periods.any(|period| {
            let is_affected =
                period.cut_scope == CutScope::Any || period.cut_scope == CutScope::Front(front);
            is_affected && period.from < until && period.until > from
        })
    }

    /// Returns whether a fault affected the process of the front with index `front`, or the path
    /// from its callers to it, between `from` and `until`.
    pub fn had_front_fault(&self, front: usize, from: Instant, until: Instant) -> bool {
        let mut fault_periods = self.fault_periods.iter();
        fault_periods.any(|period| {
            period.cut_scope == CutScope::Front(front) && period.from < until && period.until > from
        })
    }

    /// Returns whether the front with index `front` refused a connection between `from` and
    /// `until`.
    pub fn has_refused_connection(&self, front: usize, from: Instant, until: Instant) -> bool {
        let mut refusal_times = self.refusal_times.iter();
        refusal_times
            .any(|(refusing_front, at)| *refusing_front == front && (from..=until).contains(at))
    }

    /// Returns the milliseconds from the start of the load to `at`.
    pub fn elapsed_ms(&self, at: Instant) -> u128 {
        let started_at = self.started_at.unwrap_or(at);
        at.saturating_duration_since(started_at).as_millis()
    }

    /// Returns the runs of a request at all servers.
    pub fn runs_of_request<'a>(&'a self, request: &'a str) -> impl Iterator<Item = &'a ServerRun> {
        let runs = self.runs.iter();
        runs.filter(move |server_run| server_run.run.request_id == request)
    }
}

/// Collects evidence from concurrent tasks.
#[derive(Debug, Default)]
pub struct Recorder(Mutex<Evidence>);

impl Recorder {
    /// Locks the evidence collected so far.
    pub fn lock(&self) -> MutexGuard<'_, Evidence> {
        self.0.lock().expect("the lock of the evidence")
    }

    /// Moves the collected evidence out.
    pub fn take_evidence(&self) -> Evidence {
        std::mem::take(&mut *self.lock())
    }
}
