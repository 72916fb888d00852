//! Evidence of soak runs, put together by hand.

use std::time::{Duration, Instant};

use foxwheel_server_emu::runs::{Arrival, Run};
use foxwheel_soak::checks::{self, Promise};
use foxwheel_soak::evidence::{Call, CallEnd, CutScope, Evidence, FaultPeriod};
use foxwheel_soak::evidence::{RequestKind, ServerArrival, ServerRun};
use foxwheel_soak::store_entries::VERSIONS;

/// Number of events of a complete stream.
pub const EVENT_COUNT: u64 = 3;

/// Evidence of a run that started at `started_at`.
pub struct Case {
    started_at: Instant,
    /// The evidence so far.
    pub evidence: Evidence,
}

impl Case {
    /// Creates the evidence of a run in which nothing happened.
    pub fn new() -> Self {
        let started_at = Instant::now();
        let evidence = Evidence {
            event_count: EVENT_COUNT,
            started_at: Some(started_at),
            ..Evidence::default()
        };
        Self {
            started_at,
            evidence,
        }
    }

    /// Returns the time this many milliseconds after the start.
    pub fn time_at(&self, ms: u64) -> Instant {
        self.started_at + Duration::from_millis(ms)
    }

    /// Adds a call that took 100 ms.
    pub fn add_call(&mut self, id: &str, kind: RequestKind, sent_ms: u64, end: CallEnd) {
        let sent_at = self.time_at(sent_ms);
        self.evidence.calls.push(Call {
            id: id.to_owned(),
            kind,
            resumed: None,
            front: 0,
            connected_at: sent_at,
            sent_at,
            ended_at: sent_at + Duration::from_millis(100),
            end,
        });
    }

    /// Adds a run at a server; it still goes on if `until_ms` is `None`.
    pub fn add_run(&mut self, request: &str, from_ms: u64, until_ms: Option<u64>) {
        let run = Run {
            request_id: request.to_owned(),
            target: String::new(),
            body: Vec::new(),
            deadline_ms: None,
            resumed_after: None,
            started_at: self.time_at(from_ms),
            ended_at: until_ms.map(|ms| self.time_at(ms)),
            completed: until_ms.map(|_| true),
        };
        self.evidence.runs.push(ServerRun {
            server: "server-1".to_owned(),
            leaving_since: None,
            run,
        });
    }

    /// Adds the arrival of a request at a server.
    pub fn add_arrival(&mut self, request: &str, at_ms: u64) {
        let at = self.time_at(at_ms);
        let request_id = request.to_owned();
        self.evidence.arrivals.push(ServerArrival {
            server: "server-1".to_owned(),
            arrival: Arrival {
                request_id,
                received_at: at,
            },
        });
    }

    /// Adds the time of a fault.
    pub fn add_fault_period(&mut self, from_ms: u64, until_ms: u64, cut_scope: CutScope) {
        let (from, until) = (self.time_at(from_ms), self.time_at(until_ms));
        let fault_period = FaultPeriod {
            from,
            until,
            cut_scope,
        };
        self.evidence.fault_periods.push(fault_period);
    }

    /// Returns the broken promises without consecutive duplicates.
    pub fn broken_promises(&self) -> Vec<Promise> {
        let breaches = checks::find_breaches(&self.evidence).into_iter();
        let mut broken: Vec<Promise> = breaches.map(|breach| breach.promise).collect();
        broken.dedup();
        broken
    }
}

/// Returns a whole stream.
pub fn complete_response(id: &str) -> CallEnd {
    CallEnd::Whole {
        status: 200,
        not_run: false,
        body: checks::expected_events(id, 1, EVENT_COUNT, VERSIONS[0]),
    }
}

/// Returns a refusal that says "not run".
pub fn refused_as_not_run() -> CallEnd {
    CallEnd::Whole {
        status: 503,
        not_run: true,
        body: Vec::new(),
    }
}

/// Returns a response that was cut off after `body`.
pub fn cut_off_response(body: Vec<u8>, reused: bool) -> CallEnd {
    CallEnd::Broken { body, reused }
}
