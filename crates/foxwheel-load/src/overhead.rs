//! The gateway's overhead per request, against direct calls to the same engine in the same
//! run. The two are sent in turn, so both meet the same state of the machine.

use std::path::Path;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::experiment::FleetSpec;
use crate::fleet::{Fleet, FleetError};
use crate::report::{percentiles, Percentiles};

/// What the comparison gave: latencies of whole answers of one token.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Overhead {
    /// Calls straight to the engine stand-in.
    pub direct: Percentiles,
    /// The same calls through a gateway and the engine's agent.
    pub through_gateway: Percentiles,
    /// Calls that failed, of either kind.
    pub failed: u64,
}

/// Sends `calls` requests for `model` each way, one at a time.
pub async fn measure(
    spec: &FleetSpec,
    base: &Path,
    out: &Path,
    model: &str,
    calls: u64,
) -> Result<Overhead, FleetError> {
    let fleet = Fleet::start(spec, base, out).await?;
    // The first deployment's first back end listens right after the store and the gateways.
    let engine_port = spec.base_port + 1 + spec.gateway_zones.len() as u16;
    let urls = [
        format!("http://127.0.0.1:{engine_port}"),
        fleet.gateway_urls[0].clone(),
    ];
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(10))
        .finish();
    let new_histogram = || Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds");
    let mut latencies = [new_histogram(), new_histogram()];
    let mut failed = 0;
    for n in 0..calls {
        let body =
            serde_json::json!({"model": model, "prompt": format!("call {n}"), "max_tokens": 1});
        for (url, latency) in urls.iter().zip(&mut latencies) {
            let started = Instant::now();
            match call(&client, url, &body).await {
                true => latency.saturating_record(started.elapsed().as_micros() as u64),
                false => failed += 1,
            }
        }
    }
    fleet.stop().await;
    let [direct, through_gateway] = latencies.map(|h| percentiles(&h));
    Ok(Overhead {
        direct,
        through_gateway,
        failed,
    })
}

async fn call(client: &awc::Client, url: &str, body: &serde_json::Value) -> bool {
    let sent = client.post(format!("{url}/v1/completions")).send_json(body);
    match sent.await {
        Ok(mut response) => response.status().is_success() && response.body().await.is_ok(),
        Err(_) => false,
    }
}
