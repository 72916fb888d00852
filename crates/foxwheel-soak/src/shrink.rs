//! Finding the few faults of a plan that are enough to break a promise.

use crate::checks::Promise;
use crate::fleet::SoakError;
use crate::plan::Plan;

/// Runs of a smaller plan before it counts as not breaking the promise: a run depends on the
/// machine's timing too.
const TRIES: usize = 2;

/// Leaves faults out of `plan` while `breaks` still says that the promise breaks: halves
/// first, then ever smaller parts.
pub async fn shrink<F>(
    plan: Plan,
    promise: Promise,
    mut breaks: impl FnMut(Plan) -> F,
) -> Result<Plan, SoakError>
where
    F: std::future::Future<Output = Result<Vec<Promise>, SoakError>>,
{
    let mut smallest = plan;
    let mut part = smallest.steps.len().div_ceil(2);
    while part > 0 {
        let mut from = 0;
        while from < smallest.steps.len() {
            let mut smaller = smallest.clone();
            let until = (from + part).min(smaller.steps.len());
            smaller.steps.drain(from..until);
            let mut still_breaks = false;
            for _ in 0..TRIES {
                still_breaks = breaks(smaller.clone()).await?.contains(&promise);
                if still_breaks {
                    break;
                }
            }
            match still_breaks {
                true => smallest = smaller,
                false => from = until,
            }
        }
        part = if part == 1 { 0 } else { part.div_ceil(2) };
    }
    Ok(smallest)
}
