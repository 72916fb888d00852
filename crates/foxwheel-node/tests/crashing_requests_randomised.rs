//! Sends the crashing request of `crashing_requests` to random fronts of three zones a few times
//! per second, sometimes two at once, while random fronts and workers are killed and restarted and
//! the store has outages. After the request has crashed three servers and every process has had
//! time to receive these crashes, fronts that ran for all of that time send it to at most three
//! more servers.

mod common;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use common::crashing_servers::{
    self, CRASHES_TO_QUARANTINE, CRASHING_BODY, MAX_RUNS_IN_QUARANTINE, PROPAGATION_TIME,
};
use common::{call, Fleet, FleetPlan};
use foxwheel_store::api::Faults;
use hyper::Method;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// How long the request is sent.
const DURATION: Duration = Duration::from_secs(12);

struct SentRequest {
    id: String,
    sent_at: Instant,
    front_started_at: Instant,
}

/// When each front was last started, in the order of the fleet's fronts.
type FrontStarts = Mutex<Vec<(SocketAddr, Instant)>>;

async fn run_scenario(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::start(FleetPlan {
        servers: crashing_servers::shapes(90),
        fronts: 6,
        workers: 3,
        zones: 3,
    })
    .await;
    let started = Instant::now();
    let fronts = fleet.fronts.iter().map(|front| (*front, started));
    let starts: FrontStarts = Mutex::new(fronts.collect());
    let mut quarantined_at = None;
    let mut sent: Vec<SentRequest> = Vec::new();
    let mut calls = Vec::new();
    while started.elapsed() < DURATION {
        for _ in 0..rng.random_range(1..=2) {
            let (front, front_started_at) = {
                let starts = starts.lock().expect("starts lock");
                starts[rng.random_range(0..starts.len())]
            };
            let id = format!("crash-{}", sent.len());
            sent.push(SentRequest {
                id: id.clone(),
                sent_at: Instant::now(),
                front_started_at,
            });
            calls.push(actix_web::rt::spawn(async move {
                // The front may refuse the request, cut it off or be unreachable: only the runs at
                // the servers are checked.
                let _ = call(front, Method::POST, "/stream/a", &id, &[], CRASHING_BODY).await;
            }));
        }
        match rng.random_range(0..12) {
            0 | 1 => {
                let index = rng.random_range(0..fleet.processes.len());
                fleet.restart(index).await;
                let addr = fleet.processes[index].settings.caller_address;
                let mut starts = starts.lock().expect("starts lock");
                let front = starts.iter_mut().find(|(front, _)| Some(*front) == addr);
                if let Some(front) = front {
                    front.1 = Instant::now();
                }
            }
            2 => {
                let outage = Faults {
                    outage: true,
                    ..Faults::default()
                };
                fleet.set_store_faults(outage).await;
            }
            3..=5 => fleet.set_store_faults(Faults::default()).await,
            _ => {}
        }
        let pause = rng.random_range(50..400);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let ended = fleet
            .servers
            .iter()
            .filter(|server| server.has_terminated());
        if quarantined_at.is_none() && ended.count() >= CRASHES_TO_QUARANTINE {
            quarantined_at = Some(Instant::now());
        }
    }
    futures::future::join_all(calls).await;
    let propagated_at = quarantined_at.expect("too few servers crashed") + PROPAGATION_TIME;
    let late = sent.iter().filter(|request| {
        let front_had_reports =
            request.sent_at.duration_since(request.front_started_at) >= PROPAGATION_TIME;
        request.sent_at >= propagated_at && front_had_reports
    });
    let late: Vec<&SentRequest> = late.collect();
    assert!(
        late.len() > MAX_RUNS_IN_QUARANTINE,
        "seed {seed}: too few requests sent"
    );
    let runs: usize = late
        .iter()
        .map(|request| fleet.runs_of_request(&request.id).len())
        .sum();
    assert!(
        runs <= MAX_RUNS_IN_QUARANTINE,
        "seed {seed}: {runs} runs in quarantine"
    );
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn quarantine_survives_process_restarts_and_store_outages() {
    for seed in [1, 2] {
        run_scenario(seed).await;
    }
}
