//! Tests of silent servers in plans, and of the check of responses that end early beside them.

use std::time::{Duration, Instant};

use foxwheel_soak::args;
use foxwheel_soak::checks::{self, Promise};
use foxwheel_soak::evidence::{
    Call, CallEnd, ConfigWrite, CutScope, Evidence, FaultPeriod, RequestKind,
};
use foxwheel_soak::faults::SILENCE_CUT_SCOPE;
use foxwheel_soak::plan::{Fault, Plan, ServerTarget, Silence};
use foxwheel_soak::store_entries::VERSIONS;

#[test]
fn silences_leave_the_faults_of_a_plan_as_they_are() {
    for seed in 0..200 {
        check_added_steps(Plan::draw(seed, args::default_size()));
    }
}

/// Checks the steps that silences add to a plan of faults, and that the plan can be stored.
fn check_added_steps(faults: Plan) {
    let plan = faults.clone().with_silences();
    assert_eq!(plan, faults.clone().with_silences());
    let faults_end = faults.size.injection_duration;
    let mut added = plan.steps.clone();
    for step in &faults.steps {
        let at = added.iter().position(|it| it == step);
        added.remove(at.expect("the fault is still in the plan"));
    }
    assert!(plan.steps.is_sorted_by_key(|step| step.start_after));
    let mut previous_end = Duration::ZERO;
    for step in added {
        assert!(step.silent_until() <= plan.size.injection_duration);
        match step.fault {
            Fault::Silence { .. } => {
                assert!(step.start_after > previous_end, "silences do not add up");
                previous_end = step.silent_until();
                let duration_ms = step.duration.as_millis();
                assert!((800..1_600).contains(&duration_ms), "{duration_ms}");
            }
            _ => assert!(step.start_after >= faults_end, "{step:?}"),
        }
    }
    let text = serde_json::to_string(&plan).expect("the plan encodes");
    let decoded: Plan = serde_json::from_str(&text).expect("the plan decodes");
    assert_eq!(decoded, plan);
}

#[test]
fn every_kind_of_silence_and_planned_work_is_drawn() {
    let draw = |seed| Plan::draw(seed, args::default_size());
    let added = (0..50).flat_map(|seed| {
        let faults = draw(seed).steps;
        let steps = draw(seed).with_silences().steps.into_iter();
        steps.filter(move |step| !faults.contains(step))
    });
    let names = added.map(|step| match step.fault {
        Fault::Silence { target, act } => {
            let count = match target {
                ServerTarget::One(_) => "one",
                ServerTarget::All => "all",
            };
            format!("{act:?} of {count}")
        }
        Fault::Process { act, .. } => format!("{act:?}"),
        other => format!("{other:?}"),
    });
    let mut kinds: Vec<String> = names.collect();
    kinds.sort();
    kinds.dedup();
    let (connections, runs) = (Silence::Connections, Silence::Runs);
    let expected = [
        "Configure".to_owned(),
        format!("{connections:?} of all"),
        format!("{connections:?} of one"),
        "Reload".to_owned(),
        format!("{runs:?} of all"),
        format!("{runs:?} of one"),
    ];
    assert_eq!(kinds, expected);
}

/// The file names no silences, as those of older builds.
#[test]
fn a_plan_file_without_silences_is_still_read() {
    let text = r#"{
        "seed": 2,
        "size": {"zones": 2, "fronts": 3, "workers": 2, "servers": 4, "callers": 6,
                 "faults_for_ms": 10000},
        "steps": [
            {"at_ms": 310, "lasts_ms": 900,
             "fault": {"server": {"at": 1, "fault": "restarts"}}},
            {"at_ms": 700, "lasts_ms": 150, "fault": "configure"}
        ]
    }"#;
    let plan: Plan = serde_json::from_str(text).expect("the plan decodes");
    assert_eq!(plan.size, args::default_size());
    assert_eq!(plan.steps[1].fault, Fault::Configure);
    assert_eq!(plan.steps[1].start_after, Duration::from_millis(700));
}

/// Returns the broken promises of a stream that ends 100 ms after it was sent, while a server is
/// silent and the configuration changes, and while one more fault with this scope is active.
fn broken_beside_a_silence(end: CallEnd, other_scope: CutScope) -> Vec<Promise> {
    const SILENCE: Duration = Duration::from_millis(1_500);
    let started_at = Instant::now();
    let sent_at = started_at + Duration::from_millis(10_000);
    let period = |cut_scope| FaultPeriod {
        from: sent_at - SILENCE / 2,
        until: sent_at + SILENCE / 2,
        cut_scope,
    };
    let evidence = Evidence {
        event_count: 3,
        started_at: Some(started_at),
        fault_periods: vec![period(SILENCE_CUT_SCOPE), period(other_scope)],
        configs: vec![ConfigWrite {
            version: 2,
            stored_at: sent_at + Duration::from_millis(20),
        }],
        calls: vec![Call {
            id: "a".to_owned(),
            kind: RequestKind::Stream,
            resumed: None,
            front: 0,
            connected_at: sent_at,
            sent_at,
            ended_at: sent_at + Duration::from_millis(100),
            end,
        }],
        ..Evidence::default()
    };
    let breaches = checks::find_breaches(&evidence).into_iter();
    breaches.map(|breach| breach.promise).collect()
}

#[test]
fn a_response_that_ends_early_beside_a_silent_server_is_a_breach() {
    let first_events = checks::expected_events("a", 1, 2, VERSIONS[0]);
    let cut_off = CallEnd::Broken {
        body: first_events,
        reused: false,
    };
    let left_out = CallEnd::Left { meant_to: false };
    let disconnected = CallEnd::Left { meant_to: true };
    for end in [cut_off, left_out] {
        for (other_scope, expected) in [
            (CutScope::Nothing, vec![Promise::NotCut]),
            (CutScope::Front(1), vec![Promise::NotCut]),
            (CutScope::Front(0), vec![]),
            (CutScope::Any, vec![]),
        ] {
            let broken = broken_beside_a_silence(end.clone(), other_scope);
            assert_eq!(broken, expected, "{end:?} and {other_scope:?}");
        }
    }
    assert_eq!(broken_beside_a_silence(disconnected, CutScope::Nothing), []);
}
