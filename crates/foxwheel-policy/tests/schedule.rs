//! Tests the order in which batch items get slots when more items are due than the slots can run.

use std::time::Duration;

use foxwheel_policy::batch::schedule::{self, RunEstimate, WaitingItem};

const SLOTS: usize = 30;
const TIME_TO_DUE: Duration = Duration::from_secs(18);
const RUN_TIME: Duration = Duration::from_secs(5);
const TICK: Duration = Duration::from_millis(100);

/// Items are submitted at a constant rate for 34 s. The rate is two thirds higher than the slots
/// can run: 30 slots with runs of 5 s finish 6 items per second.
const ITEMS_PER_S: usize = 10;
const SUBMISSION_TIME: Duration = Duration::from_secs(34);

/// Simulates the load with items in the order that `order` gives. Returns how many items
/// finished in time and how many finished at all within 20 s of the last submission.
fn simulate_load(order: impl Fn(&mut [WaitingItem], Duration)) -> (usize, usize) {
    let mut waiting: Vec<WaitingItem> = Vec::new();
    let mut running: Vec<(Duration, WaitingItem)> = Vec::new();
    let (mut in_time, mut finished) = (0, 0);
    let mut submitted_items = 0;
    let mut now = Duration::ZERO;
    while now < SUBMISSION_TIME + Duration::from_secs(20) {
        let submitted_now = ITEMS_PER_S * now.min(SUBMISSION_TIME).as_millis() as usize / 1_000;
        for item in submitted_items..submitted_now {
            waiting.push(WaitingItem {
                job: item / 10,
                item: item % 10,
                due_unix: now + TIME_TO_DUE,
                remaining_run_time: RUN_TIME,
            });
        }
        submitted_items = submitted_now;
        running.retain(|(ends_at, item)| {
            let ended = *ends_at <= now;
            finished += usize::from(ended);
            in_time += usize::from(ended && now <= item.due_unix);
            !ended
        });
        order(&mut waiting, now);
        while running.len() < SLOTS && !waiting.is_empty() {
            running.push((now + RUN_TIME, waiting.remove(0)));
        }
        now += TICK;
    }
    (in_time, finished)
}

#[test]
fn overload_makes_only_some_items_late() {
    let by_submission =
        simulate_load(|items, _| items.sort_by_key(|item| (item.due_unix, item.item)));
    let scheduled = simulate_load(schedule::sort_waiting_items);
    // The slots have 34 s of submissions and 13 s after them to finish items in time, at 6 items
    // per second.
    assert!(
        scheduled.0 >= by_submission.0 + 50,
        "(in time, finished): {scheduled:?}, in the order of submission {by_submission:?}"
    );
    assert_eq!(
        scheduled.1, by_submission.1,
        "the slots are used equally well"
    );
}

#[test]
fn items_that_can_finish_in_time_come_first_by_due_time_then_remaining_run_time() {
    let now_unix = Duration::from_secs(100);
    let item = |job, due_s, remaining_s| WaitingItem {
        job,
        item: 0,
        due_unix: Duration::from_secs(due_s),
        remaining_run_time: Duration::from_secs(remaining_s),
    };
    let mut items = [
        item(0, 99, 1),
        item(1, 110, 5),
        item(2, 104, 5),
        item(3, 104, 2),
        item(4, 110, 4),
    ];
    schedule::sort_waiting_items(&mut items, now_unix);
    let order: Vec<usize> = items.iter().map(|item| item.job).collect();
    assert_eq!(order, [3, 4, 1, 0, 2]);
}

#[test]
fn estimate_follows_the_runs_and_is_zero_before_the_first() {
    let mut estimate = RunEstimate::default();
    assert_eq!(estimate.remaining_run_time(0), Duration::ZERO);
    for _ in 0..60 {
        estimate.record_run(100, Duration::from_secs(4));
        estimate.record_full_output(150);
    }
    assert_eq!(estimate.remaining_run_time(0).as_millis(), 6_000);
    assert_eq!(estimate.remaining_run_time(50).as_millis(), 4_000);
    assert_eq!(estimate.remaining_run_time(200), Duration::ZERO);
    for _ in 0..60 {
        estimate.record_run(100, Duration::from_secs(8));
    }
    let slower = estimate.remaining_run_time(0).as_millis();
    assert!((11_800..12_000).contains(&slower), "{slower}");
    // With few events the prompt would dominate the time per event, so the run is ignored.
    estimate.record_run(2, Duration::from_secs(60));
    assert_eq!(estimate.remaining_run_time(0).as_millis(), slower);
}
