//! Keeps idle connections for the next exchange with the same peer.
//!
//! Connections are looked up by a key that identifies the peer, not by its address alone: a later
//! peer can get the same address, and its requests must not be sent on the old peer's connections.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::connection::{ConnectOptions, Connection, ExchangeError};

/// Subtracted from the idle timeout that a peer announces, so that no request is sent while the
/// peer closes the connection. Covers the latency to the peer and a late timer.
const IDLE_MARGIN: Duration = Duration::from_millis(400);

/// How long a connection stays usable if the peer announces no idle timeout. Peers announce whole
/// seconds, so a peer that announces none may have a timeout below one second.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    usable_until: Instant,
}

/// Idle connections by peer. The connection that was released last is reused first.
#[derive(Debug)]
pub struct Pool<K> {
    options: ConnectOptions,
    /// Sorted by peer; the connections of one peer are in the order in which they were released.
    idle_by_peer: Mutex<Vec<(K, Vec<IdleConnection>)>>,
}

/// A connection that was taken from the pool or newly opened.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection.
    pub connection: Connection,
    /// Whether it was newly opened.
    pub is_new: bool,
}

impl<K: Ord + Clone> Pool<K> {
    /// Creates an empty pool that opens connections with `options`.
    pub fn new(options: ConnectOptions) -> Self {
        Self {
            options,
            idle_by_peer: Mutex::default(),
        }
    }

    /// Returns an idle connection to `peer` at `addr`, or opens a new one if there is none. Returns
    /// [`ExchangeError::Connect`] if it cannot be opened.
    pub async fn acquire(
        &self,
        peer: &K,
        addr: SocketAddr,
    ) -> Result<PooledConnection, ExchangeError> {
        if let Some(connection) = self.take_idle(peer, addr) {
            return Ok(PooledConnection {
                connection,
                is_new: false,
            });
        }
        let connection = Connection::open(addr, self.options).await?;
        Ok(PooledConnection {
            connection,
            is_new: true,
        })
    }

    /// Returns a connection to `peer` to the pool, after its exchange is complete. `idle_timeout` is
    /// the timeout that the peer announced, if any.
    pub fn release(&self, peer: &K, connection: Connection, idle_timeout: Option<Duration>) {
        let max_idle = idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| {
            timeout.saturating_sub(IDLE_MARGIN)
        });
        let idle = IdleConnection {
            connection,
            usable_until: Instant::now() + max_idle.min(self.options.max_reusable_idle()),
        };
        let mut peers = self.idle_by_peer.lock().expect("pool lock");
        match peers.binary_search_by(|(known, _)| known.cmp(peer)) {
            Ok(at) => peers[at].1.push(idle),
            Err(at) => peers.insert(at, (peer.clone(), vec![idle])),
        }
    }

    /// Closes the idle connections that may no longer be used.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut peers = self.idle_by_peer.lock().expect("pool lock");
        for (_, idle_connections) in peers.iter_mut() {
            idle_connections.retain(|idle| idle.usable_until > now && idle.connection.is_ready());
        }
        peers.retain(|(_, idle_connections)| !idle_connections.is_empty());
    }

    fn take_idle(&self, peer: &K, addr: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut peers = self.idle_by_peer.lock().expect("pool lock");
        let found = peers.binary_search_by(|(known, _)| known.cmp(peer));
        let at = found.ok()?;
        while let Some(idle) = peers[at].1.pop() {
            let has_addr = idle.connection.peer() == addr;
            if has_addr && idle.usable_until > now && idle.connection.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }
}
