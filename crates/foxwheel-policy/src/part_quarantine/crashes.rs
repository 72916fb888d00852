//! Crashes of backend servers with the prompts that ran there.

use std::time::Instant;

use foxwheel_core::ids::{PromptPartId, ServiceName};

use crate::part_quarantine::reports::{PartCrashReport, RunReport};
use crate::part_quarantine::{CutOffRequestKey, CRASH_RETENTION};
use crate::quarantine::{ObservedCrash, RunKind};
use crate::zone_loads::ServerFingerprint;

/// Maximum number of parts of all runs that are kept of one crash. A server runs some ten requests with a
/// few parts each.
const MAX_PARTS: usize = 128;

/// A run that was cut off by the crash of its server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CutOffRun {
    /// The request.
    pub request: CutOffRequestKey,
    /// When the request was sent to the server.
    pub sent_at: Instant,
    /// The shared parts of its prompt, sorted.
    pub parts: Vec<PromptPartId>,
    /// The kind of the run.
    pub kind: RunKind,
}

impl CutOffRun {
    /// Creates a run with these parts in any order.
    pub fn new(
        request: CutOffRequestKey,
        sent_at: Instant,
        parts: &[PromptPartId],
        kind: RunKind,
    ) -> Self {
        let mut parts = parts.to_vec();
        parts.sort_unstable();
        parts.dedup();
        Self {
            request,
            sent_at,
            parts,
            kind,
        }
    }

    /// Returns whether the prompt has that part.
    pub fn has_part(&self, part: &str) -> bool {
        let found = self
            .parts
            .binary_search_by(|known| known.as_str().cmp(part));
        found.is_ok()
    }
}

/// The runs that may have caused a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspects {
    /// Online requests: users submit no batch items that crash servers.
    OnlineRequests,
    /// Batch items as well.
    AllRuns,
}

/// A server that crashed.
#[derive(Debug, Clone)]
pub struct CrashedServer {
    /// The server instance.
    pub server: ServerFingerprint,
    /// Its service.
    pub service: ServiceName,
    /// When it crashed, as the first process saw it that reported it.
    pub at: Instant,
    /// The runs with shared parts that it cut off, of all processes. Sorted by request; at most
    /// [`MAX_PARTS`] parts in all.
    pub runs: Vec<CutOffRun>,
    /// Parts of the runs that a server responded to after the crash, sorted.
    pub cleared: Vec<PromptPartId>,
}

impl CrashedServer {
    /// Creates the crash of a server with one of its runs.
    pub fn new(observed: &ObservedCrash, run: CutOffRun) -> Self {
        Self {
            server: observed.server,
            service: observed.service.clone(),
            at: observed.cut_off_at,
            runs: vec![run],
            cleared: Vec::new(),
        }
    }

    /// Returns the reported crash, or `None` if it is too old.
    pub fn from_report(report: &PartCrashReport, now: Instant) -> Option<Self> {
        let at = now.checked_sub(report.age)?;
        let runs = report.runs.iter().map(|run| {
            let sent_at = at.checked_sub(run.ran_for).unwrap_or(at);
            CutOffRun::new(run.request, sent_at, &run.parts, run.kind)
        });
        let mut crash = Self {
            server: report.server,
            service: report.service.clone(),
            at,
            runs: Vec::new(),
            cleared: report.cleared.clone(),
        };
        runs.for_each(|run| crash.add_run(run));
        crash.cleared.sort_unstable();
        crash.cleared.dedup();
        (report.age < CRASH_RETENTION).then_some(crash)
    }

    /// Returns the crash as it is reported to other processes.
    pub fn report(&self, now: Instant) -> PartCrashReport {
        let runs = self.runs.iter().map(|run| RunReport {
            request: run.request,
            ran_for: self.at.saturating_duration_since(run.sent_at),
            parts: run.parts.clone(),
            kind: run.kind,
        });
        PartCrashReport {
            server: self.server,
            service: self.service.clone(),
            age: now.saturating_duration_since(self.at),
            runs: runs.collect(),
            cleared: self.cleared.clone(),
        }
    }

    /// Adds what another process knows of the same crash.
    pub fn merge(&mut self, other: Self) {
        for run in other.runs {
            self.add_run(run);
        }
        for part in &other.cleared {
            self.clear(part);
        }
    }

    fn add_run(&mut self, run: CutOffRun) {
        let parts: usize = self.runs.iter().map(|run| run.parts.len()).sum();
        if parts + run.parts.len() > MAX_PARTS {
            return;
        }
        if let Err(at) = self
            .runs
            .binary_search_by_key(&run.request, |known| known.request)
        {
            self.runs.insert(at, run);
        }
    }

    /// Records that a server responded to a part after the crash. Returns whether a run has the part and this
    /// was not known.
    pub fn clear(&mut self, part: &str) -> bool {
        if !self.has_part(part) {
            return false;
        }
        match self
            .cleared
            .binary_search_by(|known| known.as_str().cmp(part))
        {
            Ok(_) => false,
            Err(at) => {
                self.cleared.insert(at, part.to_owned());
                true
            }
        }
    }

    /// Returns whether a server responded to a part after the crash.
    pub fn is_cleared(&self, part: &str) -> bool {
        let found = self
            .cleared
            .binary_search_by(|known| known.as_str().cmp(part));
        found.is_ok()
    }

    /// Returns whether a run that was cut off has that part.
    pub fn has_part(&self, part: &str) -> bool {
        self.runs.iter().any(|run| run.has_part(part))
    }

    /// Returns the runs of suspects.
    pub fn runs_of(&self, suspects: Suspects) -> impl Iterator<Item = &CutOffRun> {
        let is_suspect = move |run: &&CutOffRun| match suspects {
            Suspects::OnlineRequests => run.kind == RunKind::Online,
            Suspects::AllRuns => true,
        };
        self.runs.iter().filter(is_suspect)
    }

    /// Returns the parts of all runs, each as often as it occurs.
    pub fn parts(&self) -> impl Iterator<Item = &PromptPartId> {
        self.runs.iter().flat_map(|run| &run.parts)
    }
}
