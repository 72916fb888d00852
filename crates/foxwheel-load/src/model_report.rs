//! Compares variants of the scheduling decisions by simulation: a table and a plot.

use std::fmt::Write;
use std::path::Path;

use foxwheel_model::outcome::Outcome;
use foxwheel_model::scenario::Scenario;
use foxwheel_model::simulation;
use foxwheel_plot::{Line, PlotError};

/// The number of intervals between the plotted quantiles, which are a hundredth apart.
const QUANTILE_STEPS: usize = 100;

/// Simulates every variant with every seed. Returns the names and outcomes of the variants in
/// their order.
pub fn simulate_variants(scenario: &Scenario) -> Vec<(String, Outcome)> {
    let variants = scenario.variants.iter().map(|variant| {
        let mut outcome = Outcome::default();
        for seed in &scenario.seeds {
            simulation::simulate_variant(scenario, variant, *seed, &mut outcome);
        }
        (variant.name.clone(), outcome)
    });
    variants.collect()
}

/// Formats the outcomes as a Markdown table.
pub fn markdown_table(outcomes: &[(String, Outcome)]) -> String {
    let mut table = String::from(
        "| variant | online on time | late | served on return | lost | first token p50 / p95 / p99 ms | items on time | late | runs stopped |\n\
         |---|---|---|---|---|---|---|---|---|\n",
    );
    for (name, outcome) in outcomes {
        let _ = writeln!(
            table,
            "| {name} | {:.3} of {} | {} | {} | {} | {:.0} / {:.0} / {:.0} | {:.3} of {} | {} | {} |",
            outcome.on_time_share(),
            outcome.requests,
            outcome.late,
            outcome.served_on_retry,
            outcome.refused_twice,
            outcome.first_token_ms(0.5),
            outcome.first_token_ms(0.95),
            outcome.first_token_ms(0.99),
            outcome.items_on_time_share(),
            outcome.items,
            outcome.items_late,
            outcome.runs_preempted,
        );
    }
    table
}

/// Draws `first-token.svg` into `folder`: the time to the first token by share of requests.
/// Returns an error if the file cannot be written.
pub fn draw_plot(outcomes: &[(String, Outcome)], folder: &Path) -> Result<(), PlotError> {
    let lines = outcomes.iter().map(|(name, outcome)| Line {
        label: name.clone(),
        points: (0..=QUANTILE_STEPS)
            .map(|step| {
                let share = step as f64 / QUANTILE_STEPS as f64;
                (share * 100.0, outcome.first_token_ms(share))
            })
            .collect(),
    });
    foxwheel_plot::draw_line_plot(
        &folder.join("first-token.svg"),
        "time to first token (ms)",
        "percent of requests served",
        lines.collect(),
    )
}
