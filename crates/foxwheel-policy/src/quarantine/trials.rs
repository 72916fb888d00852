//! Trial runs of contents whose quarantine has ended.
//!
//! A content that does crash its servers would take down one at each front that tries it at the
//! same time. All processes therefore try a content at the same server, without an exchange of
//! messages.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use foxwheel_core::ids::ContentFingerprint;

use crate::membership::ServerInstance;

/// How long a process does not try a content again after a trial whose server did not respond.
/// If the content crashed it under a run of another process, that crash is known by then; the
/// process would otherwise go on with the next server.
const LOST_SERVER_DELAY: Duration = Duration::from_secs(2);

/// How a trial run ended, if no crash of its server was observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialEnd {
    /// The server responded, or the run was given up.
    Over,
    /// The server could not be reached, or the response was lost.
    ServerLost,
}

/// The trials of one content.
#[derive(Debug)]
struct ContentTrials {
    content: ContentFingerprint,
    running: u32,
    /// No trial starts before this time.
    delayed_until: Option<Instant>,
}

/// The trials of one process.
#[derive(Debug, Default)]
pub struct Trials {
    /// Sorted by content. Only contents with a running trial or a delay that is not over when
    /// another trial starts.
    contents: Vec<ContentTrials>,
}

impl Trials {
    /// Returns how long no trial of the content may start; zero if one may start now.
    pub fn delay(&self, content: &str, now: Instant) -> Duration {
        let found = self.position(content).ok();
        let delayed_until = found.and_then(|at| self.contents[at].delayed_until);
        delayed_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns the number of running trials of the content.
    pub fn running(&self, content: &str) -> u32 {
        let found = self.position(content).ok();
        found.map_or(0, |at| self.contents[at].running)
    }

    /// Records that a trial starts.
    pub fn begin(&mut self, content: &str, now: Instant) {
        self.contents.retain(|trials| {
            trials.running > 0 || trials.delayed_until.is_some_and(|until| until > now)
        });
        match self.position(content) {
            Ok(at) => self.contents[at].running += 1,
            Err(at) => {
                let trials = ContentTrials {
                    content: content.to_owned(),
                    running: 1,
                    delayed_until: None,
                };
                self.contents.insert(at, trials);
            }
        }
    }

    /// Records that a trial has ended.
    pub fn end(&mut self, content: &str, end: TrialEnd, now: Instant) {
        let Ok(at) = self.position(content) else {
            return;
        };
        let trials = &mut self.contents[at];
        trials.running = trials.running.saturating_sub(1);
        if end == TrialEnd::ServerLost {
            trials.delayed_until = Some(now + LOST_SERVER_DELAY);
        }
    }

    fn position(&self, content: &str) -> Result<usize, usize> {
        self.contents
            .binary_search_by(|trials| trials.content.as_str().cmp(content))
    }
}

/// Returns the rank of a server for trials of a content: every process tries the content at the
/// server with the highest rank of those that it can use.
pub fn trial_rank(content: &str, server: &ServerInstance) -> u64 {
    let mut hasher = DefaultHasher::new();
    (content, server).hash(&mut hasher);
    hasher.finish()
}
