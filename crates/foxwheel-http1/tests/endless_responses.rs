//! Peers that send bytes without end instead of a response, until the connection is closed.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use foxwheel_http1::connection::{AbandonAction, ConnectOptions, Connection, RequestBody};
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

const OPTIONS: ConnectOptions = ConnectOptions {
    connect_timeout: Duration::from_secs(5),
    unacknowledged_timeout: Duration::from_secs(5),
    on_abandon: AbandonAction::Reset,
    socket_buffer_bytes: None,
};

/// Much longer than reading as many bytes as any limit allows takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// More than any limit on what is read, and than the buffers of the sockets.
const MAX_ACCEPTED_BYTES: usize = 64 * 1024 * 1024;

const BODY_LIMIT_BYTES: usize = 1024 * 1024;

/// Starts a peer that responds to one request with `start` and then `filler` again and again. The task
/// ends when the connection does, with the number of bytes that were accepted.
async fn start_endless_peer(
    start: &'static str,
    filler: &'static str,
) -> (SocketAddr, JoinHandle<usize>) {
    let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    let listener = TcpListener::bind(any).await.expect("an address");
    let addr = listener.local_addr().expect("an address");
    let sending = tokio::spawn(async move {
        let (mut peer, _) = listener.accept().await.expect("accepted");
        read_request_head(&mut peer).await;
        let block = filler.repeat(16 * 1024 / filler.len() + 1);
        let mut accepted_bytes = 0;
        let mut next = start.as_bytes();
        while accepted_bytes < MAX_ACCEPTED_BYTES && peer.write_all(next).await.is_ok() {
            accepted_bytes += next.len();
            next = block.as_bytes();
        }
        accepted_bytes
    });
    (addr, sending)
}

async fn read_request_head(peer: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(peer.read_u8().await.expect("a byte"));
    }
}

/// Sends a request and reads the response. Returns the error text, and checks that the connection is
/// closed soon.
async fn read_endless(start: &'static str, filler: &'static str) -> String {
    let (addr, sending) = start_endless_peer(start, filler).await;
    let mut connection = Connection::open(addr, OPTIONS).await.expect("connected");
    let request = Request::post("/a").header("host", "h");
    let request = request.body(RequestBody::default()).expect("a request");
    let reading = async {
        match connection.send(request).await {
            Ok(response) => {
                let read = response.into_body().read_to_end(BODY_LIMIT_BYTES).await;
                read.err().map(|e| e.to_string())
            }
            Err(e) => Some(e.to_string()),
        }
    };
    let read = tokio::time::timeout(WAIT_TIMEOUT, reading).await;
    let error = read.expect("the read ends").expect("no whole response");
    drop(connection);
    let sent = tokio::time::timeout(WAIT_TIMEOUT, sending).await;
    let accepted_bytes = sent.expect("the connection ends").expect("sent");
    assert!(
        accepted_bytes < MAX_ACCEPTED_BYTES,
        "{accepted_bytes} bytes"
    );
    error
}

#[tokio::test]
async fn endless_head_is_read() {
    for (start, filler) in [
        ("", "no head at all "),
        ("HTTP/1.1 200 OK\r\nx-a: ", "aaaaaaaa"),
        ("HTTP/1.1 200 OK\r\n", "x-a: b\r\n"),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("", "\r\n"),
    ] {
        let error = read_endless(start, filler).await;
        assert!(error.contains("no whole answer"), "{start:?}: {error}");
    }
}

#[tokio::test]
async fn endless_body_is_read() {
    for (start, filler) in [
        ("HTTP/1.1 200 OK\r\n\r\n", "body "),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
            "body ",
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            "4\r\nbody\r\n",
        ),
    ] {
        let error = read_endless(start, filler).await;
        assert!(error.contains("larger than"), "{start:?}: {error}");
    }
}

/// What surrounds the data of a body has no end.
#[tokio::test]
async fn endless_chunk_extension_or_trailer_is_read() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;a=";
    const TRAILER: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx-a: ";
    for start in [HEAD, TRAILER] {
        read_endless(start, "aaaaaaaa").await;
    }
}

/// One event has no end, and a comment neither.
#[tokio::test]
async fn endless_event_is_read() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
    for filler in ["data: a\n", "data", ": comment\n"] {
        let error = read_endless(HEAD, filler).await;
        assert!(error.contains("event of more than"), "{filler}: {error}");
    }
}
