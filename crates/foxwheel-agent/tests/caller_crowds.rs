//! Many callers at once that stop short of the end of their requests. The agent runs as a process, one
//! test at a time: what it holds is compared with the memory of its host.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use foxwheel_agent::settings::AgentSettings;
use foxwheel_core::declarations::BackendKind;
use foxwheel_core::protocol::{RunState, RUN_STATE_HEADER};
use foxwheel_crowd::callers::{Crowd, Upload};
use foxwheel_crowd::process::{ProgramSpec, RunningProgram};
use foxwheel_crowd::usage::{Usage, UsageMonitor};
use foxwheel_platform_emu::settings::PlatformSettings;
use foxwheel_service_emu::scripted::{self, AfterResponse, ScriptedServer};
use foxwheel_store::client::StoreClient;
use tokio::sync::{Mutex, MutexGuard};
use tokio_util::sync::CancellationToken;

/// Memory of a host beside a backend server.
const MEMORY_BYTES: u64 = 192_000_000;

/// How long a response is waited for. A process that takes longer hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(120);

/// Largest body of a completion.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// The response of the backend to each request.
const RESPONSE: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}";

/// Held by the test that runs.
static RUNNING_TEST: Mutex<()> = Mutex::const_new(());

async fn run_alone() -> MutexGuard<'static, ()> {
    RUNNING_TEST.lock().await
}

/// An agent that runs as a process, with its backend and its store in the test process.
struct AgentProgram {
    program: RunningProgram,
    addr: SocketAddr,
    http: awc::Client,
    cancel: CancellationToken,
    _backend: ScriptedServer,
}

impl Drop for AgentProgram {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

impl AgentProgram {
    /// Starts an agent, and returns it with the address of its control channel.
    async fn start_with_control(name: &str, max_open_files: Option<usize>) -> (Self, SocketAddr) {
        let control_addr = free_addr();
        let started = Self::start_at(name, max_open_files, Some(control_addr.to_string()));
        (started.await, control_addr)
    }

    async fn start(name: &str, max_open_files: Option<usize>) -> Self {
        Self::start_at(name, max_open_files, None).await
    }

    async fn start_at(
        name: &str,
        max_open_files: Option<usize>,
        control_addr: Option<String>,
    ) -> Self {
        let cancel = CancellationToken::new();
        let platform = PlatformSettings::for_test();
        let (store_addr, server) =
            foxwheel_platform_emu::server::start(&platform, cancel.clone()).expect("store");
        actix_web::rt::spawn(server);
        let store = StoreClient::new(format!("http://{store_addr}"));
        let backend = scripted::start(RESPONSE, AfterResponse::KeepOpen).await;
        let backend = backend.expect("backend");
        let settings = AgentSettings {
            control_addr,
            ..AgentSettings::for_test(
                "draftsman",
                BackendKind::Service,
                &format!("http://{}", backend.addr),
                store.base_url(),
            )
        };
        let started = RunningProgram::start(&ProgramSpec {
            name,
            program: Path::new(env!("CARGO_BIN_EXE_foxwheel-agent")),
            settings: &serde_json::to_string(&settings).expect("settings encode"),
            folder: &PathBuf::from(env!("CARGO_TARGET_TMPDIR")),
            max_open_files,
        });
        let mut program = started.expect("the program starts");
        let addr = program.wait_for_log("listening on ").await;
        Self {
            program,
            addr: addr.expect("an address").parse().expect("an address"),
            http: awc::Client::builder().timeout(HANG_TIMEOUT).finish(),
            cancel,
            _backend: backend,
        }
    }

    fn monitor(&self) -> UsageMonitor {
        UsageMonitor::start(self.program.pid(), self.addr)
    }

    /// Checks that the agent runs, held at most the memory of its host, and serves one ordinary
    /// request. If it refuses the request, the request comes again when the agent says.
    async fn check(&mut self, monitor: UsageMonitor) -> Usage {
        let serving = async { while !self.is_served("an ordinary request".to_owned()).await {} };
        let served = tokio::time::timeout(HANG_TIMEOUT, serving).await;
        served.expect("the agent refuses without end");
        let peak = monitor.stop();
        println!("the agent held at most {peak:?}");
        assert!(self.program.is_running(), "the agent has ended");
        let held = peak.memory_bytes;
        assert!(held <= MEMORY_BYTES, "the agent held {held} bytes");
        peak
    }

    /// Sends a request. Returns false, after the time that the agent says, if it was refused and has
    /// not run.
    async fn is_served(&self, body: String) -> bool {
        let url = format!("http://{}/v1/completions", self.addr);
        let response = self.http.post(url).send_body(body).await;
        let response = response.expect("a response");
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

/// Returns an address that nothing listened at a moment ago.
fn free_addr() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("an address");
    listener.local_addr().expect("an address")
}

fn start_of_head() -> String {
    "POST /v1/completions HTTP/1.1\r\nhost: agent\r\n".to_owned()
}

async fn withstand(name: &str, callers: usize, upload: Upload) {
    let mut agent = AgentProgram::start(name, None).await;
    let monitor = agent.monitor();
    let crowd = Crowd::start(agent.addr, callers, upload);
    crowd.settle().await;
    agent.check(monitor).await;
    crowd.leave().await;
}

/// All bodies that arrived at once were held at once.
#[actix_web::test]
async fn agent_holds_bodies_a_byte_short() {
    const BODY_BYTES: usize = 256_000;
    let _alone = run_alone().await;
    let body = Bytes::from(vec![b'a'; BODY_BYTES - 1]);
    let upload = Upload::with_length(&start_of_head(), BODY_BYTES, body);
    withstand("bodies", 1_200, upload).await;
}

/// The largest bodies, whole but for a byte.
#[actix_web::test]
async fn agent_holds_largest_bodies_a_byte_short() {
    let _alone = run_alone().await;
    let body = Bytes::from(vec![b'a'; MAX_BODY_BYTES - 1]);
    let upload = Upload::with_length(&start_of_head(), MAX_BODY_BYTES, body);
    withstand("largest-bodies", 96, upload).await;
}

/// Number of files that the agent may have open while a crowd opens connections.
const MAX_OPEN_FILES: usize = 400;

/// Files that a platform reserves on a host for other purposes.
const RESERVED_FILES: usize = 200;

/// Lets a crowd open connections to `addr` and send `upload`, and checks what the agent holds and that it
/// serves.
async fn withstand_connections(mut agent: AgentProgram, addr: SocketAddr, upload: Upload) {
    let monitor = agent.monitor();
    let crowd = Crowd::start(addr, 600, upload);
    crowd.settle().await;
    let open_files = agent.check(monitor).await.open_files;
    assert!(
        open_files <= MAX_OPEN_FILES - RESERVED_FILES,
        "{open_files}"
    );
    crowd.leave().await;
}

/// Connections without a complete request took all open files of the agent.
#[actix_web::test]
async fn agent_has_no_file_left_beside_half_heads() {
    let _alone = run_alone().await;
    let agent = AgentProgram::start("half-heads", Some(MAX_OPEN_FILES)).await;
    let addr = agent.addr;
    withstand_connections(agent, addr, Upload::head_only(start_of_head())).await;
}

/// Idle connections to the control channel took all open files of the agent.
#[actix_web::test]
async fn agent_has_no_file_left_beside_control_connections() {
    let _alone = run_alone().await;
    let started = AgentProgram::start_with_control("control", Some(MAX_OPEN_FILES)).await;
    let (agent, control_addr) = started;
    withstand_connections(agent, control_addr, Upload::head_only(String::new())).await;
}

/// The agent refused bodies of more than 256 KB, which gateways pass on.
#[actix_web::test]
async fn agent_refuses_bodies_that_gateways_pass_on() {
    let _alone = run_alone().await;
    let mut agent = AgentProgram::start("largest-body", None).await;
    let monitor = agent.monitor();
    assert!(agent.is_served("a".repeat(MAX_BODY_BYTES)).await);
    agent.check(monitor).await;
}
