//! Weighing variants of the decisions on the load model: figures and plots.

use std::fmt::Write;
use std::path::Path;

use foxwheel_model::outcome::Outcome;
use foxwheel_model::scenario::Scenario;
use foxwheel_model::simulation;
use foxwheel_plot::{Line, PlotError};

/// Quantiles of the plotted distribution: each hundredth.
const PLOT_STEPS: usize = 100;

/// Plays every variant on every seed; answers the outcomes in the order of the variants.
pub fn play(scenario: &Scenario) -> Vec<(String, Outcome)> {
    let variants = scenario.variants.iter().map(|variant| {
        let mut outcome = Outcome::default();
        for seed in &scenario.seeds {
            simulation::simulate_variant(scenario, variant, *seed, &mut outcome);
        }
        (variant.name.clone(), outcome)
    });
    variants.collect()
}

/// The figures as a Markdown table.
pub fn table(outcomes: &[(String, Outcome)]) -> String {
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
pub fn draw(outcomes: &[(String, Outcome)], folder: &Path) -> Result<(), PlotError> {
    let lines = outcomes.iter().map(|(name, outcome)| Line {
        label: name.clone(),
        points: (0..=PLOT_STEPS)
            .map(|step| {
                let share = step as f64 / PLOT_STEPS as f64;
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
