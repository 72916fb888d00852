//! Keeps idle connections for the next exchange with the same peer.
//!
//! Connections are looked up by a key that identifies the peer, not by its address alone: a later
//! peer can get the same address, and its requests must not be sent on the old peer's connections.
//! A connection carries each id of an exchange only once, as [`crate::exchange_ids`] explains.

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

impl PooledConnection {
    fn begin(mut connection: Connection, is_new: bool, exchange_id: Option<&str>) -> Self {
        if let Some(id) = exchange_id {
            connection.exchange_ids.insert(id);
        }
        Self { connection, is_new }
    }
}

impl<K: Ord + Clone> Pool<K> {
    /// Creates an empty pool that opens connections with `options`.
    pub fn new(options: ConnectOptions) -> Self {
        Self {
            options,
            idle_by_peer: Mutex::default(),
        }
    }

    /// Returns a connection to `peer` at `addr` for the exchange with this id, if it has one: an idle
    /// connection that has not carried the id, or a new one. Returns [`ExchangeError::Connect`] if it
    /// cannot be opened.
    pub async fn acquire(
        &self,
        peer: &K,
        addr: SocketAddr,
        exchange_id: Option<&str>,
    ) -> Result<PooledConnection, ExchangeError> {
        match self.take_idle(peer, addr, exchange_id) {
            Some(connection) => Ok(PooledConnection::begin(connection, false, exchange_id)),
            None => self.open(addr, exchange_id).await,
        }
    }

    /// Opens a new connection for the exchange with this id, if it has one. Returns
    /// [`ExchangeError::Connect`] if that fails.
    pub async fn open(
        &self,
        addr: SocketAddr,
        exchange_id: Option<&str>,
    ) -> Result<PooledConnection, ExchangeError> {
        let connection = Connection::open(addr, self.options).await?;
        Ok(PooledConnection::begin(connection, true, exchange_id))
    }

    /// Returns a connection to `peer` to the pool, after its exchange is complete. `idle_timeout` is
    /// the timeout that the peer announced, if any. Closes the connection if it may carry no further
    /// exchange.
    pub fn release(&self, peer: &K, connection: Connection, idle_timeout: Option<Duration>) {
        if connection.exchange_ids.is_full() {
            return;
        }
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

    /// Takes the connection that was released last of those that may carry the exchange. Closes those
    /// on its way that may not be used any more.
    fn take_idle(
        &self,
        peer: &K,
        addr: SocketAddr,
        exchange_id: Option<&str>,
    ) -> Option<Connection> {
        let now = Instant::now();
        let mut peers = self.idle_by_peer.lock().expect("pool lock");
        let found = peers.binary_search_by(|(known, _)| known.cmp(peer));
        let idle_connections = &mut peers[found.ok()?].1;
        for at in (0..idle_connections.len()).rev() {
            let idle = &idle_connections[at];
            let connection = &idle.connection;
            let is_usable =
                connection.peer() == addr && idle.usable_until > now && connection.is_ready();
            let has_carried_id = exchange_id.is_some_and(|id| connection.has_carried(id));
            if is_usable && has_carried_id {
                continue;
            }
            let idle = idle_connections.remove(at);
            if is_usable {
                return Some(idle.connection);
            }
        }
        None
    }
}
