//! Corrects the times of log lines for hosts whose clocks differ.

use crate::log_lines::LogLine;

/// Pairs of events of the same job that can only happen in this order: message of the earlier
/// event, its field that holds the job's id, and message of the later event, whose field `job`
/// holds it.
const ORDERED_MESSAGES: [(&str, &str, &str); 3] = [
    ("job accepted", "request_id", "job taken"),
    ("job accepted", "request_id", "job adopted"),
    ("job ended by its caller", "request_id", "job ended"),
];

/// Corrects the times of hosts whose clocks lag, then sorts the lines by time.
///
/// A host lags if one of its lines has an earlier time than a line of another host that must
/// precede it (see `ORDERED_MESSAGES`). Its lines are all moved to later times by the largest
/// such difference, so that they keep their order.
pub fn align_clocks(lines: &mut [LogLine]) {
    let mut shifts: Vec<(String, i64)> = Vec::new();
    for line in lines.iter() {
        let Some(lag_ms) = clock_lag_ms(line, lines) else {
            continue;
        };
        match shifts.binary_search_by(|(node, _)| node.cmp(&line.node)) {
            Ok(at) => shifts[at].1 = shifts[at].1.max(lag_ms),
            Err(at) => shifts.insert(at, (line.node.clone(), lag_ms)),
        }
    }
    for line in lines.iter_mut() {
        let found = shifts.binary_search_by(|(node, _)| node.cmp(&line.node));
        if let Ok(at) = found {
            line.unix_ms += shifts[at].1;
        }
    }
    lines.sort_by_key(|line| line.unix_ms);
}

/// Returns by how many milliseconds `line` has an earlier time than the line of another host that
/// must precede it; `None` if there is no such line or the order is right.
fn clock_lag_ms(line: &LogLine, lines: &[LogLine]) -> Option<i64> {
    let job = line.text_field("job")?;
    let (earlier, id_field, _) = ORDERED_MESSAGES
        .iter()
        .find(|(_, _, later)| *later == line.message)?;
    let before = lines
        .iter()
        .filter(|other| other.message == *earlier && other.node != line.node)
        .find(|other| other.field_equals(id_field, job))?;
    let lag_ms = before.unix_ms - line.unix_ms;
    (lag_ms > 0).then_some(lag_ms)
}
