//! Long randomised runs of batch jobs, during which gateways are killed, paused and started, the
//! store is down, slow or loses responses, and jobs are sent again, in any order. Debug builds of the
//! gateway assert its invariants; this test asserts on the complete history of the store that a
//! final item never changes.

mod common;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use foxwheel_core::keys;
use foxwheel_gateway::batch::jobs::ChunkRecord;
use foxwheel_gateway::server;
use foxwheel_gateway::settings::GatewaySettings;
use foxwheel_store::api::Faults;

/// Number of fixed seeds that CI runs.
const SEED_COUNT: u64 = 6;
/// Input size, which arbtest reads from the upper half of a seed.
const INPUT_SIZE: u64 = 64;
/// Number of items of the job. With the tokens per response it makes the job long enough that work is
/// in flight at every step.
const ITEM_COUNT: usize = 260;
/// Number of tokens of each response.
const ITEM_TOKENS: usize = 20;
/// Duration of the chunk leases of the gateways that are paused or killed, in milliseconds.
const LEASE_MS: u64 = 600;
/// How long a gateway is paused: long enough that its leases expire and another gateway finishes its
/// chunks before it resumes and writes.
const PAUSE_DURATION: Duration = Duration::from_millis(3_500);

/// Set by every panic, because panics in spawned tasks are not reported in another way.
static HAS_PANICKED: AtomicBool = AtomicBool::new(false);

/// Event of one step of the run.
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
    /// Returns the faults of the store in this step, or `None` if the step is not a fault of the
    /// store.
    fn store_faults(self) -> Option<Faults> {
        let no_faults = Faults::default();
        match self {
            Self::StoreOutage => Some(Faults {
                outage: true,
                ..no_faults
            }),
            Self::StoreLosesReplies => Some(Faults {
                lose_reply_every: 2,
                ..no_faults
            }),
            Self::StoreSlow => Some(Faults {
                delay_ms: 60,
                ..no_faults
            }),
            _ => None,
        }
    }
}

/// A gateway on a thread of its own that can be paused and killed like a process.
struct KillableGateway(actix_web::rt::System);

impl KillableGateway {
    fn start(store_url: &str, name: String) -> Self {
        let settings = GatewaySettings {
            chunk_lease_ms: LEASE_MS,
            ..common::gateway_settings(store_url, &name)
        };
        let (sender, receiver) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let runner = actix_web::rt::System::new();
            runner.block_on(async {
                let never_cancelled = tokio_util::sync::CancellationToken::new();
                server::start(settings, never_cancelled).expect("gateway starts");
                let system = actix_web::rt::System::current();
                sender.send(system).expect("the test waits");
            });
            runner.run().expect("system runs");
        });
        Self(receiver.recv().expect("gateway started"))
    }

    /// Blocks the thread, as SIGSTOP stops a process. The controllers resume after `PAUSE_DURATION`.
    fn pause(&self) {
        self.0
            .arbiter()
            .spawn_fn(|| std::thread::sleep(PAUSE_DURATION));
    }

    /// Drops every task at its current point, as SIGKILL ends a process.
    fn kill(self) {
        self.0.stop();
    }
}

async fn run_steps(steps: &[Step]) {
    let fleet = common::start(2).await;
    let store_url = fleet.store.base_url().to_owned();
    let request = common::batch_request_with_tokens("randomised", ITEM_COUNT, ITEM_TOKENS);
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
    assert_eq!(status["counts"]["done"], ITEM_COUNT, "{status}");
    fleet
        .assert_own_responses_with_tokens(&id, ITEM_COUNT, ITEM_TOKENS)
        .await;
    // After this time paused gateways have resumed and tried to write the results they had.
    tokio::time::sleep(PAUSE_DURATION).await;
    assert_no_final_item_changed(&fleet, &id).await;
    for gateway in gateways.into_iter().chain(paused) {
        gateway.kill();
    }
    fleet.cancel.cancel();
    assert!(
        !HAS_PANICKED.load(Ordering::SeqCst),
        "an invariant was violated"
    );
}

/// Asserts over every version of every chunk that a final item does not change.
async fn assert_no_final_item_changed(fleet: &common::Fleet, id: &str) {
    let prefix = keys::chunks_prefix(id);
    let history = fleet.store.watch(&prefix, 0, Duration::ZERO).await;
    let mut last_versions: BTreeMap<String, ChunkRecord> = BTreeMap::new();
    for event in history.expect("the complete history is kept").events {
        let value = event.value.expect("chunks are never deleted");
        let chunk: ChunkRecord = serde_json::from_value(value).expect("chunk");
        if let Some(previous) = last_versions.get(&event.key) {
            for (previous_item, item) in previous.items.iter().zip(&chunk.items) {
                assert!(
                    !previous_item.state.is_final() || previous_item == item,
                    "{} changed",
                    previous_item.custom_id
                );
            }
        }
        last_versions.insert(event.key, chunk);
    }
}

fn run_random_steps(u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
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
fn every_item_completes_exactly_once_in_randomised_runs() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        HAS_PANICKED.store(true, Ordering::SeqCst);
        default_hook(info);
    }));
    for seed in 0..SEED_COUNT {
        arbtest::arbtest(run_random_steps)
            .seed((INPUT_SIZE << 32) | seed)
            .run();
    }
}
