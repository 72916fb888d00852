//! How long an applied change takes to be in force on every gateway and every agent.

use std::path::Path;
use std::time::{Duration, Instant};

use foxwheel_core::declarations::RuleSet;
use foxwheel_core::keys;
use foxwheel_store::client::StoreClient;
use hdrhistogram::Histogram;

use crate::experiment::FleetSpec;
use crate::fleet::{Fleet, FleetError, Role};
use crate::report::{percentiles, Percentiles};

/// The pause between two looks at a process.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);
/// After this long a change counts as late, with this as its time.
const GIVE_UP: Duration = Duration::from_secs(30);

/// Times from the store's answer to the write until the last process has the change.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Propagation {
    /// Until the last gateway has it.
    pub gateways: Percentiles,
    /// Until the last agent has it.
    pub agents: Percentiles,
}

/// Applies `changes` changes of the rules, one after the other.
pub async fn measure(
    spec: &FleetSpec,
    base: &Path,
    out: &Path,
    changes: u64,
) -> Result<Propagation, FleetError> {
    let fleet = Fleet::start(spec, base, out).await?;
    let store = StoreClient::new(&fleet.store_url);
    let agent_urls = fleet.urls_of(Role::Agent);
    let new_histogram = || Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds");
    let (mut gateways, mut agents) = (new_histogram(), new_histogram());
    for n in 0..changes {
        let Some(revision) = change_rules(&store, n).await else {
            continue;
        };
        let started = Instant::now();
        let on_gateways = wait_for_all(&fleet.gateway_urls, "status", revision, started);
        let on_agents = wait_for_all(&agent_urls, "load", revision, started);
        let (on_gateways, on_agents) = futures::join!(on_gateways, on_agents);
        gateways.saturating_record(on_gateways.as_micros() as u64);
        agents.saturating_record(on_agents.as_micros() as u64);
    }
    fleet.stop().await;
    Ok(Propagation {
        gateways: percentiles(&gateways),
        agents: percentiles(&agents),
    })
}

/// Writes the rules with one more that matches nothing; answers the revision written.
async fn change_rules(store: &StoreClient, n: u64) -> Option<u64> {
    let found = store.get_value::<RuleSet>(keys::RULES_KEY).await.ok()??;
    let (mut rules, version) = found;
    let mut extra = rules.rules.first()?.clone();
    extra.name = format!("propagation-{n}");
    extra.when.workspace = Some("no-such-workspace".to_owned());
    rules.rules.push(extra);
    let written = store.put(keys::RULES_KEY, &rules, Some(version)).await;
    Some(written.ok()?.version)
}

/// The time from `started` until every process reports `revision` or a later one.
async fn wait_for_all(urls: &[String], page: &str, revision: u64, started: Instant) -> Duration {
    let http = awc::Client::default();
    for url in urls {
        while !has_revision(&http, &format!("{url}/{page}"), revision).await {
            if started.elapsed() > GIVE_UP {
                return GIVE_UP;
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }
    started.elapsed()
}

async fn has_revision(http: &awc::Client, url: &str, revision: u64) -> bool {
    let Ok(mut response) = http.get(url).send().await else {
        return false;
    };
    let body = response.json::<serde_json::Value>().await;
    body.is_ok_and(|body| body["config_revision"].as_u64() >= Some(revision))
}
