//! Tests checkpoints: workers die while items of their jobs run, and other workers take the jobs
//! over.

mod common;

use std::time::{Duration, Instant};

use foxwheel_policy::batch::checkpoint::{CheckpointTimer, JobCheckpoint};
use foxwheel_policy::batch::item::{ItemOutcome, ItemState, PartialOutput, RunEnd};
use foxwheel_policy::batch::job::JobProgress;
use foxwheel_policy::stream_origin::StreamOrigin;

/// Returns the output of an item up to event `last`.
fn output_up_to(last: u64) -> PartialOutput {
    let mut output = PartialOutput::default();
    for event in 1..=last {
        assert!(output.push_event(event, &format!("event {event}")));
    }
    output
}

/// Runs the item at `index` until it has `events` events and the run ends with `end`.
fn run_item(progress: &mut JobProgress, index: usize, end: RunEnd, events: u64) {
    progress.start_item(index);
    progress.record_run_end(index, end, output_up_to(events), 3, Instant::now());
}

/// A worker dies while one item runs, one is completed but not stored, one has failed twice, one
/// is given up and one has not run. The worker that takes the job over must restore exactly
/// that.
#[test]
fn job_resumes_from_the_checkpoint_of_a_dead_worker() {
    let now = Instant::now();
    let mut progress = JobProgress::new(common::job_with_items(5));
    assert_eq!(
        JobCheckpoint::from_progress(&progress),
        None,
        "nothing to save"
    );
    progress.start_item(0);
    progress.record_output(0, &output_up_to(40));
    run_item(&mut progress, 1, RunEnd::Whole, 9);
    run_item(&mut progress, 2, RunEnd::Failed, 0);
    run_item(&mut progress, 2, RunEnd::Failed, 0);
    run_item(&mut progress, 3, RunEnd::Impossible, 0);
    let saved = JobCheckpoint::from_progress(&progress).expect("progress");

    let mut restored = JobProgress::new(common::job_with_items(5));
    saved.restore(&mut restored, now);
    assert_eq!(restored.items[0].partial_output, output_up_to(40));
    assert_eq!(restored.items[2].failures, 2);
    let results: Vec<(&str, ItemOutcome, &str)> = restored
        .unstored_results()
        .map(|result| (result.id.as_str(), result.outcome, &*result.output))
        .collect();
    let full_output = output_up_to(9).text;
    assert_eq!(
        results,
        [
            ("item-1", ItemOutcome::Completed, full_output.as_str()),
            ("item-3", ItemOutcome::GivenUp, ""),
        ]
    );
    let waiting: Vec<usize> = restored.waiting_items(now).collect();
    assert_eq!(waiting, [0, 2, 4]);
    run_item(&mut restored, 2, RunEnd::Failed, 0);
    assert!(
        matches!(&restored.items[2].state, ItemState::Finished(_)),
        "given up after the third failure"
    );
}

/// A checkpoint may be older than the stored results or than the checkpoint of another worker. It
/// must not replace either.
#[test]
fn old_checkpoint_replaces_neither_stored_results_nor_newer_progress() {
    let now = Instant::now();
    let mut progress = JobProgress::new(common::job_with_items(3));
    run_item(&mut progress, 0, RunEnd::Whole, 5);
    progress.start_item(1);
    progress.record_output(1, &output_up_to(7));
    let older = JobCheckpoint::from_progress(&progress).expect("progress");
    progress.record_output(1, &output_up_to(30));
    let newer = JobCheckpoint::from_progress(&progress).expect("progress");
    let stored = progress.next_part(10_000, common::stored_bytes);

    let mut restored = JobProgress::new(common::job_with_items(3));
    restored.apply_part(0, stored);
    for saved in [&newer, &older] {
        saved.restore(&mut restored, now);
    }
    assert!(matches!(restored.items[0].state, ItemState::Stored));
    assert_eq!(
        restored.unstored_results().count(),
        0,
        "no result is stored twice"
    );
    assert_eq!(restored.items[1].partial_output, output_up_to(30));
}

/// Workers die at any moment, each after a checkpoint of any age. Every item must be stored once,
/// with its complete output. Each worker resumes items after the last saved event, so that no
/// saved event is generated again.
#[test]
fn jobs_taken_over_repeatedly_store_every_item_once() {
    let mut finished_jobs = 0;
    common::run_seeded_cases(60, 4_096, |u| {
        let count = u.int_in_range(1..=6)?;
        let (mut stored_parts, mut checkpoints): (Vec<_>, Vec<JobCheckpoint>) =
            (Vec::new(), Vec::new());
        let mut saved_events = vec![0; count];
        loop {
            let now = Instant::now();
            let mut progress = JobProgress::new(common::job_with_items(count));
            for (number, part) in stored_parts.iter().enumerate() {
                assert!(progress.apply_part(number as u32, Vec::clone(part)));
            }
            for checkpoint in &checkpoints {
                checkpoint.restore(&mut progress, now);
            }
            for (item, saved) in progress.items.iter().zip(&saved_events) {
                if matches!(item.state, ItemState::Waiting { .. }) {
                    let resumed_after = item.partial_output.event_count();
                    assert!(resumed_after >= *saved, "{resumed_after} of {saved} saved");
                }
            }
            for _ in 0..u.int_in_range(1..=12)? {
                let index = u.choose_index(count)?;
                if matches!(progress.items[index].state, ItemState::Waiting { .. }) {
                    let events = progress.items[index].partial_output.event_count()
                        + u.int_in_range(1..=6)?;
                    let end = match events >= 10 {
                        true => RunEnd::Whole,
                        false => RunEnd::Preempted,
                    };
                    run_item(&mut progress, index, end, events.min(10));
                }
                match u.int_in_range(0..=3)? {
                    0 => {
                        checkpoints.extend(JobCheckpoint::from_progress(&progress));
                        for (item, saved) in progress.items.iter().zip(&mut saved_events) {
                            *saved = item.partial_output.event_count().max(*saved);
                        }
                    }
                    1 => {
                        let part = progress.next_part(10_000, common::stored_bytes);
                        if !part.is_empty() {
                            assert!(progress.apply_part(progress.stored_parts, part.clone()));
                            stored_parts.push(part);
                        }
                    }
                    _ => {}
                }
            }
            if progress.is_fully_stored() {
                break;
            }
            if u.is_empty() {
                // No random bytes are left; this case ends with unfinished items.
                return Ok(());
            }
        }
        let results: Vec<_> = stored_parts.iter().flatten().collect();
        let mut ids: Vec<&String> = results.iter().map(|result| &result.id).collect();
        ids.sort_unstable();
        ids.dedup();
        assert_eq!((ids.len(), results.len()), (count, count));
        assert!(results
            .iter()
            .all(|result| *result.output == output_up_to(10).text));
        finished_jobs += 1;
        Ok(())
    });
    assert!(finished_jobs > 50, "only {finished_jobs} jobs finished");
}

#[test]
fn large_checkpoints_are_saved_less_often() {
    let now = Instant::now();
    let mut timer = CheckpointTimer::default();
    assert!(timer.is_due(now));
    timer.record_checkpoint(100_000, now);
    assert!(!timer.is_due(now + Duration::from_millis(1_900)));
    assert!(timer.is_due(now + Duration::from_millis(2_000)));
    timer.record_checkpoint(7_500_000, now);
    assert!(!timer.is_due(now + Duration::from_millis(9_900)));
    assert!(timer.is_due(now + Duration::from_secs(10)));
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "model".to_owned(),
        version: version.to_owned(),
    }
}

/// A worker that takes a job over must know which version wrote the saved events.
#[test]
fn saved_output_keeps_the_version_that_wrote_it() {
    let now = Instant::now();
    let mut output = PartialOutput::default();
    output.begin(&origin("v1"));
    assert_eq!(output.resumable_origin(), None, "no event yet");
    assert!(output.push_event(1, "event 1"));
    output.begin(&origin("v1.1"));
    assert_eq!(output.resumable_origin(), Some(&origin("v1")));
    let mut progress = JobProgress::new(common::job_with_items(2));
    progress.start_item(0);
    progress.record_output(0, &output);
    let saved = JobCheckpoint::from_progress(&progress).expect("progress");
    let saved = serde_json::to_value(&saved).expect("encoded");
    let loaded: JobCheckpoint = serde_json::from_value(saved.clone()).expect("decoded");
    let mut restored = JobProgress::new(common::job_with_items(2));
    loaded.restore(&mut restored, now);
    let item = &restored.items[0];
    assert_eq!(item.partial_output, output);
    let later = now + Duration::from_secs(1);
    assert_eq!(item.waited(later), Duration::from_secs(1));

    let mut without_origin = saved;
    let output = &mut without_origin["items"][0]["output"];
    output.as_object_mut().expect("an object").remove("origin");
    let loaded: JobCheckpoint = serde_json::from_value(without_origin).expect("decoded");
    let mut restored = JobProgress::new(common::job_with_items(2));
    loaded.restore(&mut restored, now);
    let output = &restored.items[0].partial_output;
    assert!(output.has_events() && output.resumable_origin().is_none());
    restored.discard_output(0);
    assert!(!restored.items[0].partial_output.has_events());
}

/// The parts of a checkpoint restore what the whole one does, and fit as they are encoded.
#[test]
fn split_checkpoint_restores_all_items() {
    const MAX_BYTES: usize = 400;
    let now = Instant::now();
    let mut progress = JobProgress::new(common::job_with_items(12));
    for item in 0..12 {
        progress.start_item(item);
        progress.record_output(item, &output_up_to(item as u64 + 1));
    }
    let whole = JobCheckpoint::from_progress(&progress).expect("progress");
    let encoded_len = |value: &JobCheckpoint| serde_json::to_vec(value).expect("encoded").len();
    assert!(encoded_len(&whole) > MAX_BYTES);
    let item_bytes = |item: &_| serde_json::to_vec(item).expect("encoded").len() + 1;
    let parts = whole.split(MAX_BYTES, item_bytes);
    assert!(parts.len() < 12, "items that fit are saved together");
    let mut restored = JobProgress::new(common::job_with_items(12));
    for part in parts {
        assert!(encoded_len(&part) <= MAX_BYTES);
        part.restore(&mut restored, now);
    }
    for (item, restored) in restored.items.iter().enumerate() {
        assert_eq!(restored.partial_output, output_up_to(item as u64 + 1));
    }
}
