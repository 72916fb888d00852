//! The stand-ins of the review's cases, and the cases themselves. Needs only the standard library.
//!
//! `standins CASE RECORD` plays a case and writes what happened to the file RECORD. It exits with 1 if
//! the rule was broken, with 0 if it held, and with 2 if the case could not run. With the environment
//! variable `TROUBLE=0` it does the same without the disruption.

mod drained_replica;
mod fleet;
mod http;
mod jobs;
mod json;
mod late_admission;
mod replica;
mod store;
mod stuck_results;

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use fleet::Record;
use replica::Replica;

/// Longest time that a case may take.
const MAX_DURATION: Duration = Duration::from_secs(110);

/// What a case found.
pub enum Verdict {
    Held,
    /// Holds what was seen.
    Broken(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    if let ["replica", id, event_count, interval_ms, step_us] = args[..] {
        replica::run(Replica {
            id: id.to_owned(),
            event_count: event_count.parse().expect("number of events"),
            interval: Duration::from_millis(interval_ms.parse().expect("interval")),
            interval_step: Duration::from_micros(step_us.parse().expect("step")),
        });
    }
    let [case, path] = args[..] else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Record::create(path);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let watchdog = record.clone();
    thread::spawn(move || {
        thread::sleep(MAX_DURATION);
        watchdog.note("the case could not run: it took too long");
        // The processes that it started end with it.
        std::process::exit(2);
    });
    let play = || match case {
        "late-admission" => late_admission::run(record.clone(), has_trouble),
        "stuck-results" => stuck_results::run(record.clone(), has_trouble),
        "drained-replica" => drained_replica::run(record.clone(), has_trouble),
        _ => Err(format!("no case {case}")),
    };
    let played = catch_unwind(AssertUnwindSafe(play));
    let played = played.unwrap_or_else(|_| Err("the case itself failed".to_owned()));
    match played {
        Ok(Verdict::Held) => {
            record.note("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(seen)) => {
            record.note(format!("BROKEN: {seen}"));
            ExitCode::from(1)
        }
        Err(reason) => {
            record.note(format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
