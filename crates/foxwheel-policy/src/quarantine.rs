//! Requests that crash the backend servers that run them.
//!
//! Load pattern: one request crashes each server that begins to run it and comes again, under
//! new ids, at any front, a few times a second; servers are back after seconds. Whatever else
//! ran at a server breaks with it, so each crash also accuses innocents. Retries within one
//! attempt are bounded by their route, but the fleet is lost to the repeats.
//!
//! What counts is a request's content. Every process keeps the crashes that any process saw;
//! merging them in any order, once or often, gives the same. A content under which enough
//! starts of servers crashed, one after the other, is not run for a while; one whole answer of
//! the same service clears it, since what always crashes its server never gets that far.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use foxwheel_core::ids::{ContentFingerprint, ServiceName};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::zone_loads::ServerFingerprint;

/// Crashes one after the other after which a content is quarantined. Two happen to innocents: a
/// stream that breaks with its server is resumed at another one, at times just where the
/// culprit went too.
pub const CRASHES_TO_QUARANTINE: usize = 3;

/// Time between two crashes from which servers were not lost together: a loss of many is seen
/// by all within some ten milliseconds.
const CLEARLY_LATER: Duration = Duration::from_millis(250);

/// How long a content is not run after its last crash. Then it may run again, and the next
/// crash quarantines it at once: whoever is accused wrongly gets a new trial, and a culprit
/// costs one server each time.
const QUARANTINED_FOR: Duration = Duration::from_secs(600);

/// Further crashes that a quarantined batch item may cost: a worker has one run of it at a time,
/// and nobody asks again for an item that lies still, as a caller does.
const ITEM_TRIALS: usize = 2;

/// How long after the last crash such an item is tried again: what took its servers, if it was
/// not the item, is over by then.
const ITEM_TRIAL_AFTER: Duration = Duration::from_secs(3);

/// How long a crash is remembered.
pub const CRASH_RETENTION: Duration = Duration::from_secs(3_600);

/// Most contents remembered, the least suspect and oldest go first; about 100 KB. A lost
/// availability zone accuses some thousand innocents at once, which must not push out the
/// contents that are quarantined.
const MAX_CONTENTS: usize = 512;

/// Most crashes remembered of one content.
const MAX_CRASHES: usize = 8;

/// What processes tell each other of one crash.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request's content.
    pub content: ContentFingerprint,
    /// The start of a server that crashed.
    pub server: ServerFingerprint,
    /// The server's service.
    pub service: ServiceName,
    /// How long ago.
    #[serde(rename = "age_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// How long before that the request was sent there.
    #[serde(rename = "ran_for_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub ran_for: Duration,
    /// The content was answered whole later on.
    pub cleared: bool,
}

/// Stands for all that a process remembers, so that two can tell whether they remember the
/// same; 0 for nothing.
pub type QuarantineDigest = u64;

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContentStatus {
    /// Nothing is held against it.
    Clear,
    /// Servers crashed under it, too few to tell.
    Suspect,
    /// It is not run for as long.
    Quarantined(Duration),
}

/// A crash as the process saw it that had a request there.
#[derive(Debug, Clone)]
pub struct ObservedCrash {
    /// The start of a server that crashed.
    pub server: ServerFingerprint,
    /// The server's service.
    pub service: ServiceName,
    /// When the request was sent there.
    pub sent_at: Instant,
    /// When its answer broke.
    pub broke_at: Instant,
}

/// A crash that is remembered.
#[derive(Debug, Clone)]
struct Crash {
    server: ServerFingerprint,
    service: ServiceName,
    sent_at: Instant,
    at: Instant,
    cleared: bool,
    /// This process saw it.
    seen_here: bool,
}

/// A content and the crashes under it.
#[derive(Debug, Clone)]
struct Accused {
    content: ContentFingerprint,
    /// Sorted by server; never empty, at most [`MAX_CRASHES`].
    crashes: Vec<Crash>,
}

/// The crashes that one process knows of.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Sorted by content; at most [`MAX_CONTENTS`].
    accused: Vec<Accused>,
    /// Stands for `accused`; each heartbeat tells it.
    digest: QuarantineDigest,
}

impl Accused {
    fn status(&self, now: Instant) -> ContentStatus {
        let held = self.crashes.iter().filter(|crash| !crash.cleared);
        let Some(last) = held.map(|crash| crash.at).max() else {
            return ContentStatus::Clear;
        };
        let left = (last + QUARANTINED_FOR).saturating_duration_since(now);
        if self.crashes_in_turn().len() < CRASHES_TO_QUARANTINE || left.is_zero() {
            return ContentStatus::Suspect;
        }
        ContentStatus::Quarantined(left)
    }

    /// The crashes, by server, that came one after the other: the request was sent after the
    /// crash before, or the server crashed clearly later. Servers that are lost together, with
    /// the same content at each because many ask for it, count as one.
    fn crashes_in_turn(&self) -> Vec<ServerFingerprint> {
        let mut held: Vec<&Crash> = self.crashes.iter().filter(|crash| !crash.cleared).collect();
        held.sort_unstable_by_key(|crash| crash.at);
        let mut in_turn = Vec::new();
        let mut last = None;
        for crash in held {
            let is_next = last.is_none_or(|last: Instant| {
                crash.sent_at >= last || crash.at >= last + CLEARLY_LATER
            });
            if is_next {
                in_turn.push(crash.server);
                last = Some(crash.at);
            }
        }
        in_turn
    }

    fn is_quarantined(&self, now: Instant) -> bool {
        matches!(self.status(now), ContentStatus::Quarantined(_))
    }

    /// Takes a crash; answers whether that changed anything.
    fn take(&mut self, crash: Crash) -> bool {
        let found = self
            .crashes
            .binary_search_by_key(&crash.server, |known| known.server);
        match found {
            Ok(at) => {
                let known = &mut self.crashes[at];
                let is_news = crash.cleared && !known.cleared;
                known.cleared |= crash.cleared;
                known.seen_here |= crash.seen_here;
                is_news
            }
            Err(at) => {
                self.crashes.insert(at, crash);
                if self.crashes.len() > MAX_CRASHES {
                    self.drop_one();
                }
                true
            }
        }
    }

    /// Drops the oldest crash, of those first that add nothing to what is held against it.
    fn drop_one(&mut self) {
        let in_turn = self.crashes_in_turn();
        let crashes = self.crashes.iter().enumerate();
        let least = crashes.min_by_key(|(_, crash)| (in_turn.contains(&crash.server), crash.at));
        if let Some((at, _)) = least {
            self.crashes.remove(at);
        }
    }

    /// How much is held against it, and when the last of it happened: what goes first is least.
    fn weight(&self) -> (usize, Option<Instant>) {
        let held = self.crashes.iter().filter(|crash| !crash.cleared).count();
        (held, self.crashes.iter().map(|crash| crash.at).max())
    }
}

impl Quarantine {
    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.accused.is_empty()
    }

    /// What may be done with a request of that content.
    pub fn status(&self, content: &str, now: Instant) -> ContentStatus {
        match self.position(content) {
            Ok(at) => self.accused[at].status(now),
            Err(_) => ContentStatus::Clear,
        }
    }

    /// Whether a batch item of that content may run: also as a trial while it is quarantined.
    pub fn may_run_item(&self, content: &str, now: Instant) -> bool {
        let Ok(at) = self.position(content) else {
            return true;
        };
        let accused = &self.accused[at];
        if !accused.is_quarantined(now) {
            return true;
        }
        let trials_left = accused.crashes_in_turn().len() < CRASHES_TO_QUARANTINE + ITEM_TRIALS;
        let held = accused.crashes.iter().filter(|crash| !crash.cleared);
        let last = held.map(|crash| crash.at).max();
        trials_left && last.is_none_or(|last| now >= last + ITEM_TRIAL_AFTER)
    }

    /// Takes note that a server crashed under a request, as this process saw. Answers whether
    /// the content is quarantined by it.
    pub fn record_crash(&mut self, content: &str, seen: ObservedCrash, now: Instant) -> bool {
        let before = self.status(content, now);
        let crash = Crash {
            server: seen.server,
            service: seen.service,
            sent_at: seen.sent_at,
            at: seen.broke_at,
            cleared: false,
            seen_here: true,
        };
        self.take(content, crash);
        self.forget(now);
        self.digest = digest_of(&self.accused);
        let after = self.status(content, now);
        matches!(after, ContentStatus::Quarantined(_))
            && !matches!(before, ContentStatus::Quarantined(_))
    }

    /// Takes note that a server of `service` answered a request of that content whole. Answers
    /// whether a crash there was held against it: what another service makes of it says nothing.
    pub fn record_success(&mut self, content: &str, service: &str) -> bool {
        let Ok(at) = self.position(content) else {
            return false;
        };
        let mut was_held = false;
        for crash in &mut self.accused[at].crashes {
            if crash.service == service {
                was_held |= !crash.cleared;
                crash.cleared = true;
            }
        }
        self.digest = digest_of(&self.accused);
        was_held
    }

    /// Takes what another process knows. Answers whether anything was new.
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
                seen_here: false,
            };
            changed |= self.take(&report.content, crash);
        }
        self.forget(now);
        self.digest = digest_of(&self.accused);
        changed
    }

    /// All that is remembered.
    pub fn reports(&self, now: Instant) -> Vec<CrashReport> {
        let accused = self.accused.iter();
        accused
            .flat_map(|accused| {
                accused.crashes.iter().map(|crash| CrashReport {
                    content: accused.content.clone(),
                    server: crash.server,
                    service: crash.service.clone(),
                    age: now.duration_since(crash.at),
                    ran_for: crash.at.duration_since(crash.sent_at),
                    cleared: crash.cleared,
                })
            })
            .collect()
    }

    /// What is remembered of one content.
    pub fn reports_on(&self, content: &str, now: Instant) -> Vec<CrashReport> {
        let mut reports = self.reports(now);
        reports.retain(|report| report.content == content);
        reports
    }

    /// Quarantined contents of which this process saw a crash; sorted.
    pub fn quarantined_locally(&self, now: Instant) -> Vec<ContentFingerprint> {
        let quarantined = self.accused.iter().filter(|accused| {
            let seen_here = accused.crashes.iter().any(|crash| crash.seen_here);
            seen_here && accused.is_quarantined(now)
        });
        quarantined.map(|accused| accused.content.clone()).collect()
    }

    /// Stands for all that is remembered.
    pub fn digest(&self) -> QuarantineDigest {
        self.digest
    }

    fn take(&mut self, content: &str, crash: Crash) -> bool {
        match self.position(content) {
            Ok(at) => self.accused[at].take(crash),
            Err(at) => {
                let accused = Accused {
                    content: content.to_owned(),
                    crashes: vec![crash],
                };
                self.accused.insert(at, accused);
                true
            }
        }
    }

    /// Drops what is too old, and the least suspect of too many contents.
    fn forget(&mut self, now: Instant) {
        for accused in &mut self.accused {
            let crashes = &mut accused.crashes;
            crashes.retain(|crash| now.duration_since(crash.at) < CRASH_RETENTION);
        }
        self.accused.retain(|accused| !accused.crashes.is_empty());
        while self.accused.len() > MAX_CONTENTS {
            let accused = self.accused.iter().enumerate();
            let least = accused.min_by_key(|(_, accused)| accused.weight());
            let Some((at, _)) = least else { break };
            self.accused.remove(at);
        }
    }

    fn position(&self, content: &str) -> Result<usize, usize> {
        self.accused
            .binary_search_by(|accused| accused.content.as_str().cmp(content))
    }
}

fn digest_of(accused: &[Accused]) -> QuarantineDigest {
    if accused.is_empty() {
        return 0;
    }
    let mut hasher = DefaultHasher::new();
    for one in accused {
        one.content.hash(&mut hasher);
        for crash in &one.crashes {
            (crash.server, crash.cleared).hash(&mut hasher);
        }
    }
    hasher.finish()
}
