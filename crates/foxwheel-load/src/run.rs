//! Running one experiment from its file to its result.

use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use crate::experiment::{Experiment, OnlineLoad};
use crate::fleet::{Fleet, FleetError};
use crate::online::OnlineTally;
use crate::report::{self, ExperimentResult};
use crate::usage::Sample;
use crate::{batch, faults, online, services};

/// The pause after the fleet is ready, so that start-up is not measured.
const SETTLE: Duration = Duration::from_secs(1);

/// Runs `experiment`, whose paths are relative to `base`; the fleet's settings and logs go
/// under `out`.
pub async fn run(
    mut experiment: Experiment,
    base: &Path,
    out: &Path,
) -> Result<ExperimentResult, FleetError> {
    let Some(spec) = experiment.fleet.take() else {
        return Ok(load(&experiment).await);
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
    tokio::time::sleep(SETTLE).await;
    let before = Sample::take(&fleet).await;
    let fleet = Rc::new(RefCell::new(fleet));
    let faults = actix_web::rt::spawn(faults::run(fleet.clone(), experiment.faults.clone()));
    let mut result = load(&experiment).await;
    let _ = faults.await;
    if let Ok(fleet) = Rc::try_unwrap(fleet) {
        let fleet = fleet.into_inner();
        let after = Sample::take(&fleet).await;
        result.usage = Some(before.until(&after));
        fleet.stop().await;
    }
    Ok(result)
}

/// Sends the load and waits for its end.
async fn load(experiment: &Experiment) -> ExperimentResult {
    let duration = Duration::from_secs(experiment.duration_s);
    let wait = duration + Duration::from_secs(experiment.batch_wait_s);
    let gateways = &experiment.gateways;
    let online: Vec<_> = experiment
        .online
        .iter()
        .zip(experiment.seed..)
        .map(|(load, seed)| online_thread(gateways.clone(), load.clone(), duration, seed))
        .collect();
    let batches: Vec<_> = experiment
        .batches
        .iter()
        .map(|load| actix_web::rt::spawn(batch::run(gateways.clone(), load.clone(), wait)))
        .collect();
    let services: Vec<_> = experiment
        .services
        .iter()
        .zip(experiment.seed + 100..)
        .map(|(load, seed)| {
            let run = services::run(gateways.clone(), load.clone(), duration, seed);
            actix_web::rt::spawn(run)
        })
        .collect();
    tokio::time::sleep(duration).await;
    let (mut online_tallies, mut batch_tallies, mut service_tallies) = (vec![], vec![], vec![]);
    for task in online {
        online_tallies.extend(task.await.ok());
    }
    for task in batches {
        batch_tallies.extend(task.await.ok());
    }
    for task in services {
        service_tallies.extend(task.await.ok());
    }
    report::build(
        online_tallies,
        batch_tallies,
        service_tallies,
        &experiment.objective,
    )
}

/// Each online load has a thread of its own, so that reading many streams delays no
/// arrival of another.
fn online_thread(
    gateways: Vec<String>,
    load: OnlineLoad,
    duration: Duration,
    seed: u64,
) -> tokio::sync::oneshot::Receiver<OnlineTally> {
    let (done, tally) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || {
        let system = actix_web::rt::System::new();
        let _ = done.send(system.block_on(online::run(gateways, load, duration, seed)));
    });
    tally
}
