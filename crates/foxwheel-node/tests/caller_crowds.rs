//! Many callers at once that stop short of the end of their requests, send more than they may, or read
//! no responses. The processes run as in a deployment, one test at a time: what a process holds is
//! compared with the memory of the smallest host.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use common::programs::{self, Programs, FRONT_MEMORY_BYTES, HANG_TIMEOUT, MAX_BODY_BYTES};
use common::store_entries::HOST;
use foxwheel_crowd::callers::{Crowd, Upload};
use foxwheel_platform::online as names;
use foxwheel_server_emu::server::ServerConfig;
use hyper::{Method, StatusCode};
use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;

/// Files that a platform reserves on a host for other purposes.
const RESERVED_FILES: usize = 200;

/// Number of callers with large bodies.
const CALLERS: usize = 64;

/// Returns the first lines of the head of a request whose caller waits for ten minutes.
fn start_of_head(path: &str) -> String {
    let (id, time_limit_ms) = (names::REQUEST_ID, names::DEADLINE_MS);
    format!("POST {path} HTTP/1.1\r\nhost: {HOST}\r\n{id}: crowd\r\n{time_limit_ms}: 600000\r\n")
}

fn filler(bytes: usize) -> Bytes {
    Bytes::from(vec![b'a'; bytes])
}

/// Lets a crowd of callers send `upload`, and checks what the front holds and that it serves.
async fn withstand(name: &str, callers: usize, upload: Upload) {
    let mut programs = Programs::start(name, common::server_shapes(2), None).await;
    let monitor = programs.monitor_front();
    let crowd = Crowd::start(programs.front_addr, callers, upload);
    crowd.settle().await;
    programs.check_ordinary_request("beside-the-crowd").await;
    programs
        .check_front(monitor.stop(), FRONT_MEMORY_BYTES)
        .await;
    crowd.leave().await;
}

/// The front held each body until its caller's time limit.
#[actix_web::test]
async fn front_holds_whole_bodies_a_byte_short() {
    let _alone = programs::run_alone().await;
    let body = filler(MAX_BODY_BYTES - 1);
    let upload = Upload::with_length(&start_of_head("/plain/a"), MAX_BODY_BYTES, body);
    withstand("whole-bodies", CALLERS, upload).await;
}

/// The front held each body until its caller's time limit.
#[actix_web::test]
async fn front_holds_large_chunks_without_a_last_one() {
    let _alone = programs::run_alone().await;
    let upload = Upload::in_chunks(&start_of_head("/plain/a"), 64 * 1024, 64);
    withstand("large-chunks", CALLERS, upload).await;
}

/// Each chunk kept the buffer alive that it was read into.
#[actix_web::test]
async fn front_holds_small_chunks_without_a_last_one() {
    let _alone = programs::run_alone().await;
    let upload = Upload::in_chunks(&start_of_head("/stream/a"), 64, 24 * 1024);
    withstand("small-chunks", CALLERS, upload).await;
}

/// The front read the bodies up to their limit before it refused them.
#[actix_web::test]
async fn front_reads_announced_bodies_beyond_the_limit() {
    let _alone = programs::run_alone().await;
    let mut upload = Upload::with_length(
        &start_of_head("/plain/a"),
        40_000_000_000,
        filler(1024 * 1024),
    );
    upload.part_count = 100;
    withstand("announced-bodies", CALLERS, upload).await;
}

/// The front read the bodies up to their limit before it refused them.
#[actix_web::test]
async fn front_reads_chunked_bodies_beyond_the_limit() {
    let _alone = programs::run_alone().await;
    let upload = Upload::in_chunks(&start_of_head("/plain/a"), 64 * 1024, 1_600);
    withstand("chunked-bodies", CALLERS, upload).await;
}

/// Each complete body was held while its request waited for a server.
#[actix_web::test]
async fn front_holds_all_complete_bodies() {
    let _alone = programs::run_alone().await;
    let upload = Upload::with_length(
        &start_of_head("/plain/a"),
        MAX_BODY_BYTES,
        filler(MAX_BODY_BYTES),
    );
    withstand("complete-bodies", CALLERS, upload).await;
}

/// Each submission existed several times at once while it was stored.
#[actix_web::test]
async fn front_copies_large_submissions() {
    let _alone = programs::run_alone().await;
    let body = programs::submission_of_one_item("item", MAX_BODY_BYTES - 4 * 1024);
    let upload = Upload::with_length(
        &start_of_head("/batch/submit"),
        body.len(),
        Bytes::from(body),
    );
    withstand("large-submissions", CALLERS / 2, upload).await;
}

/// All items of a submission were decoded before they were counted.
#[actix_web::test]
async fn front_decodes_tiny_items_beyond_their_limit() {
    let _alone = programs::run_alone().await;
    let item = r#"{"id":"","path":""}"#;
    let count = MAX_BODY_BYTES / (item.len() + 1) - 1;
    let body = format!(r#"{{"items":[{}]}}"#, vec![item; count].join(","));
    let upload = Upload::with_length(
        &start_of_head("/batch/submit"),
        body.len(),
        Bytes::from(body),
    );
    withstand("tiny-items", CALLERS / 2, upload).await;
}

/// A list that stood as the value of a header was decoded value by value.
#[actix_web::test]
async fn front_decodes_wide_item_headers() {
    let _alone = programs::run_alone().await;
    let zeros = vec!["0"; MAX_BODY_BYTES / 2 - 100].join(",");
    let body = format!(r#"{{"items":[{{"id":"a","path":"/","headers":{{"a":[{zeros}]}}}}]}}"#);
    let upload = Upload::with_length(
        &start_of_head("/batch/submit"),
        body.len(),
        Bytes::from(body),
    );
    withstand("wide-headers", 4, upload).await;
}

/// Each head had a buffer until the idle timeout.
#[actix_web::test]
async fn front_holds_heads_without_end() {
    let _alone = programs::run_alone().await;
    let value = "a".repeat(60 * 1024);
    let head = format!("{}x-a: {value}", start_of_head("/plain/a"));
    withstand("heads", 2_500, Upload::head_only(head)).await;
}

/// The kernel held what callers sent to connections that were not accepted.
#[actix_web::test]
async fn front_holds_what_arrives_while_it_is_suspended() {
    let _alone = programs::run_alone().await;
    let servers = common::server_shapes(2);
    let mut programs = Programs::start("suspended", servers, None).await;
    let monitor = programs.monitor_front();
    let front = Pid::from_raw(programs.front.pid() as i32);
    signal::kill(front, Signal::SIGSTOP).expect("suspended");
    let body = filler(MAX_BODY_BYTES / 4);
    let upload = Upload::with_length(&start_of_head("/plain/a"), MAX_BODY_BYTES, body);
    let crowd = Crowd::start(programs.front_addr, 1_000, upload);
    crowd.settle().await;
    signal::kill(front, Signal::SIGCONT).expect("resumed");
    crowd.settle().await;
    programs.check_ordinary_request("beside-the-crowd").await;
    programs
        .check_front(monitor.stop(), FRONT_MEMORY_BYTES)
        .await;
    crowd.leave().await;
}

/// Number of files that the front may have open while a crowd opens connections.
const MAX_OPEN_FILES: usize = 400;

/// Number of callers that open connections.
const CONNECTIONS: usize = 600;

/// Selects one of the addresses of a front.
type AddrOf = fn(&Programs) -> SocketAddr;

/// Lets a crowd open connections to an address of the front and send `upload`. Checks what the front
/// holds, that it serves, and that it says that it is ready.
async fn withstand_connections(name: &str, addr_of: AddrOf, upload: Upload) {
    let servers = common::server_shapes(2);
    let mut programs = Programs::start(name, servers, Some(MAX_OPEN_FILES)).await;
    let monitor = programs.monitor_front();
    let crowd = Crowd::start(addr_of(&programs), CONNECTIONS, upload);
    crowd.settle().await;
    programs.check_ordinary_request("beside-the-crowd").await;
    let path = foxwheel_platform::READINESS_PATH;
    let checking = common::call(programs.readiness_addr, Method::GET, path, "check", &[], "");
    let checked = tokio::time::timeout(HANG_TIMEOUT, checking).await;
    let checked = checked.expect("the check hangs").expect("a response");
    assert_eq!(checked.status, StatusCode::OK);
    let peak = monitor.stop();
    programs.check_front(peak, FRONT_MEMORY_BYTES).await;
    let open_files = peak.open_files;
    assert!(
        open_files <= MAX_OPEN_FILES - RESERVED_FILES,
        "{open_files}"
    );
    crowd.leave().await;
}

/// Connections without a complete request took all open files of the front.
#[actix_web::test]
async fn front_has_no_file_left_beside_half_heads() {
    let _alone = programs::run_alone().await;
    let upload = Upload::head_only(start_of_head("/plain/a"));
    withstand_connections("half-heads", |programs| programs.front_addr, upload).await;
}

/// Idle connections to the readiness address took all open files of the front.
#[actix_web::test]
async fn front_has_no_file_left_beside_readiness_connections() {
    let _alone = programs::run_alone().await;
    let upload = Upload::head_only("GET / HTTP/1.1\r\n".to_owned());
    withstand_connections("readiness", |programs| programs.readiness_addr, upload).await;
}

/// Idle connections to the metrics address took all open files of the front.
#[actix_web::test]
async fn front_has_no_file_left_beside_metrics_connections() {
    let _alone = programs::run_alone().await;
    let upload = Upload::head_only("GET / HTTP/1.1\r\n".to_owned());
    withstand_connections("metrics", |programs| programs.metrics_addr, upload).await;
}

/// Idle connections to the port for other processes took all open files of the front.
#[actix_web::test]
async fn front_has_no_file_left_beside_peer_connections() {
    let _alone = programs::run_alone().await;
    let upload = Upload::head_only(String::new());
    withstand_connections("peer-port", |programs| programs.peer_addr, upload).await;
}

/// Returns servers whose responses have four megabytes.
fn servers_with_large_responses() -> Vec<ServerConfig> {
    let mut servers = common::server_shapes(2);
    for server in &mut servers {
        server.events_per_stream = 64;
        server.event_suffix = "a".repeat(MAX_BODY_BYTES / 64);
        server.max_queued = CALLERS;
        server.content_type = Some("text/event-stream".to_owned());
    }
    servers
}

/// Lets a crowd of callers send requests to `path` and read no response, and checks what the front
/// holds and that it serves.
async fn withstand_without_reading(name: &str, path: &str, callers: usize, requests: usize) {
    let mut programs = Programs::start(name, servers_with_large_responses(), None).await;
    let monitor = programs.monitor_front();
    let mut upload = Upload::with_length(&start_of_head(path), 0, Bytes::new());
    upload.part = Bytes::from(upload.head.clone());
    upload.part_count = requests - 1;
    upload.is_complete = true;
    let crowd = Crowd::start(programs.front_addr, callers, upload);
    crowd.settle().await;
    programs.check_ordinary_request("beside-the-crowd").await;
    programs
        .check_front(monitor.stop(), FRONT_MEMORY_BYTES)
        .await;
    crowd.leave().await;
}

/// Each response was held until its caller closed the connection.
#[actix_web::test]
async fn front_holds_responses_that_are_not_read() {
    let _alone = programs::run_alone().await;
    withstand_without_reading("unread-responses", "/plain/a", CALLERS, 1).await;
}

/// What a server sent of a stream piled up in front of its caller.
#[actix_web::test]
async fn front_holds_streams_that_are_not_read() {
    let _alone = programs::run_alone().await;
    withstand_without_reading("unread-streams", "/stream-once/a", CALLERS, 1).await;
}

/// Requests that followed an unread response piled up.
#[actix_web::test]
async fn front_holds_pipelined_requests() {
    let _alone = programs::run_alone().await;
    withstand_without_reading("pipelined", "/plain/a", 4 * CALLERS, 4_000).await;
}

/// Each page of results was held until its caller closed the connection.
#[actix_web::test]
async fn front_holds_results_that_are_not_read() {
    const ITEMS: usize = 8;
    let _alone = programs::run_alone().await;
    let mut servers = common::server_shapes(2);
    for server in &mut servers {
        server.event_suffix = "a".repeat(128 * 1024);
        server.content_type = Some("text/event-stream".to_owned());
    }
    let mut programs = Programs::start("unread-results", servers, None).await;
    let accepted = common::submit_job(programs.front_addr, "job", ITEMS).await;
    assert_eq!(accepted.expect("a response").status, StatusCode::ACCEPTED);
    common::wait_for_results(programs.front_addr, "job", ITEMS).await;
    let monitor = programs.monitor_front();
    let id = names::REQUEST_ID;
    let head = format!("GET /api/lots/job HTTP/1.1\r\nhost: {HOST}\r\n{id}: crowd\r\n\r\n");
    let crowd = Crowd::start(programs.front_addr, 8 * CALLERS, Upload::complete(head));
    crowd.settle().await;
    programs.check_ordinary_request("beside-the-crowd").await;
    programs
        .check_front(monitor.stop(), FRONT_MEMORY_BYTES)
        .await;
    crowd.leave().await;
}

/// A worker kept the bodies of all jobs in memory that wait for a server.
#[actix_web::test]
async fn worker_holds_the_bodies_of_all_waiting_jobs() {
    const JOBS: usize = 64;
    let _alone = programs::run_alone().await;
    let mut servers = common::server_shapes(2);
    for server in &mut servers {
        server.step_time = Duration::from_secs(600);
        server.slots = 1;
        server.max_queued = 0;
    }
    // Online requests have a service of their own.
    let mut programs = Programs::start("waiting-jobs", common::server_shapes(2), None).await;
    for mut server in servers {
        server.id = format!("batch-{}", server.id);
        programs.fleet.add_server_of_service("batch", server).await;
    }
    programs
        .fleet
        .configure(3, |config| {
            programs::wait_long_for_responses(config);
            let routes = config["routes"].as_array_mut().expect("routes");
            for route in routes.iter_mut().filter(|route| route["kind"] == "batch") {
                route["service"] = "batch".into();
            }
            let services = config["services"].as_array_mut().expect("services");
            services.push(
                serde_json::json!({"name": "batch", "health_path": "/healthz", "max_conns": 100}),
            );
        })
        .await;
    let front_monitor = programs.monitor_front();
    let worker_monitor = programs.monitor_worker();
    for at in 0..JOBS {
        let body =
            programs::submission_of_one_item(&format!("item-{at}"), MAX_BODY_BYTES - 4 * 1024);
        let id = format!("job-{at}");
        let accepted = programs.call_front("/batch/submit", &id, &body).await;
        assert_eq!(accepted.status, StatusCode::ACCEPTED, "{id}");
    }
    programs.check_ordinary_request("beside-the-jobs").await;
    programs.check_worker(worker_monitor.stop());
    programs
        .check_front(front_monitor.stop(), FRONT_MEMORY_BYTES)
        .await;
}

/// Calls to the port for other processes were held until they were complete, all at once.
#[actix_web::test]
async fn worker_holds_calls_without_end() {
    const CALL_BYTES: u32 = 8 * 1024 * 1024 - 1;
    let _alone = programs::run_alone().await;
    let mut programs = Programs::start("calls", common::server_shapes(2), None).await;
    let monitor = programs.monitor_worker();
    let mut part = CALL_BYTES.to_be_bytes().to_vec();
    part.resize(CALL_BYTES as usize, b'a');
    let upload = Upload {
        part: Bytes::from(part),
        part_count: 1,
        ..Upload::head_only(String::new())
    };
    let crowd = Crowd::start(programs.worker_addr, CALLERS, upload);
    crowd.settle().await;
    programs.check_ordinary_request("beside-the-calls").await;
    let accepted = common::submit_job(programs.front_addr, "job", 1).await;
    assert_eq!(accepted.expect("a response").status, StatusCode::ACCEPTED);
    let results = common::wait_for_results(programs.front_addr, "job", 1).await;
    assert_eq!(results[0]["state"], "completed");
    programs.check_worker(monitor.stop());
    crowd.leave().await;
}

/// Requests of the largest size that the configuration allows are served, one after the other.
#[actix_web::test]
async fn largest_requests_are_served_in_calm() {
    let _alone = programs::run_alone().await;
    let servers = common::server_shapes(2);
    let mut programs = Programs::start("largest-requests", servers, None).await;
    let monitor = programs.monitor_front();
    let body = "a".repeat(MAX_BODY_BYTES);
    for path in ["/plain/a", "/once/a", "/stream/a", "/stream-once/a"] {
        let received = programs.call_front(path, "largest", &body).await;
        assert_eq!(received.status, StatusCode::OK, "{path}");
        assert!(received.is_complete, "{path}");
    }
    let overhead_bytes = programs::submission_of_one_item("item", 0).len();
    let submission =
        programs::submission_of_one_item("item", (MAX_BODY_BYTES - overhead_bytes) / 4 * 4);
    let accepted = programs
        .call_front("/batch/submit", "job", &submission)
        .await;
    assert_eq!(accepted.status, StatusCode::ACCEPTED);
    let results = common::wait_for_results(programs.front_addr, "job", 1).await;
    assert_eq!(results[0]["state"], "completed");
    programs
        .check_front(monitor.stop(), FRONT_MEMORY_BYTES)
        .await;
}
