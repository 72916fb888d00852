//! Long randomised runs of batch jobs: gateways killed, paused and started, the store down,
//! slow or losing replies, jobs sent again, in any order. The program asserts its own
//! invariants (debug builds); this test asserts the promise on the store's whole history.

mod common;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use foxwheel_core::keys;
use foxwheel_gateway::batch::jobs::ChunkRecord;
use foxwheel_gateway::server;
use foxwheel_gateway::settings::GatewaySettings;
use foxwheel_store::api::Faults;

/// Seeds run in CI, fixed. The upper half of an arbtest seed is the input size.
const SEEDS: u64 = 6;
const SIZE: u64 = 64;
/// Items of the job and tokens of each answer: long enough that every step meets work in
/// flight.
const ITEMS: usize = 260;
const ITEM_TOKENS: usize = 20;
/// Chunk leases of the gateways that are paused.
const LEASE_MS: u64 = 600;
/// Long enough for a paused gateway's leases to lapse and its chunks to be finished by
/// another before it wakes and writes.
const PAUSE: Duration = Duration::from_millis(3_500);

/// Set by any panic, as those in spawned tasks end nowhere else.
static PANICKED: AtomicBool = AtomicBool::new(false);

/// What happens at one step.
#[derive(Debug, Clone, Copy)]
enum Step {
    KillGateway,
    PauseGateway,
    StartGateway,
    StoreOutage,
    StoreLosesReplies,
    StoreSlow,
    Resend,
    Wait,
}

const STEPS: [Step; 8] = [
    Step::KillGateway,
    Step::PauseGateway,
    Step::StartGateway,
    Step::StoreOutage,
    Step::StoreLosesReplies,
    Step::StoreSlow,
    Step::Resend,
    Step::Wait,
];

impl Step {
    /// The store faults of the step, if it is one of the store's.
    fn store_faults(self) -> Option<Faults> {
        let well = Faults::default();
        match self {
            Self::StoreOutage => Some(Faults {
                outage: true,
                ..well
            }),
            Self::StoreLosesReplies => Some(Faults {
                lose_reply_every: 2,
                ..well
            }),
            Self::StoreSlow => Some(Faults {
                delay_ms: 60,
                ..well
            }),
            _ => None,
        }
    }
}

/// A gateway on a thread of its own, which can be paused or killed like a process.
struct KillableGateway(actix_web::rt::System);

impl KillableGateway {
    fn start(store_url: &str, name: String) -> Self {
        let settings = GatewaySettings {
            chunk_lease_ms: LEASE_MS,
            ..common::gateway_settings(store_url, &name)
        };
        let (started, system) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let runner = actix_web::rt::System::new();
            runner.block_on(async {
                let never = tokio_util::sync::CancellationToken::new();
                server::start(settings, never).expect("gateway starts");
                let system = actix_web::rt::System::current();
                started.send(system).expect("the test waits");
            });
            runner.run().expect("system runs");
        });
        Self(system.recv().expect("gateway started"))
    }

    /// Stops its controllers where they stand, as SIGSTOP does; they go on after `PAUSE`.
    fn pause(&self) {
        self.0.arbiter().spawn_fn(|| std::thread::sleep(PAUSE));
    }

    /// Drops every task where it stands, as SIGKILL does.
    fn kill(self) {
        self.0.stop();
    }
}

async fn run_steps(steps: &[Step]) {
    let fleet = common::start(2).await;
    let store_url = fleet.store.base_url().to_owned();
    let request = common::batch_request_of("randomised", ITEMS, ITEM_TOKENS);
    let id = fleet.create_batch(&request).await;
    let mut gateways = vec![KillableGateway::start(&store_url, "gateway-0".to_owned())];
    let mut paused = Vec::new();
    for (n, step) in steps.iter().enumerate() {
        match step {
            Step::KillGateway => {
                if let Some(gateway) = gateways.pop() {
                    gateway.kill();
                }
            }
            Step::PauseGateway => {
                if let Some(gateway) = gateways.pop() {
                    gateway.pause();
                    paused.push(gateway);
                }
            }
            Step::StartGateway => {
                let name = format!("gateway-{}", n + 1);
                gateways.push(KillableGateway::start(&store_url, name));
            }
            Step::Resend => assert_eq!(fleet.create_batch(&request).await, id),
            _ => {}
        }
        let faults = step.store_faults().unwrap_or_default();
        fleet.store.set_faults(&faults).await.expect("faults");
        tokio::time::sleep(Duration::from_millis(150)).await;
        let cleared = fleet.store.set_faults(&Faults::default()).await;
        cleared.expect("faults cleared");
    }
    let status = fleet.wait_until_completed(&id).await;
    assert_eq!(status["counts"]["done"], ITEMS, "{status}");
    fleet.assert_own_answers_of(&id, ITEMS, ITEM_TOKENS).await;
    // Paused gateways have woken by then, and tried to write what they had.
    tokio::time::sleep(PAUSE).await;
    assert_no_final_item_changed(&fleet, &id).await;
    for gateway in gateways.into_iter().chain(paused) {
        gateway.kill();
    }
    fleet.cancel.cancel();
    assert!(!PANICKED.load(Ordering::SeqCst), "an invariant was broken");
}

/// Goes through every version of every chunk: an item once final stays as it is.
async fn assert_no_final_item_changed(fleet: &common::Fleet, id: &str) {
    let prefix = keys::chunks_prefix(id);
    let history = fleet.store.watch(&prefix, 0, Duration::ZERO).await;
    let mut last: BTreeMap<String, ChunkRecord> = BTreeMap::new();
    for event in history.expect("the whole history is kept").events {
        let value = event.value.expect("chunks are never deleted");
        let chunk: ChunkRecord = serde_json::from_value(value).expect("chunk");
        if let Some(before) = last.get(&event.key) {
            for (was, is) in before.items.iter().zip(&chunk.items) {
                assert!(
                    !was.state.is_final() || was == is,
                    "{} changed",
                    was.custom_id
                );
            }
        }
        last.insert(event.key, chunk);
    }
}

fn property(u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
    let count = u.int_in_range(6..=14)?;
    let mut steps = vec![Step::Wait, Step::PauseGateway];
    for _ in 0..count {
        steps.push(*u.choose(&STEPS)?);
    }
    eprintln!("steps: {steps:?}");
    actix_web::rt::System::new().block_on(run_steps(&steps));
    Ok(())
}

#[test]
fn every_item_completes_once_in_any_run() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        PANICKED.store(true, Ordering::SeqCst);
        report(info);
    }));
    for seed in 0..SEEDS {
        arbtest::arbtest(property).seed((SIZE << 32) | seed).run();
    }
}
