//! A server that writes the same bytes to every request, also bytes that are no complete response.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// A running server. It stops with the runtime that it was started on.
#[derive(Debug)]
pub struct ScriptedServer {
    /// The address that the server listens on.
    pub addr: SocketAddr,
    /// Number of requests that the server has read.
    pub request_count: Arc<AtomicU64>,
    /// Number of connections on which the server has read a request.
    pub connection_count: Arc<AtomicU64>,
}

/// What the server does with a connection after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterResponse {
    /// It closes the connection.
    Close,
    /// It waits for the next request.
    KeepOpen,
}

/// Starts a server on loopback that writes `response` to every request. Returns an error if no port
/// can be bound.
pub async fn start(
    response: impl Into<Arc<str>>,
    after_response: AfterResponse,
) -> std::io::Result<ScriptedServer> {
    let response = response.into();
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let server = ScriptedServer {
        addr: listener.local_addr()?,
        request_count: Arc::default(),
        connection_count: Arc::default(),
    };
    let request_count = Arc::clone(&server.request_count);
    let connection_count = Arc::clone(&server.connection_count);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut stream = BufReader::new(stream);
            let response = Arc::clone(&response);
            let request_count = Arc::clone(&request_count);
            let connection_count = Arc::clone(&connection_count);
            tokio::spawn(async move {
                let mut is_first = true;
                // An error means that the client has closed the connection.
                while read_request(&mut stream).await.is_ok() {
                    request_count.fetch_add(1, Ordering::SeqCst);
                    connection_count.fetch_add(u64::from(is_first), Ordering::SeqCst);
                    is_first = false;
                    let written = stream.get_mut().write_all(response.as_bytes()).await;
                    if written.is_err() || after_response == AfterResponse::Close {
                        break;
                    }
                }
            });
        }
    });
    Ok(server)
}

/// Reads a request with a length, or without a body, to its end: a connection that is closed with
/// unread bytes is reset.
async fn read_request(stream: &mut BufReader<TcpStream>) -> std::io::Result<()> {
    let mut body_bytes = 0;
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                let length: Result<u64, _> = value.trim().parse();
                body_bytes = length.map_err(std::io::Error::other)?;
            }
            None if line.trim_end().is_empty() => break,
            Some(_) | None => {}
        }
    }
    let mut body = vec![0; body_bytes as usize];
    stream.read_exact(&mut body).await.map(|_| ())
}
