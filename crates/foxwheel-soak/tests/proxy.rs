//! Tests of the proxy under each fault.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use foxwheel_soak::proxy::{FaultProxy, PathFault};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio_util::sync::CancellationToken;

/// Time limit for what takes milliseconds if nothing is wrong.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for which a proxy that holds bytes back is observed.
const HELD_BACK_DURATION: Duration = Duration::from_millis(300);

fn any_port() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

/// Returns a proxy to a server that sends back what it receives.
async fn proxy_to_echo_server(cancel: &CancellationToken) -> FaultProxy {
    let listener = TcpListener::bind(any_port()).await.expect("an address");
    let target = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.into_split();
                // An error only means that the test has closed the connection.
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    let proxy = FaultProxy::open(any_port(), target, cancel.clone()).await;
    proxy.expect("a proxy")
}

/// Sends `text` and reads until all of it was sent back or the connection ends. Returns the number
/// of bytes received.
async fn count_echoed_bytes(stream: &mut TcpStream, text: &[u8]) -> usize {
    // An error of the connection shows when it is read.
    let _ = stream.write_all(text).await;
    let mut buffer = vec![0; text.len()];
    let mut count = 0;
    while count < text.len() {
        match stream.read(&mut buffer[count..]).await {
            Ok(0) | Err(_) => break,
            Ok(length) => count += length,
        }
    }
    count
}

#[actix_web::test]
async fn each_fault_lets_the_expected_number_of_bytes_through() {
    let cancel = CancellationToken::new();
    let proxy = proxy_to_echo_server(&cancel).await;
    let text = [7; 300];
    let cases = [
        (PathFault::None, 300),
        (PathFault::Delay(20), 300),
        (PathFault::Drip, 300),
        (PathFault::CutAfter(100), 100),
        (PathFault::Reset, 0),
    ];
    for (fault, expected) in cases {
        proxy.set_fault(fault);
        let mut stream = TcpStream::connect(proxy.addr).await.expect("connected");
        let received =
            tokio::time::timeout(WAIT_TIMEOUT, count_echoed_bytes(&mut stream, &text)).await;
        let received = received.expect("the connection ends in time");
        // A reset can discard bytes that were sent before it.
        let is_cut = matches!(fault, PathFault::CutAfter(_));
        assert!(
            received == expected || is_cut && received < expected,
            "{fault:?}: {received}"
        );
    }
}

#[actix_web::test]
async fn held_back_bytes_arrive_after_the_fault_ends() {
    let cancel = CancellationToken::new();
    let proxy = proxy_to_echo_server(&cancel).await;
    let text = [7; 300];
    for fault in [PathFault::Silence, PathFault::OneWay] {
        proxy.set_fault(fault);
        let mut stream = TcpStream::connect(proxy.addr).await.expect("connected");
        let echo = count_echoed_bytes(&mut stream, &text);
        tokio::pin!(echo);
        let early_result = tokio::time::timeout(HELD_BACK_DURATION, &mut echo).await;
        assert!(early_result.is_err(), "{fault:?}: {early_result:?}");
        proxy.set_fault(PathFault::None);
        let received = tokio::time::timeout(WAIT_TIMEOUT, echo).await;
        assert_eq!(
            received.expect("the bytes arrive in time"),
            text.len(),
            "{fault:?}"
        );
    }
}

/// A response without a length ends when its connection is closed.
#[actix_web::test]
async fn a_cut_response_looks_complete_when_the_path_to_its_server_is_closed() {
    let cancel = CancellationToken::new();
    let proxy = proxy_to_echo_server(&cancel).await;
    let mut stream = TcpStream::connect(proxy.addr).await.expect("connected");
    assert_eq!(count_echoed_bytes(&mut stream, &[7; 300]).await, 300);
    cancel.cancel();
    let mut buffer = [0];
    let received = tokio::time::timeout(WAIT_TIMEOUT, stream.read(&mut buffer)).await;
    let error = received
        .expect("the connection ends in time")
        .expect_err("reset");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

#[actix_web::test]
async fn a_closed_proxy_refuses_connections_and_a_refusing_target_is_recorded() {
    let cancel = CancellationToken::new();
    let proxy = proxy_to_echo_server(&cancel).await;
    let mut stream = TcpStream::connect(proxy.addr).await.expect("connected");
    assert_eq!(count_echoed_bytes(&mut stream, &[7; 300]).await, 300);
    cancel.cancel();
    let received =
        tokio::time::timeout(WAIT_TIMEOUT, count_echoed_bytes(&mut stream, &[7; 300])).await;
    assert_eq!(received.expect("the connection ends in time"), 0);
    assert!(TcpStream::connect(proxy.addr).await.is_err(), "refused");

    let closed_listener = TcpListener::bind(any_port()).await.expect("an address");
    let target = closed_listener.local_addr().expect("an address");
    drop(closed_listener);
    let proxy = FaultProxy::open(any_port(), target, CancellationToken::new()).await;
    let proxy = proxy.expect("a proxy");
    let mut stream = TcpStream::connect(proxy.addr).await.expect("connected");
    let received =
        tokio::time::timeout(WAIT_TIMEOUT, count_echoed_bytes(&mut stream, &[7; 300])).await;
    assert_eq!(
        (
            received.expect("the connection ends in time"),
            proxy.refusal_times().len()
        ),
        (0, 1)
    );
}

#[actix_web::test]
async fn datagrams_are_relayed_unless_a_fault_drops_them() {
    let cancel = CancellationToken::new();
    let target = UdpSocket::bind(any_port()).await.expect("a socket");
    let target_addr = target.local_addr().expect("an address");
    let proxy = FaultProxy::open(any_port(), target_addr, cancel.clone()).await;
    let proxy = proxy.expect("a proxy");
    let relay = proxy.relay_datagrams(target_addr, cancel.clone()).await;
    relay.expect("a relay");
    let sender = UdpSocket::bind(any_port()).await.expect("a socket");
    let mut buffer = [0; 10];
    for (fault, arrives) in [
        (PathFault::None, true),
        (PathFault::Delay(20), true),
        (PathFault::Silence, false),
        (PathFault::Reset, false),
        (PathFault::None, true),
    ] {
        proxy.set_fault(fault);
        sender.send_to(b"beat", proxy.addr).await.expect("sent");
        let timeout = if arrives {
            WAIT_TIMEOUT
        } else {
            HELD_BACK_DURATION
        };
        let received = tokio::time::timeout(timeout, target.recv(&mut buffer)).await;
        assert_eq!(received.is_ok(), arrives, "{fault:?}");
    }
    cancel.cancel();
}
