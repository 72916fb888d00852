//! What this process knows of one kind of the store's objects from its own calls.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Whether this process watches a kind, and when the store last confirmed what it has of it.
#[derive(Debug, Default)]
pub struct WatchedKind {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    phase: Phase,
    /// When the last response to a list or a watch of the kind arrived; `None` before the first.
    responded_at: Option<Instant>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Phase {
    /// The process does not watch the kind, or no longer has all of its changes.
    #[default]
    NotWatched,
    /// The last list or watch succeeded, and the next watch has not begun.
    BetweenWatches,
    /// A watch is open: the store reports each change at once.
    Open,
}

impl WatchedKind {
    /// Records that the store responded to a list or a watch of the kind.
    pub fn record_response(&self, now: Instant) {
        let mut state = self.lock();
        state.phase = Phase::BetweenWatches;
        state.responded_at = Some(now);
    }

    /// Records that a watch from the last response on begins.
    pub fn record_open(&self) {
        self.lock().phase = Phase::Open;
    }

    /// Records that this process does not watch the kind, or no longer has all of its changes.
    pub fn record_not_watched(&self) {
        self.lock().phase = Phase::NotWatched;
    }

    /// Returns whether this process watches the kind.
    pub fn is_watched(&self) -> bool {
        self.lock().phase != Phase::NotWatched
    }

    /// Returns the time since the store last responded to a list or a watch of the kind, or `None`
    /// if it never did.
    pub fn time_since_response(&self, now: Instant) -> Option<Duration> {
        let responded_at = self.lock().responded_at;
        responded_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the age of what this process has of the kind, or `None` if it does not watch it.
    ///
    /// While a watch is open, any response of the store confirms it, `time_since_any_response` ago.
    /// Changes that are made between two watches are not reported until the next one begins.
    pub fn age(&self, time_since_any_response: Duration, now: Instant) -> Option<Duration> {
        let phase = self.lock().phase;
        let since_response = self.time_since_response(now);
        match phase {
            Phase::NotWatched => None,
            Phase::BetweenWatches => since_response,
            Phase::Open => since_response.map(|age| age.min(time_since_any_response)),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("watched kind lock")
    }
}
