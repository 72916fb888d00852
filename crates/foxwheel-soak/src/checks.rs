//! The promises, checked against the evidence of a run.

use std::fmt;
use std::time::{Duration, Instant};

use foxwheel_server_emu::server::{event_data, event_text};
use serde_json::Value;

use crate::evidence::{Call, CallEnd, Evidence, Job, Kind, ServerRun};
use crate::front_client;
use crate::process::Ended;

/// After the last fault everything is served again within this.
pub const SERVED_AGAIN_WITHIN: Duration = Duration::from_secs(5);

/// A configuration is in force everywhere within this.
pub const CONFIG_WITHIN: Duration = Duration::from_secs(3);

/// A server that is to leave gets no new run after this.
pub const DRAINED_WITHIN: Duration = Duration::from_secs(2);

/// Nothing of an ended job starts after this.
pub const JOB_ENDED_WITHIN: Duration = Duration::from_secs(3);

/// Work for a caller that left stops within this.
pub const ABANDONED_WITHIN: Duration = Duration::from_secs(2);

/// Nothing of a request that was answered or whose caller left arrives after this.
pub const TAKEN_BACK_WITHIN: Duration = Duration::from_secs(1);

/// A request that crashed three servers is known everywhere within this.
pub const CRASHES_KNOWN_WITHIN: Duration = Duration::from_secs(3);

/// Servers that a request may crash before it is refused, and runs allowed after that.
const ENOUGH_CRASHES: usize = 3;

/// Most memory of a process: its share for control, and for a worker the results it keeps
/// for readers.
pub const MOST_MEMORY_BYTES: u64 = (32 + 16) << 20;

/// Most open files of a process.
pub const MOST_OPEN_FILES: usize = 512;

/// A promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Promise {
    /// An answer is that to its own request, whole and in order.
    OwnAnswer,
    /// What is said not to have run has not.
    NotRunIsTrue,
    /// A request runs as often as its route allows.
    RunsAllowed,
    /// An answer breaks only where a fault may have broken it.
    NotCut,
    /// When no fault is on, callers are served.
    Served,
    /// Each item of an accepted job has one result that stays.
    ItemsOnce,
    /// Nothing of an ended job starts.
    JobEnds,
    /// No more tokens wait than the quota allows.
    Quota,
    /// A server that is to leave gets nothing new.
    Drained,
    /// Work for a caller that left stops.
    Abandoned,
    /// A request that was answered or whose caller left reaches no server later.
    TakenBack,
    /// The newest configuration is in force and stays.
    ConfigInForce,
    /// A process that is asked to stop does, in time and cleanly.
    StopsInTime,
    /// A process ends only when told.
    StaysUp,
    /// Memory and open files stay bounded.
    Bounded,
    /// A request that crashes servers is not run on and on.
    CrashesEnd,
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// The promise.
    pub promise: Promise,
    /// The request, job or host it was broken to.
    pub subject: String,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}: {}", self.promise, self.subject, self.seen)
    }
}

/// Checks every promise.
pub fn check(evidence: &Evidence) -> Vec<Breach> {
    let mut found = Found::default();
    for call in &evidence.calls {
        check_answer(evidence, call, &mut found);
        check_runs(evidence, call, &mut found);
        check_end(evidence, call, &mut found);
        check_served(evidence, call, &mut found);
        check_taken_back(evidence, call, &mut found);
    }
    for job in &evidence.jobs {
        check_job(job, &mut found);
        check_job_end(evidence, job, &mut found);
        check_quota(evidence, job, &mut found);
    }
    check_leaving_servers(evidence, &mut found);
    check_crashes(evidence, &mut found);
    check_configs(evidence, &mut found);
    check_processes(evidence, &mut found);
    found.0
}

#[derive(Default)]
struct Found(Vec<Breach>);

impl Found {
    fn breach(&mut self, promise: Promise, subject: &str, seen: impl Into<String>) {
        self.0.push(Breach {
            promise,
            subject: subject.to_owned(),
            seen: seen.into(),
        });
    }
}

/// The body of a whole answer to a request.
pub fn whole_body(request: &str, events: u64) -> Vec<u8> {
    let events = (1..=events).map(|event| event_text(request, event));
    events.collect::<String>().into_bytes()
}

/// The output of an item that completed.
fn whole_output(item: &str, events: u64) -> String {
    let events: Vec<String> = (1..=events).map(|event| event_data(item, event)).collect();
    events.join("\n")
}

fn check_answer(evidence: &Evidence, call: &Call, found: &mut Found) {
    let expected = whole_body(&call.id, evidence.events);
    let wrong = match &call.end {
        CallEnd::Whole {
            status: 200, body, ..
        } => *body != expected,
        CallEnd::Broken { body, .. } => !expected.starts_with(body),
        _ => false,
    };
    if wrong {
        found.breach(Promise::OwnAnswer, &call.id, format!("{:?}", call.end));
    }
}

fn check_runs(evidence: &Evidence, call: &Call, found: &mut Found) {
    let runs = evidence.runs_of(&call.id).count();
    if runs > call.kind.most_runs() {
        let seen = format!("{runs} runs of a request of kind {:?}", call.kind);
        found.breach(Promise::RunsAllowed, &call.id, seen);
    }
    let says_not_run = matches!(call.end, CallEnd::Whole { not_run: true, .. });
    if says_not_run && runs > 0 {
        let seen = format!("{runs} runs of a request answered as not run");
        found.breach(Promise::NotRunIsTrue, &call.id, seen);
    }
}

fn check_end(evidence: &Evidence, call: &Call, found: &mut Found) {
    let mut runs = evidence.runs_of(&call.id);
    match &call.end {
        CallEnd::Broken { reused, .. } => {
            let excused = evidence.may_be_cut(call.front, call.sent_at, call.ended_at);
            // A connection that was idle may close just as a request is sent on it, and a
            // front that is stopping refuses new ones.
            let run = runs.next();
            let refused =
                *reused || evidence.has_refused(call.front, call.connected_at, call.ended_at);
            if !excused && (run.is_some() || !refused) {
                let server = run.map(|seen| seen.server.as_str());
                let (sent_ms, ended_ms) =
                    (evidence.at_ms(call.sent_at), evidence.at_ms(call.ended_at));
                let seen = format!(
                    "sent at {sent_ms} ms, broken at front {} at {ended_ms} ms with no fault; \
                     reused: {reused}; run by {server:?}",
                    call.front
                );
                found.breach(Promise::NotCut, &call.id, seen);
            }
        }
        CallEnd::Left { .. } => {
            let by = evidence.settled_by(call.ended_at, ABANDONED_WITHIN);
            if let Some(seen) = runs.find(|seen| goes_on_after(seen, by)) {
                let server = &seen.server;
                found.breach(
                    Promise::Abandoned,
                    &call.id,
                    format!("still run by {server}"),
                );
            }
        }
        CallEnd::Whole { .. } | CallEnd::NotSent => {}
    }
}

fn check_taken_back(evidence: &Evidence, call: &Call, found: &mut Found) {
    let by = call.ended_at + TAKEN_BACK_WITHIN;
    let mut arrivals = evidence.arrivals.iter();
    let late = arrivals.find(|one| one.arrival.request_id == call.id && one.arrival.at > by);
    let Some(late) = late else { return };
    if evidence.was_kept(call.front, call.sent_at, late.arrival.at) {
        return;
    }
    let seen = format!(
        "sent to front {} at {} ms, over at {} ms, reached {} at {} ms",
        call.front,
        evidence.at_ms(call.sent_at),
        evidence.at_ms(call.ended_at),
        late.server,
        evidence.at_ms(late.arrival.at)
    );
    found.breach(Promise::TakenBack, &call.id, seen);
}

fn goes_on_after(seen: &ServerRun, at: Instant) -> bool {
    seen.run.ended_at.is_none_or(|ended_at| ended_at > at)
}

fn check_served(evidence: &Evidence, call: &Call, found: &mut Found) {
    let quiet_from = call.sent_at.checked_sub(SERVED_AGAIN_WITHIN);
    let settled = quiet_from.is_some_and(|from| evidence.is_quiet(from, call.ended_at));
    let served = matches!(
        call.end,
        CallEnd::Whole { status: 200, .. } | CallEnd::Left { meant_to: true }
    );
    if settled && !served && call.kind != Kind::Crashing {
        let seen = format!("not served though nothing is wrong: {:?}", call.end);
        found.breach(Promise::Served, &call.id, seen);
    }
}

fn check_job(job: &Job, found: &mut Found) {
    if job.ended_at.is_some() {
        return;
    }
    let id_of = |result: &Value| result["id"].as_str().unwrap_or_default().to_owned();
    let mut ids: Vec<String> = job.results.iter().map(id_of).collect();
    ids.sort();
    let mut expected: Vec<String> = (0..job.count)
        .map(|at| front_client::item_id(&job.id, at))
        .collect();
    expected.sort();
    if ids != expected {
        let seen = format!("{} results of {} items: {ids:?}", ids.len(), job.count);
        found.breach(Promise::ItemsOnce, &job.id, seen);
    }
    if job.read_again.as_ref() != Some(&job.results) {
        let seen = "its results changed between two reads, or could not be read again";
        found.breach(Promise::ItemsOnce, &job.id, seen);
    }
}

/// Checks what needs the servers' view of a job: outputs, and that an ended job rests.
fn check_job_end(evidence: &Evidence, job: &Job, found: &mut Found) {
    for result in &job.results {
        let id = result["id"].as_str().unwrap_or_default();
        let completed = result["state"] == "completed";
        if completed && result["output"] != whole_output(id, evidence.events) {
            found.breach(Promise::OwnAnswer, id, format!("its output is {result}"));
        }
    }
    let Some(ended_at) = job.ended_at else { return };
    let by = evidence.settled_by(ended_at, JOB_ENDED_WITHIN);
    let prefix = front_client::item_id(&job.id, 0);
    let prefix = prefix.trim_end_matches('0');
    let of_job = |seen: &&ServerRun| seen.run.request_id.starts_with(prefix);
    let late = evidence.runs.iter().filter(of_job);
    if let Some(seen) = late.into_iter().find(|seen| seen.run.started_at > by) {
        let item = &seen.run.request_id;
        found.breach(
            Promise::JobEnds,
            &job.id,
            format!("{item} started after it"),
        );
    }
}

/// Counts only what certainly waited while `job` was admitted: items of jobs accepted before
/// it was submitted that first began after it was accepted. A job whose end was asked for
/// does not count, though an item of it may still begin.
fn check_quota(evidence: &Evidence, job: &Job, found: &mut Found) {
    let waited_throughout = |item: &str| {
        let starts = evidence.runs_of(item).map(|seen| seen.run.started_at);
        starts.min().is_some_and(|first| first > job.accepted_at)
    };
    let was_ended = |other: &Job| other.ended_at.is_some_and(|at| at < job.accepted_at);
    let before = evidence
        .jobs
        .iter()
        .filter(|other| other.accepted_at < job.submitted_at && !was_ended(other));
    let items =
        before.flat_map(|other| (0..other.count).map(|at| front_client::item_id(&other.id, at)));
    let waiting = items.filter(|item| waited_throughout(item)).count() + job.count;
    let waiting_tokens = waiting as u64 * front_client::ITEM_TOKENS;
    if evidence.quota_tokens > 0 && waiting_tokens > evidence.quota_tokens {
        let seen = format!("{waiting_tokens} tokens waited when it was accepted");
        found.breach(Promise::Quota, &job.id, seen);
    }
}

fn check_leaving_servers(evidence: &Evidence, found: &mut Found) {
    for seen in &evidence.runs {
        let Some(since) = seen.leaving_since else {
            continue;
        };
        if seen.run.started_at > evidence.settled_by(since, DRAINED_WITHIN) {
            let late_ms = seen.run.started_at.duration_since(since).as_millis();
            let seen_there = format!(
                "began at {} {late_ms} ms after it was to leave",
                seen.server
            );
            found.breach(Promise::Drained, &seen.run.request_id, seen_there);
        }
    }
}

fn check_crashes(evidence: &Evidence, found: &mut Found) {
    let calls = evidence.calls.iter();
    let crashing: Vec<&Call> = calls.filter(|call| call.kind == Kind::Crashing).collect();
    let runs = crashing.iter().flat_map(|call| evidence.runs_of(&call.id));
    let mut starts: Vec<Instant> = runs.map(|seen| seen.run.started_at).collect();
    starts.sort();
    let Some(third) = starts.get(ENOUGH_CRASHES - 1) else {
        return;
    };
    let by = evidence.settled_by(*third, CRASHES_KNOWN_WITHIN);
    let after = starts.iter().filter(|at| **at > by).count();
    if after > ENOUGH_CRASHES {
        let seen = format!("{after} more runs; {} in all", starts.len());
        found.breach(Promise::CrashesEnd, &crashing[0].id, seen);
    }
}

fn check_configs(evidence: &Evidence, found: &mut Found) {
    for (at, config) in evidence.configs.iter().enumerate() {
        let replaced_at = evidence.configs.get(at + 1).map(|next| next.at);
        let by = evidence.settled_by(config.at, CONFIG_WITHIN);
        let of_version = |probe: &&crate::evidence::ConfigProbe| {
            probe.version == config.version && replaced_at.is_none_or(|until| probe.at < until)
        };
        for probe in evidence.probes.iter().filter(of_version) {
            if probe.routed || probe.at <= by {
                continue;
            }
            let late_ms = probe.at.duration_since(config.at).as_millis();
            let subject = format!("version {}", config.version);
            let seen = format!("not in force at front {} after {late_ms} ms", probe.front);
            found.breach(Promise::ConfigInForce, &subject, seen);
        }
    }
}

fn check_processes(evidence: &Evidence, found: &mut Found) {
    for stop in &evidence.stops {
        if stop.ended != Some(Ended::Exit(0)) {
            found.breach(
                Promise::StopsInTime,
                &stop.host,
                format!("{:?}", stop.ended),
            );
        }
    }
    for (host, ended) in &evidence.unasked_ends {
        found.breach(Promise::StaysUp, host, format!("{ended:?}"));
    }
    for (host, held) in &evidence.resources {
        if held.memory_bytes > MOST_MEMORY_BYTES || held.open_files > MOST_OPEN_FILES {
            found.breach(Promise::Bounded, host, format!("{held:?}"));
        }
    }
}
