//! Tests of the load tool's results (burn, timeline, fit), of the validation of experiment files
//! and of the command line.

use std::collections::BTreeMap;
use std::time::Duration;

use foxwheel_core::settings::{self, SettingsError};
use foxwheel_load::burn::{self, RequestOutcome};
use foxwheel_load::experiment::{Experiment, Objective};
use foxwheel_load::timeline::{self, BatchPoint};
use foxwheel_load::{args, fit};

fn outcome(sent_at_s: u64, ttft_ms: Option<u64>, mean_tbt_ms: u64) -> RequestOutcome {
    RequestOutcome {
        sent_at: Duration::from_secs(sent_at_s),
        ttft: ttft_ms.map(Duration::from_millis),
        mean_tbt: Duration::from_millis(mean_tbt_ms),
    }
}

#[test]
fn burn_counts_requests_that_missed_the_objective_in_each_window() {
    let outcomes = [
        outcome(0, Some(770), 34),
        outcome(1, Some(771), 34),
        outcome(6, Some(10), 35),
        outcome(7, None, 0),
        outcome(11, Some(10), 10),
    ];
    let burn = burn::compute_burn("draftsman", &outcomes, &Objective::default());
    let windows: Vec<(u64, u64, u64)> = burn
        .windows
        .iter()
        .map(|window| (window.start_s, window.requests, window.bad))
        .collect();
    assert_eq!(windows, [(0, 2, 1), (5, 2, 2), (10, 1, 0)]);
    // 3 of 5 requests are bad where the target allows 1 in 20.
    assert!((burn.whole.burn_rate - 12.0).abs() < 1e-9);
}

#[test]
fn finished_items_of_several_jobs_are_summed() {
    let point = |at_s, finished| BatchPoint { at_s, finished };
    let jobs = [
        vec![point(1.0, 10), point(3.0, 30)],
        vec![point(2.0, 5), point(4.0, 7)],
    ];
    let finished_items: Vec<u64> = timeline::sum_finished_items(&jobs)
        .iter()
        .map(|point| point.finished)
        .collect();
    assert_eq!(finished_items, [10, 15, 35, 37]);
}

#[test]
fn fit_finds_the_exact_slope_of_a_product_of_columns_and_refuses_unknown_columns() {
    let columns: BTreeMap<String, Vec<f64>> = [
        ("a", vec![1.0, 2.0, 3.0, 4.0, 5.0]),
        ("b", vec![2.0, 1.0, 5.0, 3.0, 7.0]),
        ("y", vec![8.0, 8.0, 34.0, 28.0, 74.0]),
    ]
    .into_iter()
    .map(|(name, values)| (name.to_owned(), values))
    .collect();
    // y = 2 * a * b + 4.
    let fitted = fit::fit_columns(&columns, "y", &["a*b".to_owned()]).expect("fit");
    assert!((fitted.slopes[0].1 - 2.0).abs() < 1e-6, "{fitted:?}");
    assert!((fitted.intercept - 4.0).abs() < 1e-6, "{fitted:?}");
    assert!(fit::fit_columns(&columns, "y", &["nothing".to_owned()]).is_err());
}

#[test]
fn invalid_experiments_are_refused_with_the_name_of_the_field() {
    // (case, content of the file, field named in the error)
    let cases = [
        (
            "no gateways and no fleet",
            r#"{"duration_s": 1, "seed": 1}"#,
            "gateways",
        ),
        (
            "faults without a fleet",
            r#"{"gateways": ["x"], "duration_s": 1, "seed": 1, "faults": [{"at_ms": 1, "fault": {"kind": "kill", "process": "p"}}]}"#,
            "faults",
        ),
        (
            "a target of 1",
            r#"{"gateways": ["x"], "duration_s": 1, "seed": 1, "objective": {"ttft_ms": 1, "tbt_ms": 1, "target": 1.0, "window_s": 1}}"#,
            "objective.target",
        ),
        (
            "a duration of zero",
            r#"{"gateways": ["x"], "duration_s": 0, "seed": 1}"#,
            "duration_s",
        ),
    ];
    for (case, text, expected_field) in cases {
        match settings::parse::<Experiment>("test", text) {
            Err(SettingsError::Invalid { problems, .. }) => {
                assert_eq!(problems.fields.len(), 1, "case '{case}': {problems}");
                assert_eq!(problems.fields[0].field, expected_field, "case '{case}'");
            }
            other => panic!("case '{case}': {other:?}"),
        }
    }
}

#[test]
fn unknown_commands_and_missing_options_are_refused() {
    let parse = |line: &str| args::parse(line.split_whitespace().map(Into::into));
    assert!(parse("run --experiment e.json --out o").is_ok());
    for line in [
        "",
        "conjure",
        "run --out o",
        "fit --rows r --y a",
        "sweep --sweep s",
    ] {
        assert!(parse(line).is_err(), "`{line}`");
    }
}
