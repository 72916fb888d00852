//! Tests a worker's jobs in memory: reading jobs that another worker owns, and evicting jobs.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_node::ledger_poll;
use foxwheel_node::node::Node;
use foxwheel_node::peer_calls::{ResultsQuery, ResultsResponse};
use foxwheel_node::settings::Role;
use foxwheel_node::worker_jobs::WorkerJobs;
use foxwheel_platform_emu::settings::PlatformSettings;
use foxwheel_policy::batch::item::{ItemOutcome, ItemResult, ItemSpec};
use foxwheel_policy::batch::job::JobSpec;
use foxwheel_policy::batch::ledger::LedgerChange;
use tokio_util::sync::CancellationToken;

fn job_spec(item_count: usize) -> JobSpec {
    let item = |number: usize| ItemSpec {
        id: format!("item-{number}"),
        path: "/p".to_owned(),
        headers: Vec::new(),
        body: Vec::new().into(),
        tokens: 1,
    };
    JobSpec {
        id: "job".to_owned(),
        host: "host.example".to_owned(),
        path: "/batch/job".to_owned(),
        route: "batch".to_owned(),
        submitted_unix: Duration::from_secs(1),
        items: (0..item_count).map(item).collect(),
    }
}

fn item_result(number: usize) -> ItemResult {
    ItemResult {
        id: format!("item-{number}"),
        outcome: ItemOutcome::Completed,
        output: "text".into(),
    }
}

fn start_worker_jobs(cancel: &CancellationToken) -> Arc<WorkerJobs> {
    let (store_address, store) =
        foxwheel_platform_emu::server::start(&PlatformSettings::for_test(), cancel.clone())
            .expect("store starts");
    actix_web::rt::spawn(store);
    let settings = common::single_process_settings(Role::Worker, store_address);
    WorkerJobs::new(Node::new(settings, cancel.clone()))
}

async fn count_results(jobs: &WorkerJobs, known_parts: u32) -> usize {
    let read = ResultsQuery {
        from: 0,
        max_bytes: 1_000_000,
        known_parts,
        wait: Duration::ZERO,
    };
    match jobs.read_results(&"job".to_owned(), read).await {
        ResultsResponse::Results { results, .. } => results.len(),
        other => panic!("{other:?}"),
    }
}

/// This worker loaded the job early. Since then its owner stored several parts, closed the job
/// and no longer reports it. A read must return every part that the caller may already have read
/// from another worker.
#[actix_web::test]
async fn a_later_read_finds_every_part_stored_since() {
    let cancel = CancellationToken::new();
    let jobs = start_worker_jobs(&cancel);
    let deadline = Instant::now() + Duration::from_secs(5);
    jobs.store
        .save_job(&job_spec(3), deadline)
        .await
        .expect("stored");
    assert_eq!(count_results(&jobs, 0).await, 0);
    for part in 0..3 {
        let results = [item_result(part as usize)];
        let id = "job".to_owned();
        let stored = jobs.store.create_part(&id, part, &results).await;
        stored.expect("stored");
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(count_results(&jobs, 0).await, 3);
    cancel.cancel();
}

/// Parts that another worker reports are read immediately, even if the store was read just before.
#[actix_web::test]
async fn parts_reported_by_other_workers_are_read_immediately() {
    let cancel = CancellationToken::new();
    let jobs = start_worker_jobs(&cancel);
    let deadline = Instant::now() + Duration::from_secs(5);
    jobs.store
        .save_job(&job_spec(3), deadline)
        .await
        .expect("stored");
    assert_eq!(count_results(&jobs, 0).await, 0);
    for part in 0..2 {
        let results = [item_result(part as usize)];
        let id = "job".to_owned();
        let stored = jobs.store.create_part(&id, part, &results).await;
        stored.expect("stored");
    }
    assert_eq!(count_results(&jobs, 2).await, 2);
    cancel.cancel();
}

#[actix_web::test]
async fn an_unknown_job_is_distinguished_from_an_unreadable_one() {
    let cancel = CancellationToken::new();
    let jobs = start_worker_jobs(&cancel);
    let read = ResultsQuery {
        from: 0,
        max_bytes: 1,
        known_parts: 0,
        wait: Duration::ZERO,
    };
    let response = jobs.read_results(&"none".to_owned(), read).await;
    assert_eq!(response, ResultsResponse::NoSuchJob);
    cancel.cancel();
    // Without the store the worker cannot tell whether the job exists.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let response = jobs.read_results(&"other".to_owned(), read).await;
    assert_eq!(response, ResultsResponse::Undetermined);
}

fn submission() -> LedgerChange {
    LedgerChange::Admit {
        id: "job".to_owned(),
        route: "batch".to_owned(),
        tokens: 1,
        quota_tokens: 0,
        now_unix: Duration::from_secs(1),
        is_stored: false,
        max_ledger_bytes: 1_000_000,
    }
}

fn end() -> LedgerChange {
    LedgerChange::Close {
        id: "job".to_owned(),
        now_unix: Duration::from_secs(2),
    }
}

/// Changes the ledger as another process does.
async fn change_ledger(jobs: &WorkerJobs, change: &LedgerChange) {
    let deadline = Instant::now() + Duration::from_secs(5);
    let changed = jobs.store.update_ledger(deadline, |ledger| {
        ledger.apply_directly(change, None);
    });
    changed.await.expect("changed");
}

fn is_owned(jobs: &WorkerJobs) -> bool {
    jobs.with_entry("job", |entry| entry.owned) == Some(true)
}

/// Guards against items of an ended job that start at a worker which read the ledger before the end
/// and needed seconds to load the job.
#[actix_web::test]
async fn a_job_that_ended_while_it_was_taken_over_is_not_run() {
    let cancel = CancellationToken::new();
    let jobs = start_worker_jobs(&cancel);
    let deadline = Instant::now() + Duration::from_secs(5);
    let saved = jobs.store.save_job(&job_spec(3), deadline).await;
    saved.expect("stored");
    change_ledger(&jobs, &submission()).await;
    jobs.take_over(&"job".to_owned()).await.expect("loaded");
    assert!(is_owned(&jobs));
    jobs.release_job("job");
    change_ledger(&jobs, &end()).await;
    jobs.take_over(&"job".to_owned()).await.expect("loaded");
    assert!(!is_owned(&jobs));
    cancel.cancel();
}

/// Guards against items of a job that ended long ago: the message that it was accepted reached its
/// worker when the ledger had forgotten the job.
#[actix_web::test]
async fn a_job_that_the_ledger_does_not_list_stops() {
    let cancel = CancellationToken::new();
    let jobs = start_worker_jobs(&cancel);
    jobs.start_new_job(job_spec(3));
    assert!(is_owned(&jobs));
    let (open_jobs, mut received) = tokio::sync::mpsc::channel(1);
    let polling = tokio::spawn(ledger_poll::poll_ledger(Arc::clone(&jobs), open_jobs));
    let open = received.recv().await;
    assert_eq!(open, Some(Vec::new()));
    assert!(!is_owned(&jobs));
    polling.abort();
    cancel.cancel();
}

/// A late message that a job was accepted does not start a job that this worker knows to have ended.
#[actix_web::test]
async fn a_job_that_is_known_to_have_ended_is_not_taken() {
    let cancel = CancellationToken::new();
    let jobs = start_worker_jobs(&cancel);
    for change in [submission(), end()] {
        change_ledger(&jobs, &change).await;
    }
    jobs.start_new_job(job_spec(3));
    assert!(!is_owned(&jobs));
    cancel.cancel();
}

/// The jobs that are kept in memory only for readers have a size limit; the least recently used
/// ones are evicted first.
#[actix_web::test]
async fn jobs_kept_for_readers_stay_within_the_size_limit() {
    let cancel = CancellationToken::new();
    let jobs = start_worker_jobs(&cancel);
    let large_job = |number: usize| {
        let mut job = job_spec(1);
        job.id = format!("job-{number:02}");
        job.items[0].body = vec![0; 1_000_000].into();
        job
    };
    for number in 0..40 {
        let spec = large_job(number);
        let id = spec.id.clone();
        jobs.start_new_job(spec);
        jobs.end_job(&id, "test");
    }
    jobs.evict_unused(Instant::now());
    let kept: Vec<bool> = (0..40)
        .map(|number| {
            jobs.with_entry(&format!("job-{number:02}"), |_| ())
                .is_some()
        })
        .collect();
    assert_eq!(kept.iter().filter(|kept| **kept).count(), 16);
    assert!(kept[39] && !kept[0], "the newest jobs stay: {kept:?}");
    cancel.cancel();
}

/// The end of a job that was not in memory left no trace. The message that it was accepted came later,
/// or a take-over that had read the ledger before went on.
#[actix_web::test]
async fn a_job_that_ended_before_it_was_in_memory_is_run() {
    let cancel = CancellationToken::new();
    let jobs = start_worker_jobs(&cancel);
    let deadline = Instant::now() + Duration::from_secs(5);
    let saved = jobs.store.save_job(&job_spec(3), deadline).await;
    saved.expect("stored");
    change_ledger(&jobs, &submission()).await;
    jobs.end_job_of_caller(&"job".to_owned());
    jobs.start_new_job(job_spec(3));
    assert!(!is_owned(&jobs), "accepted");
    jobs.take_over(&"job".to_owned()).await.expect("loaded");
    assert!(!is_owned(&jobs), "taken over");
    cancel.cancel();
}
