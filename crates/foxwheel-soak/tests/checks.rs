//! Tests of the checks, each with evidence in which a promise is kept and evidence in which it is
//! broken.

mod common;

use std::time::Duration;

use common::{complete_response, cut_off_response, refused_as_not_run, Case, EVENT_COUNT};
use foxwheel_server_emu::server::event_data;
use foxwheel_soak::checks::{self, Promise};
use foxwheel_soak::evidence::{CallEnd, ConfigProbe, ConfigWrite, CutScope};
use foxwheel_soak::evidence::{Job, ProcessStop, RefusedJob, RequestKind, ResumedStream};
use foxwheel_soak::front_client;
use foxwheel_soak::process::{ProcessExit, Resources};
use foxwheel_soak::store_entries::VERSIONS;
use serde_json::{json, Value};

#[test]
fn a_run_without_faults_gives_no_breach() {
    let mut case = Case::new();
    case.add_run("a", 10_000, Some(10_050));
    case.add_call("a", RequestKind::Once, 10_000, complete_response("a"));
    assert_eq!(case.broken_promises(), []);
}

#[test]
fn a_response_of_another_request_is_a_breach() {
    let part = |id: &str| checks::expected_events(id, 1, EVENT_COUNT, VERSIONS[0])[..28].to_vec();
    let cases = [
        ("response of another request", complete_response("b")),
        (
            "events of another request before the cut-off",
            cut_off_response(part("b"), false),
        ),
    ];
    for (name, end) in cases {
        let mut case = Case::new();
        case.add_fault_period(9_000, 10_050, CutScope::Any);
        case.add_call("a", RequestKind::Plain, 10_000, end);
        assert_eq!(case.broken_promises(), [Promise::OwnAnswer], "{name}");
    }
    let mut case = Case::new();
    case.add_fault_period(9_000, 10_050, CutScope::Any);
    case.add_call(
        "a",
        RequestKind::Plain,
        10_000,
        cut_off_response(part("a"), false),
    );
    assert_eq!(case.broken_promises(), []);
}

/// Returns the events of request `id` from the one with the given number on.
fn events(id: &str, first: u64, last: u64, version: &str) -> Vec<u8> {
    checks::expected_events(id, first, last, version)
}

#[test]
fn a_stream_or_output_of_two_versions_is_a_breach() {
    let joined = || [events("a", 1, 1, "v1"), events("a", 2, EVENT_COUNT, "v1.1")].concat();
    let whole = |body| CallEnd::Whole {
        status: 200,
        not_run: false,
        body,
    };
    let cases = [
        ("first version", events("a", 1, EVENT_COUNT, "v1"), vec![]),
        ("other version", events("a", 1, EVENT_COUNT, "v1.1"), vec![]),
        ("both versions", joined(), vec![Promise::OneVersion]),
    ];
    for (name, body, expected) in cases {
        let mut case = Case::new();
        case.add_call("a", RequestKind::Stream, 10_000, whole(body));
        assert_eq!(case.broken_promises(), expected, "{name}");
    }
    for (version, expected) in [("v1", vec![]), ("v1.1", vec![Promise::OneVersion])] {
        let mut case = Case::new();
        let rest = events("a", 2, EVENT_COUNT, version);
        case.add_call("a", RequestKind::Stream, 10_000, whole(rest));
        case.evidence.calls[0].resumed = Some(ResumedStream {
            began: "b".to_owned(),
            last_event: 1,
            version: "v1",
        });
        assert_eq!(case.broken_promises(), expected, "rest of {version}");
    }
    let mut result = completed_result("j", 0);
    let output = result["output"].as_str().expect("an output");
    result["output"] = output.replacen("v1", "v1.1", 1).into();
    let mut case = Case::new();
    let job = job_with_results(&case, "j", vec![result, completed_result("j", 1)]);
    case.evidence.jobs.push(job);
    assert_eq!(case.broken_promises(), [Promise::OneVersion]);
}

#[test]
fn a_minority_of_resumed_streams_that_go_on_is_a_breach() {
    for (going_on, fault_until_ms, expected) in [
        (6, 0, vec![]),
        (5, 0, vec![Promise::StreamsGoOn]),
        (5, 9_000, vec![]),
    ] {
        let mut case = Case::new();
        case.add_fault_period(0, fault_until_ms, CutScope::Nothing);
        for number in 0..12 {
            let id = format!("call-{number}");
            let end = match number < going_on {
                true => CallEnd::Whole {
                    status: 200,
                    not_run: false,
                    body: events(&id, 2, EVENT_COUNT, "v1"),
                },
                false => refused_as_not_run(),
            };
            case.add_call(&id, RequestKind::Stream, 10_000, end);
            let call = case.evidence.calls.last_mut().expect("a call");
            call.resumed = Some(ResumedStream {
                began: "b".to_owned(),
                last_event: 1,
                version: "v1",
            });
        }
        assert_eq!(case.broken_promises(), expected, "{going_on} go on");
    }
}

#[test]
fn a_run_of_a_request_refused_as_not_run_is_a_breach() {
    let mut case = Case::new();
    case.add_fault_period(9_000, 10_050, CutScope::Any);
    case.add_call("a", RequestKind::Once, 10_000, refused_as_not_run());
    assert_eq!(case.broken_promises(), []);
    case.add_run("a", 10_000, Some(10_050));
    assert_eq!(case.broken_promises(), [Promise::NotRunIsTrue]);
}

#[test]
fn a_run_of_an_item_of_a_refused_job_is_a_breach() {
    let mut case = Case::new();
    case.evidence.refused_jobs.push(RefusedJob {
        id: "job".to_owned(),
        item_count: 2,
    });
    case.add_run("job-item-2", 10_000, Some(10_050));
    assert_eq!(case.broken_promises(), [], "an item of another job");
    case.add_run("job-item-1", 10_000, Some(10_050));
    assert_eq!(case.broken_promises(), [Promise::NotRunIsTrue]);
}

#[test]
fn more_runs_than_the_route_allows_are_a_breach() {
    for (kind, allowed) in [
        (RequestKind::Once, 1),
        (RequestKind::StreamOnce, 1),
        (RequestKind::Plain, 2),
    ] {
        let mut case = Case::new();
        case.add_call("a", kind, 10_000, complete_response("a"));
        for _ in 0..allowed {
            case.add_run("a", 10_000, Some(10_050));
        }
        assert_eq!(case.broken_promises(), [], "{kind:?}");
        case.add_run("a", 10_000, Some(10_050));
        assert_eq!(case.broken_promises(), [Promise::RunsAllowed], "{kind:?}");
    }
}

/// A fault that cuts off no responses, such as asking a process to stop, does not excuse a
/// response that was cut off.
#[test]
fn a_cut_off_response_without_a_fault_is_a_breach() {
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
            "a stop, new connection",
            CutScope::Nothing,
            false,
            false,
            false,
        ),
        (
            "a stop, kept connection",
            CutScope::Nothing,
            true,
            false,
            true,
        ),
        (
            "a stop, kept connection, request was run",
            CutScope::Nothing,
            true,
            true,
            false,
        ),
    ];
    for (name, cut_scope, reused, was_run, is_allowed) in cases {
        let mut case = Case::new();
        case.add_fault_period(9_000, 10_050, cut_scope);
        case.add_call(
            "a",
            RequestKind::Once,
            10_000,
            cut_off_response(Vec::new(), reused),
        );
        if was_run {
            case.add_run("a", 10_000, Some(10_050));
        }
        let expected = if is_allowed {
            vec![]
        } else {
            vec![Promise::NotCut]
        };
        assert_eq!(case.broken_promises(), expected, "{name}");
    }
    let mut case = Case::new();
    case.add_fault_period(9_000, 10_050, CutScope::Nothing);
    case.add_call(
        "a",
        RequestKind::Once,
        10_000,
        cut_off_response(Vec::new(), false),
    );
    let refusal = (0, case.time_at(10_020));
    case.evidence.refusal_times.push(refusal);
    assert_eq!(
        case.broken_promises(),
        [],
        "the front refused the connection"
    );
}

#[test]
fn an_unserved_call_after_the_recovery_time_is_a_breach() {
    for (name, until_ms, expected) in [
        ("a fault within the recovery time", 6_000, vec![]),
        (
            "no fault within the recovery time",
            4_000,
            vec![Promise::Served],
        ),
    ] {
        let mut case = Case::new();
        case.add_fault_period(0, until_ms, CutScope::Any);
        case.add_call("a", RequestKind::Plain, 10_000, refused_as_not_run());
        assert_eq!(case.broken_promises(), expected, "{name}");
    }
}

fn job_with_results(case: &Case, id: &str, results: Vec<Value>) -> Job {
    Job {
        id: id.to_owned(),
        item_count: 2,
        submitted_at: case.time_at(0),
        accepted_at: case.time_at(0),
        ended_at: None,
        second_read: Some(results.clone()),
        results,
    }
}

fn completed_result(job: &str, at: usize) -> Value {
    let id = front_client::item_id(job, at);
    let output: Vec<String> = (1..=EVENT_COUNT)
        .map(|event| format!("{} by {}", event_data(&id, event), VERSIONS[0]))
        .collect();
    json!({"id": id, "state": "completed", "output": output.join("\n")})
}

#[test]
fn lost_duplicate_or_changed_results_are_a_breach() {
    let all = || vec![completed_result("j", 1), completed_result("j", 0)];
    let duplicate = || [all(), vec![completed_result("j", 0)]].concat();
    let mut swapped = all();
    swapped.reverse();
    let mut foreign_output = all();
    foreign_output[0]["output"] = "another's".into();
    let lost = || vec![completed_result("j", 0)];
    let cases = [
        ("complete", all(), Some(all()), vec![]),
        ("lost", lost(), Some(lost()), vec![Promise::ItemsOnce]),
        (
            "duplicate",
            duplicate(),
            Some(duplicate()),
            vec![Promise::ItemsOnce],
        ),
        ("changed", all(), Some(swapped), vec![Promise::ItemsOnce]),
        ("not readable again", all(), None, vec![Promise::ItemsOnce]),
        (
            "output of another item",
            foreign_output.clone(),
            Some(foreign_output),
            vec![Promise::OwnAnswer],
        ),
    ];
    for (name, results, second_read, expected) in cases {
        let mut case = Case::new();
        let mut job = job_with_results(&case, "j", results);
        job.second_read = second_read;
        case.evidence.jobs.push(job);
        assert_eq!(case.broken_promises(), expected, "{name}");
    }
}

#[test]
fn an_item_started_after_its_job_ended_is_a_breach() {
    for (name, fault_until_ms, expected) in [
        ("no fault", 0, vec![Promise::JobEnds]),
        (
            "a fault that ended less than the bound before",
            3_000,
            vec![],
        ),
    ] {
        let mut case = Case::new();
        case.add_fault_period(0, fault_until_ms, CutScope::Nothing);
        let mut job = job_with_results(&case, "j", Vec::new());
        job.ended_at = Some(case.time_at(100));
        case.evidence.jobs.push(job);
        case.add_run("j-item-0", 200, Some(300));
        assert_eq!(case.broken_promises(), [], "{name}");
        case.add_run("j-item-1", 5_000, Some(5_100));
        // The id of this other job starts with the same letter.
        case.add_run("j1-item-1", 9_000, Some(9_100));
        assert_eq!(case.broken_promises(), expected, "{name}");
    }
}

/// Two items of the first job must have been waiting when the second was accepted.
#[test]
fn a_job_accepted_beyond_the_quota_is_a_breach() {
    let mut case = Case::new();
    for (id, submitted_ms) in [("j", 0), ("k", 1_000)] {
        let mut job = job_with_results(
            &case,
            id,
            vec![completed_result(id, 0), completed_result(id, 1)],
        );
        job.submitted_at = case.time_at(submitted_ms);
        job.accepted_at = case.time_at(submitted_ms + 50);
        case.evidence.jobs.push(job);
    }
    case.add_run("j-item-0", 2_000, Some(2_100));
    case.add_run("j-item-1", 2_000, Some(2_100));
    for (quota_tokens, expected) in [(0, vec![]), (400, vec![]), (399, vec![Promise::Quota])] {
        case.evidence.quota_tokens = quota_tokens;
        assert_eq!(case.broken_promises(), expected, "{quota_tokens}");
    }
    let ended_at = case.time_at(900);
    case.evidence.jobs[0].ended_at = Some(ended_at);
    assert_eq!(case.broken_promises(), [], "the first job had ended before");
    case.evidence.jobs[0].ended_at = None;
    case.add_run("j-item-0", 900, Some(950));
    assert_eq!(case.broken_promises(), [], "one item had started before");
}

#[test]
fn runs_at_leaving_servers_and_for_disconnected_callers_are_breaches() {
    let mut case = Case::new();
    case.add_run("a", 500, Some(600));
    case.add_run("b", 4_000, Some(4_100));
    let leaving = Some(case.time_at(100));
    case.evidence.runs[0].leaving_since = leaving;
    assert_eq!(case.broken_promises(), []);
    case.evidence.runs[1].leaving_since = leaving;
    assert_eq!(case.broken_promises(), [Promise::Drained]);

    let mut case = Case::new();
    let disconnected = CallEnd::Left { meant_to: true };
    case.add_run("a", 10_000, Some(10_500));
    case.add_call("a", RequestKind::Stream, 10_000, disconnected);
    assert_eq!(case.broken_promises(), []);
    case.add_run("a", 10_000, None);
    assert_eq!(case.broken_promises(), [Promise::Abandoned]);
}

#[test]
fn a_configuration_that_goes_out_of_force_is_a_breach() {
    let probe = |case: &Case, at_ms, has_route| ConfigProbe {
        front: 0,
        version: 2,
        sent_at: case.time_at(at_ms),
        has_route,
    };
    let mut case = Case::new();
    let stored_at = case.time_at(0);
    case.evidence.configs.push(ConfigWrite {
        version: 2,
        stored_at,
    });
    for (at_ms, has_route) in [(100, false), (900, true), (4_000, true)] {
        let probe = probe(&case, at_ms, has_route);
        case.evidence.probes.push(probe);
    }
    assert_eq!(case.broken_promises(), []);
    let reverted = probe(&case, 4_500, false);
    case.evidence.probes.push(reverted);
    assert_eq!(case.broken_promises(), [Promise::ConfigInForce]);
    // The next version does not have this route.
    let next = ConfigWrite {
        version: 3,
        stored_at: case.time_at(4_200),
    };
    case.evidence.configs.push(next);
    assert_eq!(case.broken_promises(), []);
}

#[test]
fn a_crashing_request_that_keeps_running_is_a_breach() {
    let mut case = Case::new();
    case.add_call(
        "c",
        RequestKind::Crashing,
        0,
        cut_off_response(Vec::new(), false),
    );
    case.add_fault_period(0, 200, CutScope::Any);
    for index in 0..9 {
        case.add_run("c", index * 100, Some(index * 100 + 10));
    }
    let is_breach = |case: &Case| case.broken_promises().contains(&Promise::CrashesEnd);
    assert!(!is_breach(&case), "the crashes need not be known yet");
    for index in 0..4 {
        case.add_run("c", 5_000 + index * 100, Some(5_010 + index * 100));
    }
    assert!(is_breach(&case));
}

#[test]
fn late_stops_unexpected_exits_and_excess_resources_are_breaches() {
    let host = || "host-1".to_owned();
    let mut case = Case::new();
    let exit = Some(ProcessExit::Exit(0));
    let stop = ProcessStop { host: host(), exit };
    case.evidence.stops.push(stop);
    let resources = Resources {
        memory_bytes: checks::MAX_MEMORY_BYTES,
        open_files: checks::MAX_OPEN_FILES,
    };
    case.evidence.max_resources.push((host(), resources));
    assert_eq!(case.broken_promises(), []);
    for exit in [
        None,
        Some(ProcessExit::Exit(101)),
        Some(ProcessExit::Signal(6)),
    ] {
        case.evidence.stops[0].exit = exit;
        assert_eq!(case.broken_promises(), [Promise::StopsInTime], "{exit:?}");
    }
    case.evidence.stops.clear();
    case.evidence.max_resources[0].1.open_files += 1;
    assert_eq!(case.broken_promises(), [Promise::Bounded]);
    case.evidence.max_resources[0].1 = resources;
    case.evidence.max_resources[0].1.memory_bytes += 1;
    assert_eq!(case.broken_promises(), [Promise::Bounded]);
    case.evidence.max_resources.clear();
    case.evidence
        .unexpected_exits
        .push((host(), ProcessExit::Exit(101)));
    assert_eq!(case.broken_promises(), [Promise::StaysUp]);
}

/// The bound counts from the end of the last fault that started before the deadline.
#[test]
fn a_fault_before_the_deadline_extends_it() {
    let mut case = Case::new();
    let bound = Duration::from_millis(1_000);
    assert_eq!(
        case.evidence.deadline_after_faults(case.time_at(0), bound),
        case.time_at(1_000)
    );
    case.add_fault_period(500, 900, CutScope::Nothing);
    case.add_fault_period(1_800, 2_000, CutScope::Nothing);
    case.add_fault_period(3_100, 3_200, CutScope::Nothing);
    assert_eq!(
        case.evidence.deadline_after_faults(case.time_at(0), bound),
        case.time_at(3_000)
    );
}

#[test]
fn a_request_that_arrives_after_its_call_ended_is_a_breach() {
    let disconnected = || CallEnd::Left { meant_to: true };
    let mut case = Case::new();
    // The call ends at 10.1 s.
    case.add_call("a", RequestKind::Plain, 10_000, disconnected());
    case.add_arrival("a", 10_050);
    case.add_arrival("a", 11_000);
    assert_eq!(case.broken_promises(), []);
    case.add_arrival("a", 11_200);
    assert_eq!(case.broken_promises(), [Promise::TakenBack]);
    // A fault of the server's path does not excuse a late arrival. A suspended front does.
    case.add_fault_period(10_000, 11_000, CutScope::Any);
    assert_eq!(case.broken_promises(), [Promise::TakenBack]);
    case.add_fault_period(10_000, 11_000, CutScope::Front(0));
    assert_eq!(case.broken_promises(), []);
}
