//! Each promise's check, with evidence in which it is kept and evidence in which it is broken.

use std::time::{Duration, Instant};

use foxwheel_server_emu::runs::{Arrival, Run};
use foxwheel_server_emu::server::event_data;
use foxwheel_soak::checks::{self, Promise};
use foxwheel_soak::evidence::{Call, CallEnd, ConfigProbe, ConfigWrite, CutScope, FaultPeriod};
use foxwheel_soak::evidence::{Evidence, Job, ProcessStop, RequestKind, ServerArrival, ServerRun};
use foxwheel_soak::front_client;
use foxwheel_soak::process::{ProcessExit, Resources};
use serde_json::{json, Value};

const EVENT_COUNT: u64 = 3;

/// Evidence of a run that began at `began`.
struct Case {
    began: Instant,
    evidence: Evidence,
}

impl Case {
    fn new() -> Self {
        let began = Instant::now();
        let evidence = Evidence {
            event_count: EVENT_COUNT,
            started_at: Some(began),
            ..Evidence::default()
        };
        Self { began, evidence }
    }

    fn at(&self, ms: u64) -> Instant {
        self.began + Duration::from_millis(ms)
    }

    fn call(&mut self, id: &str, kind: RequestKind, sent_ms: u64, end: CallEnd) {
        let sent_at = self.at(sent_ms);
        self.evidence.calls.push(Call {
            id: id.to_owned(),
            kind,
            front: 0,
            connected_at: sent_at,
            sent_at,
            ended_at: sent_at + Duration::from_millis(100),
            end,
        });
    }

    fn run(&mut self, request: &str, from_ms: u64, until_ms: Option<u64>) {
        let run = Run {
            request_id: request.to_owned(),
            target: String::new(),
            body: Vec::new(),
            deadline_ms: None,
            resumed_after: None,
            started_at: self.at(from_ms),
            ended_at: until_ms.map(|ms| self.at(ms)),
            finished: until_ms.map(|_| true),
        };
        self.evidence.runs.push(ServerRun {
            server: "server-1".to_owned(),
            leaving_since: None,
            run,
        });
    }

    fn arrive(&mut self, request: &str, at_ms: u64) {
        let at = self.at(at_ms);
        let request_id = request.to_owned();
        self.evidence.arrivals.push(ServerArrival {
            server: "server-1".to_owned(),
            arrival: Arrival { request_id, at },
        });
    }

    fn disturb(&mut self, from_ms: u64, until_ms: u64, cut_scope: CutScope) {
        let (from, until) = (self.at(from_ms), self.at(until_ms));
        let disturbance = FaultPeriod {
            from,
            until,
            cut_scope,
        };
        self.evidence.fault_periods.push(disturbance);
    }

    /// The promises broken, each once.
    fn broken(&self) -> Vec<Promise> {
        let breaches = checks::find_breaches(&self.evidence).into_iter();
        let mut broken: Vec<Promise> = breaches.map(|breach| breach.promise).collect();
        broken.dedup();
        broken
    }
}

fn whole(id: &str) -> CallEnd {
    CallEnd::Whole {
        status: 200,
        not_run: false,
        body: checks::expected_body(id, EVENT_COUNT),
    }
}

fn refused() -> CallEnd {
    CallEnd::Whole {
        status: 503,
        not_run: true,
        body: Vec::new(),
    }
}

fn broken(body: Vec<u8>, reused: bool) -> CallEnd {
    CallEnd::Broken { body, reused }
}

#[test]
fn a_whole_run_breaks_nothing() {
    let mut case = Case::new();
    case.run("a", 10_000, Some(10_050));
    case.call("a", RequestKind::Once, 10_000, whole("a"));
    assert_eq!(case.broken(), []);
}

#[test]
fn an_answer_of_another_request_or_out_of_order() {
    let part = |id: &str| checks::expected_body(id, EVENT_COUNT)[..28].to_vec();
    let cases = [
        ("another's answer", whole("b")),
        ("another's events before a break", broken(part("b"), false)),
    ];
    for (name, end) in cases {
        let mut case = Case::new();
        case.disturb(9_000, 10_050, CutScope::Any);
        case.call("a", RequestKind::Plain, 10_000, end);
        assert_eq!(case.broken(), [Promise::OwnAnswer], "{name}");
    }
    let mut case = Case::new();
    case.disturb(9_000, 10_050, CutScope::Any);
    case.call("a", RequestKind::Plain, 10_000, broken(part("a"), false));
    assert_eq!(case.broken(), []);
}

#[test]
fn a_refusal_that_is_not_true() {
    let mut case = Case::new();
    case.disturb(9_000, 10_050, CutScope::Any);
    case.call("a", RequestKind::Once, 10_000, refused());
    assert_eq!(case.broken(), []);
    case.run("a", 10_000, Some(10_050));
    assert_eq!(case.broken(), [Promise::NotRunIsTrue]);
}

#[test]
fn more_runs_than_the_route_allows() {
    for (kind, allowed) in [
        (RequestKind::Once, 1),
        (RequestKind::StreamOnce, 1),
        (RequestKind::Plain, 2),
    ] {
        let mut case = Case::new();
        case.call("a", kind, 10_000, whole("a"));
        for _ in 0..allowed {
            case.run("a", 10_000, Some(10_050));
        }
        assert_eq!(case.broken(), [], "{kind:?}");
        case.run("a", 10_000, Some(10_050));
        assert_eq!(case.broken(), [Promise::RunsAllowed], "{kind:?}");
    }
}

/// A planned stop is no fault that may cut an answer.
#[test]
fn an_answer_cut_without_a_fault() {
    let cases = [
        (
            "a fault at its own front",
            CutScope::Front(0),
            false,
            false,
            true,
        ),
        (
            "a fault at another front",
            CutScope::Front(1),
            false,
            true,
            false,
        ),
        (
            "a stop, connection new",
            CutScope::Nothing,
            false,
            false,
            false,
        ),
        (
            "a stop, connection kept",
            CutScope::Nothing,
            true,
            false,
            true,
        ),
        (
            "a stop, connection kept, run",
            CutScope::Nothing,
            true,
            true,
            false,
        ),
    ];
    for (name, cut_scope, reused, ran, allowed) in cases {
        let mut case = Case::new();
        case.disturb(9_000, 10_050, cut_scope);
        case.call("a", RequestKind::Once, 10_000, broken(Vec::new(), reused));
        if ran {
            case.run("a", 10_000, Some(10_050));
        }
        let expected = if allowed {
            vec![]
        } else {
            vec![Promise::NotCut]
        };
        assert_eq!(case.broken(), expected, "{name}");
    }
    let mut case = Case::new();
    case.disturb(9_000, 10_050, CutScope::Nothing);
    case.call("a", RequestKind::Once, 10_000, broken(Vec::new(), false));
    let refusal = (0, case.at(10_020));
    case.evidence.refusal_times.push(refusal);
    assert_eq!(case.broken(), [], "the front refused the connection");
}

#[test]
fn callers_not_served_after_the_last_fault() {
    for (name, until_ms, expected) in [
        ("within the bound", 6_000, vec![]),
        ("after it", 4_000, vec![Promise::Served]),
    ] {
        let mut case = Case::new();
        case.disturb(0, until_ms, CutScope::Any);
        case.call("a", RequestKind::Plain, 10_000, refused());
        assert_eq!(case.broken(), expected, "{name}");
    }
}

fn job(case: &Case, id: &str, results: Vec<Value>) -> Job {
    Job {
        id: id.to_owned(),
        item_count: 2,
        submitted_at: case.at(0),
        accepted_at: case.at(0),
        ended_at: None,
        second_read: Some(results.clone()),
        results,
    }
}

fn result(job: &str, at: usize) -> Value {
    let id = front_client::item_id(job, at);
    let output: Vec<String> = (1..=EVENT_COUNT)
        .map(|event| event_data(&id, event))
        .collect();
    json!({"id": id, "state": "completed", "output": output.join("\n")})
}

#[test]
fn items_lost_listed_twice_or_changed() {
    let all = || vec![result("j", 1), result("j", 0)];
    let twice = || [all(), vec![result("j", 0)]].concat();
    let mut swapped = all();
    swapped.reverse();
    let mut foreign = all();
    foreign[0]["output"] = "another's".into();
    let lost = || vec![result("j", 0)];
    let cases = [
        ("whole", all(), Some(all()), vec![]),
        ("lost", lost(), Some(lost()), vec![Promise::ItemsOnce]),
        ("twice", twice(), Some(twice()), vec![Promise::ItemsOnce]),
        ("changed", all(), Some(swapped), vec![Promise::ItemsOnce]),
        ("not readable again", all(), None, vec![Promise::ItemsOnce]),
        (
            "another's output",
            foreign.clone(),
            Some(foreign),
            vec![Promise::OwnAnswer],
        ),
    ];
    for (name, results, second_read, expected) in cases {
        let mut case = Case::new();
        let mut job = job(&case, "j", results);
        job.second_read = second_read;
        case.evidence.jobs.push(job);
        assert_eq!(case.broken(), expected, "{name}");
    }
}

#[test]
fn an_ended_job_that_goes_on() {
    for (name, fault_until_ms, expected) in [
        ("in quiet", 0, vec![Promise::JobEnds]),
        ("a fault until shortly before", 3_000, vec![]),
    ] {
        let mut case = Case::new();
        case.disturb(0, fault_until_ms, CutScope::Nothing);
        let mut job = job(&case, "j", Vec::new());
        job.ended_at = Some(case.at(100));
        case.evidence.jobs.push(job);
        case.run("j-item-0", 200, Some(300));
        assert_eq!(case.broken(), [], "{name}");
        case.run("j-item-1", 5_000, Some(5_100));
        // Another job's name begins alike.
        case.run("j1-item-1", 9_000, Some(9_100));
        assert_eq!(case.broken(), expected, "{name}");
    }
}

/// Two items of the first job certainly wait while the second is accepted.
#[test]
fn jobs_accepted_beyond_the_quota() {
    let mut case = Case::new();
    for (id, submitted_ms) in [("j", 0), ("k", 1_000)] {
        let mut job = job(&case, id, vec![result(id, 0), result(id, 1)]);
        job.submitted_at = case.at(submitted_ms);
        job.accepted_at = case.at(submitted_ms + 50);
        case.evidence.jobs.push(job);
    }
    case.run("j-item-0", 2_000, Some(2_100));
    case.run("j-item-1", 2_000, Some(2_100));
    for (quota_tokens, expected) in [(0, vec![]), (400, vec![]), (399, vec![Promise::Quota])] {
        case.evidence.quota_tokens = quota_tokens;
        assert_eq!(case.broken(), expected, "{quota_tokens}");
    }
    let ended_at = case.at(900);
    case.evidence.jobs[0].ended_at = Some(ended_at);
    assert_eq!(case.broken(), [], "its end was asked for before");
    case.evidence.jobs[0].ended_at = None;
    case.run("j-item-0", 900, Some(950));
    assert_eq!(case.broken(), [], "one of them had begun");
}

#[test]
fn work_for_a_leaving_server_or_a_caller_that_left() {
    let mut case = Case::new();
    case.run("a", 500, Some(600));
    case.run("b", 4_000, Some(4_100));
    let leaving = Some(case.at(100));
    case.evidence.runs[0].leaving_since = leaving;
    assert_eq!(case.broken(), []);
    case.evidence.runs[1].leaving_since = leaving;
    assert_eq!(case.broken(), [Promise::Drained]);

    let mut case = Case::new();
    let left = CallEnd::Left { meant_to: true };
    case.run("a", 10_000, Some(10_500));
    case.call("a", RequestKind::Stream, 10_000, left);
    assert_eq!(case.broken(), []);
    case.run("a", 10_000, None);
    assert_eq!(case.broken(), [Promise::Abandoned]);
}

#[test]
fn a_configuration_not_in_force_or_gone_back() {
    let probe = |case: &Case, at_ms, has_route| ConfigProbe {
        front: 0,
        version: 2,
        sent_at: case.at(at_ms),
        has_route,
    };
    let mut case = Case::new();
    let stored_at = case.at(0);
    case.evidence.configs.push(ConfigWrite {
        version: 2,
        stored_at,
    });
    for (at_ms, has_route) in [(100, false), (900, true), (4_000, true)] {
        let probe = probe(&case, at_ms, has_route);
        case.evidence.probes.push(probe);
    }
    assert_eq!(case.broken(), []);
    let back = probe(&case, 4_500, false);
    case.evidence.probes.push(back);
    assert_eq!(case.broken(), [Promise::ConfigInForce]);
    // Its route goes with the next version.
    let next = ConfigWrite {
        version: 3,
        stored_at: case.at(4_200),
    };
    case.evidence.configs.push(next);
    assert_eq!(case.broken(), []);
}

#[test]
fn a_crashing_request_that_is_run_on_and_on() {
    let mut case = Case::new();
    case.call("c", RequestKind::Crashing, 0, broken(Vec::new(), false));
    case.disturb(0, 200, CutScope::Any);
    for at in 0..9 {
        case.run("c", at * 100, Some(at * 100 + 10));
    }
    let goes_on = |case: &Case| case.broken().contains(&Promise::CrashesEnd);
    assert!(!goes_on(&case), "until the crashes are known everywhere");
    for at in 0..4 {
        case.run("c", 5_000 + at * 100, Some(5_010 + at * 100));
    }
    assert!(goes_on(&case));
}

#[test]
fn processes_that_overstay_end_or_grow() {
    let host = || "host-1".to_owned();
    let mut case = Case::new();
    let exit = Some(ProcessExit::Exit(0));
    let stop = ProcessStop { host: host(), exit };
    case.evidence.stops.push(stop);
    let held = Resources {
        memory_bytes: checks::MAX_MEMORY_BYTES,
        open_files: checks::MAX_OPEN_FILES,
    };
    case.evidence.max_resources.push((host(), held));
    assert_eq!(case.broken(), []);
    for exit in [
        None,
        Some(ProcessExit::Exit(101)),
        Some(ProcessExit::Signal(6)),
    ] {
        case.evidence.stops[0].exit = exit;
        assert_eq!(case.broken(), [Promise::StopsInTime], "{exit:?}");
    }
    case.evidence.stops.clear();
    case.evidence.max_resources[0].1.open_files += 1;
    assert_eq!(case.broken(), [Promise::Bounded]);
    case.evidence.max_resources[0].1 = held;
    case.evidence.max_resources[0].1.memory_bytes += 1;
    assert_eq!(case.broken(), [Promise::Bounded]);
    case.evidence.max_resources.clear();
    case.evidence
        .unexpected_exits
        .push((host(), ProcessExit::Exit(101)));
    assert_eq!(case.broken(), [Promise::StaysUp]);
}

/// A bound counts from the last fault that came before it was over.
#[test]
fn a_bound_starts_again_with_each_fault() {
    let mut case = Case::new();
    let bound = Duration::from_millis(1_000);
    assert_eq!(
        case.evidence.deadline_after_faults(case.at(0), bound),
        case.at(1_000)
    );
    case.disturb(500, 900, CutScope::Nothing);
    case.disturb(1_800, 2_000, CutScope::Nothing);
    case.disturb(3_100, 3_200, CutScope::Nothing);
    assert_eq!(
        case.evidence.deadline_after_faults(case.at(0), bound),
        case.at(3_000)
    );
}

#[test]
fn a_request_that_was_given_up_may_not_arrive_later() {
    let left = || CallEnd::Left { meant_to: true };
    let mut case = Case::new();
    // It ends at 10.1 s.
    case.call("a", RequestKind::Plain, 10_000, left());
    case.arrive("a", 10_050);
    case.arrive("a", 11_000);
    assert_eq!(case.broken(), []);
    case.arrive("a", 11_200);
    assert_eq!(case.broken(), [Promise::TakenBack]);
    // A fault of the server's path is no excuse, a front that stood still is one.
    case.disturb(10_000, 11_000, CutScope::Any);
    assert_eq!(case.broken(), [Promise::TakenBack]);
    case.disturb(10_000, 11_000, CutScope::Front(0));
    assert_eq!(case.broken(), []);
}
