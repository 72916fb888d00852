//! Checks what fronts and workers promise against the evidence of a soak run.

use std::fmt;
use std::time::{Duration, Instant};

use foxwheel_server_emu::server::{event_data, versioned_event_text};
use serde_json::Value;

use crate::evidence::{Call, CallEnd, Evidence, Job, RefusedJob, RequestKind, ServerRun};
use crate::front_client;
use crate::process::ProcessExit;
use crate::store_entries;

/// Time after the end of the last fault in which all calls must be served again.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Time in which a configuration must be in force at every front.
pub const CONFIG_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which a server that was listed as draining or removed must get no new run.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after the end of a job was confirmed after which none of its items may start.
pub const JOB_END_TIMEOUT: Duration = Duration::from_secs(3);

/// Time in which work for a caller that disconnected must stop.
pub const ABANDON_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after the end of a call, by a response or because its caller disconnected, after which its
/// request must not arrive at a server.
pub const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time in which every process must know of a request that crashed three servers.
pub const CRASH_PROPAGATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of resumed streams from which on it shows whether they go on.
const MIN_RESUMED_STREAMS: usize = 12;

/// Number of servers that a request may crash before it is refused, and number of runs that are
/// still allowed after that.
const MAX_CRASHES: usize = 3;

/// Memory that a process may use: 32 MiB for its control part and 16 MiB for the results that a
/// worker keeps for readers.
pub const MAX_MEMORY_BYTES: u64 = (32 + 16) << 20;

/// Number of files, including sockets, that a process may have open.
pub const MAX_OPEN_FILES: usize = 512;

/// What fronts and workers promise. Reports name the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Promise {
    /// A response belongs to its own request, and is complete and in order.
    OwnAnswer,
    /// A stream, over all requests that resume it, and the output of an item come from one version of
    /// the servers.
    OneVersion,
    /// Most streams that callers resume go on.
    StreamsGoOn,
    /// A request or job that a response declares as not run was not run.
    NotRunIsTrue,
    /// A request runs at most as often as its route allows.
    RunsAllowed,
    /// A response is only cut off or left out if a fault can explain it.
    NotCut,
    /// While no fault is active, callers are served.
    Served,
    /// Each item of an accepted job has exactly one result, and results that were read do not
    /// change.
    ItemsOnce,
    /// No item of an ended job starts.
    JobEnds,
    /// The tokens that wait on a route do not exceed its quota.
    Quota,
    /// A server that is draining or removed gets no new run.
    Drained,
    /// Work for a caller that disconnected stops.
    Abandoned,
    /// A request does not arrive at a server after its call has ended.
    TakenBack,
    /// The newest configuration comes into force at every front and stays in force.
    ConfigInForce,
    /// A process that is asked to stop exits within its grace and with code 0.
    StopsInTime,
    /// A process only ends when it is asked to.
    StaysUp,
    /// Memory and open files of a process stay within their limits.
    Bounded,
    /// A request that crashes servers is refused after a limited number of runs.
    CrashesEnd,
}

/// A promise that was not kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// Which promise.
    pub promise: Promise,
    /// Id of the request or job, host of the process, or version of the configuration that the
    /// promise was not kept for.
    pub subject: String,
    /// The observation that contradicts the promise.
    pub seen: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}: {}", self.promise, self.subject, self.seen)
    }
}

/// Checks all promises and returns those that were not kept.
pub fn find_breaches(evidence: &Evidence) -> Vec<Breach> {
    let mut findings = Findings::default();
    for call in &evidence.calls {
        check_response(evidence, call, &mut findings);
        check_runs(evidence, call, &mut findings);
        check_call_end(evidence, call, &mut findings);
        check_served(evidence, call, &mut findings);
        check_late_arrivals(evidence, call, &mut findings);
    }
    for job in &evidence.jobs {
        check_job_results(job, &mut findings);
        check_outputs_and_job_end(evidence, job, &mut findings);
        check_quota(evidence, job, &mut findings);
    }
    for job in &evidence.refused_jobs {
        check_refused_job(evidence, job, &mut findings);
    }
    check_resumed_streams(evidence, &mut findings);
    check_leaving_servers(evidence, &mut findings);
    check_crashes(evidence, &mut findings);
    check_configurations(evidence, &mut findings);
    check_processes(evidence, &mut findings);
    findings.0
}

#[derive(Default)]
struct Findings(Vec<Breach>);

impl Findings {
    fn add(&mut self, promise: Promise, subject: &str, seen: impl Into<String>) {
        self.0.push(Breach {
            promise,
            subject: subject.to_owned(),
            seen: seen.into(),
        });
    }
}

/// Returns the events `first` to `last` of the response to `request` by servers of `version`.
pub fn expected_events(request: &str, first: u64, last: u64, version: &str) -> Vec<u8> {
    let events = (first..=last).map(|event| versioned_event_text(request, event, version));
    events.collect::<String>().into_bytes()
}

/// Returns the output of a completed item.
fn expected_output(item: &str, events: u64, version: &str) -> String {
    let data = |event| format!("{} by {version}", event_data(item, event));
    let events: Vec<String> = (1..=events).map(data).collect();
    events.join("\n")
}

/// Returns the promise that `received` breaks; `None` if it is what servers of one version write.
/// `expected` returns that, and `is_right` compares it with what was received.
fn broken_by(
    received: &[u8],
    expected: impl Fn(&str) -> Vec<u8>,
    is_right: impl Fn(&[u8], &[u8]) -> bool,
) -> Option<Promise> {
    let versions = store_entries::VERSIONS;
    if versions.iter().any(|it| is_right(&expected(it), received)) {
        return None;
    }
    let as_one_version = |bytes: &[u8]| {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let [first, second] = versions.map(|version| format!(" by {version}\n"));
        text.replace(&second, &first).into_bytes()
    };
    let expected = as_one_version(&expected(versions[0]));
    match is_right(&expected, &as_one_version(received)) {
        true => Some(Promise::OneVersion),
        false => Some(Promise::OwnAnswer),
    }
}

fn check_response(evidence: &Evidence, call: &Call, findings: &mut Findings) {
    let first = call.resumed.as_ref().map_or(1, |it| it.last_event + 1);
    let version = call.resumed.as_ref().map(|it| it.version);
    let expected = |it: &str| {
        let version = version.unwrap_or(it);
        expected_events(&call.id, first, evidence.event_count, version)
    };
    let broken = match &call.end {
        CallEnd::Whole {
            status: 200, body, ..
        } => broken_by(body, expected, |expected, received| expected == received),
        CallEnd::Broken { body, .. } => broken_by(body, expected, |expected, received| {
            expected.starts_with(received)
        }),
        _ => None,
    };
    if let Some(promise) = broken {
        let seen = format!("{:?} of {:?}", call.end, call.resumed);
        findings.add(promise, &call.id, seen);
    }
}

fn check_resumed_streams(evidence: &Evidence, findings: &mut Findings) {
    let resumed = evidence.calls.iter().filter(|call| {
        let from = call.sent_at.checked_sub(RECOVERY_TIMEOUT);
        let is_calm = from.is_some_and(|from| evidence.is_fault_free(from, call.ended_at));
        call.resumed.is_some() && is_calm
    });
    let resumed: Vec<&Call> = resumed.collect();
    let goes_on = |call: &&&Call| matches!(call.end, CallEnd::Whole { status: 200, .. });
    let going_on = resumed.iter().filter(goes_on).count();
    if resumed.len() >= MIN_RESUMED_STREAMS && 2 * going_on < resumed.len() {
        let seen = format!("{going_on} of {} resumed streams went on", resumed.len());
        findings.add(Promise::StreamsGoOn, &resumed[0].id, seen);
    }
}

fn check_runs(evidence: &Evidence, call: &Call, findings: &mut Findings) {
    let runs = evidence.runs_of_request(&call.id).count();
    if runs > call.kind.max_runs() {
        let seen = format!("{runs} runs of a request of kind {:?}", call.kind);
        findings.add(Promise::RunsAllowed, &call.id, seen);
    }
    let says_not_run = matches!(call.end, CallEnd::Whole { not_run: true, .. });
    if says_not_run && runs > 0 {
        let seen = format!("{runs} runs of a request answered as not run");
        findings.add(Promise::NotRunIsTrue, &call.id, seen);
    }
}

fn check_refused_job(evidence: &Evidence, job: &RefusedJob, findings: &mut Findings) {
    let items = (0..job.item_count).map(|at| front_client::item_id(&job.id, at));
    let runs: usize = items
        .map(|item| evidence.runs_of_request(&item).count())
        .sum();
    if runs > 0 {
        let seen = format!("{runs} runs of items of a job that was refused at each attempt");
        findings.add(Promise::NotRunIsTrue, &job.id, seen);
    }
}

fn check_call_end(evidence: &Evidence, call: &Call, findings: &mut Findings) {
    let mut runs = evidence.runs_of_request(&call.id);
    match &call.end {
        CallEnd::Broken { reused, .. } => {
            let is_excused = evidence.may_be_cut_off(call.front, call.sent_at, call.ended_at);
            // Two failures need no fault as explanation if the request was not run: a kept
            // connection may be closed just as a request is sent on it, and a stopping front
            // refuses new connections.
            let run = runs.next();
            let may_fail_without_fault = *reused
                || evidence.has_refused_connection(call.front, call.connected_at, call.ended_at);
            if !is_excused && (run.is_some() || !may_fail_without_fault) {
                let server = run.map(|server_run| server_run.server.as_str());
                let (sent_ms, ended_ms) = (
                    evidence.elapsed_ms(call.sent_at),
                    evidence.elapsed_ms(call.ended_at),
                );
                let seen = format!(
                    "sent at {sent_ms} ms, broken at front {} at {ended_ms} ms with no fault; \
                     reused: {reused}; run by {server:?}",
                    call.front
                );
                findings.add(Promise::NotCut, &call.id, seen);
            }
        }
        CallEnd::Left { meant_to } => {
            let is_excused = evidence.may_be_cut_off(call.front, call.sent_at, call.ended_at);
            if !meant_to && !is_excused {
                let seen = format!("no complete response from front {} in time", call.front);
                findings.add(Promise::NotCut, &call.id, seen);
            }
            let deadline = evidence.deadline_after_faults(call.ended_at, ABANDON_TIMEOUT);
            if let Some(server_run) = runs.find(|server_run| is_running_after(server_run, deadline))
            {
                let server = &server_run.server;
                findings.add(
                    Promise::Abandoned,
                    &call.id,
                    format!("still run by {server}"),
                );
            }
        }
        CallEnd::Whole { .. } | CallEnd::NotSent => {}
    }
}

fn check_late_arrivals(evidence: &Evidence, call: &Call, findings: &mut Findings) {
    let deadline = call.ended_at + WITHDRAWAL_TIMEOUT;
    let mut arrivals = evidence.arrivals.iter();
    let late_arrival = arrivals
        .find(|seen| seen.arrival.request_id == call.id && seen.arrival.received_at > deadline);
    let Some(late) = late_arrival else { return };
    if evidence.had_front_fault(call.front, call.sent_at, late.arrival.received_at) {
        return;
    }
    let seen = format!(
        "sent to front {} at {} ms, over at {} ms, reached {} at {} ms",
        call.front,
        evidence.elapsed_ms(call.sent_at),
        evidence.elapsed_ms(call.ended_at),
        late.server,
        evidence.elapsed_ms(late.arrival.received_at)
    );
    findings.add(Promise::TakenBack, &call.id, seen);
}

fn is_running_after(server_run: &ServerRun, at: Instant) -> bool {
    server_run.run.ended_at.is_none_or(|ended_at| ended_at > at)
}

fn check_served(evidence: &Evidence, call: &Call, findings: &mut Findings) {
    let fault_free_from = call.sent_at.checked_sub(RECOVERY_TIMEOUT);
    let has_recovered =
        fault_free_from.is_some_and(|from| evidence.is_fault_free(from, call.ended_at));
    let is_served = matches!(
        call.end,
        CallEnd::Whole { status: 200, .. } | CallEnd::Left { meant_to: true }
    );
    let is_exempt = call.kind == RequestKind::Crashing || call.resumed.is_some();
    if has_recovered && !is_served && !is_exempt {
        let seen = format!("not served though nothing is wrong: {:?}", call.end);
        findings.add(Promise::Served, &call.id, seen);
    }
}

fn check_job_results(job: &Job, findings: &mut Findings) {
    if job.ended_at.is_some() {
        return;
    }
    let id_of = |result: &Value| result["id"].as_str().unwrap_or_default().to_owned();
    let mut ids: Vec<String> = job.results.iter().map(id_of).collect();
    ids.sort();
    let mut expected: Vec<String> = (0..job.item_count)
        .map(|at| front_client::item_id(&job.id, at))
        .collect();
    expected.sort();
    if ids != expected {
        let seen = format!("{} results of {} items: {ids:?}", ids.len(), job.item_count);
        findings.add(Promise::ItemsOnce, &job.id, seen);
    }
    if job.second_read.as_ref() != Some(&job.results) {
        let seen = "its results changed between two reads, or could not be read again";
        findings.add(Promise::ItemsOnce, &job.id, seen);
    }
}

/// Checks the parts of a job that need the observations of the servers: that outputs belong to
/// their items, and that no item of an ended job starts.
fn check_outputs_and_job_end(evidence: &Evidence, job: &Job, findings: &mut Findings) {
    for result in &job.results {
        let id = result["id"].as_str().unwrap_or_default();
        let is_completed = result["state"] == "completed";
        // The last line has no line feed, unlike an event.
        let output = format!("{}\n", result["output"].as_str().unwrap_or_default());
        let expected = |version: &str| {
            let output = expected_output(id, evidence.event_count, version);
            format!("{output}\n").into_bytes()
        };
        let broken = broken_by(output.as_bytes(), expected, |expected, received| {
            expected == received
        });
        if let Some(promise) = broken.filter(|_| is_completed) {
            findings.add(promise, id, format!("its output is {result}"));
        }
    }
    let Some(ended_at) = job.ended_at else { return };
    let deadline = evidence.deadline_after_faults(ended_at, JOB_END_TIMEOUT);
    let prefix = front_client::item_id(&job.id, 0);
    let prefix = prefix.trim_end_matches('0');
    let is_of_job = |server_run: &&ServerRun| server_run.run.request_id.starts_with(prefix);
    let runs_of_job = evidence.runs.iter().filter(is_of_job);
    if let Some(server_run) = runs_of_job
        .into_iter()
        .find(|server_run| server_run.run.started_at > deadline)
    {
        let item = &server_run.run.request_id;
        findings.add(
            Promise::JobEnds,
            &job.id,
            format!("{item} started after it"),
        );
    }
}

/// Counts only items that must have been waiting while `job` was admitted: those of jobs accepted
/// before `job` was submitted that first started after `job` was accepted. Jobs whose end was
/// requested are not counted, although an item of such a job may still start.
fn check_quota(evidence: &Evidence, job: &Job, findings: &mut Findings) {
    let was_waiting = |item: &str| {
        let starts = evidence
            .runs_of_request(item)
            .map(|server_run| server_run.run.started_at);
        starts.min().is_some_and(|first| first > job.accepted_at)
    };
    let had_ended = |other: &Job| other.ended_at.is_some_and(|at| at < job.accepted_at);
    let jobs_before = evidence
        .jobs
        .iter()
        .filter(|other| other.accepted_at < job.submitted_at && !had_ended(other));
    let items = jobs_before
        .flat_map(|other| (0..other.item_count).map(|at| front_client::item_id(&other.id, at)));
    let waiting = items.filter(|item| was_waiting(item)).count() + job.item_count;
    let waiting_tokens = waiting as u64 * front_client::ITEM_TOKENS;
    if evidence.quota_tokens > 0 && waiting_tokens > evidence.quota_tokens {
        let seen = format!("{waiting_tokens} tokens waited when it was accepted");
        findings.add(Promise::Quota, &job.id, seen);
    }
}

fn check_leaving_servers(evidence: &Evidence, findings: &mut Findings) {
    for server_run in &evidence.runs {
        let Some(since) = server_run.leaving_since else {
            continue;
        };
        if server_run.run.started_at > evidence.deadline_after_faults(since, DRAIN_TIMEOUT) {
            let late_ms = server_run.run.started_at.duration_since(since).as_millis();
            let seen = format!(
                "began at {} {late_ms} ms after it was to leave",
                server_run.server
            );
            findings.add(Promise::Drained, &server_run.run.request_id, seen);
        }
    }
}

fn check_crashes(evidence: &Evidence, findings: &mut Findings) {
    let calls = evidence.calls.iter();
    let crashing: Vec<&Call> = calls
        .filter(|call| call.kind == RequestKind::Crashing)
        .collect();
    let runs = crashing
        .iter()
        .flat_map(|call| evidence.runs_of_request(&call.id));
    let mut starts: Vec<Instant> = runs.map(|server_run| server_run.run.started_at).collect();
    starts.sort();
    let Some(third_crash) = starts.get(MAX_CRASHES - 1) else {
        return;
    };
    let deadline = evidence.deadline_after_faults(*third_crash, CRASH_PROPAGATION_TIMEOUT);
    let runs_after = starts.iter().filter(|at| **at > deadline).count();
    if runs_after > MAX_CRASHES {
        let seen = format!("{runs_after} more runs; {} in all", starts.len());
        findings.add(Promise::CrashesEnd, &crashing[0].id, seen);
    }
}

fn check_configurations(evidence: &Evidence, findings: &mut Findings) {
    for (at, config) in evidence.configs.iter().enumerate() {
        let replaced_at = evidence.configs.get(at + 1).map(|next| next.stored_at);
        let deadline = evidence.deadline_after_faults(config.stored_at, CONFIG_TIMEOUT);
        let is_of_version = |probe: &&crate::evidence::ConfigProbe| {
            probe.version == config.version && replaced_at.is_none_or(|until| probe.sent_at < until)
        };
        for probe in evidence.probes.iter().filter(is_of_version) {
            if probe.has_route || probe.sent_at <= deadline {
                continue;
            }
            let late_ms = probe.sent_at.duration_since(config.stored_at).as_millis();
            let subject = format!("version {}", config.version);
            let seen = format!("not in force at front {} after {late_ms} ms", probe.front);
            findings.add(Promise::ConfigInForce, &subject, seen);
        }
    }
}

fn check_processes(evidence: &Evidence, findings: &mut Findings) {
    for stop in &evidence.stops {
        if stop.exit != Some(ProcessExit::Exit(0)) {
            findings.add(Promise::StopsInTime, &stop.host, format!("{:?}", stop.exit));
        }
    }
    for (host, exit) in &evidence.unexpected_exits {
        findings.add(Promise::StaysUp, host, format!("{exit:?}"));
    }
    for (host, resources) in &evidence.max_resources {
        if resources.memory_bytes > MAX_MEMORY_BYTES || resources.open_files > MAX_OPEN_FILES {
            findings.add(Promise::Bounded, host, format!("{resources:?}"));
        }
    }
}
