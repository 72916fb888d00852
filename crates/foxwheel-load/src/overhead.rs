//! Measures the overhead of a gateway per request, compared with direct calls to the same engine in
//! the same run. The two kinds of calls alternate, so that both see the same state of the machine.

use std::path::Path;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::experiment::FleetSpec;
use crate::fleet::{Fleet, FleetError};
use crate::report::{compute_percentiles, Percentiles};

/// Latencies of complete responses of one token.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Overhead {
    /// Latency of calls directly to the engine emulator.
    pub direct: Percentiles,
    /// Latency of the same calls through a gateway and the agent of the engine.
    pub through_gateway: Percentiles,
    /// The number of failed calls of both kinds.
    pub failed: u64,
}

/// Starts a fleet and sends `calls` requests for `model` each way, one at a time. Returns an error
/// if the fleet does not start.
pub async fn measure_overhead(
    spec: &FleetSpec,
    base: &Path,
    out: &Path,
    model: &str,
    calls: u64,
) -> Result<Overhead, FleetError> {
    let fleet = Fleet::start(spec, base, out).await?;
    // The first backend of the first deployment uses the port after those of the store and the
    // gateways.
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
    for call_number in 0..calls {
        let body = serde_json::json!({"model": model, "prompt": format!("call {call_number}"), "max_tokens": 1});
        for (url, latency) in urls.iter().zip(&mut latencies) {
            let started_at = Instant::now();
            match send_call(&client, url, &body).await {
                true => latency.saturating_record(started_at.elapsed().as_micros() as u64),
                false => failed += 1,
            }
        }
    }
    fleet.stop().await;
    let [direct, through_gateway] = latencies.map(|histogram| compute_percentiles(&histogram));
    Ok(Overhead {
        direct,
        through_gateway,
        failed,
    })
}

/// Sends one call. Returns whether the complete response arrived with a 2xx status.
async fn send_call(client: &awc::Client, url: &str, body: &serde_json::Value) -> bool {
    let request = client.post(format!("{url}/v1/completions")).send_json(body);
    match request.await {
        Ok(mut response) => response.status().is_success() && response.body().await.is_ok(),
        Err(_) => false,
    }
}
