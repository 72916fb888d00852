//! Next steps after a failed attempt, by kind of request and by whether it may have run.

mod common;

use foxwheel_policy::retry::{AttemptOutcome, Attempts, NextStep};

const ALL_OUTCOMES: [AttemptOutcome; 5] = [
    AttemptOutcome::Gone,
    AttemptOutcome::NotSent,
    AttemptOutcome::Rejected,
    AttemptOutcome::Failed,
    AttemptOutcome::Unknown,
];

#[test]
fn a_request_that_may_not_repeat_is_not_sent_again_after_a_possible_run() {
    for max_runs in [1, 2, 5] {
        let cases = [
            (AttemptOutcome::NotSent, NextStep::TryAnother),
            (AttemptOutcome::Rejected, NextStep::TryAnother),
            (AttemptOutcome::Failed, NextStep::PassOn),
            (AttemptOutcome::Unknown, NextStep::FailUnknown),
        ];
        for (outcome, expected) in cases {
            let mut attempts = Attempts::new(false, max_runs);
            assert_eq!(attempts.record(outcome), expected, "{outcome:?}");
        }
    }
}

#[test]
fn a_repeatable_request_runs_at_most_as_often_as_its_route_allows() {
    let mut attempts = Attempts::new(true, 3);
    assert_eq!(
        attempts.record(AttemptOutcome::Unknown),
        NextStep::TryAnother
    );
    assert_eq!(
        attempts.record(AttemptOutcome::Rejected),
        NextStep::TryAnother
    );
    assert_eq!(
        attempts.record(AttemptOutcome::Failed),
        NextStep::TryAnother
    );
    assert_eq!(
        attempts.record(AttemptOutcome::Unknown),
        NextStep::FailUnknown
    );
}

/// In any order of outcomes, the runs stay within the route's limit, "not run" is reported only if
/// the request cannot have run, and a request that may not repeat runs at most once.
#[test]
fn run_limits_hold_in_any_order_of_outcomes() {
    common::run_seeded_cases(500, 128, |u| {
        let repeatable: bool = u.arbitrary()?;
        let max_runs: u32 = u.int_in_range(0..=4)?;
        let mut attempts = Attempts::new(repeatable, max_runs);
        let mut runs = 0;
        loop {
            // Some callers record only outcomes.
            if u.arbitrary()? {
                attempts.begin();
                assert!(attempts.may_have_run());
            }
            let outcome = *u.choose(&ALL_OUTCOMES)?;
            let ran = matches!(outcome, AttemptOutcome::Failed | AttemptOutcome::Unknown);
            runs += u32::from(ran);
            let next = attempts.record(outcome);
            assert!(runs <= if repeatable { max_runs.max(1) } else { 1 });
            assert_eq!(attempts.may_have_run(), runs > 0);
            match next {
                NextStep::TryAnother => assert!(runs == 0 || repeatable),
                NextStep::RefuseNotRun => assert_eq!(runs, 0),
                NextStep::PassOn => assert_eq!(outcome, AttemptOutcome::Failed),
                NextStep::FailUnknown => assert!(runs > 0),
            }
            if next != NextStep::TryAnother {
                return Ok(());
            }
        }
    });
}

/// Half of a fleet restarts while the server list cannot be updated, and each listed instance turns
/// out to be dead at the first attempt. A request is still sent to the remaining servers.
#[test]
fn dead_instances_do_not_use_up_the_attempts_of_a_request() {
    for repeatable in [true, false] {
        let mut attempts = Attempts::new(repeatable, 1);
        for _ in 0..40 {
            assert_eq!(attempts.record(AttemptOutcome::Gone), NextStep::TryAnother);
        }
        assert!(!attempts.may_have_run());
        assert_eq!(attempts.give_up(), NextStep::RefuseNotRun);
    }
}

/// If every server instance is dead, the attempts still end, and the request counts as not run.
#[test]
fn attempts_end_when_every_instance_is_dead() {
    let mut attempts = Attempts::new(true, 2);
    let steps = (0..1_000).map(|_| attempts.record(AttemptOutcome::Gone));
    assert!(steps.take(100).any(|step| step == NextStep::RefuseNotRun));
}
