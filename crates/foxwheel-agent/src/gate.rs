//! The batch gate: whether batch work may start beside online work, from several signals.
//!
//! Gateways push the deployment's gate; a controller reads the engine's load report, keeps
//! the recent online times to first token, and tells the queue which workspaces' batch work
//! may start. Without a gate nothing is read and a free slot is all that batch work needs.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxwheel_core::declarations::GateEffect;
use foxwheel_core::ids::Version;
use foxwheel_core::protocol::AgentConfig;
use foxwheel_core::time;
use serde::Deserialize;
use tokio_util::sync::CancellationToken;

use crate::admits::{Admits, Signals};
use crate::queue::Queue;

/// The pause between two readings of the signals.
const READ_INTERVAL: Duration = Duration::from_millis(200);
/// How long the engine may take to report its load.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Online requests older than this do not count as recent.
const RECENT: Duration = Duration::from_secs(5);
/// Online requests kept, at most.
const RECENT_REQUESTS: usize = 256;

/// The load an engine reports; other fields are ignored.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct EngineReport {
    /// Sequences waiting for a slot.
    pub waiting: u64,
    /// Prefix cache tokens held.
    pub cache_used_tokens: u64,
    /// Prefix cache capacity in tokens.
    pub cache_capacity_tokens: u64,
}

#[derive(Debug, Default)]
struct State {
    config: AgentConfig,
    /// Recent online requests: when their first token came, and after how long.
    ttfts: VecDeque<(Instant, Duration)>,
}

/// The gate's configuration and measurements, shared by the agent's threads.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    state: Arc<Mutex<State>>,
}

impl Gate {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("gate lock")
    }

    /// Puts `config` in force if it is newer; answers the revision in force afterwards.
    pub fn configure(&self, config: AgentConfig) -> Version {
        let mut state = self.lock();
        if config.revision > state.config.revision {
            if config.batch_gate != state.config.batch_gate {
                log::info!("batch gate in force: {:?}", config.batch_gate);
            }
            state.config = config;
        }
        state.config.revision
    }

    /// The configuration revision in force.
    pub fn revision(&self) -> Version {
        self.lock().config.revision
    }

    /// Records an online request's time to first token.
    pub fn record_ttft(&self, ttft: Duration) {
        let mut state = self.lock();
        if state.ttfts.len() == RECENT_REQUESTS {
            state.ttfts.pop_front();
        }
        state.ttfts.push_back((Instant::now(), ttft));
    }

    /// Whether a batch request of `workspace` is refused on arrival; `draw` is uniform in
    /// [0, 1).
    pub fn rejects(&self, workspace: &str, draw: f64) -> bool {
        let state = self.lock();
        let gate = state.config.batch_gate.as_ref();
        let rule = gate.and_then(|gate| gate.rule_for(workspace, time::unix_ms()));
        match rule.map(|rule| &rule.effect) {
            Some(GateEffect::RejectPercent(percent)) => draw * 100.0 < f64::from(*percent),
            _ => false,
        }
    }

    fn online_ttft_p95_ms(&self, now: Instant) -> u64 {
        let state = self.lock();
        let recent = state.ttfts.iter();
        let mut ttfts: Vec<Duration> = recent
            .filter(|(at, _)| now.saturating_duration_since(*at) < RECENT)
            .map(|(_, ttft)| *ttft)
            .collect();
        ttfts.sort_unstable();
        let p95 = (ttfts.len() * 95).div_ceil(100).max(1) - 1;
        ttfts.get(p95).map_or(0, |ttft| ttft.as_millis() as u64)
    }
}

/// Reads the signals and tells `queue` what the gate admits, until `cancel` fires.
pub async fn run(gate: Gate, queue: Queue, engine_url: String, cancel: CancellationToken) {
    let http = awc::Client::builder().timeout(REPORT_TIMEOUT).finish();
    let mut report = EngineReport::default();
    while !cancel.is_cancelled() {
        let configured = gate.lock().config.batch_gate.clone();
        let admits = match &configured {
            None => Admits::default(),
            Some(configured) => {
                // An engine that does not answer is judged by its last report.
                report = read_report(&http, &engine_url).await.unwrap_or(report);
                let signals = Signals {
                    engine_waiting: report.waiting,
                    cache_used_percent: (report.cache_used_tokens * 100)
                        .checked_div(report.cache_capacity_tokens)
                        .unwrap_or(0),
                    online_ttft_p95_ms: gate.online_ttft_p95_ms(Instant::now()),
                };
                Admits::judge(configured, &signals, time::unix_ms())
            }
        };
        queue.set_admits(admits);
        tokio::select! {
            () = cancel.cancelled() => {}
            () = tokio::time::sleep(READ_INTERVAL) => {}
        }
    }
}

async fn read_report(http: &awc::Client, engine_url: &str) -> Option<EngineReport> {
    let mut response = http.get(format!("{engine_url}/load")).send().await.ok()?;
    response.json().await.ok()
}
