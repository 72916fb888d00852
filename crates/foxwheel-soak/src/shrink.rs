//! Searches for a smaller set of faults of a plan that still breaks a promise.

use crate::checks::Promise;
use crate::fleet::SoakError;
use crate::plan::Plan;

/// Number of runs in which a candidate plan must keep the promise before it is rejected, because
/// the outcome of a run also depends on the timing of the machine.
const RUNS_PER_CANDIDATE: usize = 2;

/// Removes faults from `plan` as long as the promise is still broken, first in halves, then in
/// ever smaller groups. `run_plan` runs a plan and returns the promises that it broke.
pub async fn shrink<F>(
    plan: Plan,
    promise: Promise,
    mut run_plan: impl FnMut(Plan) -> F,
) -> Result<Plan, SoakError>
where
    F: std::future::Future<Output = Result<Vec<Promise>, SoakError>>,
{
    let mut smallest = plan;
    let mut chunk_len = smallest.steps.len().div_ceil(2);
    while chunk_len > 0 {
        let mut start = 0;
        while start < smallest.steps.len() {
            let mut smaller = smallest.clone();
            let end = (start + chunk_len).min(smaller.steps.len());
            smaller.steps.drain(start..end);
            let mut still_breaks = false;
            for _ in 0..RUNS_PER_CANDIDATE {
                still_breaks = run_plan(smaller.clone()).await?.contains(&promise);
                if still_breaks {
                    break;
                }
            }
            match still_breaks {
                true => smallest = smaller,
                false => start = end,
            }
        }
        chunk_len = if chunk_len == 1 {
            0
        } else {
            chunk_len.div_ceil(2)
        };
    }
    Ok(smallest)
}
