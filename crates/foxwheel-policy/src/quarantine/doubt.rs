//! What speaks against a content being the cause of the crashes that count against it.

use std::time::Instant;

use foxwheel_core::ids::ServiceName;

use crate::quarantine::completions::RecentCompletions;
use crate::quarantine::suspected_content::{Crash, SuspectedContent, MIN_CRASH_SEPARATION};

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
    pub fn doubt(self, about: &SuspectedContent) -> Option<Doubt> {
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

    fn was_completed(self, about: &SuspectedContent) -> bool {
        let mut crashes = about.crashes.iter();
        crashes
            .any(|crash| crash.cleared || self.completions.contains(&about.content, &crash.service))
    }

    /// Returns the other contents that may be the cause of crashes.
    fn other_causes(
        self,
        about: &'a SuspectedContent,
    ) -> impl Iterator<Item = &'a SuspectedContent> {
        let others = self.suspected.iter();
        others.filter(move |other| other.content != about.content && !self.was_completed(other))
    }

    fn shares_crashes(self, about: &SuspectedContent) -> bool {
        let ran_at_each = |other: &SuspectedContent| {
            let mut counted = about.counted_crashes();
            counted.all(|crash| other.crash_of(crash.server).is_some())
        };
        self.other_causes(about).any(ran_at_each)
    }

    fn has_unexplained_crashes(self, about: &SuspectedContent) -> bool {
        let times = || about.counted_crashes().map(|crash| crash.at);
        let (Some(first), Some(last)) = (times().min(), times().max()) else {
            return false;
        };
        let is_in_same_event =
            |at: Instant| at + MIN_CRASH_SEPARATION >= first && at <= last + MIN_CRASH_SEPARATION;
        let is_same_service = |service: &ServiceName| {
            let mut counted = about.counted_crashes();
            counted.any(|crash| crash.service == *service)
        };
        let is_unexplained = |crash: &Crash| {
            is_in_same_event(crash.at)
                && is_same_service(&crash.service)
                && about.crash_of(crash.server).is_none()
                && !self.is_explained(crash, about)
        };
        let mut all_crashes = self.suspected.iter().flat_map(|other| &other.crashes);
        all_crashes.any(is_unexplained)
    }

    /// Returns whether a content other than `about` that is quarantined itself may be the cause of
    /// the crash.
    fn is_explained(self, crash: &Crash, about: &SuspectedContent) -> bool {
        let explains = |other: &SuspectedContent| {
            other.has_quarantining_crashes() && other.crash_of(crash.server).is_some()
        };
        self.other_causes(about).any(explains)
    }
}
