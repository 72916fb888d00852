//! Finding out what became of a backend server whose answer broke: whether its process ended
//! or only the connection did.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_core::ids::RequestId;
use foxwheel_http1::connection::{self, Listening};
use foxwheel_policy::membership::{BackendServer, ServerInstance, ServerState};
use foxwheel_policy::quarantine::ObservedCrash;
use foxwheel_policy::zone_loads;

use crate::node::Node;
use crate::request_content::RequestContent;

/// Pause before a server is looked at: the kernel closes the sockets of a process that ended
/// one after the other, and the one that listens may be the last.
const LOOK_AFTER: Duration = Duration::from_millis(5);

/// Longest wait for a connection: a server that ended refuses at once.
const LOOK_FOR: Duration = Duration::from_millis(250);

/// What became of a server whose answer broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerLiveness {
    /// Its process ended unasked: nothing listens at its address any more.
    Ended,
    /// Its address takes connections: only that one broke, or its server started again, for
    /// whichever reason, while the path to it was cut.
    Lives,
    /// It cannot be told: the path may be cut, or the host is down.
    Unknown,
    /// It was to leave, or is not listed any more: its end says nothing.
    Leaving,
}

/// A request whose answer broke at a server.
#[derive(Debug, Clone)]
pub struct CutOffRequest {
    /// The server.
    pub server: ServerInstance,
    /// The request's id.
    pub request_id: RequestId,
    /// What the request asks for.
    pub content: Arc<RequestContent>,
    /// When it was sent there.
    pub sent_at: Instant,
    /// When its answer broke.
    pub broke_at: Instant,
}

/// Looks at the server of `run`; a crash is held against the request's content.
pub async fn look(node: Arc<Node>, run: CutOffRequest) {
    let listed = node.listed_server(&run.server);
    let ready = listed.filter(|server| server.state == ServerState::Ready);
    let fate = match &ready {
        Some(server) => fate_of(server).await,
        None => ServerLiveness::Leaving,
    };
    let content = run.content.fingerprint();
    log::info!(request_id = run.request_id, content, server = run.server.id, incarnation = run.server.incarnation, fate:? = fate; "answer broke");
    if let Some(server) = ready.filter(|_| fate == ServerLiveness::Ended) {
        let crash = ObservedCrash {
            server: zone_loads::fingerprint(&run.server),
            service: server.service,
            sent_at: run.sent_at,
            cut_off_at: run.broke_at,
        };
        node.record_crash(content, crash);
    }
}

async fn fate_of(server: &BackendServer) -> ServerLiveness {
    tokio::time::sleep(LOOK_AFTER).await;
    match connection::listening(server.addr, LOOK_FOR).await {
        Listening::Refuses => ServerLiveness::Ended,
        Listening::Accepts => ServerLiveness::Lives,
        Listening::NoAnswer => ServerLiveness::Unknown,
    }
}
