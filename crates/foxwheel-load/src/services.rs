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
    let tally = Rc::new(RefCell::new(ServiceTally {
        name: format!("{} {}", load.service, load.path),
        ..ServiceTally::default()
    }));
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(30))
        .finish();
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let started = Instant::now();
    let mut n = 0u64;
    let mut tasks = Vec::new();
    while started.elapsed() < duration {
        let key = format!("{}-{seed}-{n}", load.service);
        let body = load.bodies[rng.random_range(0..load.bodies.len())].clone();
        let resend = rng.random::<f64>() < load.resend_share;
        let url = format!(
            "{}/services/{}{}",
            gateways[n as usize % gateways.len()],
            load.service,
            load.path
        );
        let second_url = format!(
            "{}/services/{}{}",
            gateways[(n as usize + 1) % gateways.len()],
            load.service,
            load.path
        );
        n += 1;
        let (client, tally) = (client.clone(), tally.clone());
        tasks.push(actix_web::rt::spawn(async move {
            tally.borrow_mut().keys += 1;
            let sends = if resend { 2 } else { 1 };
            for attempt in 0..sends {
                let target = if attempt == 0 { &url } else { &second_url };
                let ok = send(&client, target, &key, &body).await;
                let mut tally = tally.borrow_mut();
                tally.sends += 1;
                if ok {
                    tally.answered += 1;
                } else {
                    tally.refused += 1;
                }
            }
        }));
        let u: f64 = rng.random::<f64>().max(f64::MIN_POSITIVE);
        tokio::time::sleep(Duration::from_secs_f64(-u.ln() / load.rate_per_s)).await;
    }
    for task in tasks {
        let _ = task.await;
    }
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for emulator in &load.emulator_urls {
        let Ok(mut response) = client
            .get(format!("{emulator}/_emu/executions"))
            .send()
            .await
        else {
            continue;
        };
        let Ok(executions) = response
            .json::<Vec<Execution>>()
            .limit(64 * 1024 * 1024)
            .await
        else {
            continue;
        };
        for e in executions
            .into_iter()
            .filter(|e| e.path == load.path && e.idempotency_key.starts_with(&load.service))
        {
            *counts.entry(e.idempotency_key).or_default() += e.count;
        }
    }
    let mut tally = Rc::try_unwrap(tally)
        .map(RefCell::into_inner)
        .unwrap_or_else(|rc| rc.borrow().clone());
    tally.executions = counts.values().sum();
    tally.executed_twice = counts.values().filter(|c| **c > 1).count() as u64;
    tally
}
