//! Quarantine of request contents that crash the backend servers that run them.
//!
//! Load pattern: one request crashes every server that starts to run it and is sent again a few
//! times per second, under new ids and to any front, while crashed servers take seconds to
//! restart. All other requests at a crashed server fail with it, so each crash also makes
//! requests suspected that are not at fault. Routes limit the retries of each single request,
//! but the repeated requests still take down the fleet.
//!
//! Crashes are therefore counted per request content. Those that cut off batch items count against
//! no content: they show that a server crashed, and hold the item back for a short time. Every
//! process keeps the crashes observed by any process; merging them is commutative and idempotent. A
//! content under which enough server instances crashed one after the other is not run for a while.
//! One complete response from the same service clears the content, because a request that always
//! crashes its server never gets one.
//!
//! When all servers of a service end within a short time, whatever the reason, a content that many
//! callers send is at each of them and no server is left to clear it. A content that may not be at
//! fault is therefore quarantined for seconds only. It is then run at one server at a time; each
//! further crash lengthens its quarantine.

mod completions;
mod doubt;
mod reports;
mod suspected_content;
mod trials;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use foxwheel_core::ids::ContentFingerprint;

pub use self::completions::RecentCompletions;
use self::doubt::CrashHistory;
pub use self::doubt::Doubt;
pub use self::reports::{
    CrashReport, ObservedCrash, QuarantineEvidence, RunKind, MAX_OTHER_CONTENTS,
};
use self::suspected_content::{Crash, SuspectedContent};
use self::trials::Trials;
pub use self::trials::{trial_rank, TrialEnd};
use crate::zone_loads::ServerFingerprint;

/// Number of successive crashes after which a content is quarantined. Two also happen to requests
/// that are not at fault: a stream that is cut off by a crash is resumed at another server, at
/// times the one to which the request that causes the crashes was sent as well.
pub const CRASHES_TO_QUARANTINE: usize = 3;

/// How long a content is quarantined after its last crash, if nothing speaks against it being the
/// cause. After that it may run again, and the next crash quarantines it immediately: a wrongly
/// suspected content gets another chance, and one that does cause the crashes takes down one
/// server each time.
const QUARANTINE_DURATION: Duration = Duration::from_secs(600);

/// How long a content that may not be the cause is quarantined after the crash that quarantined
/// it. The loss of a group of servers is over by then, and callers that are refused can still be
/// served if they wait.
const DOUBTFUL_QUARANTINE_DURATION: Duration = Duration::from_secs(2);

/// Factor by which each further crash lengthens the quarantine of such a content, up to
/// [`QUARANTINE_DURATION`].
const DOUBTFUL_QUARANTINE_GROWTH: u32 = 3;

/// Delay between the last crash under a batch item and its next run, once enough servers crashed
/// under it to quarantine an online request. An accepted item is owed whatever crashed under it, so
/// the delay does not grow. It bounds the harm of an item that is the cause after all.
pub const ITEM_TRIAL_DELAY: Duration = Duration::from_secs(3);

/// How long a crash is kept.
pub const CRASH_RETENTION: Duration = Duration::from_secs(3_600);

/// Maximum number of contents kept, about 100 KB; the least suspected and then the oldest are
/// dropped first. The loss of an availability zone makes about a thousand contents suspected at
/// once that are not at fault, and these must not displace the quarantined contents.
const MAX_CONTENTS: usize = 512;

/// A digest of all crashes that a process keeps, by which two processes can tell whether they keep
/// the same ones; 0 if there is none.
pub type QuarantineDigest = u64;

/// Whether requests with a content may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContentStatus {
    /// No crash counts against the content.
    Clear,
    /// Servers crashed while they ran it, but too few to quarantine it, or the quarantine is over.
    Suspect,
    /// The content must not run for this long.
    Quarantined(Duration),
}

/// How a request may run now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPermission {
    /// At any server.
    Unrestricted,
    /// As a trial, at the server with the highest [`trial_rank`]. The trial has begun, and ends with
    /// [`Quarantine::end_trial`].
    Trial {
        /// Other requests of this process with the same content are on trial as well.
        is_shared: bool,
    },
    /// Not before this time has passed.
    Refused(Duration),
}

/// The crashes that one process knows of, by request content.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Sorted by content; at most [`MAX_CONTENTS`].
    suspected: Vec<SuspectedContent>,
    /// Digest of `suspected`, sent with each heartbeat.
    digest: QuarantineDigest,
    /// The contents that this process saw completed, which are not reported to other processes: a
    /// content that many callers send is completed at many fronts.
    completions: RecentCompletions,
    /// The trials of this process.
    trials: Trials,
}

/// Returns how long a content is quarantined after the last of `crashes` successive crashes.
fn quarantine_duration(crashes: usize, doubt: Option<Doubt>) -> Duration {
    if doubt.is_none() {
        return QUARANTINE_DURATION;
    }
    let further_crashes = crashes.saturating_sub(CRASHES_TO_QUARANTINE) as u32;
    let growth = DOUBTFUL_QUARANTINE_GROWTH.saturating_pow(further_crashes);
    let duration = DOUBTFUL_QUARANTINE_DURATION.saturating_mul(growth);
    duration.min(QUARANTINE_DURATION)
}

impl SuspectedContent {
    fn report(&self, crash: &Crash, now: Instant) -> CrashReport {
        CrashReport {
            content: self.content.clone(),
            server: crash.server,
            service: crash.service.clone(),
            age: now.duration_since(crash.at),
            ran_for: crash.at.duration_since(crash.sent_at),
            cleared: crash.cleared,
            run_kind: crash.run_kind,
        }
    }
}

impl Quarantine {
    /// Returns whether no crash is kept.
    pub fn is_empty(&self) -> bool {
        self.suspected.is_empty()
    }

    /// Returns whether requests with that content may run.
    pub fn status(&self, content: &str, now: Instant) -> ContentStatus {
        match self.position(content) {
            Ok(at) => self.status_of(&self.suspected[at], now),
            Err(_) => ContentStatus::Clear,
        }
    }

    fn status_of(&self, suspected: &SuspectedContent, now: Instant) -> ContentStatus {
        let Some(last) = suspected.last_counted_at() else {
            return ContentStatus::Clear;
        };
        if !suspected.has_quarantining_crashes() {
            return ContentStatus::Suspect;
        }
        let crashes = suspected.successive_crashes().len();
        let duration = quarantine_duration(crashes, self.doubt_about(suspected));
        let left = (last + duration).saturating_duration_since(now);
        match left.is_zero() {
            true => ContentStatus::Suspect,
            false => ContentStatus::Quarantined(left),
        }
    }

    fn is_quarantined(&self, suspected: &SuspectedContent, now: Instant) -> bool {
        matches!(
            self.status_of(suspected, now),
            ContentStatus::Quarantined(_)
        )
    }

    fn doubt_about(&self, suspected: &SuspectedContent) -> Option<Doubt> {
        let history = CrashHistory {
            suspected: &self.suspected,
            completions: &self.completions,
        };
        history.doubt(suspected)
    }

    /// Returns how an online request with that content may run.
    pub fn begin_run(&mut self, content: &str, now: Instant) -> RunPermission {
        match self.status(content, now) {
            ContentStatus::Quarantined(left) => RunPermission::Refused(left),
            ContentStatus::Clear | ContentStatus::Suspect => {
                self.begin_trial_if_needed(content, now)
            }
        }
    }

    /// Returns how a batch item with that content may run. Its server is chosen already, so that
    /// only one item of a content is on trial at a time.
    pub fn begin_item_run(&mut self, content: &str, now: Instant) -> RunPermission {
        let found = self.position(content).ok();
        let suspected = found.map(|at| &self.suspected[at]);
        let Some(suspected) = suspected.filter(|it| it.holds_items()) else {
            return RunPermission::Unrestricted;
        };
        let may_begin_at = suspected
            .last_crash_at()
            .map_or(now, |last| last + ITEM_TRIAL_DELAY);
        let delay = may_begin_at.saturating_duration_since(now);
        let delay = delay.max(self.trials.delay(content, now));
        if !delay.is_zero() {
            return RunPermission::Refused(delay);
        }
        if self.trials.running(content) > 0 {
            return RunPermission::Refused(ITEM_TRIAL_DELAY);
        }
        self.trials.begin(content, now);
        RunPermission::Trial { is_shared: false }
    }

    /// Ends a trial.
    pub fn end_trial(&mut self, content: &str, end: TrialEnd, now: Instant) {
        self.trials.end(content, end, now);
    }

    fn needs_trial(&self, content: &str) -> bool {
        let found = self.position(content).ok();
        found.is_some_and(|at| self.suspected[at].has_quarantining_crashes())
    }

    fn begin_trial_if_needed(&mut self, content: &str, now: Instant) -> RunPermission {
        if !self.needs_trial(content) {
            return RunPermission::Unrestricted;
        }
        let delay = self.trials.delay(content, now);
        if !delay.is_zero() {
            return RunPermission::Refused(delay);
        }
        let is_shared = self.trials.running(content) > 0;
        self.trials.begin(content, now);
        RunPermission::Trial { is_shared }
    }

    /// Records a crash that this process observed while a request with that content was at the
    /// server. Returns whether the crash caused the content to be quarantined.
    pub fn record_crash(&mut self, content: &str, observed: ObservedCrash, now: Instant) -> bool {
        let before = self.status(content, now);
        let crash = Crash {
            server: observed.server,
            service: observed.service,
            sent_at: observed.sent_at,
            at: observed.cut_off_at,
            cleared: false,
            observed_locally: true,
            run_kind: observed.run_kind,
        };
        self.add_crash(content, crash);
        self.prune_crashes(now);
        self.digest = digest_of(&self.suspected);
        let after = self.status(content, now);
        matches!(after, ContentStatus::Quarantined(_))
            && !matches!(before, ContentStatus::Quarantined(_))
    }

    /// Records that a server of `service` sent a complete response to a request with that content.
    /// Returns whether this cleared a crash. Only crashes of the same service are cleared, because
    /// another service may process the content in another way.
    pub fn record_success(&mut self, content: &str, service: &str) -> bool {
        self.completions.record(content, service);
        let Ok(at) = self.position(content) else {
            return false;
        };
        let mut cleared_any = false;
        for crash in &mut self.suspected[at].crashes {
            if crash.service == service {
                cleared_any |= !crash.cleared;
                crash.cleared = true;
            }
        }
        self.digest = digest_of(&self.suspected);
        cleared_any
    }

    /// Merges the crashes that another process reported. Returns whether that changed anything.
    pub fn merge(&mut self, reports: &[CrashReport], now: Instant) -> bool {
        let mut changed = false;
        for report in reports {
            let at = now.checked_sub(report.age);
            let Some(at) = at.filter(|_| report.age < CRASH_RETENTION) else {
                continue;
            };
            let crash = Crash {
                server: report.server,
                service: report.service.clone(),
                sent_at: at.checked_sub(report.ran_for).unwrap_or(at),
                at,
                cleared: report.cleared,
                observed_locally: false,
                run_kind: report.run_kind,
            };
            changed |= self.add_crash(&report.content, crash);
        }
        self.prune_crashes(now);
        self.digest = digest_of(&self.suspected);
        changed
    }

    /// Returns all crashes that are kept.
    pub fn reports(&self, now: Instant) -> Vec<CrashReport> {
        let suspected = self.suspected.iter();
        suspected
            .flat_map(|suspected| {
                let crashes = suspected.crashes.iter();
                crashes.map(|crash| suspected.report(crash, now))
            })
            .collect()
    }

    /// Returns the evidence for each content that was quarantined, or quarantined again by a
    /// further crash, since the last call. Crashes observed by other processes count as well.
    pub fn take_new_evidence(&mut self, now: Instant) -> Vec<QuarantineEvidence> {
        let mut evidence = Vec::new();
        for at in 0..self.suspected.len() {
            let suspected = &self.suspected[at];
            let crash_count = suspected.successive_crashes().len();
            let ContentStatus::Quarantined(time_left) = self.status_of(suspected, now) else {
                self.suspected[at].reported_crash_count = 0;
                continue;
            };
            if crash_count > suspected.reported_crash_count {
                evidence.push(self.evidence(suspected, time_left, now));
                self.suspected[at].reported_crash_count = crash_count;
            }
        }
        evidence
    }

    fn evidence(
        &self,
        suspected: &SuspectedContent,
        time_left: Duration,
        now: Instant,
    ) -> QuarantineEvidence {
        let mut counted: Vec<&Crash> = suspected.counted_crashes().collect();
        counted.sort_unstable_by_key(|crash| crash.at);
        let ran_there = |other: &&SuspectedContent| {
            let ran_at = |crash: &&Crash| other.crash_of(crash.server).is_some();
            other.content != suspected.content && counted.iter().any(ran_at)
        };
        let others = self.suspected.iter().filter(ran_there);
        let others = others.take(MAX_OTHER_CONTENTS);
        QuarantineEvidence {
            content: suspected.content.clone(),
            time_left,
            doubt: self.doubt_about(suspected),
            other_contents: others.map(|other| other.content.clone()).collect(),
            crashes: counted
                .into_iter()
                .map(|crash| suspected.report(crash, now))
                .collect(),
        }
    }

    /// Returns whether servers crashed under a content, and a complete response cleared it of all these
    /// crashes.
    pub fn is_cleared(&self, content: &str) -> bool {
        let found = self.position(content).ok();
        found.is_some_and(|at| self.suspected[at].counted_crashes().next().is_none())
    }

    /// Returns the servers that crashed under a content, sorted. Their list entries may remain for a
    /// while.
    pub fn crashed_servers(&self, content: &str) -> Vec<ServerFingerprint> {
        let suspected = self.position(content).map(|at| &self.suspected[at]);
        let crashes = suspected.map_or(&[][..], |suspected| &suspected.crashes);
        crashes.iter().map(|crash| crash.server).collect()
    }

    /// Returns the crashes that are kept of one content.
    pub fn reports_on(&self, content: &str, now: Instant) -> Vec<CrashReport> {
        let mut reports = self.reports(now);
        reports.retain(|report| report.content == content);
        reports
    }

    /// Returns whether a content is suspected only of crashes of `explained` servers, for which
    /// something else is to blame. `explained` must be sorted.
    pub fn is_excused(&self, content: &str, explained: &[ServerFingerprint]) -> bool {
        let found = self.position(content).ok();
        found.is_some_and(|at| {
            let mut counted = self.suspected[at].counted_crashes();
            counted.all(|crash| explained.binary_search(&crash.server).is_ok())
        })
    }

    /// Returns the quarantined contents, sorted, of which this process observed a crash itself and
    /// which nothing speaks for. Something else is to blame for the crashes of `explained` servers,
    /// which must be sorted.
    pub fn quarantined_locally(
        &self,
        explained: &[ServerFingerprint],
        now: Instant,
    ) -> Vec<ContentFingerprint> {
        let quarantined = self.suspected.iter().filter(|suspected| {
            let observed_locally = suspected.crashes.iter().any(|crash| crash.observed_locally);
            observed_locally
                && !self.is_excused(&suspected.content, explained)
                && self.is_quarantined(suspected, now)
                && self.doubt_about(suspected).is_none()
        });
        quarantined
            .map(|suspected| suspected.content.clone())
            .collect()
    }

    /// Returns the digest of all crashes that are kept.
    pub fn digest(&self) -> QuarantineDigest {
        self.digest
    }

    fn add_crash(&mut self, content: &str, crash: Crash) -> bool {
        match self.position(content) {
            Ok(at) => self.suspected[at].add_crash(crash),
            Err(at) => {
                let suspected = SuspectedContent {
                    content: content.to_owned(),
                    crashes: vec![crash],
                    reported_crash_count: 0,
                };
                self.suspected.insert(at, suspected);
                true
            }
        }
    }

    /// Drops crashes older than [`CRASH_RETENTION`], and the least suspected of more than
    /// [`MAX_CONTENTS`] contents.
    fn prune_crashes(&mut self, now: Instant) {
        for suspected in &mut self.suspected {
            let crashes = &mut suspected.crashes;
            crashes.retain(|crash| now.duration_since(crash.at) < CRASH_RETENTION);
        }
        self.suspected
            .retain(|suspected| !suspected.crashes.is_empty());
        while self.suspected.len() > MAX_CONTENTS {
            let suspected = self.suspected.iter().enumerate();
            let least = suspected.min_by_key(|(_, suspected)| suspected.eviction_rank());
            let Some((at, _)) = least else { break };
            self.suspected.remove(at);
        }
    }

    fn position(&self, content: &str) -> Result<usize, usize> {
        self.suspected
            .binary_search_by(|suspected| suspected.content.as_str().cmp(content))
    }
}

fn digest_of(suspected: &[SuspectedContent]) -> QuarantineDigest {
    if suspected.is_empty() {
        return 0;
    }
    let mut hasher = DefaultHasher::new();
    for entry in suspected {
        entry.content.hash(&mut hasher);
        for crash in &entry.crashes {
            (crash.server, crash.cleared, crash.run_kind).hash(&mut hasher);
        }
    }
    hasher.finish()
}
