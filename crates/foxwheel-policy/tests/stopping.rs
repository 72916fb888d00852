//! The schedule of a planned stop of a front.

use std::time::{Duration, Instant};

use foxwheel_policy::stopping::StopPlan;

/// Guards against requests that are accepted too late to complete: in a stop of 8 s with callers
/// that kept sending, a request accepted at 7.24 s was cut off at 7.5 s. The plan leaves twice
/// the time of a generation of 1.5 s for the last requests.
#[test]
fn the_last_accepted_requests_have_time_to_complete() {
    let requested_at = Instant::now();
    let plan = StopPlan::new(requested_at, Duration::from_secs(8));
    assert!(plan.end_at < requested_at + Duration::from_secs(8));
    assert!(plan.end_at - plan.refuse_from >= Duration::from_millis(3_000));
    assert!(plan.close_idle_at >= requested_at + Duration::from_millis(3_000));
    assert!(plan.close_idle_at <= plan.refuse_from);
}

#[test]
fn the_steps_stay_in_order_for_any_grace() {
    let requested_at = Instant::now();
    for grace_ms in [0, 1, 400, 501, 1_000, 2_000, 5_000, 30_000] {
        let plan = StopPlan::new(requested_at, Duration::from_millis(grace_ms));
        assert!(requested_at <= plan.close_idle_at, "{grace_ms} ms");
        assert!(plan.close_idle_at <= plan.refuse_from, "{grace_ms} ms");
        assert!(plan.refuse_from <= plan.end_at, "{grace_ms} ms");
        assert!(
            plan.end_at <= requested_at + Duration::from_millis(grace_ms),
            "{grace_ms} ms"
        );
    }
}
