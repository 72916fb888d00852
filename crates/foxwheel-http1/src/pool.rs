//! Idle connections kept for the next exchange with the same peer.
//!
//! The key says who the peer is: an address may pass to another one, whose connections must
//! not be mixed up with those of the one before.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::connection::{ConnectOptions, Connection, ExchangeError};

/// Kept back from a peer's announced idle timeout, so that a request does not cross its
/// close: covers the way there and a late timer.
const IDLE_MARGIN: Duration = Duration::from_millis(400);

/// How long a connection stays usable when the peer announces no idle timeout; peers
/// announce whole seconds, so theirs may be shorter than one.
const UNANNOUNCED_IDLE: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct Idle {
    connection: Connection,
    usable_until: Instant,
}

/// Idle connections by peer; the newest is reused first.
#[derive(Debug)]
pub struct Pool<K> {
    options: ConnectOptions,
    /// Sorted by peer; connections of one peer in the order of their return.
    idle: Mutex<Vec<(K, Vec<Idle>)>>,
}

/// A connection taken from the pool or newly opened.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection.
    pub connection: Connection,
    /// Whether it was opened for this exchange.
    pub is_new: bool,
}

impl<K: Ord + Clone> Pool<K> {
    /// An empty pool that opens connections with `options`.
    pub fn new(options: ConnectOptions) -> Self {
        Self {
            options,
            idle: Mutex::default(),
        }
    }

    /// An idle connection to `peer` at `addr`, or a new one.
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

    /// Gives back a connection to `peer` whose exchange ended whole. `idle_timeout` is what the peer
    /// announced.
    pub fn release(&self, peer: &K, connection: Connection, idle_timeout: Option<Duration>) {
        let usable = idle_timeout.map_or(UNANNOUNCED_IDLE, |timeout| {
            timeout.saturating_sub(IDLE_MARGIN)
        });
        let idle = Idle {
            connection,
            usable_until: Instant::now() + usable.min(self.options.max_reusable_idle()),
        };
        let mut peers = self.idle.lock().expect("pool lock");
        match peers.binary_search_by(|(known, _)| known.cmp(peer)) {
            Ok(at) => peers[at].1.push(idle),
            Err(at) => peers.insert(at, (peer.clone(), vec![idle])),
        }
    }

    /// Closes connections that may not be used any more.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut peers = self.idle.lock().expect("pool lock");
        for (_, idle) in peers.iter_mut() {
            idle.retain(|idle| idle.usable_until > now && idle.connection.is_ready());
        }
        peers.retain(|(_, idle)| !idle.is_empty());
    }

    fn take_idle(&self, peer: &K, addr: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut peers = self.idle.lock().expect("pool lock");
        let found = peers.binary_search_by(|(known, _)| known.cmp(peer));
        let at = found.ok()?;
        while let Some(idle) = peers[at].1.pop() {
            let is_there = idle.connection.peer() == addr;
            if is_there && idle.usable_until > now && idle.connection.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }
}
