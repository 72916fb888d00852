//! Calls to a process that takes connections and never responds.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use foxwheel_node::peer_calls::PeerCalls;
use futures::stream::FuturesUnordered;
use futures::StreamExt;
use tokio::net::TcpListener;

const CALLS: usize = 64;

/// Starts a process that never responds, and counts the connections to it.
async fn start_silent_peer() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let addr = listener.local_addr().expect("an address");
    let connections = Arc::new(AtomicUsize::new(0));
    let accepted = Arc::clone(&connections);
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            accepted.fetch_add(1, Ordering::Relaxed);
            open.push(stream);
        }
    });
    (addr, connections)
}

/// Each call opened a connection of its own while there was none.
#[actix_web::test]
async fn calls_at_once_open_a_connection_each() {
    let (addr, connections) = start_silent_peer().await;
    let calls = PeerCalls::default();
    let calling = (0..CALLS).map(|_| calls.send_ended_job(addr, "job".to_owned()));
    let responses = calling.collect::<FuturesUnordered<_>>();
    let failed = responses.filter(|response| std::future::ready(response.is_err()));
    assert_eq!(failed.count().await, CALLS);
    assert_eq!(connections.load(Ordering::Relaxed), 1);
    assert!(calls.has_failed_recently(addr, std::time::Instant::now()));
}

/// An address that refuses connections is tried again by the next call.
#[actix_web::test]
async fn a_failed_connection_is_kept() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("an address");
    let addr = listener.local_addr().expect("an address");
    drop(listener);
    let calls = PeerCalls::default();
    let refused = calls.send_ended_job(addr, "job".to_owned()).await;
    assert!(refused.expect_err("nothing listens").is_not_sent());
    let listener = TcpListener::bind(addr).await.expect("the address is free");
    let (accepted, failed) = tokio::join!(
        listener.accept(),
        calls.send_ended_job(addr, "job".to_owned())
    );
    accepted.expect("a connection");
    assert!(!failed.expect_err("no response").is_not_sent());
}
