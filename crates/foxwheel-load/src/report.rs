//! Builds the result of an experiment, formats it as text, and checks the system's guarantees. A
//! failed check makes the command exit with 1.

use serde::Serialize;

use crate::batch::BatchStats;
use crate::burn::{self, Burn};
use crate::experiment::Objective;
use crate::online::OnlineStats;
use crate::services::ServiceStats;
use crate::timeline::{self, BatchPoint, OnlineSecond};
use crate::usage::Usage;

/// Percentiles of a latency, in milliseconds.
#[derive(Debug, Clone, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The number of samples.
    pub count: u64,
}

/// Computes the percentiles of a histogram of microseconds.
pub fn compute_percentiles(histogram: &hdrhistogram::Histogram<u64>) -> Percentiles {
    let quantile_ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    Percentiles {
        p50_ms: quantile_ms(0.50),
        p95_ms: quantile_ms(0.95),
        p99_ms: quantile_ms(0.99),
        count: histogram.len(),
    }
}

/// The results of one model's online load.
#[derive(Debug, Clone, Serialize)]
pub struct OnlineResult {
    /// The model.
    pub model: String,
    /// The number of requests sent.
    pub sent: u64,
    /// The number of requests with a complete and correct response.
    pub ok: u64,
    /// The number of requests that were refused or failed.
    pub refused: u64,
    /// The number of requests with an incorrect response or the response of another request.
    pub wrong_answers: u64,
    /// Time to first token.
    pub ttft: Percentiles,
    /// Time between tokens.
    pub tbt: Percentiles,
    /// The number of tokens received in correct responses.
    pub tokens: u64,
    /// The errors of refused and failed requests, each with its count.
    pub errors: Vec<(String, u64)>,
    /// The results of each second.
    pub seconds: Vec<OnlineSecond>,
}

/// The results of one batch job.
#[derive(Debug, Clone, Serialize)]
pub struct BatchResult {
    /// The client key of the job.
    pub client_key: String,
    /// The number of items submitted.
    pub items: u64,
    /// The number of items done.
    pub done: u64,
    /// The number of failed items.
    pub failed: u64,
    /// The number of cancelled items.
    pub cancelled: u64,
    /// The number of items without a final result at the end of the wait.
    pub pending: u64,
    /// Finished items per second; None if the job did not end.
    pub items_per_s: Option<f64>,
    /// Whether resending the job with the same client key returned the same job id.
    pub resend_same_job: bool,
    /// The number of result lines for an item seen before or never submitted.
    pub duplicate_or_unknown: u64,
    /// The error that ended the load before its results were read, if any.
    pub error: Option<String>,
}

/// The result of an experiment, as written to `result.json`.
#[derive(Debug, Clone, Serialize)]
pub struct ExperimentResult {
    /// Results of the online loads, one for each model.
    pub online: Vec<OnlineResult>,
    /// Results of the batch jobs.
    pub batches: Vec<BatchResult>,
    /// Results of the non-idempotent service calls.
    pub services: Vec<ServiceResult>,
    /// Error budget burn of each model.
    pub burn: Vec<Burn>,
    /// The number of finished batch items over time, summed over all jobs.
    pub batch_finished: Vec<BatchPoint>,
    /// The resource usage of the fleet, if the experiment started it.
    pub usage: Option<Usage>,
    /// The failed checks; empty if every guarantee held.
    pub failed_checks: Vec<String>,
}

/// The results of one service path.
#[derive(Debug, Clone, Serialize)]
pub struct ServiceResult {
    /// The service and the path, separated by a space.
    pub name: String,
    /// The number of distinct idempotency keys.
    pub keys: u64,
    /// The number of requests sent, including those sent again.
    pub sends: u64,
    /// The number of requests with a 2xx response.
    pub answered: u64,
    /// The number of executions that the service emulators recorded.
    pub executions: u64,
    /// The number of keys that were executed more than once.
    pub executed_twice: u64,
}

/// Builds the result from the statistics of all loads and runs the checks.
pub fn build_result(
    online: Vec<OnlineStats>,
    batches: Vec<BatchStats>,
    services: Vec<ServiceStats>,
    objective: &Objective,
) -> ExperimentResult {
    let failed_checks = online
        .iter()
        .flat_map(failed_online_checks)
        .chain(batches.iter().flat_map(failed_batch_checks))
        .chain(services.iter().flat_map(failed_service_checks))
        .collect();
    let burn = online
        .iter()
        .map(|load| burn::compute_burn(&load.model, &load.outcomes, objective))
        .collect();
    let jobs: Vec<Vec<BatchPoint>> = batches.iter().map(|job| job.finished.clone()).collect();
    ExperimentResult {
        online: online.into_iter().map(online_result).collect(),
        batches: batches.into_iter().map(batch_result).collect(),
        services: services.into_iter().map(service_result).collect(),
        burn,
        batch_finished: timeline::sum_finished_items(&jobs),
        usage: None,
        failed_checks,
    }
}

/// Checks that every response is the complete response to its own request.
fn failed_online_checks(stats: &OnlineStats) -> Option<String> {
    let wrong = stats.wrong_answers;
    (wrong > 0).then(|| {
        format!(
            "{}: {wrong} answers were not the whole answer to their own request",
            stats.model
        )
    })
}

/// Checks that accepted items finish exactly once, that resending a job does not create another
/// one, and that items are cancelled only in jobs that were cancelled.
fn failed_batch_checks(stats: &BatchStats) -> Vec<String> {
    if let Some(e) = &stats.error {
        return vec![format!("batch {}: {e}", stats.client_key)];
    }
    let checks = [
        (
            !has_same_job_after_resend(stats),
            "a resend made another job".to_owned(),
        ),
        (
            stats.duplicate_or_unknown > 0,
            format!(
                "{} results duplicated or unknown",
                stats.duplicate_or_unknown
            ),
        ),
        (
            stats.pending > 0,
            format!("{} accepted items never finished", stats.pending),
        ),
        (
            !stats.cancel_sent && stats.cancelled > 0,
            "items cancelled in a job nobody cancelled".to_owned(),
        ),
    ];
    checks
        .into_iter()
        .filter(|(failed, _)| *failed)
        .map(|(_, message)| format!("batch {}: {message}", stats.client_key))
        .collect()
}

/// Checks that no non-idempotent call was executed more than once.
fn failed_service_checks(stats: &ServiceStats) -> Option<String> {
    let twice = stats.executed_twice;
    (twice > 0).then(|| {
        format!(
            "{}: {twice} non-idempotent calls ran more than once",
            stats.name
        )
    })
}

fn has_same_job_after_resend(stats: &BatchStats) -> bool {
    matches!(stats.job_ids.as_slice(), [first, resent] if first == resent)
}

fn online_result(stats: OnlineStats) -> OnlineResult {
    OnlineResult {
        seconds: timeline::online_seconds(&stats.outcomes),
        ttft: compute_percentiles(&stats.ttft_us),
        tbt: compute_percentiles(&stats.tbt_us),
        model: stats.model,
        sent: stats.sent,
        ok: stats.ok,
        refused: stats.refused,
        wrong_answers: stats.wrong_answers,
        tokens: stats.tokens,
        errors: stats.errors,
    }
}

fn batch_result(stats: BatchStats) -> BatchResult {
    let finished = (stats.done + stats.failed) as f64;
    BatchResult {
        items_per_s: stats
            .elapsed_s
            .map(|elapsed_s| finished / elapsed_s.max(0.001)),
        resend_same_job: has_same_job_after_resend(&stats),
        client_key: stats.client_key,
        items: stats.items,
        done: stats.done,
        failed: stats.failed,
        cancelled: stats.cancelled,
        pending: stats.pending,
        duplicate_or_unknown: stats.duplicate_or_unknown,
        error: stats.error,
    }
}

fn service_result(stats: ServiceStats) -> ServiceResult {
    ServiceResult {
        name: stats.name,
        keys: stats.keys,
        sends: stats.sends,
        answered: stats.answered,
        executions: stats.executions,
        executed_twice: stats.executed_twice,
    }
}

/// Formats the result as the text of `report.txt`.
pub fn format_text(result: &ExperimentResult) -> String {
    let mut text = String::new();
    text.push_str("== online ==\n");
    for online in &result.online {
        text.push_str(&format!(
            "{:<14} sent {:>5} ok {:>5} refused {:>3} wrong {:>2} | TTFT p50 {:>7.1} ms p95 {:>7.1} ms | TBT p50 {:>5.1} ms p95 {:>5.1} ms\n",
            online.model, online.sent, online.ok, online.refused, online.wrong_answers, online.ttft.p50_ms, online.ttft.p95_ms, online.tbt.p50_ms, online.tbt.p95_ms
        ));
    }
    for (error, count) in result.online.iter().flat_map(|online| &online.errors) {
        text.push_str(&format!("  {count} x {error}\n"));
    }
    text.push_str("== batch ==\n");
    for job in &result.batches {
        let rate = job
            .items_per_s
            .map(|rate| format!("{rate:.1}"))
            .unwrap_or_else(|| "-".to_owned());
        text.push_str(&format!(
            "{:<22} items {:>5} done {:>5} failed {:>3} cancelled {:>4} pending {:>3} | {} items/s | resend same job: {}\n",
            job.client_key, job.items, job.done, job.failed, job.cancelled, job.pending, rate, job.resend_same_job
        ));
    }
    text.push_str("== non-idempotent calls ==\n");
    for service in &result.services {
        text.push_str(&format!(
            "{:<22} keys {:>4} sends {:>4} answered {:>4} executions {:>4} executed twice {}\n",
            service.name,
            service.keys,
            service.sends,
            service.answered,
            service.executions,
            service.executed_twice
        ));
    }
    text.push_str("== service-level burn (1.0 spends the error budget exactly) ==\n");
    for burn in &result.burn {
        let worst_rate = burn
            .windows
            .iter()
            .map(|window| window.burn_rate)
            .fold(0.0, f64::max);
        text.push_str(&format!(
            "{:<14} requests {:>5} bad {:>4} burn {:>5.2} worst window {:>5.2}\n",
            burn.model, burn.whole.requests, burn.whole.bad, burn.whole.burn_rate, worst_rate
        ));
    }
    if let Some(usage) = &result.usage {
        text.push_str(&format_usage(usage));
    }
    if result.failed_checks.is_empty() {
        text.push_str("checks: every accepted item finished once; no non-idempotent call ran twice; every answer whole and its own\n");
    } else {
        text.push_str("FAILED CHECKS:\n");
        for check in &result.failed_checks {
            text.push_str(&format!("  - {check}\n"));
        }
    }
    text
}

fn format_usage(usage: &Usage) -> String {
    let mut text = format!("== used in {:.1} s ==\n", usage.window_s);
    let roles = [
        ("gateway", &usage.gateway),
        ("agent", &usage.agent),
        ("back end", &usage.backend),
        ("store", &usage.store),
    ];
    for (name, role) in roles {
        text.push_str(&format!(
            "{name:<9} processes {:>3} cpu {:>7.2} s largest {:>6} KiB\n",
            role.processes, role.cpu_s, role.max_rss_kib
        ));
    }
    text.push_str(&format!(
        "store calls: {} reads, {} writes, {} watches; loopback {} KiB\n",
        usage.store_reads,
        usage.store_writes,
        usage.store_watches,
        usage.loopback_bytes / 1024
    ));
    text
}
