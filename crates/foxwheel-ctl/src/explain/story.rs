//! The lines that tell what became of a request, item or job, and the cause among them.

use std::fmt::Write;

use crate::log_lines::Line;

/// How long before and after a request's own lines its surroundings are told.
const AROUND_MS: i64 = 2_500;

/// Messages of what a process believes or can do, told if they fall into the time of the
/// request on a host that handled it.
const SURROUNDINGS: [&str; 13] = [
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

/// Messages on a server, told if the request went there.
const OF_SERVERS: [&str; 4] = [
    "backend server suspected",
    "backend server changed",
    "backend server delisted",
    "backend servers gone",
];

/// Tells the story of `id`: its path in order of time and, last, its cause. None if no line
/// names it. `lines` must be sorted by time.
pub fn tell(id: &str, lines: &[Line]) -> Option<String> {
    let ids = related_ids(id, lines);
    let own: Vec<&Line> = lines.iter().filter(|line| names_any(line, &ids)).collect();
    let first = own.first()?;
    let last = own.last()?;
    let span = (first.unix_ms - AROUND_MS)..=(last.unix_ms + AROUND_MS);
    let nodes: Vec<&str> = own.iter().map(|line| line.node.as_str()).collect();
    let servers: Vec<&str> = own.iter().filter_map(|line| line.field("server")).collect();
    let told = lines
        .iter()
        .filter(|line| span.contains(&line.unix_ms))
        .filter(|line| {
            names_any(line, &ids)
                || is_surrounding(line, &nodes)
                || is_of_servers(line, &nodes, &servers)
        });
    let mut story = String::new();
    for line in told {
        let after_ms = line.unix_ms - first.unix_ms;
        let mark = if names_any(line, &ids) { ' ' } else { '|' };
        let fields = line.shown_fields();
        // Writing to a string cannot fail.
        let _ = writeln!(
            story,
            "{after_ms:>7} ms {mark} {:<22} {}  {fields}",
            line.node, line.message
        );
    }
    let cause = cause(&own, lines, &nodes);
    let _ = writeln!(story, "cause: {cause}");
    Some(story)
}

/// The id, and the job it belongs to if it is an item.
fn related_ids<'a>(id: &'a str, lines: &'a [Line]) -> Vec<&'a str> {
    let mut ids = vec![id];
    let of_item = lines.iter().filter(|line| line.has("request_id", id));
    if let Some(job) = of_item.filter_map(|line| line.field("job")).next() {
        ids.push(job);
    }
    ids
}

/// Whether the line is on the id itself, on the content of several requests that it stands for,
/// or on its job as a whole. Lines on other items of the job are left out.
fn names_any(line: &Line, ids: &[&str]) -> bool {
    let (id, job) = (ids[0], ids.get(1));
    if line.has("request_id", id) || line.has("content", id) {
        return true;
    }
    match job {
        // The id is an item's: of its job, only lines on no single item.
        Some(job) => {
            line.has("request_id", job)
                || (line.has("job", job) && line.field("request_id").is_none())
        }
        None => line.has("job", id),
    }
}

fn is_surrounding(line: &Line, nodes: &[&str]) -> bool {
    SURROUNDINGS.contains(&line.message.as_str()) && nodes.contains(&line.node.as_str())
}

fn is_of_servers(line: &Line, nodes: &[&str], servers: &[&str]) -> bool {
    OF_SERVERS.contains(&line.message.as_str())
        && nodes.contains(&line.node.as_str())
        && line
            .field("server")
            .is_some_and(|server| servers.contains(&server))
}

/// What the lines say of the cause, in one sentence.
fn cause(own: &[&Line], lines: &[Line], nodes: &[&str]) -> String {
    let failure = own.iter().rev().find(|line| line.level == "WARN");
    let Some(failure) = failure else {
        return match own.iter().rev().find(|line| line.message == "job adopted") {
            Some(adopted) => format!(
                "no failure; the job changed its worker, and unstored items ran again ({})",
                adopted.node
            ),
            None => "no failure: the lines tell of no refusal or loss".to_owned(),
        };
    };
    let mut text = failure.message.clone();
    for name in ["reason", "error"] {
        if let Some(reason) = failure.field(name) {
            let _ = write!(text, ": {reason}");
        }
    }
    if let Some(server) = failure.field("server") {
        let _ = write!(text, " (server {server})");
    }
    for (message, meaning) in [
        ("platform store lost", "the store was out of reach"),
        ("job adopted", "the job changed its worker"),
        ("job released", "its worker gave the job back"),
    ] {
        let near = |line: &&Line| (line.unix_ms - failure.unix_ms).abs() <= AROUND_MS;
        let found = lines
            .iter()
            .filter(|line| line.message == message && nodes.contains(&line.node.as_str()))
            .filter(|line| line.field("job").is_none() || own.contains(line))
            .find(near);
        if let Some(line) = found {
            let _ = write!(text, "; {meaning} ({})", line.node);
        }
    }
    text
}
