//! A job's items and results: single steps, and workers that take turns in any order.

mod common;

use std::time::{Duration, Instant};

use foxwheel_policy::batch::item::{Ending, ItemResult, ItemSpec, PartialOutput, RunEnd};
use foxwheel_policy::batch::job::{JobProgress, JobSpec};

const MAX_FAILURES: u32 = 3;

fn job(items: usize) -> JobSpec {
    let item = |at: usize| ItemSpec {
        id: format!("item-{at}"),
        path: "/batch/item".to_owned(),
        headers: Vec::new(),
        body: vec![1, 2, 3],
        tokens: 100,
    };
    JobSpec {
        id: "job".to_owned(),
        host: "host.example".to_owned(),
        path: "/batch/job".to_owned(),
        route: "route".to_owned(),
        submitted_unix: Duration::from_secs(1),
        items: (0..items).map(item).collect(),
    }
}

fn output(events: &[(u64, &str)]) -> PartialOutput {
    let mut partial = PartialOutput::default();
    for (id, data) in events {
        assert!(partial.push(*id, data));
    }
    partial
}

fn results(progress: &JobProgress) -> Vec<ItemResult> {
    progress.unstored().cloned().collect()
}

#[test]
fn an_output_takes_each_event_once_and_in_order() {
    let mut partial = output(&[(1, "a"), (2, "b")]);
    assert!(!partial.push(2, "b"), "an event twice");
    assert!(!partial.push(4, "d"), "an event missing");
    assert!(partial.push(3, "c"));
    assert_eq!(partial.text, "a\nb\nc");
}

#[test]
fn what_the_end_of_a_run_means() {
    let cases = [
        (RunEnd::Whole, Some(Ending::Completed)),
        (RunEnd::Impossible, Some(Ending::GivenUp)),
        (RunEnd::Failed, None),
        (RunEnd::NotRun, None),
        (RunEnd::Broken, None),
        (RunEnd::Preempted, None),
    ];
    for (end, expected) in cases {
        let now = Instant::now();
        let mut progress = JobProgress::new(job(1));
        progress.start(0);
        progress.run_ended(0, end, output(&[(1, "a")]), MAX_FAILURES, now);
        let ending = results(&progress).first().map(|result| result.ending);
        assert_eq!(ending, expected, "{end:?}");
        if expected.is_none() {
            let later = now + Duration::from_secs(1);
            assert_eq!(progress.next_item(later), Some(0), "{end:?} runs again");
            assert_eq!(
                progress.items[0].partial.last_event_id,
                Some(1),
                "{end:?} keeps its output"
            );
        }
    }
}

#[test]
fn an_item_is_given_up_after_its_failures_and_not_for_broken_runs() {
    let now = Instant::now();
    let mut progress = JobProgress::new(job(1));
    for _ in 0..20 {
        progress.start(0);
        progress.run_ended(
            0,
            RunEnd::Broken,
            PartialOutput::default(),
            MAX_FAILURES,
            now,
        );
    }
    for failure in 1..=MAX_FAILURES {
        assert!(!progress.is_finished(), "before failure {failure}");
        progress.start(0);
        progress.run_ended(
            0,
            RunEnd::Failed,
            PartialOutput::default(),
            MAX_FAILURES,
            now,
        );
    }
    assert!(progress.is_finished());
    assert!(progress.has_unstored_give_up());
    assert_eq!(progress.waiting_tokens(), 0);
}

#[test]
fn a_part_holds_at_least_one_result_and_no_more_than_fit() {
    let now = Instant::now();
    let mut progress = JobProgress::new(job(4));
    for item in 0..4 {
        progress.start(item);
        progress.run_ended(
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
    let mut progress = JobProgress::new(job(2));
    let listed = ItemResult {
        id: "item-1".to_owned(),
        ending: Ending::Completed,
        output: "a".to_owned(),
    };
    assert!(progress.take_part(0, vec![listed.clone()]));
    progress.ended = true;
    assert_eq!(progress.next_item(Instant::now()), None);
    assert_eq!(progress.listed, vec![listed]);
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
    common::seeded(8, 120000, |u| {
        let items = 6;
        let mut parts = Parts::default();
        let mut workers = vec![JobProgress::new(job(items)); 3];
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
                worker.start(item);
                let ends = [
                    RunEnd::Whole,
                    RunEnd::Failed,
                    RunEnd::Broken,
                    RunEnd::Impossible,
                ];
                let end = *u.choose(&ends)?;
                worker.run_ended(
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
                let number = worker.parts;
                let stands = match parts.create(number, results.clone()) {
                    Ok(()) => results,
                    Err(taken) => taken,
                };
                assert!(worker.take_part(number, stands));
            }
        }
        8 => {
            *worker = JobProgress::new(job(items));
            for (number, results) in parts.0.iter().enumerate() {
                assert!(worker.take_part(number as u32, results.clone()));
            }
        }
        _ => {
            // A late answer tells of a part again, or of one that comes too early.
            let number = u.int_in_range(0..=8)?;
            if number != worker.parts {
                assert!(!worker.take_part(number, Vec::new()));
            }
        }
    }
    Ok(())
}
