//! The list of accepted jobs, kept as one object of the platform's store.
//!
//! Every acceptance, ending and completion is one conditional update of it, so that two
//! processes cannot both accept the job that fills the quota, and an ended job cannot be
//! accepted again. Its size follows the jobs of the last few minutes, not the day's.

use std::time::Duration;

use foxwheel_core::ids::JobId;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

/// How long a process waits for the worker that changes the ledger for all before it makes the
/// change itself, which is idempotent. A keeper that lost power answers nothing: waited for as
/// long as for the store, submissions were accepted after 1.2 to 1.8 s (target 400 ms), and
/// their results were late. Above what the keeper takes while the store is slow (250 ms).
pub const LEDGER_WRITER_TIMEOUT: Duration = Duration::from_millis(350);

/// A job that still has items to run.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenJob {
    /// The client's id of the job.
    pub id: JobId,
    /// Name of its route.
    pub route: String,
    /// Tokens of its items that are not finished.
    pub waiting_tokens: u64,
    /// When it was accepted, since the Unix epoch.
    #[serde(rename = "accepted_unix_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub accepted_unix: Duration,
}

/// A job that is finished or was ended, kept so that a repeat is recognised.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedJob {
    /// The client's id of the job.
    pub id: JobId,
    /// When it was closed, since the Unix epoch.
    #[serde(rename = "closed_unix_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub closed_unix: Duration,
}

/// The accepted jobs of all routes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Sorted by id; disjoint from `closed`.
    pub open: Vec<OpenJob>,
    /// Sorted by id; disjoint from `open`.
    pub closed: Vec<ClosedJob>,
}

/// What the ledger says to a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Admission {
    /// It fits and now stands in the ledger; the caller must store the ledger.
    Accepted,
    /// It was accepted before.
    Repeat,
    /// It does not fit into the quota.
    OverQuota,
}

/// Where a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// Accepted, with items to run.
    Open,
    /// Finished or ended.
    Closed,
    /// Not in the ledger.
    Unknown,
}

/// A change of the ledger. Each is idempotent: repeated after a lost answer it alters
/// nothing.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerChange {
    /// Accept a job, if it fits.
    Admit {
        /// The job.
        id: JobId,
        /// Name of its route.
        route: String,
        /// Tokens of its items.
        tokens: u64,
        /// Most tokens that may wait on the route; 0 is no limit.
        quota_tokens: u64,
        /// When it was submitted, since the Unix epoch.
        #[serde(rename = "now_unix_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        now_unix: Duration,
    },
    /// Close a job that is finished or ended.
    Close {
        /// The job.
        id: JobId,
        /// When, since the Unix epoch.
        #[serde(rename = "now_unix_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        now_unix: Duration,
    },
    /// Forget an open job that was never stored.
    Withdraw {
        /// The job.
        id: JobId,
    },
}

/// What the ledger says to a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerResponse {
    /// To [`LedgerChange::Admit`].
    Admission(Admission),
    /// To any other change: where the job stands now.
    Standing(JobStatus),
}

impl Ledger {
    /// Makes `change`; the caller must store the ledger if it is another one then.
    pub fn apply(&mut self, change: &LedgerChange) -> LedgerResponse {
        match change {
            LedgerChange::Admit {
                id,
                route,
                tokens,
                quota_tokens,
                now_unix,
            } => {
                LedgerResponse::Admission(self.admit(id, route, *tokens, *quota_tokens, *now_unix))
            }
            LedgerChange::Close { id, now_unix } => {
                self.close(id, *now_unix);
                LedgerResponse::Standing(self.job_status(id))
            }
            LedgerChange::Withdraw { id } => {
                self.open.retain(|job| job.id != *id);
                LedgerResponse::Standing(self.job_status(id))
            }
        }
    }

    /// Decides on a submission of `tokens` to `route`; `quota_tokens` 0 is no limit.
    pub fn admit(
        &mut self,
        id: &str,
        route: &str,
        tokens: u64,
        quota_tokens: u64,
        now_unix: Duration,
    ) -> Admission {
        if self.job_status(id) != JobStatus::Unknown {
            return Admission::Repeat;
        }
        if quota_tokens > 0 && self.unfinished_tokens(route) + tokens > quota_tokens {
            return Admission::OverQuota;
        }
        let job = OpenJob {
            id: id.to_owned(),
            route: route.to_owned(),
            waiting_tokens: tokens,
            accepted_unix: now_unix,
        };
        let at = self.open.partition_point(|open| open.id.as_str() < id);
        self.open.insert(at, job);
        Admission::Accepted
    }

    /// Moves a job to the closed ones; answers whether the ledger changed.
    pub fn close(&mut self, id: &str, now_unix: Duration) -> bool {
        let Ok(at) = self.open_position(id) else {
            return false;
        };
        self.open.remove(at);
        let closed = ClosedJob {
            id: id.to_owned(),
            closed_unix: now_unix,
        };
        let at = self.closed.partition_point(|job| job.id.as_str() < id);
        self.closed.insert(at, closed);
        true
    }

    /// Lowers a job's waiting tokens; answers whether the ledger changed.
    pub fn lower_unfinished_tokens(&mut self, id: &str, tokens: u64) -> bool {
        let Ok(at) = self.open_position(id) else {
            return false;
        };
        let changed = tokens < self.open[at].waiting_tokens;
        if changed {
            self.open[at].waiting_tokens = tokens;
        }
        changed
    }

    /// Forgets jobs closed longer than `keep` ago; answers whether the ledger changed.
    pub fn prune_closed(&mut self, now_unix: Duration, keep: Duration) -> bool {
        let before = self.closed.len();
        self.closed
            .retain(|job| now_unix.saturating_sub(job.closed_unix) < keep);
        self.closed.len() != before
    }

    /// Where the job `id` stands.
    pub fn job_status(&self, id: &str) -> JobStatus {
        if self.open_position(id).is_ok() {
            JobStatus::Open
        } else if self
            .closed
            .binary_search_by(|job| job.id.as_str().cmp(id))
            .is_ok()
        {
            JobStatus::Closed
        } else {
            JobStatus::Unknown
        }
    }

    /// The open job `id`.
    pub fn open_job(&self, id: &str) -> Option<&OpenJob> {
        self.open_position(id).ok().map(|at| &self.open[at])
    }

    /// Tokens that wait on `route`.
    pub fn unfinished_tokens(&self, route: &str) -> u64 {
        let of_route = self.open.iter().filter(|job| job.route == route);
        of_route.map(|job| job.waiting_tokens).sum()
    }

    fn open_position(&self, id: &str) -> Result<usize, usize> {
        self.open.binary_search_by(|job| job.id.as_str().cmp(id))
    }
}
