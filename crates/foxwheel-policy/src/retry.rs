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
    /// Attempts that ran or may have run; at most `max_runs`.
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
            possible_runs: 0,
            not_run: 0,
            dead_instance: 0,
        }
    }

    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.possible_runs > 0
    }

    /// Returns the number of attempts made so far.
    pub fn count(&self) -> u32 {
        self.possible_runs + self.not_run + self.dead_instance
    }

    /// Returns whether the request may run again after it has possibly run.
    pub fn may_run_again(&self) -> bool {
        self.repeatable && self.possible_runs < self.max_runs
    }

    /// Records the outcome of an attempt and returns what to do next.
    pub fn record(&mut self, outcome: AttemptOutcome) -> NextStep {
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
