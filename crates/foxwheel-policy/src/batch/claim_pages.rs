//! Splits the jobs that a worker reports into pages that fit into one datagram each.
//!
//! Load pattern: a worker owns thousands of small jobs. Heartbeats that named all of them were sent
//! ever less often, and not at all once they exceeded a datagram, so that the other processes took
//! the worker for dead and its jobs over.

use foxwheel_core::ids::JobId;
use serde::{Deserialize, Serialize};

use crate::batch::ownership::JobClaim;
use crate::batch::packing;

/// Maximum size of the claims in one heartbeat. Heartbeats that fit into one packet are sent at the
/// full rate.
pub const MAX_PAGE_BYTES: usize = 1_000;

/// Size of a claim beside the text of its job's id: two lengths and the status.
const CLAIM_OVERHEAD_BYTES: usize = 8;

/// The jobs for which a page holds all claims: those after `after`, up to and including `until`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRange {
    /// The job before the range; `None` if it starts with the first job.
    pub after: Option<JobId>,
    /// The last job of the range; `None` if it ends with the last job.
    pub until: Option<JobId>,
}

impl ClaimRange {
    /// Returns whether the claim of `job` belongs to the range.
    pub fn contains(&self, job: &JobId) -> bool {
        self.after.as_ref().is_none_or(|after| job > after)
            && self.until.as_ref().is_none_or(|until| job <= until)
    }

    /// Replaces the claims of the range in `known`, which is sorted by job, by those of a page.
    pub fn apply(&self, page: Vec<JobClaim>, known: &mut Vec<JobClaim>) {
        known.retain(|claim| !self.contains(&claim.job));
        known.extend(page);
        known.sort_unstable_by(|one, other| one.job.cmp(&other.job));
    }
}

/// Chooses the claims in the next heartbeat to a group of recipients: first those that changed since
/// they were sent, and all others in turn, in case a datagram was lost.
#[derive(Debug, Default)]
pub struct ClaimPager {
    /// The claims as they were last sent; sorted by job.
    sent: Vec<JobClaim>,
    /// Where the next page starts if it holds no changes.
    next_after: Option<JobId>,
    /// Whether the last page held changes. The next one is then the next in turn, so that constant
    /// changes do not keep the others from being sent.
    had_changes: bool,
}

impl ClaimPager {
    /// Returns the next page of `claims`, which are sorted by job, and the jobs for which it is
    /// complete.
    pub fn next_page(&mut self, claims: &[JobClaim]) -> (ClaimRange, Vec<JobClaim>) {
        let changed = self.first_change(claims).filter(|_| !self.had_changes);
        self.had_changes = changed.is_some();
        let start = match &changed {
            Some(job) => claims.partition_point(|claim| claim.job < *job),
            None => self.next_after.as_ref().map_or(0, |after| {
                claims.partition_point(|claim| claim.job <= *after)
            }),
        };
        let rest = &claims[start..];
        let sizes = rest
            .iter()
            .map(|claim| claim.job.len() + CLAIM_OVERHEAD_BYTES);
        let count = packing::leading_values_that_fit(sizes, MAX_PAGE_BYTES);
        let page = rest[..count].to_vec();
        let range = ClaimRange {
            after: start.checked_sub(1).map(|at| claims[at].job.clone()),
            until: (count < rest.len()).then(|| rest[count - 1].job.clone()),
        };
        range.apply(page.clone(), &mut self.sent);
        if changed.is_none() {
            self.next_after.clone_from(&range.until);
        }
        (range, page)
    }

    /// Returns the first job whose claim is not the one that was sent.
    fn first_change(&self, claims: &[JobClaim]) -> Option<JobId> {
        let pairs = claims.iter().zip(&self.sent);
        let same = pairs.take_while(|(claim, sent)| claim == sent).count();
        let next = [claims.get(same), self.sent.get(same)];
        let changed = next.into_iter().flatten().map(|claim| &claim.job);
        changed.min().cloned()
    }
}
