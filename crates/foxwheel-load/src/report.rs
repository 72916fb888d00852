//! The report: figures for people, a JSON result for machines, and the checks of the
//! brief's promises that decide the exit code.

use serde::Serialize;

use crate::batch::BatchTally;
use crate::burn::{self, Burn};
use crate::experiment::Objective;
use crate::online::OnlineTally;
use crate::services::ServiceTally;
use crate::timeline::{self, BatchPoint, OnlineSecond};
use crate::usage::Usage;

/// Percentiles of one latency, in milliseconds.
#[derive(Debug, Clone, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Samples.
    pub count: u64,
}

/// The percentiles of a histogram of microseconds.
pub fn percentiles(h: &hdrhistogram::Histogram<u64>) -> Percentiles {
    let ms = |q: f64| h.value_at_quantile(q) as f64 / 1000.0;
    Percentiles {
        p50_ms: ms(0.50),
        p95_ms: ms(0.95),
        p99_ms: ms(0.99),
        count: h.len(),
    }
}

/// One model's online figures.
#[derive(Debug, Clone, Serialize)]
pub struct OnlineResult {
    /// The model.
    pub model: String,
    /// Requests sent.
    pub sent: u64,
    /// Answered whole and right.
    pub ok: u64,
    /// Refused.
    pub refused: u64,
    /// Wrong or crossed answers.
    pub wrong_answers: u64,
    /// Time to first token.
    pub ttft: Percentiles,
    /// Time between tokens.
    pub tbt: Percentiles,
    /// Tokens received.
    pub tokens: u64,
    /// Why requests got no answer, each kind with its count.
    pub errors: Vec<(String, u64)>,
    /// Figures per second.
    pub seconds: Vec<OnlineSecond>,
}

/// One batch job's figures.
#[derive(Debug, Clone, Serialize)]
pub struct BatchResult {
    /// Client key.
    pub client_key: String,
    /// Items.
    pub items: u64,
    /// Done.
    pub done: u64,
    /// Failed.
    pub failed: u64,
    /// Cancelled.
    pub cancelled: u64,
    /// Still pending at the end of the wait.
    pub pending: u64,
    /// Items finished per second.
    pub items_per_s: Option<f64>,
    /// Whether the resend with the same key gave the same job.
    pub resend_same_job: bool,
    /// Result lines duplicated or unknown.
    pub duplicate_or_unknown: u64,
    /// An error, if the job's run stopped.
    pub error: Option<String>,
}

/// The whole result.
#[derive(Debug, Clone, Serialize)]
pub struct ExperimentResult {
    /// Online figures by model.
    pub online: Vec<OnlineResult>,
    /// Batch figures by job.
    pub batches: Vec<BatchResult>,
    /// Executions of non-idempotent calls.
    pub services: Vec<ServiceResult>,
    /// Service-level burn by model.
    pub burn: Vec<Burn>,
    /// Batch items finished over time, all jobs together.
    pub batch_finished: Vec<BatchPoint>,
    /// What the fleet used, when the experiment started it.
    pub usage: Option<Usage>,
    /// Failed checks; empty when every promise held.
    pub failed_checks: Vec<String>,
}

/// One service path's figures.
#[derive(Debug, Clone, Serialize)]
pub struct ServiceResult {
    /// `service path`.
    pub name: String,
    /// Distinct keys.
    pub keys: u64,
    /// Sends, resends included.
    pub sends: u64,
    /// Answered.
    pub answered: u64,
    /// Executions recorded by the stand-ins.
    pub executions: u64,
    /// Keys executed more than once.
    pub executed_twice: u64,
}

/// Builds the result and runs the checks.
pub fn build(
    online: Vec<OnlineTally>,
    batches: Vec<BatchTally>,
    services: Vec<ServiceTally>,
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
        .map(|t| burn::of(&t.model, &t.outcomes, objective))
        .collect();
    let jobs: Vec<Vec<BatchPoint>> = batches.iter().map(|t| t.finished.clone()).collect();
    ExperimentResult {
        online: online.into_iter().map(online_result).collect(),
        batches: batches.into_iter().map(batch_result).collect(),
        services: services.into_iter().map(service_result).collect(),
        burn,
        batch_finished: timeline::batch(&jobs),
        usage: None,
        failed_checks,
    }
}

/// The answer to a request is the whole answer to it.
fn failed_online_checks(tally: &OnlineTally) -> Option<String> {
    let wrong = tally.wrong_answers;
    (wrong > 0).then(|| {
        format!(
            "{}: {wrong} answers were not the whole answer to their own request",
            tally.model
        )
    })
}

/// Accepted items finish, once; a resend is the same job; only a cancel cancels.
fn failed_batch_checks(tally: &BatchTally) -> Vec<String> {
    if let Some(e) = &tally.error {
        return vec![format!("batch {}: {e}", tally.client_key)];
    }
    let checks = [
        (
            !resend_gave_same_job(tally),
            "a resend made another job".to_owned(),
        ),
        (
            tally.duplicate_or_unknown > 0,
            format!(
                "{} results duplicated or unknown",
                tally.duplicate_or_unknown
            ),
        ),
        (
            tally.pending > 0,
            format!("{} accepted items never finished", tally.pending),
        ),
        (
            !tally.cancelled_job && tally.cancelled > 0,
            "items cancelled in a job nobody cancelled".to_owned(),
        ),
    ];
    checks
        .into_iter()
        .filter(|(failed, _)| *failed)
        .map(|(_, what)| format!("batch {}: {what}", tally.client_key))
        .collect()
}

/// A non-idempotent call runs at most once.
fn failed_service_checks(tally: &ServiceTally) -> Option<String> {
    let twice = tally.executed_twice;
    (twice > 0).then(|| {
        format!(
            "{}: {twice} non-idempotent calls ran more than once",
            tally.name
        )
    })
}

fn resend_gave_same_job(tally: &BatchTally) -> bool {
    matches!(tally.job_ids.as_slice(), [first, resent] if first == resent)
}

fn online_result(tally: OnlineTally) -> OnlineResult {
    OnlineResult {
        seconds: timeline::online(&tally.outcomes),
        ttft: percentiles(&tally.ttft_us),
        tbt: percentiles(&tally.tbt_us),
        model: tally.model,
        sent: tally.sent,
        ok: tally.ok,
        refused: tally.refused,
        wrong_answers: tally.wrong_answers,
        tokens: tally.tokens,
        errors: tally.errors,
    }
}

fn batch_result(tally: BatchTally) -> BatchResult {
    let finished = (tally.done + tally.failed) as f64;
    BatchResult {
        items_per_s: tally.elapsed_s.map(|s| finished / s.max(0.001)),
        resend_same_job: resend_gave_same_job(&tally),
        client_key: tally.client_key,
        items: tally.items,
        done: tally.done,
        failed: tally.failed,
        cancelled: tally.cancelled,
        pending: tally.pending,
        duplicate_or_unknown: tally.duplicate_or_unknown,
        error: tally.error,
    }
}

fn service_result(tally: ServiceTally) -> ServiceResult {
    ServiceResult {
        name: tally.name,
        keys: tally.keys,
        sends: tally.sends,
        answered: tally.answered,
        executions: tally.executions,
        executed_twice: tally.executed_twice,
    }
}

/// The report for people.
pub fn text(result: &ExperimentResult) -> String {
    let mut out = String::new();
    out.push_str("== online ==\n");
    for o in &result.online {
        out.push_str(&format!(
            "{:<14} sent {:>5} ok {:>5} refused {:>3} wrong {:>2} | TTFT p50 {:>7.1} ms p95 {:>7.1} ms | TBT p50 {:>5.1} ms p95 {:>5.1} ms\n",
            o.model, o.sent, o.ok, o.refused, o.wrong_answers, o.ttft.p50_ms, o.ttft.p95_ms, o.tbt.p50_ms, o.tbt.p95_ms
        ));
    }
    for (error, count) in result.online.iter().flat_map(|o| &o.errors) {
        out.push_str(&format!("  {count} x {error}\n"));
    }
    out.push_str("== batch ==\n");
    for b in &result.batches {
        let rate = b
            .items_per_s
            .map(|r| format!("{r:.1}"))
            .unwrap_or_else(|| "-".to_owned());
        out.push_str(&format!(
            "{:<22} items {:>5} done {:>5} failed {:>3} cancelled {:>4} pending {:>3} | {} items/s | resend same job: {}\n",
            b.client_key, b.items, b.done, b.failed, b.cancelled, b.pending, rate, b.resend_same_job
        ));
    }
    out.push_str("== non-idempotent calls ==\n");
    for s in &result.services {
        out.push_str(&format!(
            "{:<22} keys {:>4} sends {:>4} answered {:>4} executions {:>4} executed twice {}\n",
            s.name, s.keys, s.sends, s.answered, s.executions, s.executed_twice
        ));
    }
    out.push_str("== service-level burn (1.0 spends the error budget exactly) ==\n");
    for b in &result.burn {
        let worst = b.windows.iter().map(|w| w.burn_rate).fold(0.0, f64::max);
        out.push_str(&format!(
            "{:<14} requests {:>5} bad {:>4} burn {:>5.2} worst window {:>5.2}\n",
            b.model, b.whole.requests, b.whole.bad, b.whole.burn_rate, worst
        ));
    }
    if let Some(usage) = &result.usage {
        out.push_str(&usage_text(usage));
    }
    if result.failed_checks.is_empty() {
        out.push_str("checks: every accepted item finished once; no non-idempotent call ran twice; every answer whole and its own\n");
    } else {
        out.push_str("FAILED CHECKS:\n");
        for f in &result.failed_checks {
            out.push_str(&format!("  - {f}\n"));
        }
    }
    out
}

fn usage_text(usage: &Usage) -> String {
    let mut out = format!("== used in {:.1} s ==\n", usage.window_s);
    let roles = [
        ("gateway", &usage.gateway),
        ("agent", &usage.agent),
        ("back end", &usage.backend),
        ("store", &usage.store),
    ];
    for (name, role) in roles {
        out.push_str(&format!(
            "{name:<9} processes {:>3} cpu {:>7.2} s largest {:>6} KiB\n",
            role.processes, role.cpu_s, role.max_rss_kib
        ));
    }
    out.push_str(&format!(
        "store calls: {} reads, {} writes, {} watches; loopback {} KiB\n",
        usage.store_reads,
        usage.store_writes,
        usage.store_watches,
        usage.loopback_bytes / 1024
    ));
    out
}
