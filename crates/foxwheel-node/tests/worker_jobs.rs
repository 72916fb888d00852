//! A worker that reads a job which another worker runs.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_node::node::Node;
use foxwheel_node::peer_calls::{ResultsQuery, ResultsResponse};
use foxwheel_node::settings::Role;
use foxwheel_node::worker_jobs::WorkerJobs;
use foxwheel_platform_emu::settings::PlatformSettings;
use foxwheel_policy::batch::item::{ItemOutcome, ItemResult, ItemSpec};
use foxwheel_policy::batch::job::JobSpec;
use tokio_util::sync::CancellationToken;

fn job(items: usize) -> JobSpec {
    let item = |at: usize| ItemSpec {
        id: format!("item-{at}"),
        path: "/p".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        tokens: 1,
    };
    JobSpec {
        id: "job".to_owned(),
        host: "host.example".to_owned(),
        path: "/batch/job".to_owned(),
        route: "batch".to_owned(),
        submitted_unix: Duration::from_secs(1),
        items: (0..items).map(item).collect(),
    }
}

fn result(at: usize) -> ItemResult {
    ItemResult {
        id: format!("item-{at}"),
        ending: ItemOutcome::Completed,
        output: "text".to_owned(),
    }
}

fn start(cancel: &CancellationToken) -> Arc<WorkerJobs> {
    let (store_address, store) =
        foxwheel_platform_emu::server::start(&PlatformSettings::for_test(), cancel.clone())
            .expect("store starts");
    actix_web::rt::spawn(store);
    let settings = common::single_process_settings(Role::Worker, store_address);
    WorkerJobs::new(Node::new(settings, cancel.clone()))
}

async fn listed(jobs: &WorkerJobs, known_parts: u32) -> usize {
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

/// The worker read the job early; its runner stored several parts since, closed it and is
/// told of no more. Every part that a caller may have read elsewhere must be answered.
#[actix_web::test]
async fn a_later_read_finds_every_part_stored_since() {
    let cancel = CancellationToken::new();
    let jobs = start(&cancel);
    let deadline = Instant::now() + Duration::from_secs(5);
    jobs.store
        .save_job(&job(3), deadline)
        .await
        .expect("stored");
    assert_eq!(listed(&jobs, 0).await, 0);
    for part in 0..3 {
        let results = [result(part as usize)];
        let id = "job".to_owned();
        let stored = jobs.store.create_part(&id, part, &results).await;
        stored.expect("stored");
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(listed(&jobs, 0).await, 3);
    cancel.cancel();
}

/// Another worker tells of parts: they are read at once, however fresh the last look is.
#[actix_web::test]
async fn parts_that_others_know_are_read_at_once() {
    let cancel = CancellationToken::new();
    let jobs = start(&cancel);
    let deadline = Instant::now() + Duration::from_secs(5);
    jobs.store
        .save_job(&job(3), deadline)
        .await
        .expect("stored");
    assert_eq!(listed(&jobs, 0).await, 0);
    for part in 0..2 {
        let results = [result(part as usize)];
        let id = "job".to_owned();
        let stored = jobs.store.create_part(&id, part, &results).await;
        stored.expect("stored");
    }
    assert_eq!(listed(&jobs, 2).await, 2);
    cancel.cancel();
}

#[actix_web::test]
async fn an_unknown_job_is_told_from_an_unreadable_one() {
    let cancel = CancellationToken::new();
    let jobs = start(&cancel);
    let read = ResultsQuery {
        from: 0,
        max_bytes: 1,
        known_parts: 0,
        wait: Duration::ZERO,
    };
    let answer = jobs.read_results(&"none".to_owned(), read).await;
    assert_eq!(answer, ResultsResponse::NoSuchJob);
    cancel.cancel();
    // Without the store nothing can be said.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let answer = jobs.read_results(&"other".to_owned(), read).await;
    assert_eq!(answer, ResultsResponse::Unsure);
}

/// Jobs that nobody reads stay in memory within a bound: the ones unread for longest go first.
#[actix_web::test]
async fn jobs_kept_for_readers_stay_within_a_bound() {
    let cancel = CancellationToken::new();
    let jobs = start(&cancel);
    let large = |at: usize| {
        let mut job = job(1);
        job.id = format!("job-{at:02}");
        job.items[0].body = vec![0; 1_000_000];
        job
    };
    for at in 0..40 {
        let spec = large(at);
        let id = spec.id.clone();
        jobs.start_new_job(spec);
        jobs.end_job(&id, "test");
    }
    jobs.evict_unused(Instant::now());
    let kept: Vec<bool> = (0..40)
        .map(|at| jobs.with_entry(&format!("job-{at:02}"), |_| ()).is_some())
        .collect();
    assert_eq!(kept.iter().filter(|kept| **kept).count(), 16);
    assert!(kept[39] && !kept[0], "the newest stay: {kept:?}");
    cancel.cancel();
}
