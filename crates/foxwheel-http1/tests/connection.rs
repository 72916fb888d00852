//! How the peer sees the end of a connection: as a reset or as a close in order.

use std::io::ErrorKind;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use foxwheel_http1::body::BodyError;
use foxwheel_http1::connection::{
    AbandonAction, ConnectOptions, Connection, ExchangeError, RequestBody,
};
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const OPTIONS: ConnectOptions = ConnectOptions {
    connect_timeout: Duration::from_secs(5),
    unacknowledged_timeout: Duration::from_secs(5),
    on_abandon: AbandonAction::Reset,
    socket_buffer_bytes: None,
};

/// Opens a connection and returns it with the peer's end of it.
async fn open_connection() -> (Connection, TcpStream) {
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

/// Reads the head of a request at the peer.
async fn read_request_head(peer: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(peer.read_u8().await.expect("a byte"));
    }
}

/// Waits until the connection ends and returns the error that the peer gets.
async fn read_end_error(peer: &mut TcpStream) -> Option<ErrorKind> {
    peer.read_u8().await.err().map(|e| e.kind())
}

#[tokio::test]
async fn connection_is_reset_if_dropped_before_the_response() {
    let (mut connection, mut peer) = open_connection().await;
    let sending = connection.send(request());
    let read = async {
        tokio::select! {
            _ = sending => panic!("the peer sent no response"),
            () = read_request_head(&mut peer) => {}
        }
    };
    read.await;
    drop(connection);
    assert_eq!(
        read_end_error(&mut peer).await,
        Some(ErrorKind::ConnectionReset)
    );
}

#[tokio::test]
async fn connection_is_closed_in_order_if_dropped_after_the_response() {
    let (mut connection, mut peer) = open_connection().await;
    let (response, ()) = tokio::join!(connection.send(request()), async {
        read_request_head(&mut peer).await;
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        peer.write_all(response).await.expect("written");
    });
    let body = response
        .expect("a response")
        .into_body()
        .read_to_end(1024)
        .await;
    assert_eq!(body.expect("a body"), "ok");
    drop(connection);
    assert_eq!(
        read_end_error(&mut peer).await,
        Some(ErrorKind::UnexpectedEof)
    );
}

/// The end of the connection looked like that of a body without a length.
#[tokio::test]
async fn response_that_ends_during_the_upload_is_complete() {
    const BODY_BYTES: usize = 4 * 1024 * 1024;
    let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    let listener = TcpListener::bind(any).await.expect("an address");
    let addr = listener.local_addr().expect("an address");
    let options = ConnectOptions {
        socket_buffer_bytes: Some(32 * 1024),
        ..OPTIONS
    };
    let mut connection = Connection::open(addr, options).await.expect("connected");
    let (mut peer, _) = listener.accept().await.expect("accepted");
    let request = Request::post("/a").header("host", "h");
    let body = RequestBody::from(vec![b'a'; BODY_BYTES]);
    let request = request.body(body).expect("a request");
    let (response, ()) = tokio::join!(connection.send(request), async {
        read_request_head(&mut peer).await;
        peer.write_all(b"HTTP/1.1 200 OK\r\n\r\npart")
            .await
            .expect("written");
        peer.shutdown().await.expect("closed");
    });
    let body = response.expect("a response").into_body();
    let read = { body }.read_to_end(1024).await;
    assert!(
        matches!(read, Err(BodyError::EndedDuringUpload { .. })),
        "{read:?}"
    );
}

/// Statuses that the protocol does not have, or that only precede a response, were returned.
#[tokio::test]
async fn status_that_does_not_exist_is_returned() {
    for status in ["101", "600", "999"] {
        let (mut connection, mut peer) = open_connection().await;
        let (response, ()) = tokio::join!(connection.send(request()), async {
            read_request_head(&mut peer).await;
            let response = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 2\r\n\r\nok");
            peer.write_all(response.as_bytes()).await.expect("written");
        });
        let error = response.expect_err("no response");
        assert!(
            matches!(error, ExchangeError::InvalidStatus { .. }),
            "{error}"
        );
        assert!(!error.is_not_sent(), "{status}");
    }
}
