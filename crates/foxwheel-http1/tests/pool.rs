//! For how long the pool reuses idle connections, and for which exchanges.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use foxwheel_http1::connection::{AbandonAction, ConnectOptions};
use foxwheel_http1::exchange_ids::MAX_EXCHANGES;
use foxwheel_http1::pool::{Pool, PooledConnection};
use tokio::net::TcpListener;

const OPTIONS: ConnectOptions = ConnectOptions {
    connect_timeout: Duration::from_secs(5),
    unacknowledged_timeout: Duration::from_millis(700),
    on_abandon: AbandonAction::Reset,
    socket_buffer_bytes: None,
};

/// Idle timeout that the peer announces; far longer than any wait in these tests.
const ANNOUNCED_IDLE_TIMEOUT: Option<Duration> = Some(Duration::from_secs(60));

/// A peer that accepts connections and sends nothing.
struct SilentPeer {
    pool: Pool<&'static str>,
    addr: SocketAddr,
    _listener: TcpListener,
}

impl SilentPeer {
    async fn start() -> Self {
        let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let listener = TcpListener::bind(any).await.expect("an address");
        Self {
            pool: Pool::new(OPTIONS),
            addr: listener.local_addr().expect("an address"),
            _listener: listener,
        }
    }

    /// Begins an exchange on a connection of the pool.
    async fn begin(&self, exchange_id: &str) -> PooledConnection {
        let acquired = self.pool.acquire(&"peer", self.addr, Some(exchange_id));
        acquired.await.expect("connected")
    }

    /// Ends an exchange, after which the connection is idle.
    async fn end(&self, pooled: PooledConnection) {
        let mut connection = pooled.connection;
        assert!(connection.ready().await, "the connection is open");
        self.pool
            .release(&"peer", connection, ANNOUNCED_IDLE_TIMEOUT);
    }
}

/// Returns whether the pool reuses a connection that was idle for at least `idle`, and for how long
/// it was idle.
async fn is_reused_after(idle: Duration) -> (bool, Duration) {
    let peer = SilentPeer::start().await;
    peer.end(peer.begin("first").await).await;
    let released_at = Instant::now();
    tokio::time::sleep(idle).await;
    let second = peer.begin("second").await;
    (!second.is_new, released_at.elapsed())
}

/// On a broken network path the keepalive probes of a connection fail 3 s after its last use. What
/// was written to it since would still be delivered once the path works again.
#[tokio::test]
async fn connection_is_not_reused_if_its_probes_could_fail_before_unacknowledged_bytes_time_out() {
    // The test process may be suspended in between, so that the connection idles for too long.
    while let (false, idle) = is_reused_after(Duration::ZERO).await {
        assert!(idle > Duration::from_secs(1), "not reused after {idle:?}");
    }
    let probe_failure_delay = Duration::from_secs(3);
    let too_late = probe_failure_delay - OPTIONS.unacknowledged_timeout;
    assert!(!is_reused_after(too_late).await.0);
}

/// A late copy of the first response was taken for the second one.
#[tokio::test]
async fn connection_carries_an_id_twice() {
    let peer = SilentPeer::start().await;
    peer.end(peer.begin("request").await).await;
    let second = peer.begin("request").await;
    assert!(second.is_new);
    peer.end(second).await;
    assert!(peer.begin("request").await.is_new, "both have carried it");
}

/// Closing the connection instead would cost a new one for each refusal of a full server.
#[tokio::test]
async fn connection_that_has_carried_an_id_stays_in_use_for_others() {
    let peer = SilentPeer::start().await;
    peer.end(peer.begin("first").await).await;
    let mut connections = Vec::new();
    for (id, is_new) in [("first", true), ("second", false), ("third", true)] {
        let pooled = peer.begin(id).await;
        assert_eq!(pooled.is_new, is_new, "{id}");
        connections.push(pooled);
    }
}

/// The ids of all exchanges stay in memory as long as their connection.
#[tokio::test]
async fn connection_remembers_ids_without_end() {
    let peer = SilentPeer::start().await;
    for exchange in 0..=MAX_EXCHANGES {
        let pooled = peer.begin(&exchange.to_string()).await;
        let is_first = exchange == 0 || exchange == MAX_EXCHANGES;
        assert_eq!(pooled.is_new, is_first, "exchange {exchange}");
        peer.end(pooled).await;
    }
}
