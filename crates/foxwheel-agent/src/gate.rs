//! The batch gate: decides from several load signals whether batch requests may start beside
//! online requests.
//!
//! Gateways send the deployment's gate over the control channel. A controller polls the engine's
//! load, combines it with the times to first token of recent online requests, and tells the queue
//! which workspaces' batch requests may start. Without a configured gate nothing is polled, and
//! batch requests only need a free slot.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxwheel_core::declarations::GateEffect;
use foxwheel_core::ids::Version;
use foxwheel_core::protocol::AgentConfig;
use foxwheel_core::time;
use foxwheel_http_client::client::HttpClient;
use hyper::Request;
use serde::Deserialize;
use tokio_util::sync::CancellationToken;

use crate::batch_admission::{BatchAdmission, Signals};
use crate::queue::Queue;

/// Delay between two polls of the signals.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a request for the engine's load.
const ENGINE_LOAD_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of the engine's response, in bytes.
const MAX_ENGINE_LOAD_BYTES: usize = 64 * 1024;
/// Maximum age of the times to first token that count towards the 95th percentile.
const TTFT_WINDOW: Duration = Duration::from_secs(5);
/// Maximum number of times to first token kept; the oldest is dropped first.
const MAX_TTFT_SAMPLES: usize = 256;

/// The part of the engine's `/load` response that the gate uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct EngineLoad {
    /// Number of sequences that wait for a slot in the engine.
    pub waiting: u64,
    /// Number of tokens held in the prefix cache.
    pub cache_used_tokens: u64,
    /// Capacity of the prefix cache, in tokens.
    pub cache_capacity_tokens: u64,
}

#[derive(Debug, Default)]
struct GateState {
    config: AgentConfig,
    /// For each recent online request, when its first token arrived and its time to first token.
    ttft_samples: VecDeque<(Instant, Duration)>,
}

/// Configuration of the batch gate and the times to first token it has recorded. Clones share the
/// same state.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    state: Arc<Mutex<GateState>>,
}

impl Gate {
    fn lock(&self) -> std::sync::MutexGuard<'_, GateState> {
        self.state.lock().expect("gate lock")
    }

    /// Applies `config` if its revision is higher than the current one. Returns the revision in
    /// effect afterwards.
    pub fn configure(&self, config: AgentConfig) -> Version {
        let mut state = self.lock();
        if config.revision > state.config.revision {
            if config.batch_gate != state.config.batch_gate {
                log::info!("batch gate applied: {:?}", config.batch_gate);
            }
            state.config = config;
        }
        state.config.revision
    }

    /// Returns the revision of the configuration in effect.
    pub fn config_revision(&self) -> Version {
        self.lock().config.revision
    }

    /// Records the time to first token of an online request.
    pub fn record_ttft(&self, ttft: Duration) {
        let mut state = self.lock();
        if state.ttft_samples.len() == MAX_TTFT_SAMPLES {
            state.ttft_samples.pop_front();
        }
        state.ttft_samples.push_back((Instant::now(), ttft));
    }

    /// Returns whether a batch request of `workspace` is refused on arrival because a rule rejects
    /// a share of its requests. `random_fraction` is a uniform random number in [0, 1).
    pub fn should_reject(&self, workspace: &str, random_fraction: f64) -> bool {
        let state = self.lock();
        let batch_gate = state.config.batch_gate.as_ref();
        let rule = batch_gate.and_then(|gate| gate.rule_for(workspace, time::unix_ms()));
        match rule.map(|rule| &rule.effect) {
            Some(GateEffect::RejectPercent(percent)) => {
                random_fraction * 100.0 < f64::from(*percent)
            }
            _ => false,
        }
    }

    fn online_ttft_p95_ms(&self, now: Instant) -> u64 {
        let state = self.lock();
        let samples = state.ttft_samples.iter();
        let mut ttfts: Vec<Duration> = samples
            .filter(|(recorded_at, _)| now.saturating_duration_since(*recorded_at) < TTFT_WINDOW)
            .map(|(_, ttft)| *ttft)
            .collect();
        ttfts.sort_unstable();
        let p95_index = (ttfts.len() * 95).div_ceil(100).max(1) - 1;
        ttfts
            .get(p95_index)
            .map_or(0, |ttft| ttft.as_millis() as u64)
    }
}

/// Polls the signals and sets in `queue` which workspaces' batch requests may start, until `cancel`
/// is cancelled. `engine_url` is the base URL of the engine.
pub async fn run_controller(
    gate: Gate,
    queue: Queue,
    engine_url: String,
    cancel: CancellationToken,
) {
    let http = HttpClient::default();
    let mut engine_load = EngineLoad::default();
    while !cancel.is_cancelled() {
        let batch_gate = gate.lock().config.batch_gate.clone();
        let admission = match &batch_gate {
            None => BatchAdmission::default(),
            Some(batch_gate) => {
                // If the engine does not respond, its last reported load is used.
                engine_load = fetch_engine_load(&http, &engine_url)
                    .await
                    .unwrap_or(engine_load);
                let signals = Signals {
                    engine_waiting: engine_load.waiting,
                    cache_used_percent: (engine_load.cache_used_tokens * 100)
                        .checked_div(engine_load.cache_capacity_tokens)
                        .unwrap_or(0),
                    online_ttft_p95_ms: gate.online_ttft_p95_ms(Instant::now()),
                };
                BatchAdmission::evaluate(batch_gate, &signals, time::unix_ms())
            }
        };
        queue.set_batch_admission(admission);
        tokio::select! {
            () = cancel.cancelled() => {}
            () = tokio::time::sleep(SIGNAL_POLL_INTERVAL) => {}
        }
    }
}

async fn fetch_engine_load(http: &HttpClient, engine_url: &str) -> Option<EngineLoad> {
    let request = Request::get(format!("{engine_url}/load")).body(Bytes::new());
    let fetching = async {
        let mut response = http.send(request.ok()?, ENGINE_LOAD_TIMEOUT).await.ok()?;
        let body = response.read_to_end(MAX_ENGINE_LOAD_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    };
    let fetched = tokio::time::timeout(ENGINE_LOAD_TIMEOUT, fetching).await;
    fetched.ok()?
}
