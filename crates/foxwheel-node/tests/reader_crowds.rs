//! Many readers of the jobs of one worker at once. The processes run as in a deployment, one test at a
//! time: what a process holds is compared with the memory of the smallest host.

mod common;

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use common::programs::{self, Programs, FRONT_MEMORY_BYTES, MAX_BODY_BYTES};
use common::store_entries::HOST;
use foxwheel_crowd::callers::{Crowd, Upload};
use foxwheel_node::peer_calls::{PeerCalls, ResultsQuery};
use foxwheel_platform::online as names;
use futures::stream::FuturesUnordered;
use futures::StreamExt;
use hyper::StatusCode;

/// Number of callers of one front.
const CALLERS: usize = 64;

/// Number of fronts of a deployment whose workers have the least memory.
const FRONTS: usize = 21;

/// Item bodies were held before it was known whether there is room for them.
#[actix_web::test]
async fn front_holds_item_bodies_that_are_not_read() {
    let _alone = programs::run_alone().await;
    let mut programs = Programs::start("unread-bodies", common::server_shapes(2), None).await;
    submit_large_item(&programs).await;
    let front_monitor = programs.monitor_front();
    let worker_monitor = programs.monitor_worker();
    let id = names::REQUEST_ID;
    let head =
        format!("GET /api/items/job?id=item HTTP/1.1\r\nhost: {HOST}\r\n{id}: crowd\r\n\r\n");
    let crowd = Crowd::start(programs.front_addr, CALLERS, Upload::complete(head));
    crowd.settle().await;
    programs.check_ordinary_request("beside-the-crowd").await;
    programs
        .check_front(front_monitor.stop(), FRONT_MEMORY_BYTES)
        .await;
    programs.check_worker(worker_monitor.stop());
    crowd.leave().await;
}

/// Submits a job with one large item, and waits until it is completed.
async fn submit_large_item(programs: &Programs) {
    let submission = programs::submission_of_one_item("item", MAX_BODY_BYTES - 4 * 1024);
    let accepted = programs
        .call_front("/batch/submit", "job", &submission)
        .await;
    assert_eq!(accepted.status, StatusCode::ACCEPTED);
    common::wait_for_results(programs.front_addr, "job", 1).await;
}

/// Lets `FRONTS` fronts make `calls` calls at once each, a few times.
async fn call_from_all_fronts<Called: Future>(
    calls: usize,
    call: impl Fn(Arc<PeerCalls>) -> Called,
) -> usize {
    const ROUNDS: usize = 5;
    let mut responses = 0;
    for _ in 0..ROUNDS {
        let fronts = (0..FRONTS).map(|_| Arc::new(PeerCalls::default()));
        let calling = fronts.flat_map(|front| (0..calls).map(move |_| Arc::clone(&front)));
        let calling = calling.map(&call).collect::<FuturesUnordered<_>>();
        responses += calling.count().await;
    }
    responses
}

/// Lets the callers of all fronts read the results of `items` items of `events` events, `reads` at each
/// front, and checks what the worker holds.
async fn read_results_at_all_fronts(name: &str, events: u64, items: usize, reads: usize) {
    let mut servers = common::server_shapes(2);
    for server in &mut servers {
        server.events_per_stream = events;
        server.event_suffix = "a".repeat(128 * 1024);
        server.content_type = Some("text/event-stream".to_owned());
    }
    let mut programs = Programs::start(name, servers, None).await;
    let accepted = common::submit_job(programs.front_addr, "job", items).await;
    assert_eq!(accepted.expect("a response").status, StatusCode::ACCEPTED);
    common::wait_for_results(programs.front_addr, "job", items).await;
    let monitor = programs.monitor_worker();
    let query = ResultsQuery {
        from: 0,
        max_bytes: 256 * 1024,
        known_parts: 0,
        wait: Duration::ZERO,
    };
    let worker = programs.worker_addr;
    call_from_all_fronts(reads, |front| async move {
        front.read_results(worker, "job".to_owned(), query).await
    })
    .await;
    programs.check_worker(monitor.stop());
    let results = common::wait_for_results(programs.front_addr, "job", items).await;
    assert_eq!(results.len(), items);
}

/// Each page was copied for each reader, and the callers of all fronts may read at the same time.
#[actix_web::test]
async fn worker_copies_results_for_the_readers_of_all_fronts() {
    let _alone = programs::run_alone().await;
    read_results_at_all_fronts("all-results", 5, 8, 64).await;
}

/// The same for results of the largest size.
#[actix_web::test]
async fn worker_copies_largest_results_for_the_readers_of_all_fronts() {
    let _alone = programs::run_alone().await;
    read_results_at_all_fronts("all-largest-results", 31, 1, 8).await;
}

/// Each body was copied for each reader, and the callers of all fronts may read at the same time.
#[actix_web::test]
async fn worker_copies_item_bodies_for_the_readers_of_all_fronts() {
    const READS: usize = 8;
    let _alone = programs::run_alone().await;
    let mut programs = Programs::start("all-bodies", common::server_shapes(2), None).await;
    submit_large_item(&programs).await;
    let monitor = programs.monitor_worker();
    let worker = programs.worker_addr;
    call_from_all_fronts(READS, |front| async move {
        let calling = front.read_item_body(worker, "job".to_owned(), "item".to_owned(), 0);
        calling.await
    })
    .await;
    programs.check_worker(monitor.stop());
    common::wait_for_results(programs.front_addr, "job", 1).await;
}
