//! Timing of load reports.

use std::time::{Duration, Instant};

use foxwheel_policy::load_reports::{self, ReportTimer};

/// A step of 1,600 requests per second at one front, each of which changes the load twice. The
/// changes are combined into fewer reports.
#[test]
fn changes_are_reported_immediately_and_combined_at_high_rates() {
    let start = Instant::now();
    let mut timer = ReportTimer::new(load_reports::MIN_CHANGES_INTERVAL);
    let mut reports = 0;
    for change in 0..3_200 {
        let now = start + Duration::from_secs(1) * change / 3_200;
        if timer.is_due(now) {
            timer.record_report(now);
            reports += 1;
        }
    }
    assert!((400..=500).contains(&reports), "{reports} reports");
    assert!(
        timer.is_due(start + Duration::from_secs(2)),
        "a single change is reported immediately"
    );
}

/// In a zone of 80 processes, each process sends a full report to most others only three times
/// per second, so that it sends a few hundred messages per second, but still often enough not to
/// count as dead.
#[test]
fn full_reports_are_less_frequent_in_a_large_zone() {
    let zone_wide =
        |recipients| (1..=30).filter(move |number| load_reports::is_zone_wide(*number, recipients));
    assert_eq!(zone_wide(8).count(), 30);
    assert_eq!(zone_wide(79).count(), 10);
    let interval =
        load_reports::HEARTBEAT_INTERVAL * load_reports::REPORTS_PER_ZONE_WIDE_REPORT as u32;
    assert!(interval * 4 < load_reports::DEAD_TIMEOUT);
}
