//! What to do with a request after a failed attempt at a backend server.
//!
//! Load pattern: servers crash, reject requests and lose responses. Whether the request is known
//! to have run decides whether it may be sent to another server, and what its caller may be
//! told.

/// The outcome of one attempt at one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Nothing was sent: the connection failed, or it closed before the first byte was written.
    NotSent,
    /// The chosen server instance no longer exists, so nothing ran.
    Gone,
    /// The server responded that it did not run the request.
    Rejected,
    /// The server ran the request and responded with an error of its own.
    Failed,
    /// The request was sent, and no complete response that belongs to it was received; it may
    /// have run.
    Unknown,
}

/// What to do next with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another backend server.
    TryAnother,
    /// Forward the server's own error response.
    PassOn,
    /// Respond that the request was not run, with a retry time.
    RefuseNotRun,
    /// Respond with an error that leaves open whether the request ran.
    FailUnknown,
}

/// Maximum number of attempts that did not run the request, independent of the route's limit of
/// runs. It bounds the work spent on one request when all servers are full.
const MAX_NOT_RUN_ATTEMPTS: u32 = 4;

/// Maximum number of attempts that found another server at the address of the chosen one. Each
/// such attempt takes a dead instance out of use, so that they soon end by themselves; a fleet
/// of which half restarted behind a network partition has some tens of them.
const MAX_DEAD_INSTANCE_ATTEMPTS: u32 = 64;

/// The attempts made so far for one request.
#[derive(Debug, Clone, Copy)]
pub struct Attempts {
    /// Whether the request may run more than once.
    repeatable: bool,
    /// Maximum number of runs that the route allows; at least 1.
    max_runs: u32,
    /// Attempts that were begun and have no outcome yet.
    in_progress: u32,
    /// Attempts that have an outcome and ran or may have run; at most `max_runs` together with those
    /// in progress.
    possible_runs: u32,
    /// Attempts known not to have run, except those that found another server at the address.
    not_run: u32,
    /// Attempts that found another server at the address.
    dead_instance: u32,
}

impl Attempts {
    /// Creates the record of a request without attempts. `max_runs` counts as 1 if it is 0.
    pub fn new(repeatable: bool, max_runs: u32) -> Self {
        Self {
            repeatable,
            max_runs: max_runs.max(1),
            in_progress: 0,
            possible_runs: 0,
            not_run: 0,
            dead_instance: 0,
        }
    }

    /// Records that an attempt is begun. Until its outcome is recorded it counts as a run.
    pub fn begin(&mut self) {
        self.in_progress += 1;
    }

    /// Returns the number of attempts that were begun and have no outcome yet.
    pub fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.in_progress + self.possible_runs > 0
    }

    /// Returns the number of attempts made so far.
    pub fn count(&self) -> u32 {
        self.in_progress + self.possible_runs + self.not_run + self.dead_instance
    }

    /// Returns whether the request may run once more after it has possibly run, or beside the
    /// attempts in progress.
    pub fn may_run_again(&self) -> bool {
        self.repeatable && self.in_progress + self.possible_runs < self.max_runs
    }

    /// Records the outcome of an attempt and returns what to do next. If several are in progress, they
    /// are not told apart.
    pub fn record(&mut self, outcome: AttemptOutcome) -> NextStep {
        self.in_progress = self.in_progress.saturating_sub(1);
        match outcome {
            AttemptOutcome::Gone => {
                self.dead_instance += 1;
                if self.dead_instance < MAX_DEAD_INSTANCE_ATTEMPTS {
                    NextStep::TryAnother
                } else {
                    self.give_up()
                }
            }
            AttemptOutcome::NotSent | AttemptOutcome::Rejected => {
                self.not_run += 1;
                if self.not_run < MAX_NOT_RUN_ATTEMPTS {
                    NextStep::TryAnother
                } else {
                    self.give_up()
                }
            }
            AttemptOutcome::Failed | AttemptOutcome::Unknown => {
                self.possible_runs += 1;
                if self.may_run_again() {
                    NextStep::TryAnother
                } else if outcome == AttemptOutcome::Failed {
                    NextStep::PassOn
                } else {
                    NextStep::FailUnknown
                }
            }
        }
    }

    /// Returns the final response when no further attempt is possible: "not run" only when that
    /// is certain.
    pub fn give_up(&self) -> NextStep {
        if self.may_have_run() {
            NextStep::FailUnknown
        } else {
            NextStep::RefuseNotRun
        }
    }
}
