//! The job ledger: the list of accepted jobs, one object in the platform's store.
//!
//! Each acceptance, cancellation and completion of a job is one conditional update of this
//! object. So two processes cannot both accept a job when the quota has room for only one of
//! them, and a closed job cannot be accepted again. Closed jobs are removed after some time, so
//! the ledger's size depends on the jobs of the last few minutes, not on those of a whole day.
//!
//! Processes relay their changes to one worker, the ledger writer, and decide by themselves if it
//! does not respond. It may still have the change then, in its process or on the way to it, for as
//! long as it is frozen or the network holds the message. A relayed change is therefore valid only
//! within one term of the ledger, and whoever decides without the writer ends the term in the same
//! update. Load pattern: bursts of submissions while the writer freezes for seconds, with room in the
//! quota once it resumes.

use std::time::Duration;

use foxwheel_core::ids::{JobId, NodeId};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

/// How long a process waits for the ledger writer, the worker that writes the ledger for all
/// processes, before it makes the change itself.
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
    /// Whether a front confirmed that the job is in the store, so that it must not be withdrawn.
    #[serde(default)]
    pub is_stored: bool,
}

/// Upper bound of the stored size of an [`OpenJob`] without its id and route.
const OPEN_JOB_BYTES: usize = 160;

/// Upper bound of the stored size of a [`ClosedJob`] without its id.
const CLOSED_JOB_BYTES: usize = 64;

/// Upper bound of the stored size of a [`Ledger`] without its jobs.
const LEDGER_BYTES: usize = 256;

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

/// Number of a term of the ledger.
pub type LedgerTerm = u64;

/// The job ledger, with the accepted jobs of all routes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Open jobs, sorted by id. No job is both open and closed.
    pub open: Vec<OpenJob>,
    /// Closed jobs, sorted by id.
    pub closed: Vec<ClosedJob>,
    /// The current term. Increases whenever `writer` changes.
    #[serde(default)]
    pub term: LedgerTerm,
    /// The worker that applies relayed changes in this term. `None` if nobody may, because a process
    /// decided without the writer.
    #[serde(default)]
    pub writer: Option<NodeId>,
}

/// A change that a process relays to the ledger writer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedChange {
    /// The change.
    pub change: LedgerChange,
    /// The only term in which the change may be applied.
    pub term: LedgerTerm,
}

/// The result of a relayed change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayedResponse {
    /// The change was applied.
    Applied(LedgerResponse),
    /// The change was not applied and never will be, because its term is over. Holds the current
    /// term.
    Outdated(LedgerTerm),
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
    /// The ledger has no room for another job; it is unchanged.
    LedgerFull,
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
        /// Whether the job is known to be in the store.
        is_stored: bool,
        /// Limit on the stored size of the ledger.
        max_ledger_bytes: usize,
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
    /// Removes an open job that was not found in the store, unless a front has confirmed since that
    /// it is there.
    Withdraw {
        /// Id of the job.
        id: JobId,
    },
    /// Closes a job that was ended by its client and whose items are stored, also if it is not listed:
    /// a submission that is on its way must not admit it.
    CloseStored {
        /// Id of the job.
        id: JobId,
        /// Time at which the job is closed, since the Unix epoch.
        #[serde(rename = "now_unix_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        now_unix: Duration,
    },
}

impl LedgerChange {
    /// Returns the id of the job that the change is about.
    pub fn job(&self) -> &JobId {
        match self {
            Self::Admit { id, .. }
            | Self::Close { id, .. }
            | Self::Withdraw { id }
            | Self::CloseStored { id, .. } => id,
        }
    }

    /// Returns the name of the change, for the log.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Admit { .. } => "admit",
            Self::Close { .. } => "close",
            Self::Withdraw { .. } => "withdraw",
            Self::CloseStored { .. } => "close_stored",
        }
    }
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
                is_stored,
                max_ledger_bytes,
            } => {
                let is_known = self.job_status(id) != JobStatus::Unknown;
                if !is_known && self.stored_bytes_with(id, route) > *max_ledger_bytes {
                    return LedgerResponse::Admission(Admission::LedgerFull);
                }
                let admission = self.admit(id, route, *tokens, *quota_tokens, *now_unix);
                if let (true, Ok(index)) = (*is_stored, self.open_position(id)) {
                    self.open[index].is_stored = true;
                }
                LedgerResponse::Admission(admission)
            }
            LedgerChange::Close { id, now_unix } => {
                self.close(id, *now_unix);
                LedgerResponse::Status(self.job_status(id))
            }
            LedgerChange::Withdraw { id } => {
                self.open.retain(|job| job.id != *id || job.is_stored);
                LedgerResponse::Status(self.job_status(id))
            }
            LedgerChange::CloseStored { id, now_unix } => {
                if self.job_status(id) == JobStatus::Unknown {
                    self.insert_closed(id, *now_unix);
                }
                self.close(id, *now_unix);
                LedgerResponse::Status(self.job_status(id))
            }
        }
    }

    /// Applies a change that was relayed to the worker `writer`, if it is valid in the current term.
    pub fn apply_relayed(&mut self, relayed: &RelayedChange, writer: &str) -> RelayedResponse {
        let is_valid = self.term == relayed.term && self.writer.as_deref() == Some(writer);
        match is_valid {
            true => RelayedResponse::Applied(self.apply(&relayed.change)),
            false => RelayedResponse::Outdated(self.term),
        }
    }

    /// Applies a change of a process that decides without the ledger writer, because it does not
    /// respond. `relayed_in` is the term in which the process relayed the same change, if it did.
    ///
    /// Ends the term if the writer may still have that change, or if a job is refused: another
    /// process may have relayed its submission and died.
    pub fn apply_directly(
        &mut self,
        change: &LedgerChange,
        relayed_in: Option<LedgerTerm>,
    ) -> LedgerResponse {
        let response = self.apply(change);
        let is_refused = matches!(
            response,
            LedgerResponse::Admission(Admission::OverQuota | Admission::LedgerFull)
        );
        let may_be_applied_later = relayed_in == Some(self.term);
        if self.writer.is_some() && (is_refused || may_be_applied_later) {
            self.term += 1;
            self.writer = None;
        }
        response
    }

    /// Begins a term of the worker `writer`, so that no change relayed before, to any worker, is
    /// applied any more.
    pub fn begin_term(&mut self, writer: &str) {
        self.term += 1;
        self.writer = Some(writer.to_owned());
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
            is_stored: false,
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
        self.insert_closed(id, now_unix);
        true
    }

    fn insert_closed(&mut self, id: &str, now_unix: Duration) {
        let closed = ClosedJob {
            id: id.to_owned(),
            closed_unix: now_unix,
        };
        let index = self.closed.partition_point(|job| job.id.as_str() < id);
        self.closed.insert(index, closed);
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

    /// Returns an upper bound of the stored size of the ledger with one more job.
    fn stored_bytes_with(&self, id: &str, route: &str) -> usize {
        let open_job_bytes = |id: &str, route: &str| id.len() + route.len() + OPEN_JOB_BYTES;
        let open = self.open.iter();
        let open: usize = open.map(|job| open_job_bytes(&job.id, &job.route)).sum();
        let closed = self.closed.iter();
        let closed: usize = closed.map(|job| job.id.len() + CLOSED_JOB_BYTES).sum();
        LEDGER_BYTES + open + closed + open_job_bytes(id, route)
    }

    fn open_position(&self, id: &str) -> Result<usize, usize> {
        self.open.binary_search_by(|job| job.id.as_str().cmp(id))
    }
}
