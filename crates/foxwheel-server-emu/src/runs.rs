//! The record of what ran.

use std::sync::Mutex;
use std::time::Instant;

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The request's id.
    pub request_id: String,
    /// Its method and path with the query.
    pub target: String,
    /// Its body.
    pub body: Vec<u8>,
    /// Milliseconds the sender said it would wait.
    pub deadline_ms: Option<u64>,
    /// The event behind which it was resumed.
    pub resumed_after: Option<u64>,
    /// When it began.
    pub started_at: Instant,
    /// When it ended; none while it runs.
    pub ended_at: Option<Instant>,
    /// Whether the sender was still there when it ended; none while it runs.
    pub completed: Option<bool>,
}

/// A request that reached the server, whether it was run or not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The request's id.
    pub request_id: String,
    /// When its head was read.
    pub received_at: Instant,
}

/// All arrivals and runs, each in their order.
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

    /// Every arrival so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("arrivals lock").clone()
    }

    /// Records a start; answers the run's number.
    pub fn record_start(&self, run: Run) -> usize {
        let mut runs = self.runs.lock().expect("runs lock");
        runs.push(run);
        runs.len() - 1
    }

    /// Records an end.
    pub fn record_end(&self, number: usize, completed: bool) {
        let mut runs = self.runs.lock().expect("runs lock");
        let run = &mut runs[number];
        run.completed.get_or_insert(completed);
        run.ended_at.get_or_insert_with(Instant::now);
    }

    /// Every run so far.
    pub fn all_runs(&self) -> Vec<Run> {
        self.runs.lock().expect("runs lock").clone()
    }

    /// Runs of one request.
    pub fn runs_of(&self, request_id: &str) -> Vec<Run> {
        let runs = self.runs.lock().expect("runs lock");
        let of_request = runs.iter().filter(|run| run.request_id == request_id);
        of_request.cloned().collect()
    }
}
