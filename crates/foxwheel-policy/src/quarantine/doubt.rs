//! What speaks against a content being the cause of the crashes that count against it.

use std::time::Instant;

use foxwheel_core::ids::ServiceName;

use crate::quarantine::completions::RecentCompletions;
use crate::quarantine::suspected_content::{Crash, SuspectedContent, MIN_CRASH_SEPARATION};
use crate::quarantine::RunKind;
use crate::zone_loads::ServerFingerprint;

/// What speaks against a quarantined content being the cause of the crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// A server of the same service completed the content before, so that it does not crash every
    /// server.
    CompletedBefore,
    /// Another content that was not completed before ran at each of the crashed servers.
    SharedCrashes,
    /// Another server of the same service crashed during these crashes without running the content,
    /// and no other quarantined content explains that.
    OtherServersCrashed,
}

/// All crashes and completions that a process knows of.
#[derive(Debug, Clone, Copy)]
pub struct CrashHistory<'a> {
    /// Sorted by content.
    pub suspected: &'a [SuspectedContent],
    /// The contents that the process saw completed.
    pub completions: &'a RecentCompletions,
}

impl<'a> CrashHistory<'a> {
    /// Returns what speaks against `about` being the cause of its crashes; `None` if nothing does.
    pub fn doubt(self, about: &'a SuspectedContent) -> Option<Doubt> {
        if self.was_completed(about) {
            Some(Doubt::CompletedBefore)
        } else if self.shares_crashes(about) {
            Some(Doubt::SharedCrashes)
        } else if self.has_unexplained_crashes(about) {
            Some(Doubt::OtherServersCrashed)
        } else {
            None
        }
    }

    fn was_completed(self, about: &'a SuspectedContent) -> bool {
        let mut crashes = about.crashes.iter();
        crashes
            .any(|crash| crash.cleared || self.completions.contains(&about.content, &crash.service))
    }

    fn shares_crashes(self, about: &'a SuspectedContent) -> bool {
        let ran_at_each = |other: &&SuspectedContent| {
            let mut counted = about.counted_crashes();
            counted.all(|crash| {
                let run = other.crash_of(crash.server);
                run.is_some_and(|run| run.run_kind == RunKind::Online)
            })
        };
        let mut sharing = self.others(about).filter(ran_at_each);
        sharing.any(|other| !self.was_completed(other))
    }

    fn has_unexplained_crashes(self, about: &'a SuspectedContent) -> bool {
        let times = || about.counted_crashes().map(|crash| crash.at);
        let (Some(first), Some(last)) = (times().min(), times().max()) else {
            return false;
        };
        // A server that crashes later than that, while the content is refused, shows nothing about
        // the earlier crashes.
        let is_in_same_event =
            |at: Instant| at + MIN_CRASH_SEPARATION >= first && at <= last + MIN_CRASH_SEPARATION;
        let is_same_service = |service: &ServiceName| {
            let mut counted = about.counted_crashes();
            counted.any(|crash| crash.service == *service)
        };
        let explained = self.servers_crashed_by_others(about);
        let is_unexplained = |crash: &Crash| {
            is_in_same_event(crash.at)
                && about.crash_of(crash.server).is_none()
                && explained.binary_search(&crash.server).is_err()
                && is_same_service(&crash.service)
        };
        let mut all_crashes = self.suspected.iter().flat_map(|other| &other.crashes);
        all_crashes.any(is_unexplained)
    }

    /// Returns the servers that crashed under another quarantined content that may be the cause;
    /// sorted.
    fn servers_crashed_by_others(self, about: &'a SuspectedContent) -> Vec<ServerFingerprint> {
        let causes = self
            .others(about)
            .filter(|other| other.has_quarantining_crashes() && !self.was_completed(other));
        let crashes = causes.flat_map(|cause| &cause.crashes);
        let mut servers: Vec<ServerFingerprint> = crashes.map(|crash| crash.server).collect();
        servers.sort_unstable();
        servers
    }

    fn others(self, about: &'a SuspectedContent) -> impl Iterator<Item = &'a SuspectedContent> {
        let suspected = self.suspected.iter();
        suspected.filter(move |other| other.content != about.content)
    }
}
