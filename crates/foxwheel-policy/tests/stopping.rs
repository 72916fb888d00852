//! The steps of a planned stop.

use std::time::{Duration, Instant};

use foxwheel_policy::stopping::StopPlan;

/// A stop of 8 s in which callers keep sending: at 7.24 s a request was taken and cut at
/// 7.5 s. From the moment of the plan none is taken that a generation of 1.5 s could not
/// finish.
#[test]
fn the_last_requests_taken_have_time_to_end() {
    let told_at = Instant::now();
    let plan = StopPlan::new(told_at, Duration::from_secs(8));
    assert!(plan.end_at < told_at + Duration::from_secs(8));
    assert!(plan.end_at - plan.refuse_from >= Duration::from_millis(3_000));
    assert!(plan.close_idle_at >= told_at + Duration::from_millis(3_000));
    assert!(plan.close_idle_at <= plan.refuse_from);
}

#[test]
fn the_steps_keep_their_order_for_any_grace() {
    let told_at = Instant::now();
    for grace_ms in [0, 1, 400, 501, 1_000, 2_000, 5_000, 30_000] {
        let plan = StopPlan::new(told_at, Duration::from_millis(grace_ms));
        assert!(told_at <= plan.close_idle_at, "{grace_ms} ms");
        assert!(plan.close_idle_at <= plan.refuse_from, "{grace_ms} ms");
        assert!(plan.refuse_from <= plan.end_at, "{grace_ms} ms");
        assert!(
            plan.end_at <= told_at + Duration::from_millis(grace_ms),
            "{grace_ms} ms"
        );
    }
}
