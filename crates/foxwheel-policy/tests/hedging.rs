//! Second servers beside silent ones.

use std::time::{Duration, Instant};

use foxwheel_policy::hedging::{AwaitedPart, HedgePlan};
use foxwheel_policy::retry::{AttemptOutcome, Attempts, NextStep};

/// How a request that waits for data fares in the replay.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    /// The first server went on after this time.
    First(Duration),
    /// A second server was opened after this time.
    Second(Duration),
    /// Neither happened before the caller's time limit.
    TimedOut,
}

const TIME_LIMIT: Duration = Duration::from_secs(5);

/// Longer than any request takes.
const NEVER: Duration = Duration::from_secs(3_600);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn attempts_in_progress(max_runs: u32) -> Attempts {
    let mut attempts = Attempts::new(true, max_runs);
    attempts.begin();
    attempts
}

/// Replays a request whose first server goes on after `pause`, while a second one has a free slot from
/// `slot_free_after` on. Returns its outcome and how often a second server was looked for.
fn replay(max_runs: u32, pause: Duration, slot_free_after: Duration) -> (Outcome, u32) {
    let start = Instant::now();
    let attempts = attempts_in_progress(max_runs);
    let mut plan = HedgePlan::new(AwaitedPart::Data, start);
    let mut tries = 0;
    loop {
        let next = plan.next_attempt_at(&attempts);
        let next = next.filter(|at| *at < start + TIME_LIMIT.min(pause));
        let Some(at) = next else {
            let outcome = match pause < TIME_LIMIT {
                true => Outcome::First(pause),
                false => Outcome::TimedOut,
            };
            return (outcome, tries);
        };
        tries += 1;
        if at >= start + slot_free_after {
            return (Outcome::Second(at - start), tries);
        }
        plan.record_refusal(at);
    }
}

#[test]
fn a_server_that_pauses_is_kept_while_no_second_one_runs_the_request() {
    for (max_runs, pause_ms, slot_free_after) in [
        (2, 600, ms(0)),
        (2, 1_300, NEVER),
        (2, 1_300, ms(1_400)),
        (1, 1_300, ms(0)),
        (1, 4_900, ms(0)),
    ] {
        let (outcome, _) = replay(max_runs, ms(pause_ms), slot_free_after);
        assert_eq!(outcome, Outcome::First(ms(pause_ms)), "{max_runs} runs");
    }
}

#[test]
fn a_hung_server_is_left_soon_after_a_second_one_has_a_slot() {
    assert_eq!(
        replay(2, NEVER, ms(0)),
        (Outcome::Second(AwaitedPart::Data.patience()), 1)
    );
    for free_after_ms in (0..4_000).step_by(50) {
        let (outcome, tries) = replay(2, NEVER, ms(free_after_ms));
        let Outcome::Second(after) = outcome else {
            panic!("slot free after {free_after_ms} ms: {outcome:?}");
        };
        // The delays double, so that a try comes before twice the time since the first one.
        let patience = AwaitedPart::Data.patience();
        let latest = patience.max(ms(2 * free_after_ms));
        assert!(after <= latest, "{free_after_ms} ms: {after:?}");
        assert!(tries <= 6, "{free_after_ms} ms: {tries} tries");
    }
}

#[test]
fn a_hung_server_is_waited_for_until_the_time_limit_if_no_run_is_left() {
    assert_eq!(replay(1, NEVER, ms(0)), (Outcome::TimedOut, 0));
}

/// A server that is silent to everyone has the request already. One that lost it never responds.
#[test]
fn a_server_that_pauses_gets_no_request_twice_and_one_that_hangs_does() {
    for awaited in [AwaitedPart::Head, AwaitedPart::Data] {
        let start = Instant::now();
        let plan = HedgePlan::new(awaited, start);
        assert!(
            !plan.may_use_silent_servers(start + ms(1_600)),
            "{awaited:?}"
        );
        assert!(
            plan.may_use_silent_servers(start + ms(2_400)),
            "{awaited:?}"
        );
    }
}

/// A front that stood still for seconds finds the timers of all its streams expired.
#[test]
fn a_process_that_stood_still_reads_before_it_tries_second_servers() {
    let start = Instant::now();
    let patience = AwaitedPart::Data.patience();
    let mut plan = HedgePlan::new(AwaitedPart::Data, start);
    assert!(
        !plan.postpone_late_attempt(start + patience + ms(20)),
        "in time"
    );
    let woken_at = start + ms(4_000);
    assert!(plan.postpone_late_attempt(woken_at));
    let next = plan
        .next_attempt_at(&attempts_in_progress(2))
        .expect("a run is left");
    assert!(next > woken_at && next <= woken_at + ms(100));
    assert!(!plan.postpone_late_attempt(next + ms(500)), "only once");
}

/// A second server that was given up may have run the request. No third one is tried beyond the
/// route's limit, and the first one may still fail.
#[test]
fn runs_of_second_servers_that_were_given_up_count() {
    let mut attempts = attempts_in_progress(2);
    assert!(attempts.may_run_again());
    attempts.begin();
    assert!(!attempts.may_run_again(), "two runs in progress");
    attempts.record(AttemptOutcome::Unknown);
    assert_eq!(attempts.in_progress(), 1);
    let plan = HedgePlan::new(AwaitedPart::Data, Instant::now());
    assert_eq!(plan.next_attempt_at(&attempts), None);
    let next = attempts.record(AttemptOutcome::Unknown);
    assert_eq!(next, NextStep::FailUnknown);
}

/// Rejections of second servers use up no run, but while the first server works on the request, it
/// must not be reported as not run.
#[test]
fn a_request_with_a_run_in_progress_is_not_reported_as_not_run() {
    let mut attempts = attempts_in_progress(2);
    for _ in 0..8 {
        attempts.begin();
        attempts.record(AttemptOutcome::Rejected);
        assert!(attempts.may_run_again());
        assert_eq!(attempts.give_up(), NextStep::FailUnknown);
    }
    let next = attempts.record(AttemptOutcome::Rejected);
    assert_eq!(next, NextStep::RefuseNotRun, "no run is left in progress");
}
