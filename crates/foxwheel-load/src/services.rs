//! Non-idempotent service calls, some resent with the same `Idempotency-Key`, and the
//! count of executions read back from the stand-ins afterwards.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use serde::Deserialize;

use foxwheel_core::protocol::IDEMPOTENCY_KEY_HEADER;

use crate::experiment::ServiceLoad;

/// What one service path's calls came to.
#[derive(Debug, Clone, Default)]
pub struct ServiceTally {
    /// `service path`.
    pub name: String,
    /// Distinct keys sent.
    pub keys: u64,
    /// Sends in all, resends included.
    pub sends: u64,
    /// Sends answered 2xx (first answers and replays).
    pub answered: u64,
    /// Sends refused (any non-2xx).
    pub refused: u64,
    /// Executions the stand-ins recorded for these keys.
    pub executions: u64,
    /// Keys executed more than once: must be zero.
    pub executed_twice: u64,
}

/// Largest list of executions read, in bytes.
const MAX_LIST_BYTES: usize = 64 * 1024 * 1024;

#[derive(Debug, Deserialize)]
struct Execution {
    path: String,
    idempotency_key: String,
    count: u64,
}

async fn send(client: &awc::Client, url: &str, key: &str, body: &serde_json::Value) -> bool {
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

/// Sends `load` for `duration`, then counts executions per key.
pub async fn run(
    gateways: Vec<String>,
    load: ServiceLoad,
    duration: Duration,
    seed: u64,
) -> ServiceTally {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(30))
        .finish();
    let tally = send_all(&client, &gateways, &load, duration, seed).await;
    let counts = count_executions(&client, &load).await;
    ServiceTally {
        executions: counts.values().sum(),
        executed_twice: counts.values().filter(|c| **c > 1).count() as u64,
        ..tally
    }
}

/// Sends calls at the load's rate; a share of them twice with the same key, the second time
/// through another gateway.
async fn send_all(
    client: &awc::Client,
    gateways: &[String],
    load: &ServiceLoad,
    duration: Duration,
    seed: u64,
) -> ServiceTally {
    let tally = Rc::new(RefCell::new(ServiceTally {
        name: format!("{} {}", load.service, load.path),
        ..ServiceTally::default()
    }));
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let started = Instant::now();
    let mut tasks = Vec::new();
    for n in 0.. {
        if started.elapsed() >= duration {
            break;
        }
        let key = format!("{}-{seed}-{n}", load.service);
        let body = load.bodies[rng.random_range(0..load.bodies.len())].clone();
        let sends = if rng.random::<f64>() < load.resend_share {
            2
        } else {
            1
        };
        let urls: Vec<String> = (n..n + sends)
            .map(|at| &gateways[at % gateways.len()])
            .map(|gateway| format!("{gateway}/services/{}{}", load.service, load.path))
            .collect();
        let (client, tally) = (client.clone(), tally.clone());
        tasks.push(actix_web::rt::spawn(async move {
            tally.borrow_mut().keys += 1;
            for url in urls {
                let answered = send(&client, &url, &key, &body).await;
                let mut tally = tally.borrow_mut();
                tally.sends += 1;
                tally.answered += u64::from(answered);
                tally.refused += u64::from(!answered);
            }
        }));
        let u: f64 = rng.random::<f64>().max(f64::MIN_POSITIVE);
        tokio::time::sleep(Duration::from_secs_f64(-u.ln() / load.rate_per_s)).await;
    }
    for task in tasks {
        let _ = task.await;
    }
    tally.take()
}

/// Executions of the load's path by key, over all the stand-ins that answer.
async fn count_executions(client: &awc::Client, load: &ServiceLoad) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for emulator in &load.emulator_urls {
        let url = format!("{emulator}/_emu/executions");
        let Ok(mut response) = client.get(url).send().await else {
            continue;
        };
        let listed = response.json::<Vec<Execution>>().limit(MAX_LIST_BYTES);
        for execution in listed.await.unwrap_or_default() {
            let is_ours = execution.idempotency_key.starts_with(&load.service);
            if execution.path == load.path && is_ours {
                *counts.entry(execution.idempotency_key).or_default() += execution.count;
            }
        }
    }
    counts
}
