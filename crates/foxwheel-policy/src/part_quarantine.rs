//! Quarantine of parts of prompts that crash the backend servers that respond to them.
//!
//! Load pattern: a part that many requests share crashes each server that begins to respond to it. No
//! two of these requests are alike, so counting crashes per request content finds nothing, and they
//! arrive faster than servers restart. Sound requests share all the other parts, and nearly all
//! requests of a route share its first one.
//!
//! Every process keeps the crashes that any process saw, each with the parts of the requests that ran
//! at the server; merging them is commutative and idempotent. The parts that explain the crashes are
//! blamed ([`blame`]), and requests with a blamed part are refused. A response that is
//! complete, or goes on for a while, clears the parts of its prompt of the crashes so far.
//!
//! A part may be blamed wrongly, so after a while one request with it is tried ([`trials`]).

mod blame;
mod crashes;
mod reports;
mod running_items;
mod trials;

use std::time::{Duration, Instant};

use foxwheel_core::ids::{NodeId, PromptPartId, ServiceName};

pub use self::blame::BlamedPart;
use self::crashes::{CrashedServer, CutOffRun, Suspects};
pub use self::reports::{PartCrashReport, PartEvidence, PartTrialReport, RunReport};
use self::running_items::RunningItems;
use self::trials::PartTrials;
use crate::quarantine::{ObservedCrash, QuarantineDigest, RecentCompletions, ITEM_TRIAL_DELAY};
use crate::zone_loads::ServerFingerprint;

/// How long a crash is kept that a blamed part explains.
const CRASH_RETENTION: Duration = Duration::from_secs(3_600);

/// How long any other crash is kept. A part that crashes servers is blamed within seconds.
const UNEXPLAINED_CRASH_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of crashes kept, some 20 KB. Those that no blamed part explains are dropped first,
/// and then the oldest ones.
const MAX_CRASHES: usize = 32;

/// How much longer an item with a blamed part waits for each crash under its own content. Items under
/// which fewer servers crashed are less likely the cause, and one that completes clears the part.
const ITEM_TURN_DELAY: Duration = Duration::from_millis(250);

/// The longest time by which an item lets others go first.
const MAX_ITEM_TURN_DELAY: Duration = Duration::from_millis(1_500);

/// Identifies a request that was cut off by a crash.
pub type CutOffRequestKey = u64;

/// How a request may run now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartPermission {
    /// No part of its prompt is blamed.
    Unrestricted,
    /// As the trial of these parts, which has begun.
    Trial(Vec<PromptPartId>),
    /// Not before this time has passed, because of this part.
    Refused(PromptPartId, Duration),
    /// Not while another item with this part runs, under which a server crashed.
    Busy(PromptPartId),
}

/// Changes of the verdicts of one process.
#[derive(Debug, Default)]
pub struct VerdictChanges {
    /// Parts that are blamed now, or that further servers crashed under.
    pub blamed: Vec<BlamedPart>,
    /// Parts that are blamed no more.
    pub lifted: Vec<BlamedPart>,
}

/// The crashes that one process knows of, by the parts of the prompts that ran at the servers.
#[derive(Debug, Default)]
pub struct PartQuarantine {
    /// Sorted by server; at most [`MAX_CRASHES`].
    crashes: Vec<CrashedServer>,
    /// Parts in `crashes` that a server of the service responded to before; sorted.
    succeeded_before: Vec<(ServiceName, PromptPartId)>,
    /// The parts that this process saw responses to, which are not reported to other processes.
    successes: RecentCompletions,
    /// The parts of online requests that explain `crashes`; sorted by service and part.
    blamed: Vec<BlamedPart>,
    /// The parts that would explain `crashes` if batch items could be the cause; sorted by service
    /// and part. They only hold items back. `None` until an item is to run.
    blamed_with_items: Option<Vec<BlamedPart>>,
    /// `blamed` as of the last call of [`Self::take_changes`].
    reported: Vec<BlamedPart>,
    trials: PartTrials,
    /// The batch items that run at this process.
    running_items: RunningItems,
    /// Digest of the crashes and trials, sent with each heartbeat; 0 if there are none.
    digest: QuarantineDigest,
    /// When the next crash is to be dropped; `None` if there is none.
    next_expiry: Option<Instant>,
}

impl PartQuarantine {
    /// Returns whether no crash is kept.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns how a request with these parts may run at `service`. `process_count` is the number of
    /// live processes, and `process` identifies this one; together they spread the trials of all
    /// processes in time.
    pub fn begin_run(
        &mut self,
        parts: &[PromptPartId],
        service: &str,
        process: &NodeId,
        process_count: usize,
        now: Instant,
    ) -> PartPermission {
        let blamed = parts
            .iter()
            .filter_map(|part| find(&self.blamed, service, part));
        let blamed: Vec<&BlamedPart> = blamed.collect();
        if blamed.is_empty() {
            return PartPermission::Unrestricted;
        }
        let delays = blamed.iter().map(|part| {
            let delay = self.trials.delay(part, process, process_count, now);
            (delay, &part.part)
        });
        let longest = delays.max();
        if let Some((delay, part)) = longest.filter(|(delay, _)| !delay.is_zero()) {
            return PartPermission::Refused(part.clone(), delay);
        }
        let tried: Vec<PromptPartId> = blamed.iter().map(|part| part.part.clone()).collect();
        for part in &tried {
            self.trials.begin(service, part, process, now);
        }
        self.update_digest();
        PartPermission::Trial(tried)
    }

    /// Returns how a batch item with these parts may run. A run that is permitted must end with
    /// [`Self::end_item_run`]. `content_crashes` is the number of servers that crashed under the
    /// item's own content.
    ///
    /// Of the items with a part that may be the cause of a crash, one runs at a time: the items of a
    /// job start together, and would take down all servers at once. If the part is blamed, the next
    /// one waits for [`ITEM_TRIAL_DELAY`] after the last crash, and for its turn, but no longer: an
    /// accepted item is owed whatever crashed under it. A part that servers responded to before holds
    /// no item.
    pub fn begin_item_run(
        &mut self,
        parts: &[PromptPartId],
        service: &str,
        content_crashes: usize,
        now: Instant,
    ) -> PartPermission {
        let all_blamed = self.blamed_with_items.get_or_insert_with(|| {
            blame::blamed_parts(&self.crashes, Suspects::AllRuns, &self.succeeded_before)
        });
        let blamed = parts
            .iter()
            .filter_map(|part| find(all_blamed, service, part));
        let blamed = blamed.filter(|blamed| !blamed.succeeded_before);
        let turn_delay = ITEM_TURN_DELAY.saturating_mul(content_crashes as u32);
        let turn_delay = turn_delay.min(MAX_ITEM_TURN_DELAY);
        let delays = blamed.map(|blamed| {
            let may_begin_at = blamed.last_crash_at + ITEM_TRIAL_DELAY + turn_delay;
            (may_begin_at.saturating_duration_since(now), &blamed.part)
        });
        if let Some((delay, part)) = delays.max().filter(|(delay, _)| !delay.is_zero()) {
            return PartPermission::Refused(part.clone(), delay);
        }
        let is_busy = |part: &&PromptPartId| {
            self.is_suspect(service, part) && self.running_items.contains(service, part)
        };
        if let Some(part) = parts.iter().find(is_busy) {
            return PartPermission::Busy(part.clone());
        }
        self.running_items.add(service, parts);
        PartPermission::Unrestricted
    }

    /// Records that a run of a batch item with these parts has ended.
    pub fn end_item_run(&mut self, parts: &[PromptPartId], service: &str) {
        self.running_items.remove(service, parts);
    }

    /// Returns whether a server crashed under a part that no server responded to.
    fn is_suspect(&self, service: &str, part: &str) -> bool {
        let entry = (service, part);
        let succeeded = self
            .succeeded_before
            .binary_search_by(|(known, of)| (known.as_str(), of.as_str()).cmp(&entry));
        let mut crashes = self.crashes.iter();
        succeeded.is_err()
            && crashes.any(|crash| {
                crash.service == service && crash.has_part(part) && !crash.is_cleared(part)
            })
    }

    /// Records a run that this process had at a server when it crashed. `request` identifies the run's
    /// request.
    pub fn record_crash(
        &mut self,
        parts: &[PromptPartId],
        request: CutOffRequestKey,
        observed: &ObservedCrash,
        now: Instant,
    ) {
        if parts.is_empty() {
            return;
        }
        let run = CutOffRun::new(request, observed.sent_at, parts, observed.run_kind);
        let crash = CrashedServer::new(observed, run);
        self.add_crash(crash);
        self.evaluate(now);
    }

    /// Records that a server of `service` responded to a request with these parts, completely or for
    /// longer than it could if one of them crashed it.
    /// Returns whether that cleared a part of a crash.
    pub fn record_success(&mut self, parts: &[PromptPartId], service: &str, now: Instant) -> bool {
        let mut cleared_any = false;
        for part in parts {
            self.successes.record(part, service);
            let crashes = self.crashes.iter_mut();
            for crash in crashes.filter(|crash| crash.service == service) {
                cleared_any |= crash.clear(part);
            }
        }
        if cleared_any {
            self.evaluate(now);
        }
        cleared_any
    }

    /// Merges what another process reported. Returns whether that changed anything.
    pub fn merge(&mut self, evidence: &PartEvidence, now: Instant) -> bool {
        let before = self.digest;
        for report in &evidence.crashes {
            if let Some(crash) = CrashedServer::from_report(report, now) {
                self.add_crash(crash);
            }
        }
        for (service, part) in &evidence.succeeded_before {
            self.mark_succeeded_before(service, part);
        }
        for report in &evidence.trials {
            self.trials.apply_report(report, now);
        }
        self.evaluate(now);
        before != self.digest
    }

    /// Returns all that is known, for other processes.
    pub fn evidence(&self, now: Instant) -> PartEvidence {
        PartEvidence {
            crashes: self.crashes.iter().map(|it| it.report(now)).collect(),
            succeeded_before: self.succeeded_before.clone(),
            trials: self.trials.reports(now),
        }
    }

    /// Returns the evidence against one part, for the store.
    pub fn evidence_against(&self, service: &str, part: &str, now: Instant) -> PartEvidence {
        let mut evidence = self.evidence(now);
        let has_part = |run: &RunReport| run.parts.iter().any(|known| known == part);
        evidence
            .crashes
            .retain(|crash| crash.service == service && crash.runs.iter().any(has_part));
        evidence.trials.clear();
        evidence
    }

    /// Returns the digest of all that is known, by which two processes can tell whether they know the
    /// same; 0 if there is nothing.
    pub fn digest(&mut self, now: Instant) -> QuarantineDigest {
        if self.next_expiry.is_some_and(|at| at <= now) {
            self.evaluate(now);
        }
        self.digest
    }

    /// Returns the blamed parts, sorted by service and part.
    pub fn blamed(&self) -> &[BlamedPart] {
        &self.blamed
    }

    /// Returns how the verdicts changed since the last call.
    pub fn take_changes(&mut self) -> VerdictChanges {
        let reported = std::mem::replace(&mut self.reported, self.blamed.clone());
        let is_new = |blamed: &&BlamedPart| {
            let mut before = reported.iter();
            before.all(|it| !it.is_same_part(blamed) || it.crashes < blamed.crashes)
        };
        let is_lifted = |before: &&BlamedPart| {
            let mut blamed = self.blamed.iter();
            blamed.all(|it| !it.is_same_part(before))
        };
        VerdictChanges {
            blamed: self.blamed.iter().filter(is_new).cloned().collect(),
            lifted: reported.iter().filter(is_lifted).cloned().collect(),
        }
    }

    /// Returns the servers whose crashes a blamed part explains, sorted.
    pub fn explained_servers(&self) -> Vec<ServerFingerprint> {
        let explained = self.blamed.iter().flat_map(|blamed| &blamed.servers);
        let mut servers: Vec<ServerFingerprint> = explained.copied().collect();
        servers.sort_unstable();
        servers
    }

    fn add_crash(&mut self, crash: CrashedServer) {
        for part in crash.parts() {
            if self.successes.contains(part, &crash.service) {
                let part = part.clone();
                self.mark_succeeded_before(&crash.service.clone(), &part);
            }
        }
        match self
            .crashes
            .binary_search_by_key(&crash.server, |known| known.server)
        {
            Ok(at) => self.crashes[at].merge(crash),
            Err(at) => self.crashes.insert(at, crash),
        }
    }

    fn mark_succeeded_before(&mut self, service: &str, part: &str) {
        let entry = (service.to_owned(), part.to_owned());
        if let Err(at) = self.succeeded_before.binary_search(&entry) {
            self.succeeded_before.insert(at, entry);
        }
    }

    /// Finds the parts to blame, and drops what is too old or too much.
    fn evaluate(&mut self, now: Instant) {
        self.assign_blame();
        let explained = self.explained_servers();
        let is_explained = |crash: &CrashedServer| explained.binary_search(&crash.server).is_ok();
        let expiry = |crash: &CrashedServer| match is_explained(crash) {
            true => crash.at + CRASH_RETENTION,
            false => crash.at + UNEXPLAINED_CRASH_RETENTION,
        };
        let kept_before = self.crashes.len();
        self.crashes.retain(|crash| expiry(crash) > now);
        while self.crashes.len() > MAX_CRASHES {
            let crashes = self.crashes.iter().enumerate();
            let least = crashes.min_by_key(|(_, crash)| (is_explained(crash), crash.at));
            let Some((at, _)) = least else { break };
            self.crashes.remove(at);
        }
        self.next_expiry = self.crashes.iter().map(expiry).min();
        if self.crashes.len() < kept_before {
            self.assign_blame();
        }
        let crashes = &self.crashes;
        self.succeeded_before.retain(|(service, part)| {
            let mut of_service = crashes.iter().filter(|crash| crash.service == *service);
            of_service.any(|crash| crash.has_part(part))
        });
        let blamed = &self.blamed;
        self.trials
            .retain(|service, part| blamed.iter().any(|it| it.is_of(service, part)));
        self.update_digest();
    }

    fn assign_blame(&mut self) {
        let suspects = Suspects::OnlineRequests;
        self.blamed = blame::blamed_parts(&self.crashes, suspects, &self.succeeded_before);
        self.blamed_with_items = None;
    }

    fn update_digest(&mut self) {
        self.digest =
            reports::digest_of(&self.crashes, &self.succeeded_before, self.trials.starts());
    }
}

fn find<'a>(blamed: &'a [BlamedPart], service: &str, part: &str) -> Option<&'a BlamedPart> {
    let found = blamed.binary_search_by(|blamed| {
        (blamed.service.as_str(), blamed.part.as_str()).cmp(&(service, part))
    });
    found.ok().map(|at| &blamed[at])
}
