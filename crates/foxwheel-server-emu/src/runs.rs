//! The log of the requests that a server received and ran.

use std::sync::Mutex;
use std::time::Instant;

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The id of the request.
    pub request_id: String,
    /// The method and the path with its query, separated by a space.
    pub target: String,
    /// The body of the request.
    pub body: Vec<u8>,
    /// The time that the sender said it would wait, in milliseconds; `None` if it did not say.
    pub deadline_ms: Option<u64>,
    /// The number of the last event that the sender has; `None` unless the run resumes a stream.
    pub resumed_after: Option<u64>,
    /// When the run began.
    pub started_at: Instant,
    /// When the run ended; `None` while it runs.
    pub ended_at: Option<Instant>,
    /// Whether the run ended with a complete response. It is false if a fault was injected or the
    /// sender left before, and `None` while the request runs.
    pub completed: Option<bool>,
}

/// A request that reached the server, whether it was run or not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The id of the request.
    pub request_id: String,
    /// When the head of the request was read.
    pub received_at: Instant,
}

/// All arrivals and all runs, each in their order.
#[derive(Debug, Default)]
pub struct RunLog {
    arrivals: Mutex<Vec<Arrival>>,
    runs: Mutex<Vec<Run>>,
}

impl RunLog {
    /// Records that a request arrived.
    pub fn record_arrival(&self, request_id: &str) {
        let arrival = Arrival {
            request_id: request_id.to_owned(),
            received_at: Instant::now(),
        };
        self.arrivals.lock().expect("arrivals lock").push(arrival);
    }

    /// Returns all arrivals so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("arrivals lock").clone()
    }

    /// Records the start of a run and returns its index in the log.
    pub fn record_start(&self, run: Run) -> usize {
        let mut runs = self.runs.lock().expect("runs lock");
        runs.push(run);
        runs.len() - 1
    }

    /// Records the end of the run at `index`, unless an end is recorded already.
    pub fn record_end(&self, index: usize, completed: bool) {
        let mut runs = self.runs.lock().expect("runs lock");
        let run = &mut runs[index];
        run.completed.get_or_insert(completed);
        run.ended_at.get_or_insert_with(Instant::now);
    }

    /// Returns all runs so far.
    pub fn all_runs(&self) -> Vec<Run> {
        self.runs.lock().expect("runs lock").clone()
    }

    /// Returns the runs of one request.
    pub fn runs_of(&self, request_id: &str) -> Vec<Run> {
        let runs = self.runs.lock().expect("runs lock");
        let request_runs = runs.iter().filter(|run| run.request_id == request_id);
        request_runs.cloned().collect()
    }
}
