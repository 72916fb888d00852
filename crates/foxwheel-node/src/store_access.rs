//! Calls to the platform's store with repetition and a record of its health.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use foxwheel_core::metric_names::{Counter, StoreCall};
use foxwheel_platform::store::{
    Listing, Object, Store, StoreError, WatchOutcome, Write, WriteOutcome,
};
use foxwheel_policy::watcher_selection;
use rand::RngExt;
use tokio::sync::Notify;

use crate::metrics::Metrics;

/// First pause before a call that the store did not act on is made again.
const FIRST_PAUSE: Duration = Duration::from_millis(40);

/// Longest such pause: short against the seconds within which changes must be followed.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// The store, as this process reaches it.
#[derive(Debug)]
pub struct StoreAccess {
    store: Store,
    metrics: Metrics,
    health: Mutex<Health>,
    /// Woken when a call is answered after others failed.
    regained: Notify,
}

#[derive(Debug)]
struct Health {
    /// When a call last succeeded, or the process started.
    answered_at: Instant,
    /// Set from the first failed call until one succeeds.
    failing_since: Option<Instant>,
}

/// Pauses that grow from one failed try to the next, with jitter so that processes which
/// lost the store together do not return together.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    next: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { next: FIRST_PAUSE }
    }
}

impl Backoff {
    /// The next pause.
    pub fn next_delay(&mut self) -> Duration {
        let pause = self.next.mul_f64(rand::rng().random_range(0.5..1.5));
        self.next = (self.next * 2).min(LONGEST_PAUSE);
        pause
    }
}

impl StoreAccess {
    /// Access to the store at `addr`.
    pub fn new(addr: SocketAddr, metrics: Metrics) -> Self {
        Self {
            store: Store::new(addr),
            metrics,
            health: Mutex::new(Health {
                answered_at: Instant::now(),
                failing_since: None,
            }),
            regained: Notify::new(),
        }
    }

    /// How long calls have been failing, or none if the last one succeeded.
    pub fn failing_for(&self, now: Instant) -> Option<Duration> {
        let health = self.health.lock().expect("health lock");
        health.failing_since.map(|since| now.duration_since(since))
    }

    /// How long ago the store last answered a call.
    pub fn time_since_response(&self, now: Instant) -> Duration {
        let health = self.health.lock().expect("health lock");
        now.saturating_duration_since(health.answered_at)
    }

    /// Waits for `pause`, or until the store answers this process again: callers wait for a
    /// submission's acceptance, and a pause of half a second would make it late.
    pub async fn wait_before_retry(&self, pause: Duration) {
        // Whichever comes first; both mean that the call is to be tried again.
        let _ = tokio::time::timeout(pause, self.regained.notified()).await;
    }

    /// Every object of `kind`.
    pub async fn list(&self, kind: &str) -> Result<Listing, StoreError> {
        let listed = self.store.list(kind).await;
        self.note(StoreCall::List, &listed);
        listed
    }

    /// Changes of `kind` after `revision`, waited for up to `wait`.
    pub async fn watch(
        &self,
        kind: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<WatchOutcome, StoreError> {
        let watched = self.store.watch(kind, revision, wait).await;
        self.note(StoreCall::Watch, &watched);
        watched
    }

    /// One object, or none.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        let got = self.store.get(kind, name).await;
        self.note(StoreCall::Get, &got);
        got
    }

    /// Whether the store answers now, by a call that costs a tenth of another.
    pub async fn probe(&self, kind: &str, name: &str) -> Result<(), StoreError> {
        let answered = self
            .store
            .probe(kind, name, watcher_selection::PROBE_TIMEOUT)
            .await;
        self.note(StoreCall::Probe, &answered);
        answered
    }

    /// Performs `write` once.
    pub async fn write(&self, write: &Write) -> Result<WriteOutcome, StoreError> {
        let written = self.store.write(write).await;
        self.note(StoreCall::Write, &written);
        written
    }

    fn note<T>(&self, call: StoreCall, result: &Result<T, StoreError>) {
        let mut health = self.health.lock().expect("health lock");
        match result {
            Ok(_) => {
                self.metrics.incr(Counter::StoreAnswered(call));
                health.answered_at = Instant::now();
                if let Some(since) = health.failing_since.take() {
                    self.regained.notify_waiters();
                    let lost_ms = since.elapsed().as_millis() as u64;
                    log::info!(call = call.name(), lost_ms; "platform store regained");
                }
            }
            Err(e) => {
                self.metrics.incr(Counter::StoreFailed(call));
                if health.failing_since.is_none() {
                    health.failing_since = Some(Instant::now());
                    log::warn!(call = call.name(), error:% = e; "platform store lost");
                }
            }
        }
    }
}
