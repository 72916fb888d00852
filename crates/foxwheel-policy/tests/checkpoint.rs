//! Workers that die with items under way, and those that take their jobs over.

mod common;

use std::time::{Duration, Instant};

use foxwheel_policy::batch::checkpoint::{CheckpointTimer, JobCheckpoint};
use foxwheel_policy::batch::item::{ItemOutcome, ItemState, PartialOutput, RunEnd};
use foxwheel_policy::batch::job::JobProgress;

/// The output of an item up to event `last`.
fn output(last: u64) -> PartialOutput {
    let mut output = PartialOutput::default();
    for event in 1..=last {
        assert!(output.push_event(event, &format!("event {event}")));
    }
    output
}

fn run(progress: &mut JobProgress, at: usize, end: RunEnd, events: u64) {
    progress.start_item(at);
    progress.record_run_end(at, end, output(events), 3, Instant::now());
}

/// Killed with one item running, one finished and not stored, one failed twice, one given up
/// and one untouched: the next worker goes on with exactly that.
#[test]
fn a_job_goes_on_where_its_dead_worker_stopped() {
    let now = Instant::now();
    let mut progress = JobProgress::new(common::job_with_items(5));
    assert_eq!(
        JobCheckpoint::from_progress(&progress),
        None,
        "nothing to save"
    );
    progress.start_item(0);
    progress.record_output(0, &output(40));
    run(&mut progress, 1, RunEnd::Whole, 9);
    run(&mut progress, 2, RunEnd::Failed, 0);
    run(&mut progress, 2, RunEnd::Failed, 0);
    run(&mut progress, 3, RunEnd::Impossible, 0);
    let saved = JobCheckpoint::from_progress(&progress).expect("progress");

    let mut adopted = JobProgress::new(common::job_with_items(5));
    saved.restore(&mut adopted, now);
    assert_eq!(adopted.items[0].partial_output, output(40));
    assert_eq!(adopted.items[2].failures, 2);
    let endings: Vec<(&str, ItemOutcome, &str)> = adopted
        .unstored_results()
        .map(|result| (result.id.as_str(), result.ending, result.output.as_str()))
        .collect();
    let whole = output(9).text;
    assert_eq!(
        endings,
        [
            ("item-1", ItemOutcome::Completed, whole.as_str()),
            ("item-3", ItemOutcome::GivenUp, ""),
        ]
    );
    let waiting: Vec<usize> = adopted.waiting_items(now).collect();
    assert_eq!(waiting, [0, 2, 4]);
    run(&mut adopted, 2, RunEnd::Failed, 0);
    assert!(
        matches!(&adopted.items[2].state, ItemState::Finished(_)),
        "given up"
    );
}

/// The checkpoint is older than the results that were stored since, or another worker's.
#[test]
fn what_is_stored_or_further_stays() {
    let now = Instant::now();
    let mut progress = JobProgress::new(common::job_with_items(3));
    run(&mut progress, 0, RunEnd::Whole, 5);
    progress.start_item(1);
    progress.record_output(1, &output(7));
    let older = JobCheckpoint::from_progress(&progress).expect("progress");
    progress.record_output(1, &output(30));
    let newer = JobCheckpoint::from_progress(&progress).expect("progress");
    let stored = progress.next_part(10_000);

    let mut adopted = JobProgress::new(common::job_with_items(3));
    adopted.apply_part(0, stored);
    for saved in [&newer, &older] {
        saved.restore(&mut adopted, now);
    }
    assert!(matches!(adopted.items[0].state, ItemState::Stored));
    assert_eq!(
        adopted.unstored_results().count(),
        0,
        "no result stands twice"
    );
    assert_eq!(adopted.items[1].partial_output, output(30));
}

/// Workers die in any order at any moment, each after a checkpoint of any age: every item is
/// listed once, with its whole output, and no event is generated again that was saved.
#[test]
fn jobs_that_change_hands_list_every_item_once() {
    let mut finished = 0;
    common::run_seeded_cases(60, 4_096, |u| {
        let count = u.int_in_range(1..=6)?;
        let (mut stored, mut saved): (Vec<_>, Vec<JobCheckpoint>) = (Vec::new(), Vec::new());
        loop {
            let now = Instant::now();
            let mut progress = JobProgress::new(common::job_with_items(count));
            for (number, part) in stored.iter().enumerate() {
                assert!(progress.apply_part(number as u32, Vec::clone(part)));
            }
            for checkpoint in &saved {
                checkpoint.restore(&mut progress, now);
            }
            for _ in 0..u.int_in_range(1..=12)? {
                let at = u.choose_index(count)?;
                if matches!(progress.items[at].state, ItemState::Waiting { .. }) {
                    let events =
                        progress.items[at].partial_output.event_count() + u.int_in_range(1..=6)?;
                    let end = match events >= 10 {
                        true => RunEnd::Whole,
                        false => RunEnd::Preempted,
                    };
                    run(&mut progress, at, end, events.min(10));
                }
                match u.int_in_range(0..=3)? {
                    0 => saved.extend(JobCheckpoint::from_progress(&progress)),
                    1 => {
                        let part = progress.next_part(10_000);
                        if !part.is_empty() {
                            assert!(progress.apply_part(progress.stored_parts, part.clone()));
                            stored.push(part);
                        }
                    }
                    _ => {}
                }
            }
            if progress.is_fully_stored() {
                break;
            }
            if u.is_empty() {
                // Nothing is drawn any more: the run ends with items left.
                return Ok(());
            }
        }
        let listed: Vec<_> = stored.iter().flatten().collect();
        let mut ids: Vec<&String> = listed.iter().map(|result| &result.id).collect();
        ids.sort_unstable();
        ids.dedup();
        assert_eq!((ids.len(), listed.len()), (count, count));
        assert!(listed.iter().all(|result| result.output == output(10).text));
        finished += 1;
        Ok(())
    });
    assert!(finished > 50, "only {finished} jobs came to their end");
}

#[test]
fn large_checkpoints_come_more_rarely() {
    let now = Instant::now();
    let mut clock = CheckpointTimer::default();
    assert!(clock.is_due(now));
    clock.record_checkpoint(100_000, now);
    assert!(!clock.is_due(now + Duration::from_millis(1_900)));
    assert!(clock.is_due(now + Duration::from_millis(2_000)));
    clock.record_checkpoint(7_500_000, now);
    assert!(!clock.is_due(now + Duration::from_millis(9_900)));
    assert!(clock.is_due(now + Duration::from_secs(10)));
}
