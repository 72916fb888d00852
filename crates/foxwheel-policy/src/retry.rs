//! What follows a failed attempt at a backend server.
//!
//! Load pattern: servers crash, reject and lose answers in the middle of requests. What
//! is known to have run decides whether a request may go on elsewhere, and what its
//! caller may be promised.

/// What became of one attempt at one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Nothing was sent: no connection, or it closed before the first byte.
    NotSent,
    /// The server that was asked is gone for certain, and nothing ran.
    Gone,
    /// The server says that it did not run the request.
    Rejected,
    /// The server ran the request and answered with a failure of its own.
    Failed,
    /// Sent, and no whole answer that belongs to the request: it may have run.
    Unknown,
}

/// What to do next with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Try another backend server.
    TryAnother,
    /// Pass the server's own failure on.
    PassOn,
    /// Answer that it was not run, with a time to come back.
    RefuseNotRun,
    /// Answer a failure that promises nothing.
    FailUnknown,
}

/// Attempts at servers that turned out not to run the request, beyond the route's own
/// count of runs: bounds the work spent on one request when all servers are full.
const MAX_UNRUN_ATTEMPTS: u32 = 4;

/// Attempts that met another server at the address of the one that was asked. Each takes a
/// listed server out of use, so they end soon by themselves; a fleet of which half started
/// again behind a cut has some tens.
const MAX_GONE_ATTEMPTS: u32 = 64;

/// The attempts made so far for one request.
#[derive(Debug, Clone, Copy)]
pub struct Attempts {
    /// Whether the request may run more than once.
    repeatable: bool,
    /// Most runs the route allows; at least 1.
    max_runs: u32,
    /// Attempts that ran or may have run; never above `max_runs`.
    possible_runs: u32,
    /// Attempts known not to have run, without those that met another server.
    unrun: u32,
    /// Attempts that met another server at the address.
    gone: u32,
}

impl Attempts {
    /// No attempt yet.
    pub fn new(repeatable: bool, max_runs: u32) -> Self {
        Self {
            repeatable,
            max_runs: max_runs.max(1),
            possible_runs: 0,
            unrun: 0,
            gone: 0,
        }
    }

    /// Whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.possible_runs > 0
    }

    /// Attempts so far.
    pub fn count(&self) -> u32 {
        self.possible_runs + self.unrun + self.gone
    }

    /// Whether one more run is allowed after a possible run.
    pub fn may_run_again(&self) -> bool {
        self.repeatable && self.possible_runs < self.max_runs
    }

    /// Records an attempt and decides what follows.
    pub fn record(&mut self, outcome: AttemptOutcome) -> NextStep {
        match outcome {
            AttemptOutcome::Gone => {
                self.gone += 1;
                if self.gone < MAX_GONE_ATTEMPTS {
                    NextStep::TryAnother
                } else {
                    self.give_up()
                }
            }
            AttemptOutcome::NotSent | AttemptOutcome::Rejected => {
                self.unrun += 1;
                if self.unrun < MAX_UNRUN_ATTEMPTS {
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

    /// The answer when no further attempt is possible: "not run" only when that is sure.
    pub fn give_up(&self) -> NextStep {
        if self.may_have_run() {
            NextStep::FailUnknown
        } else {
            NextStep::RefuseNotRun
        }
    }
}
