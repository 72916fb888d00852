//! How foxwheel's HTTP servers treat idle connections and graceful stops.

use std::time::Duration;

use actix_web::{web, App, HttpResponse};
use foxwheel_core::http::{self, ServerOptions};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: test\r\n\r\n";

fn start(cancel: &CancellationToken, answer_after: Duration) -> std::net::SocketAddr {
    let (addr, server) = http::serve(
        "127.0.0.1:0",
        ServerOptions::default(),
        cancel.clone(),
        move || {
            let answer = move || async move {
                tokio::time::sleep(answer_after).await;
                HttpResponse::Ok().body("answer")
            };
            App::new().route("/", web::get().to(answer))
        },
    )
    .expect("server starts");
    actix_web::rt::spawn(server);
    addr
}

async fn read_answer(stream: &mut TcpStream) -> String {
    let mut answer = String::new();
    let mut buffer = [0; 1024];
    while !answer.ends_with("answer") {
        let n = stream.read(&mut buffer).await.expect("read");
        if n == 0 {
            break;
        }
        answer.push_str(&String::from_utf8_lossy(&buffer[..n]));
    }
    answer
}

#[actix_web::test]
async fn an_idle_connection_outlives_the_pool_of_a_client() {
    let cancel = CancellationToken::new();
    let addr = start(&cancel, Duration::ZERO);
    let mut stream = TcpStream::connect(addr).await.expect("connect");
    for idle_s in [0, 6] {
        tokio::time::sleep(Duration::from_secs(idle_s)).await;
        stream.write_all(REQUEST).await.expect("write");
        let answer = read_answer(&mut stream).await;
        assert!(
            answer.starts_with("HTTP/1.1 200"),
            "after {idle_s} s idle: {answer:?}"
        );
    }
    cancel.cancel();
}

#[actix_web::test]
async fn a_graceful_stop_finishes_what_is_in_flight() {
    let cancel = CancellationToken::new();
    let addr = start(&cancel, Duration::from_millis(500));
    let mut stream = TcpStream::connect(addr).await.expect("connect");
    stream.write_all(REQUEST).await.expect("write");
    tokio::time::sleep(Duration::from_millis(100)).await;
    cancel.cancel();
    let answer = read_answer(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

#[actix_web::test]
async fn a_graceful_stop_does_not_wait_for_idle_connections() {
    let cancel = CancellationToken::new();
    let (addr, server) = http::serve(
        "127.0.0.1:0",
        ServerOptions::default(),
        cancel.clone(),
        || {
            App::new().route(
                "/",
                web::get().to(|| async { HttpResponse::Ok().body("answer") }),
            )
        },
    )
    .expect("server starts");
    let server = actix_web::rt::spawn(server);
    let mut stream = TcpStream::connect(addr).await.expect("connect");
    stream.write_all(REQUEST).await.expect("write");
    read_answer(&mut stream).await;
    cancel.cancel();
    // Far below the shutdown timeout, far above what closing takes.
    let stopped = tokio::time::timeout(Duration::from_secs(15), server).await;
    assert!(stopped.is_ok(), "the stop waited for an idle connection");
}
