//! Sending datagrams to other processes.

use std::net::SocketAddr;
use std::sync::Arc;

use foxwheel_core::metric_names::Counter;
use tokio::net::UdpSocket;

use crate::node::Node;
use crate::peer_messages::PeerMessage;

/// Where messages go out.
#[derive(Clone)]
pub struct DatagramSender {
    node: Arc<Node>,
    socket: Arc<UdpSocket>,
}

impl DatagramSender {
    /// Messages of `node` go out by `socket`.
    pub fn new(node: Arc<Node>, socket: Arc<UdpSocket>) -> Self {
        Self { node, socket }
    }

    /// The process whose messages go out.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Sends `message` to each address; answers its size.
    pub async fn send(&self, message: &PeerMessage, to: &[SocketAddr]) -> usize {
        if to.is_empty() {
            return 0;
        }
        let Ok(bytes) = postcard::to_stdvec(message) else {
            self.node.metrics.incr(Counter::HeartbeatUnencodable);
            return 0;
        };
        for addr in to {
            // A lost datagram is made good by the next one.
            let _ = self.socket.send_to(&bytes, addr).await;
        }
        let metrics = &self.node.metrics;
        metrics.add(Counter::PeerMessageSent, to.len());
        metrics.add(Counter::PeerBytesSent, to.len() * bytes.len());
        bytes.len()
    }
}
