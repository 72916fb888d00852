//! Service load: sends non-idempotent calls, some of them twice with the same `Idempotency-Key`,
//! and then reads from the service emulators how often each call was executed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use serde::Deserialize;

use foxwheel_core::protocol::IDEMPOTENCY_KEY_HEADER;

use crate::experiment::ServiceLoad;

/// The statistics of the calls to one service path.
#[derive(Debug, Clone, Default)]
pub struct ServiceStats {
    /// The service and the path, separated by a space.
    pub name: String,
    /// The number of distinct idempotency keys sent.
    pub keys: u64,
    /// The number of requests sent, including those sent again.
    pub sends: u64,
    /// The number of requests with a 2xx response, whether first or replayed.
    pub answered: u64,
    /// The number of requests with any other response or none.
    pub refused: u64,
    /// The number of executions that the service emulators recorded for these keys.
    pub executions: u64,
    /// The number of keys that were executed more than once; must be zero.
    pub executed_twice: u64,
}

/// The largest list of executions that is read from an emulator, in bytes.
const MAX_EXECUTIONS_BYTES: usize = 64 * 1024 * 1024;

#[derive(Debug, Deserialize)]
struct Execution {
    path: String,
    idempotency_key: String,
    count: u64,
}

/// Sends one call. Returns whether the response has a 2xx status.
async fn send_call(client: &awc::Client, url: &str, key: &str, body: &serde_json::Value) -> bool {
    match client
        .post(url)
        .insert_header((IDEMPOTENCY_KEY_HEADER, key))
        .send_json(body)
        .await
    {
        Ok(response) => response.status().is_success(),
        Err(_) => false,
    }
}

/// Sends `load` for `duration`, then counts the executions of each key.
pub async fn run_service_load(
    gateways: Vec<String>,
    load: ServiceLoad,
    duration: Duration,
    seed: u64,
) -> ServiceStats {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(30))
        .finish();
    let stats = send_calls(&client, &gateways, &load, duration, seed).await;
    let counts = count_executions(&client, &load).await;
    ServiceStats {
        executions: counts.values().sum(),
        executed_twice: counts.values().filter(|count| **count > 1).count() as u64,
        ..stats
    }
}

/// Sends calls at the rate of the load, a share of them twice with the same key, the second time
/// through another gateway.
async fn send_calls(
    client: &awc::Client,
    gateways: &[String],
    load: &ServiceLoad,
    duration: Duration,
    seed: u64,
) -> ServiceStats {
    let stats = Rc::new(RefCell::new(ServiceStats {
        name: format!("{} {}", load.service, load.path),
        ..ServiceStats::default()
    }));
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let started_at = Instant::now();
    let mut tasks = Vec::new();
    for call_number in 0.. {
        if started_at.elapsed() >= duration {
            break;
        }
        let key = format!("{}-{seed}-{call_number}", load.service);
        let body = load.bodies[rng.random_range(0..load.bodies.len())].clone();
        let send_count = if rng.random::<f64>() < load.resend_share {
            2
        } else {
            1
        };
        let urls: Vec<String> = (call_number..call_number + send_count)
            .map(|index| &gateways[index % gateways.len()])
            .map(|gateway| format!("{gateway}/services/{}{}", load.service, load.path))
            .collect();
        let (client, stats) = (client.clone(), stats.clone());
        tasks.push(actix_web::rt::spawn(async move {
            stats.borrow_mut().keys += 1;
            for url in urls {
                let answered = send_call(&client, &url, &key, &body).await;
                let mut stats = stats.borrow_mut();
                stats.sends += 1;
                stats.answered += u64::from(answered);
                stats.refused += u64::from(!answered);
            }
        }));
        let uniform: f64 = rng.random::<f64>().max(f64::MIN_POSITIVE);
        tokio::time::sleep(Duration::from_secs_f64(-uniform.ln() / load.rate_per_s)).await;
    }
    for task in tasks {
        let _ = task.await;
    }
    stats.take()
}

/// Returns the number of executions of the load's path by key, summed over all service emulators
/// that respond.
async fn count_executions(client: &awc::Client, load: &ServiceLoad) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for emulator in &load.emulator_urls {
        let url = format!("{emulator}/_emu/executions");
        let Ok(mut response) = client.get(url).send().await else {
            continue;
        };
        let listed = response
            .json::<Vec<Execution>>()
            .limit(MAX_EXECUTIONS_BYTES);
        for execution in listed.await.unwrap_or_default() {
            let has_key_of_load = execution.idempotency_key.starts_with(&load.service);
            if execution.path == load.path && has_key_of_load {
                *counts.entry(execution.idempotency_key).or_default() += execution.count;
            }
        }
    }
    counts
}
