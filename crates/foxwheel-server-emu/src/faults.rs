//! How the stand-in fails.

use std::collections::VecDeque;
use std::sync::Mutex;

/// What happens to one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing: it is served.
    None,
    /// Rejected as not run, as when full.
    Reject,
    /// Runs and answers 500.
    Fail,
    /// Runs and answers that it can never be done.
    Impossible,
    /// Runs, and the connection closes without an answer.
    LoseResponse,
    /// Runs, and nothing is ever answered.
    Stall,
    /// Runs, and the connection closes after this many events.
    CutAfter(u64),
    /// Runs, and the connection closes within the event after this many.
    CutWithin(u64),
    /// Runs, and the stream falls silent after this many events.
    StallAfter(u64),
    /// Answers with another request's id.
    ForeignId,
    /// Answers without a signature.
    Unsigned,
    /// The body is shorter than its head says.
    Truncate,
}

/// The faults of the next requests; served once they are used up.
#[derive(Debug, Default)]
pub struct FaultScript(Mutex<VecDeque<Fault>>);

impl FaultScript {
    /// Appends faults for the next requests.
    pub fn extend(&self, faults: impl IntoIterator<Item = Fault>) {
        self.0.lock().expect("script lock").extend(faults);
    }

    /// Drops the faults that no request has met yet.
    pub fn clear(&self) {
        self.0.lock().expect("script lock").clear();
    }

    /// The fault of the request that came now.
    pub fn next_fault(&self) -> Fault {
        let mut script = self.0.lock().expect("script lock");
        script.pop_front().unwrap_or(Fault::None)
    }
}
