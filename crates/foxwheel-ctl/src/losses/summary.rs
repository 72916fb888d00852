//! Sums of losses as text and as a plot.

use std::fmt::Write;
use std::path::Path;

use foxwheel_plot::{Line, PlotError};

use crate::losses::account::{Account, Loss, LossKind};

/// Servers, hosts and seconds shown for each kind: those with the most losses.
const MOST_SHOWN: usize = 8;

/// Shown where no server was concerned.
const NO_SERVER: &str = "(none)";

/// The account as text: for each kind of loss its sum, then its reasons, and the servers,
/// hosts and seconds with most of it.
pub fn text(account: &Account) -> String {
    let lost: u64 = account.losses.iter().map(|loss| loss.count).sum();
    let mut text = format!("on time {}, lost or run again {lost}\n", account.on_time);
    for kind in LossKind::ALL {
        let losses: Vec<&Loss> = of_kind(account, kind).collect();
        if losses.is_empty() {
            continue;
        }
        let sum: u64 = losses.iter().map(|loss| loss.count).sum();
        // Writing to a string cannot fail.
        let _ = writeln!(text, "\n{}: {sum}", kind.name());
        let reasons = sums(&losses, |loss| loss.reason.clone());
        write_sums(&mut text, "by reason", &reasons, reasons.len());
        let server = |loss: &Loss| loss.server.clone().unwrap_or(NO_SERVER.to_owned());
        write_sums(&mut text, "by server", &sums(&losses, server), MOST_SHOWN);
        let host = |loss: &Loss| loss.host.clone();
        write_sums(&mut text, "by host", &sums(&losses, host), MOST_SHOWN);
        let second = |loss: &Loss| second_of(account, loss);
        let seconds = sums(&losses, |loss| format!("{} s", second(loss)));
        write_sums(&mut text, "by second", &seconds, MOST_SHOWN);
    }
    text
}

/// Draws losses for each second into an SVG file, a line for each kind that occurs.
pub fn draw(account: &Account, path: &Path) -> Result<(), PlotError> {
    let lines = LossKind::ALL.into_iter().filter_map(|kind| {
        let points = per_second(account, kind);
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

/// Losses of a kind for each second up to the last one; empty if there are none.
fn per_second(account: &Account, kind: LossKind) -> Vec<(f64, f64)> {
    let mut counts: Vec<u64> = Vec::new();
    for loss in of_kind(account, kind) {
        let second = second_of(account, loss) as usize;
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

fn of_kind(account: &Account, kind: LossKind) -> impl Iterator<Item = &Loss> {
    account.losses.iter().filter(move |loss| loss.kind == kind)
}

/// The second of a loss, counted from the first line.
fn second_of(account: &Account, loss: &Loss) -> u64 {
    (loss.unix_ms - account.first_unix_ms).max(0) as u64 / 1_000
}

/// Counts by what `key` gives, the largest first.
fn sums(losses: &[&Loss], key: impl Fn(&Loss) -> String) -> Vec<(String, u64)> {
    let mut sums: Vec<(String, u64)> = Vec::new();
    for loss in losses {
        let key = key(loss);
        match sums.binary_search_by(|(known, _)| known.cmp(&key)) {
            Ok(at) => sums[at].1 += loss.count,
            Err(at) => sums.insert(at, (key, loss.count)),
        }
    }
    // Stable: equal counts stay in the order of their keys.
    sums.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    sums
}

fn write_sums(text: &mut String, title: &str, sums: &[(String, u64)], most: usize) {
    let _ = writeln!(text, "  {title}");
    for (key, count) in sums.iter().take(most) {
        let _ = writeln!(text, "    {count:>7}  {key}");
    }
    let rest = sums.len().saturating_sub(most);
    if rest > 0 {
        let _ = writeln!(text, "             and {rest} more");
    }
}
