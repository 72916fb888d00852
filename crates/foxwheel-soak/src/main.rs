//! `foxwheel-soak`: runs real processes under faults and checks their promises.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use foxwheel_core::{shutdown, telemetry};
use foxwheel_soak::args::{self, Command, Options};
use foxwheel_soak::checks::Promise;
use foxwheel_soak::fleet::{io_error, SoakError};
use foxwheel_soak::plan::Plan;
use foxwheel_soak::run::{self, Folders, Outcome};
use foxwheel_soak::{report, shrink};

fn main() -> ExitCode {
    let options = match args::parse(std::env::args_os().skip(1)) {
        Ok(Command::Run(options)) => options,
        Ok(Command::Help) => {
            println!("{}", args::USAGE);
            return ExitCode::SUCCESS;
        }
        Ok(Command::Version) => {
            println!("foxwheel-soak {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("{e}\n{}", args::USAGE);
            return ExitCode::from(2);
        }
    };
    telemetry::init_logging();
    match actix_web::rt::System::new().block_on(run_until_signal(&options)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("foxwheel-soak: {e}");
            ExitCode::from(2)
        }
    }
}

/// Runs the plans unless a signal to stop arrives first. Dropping the runs also ends the processes
/// that they started.
async fn run_until_signal(options: &Options) -> Result<bool, SoakError> {
    let signalled = shutdown::cancel_on_signal();
    tokio::select! {
        all_kept = run_plans(options) => all_kept,
        () = signalled.cancelled() => Err(SoakError::Interrupted),
    }
}

/// Runs the plans and returns whether all promises were kept.
async fn run_plans(options: &Options) -> Result<bool, SoakError> {
    let plans = match &options.plan {
        Some(file) => vec![read_plan(file)?],
        None => (0..options.seeds)
            .map(|offset| Plan::draw(options.seed + offset, options.size.clone()).with_silences())
            .collect(),
    };
    let mut all_kept = true;
    for plan in plans {
        let outcome = run_plan(&plan, options, "run").await?;
        println!("{}", outcome.summary);
        for breach in &outcome.breaches {
            println!("  {breach}");
        }
        all_kept &= outcome.breaches.is_empty();
        if let (true, Some(first)) = (options.shrink, outcome.breaches.first()) {
            shrink_plan(plan, first.promise, options).await?;
        }
    }
    Ok(all_kept)
}

async fn shrink_plan(plan: Plan, promise: Promise, options: &Options) -> Result<(), SoakError> {
    let smallest = shrink::shrink(plan, promise, |smaller| async move {
        let outcome = run_plan(&smaller, options, "shrink").await?;
        println!("{} of its faults: {}", smaller.steps.len(), outcome.summary);
        let breaches = outcome.breaches.iter();
        Ok(breaches.map(|breach| breach.promise).collect())
    });
    let smallest = smallest.await?;
    let folder = options.out.join("smallest");
    std::fs::create_dir_all(&folder).map_err(io_error("create the folder of the smallest plan"))?;
    report::write_plan(&smallest, &folder)?;
    println!(
        "{} faults break {promise:?}: {}",
        smallest.steps.len(),
        folder.display()
    );
    Ok(())
}

async fn run_plan(plan: &Plan, options: &Options, name: &str) -> Result<Outcome, SoakError> {
    let program = std::env::current_exe().map_err(io_error("find the folder of the programs"))?;
    let folders = Folders {
        programs: program.parent().map(PathBuf::from).unwrap_or_default(),
        run: options.out.join(format!("{name}-{}", plan.seed)),
    };
    run::run(plan, &folders).await
}

fn read_plan(file: &Path) -> Result<Plan, SoakError> {
    let text = std::fs::read_to_string(file).map_err(io_error("read the plan"))?;
    let plan = serde_json::from_str(&text).map_err(std::io::Error::other);
    plan.map_err(io_error("decode the plan"))
}
