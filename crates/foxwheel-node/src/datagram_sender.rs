//! Sends datagrams to other processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_core::metric_names::Counter;
use tokio::net::UdpSocket;

use crate::node::Node;
use crate::peer_messages::PeerMessage;

/// Minimum time between two log lines about datagrams that could not be sent.
const ERROR_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Sends a process's messages to other processes through one UDP socket.
#[derive(Clone)]
pub struct DatagramSender {
    node: Arc<Node>,
    socket: Arc<UdpSocket>,
}

impl DatagramSender {
    /// Creates a sender for the messages of `node`.
    pub fn new(node: Arc<Node>, socket: Arc<UdpSocket>) -> Self {
        Self { node, socket }
    }

    /// Returns the process whose messages are sent.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Sends `message` to each of `recipients` and returns its encoded size in bytes, or 0 if
    /// nothing was sent.
    pub async fn send(&self, message: &PeerMessage, recipients: &[SocketAddr]) -> usize {
        if recipients.is_empty() {
            return 0;
        }
        let Ok(bytes) = postcard::to_stdvec(message) else {
            self.node.metrics.incr(Counter::HeartbeatEncodeFailed);
            return 0;
        };
        for addr in recipients {
            // A lost datagram needs no retry: the next one replaces it.
            let sent = self.socket.send_to(&bytes, addr).await;
            self.record_result(*addr, bytes.len(), sent.err());
        }
        let metrics = &self.node.metrics;
        metrics.add(Counter::PeerMessageSent, recipients.len());
        metrics.add(Counter::PeerBytesSent, recipients.len() * bytes.len());
        bytes.len()
    }

    /// Counts a datagram that was not sent, and logs the error unless one was logged recently.
    fn record_result(&self, peer: SocketAddr, bytes: usize, error: Option<std::io::Error>) {
        let Some(error) = error else { return };
        self.node.metrics.incr(Counter::PeerMessageFailed);
        let now = Instant::now();
        let mut logged_at = self
            .node
            .send_error_logged_at
            .lock()
            .expect("log time lock");
        if logged_at.is_none_or(|at| now.duration_since(at) >= ERROR_LOG_INTERVAL) {
            *logged_at = Some(now);
            log::warn!(peer:%, bytes, error:%; "cannot send a datagram to a peer");
        }
    }
}
