//! Reproducible randomised tests and sample batch jobs.

// Each test file uses only some of these functions.
#![allow(dead_code)]

pub mod part_storm;

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use foxwheel_policy::batch::item::{ItemResult, ItemSpec};
use foxwheel_policy::batch::job::JobSpec;

/// Runs `property` with `cases` fixed seeds of `bytes` random bytes each.
pub fn run_seeded_cases(
    cases: u32,
    bytes: u32,
    mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>,
) {
    for case in 1..=u64::from(cases) {
        // arbtest takes the number of random bytes from the lower half of a seed.
        let seed = case << 32 | u64::from(bytes);
        arbtest::arbtest(&mut property).seed(seed);
    }
}

/// Returns a job of `items` items of 100 tokens each.
pub fn job_with_items(items: usize) -> JobSpec {
    let item = |at: usize| ItemSpec {
        id: format!("item-{at}"),
        path: "/batch/item".to_owned(),
        headers: Vec::new(),
        body: vec![1, 2, 3].into(),
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

/// Returns the size of a result as one of a stored list.
pub fn stored_bytes(result: &ItemResult) -> usize {
    serde_json::to_vec(result).expect("a result encodes").len() + 1
}
