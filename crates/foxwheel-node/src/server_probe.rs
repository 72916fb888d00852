//! Liveness probe of a backend server that cut a response off: tells a server whose process
//! ended from one that lost only the connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use foxwheel_core::ids::RequestId;
use foxwheel_http1::body::Framing;
use foxwheel_http1::connection::{self, ListenerStatus};
use foxwheel_policy::membership::{BackendServer, ServerInstance, ServerState};
use foxwheel_policy::quarantine::{ObservedCrash, RunKind};
use foxwheel_policy::zone_loads;

use crate::node::Node;
use crate::request_content::RequestContent;

/// The state of a server after it cut a response off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerLiveness {
    /// Its process ended unexpectedly: its address refuses connections.
    Ended,
    /// Its address accepts connections. Either only the one connection failed, or the server
    /// restarted, for whatever reason, while the network path to it was interrupted.
    Lives,
    /// Connecting gave no result: the network path may be interrupted, or the host is down.
    Unknown,
    /// It drains or is no longer listed. Its end is expected, so that it is not a crash.
    Leaving,
    /// It drained or is no longer listed, and its address refuses connections. That is no crash, but
    /// the responses that it was sending are cut off.
    Departed,
}

impl ServerLiveness {
    /// Returns whether a response that ended with its connection is complete, given the state of the
    /// server afterwards. The kernel closes the connections of an ended process in the same way.
    pub fn confirms_end(self) -> bool {
        match self {
            Self::Lives | Self::Leaving => true,
            Self::Ended | Self::Departed | Self::Unknown => false,
        }
    }
}

/// A request whose response a server cut off.
#[derive(Debug, Clone)]
pub struct CutOffRequest {
    /// The server instance that ran the request.
    pub server: ServerInstance,
    /// The address to which the request was sent.
    pub addr: SocketAddr,
    /// The request's id.
    pub request_id: RequestId,
    /// The request's content, under which a crash is recorded.
    pub content: Arc<RequestContent>,
    /// The kind of the run.
    pub run_kind: RunKind,
    /// How the end of the response body is marked; `None` if no head was received.
    pub framing: Option<Framing>,
    /// When the request was sent to the server.
    pub sent_at: Instant,
    /// When the response was cut off.
    pub cut_off_at: Instant,
}

/// Probes the server of `request`, whose response was cut off. If its process ended, records a crash
/// under the request's content.
pub async fn probe(node: Arc<Node>, request: CutOffRequest) -> ServerLiveness {
    let ready = ready_server(&node, &request.server);
    let liveness = match &ready {
        Some(server) => probe_liveness(server.addr).await,
        None => ServerLiveness::Leaving,
    };
    record_cut_off(&node, &request, ready, liveness);
    liveness
}

/// Probes the server of `request`, whose response ended with its connection and may be complete, also
/// if the server leaves. If its process ended unexpectedly, the response counts as cut off by a crash.
pub async fn probe_after_close(node: Arc<Node>, request: CutOffRequest) -> ServerLiveness {
    let ready = ready_server(&node, &request.server);
    let liveness = match &ready {
        Some(server) => probe_liveness(server.addr).await,
        None => match probe_liveness(request.addr).await {
            ServerLiveness::Ended => ServerLiveness::Departed,
            ServerLiveness::Lives => ServerLiveness::Leaving,
            other => other,
        },
    };
    if liveness == ServerLiveness::Ended {
        record_cut_off(&node, &request, ready, liveness);
    }
    liveness
}

/// Returns the server if it is listed and does not drain.
fn ready_server(node: &Node, server: &ServerInstance) -> Option<BackendServer> {
    let listed = node.listed_server(server);
    listed.filter(|server| server.state == ServerState::Ready)
}

fn record_cut_off(
    node: &Node,
    request: &CutOffRequest,
    ready: Option<BackendServer>,
    liveness: ServerLiveness,
) {
    let content = request.content.fingerprint();
    let fingerprint = zone_loads::fingerprint(&request.server);
    let ran_for = request.cut_off_at.duration_since(request.sent_at);
    log::info!(request_id = request.request_id, content, shared_parts:? = request.content.shared_parts, server = request.server.id, incarnation = request.server.incarnation, fingerprint = format!("{fingerprint:016x}"), ran_for_ms = ran_for.as_millis() as u64, framing:? = request.framing, fate:? = liveness; "answer broke");
    if let Some(server) = ready.filter(|_| liveness == ServerLiveness::Ended) {
        let crash = ObservedCrash {
            server: fingerprint,
            service: server.service,
            sent_at: request.sent_at,
            cut_off_at: request.cut_off_at,
            run_kind: request.run_kind,
        };
        node.record_crash(&request.content, &request.request_id, crash);
    }
}

async fn probe_liveness(addr: SocketAddr) -> ServerLiveness {
    match connection::probe_process(addr).await {
        ListenerStatus::Refusing => ServerLiveness::Ended,
        ListenerStatus::Accepting => ServerLiveness::Lives,
        ListenerStatus::NoResponse => ServerLiveness::Unknown,
    }
}
