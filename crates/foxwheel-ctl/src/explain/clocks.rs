//! Making up for hosts whose clocks differ.

use crate::log_lines::Line;

/// Messages of which the first comes before the second wherever both name the same job.
const ORDERED: [(&str, &str, &str); 3] = [
    ("job accepted", "request_id", "job taken"),
    ("job accepted", "request_id", "job adopted"),
    ("job ended by its caller", "request_id", "job ended"),
];

/// Shifts the times of hosts whose lines come before what must have come first elsewhere,
/// by as little as is needed, and sorts the lines by time. Lines of one host keep their
/// order.
pub fn align(lines: &mut [Line]) {
    let mut shifts: Vec<(String, i64)> = Vec::new();
    for line in lines.iter() {
        let Some(early_by_ms) = early_by_ms(line, lines) else {
            continue;
        };
        match shifts.binary_search_by(|(node, _)| node.cmp(&line.node)) {
            Ok(at) => shifts[at].1 = shifts[at].1.max(early_by_ms),
            Err(at) => shifts.insert(at, (line.node.clone(), early_by_ms)),
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

/// By how much `line` comes before a line of another host that must precede it.
fn early_by_ms(line: &Line, lines: &[Line]) -> Option<i64> {
    let job = line.field("job")?;
    let (first, id_field, _) = ORDERED.iter().find(|(_, _, then)| *then == line.message)?;
    let before = lines
        .iter()
        .filter(|other| other.message == *first && other.node != line.node)
        .find(|other| other.has(id_field, job))?;
    let early_by_ms = before.unix_ms - line.unix_ms;
    (early_by_ms > 0).then_some(early_by_ms)
}
