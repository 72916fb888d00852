//! `foxwheel-load`: runs an experiment against the gateways and checks what came back.

use std::path::PathBuf;
use std::time::Duration;

use foxwheel_load::{batch, experiment::Experiment, online, report, services};

const USAGE: &str = "usage: foxwheel-load --experiment FILE.json [--out RESULT.json]";

fn parse_args() -> Result<(PathBuf, Option<PathBuf>), lexopt::Error> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_env();
    let (mut experiment, mut out) = (None, None);
    while let Some(arg) = parser.next()? {
        match arg {
            Short('e') | Long("experiment") => experiment = Some(PathBuf::from(parser.value()?)),
            Short('o') | Long("out") => out = Some(PathBuf::from(parser.value()?)),
            Short('h') | Long("help") => {
                println!("{USAGE}");
                std::process::exit(0);
            }
            _ => return Err(arg.unexpected()),
        }
    }
    let experiment = experiment.ok_or(lexopt::Error::MissingValue {
        option: Some("--experiment".to_owned()),
    })?;
    Ok((experiment, out))
}

async fn run(experiment: Experiment) -> report::Result {
    let duration = Duration::from_secs(experiment.duration_s);
    let wait = Duration::from_secs(experiment.duration_s + experiment.batch_wait_s);
    let online_tasks: Vec<_> = experiment
        .online
        .iter()
        .enumerate()
        .map(|(i, load)| {
            actix_web::rt::spawn(online::run(
                experiment.gateways.clone(),
                load.clone(),
                duration,
                experiment.seed + i as u64,
            ))
        })
        .collect();
    let batch_tasks: Vec<_> = experiment
        .batches
        .iter()
        .map(|load| {
            actix_web::rt::spawn(batch::run(experiment.gateways.clone(), load.clone(), wait))
        })
        .collect();
    let service_tasks: Vec<_> = experiment
        .services
        .iter()
        .enumerate()
        .map(|(i, load)| {
            actix_web::rt::spawn(services::run(
                experiment.gateways.clone(),
                load.clone(),
                duration,
                experiment.seed + 100 + i as u64,
            ))
        })
        .collect();
    let mut online_tallies = Vec::new();
    for t in online_tasks {
        online_tallies.extend(t.await.ok());
    }
    let mut batch_tallies = Vec::new();
    for t in batch_tasks {
        batch_tallies.extend(t.await.ok());
    }
    let mut service_tallies = Vec::new();
    for t in service_tasks {
        service_tallies.extend(t.await.ok());
    }
    report::build(online_tallies, batch_tallies, service_tallies)
}

fn main() {
    foxwheel_core::telemetry::init_logging();
    let (path, out) = match parse_args() {
        Ok(args) => args,
        Err(e) => {
            eprintln!("foxwheel-load: {e}\n{USAGE}");
            std::process::exit(2);
        }
    };
    let experiment: Experiment = match foxwheel_core::settings::load(&path) {
        Ok(e) => e,
        Err(e) => {
            eprintln!("foxwheel-load: {e}");
            std::process::exit(2);
        }
    };
    let result = actix_web::rt::System::new().block_on(run(experiment));
    print!("{}", report::text(&result));
    if let Some(out) = out {
        let json = serde_json::to_string_pretty(&result).expect("result encodes");
        if let Err(e) = std::fs::write(&out, json) {
            eprintln!("foxwheel-load: cannot write {}: {e}", out.display());
        }
    }
    if !result.failed_checks.is_empty() {
        std::process::exit(1);
    }
}
