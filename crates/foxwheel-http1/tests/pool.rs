//! Which idle connections are used again.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use foxwheel_http1::connection::{AbandonAction, ConnectOptions};
use foxwheel_http1::pool::Pool;
use tokio::net::TcpListener;

const OPTIONS: ConnectOptions = ConnectOptions {
    connect_timeout: Duration::from_secs(5),
    unacknowledged_timeout: Duration::from_millis(700),
    on_abandon: AbandonAction::Reset,
};

/// What the peer announces: far longer than any wait here.
const ANNOUNCED: Option<Duration> = Some(Duration::from_secs(60));

/// Whether a connection is used again that was idle for `idle` at least, and for how long it was.
async fn is_reused_after(idle: Duration) -> (bool, Duration) {
    let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    let listener = TcpListener::bind(any).await.expect("an address");
    let addr = listener.local_addr().expect("an address");
    let pool = Pool::new(OPTIONS);
    let first = pool.acquire(&"peer", addr).await.expect("connected");
    pool.release(&"peer", first.connection, ANNOUNCED);
    let put_at = Instant::now();
    tokio::time::sleep(idle).await;
    let taken = pool.acquire(&"peer", addr).await.expect("connected");
    (!taken.is_new, put_at.elapsed())
}

/// Probes of a connection over a cut path fail 3 s after it was last used, and then what was
/// written since is delivered when the path heals.
#[tokio::test]
async fn a_connection_whose_probes_may_fail_carries_no_request() {
    // The test process may stand still in between.
    while let (false, idle) = is_reused_after(Duration::ZERO).await {
        assert!(idle > Duration::from_secs(1), "not used after {idle:?}");
    }
    let fails_after = Duration::from_secs(3);
    let too_late = fails_after - OPTIONS.unacknowledged_timeout;
    assert!(!is_reused_after(too_late).await.0);
}
