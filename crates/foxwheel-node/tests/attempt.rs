//! One attempt at a server whose entry in the server list changes during the attempt.

mod common;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_http1::body::ExpectedEvents;
use foxwheel_node::attempt::{self, AttemptParams, BodyFrame};
use foxwheel_node::load_table::WorkClass;
use foxwheel_node::node::Node;
use foxwheel_node::request_content::RequestContent;
use foxwheel_node::server_probe::ServerLiveness;
use foxwheel_node::settings::Role;
use foxwheel_policy::membership::{BackendServer, ServerState};
use foxwheel_policy::quarantine::{ObservedCrash, RunKind};
use foxwheel_policy::retry::AttemptOutcome;
use foxwheel_policy::zone_loads::ServerFingerprint;
use foxwheel_server_emu::faults::Fault;
use foxwheel_server_emu::server::{self, Server, ServerConfig};
use foxwheel_server_emu::unframed::{BodyPart, ConnectionEnd, UnframedResponse};
use foxwheel_soak::front_client;
use hyper::Method;
use tokio_util::sync::CancellationToken;

const LOCALHOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

fn register_server(node: &Node, addr: SocketAddr, state: ServerState) -> BackendServer {
    let server = BackendServer {
        id: ServerConfig::default().id,
        incarnation: 1,
        service: "model".to_owned(),
        addr,
        zone: common::zone_name(0),
        version: "v1".to_owned(),
        slots: 8,
        state,
    };
    let mut directory = node.directory.lock().expect("directory lock");
    directory.upsert(server.clone());
    server
}

/// Starts a backend server, and a node without peers that does not know it yet.
async fn start_node(cancel: &CancellationToken) -> (Arc<Node>, Server) {
    let started = server::start(LOCALHOST, ServerConfig::default(), cancel.clone()).await;
    let unused_address = SocketAddr::new(LOCALHOST, 9);
    let settings = common::single_process_settings(Role::Front, unused_address);
    let node = Node::new(settings, cancel.clone());
    (node, started.expect("server starts"))
}

fn attempt_params(node: &Arc<Node>, server: &BackendServer) -> AttemptParams {
    AttemptParams {
        slot: node
            .loads
            .begin_request(&server.instance(), WorkClass::Online),
        required_version: None,
        request_id: "request".to_owned(),
        expected_events: None,
        content: Arc::new(RequestContent::new(
            "POST",
            "h",
            "/a",
            Default::default(),
            Vec::new(),
        )),
        expected_wait: Duration::ZERO,
        deadline: Instant::now() + Duration::from_secs(5),
    }
}

/// Guards against a request being sent although the front, while it opened the connection, was
/// notified that the chosen server drains.
#[actix_web::test]
async fn server_that_drains_during_connect_gets_no_request() {
    let cancel = CancellationToken::new();
    let (node, server) = start_node(&cancel).await;
    let listed = register_server(&node, server.addr, ServerState::Ready);
    let params = attempt_params(&node, &listed);
    let request = front_client::build_request(Method::POST, "/plain/a", "request", &[], "");
    let (sent, _) = tokio::join!(attempt::send(&node, params, request), async {
        register_server(&node, server.addr, ServerState::Draining)
    });
    let outcome = sent.map(|_| ()).map_err(|failure| failure.outcome);
    assert_eq!(outcome, Err(AttemptOutcome::NotSent));
    assert!(server.run_log.arrivals().is_empty());
    cancel.cancel();
}

/// Fingerprint of another server that crashed before.
const CRASHED_SERVER: ServerFingerprint = 1;

/// Records that another server of the same service crashed while it ran the content of `params`.
fn record_crash_elsewhere(node: &Node, listed: &BackendServer, params: &AttemptParams) {
    let crash = ObservedCrash {
        server: CRASHED_SERVER,
        service: listed.service.clone(),
        sent_at: Instant::now(),
        cut_off_at: Instant::now(),
        run_kind: RunKind::Online,
    };
    node.record_crash(&params.content, &params.request_id, crash);
}

/// Runs a request whose content was running when another server crashed. Returns whether its response
/// was received completely, and whether what is known about crashes has changed. The server is in state `at_end`
/// when the response ends.
async fn run_after_crash(fault: Fault, at_end: ServerState) -> (bool, bool) {
    let cancel = CancellationToken::new();
    let (node, server) = start_node(&cancel).await;
    server.fault_script.extend([fault]);
    let listed = register_server(&node, server.addr, ServerState::Ready);
    let params = AttemptParams {
        expected_events: Some(ExpectedEvents::AtLeastOne),
        ..attempt_params(&node, &listed)
    };
    record_crash_elsewhere(&node, &listed, &params);
    let digest = node.quarantine_digest();
    let deadline = params.deadline;
    let request = front_client::build_request(Method::POST, "/stream/a", "request", &[], "");
    let sent = attempt::send(&node, params, request).await;
    let mut response = sent.expect("a response");
    register_server(&node, server.addr, at_end);
    let connection = common::caller_connection(&node.settings).await;
    let read = response.read_full_body(&connection, deadline).await;
    let is_complete = read.is_ok();
    if is_complete {
        response.finish();
    }
    cancel.cancel();
    (is_complete, node.quarantine_digest() != digest)
}

/// The end of a connection alone does not prove that a request did not crash its server.
#[actix_web::test]
async fn only_a_proven_completion_clears_a_content_of_crashes() {
    let unframed = |part, end| Fault::Unframed(UnframedResponse::ok(part, end));
    let complete = unframed(BodyPart::Complete, ConnectionEnd::Close);
    let cases = [
        (Fault::None, ServerState::Ready, (true, true)),
        (complete, ServerState::Ready, (true, true)),
        (complete, ServerState::Draining, (true, false)),
        (
            unframed(BodyPart::WithinEvent(2), ConnectionEnd::Close),
            ServerState::Ready,
            (false, false),
        ),
    ];
    for (fault, at_end, expected) in cases {
        let seen = run_after_crash(fault, at_end).await;
        assert_eq!(seen, expected, "{fault:?} at a server that is {at_end:?}");
    }
}

/// Guards against a part of a response that counts as complete: a server that was told to leave ended
/// with it, as the kernel closes the connections of an ended process in order.
#[actix_web::test]
async fn response_that_ends_with_a_leaving_server_is_cut_off() {
    let end = ConnectionEnd::ProcessEnd;
    for part in [BodyPart::Events(2), BodyPart::Complete] {
        let fault = Fault::Unframed(UnframedResponse::ok(part, end));
        let seen = run_after_crash(fault, ServerState::Draining).await;
        assert_eq!(seen, (false, false), "{part:?}: cut off, and no crash");
    }
}

#[test]
fn only_a_server_that_runs_confirms_the_end_of_its_response() {
    let cases = [
        (ServerLiveness::Lives, true),
        (ServerLiveness::Leaving, true),
        (ServerLiveness::Ended, false),
        (ServerLiveness::Departed, false),
        (ServerLiveness::Unknown, false),
    ];
    for (liveness, expected) in cases {
        assert_eq!(liveness.confirms_end(), expected, "{liveness:?}");
    }
}

/// Parts of batch items were suspected of each crash until their long responses were complete.
#[actix_web::test]
async fn long_response_clears_its_parts_before_its_end() {
    let cancel = CancellationToken::new();
    let shape = ServerConfig {
        events_per_stream: 30,
        step_time: Duration::from_millis(100),
        ..ServerConfig::default()
    };
    let started = server::start(LOCALHOST, shape, cancel.clone()).await;
    let server = started.expect("server starts");
    let unused_address = SocketAddr::new(LOCALHOST, 9);
    let settings = common::single_process_settings(Role::Front, unused_address);
    let node = Node::new(settings, cancel.clone());
    let listed = register_server(&node, server.addr, ServerState::Ready);
    let parts = vec!["part".to_owned()];
    let content = RequestContent::new("POST", "h", "/a", Default::default(), parts);
    let params = AttemptParams {
        content: Arc::new(content),
        ..attempt_params(&node, &listed)
    };
    record_crash_elsewhere(&node, &listed, &params);
    let cleared = || {
        let evidence = node.lock_part_quarantine().evidence(Instant::now());
        evidence.crashes[0].cleared.clone()
    };
    let deadline = params.deadline;
    let request = front_client::build_request(Method::POST, "/stream/a", "request", &[], "");
    let mut response = attempt::send(&node, params, request).await.expect("sent");
    let first = response.next_frame(deadline).await;
    assert!(matches!(first, BodyFrame::Data(_)));
    assert_eq!(cleared(), [""; 0]);
    while cleared().is_empty() {
        let next = response.next_frame(deadline).await;
        assert!(matches!(next, BodyFrame::Data(_)), "{next:?}");
    }
    assert_eq!(cleared(), ["part"]);
    cancel.cancel();
}

#[actix_web::test]
async fn server_that_ends_with_its_response_is_recorded_as_crashed() {
    let end = ConnectionEnd::ProcessEnd;
    let fault = Fault::Unframed(UnframedResponse::ok(BodyPart::Events(2), end));
    assert_eq!(
        run_after_crash(fault, ServerState::Ready).await,
        (false, true)
    );
}
