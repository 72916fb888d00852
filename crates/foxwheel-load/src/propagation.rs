//! Measures how long an applied change takes to be in force on every gateway and every agent.

use std::path::Path;
use std::time::{Duration, Instant};

use foxwheel_core::declarations::RuleSet;
use foxwheel_core::keys;
use foxwheel_store::client::StoreClient;
use hdrhistogram::Histogram;

use crate::experiment::FleetSpec;
use crate::fleet::{Fleet, FleetError, Role};
use crate::report::{compute_percentiles, Percentiles};

/// The interval between two polls of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The time after which a change is no longer waited for; it is recorded with this time.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Times from the store's response to the write until the change is in force.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Propagation {
    /// Times until it is in force on all gateways.
    pub gateways: Percentiles,
    /// Times until it is in force on all agents.
    pub agents: Percentiles,
}

/// Starts a fleet, applies `changes` changes of the rules to it one after the other, and returns
/// their propagation times. Changes that the store does not accept are left out. Returns an
/// error if the fleet does not start.
pub async fn measure_propagation(
    spec: &FleetSpec,
    base: &Path,
    out: &Path,
    changes: u64,
) -> Result<Propagation, FleetError> {
    let fleet = Fleet::start(spec, base, out).await?;
    let store = StoreClient::new(&fleet.store_url);
    let agent_urls = fleet.urls_with_role(Role::Agent);
    let new_histogram = || Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds");
    let (mut gateways, mut agents) = (new_histogram(), new_histogram());
    for change_number in 0..changes {
        let Some(revision) = add_rule(&store, change_number).await else {
            continue;
        };
        let started_at = Instant::now();
        let gateways_wait = wait_for_revision(&fleet.gateway_urls, "status", revision, started_at);
        let agents_wait = wait_for_revision(&agent_urls, "load", revision, started_at);
        let (gateways_time, agents_time) = futures::join!(gateways_wait, agents_wait);
        gateways.saturating_record(gateways_time.as_micros() as u64);
        agents.saturating_record(agents_time.as_micros() as u64);
    }
    fleet.stop().await;
    Ok(Propagation {
        gateways: compute_percentiles(&gateways),
        agents: compute_percentiles(&agents),
    })
}

/// Adds a rule that matches no request. Returns the revision written, or None if the rules could
/// not be read or written, or are empty.
async fn add_rule(store: &StoreClient, change_number: u64) -> Option<u64> {
    let stored_rules = store.get_value::<RuleSet>(keys::RULES_KEY).await.ok()??;
    let (mut rules, version) = stored_rules;
    let mut new_rule = rules.rules.first()?.clone();
    new_rule.name = format!("propagation-{change_number}");
    new_rule.when.workspace = Some("no-such-workspace".to_owned());
    rules.rules.push(new_rule);
    let written = store.put(keys::RULES_KEY, &rules, Some(version)).await;
    Some(written.ok()?.version)
}

/// Waits until every process reports `revision` or a later one. Returns the time since
/// `started_at`, or the timeout if it has passed before.
async fn wait_for_revision(
    urls: &[String],
    page: &str,
    revision: u64,
    started_at: Instant,
) -> Duration {
    let http = awc::Client::default();
    for url in urls {
        while !has_revision(&http, &format!("{url}/{page}"), revision).await {
            if started_at.elapsed() > CHANGE_TIMEOUT {
                return CHANGE_TIMEOUT;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    started_at.elapsed()
}

async fn has_revision(http: &awc::Client, url: &str, revision: u64) -> bool {
    let Ok(mut response) = http.get(url).send().await else {
        return false;
    };
    let body = response.json::<serde_json::Value>().await;
    body.is_ok_and(|body| body["config_revision"].as_u64() >= Some(revision))
}
