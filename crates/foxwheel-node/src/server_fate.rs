//! Finding out what became of a backend server whose answer broke: whether its process ended
//! or only the connection did.

use std::sync::Arc;
use std::time::Duration;

use foxwheel_core::ids::RequestId;
use foxwheel_http1::connection::{self, Listening};
use foxwheel_policy::membership::ServerKey;

use crate::node::Node;
use crate::request_content::RequestContent;

/// Pause before a server is looked at: the kernel closes the sockets of a process that ended
/// one after the other, and the one that listens may be the last.
const LOOK_AFTER: Duration = Duration::from_millis(5);

/// Longest wait for a connection: a server that ended refuses at once.
const LOOK_FOR: Duration = Duration::from_millis(250);

/// What became of a server whose answer broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerFate {
    /// Its process ended unasked: nothing listens at its address any more.
    Ended,
    /// It takes connections: only that one broke.
    Lives,
    /// It cannot be told: the path may be cut, or the host is down.
    Unknown,
    /// It was to leave, or its entry had lapsed: its end says nothing.
    Leaving,
}

/// Looks at `server` after an answer to the request with `content` broke there.
pub async fn look(
    node: Arc<Node>,
    server: ServerKey,
    request_id: RequestId,
    content: Arc<RequestContent>,
) {
    let fate = fate_of(&node, &server).await;
    if fate == ServerFate::Ended {
        node.note_crash(&content, &server);
    }
    log::info!(request_id, content = content.fingerprint(), server = server.id, incarnation = server.incarnation, fate:? = fate; "answer broke");
}

async fn fate_of(node: &Node, server: &ServerKey) -> ServerFate {
    let Some(addr) = node.ready_server_addr(server) else {
        return ServerFate::Leaving;
    };
    tokio::time::sleep(LOOK_AFTER).await;
    match connection::listening(addr, LOOK_FOR).await {
        Listening::Refuses => ServerFate::Ended,
        Listening::Accepts => ServerFate::Lives,
        Listening::NoAnswer => ServerFate::Unknown,
    }
}
