//! How connections end, as the peer sees it.

use std::io::ErrorKind;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use foxwheel_http1::connection::{AbandonAction, ConnectOptions, Connection, RequestBody};
use http_body_util::BodyExt;
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const OPTIONS: ConnectOptions = ConnectOptions {
    connect_timeout: Duration::from_secs(5),
    unacknowledged_timeout: Duration::from_secs(5),
    on_abandon: AbandonAction::Reset,
};

/// A connection and the peer's end of it.
async fn connected() -> (Connection, TcpStream) {
    let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    let listener = TcpListener::bind(any).await.expect("an address");
    let addr = listener.local_addr().expect("an address");
    let connection = Connection::open(addr, OPTIONS).await.expect("connected");
    let (peer, _) = listener.accept().await.expect("accepted");
    (connection, peer)
}

fn request() -> Request<RequestBody> {
    let request = Request::post("/a").header("host", "h");
    request.body(RequestBody::default()).expect("a request")
}

/// Reads the head of a request.
async fn read_head(peer: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(peer.read_u8().await.expect("a byte"));
    }
}

/// How the peer sees the connection end: none if it was closed in order.
async fn end_seen(peer: &mut TcpStream) -> Option<ErrorKind> {
    peer.read_u8().await.err().map(|e| e.kind())
}

#[tokio::test]
async fn an_exchange_that_is_given_up_unanswered_is_reset() {
    let (mut connection, mut peer) = connected().await;
    let sending = connection.send(request());
    let read = async {
        tokio::select! {
            _ = sending => panic!("nobody answered"),
            () = read_head(&mut peer) => {}
        }
    };
    read.await;
    drop(connection);
    assert_eq!(end_seen(&mut peer).await, Some(ErrorKind::ConnectionReset));
}

#[tokio::test]
async fn a_connection_whose_exchange_was_answered_is_closed_in_order() {
    let (mut connection, mut peer) = connected().await;
    let (answer, ()) = tokio::join!(connection.send(request()), async {
        read_head(&mut peer).await;
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        peer.write_all(answer).await.expect("written");
    });
    let body = answer.expect("an answer").into_body().collect().await;
    assert_eq!(body.expect("a body").to_bytes(), "ok");
    drop(connection);
    assert_eq!(end_seen(&mut peer).await, Some(ErrorKind::UnexpectedEof));
}
