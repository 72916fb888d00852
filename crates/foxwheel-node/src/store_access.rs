//! Calls to the platform's store, with a record of whether it responds.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use foxwheel_core::metric_names::{Counter, StoreCall};
use foxwheel_platform::store::{
    Change, Listing, Object, Store, StoreError, WatchOutcome, Write, WriteOutcome,
};
use foxwheel_policy::watcher_selection;
use rand::RngExt;
use tokio::sync::Notify;

use crate::metrics::Metrics;

/// Delay before the first retry of a call that the store did not execute.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Upper bound of the retry delay before jitter. It is short compared with the seconds within
/// which a process must apply changes of the store.
pub const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// How long a successful probe shows that calls beyond their rate are rejected for that reason alone.
const PROBE_VALIDITY: Duration = Duration::from_secs(1);

/// Largest factor by which jitter lengthens a retry delay.
pub const MAX_JITTER: f64 = 1.5;

/// This process's access to the platform's store.
#[derive(Debug)]
pub struct StoreAccess {
    store: Store,
    metrics: Metrics,
    health: Mutex<Health>,
    /// Notified when a call succeeds after others failed.
    recovered: Notify,
}

#[derive(Debug)]
struct Health {
    /// When the store last responded to a call, or when the process started.
    last_response_at: Instant,
    /// Set from the first call that shows an outage until one shows that the store responds.
    failing_since: Option<Instant>,
    /// When a probe last succeeded; `None` before the first one.
    probed_at: Option<Instant>,
    /// Whether the evidence of a call was unclear and no recent probe succeeded.
    is_in_doubt: bool,
}

/// What the result of a call shows about the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// It responds to this host.
    Responds,
    /// It does not respond to this host.
    Outage,
    /// Its rates are used up or a watch was lost, or it does not respond to any call of this host.
    Unclear,
}

impl Evidence {
    fn of<T>(call: StoreCall, result: &Result<T, StoreError>) -> Self {
        match result {
            Ok(_) | Err(StoreError::TooLarge { .. } | StoreError::Rejected { .. }) => {
                Self::Responds
            }
            // Probes do not count towards the rates.
            Err(StoreError::RateLimited { .. }) if call != StoreCall::Probe => Self::Unclear,
            // The response to one watch may be lost while the store responds to everything else.
            Err(_) if call == StoreCall::Watch => Self::Unclear,
            Err(_) => Self::Outage,
        }
    }
}

/// How a watch ended.
#[derive(Debug, Clone)]
pub enum WatchEnd {
    /// The store responded.
    Changes {
        /// The changes in order; empty if there were none within the wait.
        changes: Vec<Change>,
        /// Revision from which to watch for later changes.
        revision: u64,
    },
    /// The objects must be listed again, for this reason.
    ListAgain(&'static str),
}

/// Exponentially growing retry delays with jitter, so that processes which lost the store at
/// the same time do not all retry at the same time.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    next: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            next: MIN_RETRY_DELAY,
        }
    }
}

impl Backoff {
    /// Returns the delay before the next attempt and doubles the delay after that, up to
    /// `MAX_RETRY_DELAY`.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next.mul_f64(rand::rng().random_range(0.5..MAX_JITTER));
        self.next = (self.next * 2).min(MAX_RETRY_DELAY);
        delay
    }
}

impl StoreAccess {
    /// Creates access to the store at `addr`. Opens no connection yet.
    pub fn new(addr: SocketAddr, metrics: Metrics) -> Self {
        Self {
            store: Store::new(addr),
            metrics,
            health: Mutex::new(Health {
                last_response_at: Instant::now(),
                failing_since: None,
                probed_at: None,
                is_in_doubt: false,
            }),
            recovered: Notify::new(),
        }
    }

    /// Returns whether only a probe can tell if the store responds to this host.
    pub fn is_in_doubt(&self) -> bool {
        self.health.lock().expect("health lock").is_in_doubt
    }

    /// Returns how long calls have shown an outage, or None if the last one did not.
    pub fn failing_for(&self, now: Instant) -> Option<Duration> {
        let health = self.health.lock().expect("health lock");
        health.failing_since.map(|since| now.duration_since(since))
    }

    /// Returns the time since the store last responded to a call, or since the process started
    /// if it never did.
    pub fn time_since_response(&self, now: Instant) -> Duration {
        let health = self.health.lock().expect("health lock");
        now.saturating_duration_since(health.last_response_at)
    }

    /// Waits for `delay`, but only until the store responds to this process again. Callers wait
    /// for the acceptance of a job meanwhile, and a full delay of half a second would make it
    /// late.
    pub async fn wait_before_retry(&self, delay: Duration) {
        // Both outcomes mean that the call is to be retried.
        let _ = tokio::time::timeout(delay, self.recovered.notified()).await;
    }

    /// Lists every object of `kind`.
    pub async fn list(&self, kind: &str) -> Result<Listing, StoreError> {
        let listed = self.store.list(kind).await;
        self.record_result(StoreCall::List, &listed);
        listed
    }

    /// Returns the changes of `kind` after `revision`. Waits up to `wait` for the first one.
    ///
    /// Ends early if the store is lost and regained meanwhile: it may have lost the response to this
    /// watch, whose connection then stays open and silent.
    pub async fn watch(
        &self,
        kind: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<WatchEnd, StoreError> {
        let recovered = self.recovered.notified();
        let grace = watcher_selection::WATCH_GRACE;
        let watched = tokio::select! {
            biased;
            watched = self.store.watch(kind, revision, wait, grace) => watched,
            () = recovered => return Ok(WatchEnd::ListAgain("the store was lost and regained")),
        };
        self.record_result(StoreCall::Watch, &watched);
        Ok(match watched? {
            WatchOutcome::Changes { changes, revision } => WatchEnd::Changes { changes, revision },
            WatchOutcome::HistoryExpired => WatchEnd::ListAgain("the watched history has expired"),
        })
    }

    /// Reads one object. Returns None if it does not exist.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        let got = self.store.get(kind, name).await;
        self.record_result(StoreCall::Get, &got);
        got
    }

    /// Checks whether the store responds, with a call that costs the store a tenth of any other.
    pub async fn probe(&self, kind: &str, name: &str) -> Result<(), StoreError> {
        let probed = self
            .store
            .probe(kind, name, watcher_selection::PROBE_TIMEOUT)
            .await;
        self.record_result(StoreCall::Probe, &probed);
        probed
    }

    /// Performs `write` without retries.
    pub async fn write(&self, write: &Write) -> Result<WriteOutcome, StoreError> {
        let written = self.store.write(write).await;
        self.record_result(StoreCall::Write, &written);
        written
    }

    fn record_result<T>(&self, call: StoreCall, result: &Result<T, StoreError>) {
        self.metrics.incr(match result {
            Ok(_) => Counter::StoreCallSucceeded(call),
            Err(_) => Counter::StoreCallFailed(call),
        });
        let now = Instant::now();
        let mut health = self.health.lock().expect("health lock");
        if call == StoreCall::Probe {
            health.is_in_doubt = false;
            health.probed_at = result.is_ok().then_some(now);
        }
        match Evidence::of(call, result) {
            Evidence::Responds => {
                health.last_response_at = now;
                if let Some(since) = health.failing_since.take() {
                    self.recovered.notify_waiters();
                    let lost_ms = since.elapsed().as_millis() as u64;
                    log::info!(call = call.name(), lost_ms; "platform store regained");
                }
            }
            Evidence::Unclear => {
                let is_probed = |at| now.saturating_duration_since(at) < PROBE_VALIDITY;
                health.is_in_doubt = !health.probed_at.is_some_and(is_probed);
            }
            Evidence::Outage => {
                if health.failing_since.is_none() {
                    health.failing_since = Some(now);
                    let error = result.as_ref().err().map(ToString::to_string);
                    log::warn!(call = call.name(), error; "platform store lost");
                }
            }
        }
    }
}
