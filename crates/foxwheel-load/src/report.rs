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
    let mut failed = Vec::new();
    let burn = online
        .iter()
        .map(|t| burn::of(&t.model, &t.outcomes, objective))
        .collect();
    let jobs: Vec<Vec<BatchPoint>> = batches.iter().map(|t| t.finished.clone()).collect();
    let batch_finished = timeline::batch(&jobs);
    let online: Vec<OnlineResult> = online
        .into_iter()
        .map(|t| {
            if t.wrong_answers > 0 {
                failed.push(format!(
                    "{}: {} answers were not the whole answer to their own request",
                    t.model, t.wrong_answers
                ));
            }
            OnlineResult {
                model: t.model,
                sent: t.sent,
                ok: t.ok,
                refused: t.refused,
                wrong_answers: t.wrong_answers,
                ttft: percentiles(&t.ttft_us),
                tbt: percentiles(&t.tbt_us),
                tokens: t.tokens,
                errors: t.errors,
                seconds: timeline::online(&t.outcomes),
            }
        })
        .collect();
    let batches: Vec<BatchResult> = batches
        .into_iter()
        .map(|t| {
            let resend_same_job = t.job_ids.len() == 2 && t.job_ids[0] == t.job_ids[1];
            if let Some(e) = &t.error {
                failed.push(format!("batch {}: {e}", t.client_key));
            } else {
                if !resend_same_job {
                    failed.push(format!("batch {}: a resend made another job", t.client_key));
                }
                if t.duplicate_or_unknown > 0 {
                    failed.push(format!(
                        "batch {}: {} results duplicated or unknown",
                        t.client_key, t.duplicate_or_unknown
                    ));
                }
                if t.pending > 0 {
                    failed.push(format!(
                        "batch {}: {} accepted items never finished",
                        t.client_key, t.pending
                    ));
                }
                if !t.cancelled_job && t.cancelled > 0 {
                    failed.push(format!(
                        "batch {}: items cancelled in a job nobody cancelled",
                        t.client_key
                    ));
                }
            }
            BatchResult {
                items_per_s: t
                    .elapsed_s
                    .map(|s| (t.done + t.failed) as f64 / s.max(0.001)),
                client_key: t.client_key,
                items: t.items,
                done: t.done,
                failed: t.failed,
                cancelled: t.cancelled,
                pending: t.pending,
                resend_same_job,
                duplicate_or_unknown: t.duplicate_or_unknown,
                error: t.error,
            }
        })
        .collect();
    let services: Vec<ServiceResult> = services
        .into_iter()
        .map(|t| {
            if t.executed_twice > 0 {
                failed.push(format!(
                    "{}: {} non-idempotent calls ran more than once",
                    t.name, t.executed_twice
                ));
            }
            ServiceResult {
                name: t.name,
                keys: t.keys,
                sends: t.sends,
                answered: t.answered,
                executions: t.executions,
                executed_twice: t.executed_twice,
            }
        })
        .collect();
    ExperimentResult {
        online,
        batches,
        services,
        burn,
        batch_finished,
        usage: None,
        failed_checks: failed,
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
