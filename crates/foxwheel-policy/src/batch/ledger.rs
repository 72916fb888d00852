//! The job ledger: the list of accepted jobs, one object in the platform's store.
//!
//! Each acceptance, cancellation and completion of a job is one conditional update of this
//! object. So two processes cannot both accept a job when the quota has room for only one of
//! them, and a closed job cannot be accepted again. Closed jobs are removed after some time, so
//! the ledger's size depends on the jobs of the last few minutes, not on those of a whole day.

use std::time::Duration;

use foxwheel_core::ids::JobId;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

/// How long a process waits for the ledger writer, the worker that writes the ledger for all
/// processes, before it makes the change itself. This is safe because changes are idempotent.
///
/// A ledger writer that lost power does not respond. With a timeout as long as that of a store
/// call, submissions were accepted after 1.2 to 1.8 s (target 400 ms) and their results were
/// late. The timeout must exceed the time that the ledger writer takes while the store is slow
/// (250 ms).
pub const LEDGER_WRITER_TIMEOUT: Duration = Duration::from_millis(350);

/// An accepted job that is not closed.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenJob {
    /// Id that the client chose.
    pub id: JobId,
    /// Name of the job's route.
    pub route: String,
    /// Sum of the tokens of the job's unfinished items.
    #[serde(rename = "waiting_tokens")]
    pub unfinished_tokens: u64,
    /// Time of the acceptance, since the Unix epoch.
    #[serde(rename = "accepted_unix_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub accepted_unix: Duration,
}

/// A job that finished or was ended by its client. It stays in the ledger for some time so that
/// a repeated submission is recognised.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedJob {
    /// Id that the client chose.
    pub id: JobId,
    /// Time at which the job was closed, since the Unix epoch.
    #[serde(rename = "closed_unix_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub closed_unix: Duration,
}

/// The job ledger, with the accepted jobs of all routes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Open jobs, sorted by id. No job is both open and closed.
    pub open: Vec<OpenJob>,
    /// Closed jobs, sorted by id.
    pub closed: Vec<ClosedJob>,
}

/// The decision on a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Admission {
    /// The job fits into the quota and was added to the ledger, which the caller must store.
    Accepted,
    /// The job was accepted before; the ledger is unchanged.
    Repeat,
    /// The job does not fit into the quota; the ledger is unchanged.
    OverQuota,
}

/// The status of a job in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// Accepted and not closed.
    Open,
    /// Finished, or ended by its client.
    Closed,
    /// Not in the ledger: never accepted, withdrawn, or closed long ago.
    Unknown,
}

/// A change of the ledger. Each change is idempotent: if it is repeated after a lost response,
/// it alters nothing.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerChange {
    /// Accepts a job if it fits into the quota.
    Admit {
        /// Id of the job.
        id: JobId,
        /// Name of the job's route.
        route: String,
        /// Sum of the tokens of the job's items.
        tokens: u64,
        /// Limit on the sum of the unfinished tokens of the route's open jobs; 0 is no limit.
        quota_tokens: u64,
        /// Time of the submission, since the Unix epoch.
        #[serde(rename = "now_unix_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        now_unix: Duration,
    },
    /// Closes a job that finished or was ended by its client.
    Close {
        /// Id of the job.
        id: JobId,
        /// Time at which the job is closed, since the Unix epoch.
        #[serde(rename = "now_unix_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        now_unix: Duration,
    },
    /// Removes an open job that was never stored.
    Withdraw {
        /// Id of the job.
        id: JobId,
    },
}

/// The result of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerResponse {
    /// Result of [`LedgerChange::Admit`].
    Admission(Admission),
    /// Result of any other change: the status of the job after it.
    #[serde(rename = "Standing")]
    Status(JobStatus),
}

impl Ledger {
    /// Applies `change` and returns its result. The caller must store the ledger if this altered
    /// it.
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
                LedgerResponse::Status(self.job_status(id))
            }
            LedgerChange::Withdraw { id } => {
                self.open.retain(|job| job.id != *id);
                LedgerResponse::Status(self.job_status(id))
            }
        }
    }

    /// Accepts the job `id` with `tokens` tokens on `route`, unless it is in the ledger already or
    /// the unfinished tokens of the route would exceed `quota_tokens` (0 is no limit).
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
            unfinished_tokens: tokens,
            accepted_unix: now_unix,
        };
        let index = self.open.partition_point(|open| open.id.as_str() < id);
        self.open.insert(index, job);
        Admission::Accepted
    }

    /// Closes a job if it is open. Returns whether the ledger changed.
    pub fn close(&mut self, id: &str, now_unix: Duration) -> bool {
        let Ok(index) = self.open_position(id) else {
            return false;
        };
        self.open.remove(index);
        let closed = ClosedJob {
            id: id.to_owned(),
            closed_unix: now_unix,
        };
        let index = self.closed.partition_point(|job| job.id.as_str() < id);
        self.closed.insert(index, closed);
        true
    }

    /// Sets the unfinished tokens of an open job to `tokens` if that is less than before. Returns
    /// whether the ledger changed.
    pub fn lower_unfinished_tokens(&mut self, id: &str, tokens: u64) -> bool {
        let Ok(index) = self.open_position(id) else {
            return false;
        };
        let changed = tokens < self.open[index].unfinished_tokens;
        if changed {
            self.open[index].unfinished_tokens = tokens;
        }
        changed
    }

    /// Removes jobs that were closed at least `retention` ago. Returns whether the ledger changed.
    pub fn prune_closed(&mut self, now_unix: Duration, retention: Duration) -> bool {
        let len_before = self.closed.len();
        self.closed
            .retain(|job| now_unix.saturating_sub(job.closed_unix) < retention);
        self.closed.len() != len_before
    }

    /// Returns the status of the job `id`.
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

    /// Returns the job `id` if it is open.
    pub fn open_job(&self, id: &str) -> Option<&OpenJob> {
        self.open_position(id).ok().map(|index| &self.open[index])
    }

    /// Returns the sum of the unfinished tokens of the open jobs on `route`.
    pub fn unfinished_tokens(&self, route: &str) -> u64 {
        let route_jobs = self.open.iter().filter(|job| job.route == route);
        route_jobs.map(|job| job.unfinished_tokens).sum()
    }

    fn open_position(&self, id: &str) -> Result<usize, usize> {
        self.open.binary_search_by(|job| job.id.as_str().cmp(id))
    }
}
