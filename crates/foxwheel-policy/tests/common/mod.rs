//! Randomised tests that give the same verdict in every run.

use arbtest::arbitrary::{Result, Unstructured};

/// Runs `property` on `cases` fixed seeds of `bytes` random bytes each.
pub fn seeded(
    cases: u32,
    bytes: u32,
    mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>,
) {
    for case in 1..=u64::from(cases) {
        // arbtest reads the amount of random bytes from a seed's lower half.
        let seed = case << 32 | u64::from(bytes);
        arbtest::arbtest(&mut property).seed(seed);
    }
}
