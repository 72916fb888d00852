//! Finds the parts that explain the crashes of servers.
//!
//! Each crash makes all parts suspected that ran at the server, most of which are not at fault. The
//! most suspicious part is blamed if enough servers crashed under it; the crashes that it explains
//! count against no other part; and so on with the remaining crashes.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use foxwheel_core::ids::{PromptPartId, ServiceName};

use crate::part_quarantine::crashes::{CrashedServer, CutOffRun, Suspects};
use crate::zone_loads::ServerFingerprint;

/// Number of successive crashes after which a part is blamed that no server responded to.
const CRASHES_TO_BLAME: usize = 3;

/// The same for a part that a server responded to before the crashes. Such a part did not crash every server,
/// and refusing it may refuse a whole route.
const CRASHES_TO_BLAME_AFTER_SUCCESS: usize = 6;

/// Time between two crashes from which on they count as separate failures. The simultaneous loss of
/// many servers is observed by all processes within tens of milliseconds.
const MIN_CRASH_SEPARATION: Duration = Duration::from_millis(250);

/// How long a part is refused after its last crash if nothing speaks against it being the cause.
const QUARANTINE_DURATION: Duration = Duration::from_secs(600);

/// How long a part is refused that may not be the cause, after the crash that it was blamed for. Each
/// further crash lengthens the time by [`DOUBTFUL_GROWTH`].
const DOUBTFUL_DURATION: Duration = Duration::from_secs(2);
const DOUBTFUL_GROWTH: u32 = 6;

/// The longest time for which a part is refused that may not be the cause.
const MAX_DOUBTFUL_DURATION: Duration = Duration::from_secs(120);

/// The same for a part that a server responded to before the crashes.
const MAX_DURATION_AFTER_SUCCESS: Duration = Duration::from_secs(6);

/// A part that explains crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BlamedPart {
    /// The service whose servers crashed.
    pub service: ServiceName,
    /// The part.
    pub part: PromptPartId,
    /// Number of successive crashes that count against the part.
    pub crashes: usize,
    /// When the last of these servers crashed.
    pub last_crash_at: Instant,
    /// The servers whose crashes the part explains, sorted.
    pub servers: Vec<ServerFingerprint>,
    /// Other parts were responded to meanwhile, this one never was, and no server
    /// crashed without it.
    pub is_certain: bool,
    /// A server responded to the part before the crashes.
    pub succeeded_before: bool,
}

impl BlamedPart {
    /// Returns whether this is that part of that service.
    pub fn is_of(&self, service: &str, part: &str) -> bool {
        self.service == service && self.part == part
    }

    /// Returns whether `other` is about the same part of the same service.
    pub fn is_same_part(&self, other: &Self) -> bool {
        self.is_of(&other.service, &other.part)
    }

    /// Returns how long requests with the part are refused after the last crash.
    pub fn duration(&self) -> Duration {
        if self.is_certain {
            return QUARANTINE_DURATION;
        }
        let (needed, longest) = match self.succeeded_before {
            true => (CRASHES_TO_BLAME_AFTER_SUCCESS, MAX_DURATION_AFTER_SUCCESS),
            false => (CRASHES_TO_BLAME, MAX_DOUBTFUL_DURATION),
        };
        let further_crashes = self.crashes.saturating_sub(needed) as u32;
        let growth = DOUBTFUL_GROWTH.saturating_pow(further_crashes);
        DOUBTFUL_DURATION.saturating_mul(growth).min(longest)
    }
}

/// What speaks for a part being the cause of the crashes that are not explained yet.
struct Suspicion<'a> {
    part: &'a PromptPartId,
    /// Number of successive crashes that count against the part.
    crashes: usize,
    first_crash_at: Instant,
    last_crash_at: Instant,
    succeeded_before: bool,
    /// Number of crashes that count against the part, successive or not.
    all_crashes: usize,
    /// Number of runs with the part that were cut off.
    runs: usize,
}

impl<'a> Suspicion<'a> {
    /// Returns what speaks for `part` being the cause of `crashes`, or `None` if too little does.
    /// `crashes` must be sorted by time.
    fn of(
        part: &'a PromptPartId,
        crashes: &[&'a CrashedServer],
        suspects: Suspects,
        succeeded_before: bool,
    ) -> Option<Self> {
        let has_part = |run: &&CutOffRun| run.has_part(part);
        let uncleared = crashes.iter().filter(|crash| !crash.is_cleared(part));
        let mut successive: Vec<Instant> = Vec::new();
        let (mut all_crashes, mut runs) = (0, 0);
        for crash in uncleared {
            let runs_with_part = crash.runs_of(suspects).filter(has_part).count();
            if runs_with_part == 0 {
                continue;
            }
            all_crashes += 1;
            runs += runs_with_part;
            let was_sent_after = |last: Instant| {
                let mut with_part = crash.runs_of(suspects).filter(has_part);
                !succeeded_before && with_part.any(|run| run.sent_at >= last)
            };
            let is_next = successive.last().is_none_or(|last| {
                crash.at >= *last + MIN_CRASH_SEPARATION || was_sent_after(*last)
            });
            if is_next {
                successive.push(crash.at);
            }
        }
        let needed = match succeeded_before {
            true => CRASHES_TO_BLAME_AFTER_SUCCESS,
            false => CRASHES_TO_BLAME,
        };
        (successive.len() >= needed).then(|| Self {
            part,
            crashes: successive.len(),
            first_crash_at: successive[0],
            last_crash_at: successive[successive.len() - 1],
            succeeded_before,
            all_crashes,
            runs,
        })
    }

    /// Returns the rank among the suspicions; the lowest one is blamed first. Of two parts at the same
    /// crashes, the one in more of the runs is more likely there whatever the cause.
    fn rank(&self) -> impl Ord + use<'a> {
        (
            self.succeeded_before,
            Reverse(self.crashes),
            Reverse(self.all_crashes),
            self.runs,
            self.part,
        )
    }
}

/// Returns the parts of `suspects` that explain `crashes`, sorted by service and part.
/// `succeeded_before` lists the parts that a server of the service responded to before; sorted.
pub fn blamed_parts(
    crashes: &[CrashedServer],
    suspects: Suspects,
    succeeded_before: &[(ServiceName, PromptPartId)],
) -> Vec<BlamedPart> {
    let mut services: Vec<&ServiceName> = crashes.iter().map(|crash| &crash.service).collect();
    services.sort_unstable();
    services.dedup();
    let blamed = services.into_iter().flat_map(|service| {
        let of_service = crashes.iter().filter(|crash| crash.service == *service);
        let mut of_service: Vec<&CrashedServer> = of_service.collect();
        of_service.sort_unstable_by_key(|crash| (crash.at, crash.server));
        let has_succeeded = |part: &PromptPartId| {
            let found = succeeded_before.binary_search_by(|(known_service, known)| {
                (known_service, known).cmp(&(service, part))
            });
            found.is_ok()
        };
        blamed_in_service(service, of_service, suspects, has_succeeded)
    });
    let mut blamed: Vec<BlamedPart> = blamed.collect();
    blamed.sort_unstable_by(|a, b| (&a.service, &a.part).cmp(&(&b.service, &b.part)));
    blamed
}

/// A part to blame and the crashes that it explains.
struct Explanation<'a> {
    suspicion: Suspicion<'a>,
    crashes: Vec<&'a CrashedServer>,
}

/// Returns the parts that explain the crashes of one service, which are sorted by time.
fn blamed_in_service(
    service: &ServiceName,
    crashes: Vec<&CrashedServer>,
    suspects: Suspects,
    has_succeeded: impl Fn(&PromptPartId) -> bool,
) -> Vec<BlamedPart> {
    let found = explain(&crashes, suspects, &has_succeeded);
    let has_blamed_part =
        |crash: &&CrashedServer| found.iter().any(|it| crash.has_part(it.suspicion.part));
    let unexplained: Vec<&CrashedServer> = crashes
        .iter()
        .copied()
        .filter(|crash| !has_blamed_part(crash))
        .collect();
    let blamed = found.iter().map(|Explanation { suspicion, crashes }| {
        let mut servers: Vec<ServerFingerprint> =
            crashes.iter().map(|crash| crash.server).collect();
        servers.sort_unstable();
        let is_certain = !suspicion.succeeded_before
            && others_succeeded(suspicion, crashes)
            && !has_crash_within(suspicion, &unexplained);
        BlamedPart {
            service: service.clone(),
            part: suspicion.part.clone(),
            crashes: suspicion.crashes,
            last_crash_at: suspicion.last_crash_at,
            servers,
            is_certain,
            succeeded_before: suspicion.succeeded_before,
        }
    });
    blamed.collect()
}

/// Returns the fewest parts that explain `crashes`, as far as parts explain them.
fn explain<'a>(
    crashes: &[&'a CrashedServer],
    suspects: Suspects,
    has_succeeded: impl Fn(&PromptPartId) -> bool,
) -> Vec<Explanation<'a>> {
    let mut found: Vec<Explanation<'_>> = Vec::new();
    let mut unexplained = crashes.to_vec();
    loop {
        let frequent = frequent_parts(&unexplained, suspects);
        let suspicions = frequent
            .into_iter()
            .filter_map(|part| Suspicion::of(part, &unexplained, suspects, has_succeeded(part)));
        let Some(suspicion) = suspicions.min_by(|a, b| a.rank().cmp(&b.rank())) else {
            break;
        };
        let (explained, rest) = unexplained
            .into_iter()
            .partition(|crash| crash.has_part(suspicion.part));
        unexplained = rest;
        found.push(Explanation {
            suspicion,
            crashes: explained,
        });
    }
    // A part that was found first may be at crashes that one found later explains as well.
    found.sort_by_key(|it| it.suspicion.all_crashes);
    let mut at = 0;
    while at < found.len() {
        let others = || found.iter().enumerate().filter(|(other, _)| *other != at);
        let part = found[at].suspicion.part;
        let own: Vec<&CrashedServer> = crashes
            .iter()
            .copied()
            .filter(|crash| others().all(|(_, it)| !crash.has_part(it.suspicion.part)))
            .collect();
        match Suspicion::of(part, &own, suspects, has_succeeded(part)) {
            Some(_) => at += 1,
            None => {
                found.remove(at);
            }
        }
    }
    found
}

/// Returns the parts at enough of the crashes to be blamed, without duplicates.
fn frequent_parts<'a>(crashes: &[&'a CrashedServer], suspects: Suspects) -> Vec<&'a PromptPartId> {
    let mut mentions: Vec<(&PromptPartId, ServerFingerprint)> = Vec::new();
    for crash in crashes {
        let parts = crash.runs_of(suspects).flat_map(|run| &run.parts);
        mentions.extend(parts.map(|part| (part, crash.server)));
    }
    mentions.sort_unstable();
    mentions.dedup();
    let by_part = mentions.chunk_by(|a, b| a.0 == b.0);
    let frequent = by_part.filter(|mentions| mentions.len() >= CRASHES_TO_BLAME);
    frequent.map(|mentions| mentions[0].0).collect()
}

/// Returns whether another part that was suspected with this one was responded to after a crash.
fn others_succeeded(suspicion: &Suspicion<'_>, explained: &[&CrashedServer]) -> bool {
    let mut cleared = explained.iter().flat_map(|crash| &crash.cleared);
    cleared.any(|part| part != suspicion.part)
}

/// Returns whether a server crashed without a blamed part at about the same time.
fn has_crash_within(suspicion: &Suspicion<'_>, unexplained: &[&CrashedServer]) -> bool {
    unexplained.iter().any(|crash| {
        crash.at + MIN_CRASH_SEPARATION >= suspicion.first_crash_at
            && crash.at <= suspicion.last_crash_at + MIN_CRASH_SEPARATION
    })
}
