//! Batch load: sends each job twice with its client key, as by a client that resends, cancels it
//! if the experiment says so, waits for it, and reads and counts its results.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::Deserialize;

use crate::experiment::BatchLoad;
use crate::timeline::BatchPoint;

/// The statistics of one job.
#[derive(Debug, Clone, Default)]
pub struct BatchStats {
    /// The client key of the job.
    pub client_key: String,
    /// The job ids in the responses to both submissions. They are equal if resending is idempotent.
    pub job_ids: Vec<String>,
    /// The number of items submitted.
    pub items: u64,
    /// The number of items done, as read from the results.
    pub done: u64,
    /// The number of failed items.
    pub failed: u64,
    /// The number of cancelled items.
    pub cancelled: u64,
    /// The number of items without a final result when the wait ended.
    pub pending: u64,
    /// The number of result lines whose `custom_id` was seen before or was never submitted.
    pub duplicate_or_unknown: u64,
    /// Time from submission to the end of the job (all items final), in seconds; None if it did not
    /// end.
    pub elapsed_s: Option<f64>,
    /// The number of finished items over time.
    pub finished: Vec<BatchPoint>,
    /// Whether a cancellation was sent.
    pub cancel_sent: bool,
    /// The error that ended the load before its results were read.
    pub error: Option<String>,
}

/// The interval between two status calls, and between two attempts to submit a job.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Deserialize)]
struct StatusBody {
    job: JobStatus,
    counts: ItemCounts,
}

#[derive(Debug, Deserialize)]
struct JobStatus {
    id: String,
    state: String,
}

#[derive(Debug, Deserialize)]
struct ItemCounts {
    pending: u64,
    done: u64,
    failed: u64,
}

#[derive(Debug, Deserialize)]
struct ResultLine {
    custom_id: String,
    state: String,
}

fn build_items(load: &BatchLoad) -> Vec<serde_json::Value> {
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

/// Submits the job repeatedly, as clients do, until it is accepted or `wait` has passed. Returns
/// the last error if it is not accepted.
async fn post_until_accepted(
    client: &awc::Client,
    gateway: &str,
    body: &serde_json::Value,
    wait: Duration,
) -> Result<StatusBody, String> {
    let started_at = Instant::now();
    loop {
        match post_job(client, gateway, body).await {
            Err(_) if started_at.elapsed() < wait => tokio::time::sleep(POLL_INTERVAL).await,
            result => return result,
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

/// Submits the job, waits for its end for at most `wait`, and returns its statistics.
pub async fn run_batch_load(gateways: Vec<String>, load: BatchLoad, wait: Duration) -> BatchStats {
    let mut stats = BatchStats {
        client_key: load.client_key.clone(),
        items: load.items as u64,
        ..BatchStats::default()
    };
    if let Err(e) = submit_and_await_job(&gateways, &load, wait, &mut stats).await {
        stats.error = Some(e);
    }
    stats
}

async fn submit_and_await_job(
    gateways: &[String],
    load: &BatchLoad,
    wait: Duration,
    stats: &mut BatchStats,
) -> Result<(), String> {
    let load_started_at = Instant::now();
    tokio::time::sleep(Duration::from_secs(load.start_after_s)).await;
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(120))
        .finish();
    let body = serde_json::json!({
        "client_key": load.client_key,
        "model": load.model,
        "completion_window_s": 3600,
        "items": build_items(load),
    });
    let sent_at = Instant::now();
    let first_response = post_until_accepted(&client, &gateways[0], &body, wait).await?;
    let resend_response =
        post_until_accepted(&client, &gateways[gateways.len() - 1], &body, wait).await?;
    stats.job_ids = vec![
        first_response.job.id.clone(),
        resend_response.job.id.clone(),
    ];
    let id = first_response.job.id;
    let gateway = &gateways[0];
    loop {
        let elapsed = sent_at.elapsed();
        if let Some(delay_s) = load.cancel_after_s {
            if !stats.cancel_sent && elapsed >= Duration::from_secs(delay_s) {
                let _ = client
                    .post(format!("{gateway}/v1/batches/{id}/cancel"))
                    .send()
                    .await;
                stats.cancel_sent = true;
            }
        }
        // The gateway refuses status calls while the store is down; they are retried until the
        // wait ends.
        let Ok(status) = get_status(&client, gateway, &id).await else {
            if elapsed > wait {
                return Err("no status until the wait ended".to_owned());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        };
        stats.finished.push(BatchPoint {
            at_s: load_started_at.elapsed().as_secs_f64(),
            finished: status.counts.done + status.counts.failed,
        });
        if status.counts.pending == 0 || status.job.state != "running" {
            stats.elapsed_s = Some(elapsed.as_secs_f64());
            break;
        }
        if elapsed > wait {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let results = read_results(&client, gateway, &id).await?;
    let mut line_counts: BTreeMap<String, u32> = (0..load.items)
        .map(|i| (format!("{}-{i:06}", load.client_key), 0))
        .collect();
    for line in String::from_utf8_lossy(&results).lines() {
        let result: ResultLine = serde_json::from_str(line).map_err(|e| e.to_string())?;
        match line_counts.get_mut(&result.custom_id) {
            Some(count) if *count == 0 => *count += 1,
            _ => {
                stats.duplicate_or_unknown += 1;
                continue;
            }
        }
        match result.state.as_str() {
            "done" => stats.done += 1,
            "failed" => stats.failed += 1,
            "cancelled" => stats.cancelled += 1,
            _ => stats.pending += 1,
        }
    }
    stats.pending += line_counts.values().filter(|count| **count == 0).count() as u64;
    Ok(())
}
