//! Many callers at once that stop short of the end of their requests, send more than they may, or read
//! no responses. The gateway runs as a process, one test at a time: what it holds is compared with the
//! memory of an entry host.

mod common;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use common::Fleet;
use foxwheel_core::protocol::{RunState, RUN_STATE_HEADER};
use foxwheel_crowd::callers::{Crowd, Upload};
use foxwheel_crowd::process::{ProgramSpec, RunningProgram};
use foxwheel_crowd::usage::{Usage, UsageMonitor};
use foxwheel_gateway::settings::GatewaySettings;
use tokio::sync::{Mutex, MutexGuard};

/// Memory of an entry host.
const MEMORY_BYTES: u64 = 512_000_000;

/// How long a response is waited for. A process that takes longer hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(120);

/// Number of callers with large bodies.
const CALLERS: usize = 24;

/// What each caller sends of a large body.
const LARGE_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Held by the test that runs.
static RUNNING_TEST: Mutex<()> = Mutex::const_new(());

async fn run_alone() -> MutexGuard<'static, ()> {
    RUNNING_TEST.lock().await
}

/// A gateway that runs as a process, in a fleet whose other parts are in the test process.
struct GatewayProgram {
    fleet: Fleet,
    program: RunningProgram,
    addr: SocketAddr,
}

impl GatewayProgram {
    async fn start(name: &str, max_open_files: Option<usize>) -> Self {
        let fleet = common::start(1).await;
        let settings = GatewaySettings {
            // The default, unlike that of other tests.
            online_max_in_flight: 4_096,
            ..common::gateway_settings(fleet.store.base_url(), name)
        };
        let started = RunningProgram::start(&ProgramSpec {
            name,
            program: Path::new(env!("CARGO_BIN_EXE_foxwheel-gateway")),
            settings: &serde_json::to_string(&settings).expect("settings encode"),
            folder: &PathBuf::from(env!("CARGO_TARGET_TMPDIR")),
            max_open_files,
        });
        let mut program = started.expect("the program starts");
        let addr = program.wait_for_log("listening on ").await;
        let addr = addr.expect("an address").parse().expect("an address");
        let fleet = Fleet {
            gateway: format!("http://{addr}"),
            ..fleet
        };
        fleet.wait_until_routing(1).await;
        Self {
            fleet,
            program,
            addr,
        }
    }

    fn monitor(&self) -> UsageMonitor {
        UsageMonitor::start(self.program.pid(), self.addr)
    }

    /// Checks that the gateway runs, held at most the memory of its host, and serves one ordinary
    /// request. If it refuses the request, the request comes again when the gateway says.
    async fn check(&mut self, monitor: UsageMonitor) -> Usage {
        let serving = async { while !self.is_ordinary_request_served().await {} };
        let served = tokio::time::timeout(HANG_TIMEOUT, serving).await;
        served.expect("the gateway refuses without end");
        let peak = monitor.stop();
        println!("the gateway held at most {peak:?}");
        assert!(self.program.is_running(), "the gateway has ended");
        let held = peak.memory_bytes;
        assert!(held <= MEMORY_BYTES, "the gateway held {held} bytes");
        peak
    }

    /// Sends an ordinary request. Returns false, after the time that the gateway says, if it was
    /// refused and has not run.
    async fn is_ordinary_request_served(&self) -> bool {
        let url = format!("{}/v1/completions", self.fleet.gateway);
        let body = serde_json::json!({"model": "draftsman", "prompt": "p", "max_tokens": 3});
        let sent = self.fleet.http.post(url).timeout(HANG_TIMEOUT);
        let response = sent.send_json(&body).await.expect("a response");
        if response.status().is_success() {
            return true;
        }
        let header = |name| response.headers().get(name).and_then(|it| it.to_str().ok());
        let run_state = header(RUN_STATE_HEADER);
        assert_eq!(run_state, Some(RunState::NotRun.as_str()), "{response:?}");
        let retry_after_s = header("retry-after").expect("a time to come back");
        println!("refused, retry after {retry_after_s}");
        let retry_after_s = retry_after_s.parse().expect("seconds");
        tokio::time::sleep(Duration::from_secs(retry_after_s)).await;
        false
    }
}

fn start_of_head(path: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: gateway\r\ncontent-type: application/json\r\n")
}

async fn withstand(name: &str, callers: usize, upload: Upload) {
    let mut gateway = GatewayProgram::start(name, None).await;
    let monitor = gateway.monitor();
    let crowd = Crowd::start(gateway.addr, callers, upload);
    crowd.settle().await;
    gateway.check(monitor).await;
    crowd.leave().await;
}

/// The gateway accepted bodies of 256 MB, and all at once.
#[actix_web::test]
async fn gateway_holds_whole_bodies_a_byte_short() {
    let _alone = run_alone().await;
    let body = Bytes::from(vec![b'a'; LARGE_BODY_BYTES - 1]);
    let upload = Upload::with_length(&start_of_head("/v1/batches"), LARGE_BODY_BYTES, body);
    withstand("whole-bodies", CALLERS, upload).await;
}

/// The same for batches of a size that is accepted.
#[actix_web::test]
async fn gateway_holds_batches_a_byte_short() {
    let _alone = run_alone().await;
    let body = Bytes::from(vec![b'a'; LARGE_BODY_BYTES / 2 - 1]);
    let upload = Upload::with_length(&start_of_head("/v1/batches"), LARGE_BODY_BYTES / 2, body);
    withstand("batches", 2 * CALLERS, upload).await;
}

/// The limit of completions was not applied to their bodies.
#[actix_web::test]
async fn gateway_reads_chunked_bodies_beyond_the_limit() {
    let _alone = run_alone().await;
    let chunks = LARGE_BODY_BYTES / (64 * 1024);
    let upload = Upload::in_chunks(&start_of_head("/v1/completions"), 64 * 1024, chunks);
    withstand("chunked-bodies", CALLERS, upload).await;
}

/// Returns a batch of `body_bytes` with as many items as there is space for.
fn batch_of_tiny_items(body_bytes: usize) -> Upload {
    let item = r#"{"custom_id":"","body":{}}"#;
    let count = body_bytes / (item.len() + 1) - 2;
    let body = format!(
        r#"{{"model":"draftsman","items":[{}]}}"#,
        vec![item; count].join(",")
    );
    let head = start_of_head("/v1/batches");
    let mut upload = Upload::with_length(&head, body.len(), Bytes::from(body));
    upload.is_complete = true;
    upload
}

/// All batches that arrived at once were decoded at once.
#[actix_web::test]
async fn gateway_decodes_all_batches_at_once() {
    let _alone = run_alone().await;
    let upload = batch_of_tiny_items(LARGE_BODY_BYTES);
    withstand("tiny-items", CALLERS, upload).await;
}

/// The same for batches of a size that is accepted.
#[actix_web::test]
async fn gateway_decodes_all_accepted_batches_at_once() {
    let _alone = run_alone().await;
    let upload = batch_of_tiny_items(LARGE_BODY_BYTES / 2);
    withstand("accepted-tiny-items", 2 * CALLERS, upload).await;
}

/// A batch of the largest size is created in calm.
#[actix_web::test]
async fn largest_batch_is_created_in_calm() {
    /// The largest body of a batch, less the text around its items.
    const ITEMS_BYTES: usize = 20_000_000;
    let _alone = run_alone().await;
    let mut gateway = GatewayProgram::start("largest-batch", None).await;
    let monitor = gateway.monitor();
    let prompt = "a".repeat(1_000);
    let items: Vec<serde_json::Value> = (0..ITEMS_BYTES / 1_100)
        .map(|number| {
            let body = serde_json::json!({"model": "draftsman", "prompt": prompt, "max_tokens": 1});
            serde_json::json!({"custom_id": format!("letter-{number}"), "body": body})
        })
        .collect();
    let request = serde_json::json!({
        "client_key": "largest", "model": "draftsman", "completion_window_s": 600, "items": items,
    });
    let count = items.len();
    let url = format!("{}/v1/batches", gateway.fleet.gateway);
    let sent = gateway.fleet.http.post(url).timeout(HANG_TIMEOUT);
    let mut response = sent.send_json(&request).await.expect("a response");
    let created: serde_json::Value = response.json().limit(1_000_000).await.expect("json");
    assert_eq!(created["job"]["item_count"], count, "{created}");
    gateway.check(monitor).await;
}

/// Connections without a complete request took all open files of the gateway.
#[actix_web::test]
async fn gateway_has_no_file_left_beside_half_heads() {
    const MAX_OPEN_FILES: usize = 400;
    /// Files that a platform reserves on a host for other purposes.
    const RESERVED_FILES: usize = 200;
    let _alone = run_alone().await;
    let mut gateway = GatewayProgram::start("half-heads", Some(MAX_OPEN_FILES)).await;
    let monitor = gateway.monitor();
    let upload = Upload::head_only(start_of_head("/v1/completions"));
    let crowd = Crowd::start(gateway.addr, 600, upload);
    crowd.settle().await;
    let open_files = gateway.check(monitor).await.open_files;
    assert!(
        open_files <= MAX_OPEN_FILES - RESERVED_FILES,
        "{open_files}"
    );
    crowd.leave().await;
}

/// Each response was held until its caller closed the connection.
#[actix_web::test]
async fn gateway_holds_responses_that_are_not_read() {
    const RESPONSE_BYTES: usize = 7 * 1024 * 1024;
    let _alone = run_alone().await;
    let mut gateway = GatewayProgram::start("unread-responses", None).await;
    let body = format!("\"{}\"", "a".repeat(RESPONSE_BYTES));
    let length = body.len();
    let response = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    let store = &gateway.fleet.store;
    let _host = common::add_scripted_host(store, "llm-residente", "large", response.leak()).await;
    gateway.fleet.wait_for_live("llm-residente", 1).await;
    let monitor = gateway.monitor();
    let body = r#"{"model":"llm-residente","prompt":"p"}"#;
    let head = start_of_head("/v1/completions");
    let mut upload = Upload::with_length(&head, body.len(), Bytes::from(body));
    upload.is_complete = true;
    let crowd = Crowd::start(gateway.addr, 6 * CALLERS, upload);
    crowd.settle().await;
    gateway.check(monitor).await;
    crowd.leave().await;
}
