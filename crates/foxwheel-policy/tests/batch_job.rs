//! A job's items and results: single steps, and workers that take turns in any order.

mod common;

use std::time::{Duration, Instant};

use foxwheel_policy::batch::item::{ItemOutcome, ItemResult, PartialOutput, RunEnd};
use foxwheel_policy::batch::job::{self, JobProgress};
use foxwheel_policy::routes::{Route, RouteKind};

const MAX_FAILURES: u32 = 3;

fn output(events: &[(u64, &str)]) -> PartialOutput {
    let mut partial = PartialOutput::default();
    for (id, data) in events {
        assert!(partial.push_event(*id, data));
    }
    partial
}

fn results(progress: &JobProgress) -> Vec<ItemResult> {
    progress.unstored_results().cloned().collect()
}

#[test]
fn an_output_takes_each_event_once_and_in_order() {
    let mut partial = output(&[(1, "a"), (2, "b")]);
    assert!(!partial.push_event(2, "b"), "an event twice");
    assert!(!partial.push_event(4, "d"), "an event missing");
    assert!(partial.push_event(3, "c"));
    assert_eq!(partial.text, "a\nb\nc");
}

#[test]
fn what_the_end_of_a_run_means() {
    let cases = [
        (RunEnd::Whole, Some(ItemOutcome::Completed)),
        (RunEnd::Impossible, Some(ItemOutcome::GivenUp)),
        (RunEnd::Failed, None),
        (RunEnd::NotRun, None),
        (RunEnd::Broken, None),
        (RunEnd::Preempted, None),
    ];
    for (end, expected) in cases {
        let now = Instant::now();
        let mut progress = JobProgress::new(common::job_with_items(1));
        progress.start_item(0);
        progress.record_run_end(0, end, output(&[(1, "a")]), MAX_FAILURES, now);
        let ending = results(&progress).first().map(|result| result.ending);
        assert_eq!(ending, expected, "{end:?}");
        if expected.is_none() {
            let later = now + Duration::from_secs(1);
            assert_eq!(progress.next_item(later), Some(0), "{end:?} runs again");
            assert_eq!(
                progress.items[0].partial_output.last_event_id,
                Some(1),
                "{end:?} keeps its output"
            );
        }
    }
}

#[test]
fn an_item_is_given_up_after_its_failures_and_not_for_broken_runs() {
    let now = Instant::now();
    let mut progress = JobProgress::new(common::job_with_items(1));
    for _ in 0..20 {
        progress.start_item(0);
        progress.record_run_end(
            0,
            RunEnd::Broken,
            PartialOutput::default(),
            MAX_FAILURES,
            now,
        );
    }
    for failure in 1..=MAX_FAILURES {
        assert!(!progress.is_finished(), "before failure {failure}");
        progress.start_item(0);
        progress.record_run_end(
            0,
            RunEnd::Failed,
            PartialOutput::default(),
            MAX_FAILURES,
            now,
        );
    }
    assert!(progress.is_finished());
    assert!(progress.has_unstored_give_up());
    assert_eq!(progress.unfinished_tokens(), 0);
}

#[test]
fn a_part_holds_at_least_one_result_and_no_more_than_fit() {
    let now = Instant::now();
    let mut progress = JobProgress::new(common::job_with_items(4));
    for item in 0..4 {
        progress.start_item(item);
        progress.record_run_end(
            item,
            RunEnd::Whole,
            output(&[(1, &"x".repeat(1_000))]),
            1,
            now,
        );
    }
    assert_eq!(progress.next_part(10).len(), 1);
    assert_eq!(progress.next_part(2_500).len(), 2);
    assert_eq!(progress.next_part(1_000_000).len(), 4);
}

#[test]
fn an_ended_job_runs_nothing_and_keeps_what_is_listed() {
    let mut progress = JobProgress::new(common::job_with_items(2));
    let listed = ItemResult {
        id: "item-1".to_owned(),
        ending: ItemOutcome::Completed,
        output: "a".to_owned(),
    };
    assert!(progress.apply_part(0, vec![listed.clone()]));
    progress.ended = true;
    assert_eq!(progress.next_item(Instant::now()), None);
    assert_eq!(progress.stored_results, vec![listed]);
}

/// The store as workers see it: parts that can each be created once.
#[derive(Default)]
struct Parts(Vec<Vec<ItemResult>>);

impl Parts {
    fn create(&mut self, number: u32, results: Vec<ItemResult>) -> Result<(), Vec<ItemResult>> {
        match self.0.get(number as usize) {
            Some(taken) => Err(taken.clone()),
            None => {
                assert_eq!(self.0.len(), number as usize, "parts are created in order");
                self.0.push(results);
                Ok(())
            }
        }
    }

    fn listed(&self) -> Vec<&str> {
        self.0
            .iter()
            .flatten()
            .map(|result| result.id.as_str())
            .collect()
    }
}

/// Three workers run one job in any order of steps: each may run items, store parts, lose
/// its memory and load the job again, or sleep through all of it. Every item is listed
/// once, positions never change, and a failing item fails a bounded number of times per
/// loaded copy.
#[test]
fn workers_that_take_turns_list_every_item_once() {
    const STEPS: usize = 10_000;
    common::run_seeded_cases(8, 120000, |u| {
        let items = 6;
        let mut parts = Parts::default();
        let mut workers = vec![JobProgress::new(common::job_with_items(items)); 3];
        let mut seen: Vec<String> = Vec::new();
        let now = Instant::now() + Duration::from_secs(3_600);
        for _ in 0..STEPS {
            if u.is_empty() {
                break;
            }
            let at = u.choose_index(workers.len())?;
            step(u, &mut workers[at], &mut parts, items, now)?;
            let listed = parts.listed();
            assert!(listed.len() >= seen.len());
            assert!(seen.iter().zip(&listed).all(|(before, now)| before == now));
            seen = listed.into_iter().map(str::to_owned).collect();
            let mut unique = seen.clone();
            unique.sort();
            unique.dedup();
            assert_eq!(unique.len(), seen.len(), "an item stands twice: {seen:?}");
        }
        Ok(())
    });
}

fn step(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
    worker: &mut JobProgress,
    parts: &mut Parts,
    items: usize,
    now: Instant,
) -> arbtest::arbitrary::Result<()> {
    match u.int_in_range(0..=9)? {
        0..=4 => {
            if let Some(item) = worker.next_item(now) {
                worker.start_item(item);
                let ends = [
                    RunEnd::Whole,
                    RunEnd::Failed,
                    RunEnd::Broken,
                    RunEnd::Impossible,
                ];
                let end = *u.choose(&ends)?;
                worker.record_run_end(
                    item,
                    end,
                    output(&[(1, "x")]),
                    MAX_FAILURES,
                    now - Duration::from_secs(60),
                );
            }
        }
        5..=7 => {
            let results = worker.next_part(u.int_in_range(1..=400)?);
            if !results.is_empty() {
                let number = worker.stored_parts;
                let stands = match parts.create(number, results.clone()) {
                    Ok(()) => results,
                    Err(taken) => taken,
                };
                assert!(worker.apply_part(number, stands));
            }
        }
        8 => {
            *worker = JobProgress::new(common::job_with_items(items));
            for (number, results) in parts.0.iter().enumerate() {
                assert!(worker.apply_part(number as u32, results.clone()));
            }
        }
        _ => {
            // A late answer tells of a part again, or of one that comes too early.
            let number = u.int_in_range(0..=8)?;
            if number != worker.stored_parts {
                assert!(!worker.apply_part(number, Vec::new()));
            }
        }
    }
    Ok(())
}

/// One write stores several results; one that was given up is not kept back, or a worker
/// that takes over would let the item fail as often again.
#[test]
fn results_are_stored_together_and_give_ups_soon() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut progress = JobProgress::new(common::job_with_items(3));
    assert!(!progress.should_store(at(60_000), true), "nothing to store");
    progress.start_item(0);
    progress.record_run_end(0, RunEnd::Whole, output(&[(1, "a")]), 1, start);
    assert!(!progress.should_store(at(2_400), false));
    assert!(progress.should_store(at(2_500), false));
    assert!(
        progress.should_store(at(0), true),
        "a leaving worker stores at once"
    );
    progress.start_item(1);
    progress.record_run_end(1, RunEnd::Impossible, PartialOutput::default(), 1, start);
    assert!(progress.should_store(at(200), false));
    progress.start_item(2);
    progress.record_run_end(2, RunEnd::Whole, output(&[(1, "a")]), 1, start);
    assert!(
        progress.should_store(start, false),
        "nothing else is to come"
    );
}

/// A result that waits for others is stored before its job is due, so that a reader finds
/// it in time; behind that there is no hurry any more.
#[test]
fn results_are_stored_before_their_job_is_due() {
    let now = Instant::now();
    let seconds = Duration::from_secs_f64;
    let mut progress = JobProgress::new(common::job_with_items(2));
    assert!(
        !progress.should_store_before_due(seconds(0.1)),
        "nothing to store"
    );
    progress.start_item(0);
    progress.record_run_end(0, RunEnd::Whole, output(&[(1, "a")]), 1, now);
    assert!(!progress.should_store_before_due(seconds(2.0)));
    assert!(progress.should_store_before_due(seconds(0.5)));
    assert!(!progress.should_store_before_due(Duration::ZERO));
}

#[test]
fn a_job_is_overdue_after_its_retention_or_without_its_route() {
    let seconds = Duration::from_secs;
    let retention = |retention| Route {
        name: "batch".to_owned(),
        host: "host.example".to_owned(),
        path_prefix: "/batch/".to_owned(),
        kind: RouteKind::Batch,
        timeout: seconds(5),
        target_latency: seconds(1),
        priority: 2,
        targets: Vec::new(),
        max_attempts: 3,
        resumable: false,
        completion_target: seconds(18),
        retention,
        quota_tokens: 0,
    };
    let (kept, unlimited) = (retention(seconds(60)), retention(Duration::ZERO));
    let cases = [
        ("within its retention", Some(&kept), 60, 600, false),
        ("past its retention", Some(&kept), 61, 600, true),
        ("no retention", Some(&unlimited), 100_000, 600, false),
        ("route gone", None, 10, 10, true),
        ("route not yet known", None, 100, 2, false),
        ("just submitted", None, 2, 600, false),
    ];
    for (name, route, age_s, known_s, overdue) in cases {
        let should_give_up = job::should_give_up(route, seconds(age_s), seconds(known_s));
        assert_eq!(should_give_up, overdue, "{name}");
    }
}

/// The end of a job against results on their way: from the moment a worker learns of the
/// end it starts nothing, whatever runs end then, and parts stored meanwhile by any worker
/// are still taken, once.
#[test]
fn an_end_races_results_and_loses_none() {
    common::run_seeded_cases(200, 2_000, |u| {
        let items = 5;
        let mut parts = Parts::default();
        let mut workers = vec![JobProgress::new(common::job_with_items(items)); 2];
        let now = Instant::now() + Duration::from_secs(3_600);
        for _ in 0..60 {
            let at = u.choose_index(workers.len())?;
            if u.ratio(1, 20)? {
                workers[at].ended = true;
            }
            let listed_before = parts.listed().len();
            let runnable = workers[at].next_item(now);
            assert!(
                runnable.is_none() || !workers[at].ended,
                "an ended job runs {runnable:?}"
            );
            step(u, &mut workers[at], &mut parts, items, now)?;
            assert!(
                parts.listed().len() >= listed_before,
                "a listed result is gone"
            );
        }
        for worker in &mut workers {
            while let Some(results) = parts.0.get(worker.stored_parts as usize) {
                assert!(worker.apply_part(worker.stored_parts, results.clone()));
            }
            let listed: Vec<&str> = worker
                .stored_results
                .iter()
                .map(|r| r.id.as_str())
                .collect();
            assert_eq!(
                listed,
                parts.listed(),
                "both list the same at the same positions"
            );
        }
        Ok(())
    });
}
