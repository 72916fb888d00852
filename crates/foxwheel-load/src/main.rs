//! `foxwheel-load`: runs experiments and sweeps, and checks their results.

use std::path::Path;
use std::process::ExitCode;

use foxwheel_core::settings;
use foxwheel_load::args::{self, Command};
use foxwheel_load::experiment::Experiment;
use foxwheel_load::sweep::Sweep;
use foxwheel_load::{fit, model_report, overhead, plot, propagation, report, run, sweep};
use foxwheel_model::scenario::Scenario;

/// Any error of a command. `main` prints it as one line.
type BoxedError = Box<dyn std::error::Error>;

/// Returns the folder that the paths in the file at `path` are relative to.
fn base_folder(path: &Path) -> &Path {
    path.parent().unwrap_or(Path::new("."))
}

/// Runs one experiment and writes its results. Returns whether all checks passed.
async fn run_experiment(path: &Path, out: &Path) -> Result<bool, BoxedError> {
    let experiment: Experiment = settings::load(path)?;
    std::fs::create_dir_all(out)?;
    let result = run::run_experiment(experiment, base_folder(path), out).await?;
    let text = report::format_text(&result);
    print!("{text}");
    std::fs::write(out.join("report.txt"), text)?;
    let json = serde_json::to_string_pretty(&result)?;
    std::fs::write(out.join("result.json"), json)?;
    plot::draw_plots(&result, out)?;
    Ok(result.failed_checks.is_empty())
}

async fn run_sweep(path: &Path, out: &Path) -> Result<(), BoxedError> {
    let sweep_file: Sweep = settings::load(path)?;
    std::fs::create_dir_all(out)?;
    sweep::run_sweep(path, &sweep_file, out).await?;
    Ok(())
}

fn print_fit(rows: &Path, y: &str, xs: &[String]) -> Result<(), BoxedError> {
    let fitted = fit::fit_columns(&fit::read_columns(rows)?, y, xs)?;
    print!("{y} = {:.6}", fitted.intercept);
    for (name, slope) in &fitted.slopes {
        print!(" + {slope:.9} * {name}");
    }
    println!("   (r2 {:.4})", fitted.r_squared);
    Ok(())
}

async fn run_overhead(path: &Path, out: &Path, calls: u64) -> Result<(), BoxedError> {
    let experiment: Experiment = settings::load(path)?;
    let spec = experiment.fleet.ok_or("the experiment has no fleet")?;
    let first_load = experiment.online.first();
    let model = &first_load.ok_or("the experiment has no online load")?.model;
    std::fs::create_dir_all(out)?;
    let result = overhead::measure_overhead(&spec, base_folder(path), out, model, calls).await?;
    let json = serde_json::to_string_pretty(&result)?;
    println!("{json}");
    std::fs::write(out.join("overhead.json"), json)?;
    Ok(())
}

async fn run_propagation(path: &Path, out: &Path, changes: u64) -> Result<(), BoxedError> {
    let experiment: Experiment = settings::load(path)?;
    let spec = experiment.fleet.ok_or("the experiment has no fleet")?;
    std::fs::create_dir_all(out)?;
    let result = propagation::measure_propagation(&spec, base_folder(path), out, changes).await?;
    let json = serde_json::to_string_pretty(&result)?;
    println!("{json}");
    std::fs::write(out.join("propagation.json"), json)?;
    Ok(())
}

fn run_model(path: &Path, out: &Path) -> Result<(), BoxedError> {
    let scenario: Scenario = settings::load(path)?;
    std::fs::create_dir_all(out)?;
    let outcomes = model_report::simulate_variants(&scenario);
    let table = model_report::markdown_table(&outcomes);
    print!("{table}");
    std::fs::write(out.join("report.md"), table)?;
    model_report::draw_plot(&outcomes, out)
}

async fn execute_command(command: Command) -> Result<bool, BoxedError> {
    match command {
        Command::Help => println!("{}", args::USAGE),
        Command::Version => println!("foxwheel-load {}", env!("CARGO_PKG_VERSION")),
        Command::Run { experiment, out } => return run_experiment(&experiment, &out).await,
        Command::Sweep { sweep, out } => run_sweep(&sweep, &out).await?,
        Command::Fit { rows, y, xs } => print_fit(&rows, &y, &xs)?,
        Command::Model { scenario, out } => run_model(&scenario, &out)?,
        Command::Overhead {
            experiment,
            out,
            calls,
        } => run_overhead(&experiment, &out, calls).await?,
        Command::Propagation {
            experiment,
            out,
            changes,
        } => run_propagation(&experiment, &out, changes).await?,
    }
    Ok(true)
}

fn main() -> ExitCode {
    foxwheel_core::telemetry::init_logging();
    let command = match args::parse(std::env::args_os().skip(1)) {
        Ok(command) => command,
        Err(e) => {
            eprintln!("foxwheel-load: {e}\n{}", args::USAGE);
            return ExitCode::from(2);
        }
    };
    match actix_web::rt::System::new().block_on(execute_command(command)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("foxwheel-load: {e}");
            ExitCode::FAILURE
        }
    }
}
