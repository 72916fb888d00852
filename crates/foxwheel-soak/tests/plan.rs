//! Plans, the command line, and the search for a smaller plan.

use std::cell::RefCell;
use std::time::Duration;

use foxwheel_soak::args::{self, Command};
use foxwheel_soak::checks::Promise;
use foxwheel_soak::plan::{Fault, Plan};
use foxwheel_soak::shrink;

#[test]
fn a_seed_gives_one_plan_and_its_faults_end_in_time() {
    arbtest::arbtest(|u| {
        let seed = u.arbitrary()?;
        let plan = Plan::draw(seed, args::default_size());
        assert_eq!(plan, Plan::draw(seed, args::default_size()));
        let mut last = Duration::ZERO;
        for step in &plan.steps {
            assert!(step.start_after >= last, "by time");
            assert!(step.start_after + step.duration <= plan.size.injection_duration);
            last = step.start_after;
        }
        let text = serde_json::to_string(&plan).expect("it encodes");
        let read: Plan = serde_json::from_str(&text).expect("it decodes");
        assert_eq!(read, plan);
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
    let (acts, paths, store, servers, others) = (4, 6, 9, 9, 2);
    assert_eq!(
        kinds.len(),
        acts + paths + store + servers + others,
        "{kinds:?}"
    );
}

#[test]
fn arguments_are_checked() {
    let parse = |args: &[&str]| args::parse(args.iter().map(std::ffi::OsString::from));
    let bad: [&[&str]; 4] = [
        &[],
        &["--out", "x", "--fronts", "0"],
        &["--out", "x", "--fronts", "119", "--workers", "2"],
        &["--out", "x", "--seed", "one"],
    ];
    for args in bad {
        assert!(parse(args).is_err(), "{args:?}");
    }
    let Ok(Command::Run(options)) = parse(&["--out", "x", "--seeds", "50", "--shrink"]) else {
        panic!("valid arguments");
    };
    assert_eq!((options.seeds, options.shrink), (50, true));
}

#[actix_web::test]
async fn a_plan_shrinks_to_the_faults_that_are_needed() {
    let mut plan = Plan::draw(7, args::default_size());
    plan.steps.truncate(6);
    let needed = [plan.steps[1].clone(), plan.steps[4].clone()];
    let runs = RefCell::new(0);
    let smallest = shrink::shrink(plan, Promise::Served, |smaller| {
        *runs.borrow_mut() += 1;
        let breaks = needed.iter().all(|step| smaller.steps.contains(step));
        std::future::ready(Ok(if breaks {
            vec![Promise::Served]
        } else {
            vec![]
        }))
    });
    assert_eq!(smallest.await.expect("it runs").steps, needed);
    assert!(*runs.borrow() < 40, "{runs:?}");
}
