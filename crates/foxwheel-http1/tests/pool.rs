//! For how long the pool reuses idle connections.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use foxwheel_http1::connection::{AbandonAction, ConnectOptions};
use foxwheel_http1::pool::Pool;
use tokio::net::TcpListener;

const OPTIONS: ConnectOptions = ConnectOptions {
    connect_timeout: Duration::from_secs(5),
    unacknowledged_timeout: Duration::from_millis(700),
    on_abandon: AbandonAction::Reset,
    socket_buffer_bytes: None,
};

/// Idle timeout that the peer announces; far longer than any wait in these tests.
const ANNOUNCED_IDLE_TIMEOUT: Option<Duration> = Some(Duration::from_secs(60));

/// Returns whether the pool reuses a connection that was idle for at least `idle`, and for how long
/// it was idle.
async fn is_reused_after(idle: Duration) -> (bool, Duration) {
    let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    let listener = TcpListener::bind(any).await.expect("an address");
    let addr = listener.local_addr().expect("an address");
    let pool = Pool::new(OPTIONS);
    let first = pool.acquire(&"peer", addr).await.expect("connected");
    pool.release(&"peer", first.connection, ANNOUNCED_IDLE_TIMEOUT);
    let released_at = Instant::now();
    tokio::time::sleep(idle).await;
    let second = pool.acquire(&"peer", addr).await.expect("connected");
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
