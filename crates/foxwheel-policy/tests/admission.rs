//! Retry schedule of callers that were refused because every slot was taken.

use std::time::{Duration, Instant};

use foxwheel_policy::admission::{RetrySchedule, SlotSupply};

const SLOTS: usize = 144;
const HOLD_TIME: Duration = Duration::from_millis(600);

const SUPPLY: SlotSupply = SlotSupply {
    slots: SLOTS as u32,
    hold_time: HOLD_TIME,
    fronts: 1,
};

/// Simulates all callers of a site that call the only available front within 50 ms, for example
/// after the loss of hosts. Each refused caller retries once, after the time that `retry_after`
/// returns. Returns the number of callers that were refused twice.
fn count_refused_twice(callers: u32, mut retry_after: impl FnMut(Instant) -> Duration) -> usize {
    let start = Instant::now();
    let mut calls: Vec<(Instant, bool)> = (0..callers)
        .map(|at| (start + Duration::from_millis(50) * at / callers, false))
        .collect();
    let mut busy_until: Vec<Instant> = Vec::new();
    let mut refused_twice = 0;
    while !calls.is_empty() {
        calls.sort_unstable();
        let (now, is_retry) = calls.remove(0);
        busy_until.retain(|until| *until > now);
        if busy_until.len() < SLOTS {
            busy_until.push(now + HOLD_TIME);
        } else if is_retry {
            refused_twice += 1;
        } else {
            calls.push((now + retry_after(now), true));
        }
    }
    refused_twice
}

#[test]
fn staggered_retries_after_a_burst_find_free_slots() {
    let with_same_time = count_refused_twice(400, |_| Duration::from_millis(150));
    assert_eq!(
        with_same_time,
        400 - SLOTS,
        "every retry finds the servers full"
    );
    let mut schedule = RetrySchedule::default();
    let with_schedule = count_refused_twice(400, |now| schedule.next_retry_after(SUPPLY, 0.5, now));
    assert!(
        with_schedule < 40,
        "{with_schedule} of 256 refused callers were refused twice"
    );
}

#[test]
fn retry_times_are_bounded_and_increase_with_the_number_of_refused_callers() {
    let now = Instant::now();
    let mut schedule = RetrySchedule::default();
    let mut previous = Duration::ZERO;
    for at in 0..2_000 {
        let retry_after = schedule.next_retry_after(SUPPLY, 0.3, now);
        assert!(retry_after >= HOLD_TIME, "{retry_after:?}");
        assert!(
            retry_after <= Duration::from_millis(1_500),
            "{retry_after:?}"
        );
        if at < 200 {
            assert!(
                retry_after > previous || at == 0,
                "caller {at}: {retry_after:?}"
            );
            previous = retry_after;
        }
    }
}

#[test]
fn an_idle_front_returns_to_the_shortest_retry_time() {
    let now = Instant::now();
    let mut schedule = RetrySchedule::default();
    for _ in 0..100 {
        schedule.next_retry_after(SUPPLY, 0.0, now);
    }
    let later = now + Duration::from_secs(10);
    assert_eq!(schedule.next_retry_after(SUPPLY, 0.0, later), HOLD_TIME);
    let short_requests = SlotSupply {
        hold_time: Duration::from_millis(5),
        ..SUPPLY
    };
    let much_later = later + Duration::from_secs(10);
    assert_eq!(
        schedule.next_retry_after(short_requests, 0.0, much_later),
        Duration::from_millis(100)
    );
}

#[test]
fn fronts_that_share_servers_get_longer_retry_times() {
    let now = Instant::now();
    let last_retry_after = |fronts| {
        let mut schedule = RetrySchedule::default();
        let supply = SlotSupply { fronts, ..SUPPLY };
        (0..20)
            .map(|_| schedule.next_retry_after(supply, 0.0, now))
            .last()
    };
    assert!(last_retry_after(4) > last_retry_after(1));
}
