//! Requests that crash the backend servers that run them.
//!
//! Load pattern: one request crashes each server that begins to run it and comes again, under
//! new ids, at any front, a few times a second; servers are back after seconds. Whatever else
//! ran at a server breaks with it, so each crash also accuses innocents. Retries within one
//! attempt are bounded by their route, but the fleet is lost to the repeats.
//!
//! What counts is a request's content. Every process keeps the crashes that any process saw;
//! merging them in any order, once or often, gives the same. A content under which enough
//! starts of servers crashed is not run for a while; one whole answer to it clears it, since
//! what always crashes its server never gets that far.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use foxwheel_core::ids::ContentFingerprint;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::zone_loads::ServerFingerprint;

/// Crashes after which a content is quarantined. Two happen to innocents: a stream that breaks
/// with its server is resumed at another one, at times just where the culprit went too.
pub const ENOUGH_CRASHES: usize = 3;

/// How long a content is not run after its last crash. Then it may run again, and the next
/// crash quarantines it at once: whoever is accused wrongly gets a new trial, and a culprit
/// costs one server each time.
const QUARANTINED_FOR: Duration = Duration::from_secs(600);

/// How long a crash is remembered.
pub const REMEMBERED_FOR: Duration = Duration::from_secs(3_600);

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
    /// How long ago.
    #[serde(rename = "age_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// The content was answered whole later on.
    pub cleared: bool,
}

/// Stands for all that a process remembers, so that two can tell whether they remember the
/// same; 0 for nothing.
pub type QuarantineState = u64;

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is held against it.
    Clear,
    /// Servers crashed under it, too few to tell.
    Suspect,
    /// It is not run for as long.
    Quarantined(Duration),
}

#[derive(Debug, Clone)]
struct Crash {
    server: ServerFingerprint,
    at: Instant,
    cleared: bool,
    /// This process saw it.
    seen_here: bool,
}

#[derive(Debug, Clone)]
struct Accused {
    content: ContentFingerprint,
    /// Sorted by server.
    crashes: Vec<Crash>,
}

/// The crashes that one process knows of.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Sorted by content; at most [`MAX_CONTENTS`].
    accused: Vec<Accused>,
    /// Stands for `accused`; each heartbeat tells it.
    state: QuarantineState,
}

impl Accused {
    fn standing(&self, now: Instant) -> Standing {
        let held = self.crashes.iter().filter(|crash| !crash.cleared);
        let (count, last) = held.fold((0, None), |(count, last), crash| {
            (count + 1, last.max(Some(crash.at)))
        });
        let Some(last) = last else {
            return Standing::Clear;
        };
        let left = (last + QUARANTINED_FOR).saturating_duration_since(now);
        if count < ENOUGH_CRASHES || left.is_zero() {
            return Standing::Suspect;
        }
        Standing::Quarantined(left)
    }

    fn is_quarantined(&self, now: Instant) -> bool {
        matches!(self.standing(now), Standing::Quarantined(_))
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
                    self.drop_oldest();
                }
                true
            }
        }
    }

    fn drop_oldest(&mut self) {
        let crashes = self.crashes.iter().enumerate();
        let oldest = crashes.min_by_key(|(_, crash)| crash.at);
        if let Some((at, _)) = oldest {
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
    /// Whether nothing is remembered: no request needs a fingerprint.
    pub fn is_empty(&self) -> bool {
        self.accused.is_empty()
    }

    /// What may be done with a request of that content.
    pub fn standing(&self, content: &str, now: Instant) -> Standing {
        match self.position(content) {
            Ok(at) => self.accused[at].standing(now),
            Err(_) => Standing::Clear,
        }
    }

    /// Takes note that a server crashed under a request, as this process saw. Answers whether
    /// the content is quarantined by it.
    pub fn note_crash(&mut self, content: &str, server: ServerFingerprint, now: Instant) -> bool {
        let before = self.standing(content, now);
        let crash = Crash {
            server,
            at: now,
            cleared: false,
            seen_here: true,
        };
        self.take(content, crash);
        self.forget(now);
        self.state = state_of(&self.accused);
        let after = self.standing(content, now);
        matches!(after, Standing::Quarantined(_)) && !matches!(before, Standing::Quarantined(_))
    }

    /// Takes note that a request of that content was answered whole. Answers whether anything
    /// was held against it.
    pub fn note_success(&mut self, content: &str) -> bool {
        let Ok(at) = self.position(content) else {
            return false;
        };
        let crashes = &mut self.accused[at].crashes;
        let was_held = crashes.iter().any(|crash| !crash.cleared);
        for crash in crashes {
            crash.cleared = true;
        }
        self.state = state_of(&self.accused);
        was_held
    }

    /// Takes what another process knows. Answers whether anything was new.
    pub fn merge(&mut self, reports: &[CrashReport], now: Instant) -> bool {
        let mut changed = false;
        for report in reports {
            let Some(at) = now.checked_sub(report.age) else {
                continue;
            };
            if report.age >= REMEMBERED_FOR {
                continue;
            }
            let crash = Crash {
                server: report.server,
                at,
                cleared: report.cleared,
                seen_here: false,
            };
            changed |= self.take(&report.content, crash);
        }
        self.forget(now);
        self.state = state_of(&self.accused);
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
                    age: now.duration_since(crash.at),
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
    pub fn quarantined_here(&self, now: Instant) -> Vec<ContentFingerprint> {
        let quarantined = self.accused.iter().filter(|accused| {
            let seen_here = accused.crashes.iter().any(|crash| crash.seen_here);
            seen_here && accused.is_quarantined(now)
        });
        quarantined.map(|accused| accused.content.clone()).collect()
    }

    /// Stands for all that is remembered.
    pub fn state(&self) -> QuarantineState {
        self.state
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
            crashes.retain(|crash| now.duration_since(crash.at) < REMEMBERED_FOR);
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

fn state_of(accused: &[Accused]) -> QuarantineState {
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
