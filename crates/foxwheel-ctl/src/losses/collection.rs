//! Finds losses in log lines and the reason of each. A loss is a request or batch item whose
//! response or result was late, or that was refused, failed or must run again.

use foxwheel_core::ids::{NodeId, ServerId};

use crate::log_lines::LogLine;

/// Reason of a late response whose server had no free slot when it was chosen.
const NO_FREE_SLOT: &str = "the server had no free slot";

/// Reason of a late response if the log lines show no other.
const SLOW_SERVER_OR_NETWORK: &str = "slow at the server or on the way";

/// Reason of batch results that were stored after their deadline.
const RESULTS_LATE: &str = "results stored after they were due";

/// Text that precedes the peer's address in error messages.
const PEER_MARKER: &str = " with peer ";

/// Kinds of losses, as callers experience them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossKind {
    /// A complete response or result came, but late.
    Late,
    /// A request was refused without having run.
    Refused,
    /// A request or item failed, or it may have run but no complete response came.
    Failed,
    /// A run of a batch item ended early; the part of the item that is not done yet runs again.
    RunAgain,
}

impl LossKind {
    /// All kinds, in the order in which reports list them.
    pub const ALL: [Self; 4] = [Self::Late, Self::Refused, Self::Failed, Self::RunAgain];

    /// Returns the name of the kind in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::RunAgain => "run again",
        }
    }
}

/// One loss, or several losses that one log line reports together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loss {
    /// Kind of the loss.
    pub kind: LossKind,
    /// Why it happened, without the addresses of peers.
    pub reason: String,
    /// Backend server that the log line names; `None` if it names none.
    pub server: Option<ServerId>,
    /// Host whose process logged it.
    pub host: NodeId,
    /// Time of the log line after the clocks of the hosts were aligned, in milliseconds since the
    /// Unix epoch.
    pub unix_ms: i64,
    /// Number of requests or items, at least 1.
    pub count: u64,
}

/// The losses found in log lines, and the number of requests and results that were on time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CollectedLosses {
    /// Losses in the order of their log lines.
    pub losses: Vec<Loss>,
    /// Number of requests and results that were on time.
    pub on_time: u64,
    /// Time of the first log line, in milliseconds since the Unix epoch; 0 without lines.
    pub first_unix_ms: i64,
}

impl CollectedLosses {
    /// Collects the losses in `lines`, which must be sorted by time.
    pub fn from_lines(lines: &[LogLine]) -> Self {
        let mut collected = Self {
            first_unix_ms: lines.first().map_or(0, |line| line.unix_ms),
            ..Self::default()
        };
        let mut last_failures = LastFailures::default();
        for line in lines {
            last_failures.record(line);
            match classify_line(line, &last_failures) {
                Some(LineOutcome::OnTime(count)) => collected.on_time += count,
                Some(LineOutcome::Lost(loss)) => collected.losses.push(loss),
                None => {}
            }
        }
        collected
    }
}

/// Outcome of a request, or of results, as one log line reports it.
enum LineOutcome {
    OnTime(u64),
    Lost(Loss),
}

/// For each request, the reason of its last failed attempt or of the last time its stream was cut
/// off and resumed.
#[derive(Debug, Default)]
struct LastFailures {
    /// Pairs of request id and reason, sorted by id.
    reasons: Vec<(String, String)>,
}

impl LastFailures {
    fn record(&mut self, line: &LogLine) {
        if line.message != "attempt failed" && line.message != "stream resumed" {
            return;
        }
        let (Some(id), Some(reason)) = (line.text_field("request_id"), line.text_field("reason"))
        else {
            return;
        };
        let entry = (id.to_owned(), reason.to_owned());
        match self.position(id) {
            Ok(at) => self.reasons[at] = entry,
            Err(at) => self.reasons.insert(at, entry),
        }
    }

    fn reason_for(&self, line: &LogLine) -> Option<&str> {
        let at = self.position(line.text_field("request_id")?).ok()?;
        Some(&self.reasons[at].1)
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.reasons
            .binary_search_by(|(recorded_id, _)| recorded_id.as_str().cmp(id))
    }
}

fn classify_line(line: &LogLine, last_failures: &LastFailures) -> Option<LineOutcome> {
    let one_loss = |kind, reason| Some(LineOutcome::Lost(build_loss(line, kind, reason, 1)));
    match line.message.as_str() {
        "stream complete" | "request served" => match line.bool_field("on_time")? {
            true => Some(LineOutcome::OnTime(1)),
            false => one_loss(LossKind::Late, late_reason(line, last_failures)),
        },
        "results stored" => {
            let count = line.number_field("results")?;
            match line.bool_field("on_time")? {
                true => Some(LineOutcome::OnTime(count)),
                false => Some(LineOutcome::Lost(build_loss(
                    line,
                    LossKind::Late,
                    RESULTS_LATE.to_owned(),
                    count,
                ))),
            }
        }
        "request failed" => match line.bool_field("may_have_run") {
            Some(false) => one_loss(LossKind::Refused, stated_reason(line)),
            _ => one_loss(LossKind::Failed, stated_reason(line)),
        },
        "stream broken" | "item given up" => one_loss(LossKind::Failed, stated_reason(line)),
        "item run ended" => match line.text_field("end")? {
            // A run that is complete or never began loses nothing.
            "Whole" | "NotRun" => None,
            _ => one_loss(LossKind::RunAgain, stated_reason(line)),
        },
        message if message.starts_with("request refused") => {
            one_loss(LossKind::Refused, stated_reason(line))
        }
        _ => None,
    }
}

fn late_reason(line: &LogLine, last_failures: &LastFailures) -> String {
    if let Some(reason) = last_failures.reason_for(line) {
        return format!(
            "after an attempt that failed: {}",
            without_peer_address(reason)
        );
    }
    let had_no_free_slot = line
        .number_field("in_flight")
        .zip(line.number_field("slots"))
        .is_some_and(|(in_flight, slots)| in_flight >= slots);
    match had_no_free_slot {
        true => NO_FREE_SLOT.to_owned(),
        false => SLOW_SERVER_OR_NETWORK.to_owned(),
    }
}

/// Returns the reason that the log line states, or else its message.
fn stated_reason(line: &LogLine) -> String {
    without_peer_address(line.text_field("reason").unwrap_or(&line.message))
}

/// Removes the peer's address from `reason`, so that the same failure at several peers is counted
/// under one reason.
fn without_peer_address(reason: &str) -> String {
    let Some((before, address_and_cause)) = reason.split_once(PEER_MARKER) else {
        return reason.to_owned();
    };
    match address_and_cause.split_once(": ") {
        Some((_, cause)) => format!("{before}: {cause}"),
        None => before.to_owned(),
    }
}

fn build_loss(line: &LogLine, kind: LossKind, reason: String, count: u64) -> Loss {
    Loss {
        kind,
        reason,
        server: line.text_field("server").map(str::to_owned),
        host: line.node.clone(),
        unix_ms: line.unix_ms,
        count,
    }
}
