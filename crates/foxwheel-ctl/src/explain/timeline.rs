//! Selects the log lines about a request, item or job and derives the cause of its failure.

use std::fmt::Write;

use crate::log_lines::LogLine;

/// How long before the first and after the last line of a request other events on its hosts are
/// shown, in milliseconds. It is also the largest distance of an event that is named as part of
/// the cause.
const CONTEXT_MARGIN_MS: i64 = 2_500;

/// Messages about the state of a whole process. They are shown if a host that handled the request
/// logged them during it.
const HOST_MESSAGES: [&str; 13] = [
    "process started",
    "readiness changed",
    "front stopped",
    "worker stopped",
    "reload asked for",
    "platform store lost",
    "platform store regained",
    "configuration in force",
    "configuration refused, the one before stays",
    "state asked of a peer",
    "asked to retire",
    "job released",
    "log lines dropped",
];

/// Messages about a backend server. They are shown if the request was sent to that server.
const SERVER_MESSAGES: [&str; 5] = [
    "backend server suspected",
    "backend server sends again",
    "backend server changed",
    "backend server delisted",
    "backend servers gone",
];

/// Returns the timeline of `id` as text: one line for each event in order of time and, last, the
/// cause. Events of the host or of a server are marked with `|`. Returns `None` if no line names
/// `id`. `lines` must be sorted by time.
pub fn format_timeline(id: &str, lines: &[LogLine]) -> Option<String> {
    let ids = related_ids(id, lines);
    let request_lines: Vec<&LogLine> = lines
        .iter()
        .filter(|line| concerns_request(line, &ids))
        .collect();
    let first = request_lines.first()?;
    let last = request_lines.last()?;
    let span = (first.unix_ms - CONTEXT_MARGIN_MS)..=(last.unix_ms + CONTEXT_MARGIN_MS);
    let hosts: Vec<&str> = request_lines
        .iter()
        .map(|line| line.node.as_str())
        .collect();
    let servers: Vec<&str> = request_lines
        .iter()
        .filter_map(|line| line.text_field("server"))
        .collect();
    let shown = lines
        .iter()
        .filter(|line| span.contains(&line.unix_ms))
        .filter(|line| {
            concerns_request(line, &ids)
                || is_host_message(line, &hosts)
                || is_server_message(line, &hosts, &servers)
        });
    let mut timeline = String::new();
    for line in shown {
        let after_ms = line.unix_ms - first.unix_ms;
        let mark = if concerns_request(line, &ids) {
            ' '
        } else {
            '|'
        };
        let fields = line.format_fields();
        // Writing to a string cannot fail.
        let _ = writeln!(
            timeline,
            "{after_ms:>7} ms {mark} {:<22} {}  {fields}",
            line.node, line.message
        );
    }
    let cause = describe_cause(&request_lines, lines, &hosts);
    let _ = writeln!(timeline, "cause: {cause}");
    Some(timeline)
}

/// Returns `id`, followed by its job's id if `id` is an item.
fn related_ids<'a>(id: &'a str, lines: &'a [LogLine]) -> Vec<&'a str> {
    let mut ids = vec![id];
    let item_lines = lines
        .iter()
        .filter(|line| line.field_equals("request_id", id));
    if let Some(job) = item_lines.filter_map(|line| line.text_field("job")).next() {
        ids.push(job);
    }
    ids
}

/// Returns whether the line is about the id itself, about requests whose content has this id, or
/// about the job as a whole. Lines about other items of the job are left out.
fn concerns_request(line: &LogLine, ids: &[&str]) -> bool {
    let (id, job) = (ids[0], ids.get(1));
    if line.field_equals("request_id", id) || line.field_equals("content", id) {
        return true;
    }
    match job {
        // `id` is an item: of the lines of its job, only those that name no item count.
        Some(job) => {
            line.field_equals("request_id", job)
                || (line.field_equals("job", job) && line.text_field("request_id").is_none())
        }
        None => line.field_equals("job", id),
    }
}

fn is_host_message(line: &LogLine, hosts: &[&str]) -> bool {
    HOST_MESSAGES.contains(&line.message.as_str()) && hosts.contains(&line.node.as_str())
}

fn is_server_message(line: &LogLine, hosts: &[&str], servers: &[&str]) -> bool {
    SERVER_MESSAGES.contains(&line.message.as_str())
        && hosts.contains(&line.node.as_str())
        && line
            .text_field("server")
            .is_some_and(|server| servers.contains(&server))
}

/// Describes the cause in one sentence: the last warning of the request, with the events on its
/// hosts at about the same time that can explain it.
fn describe_cause(request_lines: &[&LogLine], lines: &[LogLine], hosts: &[&str]) -> String {
    let failure = request_lines.iter().rev().find(|line| line.level == "WARN");
    let Some(failure) = failure else {
        return match request_lines
            .iter()
            .rev()
            .find(|line| line.message == "job adopted")
        {
            Some(adopted) => format!(
                "no failure; the job changed its worker, and unstored items ran again ({})",
                adopted.node
            ),
            None => "no failure: the lines tell of no refusal or loss".to_owned(),
        };
    };
    let mut text = failure.message.clone();
    for name in ["reason", "error"] {
        if let Some(reason) = failure.text_field(name) {
            let _ = write!(text, ": {reason}");
        }
    }
    if let Some(server) = failure.text_field("server") {
        let _ = write!(text, " (server {server})");
    }
    for (message, explanation) in [
        ("platform store lost", "the store was out of reach"),
        ("job adopted", "the job changed its worker"),
        ("job released", "its worker gave the job back"),
    ] {
        let is_near = |line: &&LogLine| (line.unix_ms - failure.unix_ms).abs() <= CONTEXT_MARGIN_MS;
        let found = lines
            .iter()
            .filter(|line| line.message == message && hosts.contains(&line.node.as_str()))
            .filter(|line| line.text_field("job").is_none() || request_lines.contains(line))
            .find(is_near);
        if let Some(line) = found {
            let _ = write!(text, "; {explanation} ({})", line.node);
        }
    }
    text
}
