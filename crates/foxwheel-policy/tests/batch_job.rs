//! Tests the progress of a job's items and the storing of results, with one worker and with
//! several workers that run the same job in any order of steps.

mod common;

use std::time::{Duration, Instant};

use foxwheel_policy::batch::item::{ItemOutcome, ItemResult, PartialOutput, RunEnd};
use foxwheel_policy::batch::job::JobProgress;

const MAX_FAILURES: u32 = 3;

fn partial_output(events: &[(u64, &str)]) -> PartialOutput {
    let mut output = PartialOutput::default();
    for (id, data) in events {
        assert!(output.push_event(*id, data));
    }
    output
}

fn unstored_results(progress: &JobProgress) -> Vec<ItemResult> {
    progress.unstored_results().cloned().collect()
}

#[test]
fn events_out_of_order_are_not_appended() {
    let mut output = partial_output(&[(1, "a"), (2, "b")]);
    assert!(!output.push_event(2, "b"), "repeated event");
    assert!(!output.push_event(4, "d"), "missing event");
    assert!(output.push_event(3, "c"));
    assert_eq!(output.text, "a\nb\nc");
}

#[test]
fn run_end_finishes_the_item_or_lets_it_run_again() {
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
        progress.record_run_end(0, end, partial_output(&[(1, "a")]), MAX_FAILURES, now);
        let ending = unstored_results(&progress)
            .first()
            .map(|result| result.outcome);
        assert_eq!(ending, expected, "{end:?}");
        if expected.is_none() {
            let after_delay = now + Duration::from_secs(1);
            assert_eq!(
                progress.next_item(after_delay),
                Some(0),
                "{end:?} runs again"
            );
            assert_eq!(
                progress.items[0].partial_output.last_event_id,
                Some(1),
                "{end:?} keeps its output"
            );
        }
    }
}

#[test]
fn item_is_given_up_after_max_failures_but_not_for_broken_runs() {
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
fn part_has_at_least_one_result_and_no_more_than_fit() {
    let now = Instant::now();
    let mut progress = JobProgress::new(common::job_with_items(4));
    for item in 0..4 {
        progress.start_item(item);
        progress.record_run_end(
            item,
            RunEnd::Whole,
            partial_output(&[(1, &"x".repeat(1_000))]),
            1,
            now,
        );
    }
    assert_eq!(progress.next_part(10, common::stored_bytes).len(), 1);
    assert_eq!(progress.next_part(2_500, common::stored_bytes).len(), 2);
    assert_eq!(progress.next_part(1_000_000, common::stored_bytes).len(), 4);
}

#[test]
fn ended_job_starts_no_item_and_keeps_stored_results() {
    let mut progress = JobProgress::new(common::job_with_items(2));
    let stored = ItemResult {
        id: "item-1".to_owned(),
        outcome: ItemOutcome::Completed,
        output: "a".into(),
    };
    assert!(progress.apply_part(0, vec![stored.clone()]));
    progress.ended = true;
    assert_eq!(progress.next_item(Instant::now()), None);
    assert_eq!(progress.stored_results, vec![stored]);
}

/// Stand-in for the store: each part can be created only once.
#[derive(Default)]
struct PartStore(Vec<Vec<ItemResult>>);

impl PartStore {
    fn create(&mut self, number: u32, results: Vec<ItemResult>) -> Result<(), Vec<ItemResult>> {
        match self.0.get(number as usize) {
            Some(existing) => Err(existing.clone()),
            None => {
                assert_eq!(self.0.len(), number as usize, "parts are created in order");
                self.0.push(results);
                Ok(())
            }
        }
    }

    fn stored_ids(&self) -> Vec<&str> {
        self.0
            .iter()
            .flatten()
            .map(|result| result.id.as_str())
            .collect()
    }
}

/// Three workers run the same job in any order of steps. Each may run items, store parts, load
/// the job again after a restart, or do nothing for a long time. No item is stored twice, and
/// the order of the stored results never changes. A failing item fails at most `MAX_FAILURES`
/// times for each load of the job.
#[test]
fn concurrent_workers_store_no_item_twice() {
    const STEPS: usize = 10_000;
    common::run_seeded_cases(8, 120000, |u| {
        let items = 6;
        let mut parts = PartStore::default();
        let mut workers = vec![JobProgress::new(common::job_with_items(items)); 3];
        let mut ids_before: Vec<String> = Vec::new();
        let now = Instant::now() + Duration::from_secs(3_600);
        for _ in 0..STEPS {
            if u.is_empty() {
                break;
            }
            let index = u.choose_index(workers.len())?;
            step(u, &mut workers[index], &mut parts, items, now)?;
            let failures = workers[index].items.iter().map(|item| item.failures);
            assert!(failures.max() <= Some(MAX_FAILURES));
            let stored_ids = parts.stored_ids();
            assert!(stored_ids.len() >= ids_before.len());
            assert!(ids_before
                .iter()
                .zip(&stored_ids)
                .all(|(before, now)| before == now));
            ids_before = stored_ids.into_iter().map(str::to_owned).collect();
            let mut unique = ids_before.clone();
            unique.sort();
            unique.dedup();
            assert_eq!(
                unique.len(),
                ids_before.len(),
                "an item is stored twice: {ids_before:?}"
            );
        }
        Ok(())
    });
}

/// Makes one random step of `worker`.
fn step(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
    worker: &mut JobProgress,
    parts: &mut PartStore,
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
                    partial_output(&[(1, "x")]),
                    MAX_FAILURES,
                    now - Duration::from_secs(60),
                );
            }
        }
        5..=7 => {
            let results = worker.next_part(u.int_in_range(1..=400)?, common::stored_bytes);
            if !results.is_empty() {
                let number = worker.stored_parts;
                let stored = match parts.create(number, results.clone()) {
                    Ok(()) => results,
                    Err(existing) => existing,
                };
                assert!(worker.apply_part(number, stored));
            }
        }
        8 => {
            *worker = JobProgress::new(common::job_with_items(items));
            for (number, results) in parts.0.iter().enumerate() {
                assert!(worker.apply_part(number as u32, results.clone()));
            }
        }
        _ => {
            // A late response contains a part again, or one whose predecessor is missing.
            let number = u.int_in_range(0..=8)?;
            if number != worker.stored_parts {
                assert!(!worker.apply_part(number, Vec::new()));
            }
        }
    }
    Ok(())
}

/// Finished results wait so that one write stores several of them. The result of a given-up item
/// is stored sooner: otherwise a worker that takes over the job would run the item and let it
/// fail as many times again.
#[test]
fn results_are_stored_together_and_given_up_items_soon() {
    let start = Instant::now();
    let after_ms = |ms| start + Duration::from_millis(ms);
    let mut progress = JobProgress::new(common::job_with_items(3));
    assert!(
        !progress.should_store(after_ms(60_000), true),
        "nothing to store"
    );
    progress.start_item(0);
    progress.record_run_end(0, RunEnd::Whole, partial_output(&[(1, "a")]), 1, start);
    assert!(!progress.should_store(after_ms(2_400), false));
    assert!(progress.should_store(after_ms(2_500), false));
    assert!(
        progress.should_store(after_ms(0), true),
        "a worker that shuts down stores immediately"
    );
    progress.start_item(1);
    progress.record_run_end(1, RunEnd::Impossible, PartialOutput::default(), 1, start);
    assert!(progress.should_store(after_ms(200), false));
    progress.start_item(2);
    progress.record_run_end(2, RunEnd::Whole, partial_output(&[(1, "a")]), 1, start);
    assert!(
        progress.should_store(start, false),
        "all items are finished"
    );
}

/// A finished result that waits for others is stored shortly before the job is due, so that a
/// reader finds it in time. After the due time it may wait again.
#[test]
fn results_are_stored_before_the_job_is_due() {
    let now = Instant::now();
    let seconds = Duration::from_secs_f64;
    let mut progress = JobProgress::new(common::job_with_items(2));
    assert!(
        !progress.should_store_before_due(seconds(0.1)),
        "nothing to store"
    );
    progress.start_item(0);
    progress.record_run_end(0, RunEnd::Whole, partial_output(&[(1, "a")]), 1, now);
    assert!(!progress.should_store_before_due(seconds(2.0)));
    assert!(progress.should_store_before_due(seconds(0.5)));
    assert!(!progress.should_store_before_due(Duration::ZERO));
}

/// A job is ended while its items run and results are being stored. A worker that knows of the
/// end starts no item any more, but still applies each part that any worker stored meanwhile
/// exactly once.
#[test]
fn ending_a_job_loses_no_stored_result() {
    common::run_seeded_cases(200, 2_000, |u| {
        let items = 5;
        let mut parts = PartStore::default();
        let mut workers = vec![JobProgress::new(common::job_with_items(items)); 2];
        let now = Instant::now() + Duration::from_secs(3_600);
        for _ in 0..60 {
            let index = u.choose_index(workers.len())?;
            if u.ratio(1, 20)? {
                workers[index].ended = true;
            }
            let stored_before = parts.stored_ids().len();
            let next_item = workers[index].next_item(now);
            assert!(
                next_item.is_none() || !workers[index].ended,
                "an ended job runs {next_item:?}"
            );
            step(u, &mut workers[index], &mut parts, items, now)?;
            let failures = workers[index].items.iter().map(|item| item.failures);
            assert!(failures.max() <= Some(MAX_FAILURES));
            assert!(
                parts.stored_ids().len() >= stored_before,
                "a stored result is missing"
            );
        }
        for worker in &mut workers {
            while let Some(results) = parts.0.get(worker.stored_parts as usize) {
                assert!(worker.apply_part(worker.stored_parts, results.clone()));
            }
            let stored_ids: Vec<&str> = worker
                .stored_results
                .iter()
                .map(|r| r.id.as_str())
                .collect();
            assert_eq!(
                stored_ids,
                parts.stored_ids(),
                "the worker has all results in the stored order"
            );
        }
        Ok(())
    });
}
