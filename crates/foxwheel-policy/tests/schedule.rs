//! The order of batch items when more is due than the slots can carry.

use std::time::Duration;

use foxwheel_policy::batch::schedule::{self, RunEstimate, WaitingItem};

const SLOTS: usize = 30;
const DUE: Duration = Duration::from_secs(18);
const RUN: Duration = Duration::from_secs(5);
const TICK: Duration = Duration::from_millis(100);

/// Items submitted at a steady rate for 34 s, two thirds above what the slots carry (30 slots
/// of 5 s runs carry 6 items a second).
const ITEMS_PER_S: usize = 10;
const SUBMITTING: Duration = Duration::from_secs(34);

/// Plays the load; answers how many items were in time and how many were finished at all
/// within 20 s of the last submission.
fn play(order: impl Fn(&mut [WaitingItem], Duration)) -> (usize, usize) {
    let mut waiting: Vec<WaitingItem> = Vec::new();
    let mut running: Vec<(Duration, WaitingItem)> = Vec::new();
    let (mut in_time, mut finished) = (0, 0);
    let mut submitted = 0;
    let mut now = Duration::ZERO;
    while now < SUBMITTING + Duration::from_secs(20) {
        let due = ITEMS_PER_S * now.min(SUBMITTING).as_millis() as usize / 1_000;
        for item in submitted..due {
            waiting.push(WaitingItem {
                job: item / 10,
                item: item % 10,
                due_unix: now + DUE,
                remaining_run_time: RUN,
            });
        }
        submitted = due;
        running.retain(|(ends_at, item)| {
            let ended = *ends_at <= now;
            finished += usize::from(ended);
            in_time += usize::from(ended && now <= item.due_unix);
            !ended
        });
        order(&mut waiting, now);
        while running.len() < SLOTS && !waiting.is_empty() {
            running.push((now + RUN, waiting.remove(0)));
        }
        now += TICK;
    }
    (in_time, finished)
}

#[test]
fn an_overload_makes_some_items_late_and_not_all() {
    let by_submission = play(|items, _| items.sort_by_key(|item| (item.due_unix, item.item)));
    let scheduled = play(schedule::sort_waiting_items);
    // 34 s of submissions and 13 s behind them, at 6 a second.
    assert!(
        scheduled.0 >= by_submission.0 + 50,
        "{scheduled:?} in time and finished, by submission {by_submission:?}"
    );
    assert_eq!(scheduled.1, by_submission.1, "the slots are used as well");
}

#[test]
fn items_that_can_be_in_time_go_first_by_due_time_then_by_what_is_left() {
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
fn the_estimate_follows_the_runs_and_is_zero_before_the_first() {
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
    // Too few events tell of the prompt, not of the steps.
    estimate.record_run(2, Duration::from_secs(60));
    assert_eq!(estimate.remaining_run_time(0).as_millis(), slower);
}
