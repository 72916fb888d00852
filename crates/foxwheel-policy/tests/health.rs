//! Selection among servers that fail part of their requests.

use std::time::{Duration, Instant};

use foxwheel_policy::health::OutcomeHistory;
use foxwheel_policy::placement::{self, Candidate};

fn candidate(id: &str, in_flight: u32, failure_rate: f64) -> Candidate {
    Candidate {
        id: id.to_owned(),
        incarnation: 0,
        zone: "local".to_owned(),
        slots: 8,
        in_flight,
        failure_rate,
        ..Candidate::default()
    }
}

#[test]
fn the_failure_rate_is_low_after_one_failure_high_after_several_and_decays() {
    let start = Instant::now();
    let mut outcomes = OutcomeHistory::default();
    assert_eq!(outcomes.failure_rate(start), 0.0);
    outcomes.record(true, start);
    let after_one = outcomes.failure_rate(start);
    assert!((0.1..0.25).contains(&after_one), "{after_one}");
    for _ in 0..9 {
        outcomes.record(true, start);
    }
    let after_ten = outcomes.failure_rate(start);
    assert!(after_ten > 0.65, "{after_ten}");
    let later = outcomes.failure_rate(start + Duration::from_secs(20));
    assert!(later < 0.05, "{later}");
}

/// A server that fails two in five requests is selected only if all other servers are full and
/// their queues are at the limit.
#[test]
fn a_failing_server_is_selected_only_when_the_others_are_full() {
    let now = Instant::now();
    let mut failing = OutcomeHistory::default();
    for at in 0..20 {
        failing.record(at % 5 < 2, now);
    }
    let rate = failing.failure_rate(now);
    let pick = |in_flight| {
        let servers = [
            candidate("healthy", in_flight, 0.0),
            candidate("failing", 0, rate),
        ];
        placement::pick_online(&servers, "local", 0).map(|candidate| candidate.id.clone())
    };
    assert_eq!(pick(0).as_deref(), Some("healthy"));
    assert_eq!(pick(7).as_deref(), Some("healthy"));
    assert_eq!(pick(12).as_deref(), Some("failing"));
}

/// A server that loses one response in twenty still gets nearly its share of the requests.
#[test]
fn occasional_lost_responses_do_not_exclude_a_server() {
    let now = Instant::now();
    let mut outcomes = OutcomeHistory::default();
    for at in 0..40 {
        outcomes.record(at % 20 == 0, now);
    }
    let servers = [
        candidate("healthy", 4, 0.0),
        candidate("lossy", 2, outcomes.failure_rate(now)),
    ];
    let pick = placement::pick_online(&servers, "local", 0).expect("both have slots");
    assert_eq!(pick.id, "lossy");
}

/// A request that is queued at a full server must not count the server as faulty.
#[test]
fn the_expected_wait_covers_the_queue_of_a_full_server() {
    let hold_time = Duration::from_millis(800);
    let wait = |in_flight| placement::expected_wait(&candidate("a", in_flight, 0.0), hold_time);
    assert_eq!(wait(7), Duration::ZERO);
    assert_eq!(wait(8), Duration::from_millis(100));
    assert_eq!(wait(11), Duration::from_millis(400));
    assert_eq!(wait(1_000), Duration::from_secs(2));
}
