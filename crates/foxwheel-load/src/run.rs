//! Runs one experiment: starts its fleet, sends its load, causes its faults and builds the result.

use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use crate::experiment::{Experiment, OnlineLoad};
use crate::fleet::{Fleet, FleetError};
use crate::online::OnlineStats;
use crate::report::{self, ExperimentResult};
use crate::usage::Sample;
use crate::{batch, faults, online, services};

/// The delay between the fleet being ready and the load, so that start-up is not measured.
const SETTLE_DELAY: Duration = Duration::from_secs(1);

/// Runs `experiment`, whose paths are relative to `base`. The settings and logs of the fleet are
/// written under `out`. Returns an error if the fleet does not start.
pub async fn run_experiment(
    mut experiment: Experiment,
    base: &Path,
    out: &Path,
) -> Result<ExperimentResult, FleetError> {
    let Some(spec) = experiment.fleet.take() else {
        return Ok(send_load(&experiment).await);
    };
    let fleet = Fleet::start(&spec, base, out).await?;
    experiment.gateways = fleet.gateway_urls.clone();
    for service in &mut experiment.services {
        let urls = fleet.service_urls.iter();
        service.emulator_urls = urls
            .filter(|(deployment, _)| *deployment == service.service)
            .map(|(_, url)| url.clone())
            .collect();
    }
    tokio::time::sleep(SETTLE_DELAY).await;
    let before = Sample::read(&fleet).await;
    let fleet = Rc::new(RefCell::new(fleet));
    let faults = actix_web::rt::spawn(faults::cause_faults(
        fleet.clone(),
        experiment.faults.clone(),
    ));
    let mut result = send_load(&experiment).await;
    let _ = faults.await;
    if let Ok(fleet) = Rc::try_unwrap(fleet) {
        let fleet = fleet.into_inner();
        let after = Sample::read(&fleet).await;
        result.usage = Some(before.usage_until(&after));
        fleet.stop().await;
    }
    Ok(result)
}

/// Sends the load, waits until all requests have ended and the batch jobs have finished or their
/// wait has ended, and builds the result.
async fn send_load(experiment: &Experiment) -> ExperimentResult {
    let duration = Duration::from_secs(experiment.duration_s);
    let batch_wait = duration + Duration::from_secs(experiment.batch_wait_s);
    let gateways = &experiment.gateways;
    let online: Vec<_> = experiment
        .online
        .iter()
        .zip(experiment.seed..)
        .map(|(load, seed)| spawn_online_load(gateways.clone(), load.clone(), duration, seed))
        .collect();
    let batches: Vec<_> = experiment
        .batches
        .iter()
        .map(|load| {
            actix_web::rt::spawn(batch::run_batch_load(
                gateways.clone(),
                load.clone(),
                batch_wait,
            ))
        })
        .collect();
    let services: Vec<_> = experiment
        .services
        .iter()
        .zip(experiment.seed + 100..)
        .map(|(load, seed)| {
            let run = services::run_service_load(gateways.clone(), load.clone(), duration, seed);
            actix_web::rt::spawn(run)
        })
        .collect();
    tokio::time::sleep(duration).await;
    let (mut online_stats, mut batch_stats, mut service_stats) = (vec![], vec![], vec![]);
    for task in online {
        online_stats.extend(task.await.ok());
    }
    for task in batches {
        batch_stats.extend(task.await.ok());
    }
    for task in services {
        service_stats.extend(task.await.ok());
    }
    report::build_result(
        online_stats,
        batch_stats,
        service_stats,
        &experiment.objective,
    )
}

/// Runs an online load in its own thread, so that reading its streams does not delay the arrivals
/// of another load. Returns the receiver of its statistics.
fn spawn_online_load(
    gateways: Vec<String>,
    load: OnlineLoad,
    duration: Duration,
    seed: u64,
) -> tokio::sync::oneshot::Receiver<OnlineStats> {
    let (stats_sender, stats_receiver) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || {
        let system = actix_web::rt::System::new();
        let _ = stats_sender
            .send(system.block_on(online::run_online_load(gateways, load, duration, seed)));
    });
    stats_receiver
}
