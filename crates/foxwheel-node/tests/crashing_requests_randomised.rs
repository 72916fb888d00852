//! The crashing request of `crashing_requests`, sent at random fronts of three zones a few times
//! a second, some at once, while fronts and workers are killed and started again and the store
//! goes away. Once it crashed three servers and the time within which that must be known has
//! passed, fronts that ran all that time send it to three servers more at most.

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

/// How long the request comes.
const LENGTH: Duration = Duration::from_secs(12);

/// A request that was sent.
struct Sent {
    id: String,
    at: Instant,
    /// When its front was started.
    front_since: Instant,
}

/// When each front was started last; in the order of the fleet's fronts.
type Starts = Mutex<Vec<(SocketAddr, Instant)>>;

async fn play(seed: u64) {
    let mut draw = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::start(FleetPlan {
        servers: crashing_servers::shapes(90),
        fronts: 6,
        workers: 3,
        zones: 3,
    })
    .await;
    let started = Instant::now();
    let fronts = fleet.fronts.iter().map(|front| (*front, started));
    let starts: Starts = Mutex::new(fronts.collect());
    let mut third_crash = None;
    let mut sent: Vec<Sent> = Vec::new();
    let mut calls = Vec::new();
    while started.elapsed() < LENGTH {
        for _ in 0..draw.random_range(1..=2) {
            let (front, front_since) = {
                let starts = starts.lock().expect("starts lock");
                starts[draw.random_range(0..starts.len())]
            };
            let id = format!("crash-{}", sent.len());
            sent.push(Sent {
                id: id.clone(),
                at: Instant::now(),
                front_since,
            });
            calls.push(actix_web::rt::spawn(async move {
                // Refused, broken off or unreachable: what counts is what the servers see.
                let _ = call(front, Method::POST, "/stream/a", &id, &[], CRASHING_BODY).await;
            }));
        }
        match draw.random_range(0..12) {
            0 | 1 => {
                let at = draw.random_range(0..fleet.processes.len());
                fleet.restart(at).await;
                let addr = fleet.processes[at].settings.caller_address;
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
        let pause = draw.random_range(50..400);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let ended = fleet.servers.iter().filter(|server| server.has_ended());
        if third_crash.is_none() && ended.count() >= CRASHES_TO_QUARANTINE {
            third_crash = Some(Instant::now());
        }
    }
    futures::future::join_all(calls).await;
    let known_at = third_crash.expect("servers crash") + PROPAGATION_TIME;
    let late = sent.iter().filter(|one| {
        let front_was_up = one.at.duration_since(one.front_since) >= PROPAGATION_TIME;
        one.at >= known_at && front_was_up
    });
    let late: Vec<&Sent> = late.collect();
    assert!(
        late.len() > MAX_RUNS_IN_QUARANTINE,
        "seed {seed}: enough was sent"
    );
    let runs: usize = late
        .iter()
        .map(|one| fleet.runs_of_request(&one.id).len())
        .sum();
    assert!(
        runs <= MAX_RUNS_IN_QUARANTINE,
        "seed {seed}: {runs} servers reached"
    );
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn whatever_happens_to_processes_and_store_a_known_request_stays_known() {
    for seed in [1, 2] {
        play(seed).await;
    }
}
