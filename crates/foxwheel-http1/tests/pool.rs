//! Which idle connections are used again.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use foxwheel_http1::connection::{ConnectOptions, GivenUp};
use foxwheel_http1::pool::Pool;
use tokio::net::TcpListener;

const OPTIONS: ConnectOptions = ConnectOptions {
    connect_timeout: Duration::from_secs(5),
    unacknowledged_timeout: Duration::from_millis(700),
    given_up: GivenUp::Reset,
};

/// What the peer announces: far longer than any wait here.
const ANNOUNCED: Option<Duration> = Some(Duration::from_secs(60));

/// Whether a connection is used again that was idle for `idle`.
async fn is_reused_after(idle: Duration) -> bool {
    let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    let listener = TcpListener::bind(any).await.expect("an address");
    let addr = listener.local_addr().expect("an address");
    let pool = Pool::new(OPTIONS);
    let first = pool.take(&"peer", addr).await.expect("connected");
    pool.put(&"peer", first.connection, ANNOUNCED);
    tokio::time::sleep(idle).await;
    !pool.take(&"peer", addr).await.expect("connected").is_new
}

/// Probes of a connection over a cut path fail 3 s after it was last used, and then what was
/// written since is delivered when the path heals.
#[tokio::test]
async fn a_connection_whose_probes_may_fail_carries_no_request() {
    assert!(is_reused_after(Duration::from_millis(200)).await);
    let fails_after = Duration::from_secs(3);
    let too_late = fails_after - OPTIONS.unacknowledged_timeout;
    assert!(!is_reused_after(too_late).await);
}
