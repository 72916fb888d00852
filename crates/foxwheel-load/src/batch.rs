//! Batch load: each job is sent twice with its client key (a resending client), possibly
//! cancelled, then waited for; the results are read back and checked.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::Deserialize;

use crate::experiment::BatchLoad;
use crate::timeline::BatchPoint;

/// What one job came to.
#[derive(Debug, Clone, Default)]
pub struct BatchTally {
    /// The client key.
    pub client_key: String,
    /// The job id the gateway gave; the same for both sends when resends are idempotent.
    pub job_ids: Vec<String>,
    /// Items sent.
    pub items: u64,
    /// Items done, failed, cancelled, still pending, as read from the results.
    pub done: u64,
    /// Failed items.
    pub failed: u64,
    /// Cancelled items.
    pub cancelled: u64,
    /// Items still pending when the wait ended.
    pub pending: u64,
    /// Result lines whose custom_id was seen more than once, or was never sent.
    pub duplicate_or_unknown: u64,
    /// Seconds from sending to the job's end (all items final), if it ended.
    pub elapsed_s: Option<f64>,
    /// Items finished over time.
    pub finished: Vec<BatchPoint>,
    /// Whether it was cancelled.
    pub cancelled_job: bool,
    /// An error that stopped the job's run.
    pub error: Option<String>,
}

/// The pause between two status calls.
const POLL: Duration = Duration::from_millis(250);

#[derive(Debug, Deserialize)]
struct StatusBody {
    job: JobBody,
    counts: Counts,
}

#[derive(Debug, Deserialize)]
struct JobBody {
    id: String,
    state: String,
}

#[derive(Debug, Deserialize)]
struct Counts {
    pending: u64,
    done: u64,
    failed: u64,
}

#[derive(Debug, Deserialize)]
struct ResultLine {
    custom_id: String,
    state: String,
}

fn items(load: &BatchLoad) -> Vec<serde_json::Value> {
    (0..load.items)
        .map(|i| {
            let prompt = format!("{} (item {i})", load.prompts[i % load.prompts.len()]);
            serde_json::json!({
                "custom_id": format!("{}-{i:06}", load.client_key),
                "body": {"model": load.model, "messages": [{"role": "user", "content": prompt}], "max_tokens": load.max_tokens},
            })
        })
        .collect()
}

async fn post_job(
    client: &awc::Client,
    gateway: &str,
    body: &serde_json::Value,
) -> Result<StatusBody, String> {
    let mut response = client
        .post(format!("{gateway}/v1/batches"))
        .send_json(body)
        .await
        .map_err(|e| e.to_string())?;
    let bytes = response
        .body()
        .limit(64 * 1024 * 1024)
        .await
        .map_err(|e| e.to_string())?;
    if !response.status().is_success() {
        return Err(format!(
            "status {}: {}",
            response.status(),
            String::from_utf8_lossy(&bytes)
        ));
    }
    serde_json::from_slice(&bytes).map_err(|e| e.to_string())
}

/// Sends the job again, as clients do, while it is refused or unanswered.
async fn post_until_accepted(
    client: &awc::Client,
    gateway: &str,
    body: &serde_json::Value,
    wait: Duration,
) -> Result<StatusBody, String> {
    let started = Instant::now();
    loop {
        match post_job(client, gateway, body).await {
            Err(_) if started.elapsed() < wait => tokio::time::sleep(POLL).await,
            answer => return answer,
        }
    }
}

async fn get_status(client: &awc::Client, gateway: &str, id: &str) -> Result<StatusBody, String> {
    let mut response = client
        .get(format!("{gateway}/v1/batches/{id}"))
        .send()
        .await
        .map_err(|e| e.to_string())?;
    response
        .json::<StatusBody>()
        .limit(1024 * 1024)
        .await
        .map_err(|e| e.to_string())
}

async fn read_results(client: &awc::Client, gateway: &str, id: &str) -> Result<Bytes, String> {
    let url = format!("{gateway}/v1/batches/{id}/results");
    let mut response = client.get(url).send().await.map_err(|e| e.to_string())?;
    let body = response.body().limit(256 * 1024 * 1024);
    body.await.map_err(|e| e.to_string())
}

/// Sends the job, waits for it at most `wait`, and tallies its results.
pub async fn run(gateways: Vec<String>, load: BatchLoad, wait: Duration) -> BatchTally {
    let mut tally = BatchTally {
        client_key: load.client_key.clone(),
        items: load.items as u64,
        ..BatchTally::default()
    };
    if let Err(e) = run_job(&gateways, &load, wait, &mut tally).await {
        tally.error = Some(e);
    }
    tally
}

async fn run_job(
    gateways: &[String],
    load: &BatchLoad,
    wait: Duration,
    tally: &mut BatchTally,
) -> Result<(), String> {
    let load_started = Instant::now();
    tokio::time::sleep(Duration::from_secs(load.start_after_s)).await;
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(120))
        .finish();
    let body = serde_json::json!({
        "client_key": load.client_key,
        "model": load.model,
        "completion_window_s": 3600,
        "items": items(load),
    });
    let sent_at = Instant::now();
    let first = post_until_accepted(&client, &gateways[0], &body, wait).await?;
    let resent = post_until_accepted(&client, &gateways[gateways.len() - 1], &body, wait).await?;
    tally.job_ids = vec![first.job.id.clone(), resent.job.id.clone()];
    let id = first.job.id;
    let gateway = &gateways[0];
    loop {
        let elapsed = sent_at.elapsed();
        if let Some(after) = load.cancel_after_s {
            if !tally.cancelled_job && elapsed >= Duration::from_secs(after) {
                let _ = client
                    .post(format!("{gateway}/v1/batches/{id}/cancel"))
                    .send()
                    .await;
                tally.cancelled_job = true;
            }
        }
        // A status refused while the store is down is asked for again until the wait ends.
        let Ok(status) = get_status(&client, gateway, &id).await else {
            if elapsed > wait {
                return Err("no status until the wait ended".to_owned());
            }
            tokio::time::sleep(POLL).await;
            continue;
        };
        tally.finished.push(BatchPoint {
            at_s: load_started.elapsed().as_secs_f64(),
            finished: status.counts.done + status.counts.failed,
        });
        if status.counts.pending == 0 || status.job.state != "running" {
            tally.elapsed_s = Some(elapsed.as_secs_f64());
            break;
        }
        if elapsed > wait {
            break;
        }
        tokio::time::sleep(POLL).await;
    }
    let bytes = read_results(&client, gateway, &id).await?;
    let mut seen: BTreeMap<String, u32> = (0..load.items)
        .map(|i| (format!("{}-{i:06}", load.client_key), 0))
        .collect();
    for line in String::from_utf8_lossy(&bytes).lines() {
        let result: ResultLine = serde_json::from_str(line).map_err(|e| e.to_string())?;
        match seen.get_mut(&result.custom_id) {
            Some(count) if *count == 0 => *count += 1,
            _ => {
                tally.duplicate_or_unknown += 1;
                continue;
            }
        }
        match result.state.as_str() {
            "done" => tally.done += 1,
            "failed" => tally.failed += 1,
            "cancelled" => tally.cancelled += 1,
            _ => tally.pending += 1,
        }
    }
    tally.pending += seen.values().filter(|c| **c == 0).count() as u64;
    Ok(())
}
