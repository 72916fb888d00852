//! Paths under each fault.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use foxwheel_soak::proxy::{FaultProxy, PathFault};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio_util::sync::CancellationToken;

/// Longest wait for what takes milliseconds when all is well.
const PATIENCE: Duration = Duration::from_secs(20);

/// How long a path that holds back is given to prove it.
const HELD_BACK_FOR: Duration = Duration::from_millis(300);

fn any() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

/// A path to a server that answers what it is sent.
async fn path_to_echo(cancel: &CancellationToken) -> FaultProxy {
    let listener = TcpListener::bind(any()).await.expect("an address");
    let target = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.into_split();
                // The test hangs up.
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    let path = FaultProxy::open(any(), target, cancel.clone()).await;
    path.expect("a path")
}

/// Sends `text` and reads until all of it is back or the connection ends; answers how much
/// came.
async fn echoed(stream: &mut TcpStream, text: &[u8]) -> usize {
    // A connection that broke shows when it is read.
    let _ = stream.write_all(text).await;
    let mut got = vec![0; text.len()];
    let mut count = 0;
    while count < text.len() {
        match stream.read(&mut got[count..]).await {
            Ok(0) | Err(_) => break,
            Ok(length) => count += length,
        }
    }
    count
}

#[actix_web::test]
async fn a_path_passes_on_cuts_and_breaks() {
    let cancel = CancellationToken::new();
    let path = path_to_echo(&cancel).await;
    let text = [7; 300];
    let cases = [
        (PathFault::None, 300),
        (PathFault::Delay(20), 300),
        (PathFault::Drip, 300),
        (PathFault::CutAfter(100), 100),
        (PathFault::Reset, 0),
    ];
    for (fault, expected) in cases {
        path.set_fault(fault);
        let mut stream = TcpStream::connect(path.addr).await.expect("connected");
        let came = tokio::time::timeout(PATIENCE, echoed(&mut stream, &text)).await;
        let came = came.expect("it ends");
        // What a reset overtakes is lost with it.
        let is_cut = matches!(fault, PathFault::CutAfter(_));
        assert!(
            came == expected || is_cut && came < expected,
            "{fault:?}: {came}"
        );
    }
}

#[actix_web::test]
async fn a_path_holds_back_until_it_is_whole_again() {
    let cancel = CancellationToken::new();
    let path = path_to_echo(&cancel).await;
    let text = [7; 300];
    for fault in [PathFault::Silence, PathFault::OneWay] {
        path.set_fault(fault);
        let mut stream = TcpStream::connect(path.addr).await.expect("connected");
        let echo = echoed(&mut stream, &text);
        tokio::pin!(echo);
        let early = tokio::time::timeout(HELD_BACK_FOR, &mut echo).await;
        assert!(early.is_err(), "{fault:?}: {early:?}");
        path.set_fault(PathFault::None);
        let came = tokio::time::timeout(PATIENCE, echo).await;
        assert_eq!(came.expect("it comes"), text.len(), "{fault:?}");
    }
}

#[actix_web::test]
async fn a_closed_path_breaks_and_refuses_and_a_dead_target_is_noted() {
    let cancel = CancellationToken::new();
    let path = path_to_echo(&cancel).await;
    let mut stream = TcpStream::connect(path.addr).await.expect("connected");
    assert_eq!(echoed(&mut stream, &[7; 300]).await, 300);
    cancel.cancel();
    let came = tokio::time::timeout(PATIENCE, echoed(&mut stream, &[7; 300])).await;
    assert_eq!(came.expect("it ends"), 0);
    assert!(TcpStream::connect(path.addr).await.is_err(), "refused");

    let dead = TcpListener::bind(any()).await.expect("an address");
    let target = dead.local_addr().expect("an address");
    drop(dead);
    let path = FaultProxy::open(any(), target, CancellationToken::new()).await;
    let path = path.expect("a path");
    let mut stream = TcpStream::connect(path.addr).await.expect("connected");
    let came = tokio::time::timeout(PATIENCE, echoed(&mut stream, &[7; 300])).await;
    assert_eq!((came.expect("it ends"), path.refusal_times().len()), (0, 1));
}

#[actix_web::test]
async fn a_path_passes_datagrams_on_unless_it_is_cut() {
    let cancel = CancellationToken::new();
    let target = UdpSocket::bind(any()).await.expect("a socket");
    let target_addr = target.local_addr().expect("an address");
    let path = FaultProxy::open(any(), target_addr, cancel.clone()).await;
    let path = path.expect("a path");
    let relayed = path.relay_datagrams(target_addr, cancel.clone()).await;
    relayed.expect("a relay");
    let sender = UdpSocket::bind(any()).await.expect("a socket");
    let mut buffer = [0; 10];
    for (fault, arrives) in [
        (PathFault::None, true),
        (PathFault::Delay(20), true),
        (PathFault::Silence, false),
        (PathFault::Reset, false),
        (PathFault::None, true),
    ] {
        path.set_fault(fault);
        sender.send_to(b"beat", path.addr).await.expect("sent");
        let patience = if arrives { PATIENCE } else { HELD_BACK_FOR };
        let heard = tokio::time::timeout(patience, target.recv(&mut buffer)).await;
        assert_eq!(heard.is_ok(), arrives, "{fault:?}");
    }
    cancel.cancel();
}
