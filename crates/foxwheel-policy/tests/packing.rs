//! Tests that values are packed by the size of their encoded form. Load pattern: results of any
//! text wait while the store is unavailable, and are then written together.

mod common;

use std::time::Instant;

use foxwheel_policy::batch::item::{PartialOutput, RunEnd};
use foxwheel_policy::batch::job::JobProgress;
use foxwheel_policy::batch::packing;

/// Brackets of a list.
const LIST_BYTES: usize = 2;

/// Returns the progress of a job whose items are completed with these outputs.
fn completed_job(outputs: &[String]) -> JobProgress {
    let now = Instant::now();
    let mut progress = JobProgress::new(common::job_with_items(outputs.len()));
    for (item, text) in outputs.iter().enumerate() {
        let mut output = PartialOutput::default();
        assert!(output.push_event(1, text));
        progress.start_item(item);
        progress.record_run_end(item, RunEnd::Whole, output, 1, now);
    }
    progress
}

/// Guards against parts that the store refuses: the results were measured as raw text.
#[test]
fn parts_of_json_text_fit_once_they_are_encoded() {
    const MAX_BYTES: usize = 10_000;
    let mut progress = completed_job(&vec!["{\"a\":\"\\n\"}\n".repeat(100); 30]);
    let mut stored = 0;
    while progress.unstored_results().next().is_some() {
        let part = progress.next_part(MAX_BYTES, common::stored_bytes);
        let encoded = serde_json::to_vec(&part).expect("results encode");
        assert!(encoded.len() <= MAX_BYTES, "{} bytes", encoded.len());
        assert!(part.len() > 1, "results that fit are stored together");
        stored += part.len();
        assert!(progress.apply_part(progress.stored_parts, part));
    }
    assert_eq!(stored, 30);
}

/// Whatever the texts, a part exceeds the limit only if it is a single result, and every result
/// is in one part.
#[test]
fn random_results_are_packed_within_the_limit() {
    common::run_seeded_cases(200, 2_000, |u| {
        let count = u.int_in_range(1..=12)?;
        let outputs: Vec<String> = (0..count)
            .map(|_| u.arbitrary())
            .collect::<Result<_, _>>()?;
        let max_bytes = u.int_in_range(1..=600)?;
        let mut progress = completed_job(&outputs);
        for _ in 0..count {
            let part = progress.next_part(max_bytes, common::stored_bytes);
            let encoded = serde_json::to_vec(&part).expect("results encode");
            assert!(part.len() <= 1 || encoded.len() <= max_bytes + LIST_BYTES);
            let number = progress.stored_parts;
            assert!(progress.apply_part(number, part));
        }
        assert!(progress.is_fully_stored());
        Ok(())
    });
}

#[test]
fn groups_keep_all_values_in_order() {
    let sizes = [5, 5, 30, 1, 9, 10, 11];
    let groups = packing::split_into_groups(&sizes, 10, |size| *size);
    assert_eq!(
        groups,
        [&[5, 5][..], &[30], &[1, 9], &[10], &[11]],
        "a value that is too large is alone"
    );
    assert!(packing::split_into_groups(&[], 10, |size: &usize| *size).is_empty());
    assert_eq!(packing::leading_values_that_fit([0, 0, 20], 10), 2);
}
