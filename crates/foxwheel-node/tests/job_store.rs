//! Tests what the store holds of jobs when writes fail between the objects of one value.

mod common;

use std::time::{Duration, Instant};

use foxwheel_node::job_store::{JobStore, PartCreation};
use foxwheel_node::node::Node;
use foxwheel_node::settings::Role;
use foxwheel_platform_emu::settings::PlatformSettings;
use foxwheel_policy::batch::checkpoint::{ItemCheckpoint, JobCheckpoint};
use foxwheel_policy::batch::item::{ItemOutcome, ItemResult, PartialOutput};
use foxwheel_store::api::Faults;
use foxwheel_store::client::StoreClient;
use tokio_util::sync::CancellationToken;

/// Returns the access of a worker to a new store, and the operator's client of the store.
fn start_job_store(cancel: &CancellationToken) -> (JobStore, StoreClient) {
    let (store_address, store) =
        foxwheel_platform_emu::server::start(&PlatformSettings::for_test(), cancel.clone())
            .expect("store starts");
    actix_web::rt::spawn(store);
    let settings = common::single_process_settings(Role::Worker, store_address);
    let node = Node::new(settings, cancel.clone());
    let operator = StoreClient::new(format!("http://{store_address}"));
    (JobStore::new(node), operator)
}

/// Returns the progress of a job of which two do not fit into one object.
fn large_checkpoint(job: &str) -> JobCheckpoint {
    let mut output = PartialOutput::default();
    assert!(output.push_event(1, &"x".repeat(600_000)));
    JobCheckpoint {
        job: job.to_owned(),
        items: vec![ItemCheckpoint {
            id: format!("{job}-item"),
            failures: 0,
            output,
            outcome: None,
        }],
    }
}

/// Guards against items that start over: a worker died between the objects of a checkpoint, which
/// replaced the earlier one piece by piece.
#[actix_web::test]
async fn a_checkpoint_that_is_written_in_part_keeps_the_earlier_one() {
    let cancel = CancellationToken::new();
    let (store, operator) = start_job_store(&cancel);
    let earlier = ["a", "b"].map(large_checkpoint);
    store.save_checkpoints(&earlier).await.expect("saved");
    let fault = Faults {
        lose_reply_every: 2,
        late_ms: 600_000,
        ..Faults::default()
    };
    operator.set_faults(&fault).await.expect("faults set");
    let later = ["c", "a"].map(large_checkpoint);
    store
        .save_checkpoints(&later)
        .await
        .expect_err("the second write is lost");
    let saved = store.load_checkpoints().await.expect("loaded");
    for checkpoint in &earlier {
        assert!(saved.contains(checkpoint), "{} is lost", checkpoint.job);
    }
    cancel.cancel();
}

/// The objects of a checkpoint that the next one replaces are removed.
#[actix_web::test]
async fn a_complete_checkpoint_leaves_no_object_of_the_earlier_one() {
    let cancel = CancellationToken::new();
    let (store, _operator) = start_job_store(&cancel);
    let saves = [
        &["a", "b", "c"][..],
        &["b", "c"],
        &["c"],
        &["d"],
        &["d", "e"],
    ];
    for jobs in saves {
        let checkpoints: Vec<_> = jobs.iter().map(|job| large_checkpoint(job)).collect();
        store.save_checkpoints(&checkpoints).await.expect("saved");
        let mut saved = store.load_checkpoints().await.expect("loaded");
        saved.sort_unstable_by(|one, other| one.job.cmp(&other.job));
        assert_eq!(saved.len(), jobs.len(), "{jobs:?}");
        assert!(saved == checkpoints, "{jobs:?}");
    }
    cancel.cancel();
}

/// Returns a result that does not fit into one object.
fn large_result(character: &str) -> ItemResult {
    ItemResult {
        id: "item-0".to_owned(),
        outcome: ItemOutcome::Completed,
        output: character.repeat(900_000).into(),
    }
}

/// Guards against the loss of a stored value: its chunks were deleted as unused because the response
/// to the write of its object was lost.
#[actix_web::test]
async fn a_value_in_chunks_survives_lost_responses() {
    let cancel = CancellationToken::new();
    let (store, operator) = start_job_store(&cancel);
    let job = "job".to_owned();
    for every in 2..5 {
        let fault = Faults {
            lose_reply_every: every,
            ..Faults::default()
        };
        operator.set_faults(&fault).await.expect("faults set");
        let results = [large_result("\"")];
        let number = every as u32;
        let created = store.create_part(&job, number, &results).await;
        assert_eq!(created.expect("created"), PartCreation::Created);
        let deadline = Instant::now() + Duration::from_secs(10);
        let loaded = store.load_part(&job, number, deadline).await;
        assert!(loaded.expect("readable").expect("stored") == results);
    }
    cancel.cancel();
}

/// The part of the worker that was first stays, and nothing of the other one.
#[actix_web::test]
async fn a_part_in_chunks_is_created_by_one_worker() {
    let cancel = CancellationToken::new();
    let (store, operator) = start_job_store(&cancel);
    let job = "job".to_owned();
    let first = [large_result("1")];
    let created = store.create_part(&job, 0, &first).await.expect("created");
    assert_eq!(created, PartCreation::Created);
    let chunks = operator.list("foxwheel-chunks/").await.expect("listed");
    let second = store.create_part(&job, 0, &[large_result("2")]).await;
    assert!(second.expect("stored") == PartCreation::AlreadyExists(first.to_vec()));
    let repeat = store.create_part(&job, 0, &first).await.expect("created");
    assert_eq!(repeat, PartCreation::Created);
    let chunks_after = operator.list("foxwheel-chunks/").await.expect("listed");
    assert!(chunks_after.objects == chunks.objects);
    cancel.cancel();
}

/// Guards against progress that is lost: a write of an earlier checkpoint arrives late, and replaces
/// the last one.
#[actix_web::test]
async fn a_late_write_of_a_checkpoint_does_not_replace_a_newer_one() {
    const LATE: Duration = Duration::from_millis(300);
    let cancel = CancellationToken::new();
    let (store, operator) = start_job_store(&cancel);
    let checkpoints = ["a", "b", "c"].map(|job| [large_checkpoint(job)]);
    let [first, late, last] = &checkpoints;
    store.save_checkpoints(first).await.expect("saved");
    let fault = Faults {
        lose_reply_every: 2,
        late_ms: LATE.as_millis() as u64,
        ..Faults::default()
    };
    operator.set_faults(&fault).await.expect("faults set");
    store
        .save_checkpoints(late)
        .await
        .expect_err("the response is lost");
    operator
        .set_faults(&Faults::default())
        .await
        .expect("faults set");
    store.save_checkpoints(last).await.expect("saved");
    tokio::time::sleep(2 * LATE).await;
    assert!(store.load_checkpoints().await.expect("loaded") == last);
    cancel.cancel();
}
