//! Callers refused for lack of slots, and what they meet when they return.

use std::time::{Duration, Instant};

use foxwheel_policy::admission::{RetrySchedule, SlotSupply};

const SLOTS: usize = 144;
const HOLD: Duration = Duration::from_millis(600);

const SUPPLY: SlotSupply = SlotSupply {
    slots: SLOTS as u32,
    hold_time: HOLD,
    fronts: 1,
};

/// A herd: every caller of a site calls one front within 50 ms, when the others are not back
/// yet. Each refused caller returns once, at the time it was told. Answers how many callers
/// were refused twice.
fn lost_of_a_herd(callers: u32, mut told: impl FnMut(Instant) -> Duration) -> usize {
    let start = Instant::now();
    let mut calls: Vec<(Instant, bool)> = (0..callers)
        .map(|at| (start + Duration::from_millis(50) * at / callers, false))
        .collect();
    let mut busy_until: Vec<Instant> = Vec::new();
    let mut lost = 0;
    while !calls.is_empty() {
        calls.sort_unstable();
        let (now, returned) = calls.remove(0);
        busy_until.retain(|until| *until > now);
        if busy_until.len() < SLOTS {
            busy_until.push(now + HOLD);
        } else if returned {
            lost += 1;
        } else {
            calls.push((now + told(now), true));
        }
    }
    lost
}

#[test]
fn a_herd_that_returns_one_after_the_other_is_served() {
    let together = lost_of_a_herd(400, |_| Duration::from_millis(150));
    assert_eq!(together, 400 - SLOTS, "all return into full servers");
    let mut times = RetrySchedule::default();
    let spread = lost_of_a_herd(400, |now| times.next_retry_after(SUPPLY, 0.5, now));
    assert!(spread < 40, "{spread} of 256 refused callers lost");
}

#[test]
fn what_is_told_stays_within_bounds_and_grows_as_slots_are_freed() {
    let now = Instant::now();
    let mut times = RetrySchedule::default();
    let mut before = Duration::ZERO;
    for at in 0..2_000 {
        let told = times.next_retry_after(SUPPLY, 0.3, now);
        assert!(told >= HOLD, "{told:?}");
        assert!(told <= Duration::from_millis(1_500), "{told:?}");
        if at < 200 {
            assert!(told > before || at == 0, "caller {at}: {told:?}");
            before = told;
        }
    }
}

#[test]
fn a_calm_front_tells_the_shortest_time_again() {
    let now = Instant::now();
    let mut times = RetrySchedule::default();
    for _ in 0..100 {
        times.next_retry_after(SUPPLY, 0.0, now);
    }
    let later = now + Duration::from_secs(10);
    assert_eq!(times.next_retry_after(SUPPLY, 0.0, later), HOLD);
    let short = SlotSupply {
        hold_time: Duration::from_millis(5),
        ..SUPPLY
    };
    let much_later = later + Duration::from_secs(10);
    assert_eq!(
        times.next_retry_after(short, 0.0, much_later),
        Duration::from_millis(100)
    );
}

#[test]
fn fronts_that_share_the_servers_share_the_freed_slots() {
    let now = Instant::now();
    let told_after = |fronts| {
        let mut times = RetrySchedule::default();
        let supply = SlotSupply { fronts, ..SUPPLY };
        (0..20)
            .map(|_| times.next_retry_after(supply, 0.0, now))
            .last()
    };
    assert!(told_after(4) > told_after(1));
}
