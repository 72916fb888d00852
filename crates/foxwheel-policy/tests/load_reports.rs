//! When changes of load are told.

use std::time::{Duration, Instant};

use foxwheel_policy::load_reports::{self, ChangeClock};

/// A step of 1,600 requests a second at one front: two changes each, told together.
#[test]
fn changes_are_told_at_once_and_together_when_they_are_many() {
    let start = Instant::now();
    let mut clock = ChangeClock::new(load_reports::CHANGES_GAP);
    let mut told = 0;
    for change in 0..3_200 {
        let now = start + Duration::from_secs(1) * change / 3_200;
        if clock.is_due(now) {
            clock.note(now);
            told += 1;
        }
    }
    assert!((400..=500).contains(&told), "{told} messages");
    assert!(
        clock.is_due(start + Duration::from_secs(2)),
        "a change alone is told at once"
    );
}
