//! Servers that fail part of their requests.

use std::time::{Duration, Instant};

use foxwheel_policy::health::OutcomeHistory;
use foxwheel_policy::placement::{self, Candidate};

fn candidate(id: &str, in_flight: u32, failure_rate: f64) -> Candidate {
    Candidate {
        id: id.to_owned(),
        incarnation: 0,
        zone: "here".to_owned(),
        slots: 8,
        in_flight,
        failure_rate,
        ..Candidate::default()
    }
}

#[test]
fn one_failure_says_little_several_say_much_and_all_is_forgotten() {
    let start = Instant::now();
    let mut outcomes = OutcomeHistory::default();
    assert_eq!(outcomes.failure_rate(start), 0.0);
    outcomes.record(true, start);
    let once = outcomes.failure_rate(start);
    assert!((0.1..0.25).contains(&once), "{once}");
    for _ in 0..9 {
        outcomes.record(true, start);
    }
    let often = outcomes.failure_rate(start);
    assert!(often > 0.65, "{often}");
    let later = outcomes.failure_rate(start + Duration::from_secs(20));
    assert!(later < 0.05, "{later}");
}

/// Two in five requests fail at some servers: the others are taken while they have slots,
/// and the failing ones rather than none at all.
#[test]
fn a_failing_server_is_taken_when_the_others_are_full() {
    let now = Instant::now();
    let mut failing = OutcomeHistory::default();
    for at in 0..20 {
        failing.record(at % 5 < 2, now);
    }
    let rate = failing.failure_rate(now);
    let pick = |busy| {
        let servers = [candidate("sound", busy, 0.0), candidate("failing", 0, rate)];
        placement::pick_online(&servers, "here", 0).map(|one| one.id.clone())
    };
    assert_eq!(pick(0).as_deref(), Some("sound"));
    assert_eq!(pick(7).as_deref(), Some("sound"));
    assert_eq!(pick(12).as_deref(), Some("failing"));
}

/// A server that loses one answer in twenty keeps nearly its share of the requests.
#[test]
fn a_lost_answer_now_and_then_takes_no_server_out() {
    let now = Instant::now();
    let mut outcomes = OutcomeHistory::default();
    for at in 0..40 {
        outcomes.record(at % 20 == 0, now);
    }
    let servers = [
        candidate("sound", 4, 0.0),
        candidate("loses", 2, outcomes.failure_rate(now)),
    ];
    let pick = placement::pick_online(&servers, "here", 0).expect("both have slots");
    assert_eq!(pick.id, "loses");
}

/// A request that queues behind a full server is not kept waiting by a fault.
#[test]
fn the_wait_behind_a_full_server_is_expected() {
    let hold = Duration::from_millis(800);
    let wait = |in_flight| placement::expected_wait(&candidate("a", in_flight, 0.0), hold);
    assert_eq!(wait(7), Duration::ZERO);
    assert_eq!(wait(8), Duration::from_millis(100));
    assert_eq!(wait(11), Duration::from_millis(400));
    assert_eq!(wait(1_000), Duration::from_secs(2));
}
