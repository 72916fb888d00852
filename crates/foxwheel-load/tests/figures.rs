//! The figures the load tool makes of what it measured: burn, timelines, slopes, and the
//! checks of an experiment file.

use std::collections::BTreeMap;
use std::time::Duration;

use foxwheel_core::settings::{self, SettingsError};
use foxwheel_load::burn::{self, Outcome};
use foxwheel_load::experiment::{Experiment, Objective};
use foxwheel_load::timeline::{self, BatchPoint};
use foxwheel_load::{args, fit};

fn outcome(sent_at_s: u64, ttft_ms: Option<u64>, mean_tbt_ms: u64) -> Outcome {
    Outcome {
        sent_at: Duration::from_secs(sent_at_s),
        ttft: ttft_ms.map(Duration::from_millis),
        mean_tbt: Duration::from_millis(mean_tbt_ms),
    }
}

#[test]
fn burn_counts_what_missed_the_objective_per_window() {
    let outcomes = [
        outcome(0, Some(770), 34),
        outcome(1, Some(771), 34),
        outcome(6, Some(10), 35),
        outcome(7, None, 0),
        outcome(11, Some(10), 10),
    ];
    let burn = burn::of("draftsman", &outcomes, &Objective::default());
    let windows: Vec<(u64, u64, u64)> = burn
        .windows
        .iter()
        .map(|w| (w.start_s, w.requests, w.bad))
        .collect();
    assert_eq!(windows, [(0, 2, 1), (5, 2, 2), (10, 1, 0)]);
    // 3 of 5 bad where 1 in 20 is allowed.
    assert!((burn.whole.burn_rate - 12.0).abs() < 1e-9);
}

#[test]
fn curves_of_several_jobs_add_up() {
    let point = |at_s, finished| BatchPoint { at_s, finished };
    let jobs = [
        vec![point(1.0, 10), point(3.0, 30)],
        vec![point(2.0, 5), point(4.0, 7)],
    ];
    let curve: Vec<u64> = timeline::batch(&jobs).iter().map(|p| p.finished).collect();
    assert_eq!(curve, [10, 15, 35, 37]);
}

#[test]
fn slopes_of_exact_lines_are_found_over_columns_and_products() {
    let columns: BTreeMap<String, Vec<f64>> = [
        ("a", vec![1.0, 2.0, 3.0, 4.0, 5.0]),
        ("b", vec![2.0, 1.0, 5.0, 3.0, 7.0]),
        ("y", vec![8.0, 8.0, 34.0, 28.0, 74.0]),
    ]
    .into_iter()
    .map(|(name, values)| (name.to_owned(), values))
    .collect();
    // y = 2 * a * b + 4.
    let fitted = fit::fit(&columns, "y", &["a*b".to_owned()]).expect("fit");
    assert!((fitted.slopes[0].1 - 2.0).abs() < 1e-6, "{fitted:?}");
    assert!((fitted.intercept - 4.0).abs() < 1e-6, "{fitted:?}");
    assert!(fit::fit(&columns, "y", &["nothing".to_owned()]).is_err());
}

#[test]
fn bad_experiments_are_refused_by_field() {
    // (case, file, the field named)
    let cases = [
        ("no gateway", r#"{"duration_s": 1, "seed": 1}"#, "gateways"),
        (
            "faults without a fleet",
            r#"{"gateways": ["x"], "duration_s": 1, "seed": 1, "faults": [{"at_ms": 1, "fault": {"kind": "kill", "process": "p"}}]}"#,
            "faults",
        ),
        (
            "a target of all",
            r#"{"gateways": ["x"], "duration_s": 1, "seed": 1, "objective": {"ttft_ms": 1, "tbt_ms": 1, "target": 1.0, "window_s": 1}}"#,
            "objective.target",
        ),
        (
            "no time",
            r#"{"gateways": ["x"], "duration_s": 0, "seed": 1}"#,
            "duration_s",
        ),
    ];
    for (case, text, named) in cases {
        match settings::parse::<Experiment>("test", text) {
            Err(SettingsError::Invalid { problems, .. }) => {
                assert_eq!(problems.fields.len(), 1, "case '{case}': {problems}");
                assert_eq!(problems.fields[0].field, named, "case '{case}'");
            }
            other => panic!("case '{case}': {other:?}"),
        }
    }
}

#[test]
fn commands_without_what_they_need_are_refused() {
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
