//! Tests of drawing plans, of the command line, and of the search for a smaller plan.

use std::cell::RefCell;
use std::time::Duration;

use foxwheel_soak::args::{self, Command};
use foxwheel_soak::checks::Promise;
use foxwheel_soak::plan::{Fault, Plan};
use foxwheel_soak::shrink;

#[test]
fn a_seed_always_gives_the_same_plan_whose_faults_end_in_time() {
    arbtest::arbtest(|u| {
        let seed = u.arbitrary()?;
        let plan = Plan::draw(seed, args::default_size());
        assert_eq!(plan, Plan::draw(seed, args::default_size()));
        let mut previous_start = Duration::ZERO;
        for step in &plan.steps {
            assert!(step.start_after >= previous_start, "sorted by start");
            assert!(step.start_after + step.duration <= plan.size.injection_duration);
            previous_start = step.start_after;
        }
        let text = serde_json::to_string(&plan).expect("the plan encodes");
        let decoded: Plan = serde_json::from_str(&text).expect("the plan decodes");
        assert_eq!(decoded, plan);
        Ok(())
    });
}

#[test]
fn every_kind_of_fault_is_drawn() {
    let steps = (0..200).flat_map(|seed| Plan::draw(seed, args::default_size()).steps);
    let names = steps.map(|step| match step.fault {
        Fault::Process { act, .. } => format!("process {act:?}"),
        Fault::Path { fault, .. } => format!("path {fault:?}"),
        Fault::Store(fault) => format!("store {fault:?}"),
        Fault::Server { fault, .. } => format!("server {fault:?}"),
        other => format!("{other:?}"),
    });
    let mut kinds: Vec<String> = names
        .filter_map(|name| name.split(['(', '{']).next().map(str::to_owned))
        .collect();
    kinds.sort();
    kinds.dedup();
    let (process_faults, paths, store, servers, others) = (4, 6, 9, 9, 2);
    assert_eq!(
        kinds.len(),
        process_faults + paths + store + servers + others,
        "{kinds:?}"
    );
}

#[test]
fn invalid_arguments_are_rejected_and_valid_ones_parsed() {
    let parse = |args: &[&str]| args::parse(args.iter().map(std::ffi::OsString::from));
    let invalid: [&[&str]; 4] = [
        &[],
        &["--out", "x", "--fronts", "0"],
        &["--out", "x", "--fronts", "119", "--workers", "2"],
        &["--out", "x", "--seed", "one"],
    ];
    for args in invalid {
        assert!(parse(args).is_err(), "{args:?}");
    }
    let Ok(Command::Run(options)) = parse(&["--out", "x", "--seeds", "50", "--shrink"]) else {
        panic!("valid arguments are rejected");
    };
    assert_eq!((options.seeds, options.shrink), (50, true));
}

#[actix_web::test]
async fn shrinking_keeps_only_the_faults_that_break_the_promise() {
    let mut plan = Plan::draw(7, args::default_size());
    plan.steps.truncate(6);
    let needed = [plan.steps[1].clone(), plan.steps[4].clone()];
    let run_count = RefCell::new(0);
    let smallest = shrink::shrink(plan, Promise::Served, |smaller| {
        *run_count.borrow_mut() += 1;
        let breaks = needed.iter().all(|step| smaller.steps.contains(step));
        std::future::ready(Ok(if breaks {
            vec![Promise::Served]
        } else {
            vec![]
        }))
    });
    assert_eq!(smallest.await.expect("all runs complete").steps, needed);
    assert!(*run_count.borrow() < 40, "{run_count:?}");
}
