//! Tests how `http::serve` handles idle connections and graceful stops.

use std::time::Duration;

use actix_web::{web, App, HttpResponse};
use foxwheel_core::http::{self, ServerOptions};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: test\r\n\r\n";

/// Starts a server that responds to each request after `response_delay`.
fn start_server(cancel: &CancellationToken, response_delay: Duration) -> std::net::SocketAddr {
    let (addr, server) = http::serve(
        "127.0.0.1:0",
        ServerOptions::default(),
        cancel.clone(),
        move || {
            let respond = move || async move {
                tokio::time::sleep(response_delay).await;
                HttpResponse::Ok().body("response")
            };
            App::new().route("/", web::get().to(respond))
        },
    )
    .expect("server starts");
    actix_web::rt::spawn(server);
    addr
}

/// Reads from `stream` until the response is complete or the connection is closed.
async fn read_response(stream: &mut TcpStream) -> String {
    let mut response = String::new();
    let mut buffer = [0; 1024];
    while !response.ends_with("response") {
        let read_bytes = stream.read(&mut buffer).await.expect("read");
        if read_bytes == 0 {
            break;
        }
        response.push_str(&String::from_utf8_lossy(&buffer[..read_bytes]));
    }
    response
}

#[actix_web::test]
async fn server_keeps_idle_connection_open() {
    let cancel = CancellationToken::new();
    let addr = start_server(&cancel, Duration::ZERO);
    let mut stream = TcpStream::connect(addr).await.expect("connect");
    // The default of actix-web would close the connection after 5 s.
    for idle_s in [0, 6] {
        tokio::time::sleep(Duration::from_secs(idle_s)).await;
        stream.write_all(REQUEST).await.expect("write");
        let response = read_response(&mut stream).await;
        assert!(
            response.starts_with("HTTP/1.1 200"),
            "after {idle_s} s idle: {response:?}"
        );
    }
    cancel.cancel();
}

#[actix_web::test]
async fn graceful_stop_finishes_requests_in_flight() {
    let cancel = CancellationToken::new();
    let addr = start_server(&cancel, Duration::from_millis(500));
    let mut stream = TcpStream::connect(addr).await.expect("connect");
    stream.write_all(REQUEST).await.expect("write");
    tokio::time::sleep(Duration::from_millis(100)).await;
    cancel.cancel();
    let response = read_response(&mut stream).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
}

#[actix_web::test]
async fn graceful_stop_does_not_wait_for_idle_connections() {
    let cancel = CancellationToken::new();
    let (addr, server) = http::serve(
        "127.0.0.1:0",
        ServerOptions::default(),
        cancel.clone(),
        || {
            App::new().route(
                "/",
                web::get().to(|| async { HttpResponse::Ok().body("response") }),
            )
        },
    )
    .expect("server starts");
    let server = actix_web::rt::spawn(server);
    let mut stream = TcpStream::connect(addr).await.expect("connect");
    stream.write_all(REQUEST).await.expect("write");
    read_response(&mut stream).await;
    cancel.cancel();
    // Far shorter than the shutdown timeout (30 s) and far longer than it takes to close an idle
    // connection.
    let stopped = tokio::time::timeout(Duration::from_secs(15), server).await;
    assert!(stopped.is_ok(), "the stop waited for an idle connection");
}
