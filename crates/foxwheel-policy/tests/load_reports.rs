//! When changes of load are told.

use std::time::{Duration, Instant};

use foxwheel_policy::load_reports::{self, ReportTimer};

/// A step of 1,600 requests a second at one front: two changes each, told together.
#[test]
fn changes_are_told_at_once_and_together_when_they_are_many() {
    let start = Instant::now();
    let mut clock = ReportTimer::new(load_reports::MIN_CHANGES_INTERVAL);
    let mut told = 0;
    for change in 0..3_200 {
        let now = start + Duration::from_secs(1) * change / 3_200;
        if clock.is_due(now) {
            clock.record_report(now);
            told += 1;
        }
    }
    assert!((400..=500).contains(&told), "{told} messages");
    assert!(
        clock.is_due(start + Duration::from_secs(2)),
        "a change alone is told at once"
    );
}

/// A zone of 80 processes: each tells most of them three times a second, so that its messages
/// stay a few hundred a second, and still more often than they count it as dead.
#[test]
fn a_large_zone_is_told_more_rarely() {
    let wide = |recipients| (1..=30).filter(move |n| load_reports::is_zone_wide(*n, recipients));
    assert_eq!(wide(8).count(), 30);
    assert_eq!(wide(79).count(), 10);
    let between =
        load_reports::HEARTBEAT_INTERVAL * load_reports::REPORTS_PER_ZONE_WIDE_REPORT as u32;
    assert!(between * 4 < load_reports::DEAD_TIMEOUT);
}
