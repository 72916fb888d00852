//! Shows losses as a text summary and as a plot.

use std::fmt::Write;
use std::path::Path;

use foxwheel_plot::{Line, PlotError};

use crate::losses::collection::{CollectedLosses, Loss, LossKind};

/// Largest number of servers, hosts and seconds listed for each kind; those with the most losses
/// come first.
const MAX_ROWS: usize = 8;

/// Listed in place of a server for losses that name none.
const NO_SERVER: &str = "(none)";

/// Returns the summary as text: for each kind of loss the total, all reasons, and the servers,
/// hosts and seconds with the most losses.
pub fn format_summary(collected: &CollectedLosses) -> String {
    let lost: u64 = collected.losses.iter().map(|loss| loss.count).sum();
    let mut text = format!("on time {}, lost or run again {lost}\n", collected.on_time);
    for kind in LossKind::ALL {
        let losses: Vec<&Loss> = losses_of_kind(collected, kind).collect();
        if losses.is_empty() {
            continue;
        }
        let total: u64 = losses.iter().map(|loss| loss.count).sum();
        // Writing to a string cannot fail.
        let _ = writeln!(text, "\n{}: {total}", kind.name());
        let reasons = count_by(&losses, |loss| loss.reason.clone());
        write_counts(&mut text, "by reason", &reasons, reasons.len());
        let server = |loss: &Loss| loss.server.clone().unwrap_or(NO_SERVER.to_owned());
        write_counts(&mut text, "by server", &count_by(&losses, server), MAX_ROWS);
        let host = |loss: &Loss| loss.host.clone();
        write_counts(&mut text, "by host", &count_by(&losses, host), MAX_ROWS);
        let second = |loss: &Loss| second_of_loss(collected, loss);
        let seconds = count_by(&losses, |loss| format!("{} s", second(loss)));
        write_counts(&mut text, "by second", &seconds, MAX_ROWS);
    }
    text
}

/// Plots the losses of each second into an SVG file, with one line for each kind that occurs.
/// Fails if the file cannot be written.
pub fn plot_losses(collected: &CollectedLosses, path: &Path) -> Result<(), PlotError> {
    let lines = LossKind::ALL.into_iter().filter_map(|kind| {
        let points = losses_per_second(collected, kind);
        (!points.is_empty()).then(|| Line {
            label: kind.name().to_owned(),
            points,
        })
    });
    foxwheel_plot::draw_line_plot(
        path,
        "late, refused, failed and run again, per second",
        "seconds from the first line",
        lines.collect(),
    )
}

/// Returns the points of the plot, (second, number of losses), for every second up to the last
/// loss of the kind; empty if there is none.
fn losses_per_second(collected: &CollectedLosses, kind: LossKind) -> Vec<(f64, f64)> {
    let mut counts: Vec<u64> = Vec::new();
    for loss in losses_of_kind(collected, kind) {
        let second = second_of_loss(collected, loss) as usize;
        if counts.len() <= second {
            counts.resize(second + 1, 0);
        }
        counts[second] += loss.count;
    }
    let points = counts.into_iter().enumerate();
    points
        .map(|(second, count)| (second as f64, count as f64))
        .collect()
}

fn losses_of_kind(collected: &CollectedLosses, kind: LossKind) -> impl Iterator<Item = &Loss> {
    collected
        .losses
        .iter()
        .filter(move |loss| loss.kind == kind)
}

/// Returns in which second after the first log line the loss was logged, counted from 0.
fn second_of_loss(collected: &CollectedLosses, loss: &Loss) -> u64 {
    (loss.unix_ms - collected.first_unix_ms).max(0) as u64 / 1_000
}

/// Groups the losses by `key` and returns the number in each group, the largest first.
fn count_by(losses: &[&Loss], key: impl Fn(&Loss) -> String) -> Vec<(String, u64)> {
    let mut counts: Vec<(String, u64)> = Vec::new();
    for loss in losses {
        let key = key(loss);
        match counts.binary_search_by(|(known, _)| known.cmp(&key)) {
            Ok(at) => counts[at].1 += loss.count,
            Err(at) => counts.insert(at, (key, loss.count)),
        }
    }
    // The sort is stable: groups of equal size stay sorted by key.
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    counts
}

fn write_counts(text: &mut String, title: &str, counts: &[(String, u64)], max_rows: usize) {
    let _ = writeln!(text, "  {title}");
    for (key, count) in counts.iter().take(max_rows) {
        let _ = writeln!(text, "    {count:>7}  {key}");
    }
    let rest = counts.len().saturating_sub(max_rows);
    if rest > 0 {
        let _ = writeln!(text, "             and {rest} more");
    }
}
