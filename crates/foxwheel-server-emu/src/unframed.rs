//! Responses with neither a length nor chunks, whose end is marked only by the end of their
//! connection. hyper's server does not send them to HTTP/1.1 clients, so they are written to the
//! socket directly.

use std::time::Duration;

use foxwheel_platform::online as names;
use hyper::StatusCode;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// How much of the body an unframed response holds. The body of a plain response counts as one event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyPart {
    /// The complete body.
    Complete,
    /// This number of events.
    Events(u64),
    /// This number of events and half of the next one.
    WithinEvent(u64),
    /// This number of events and the next one without its last byte.
    AllButLastByte(u64),
}

/// How the connection of an unframed response ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The server closes it in order.
    Close,
    /// The server resets it.
    Reset,
    /// The process of the server ends, and its connections are closed in order.
    ProcessEnd,
}

/// An unframed response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnframedResponse {
    /// The status.
    pub status: StatusCode,
    /// How much of the body is sent.
    pub part: BodyPart,
    /// How the connection ends after it.
    pub end: ConnectionEnd,
}

impl UnframedResponse {
    /// Returns a response with status 200 and this part of its body.
    pub const fn ok(part: BodyPart, end: ConnectionEnd) -> Self {
        let status = StatusCode::OK;
        Self { status, part, end }
    }

    /// Returns the part of `body` that is sent. Each element of `body` is one event.
    pub(crate) fn cut(self, mut body: Vec<String>) -> Vec<String> {
        let (count, next_bytes): (u64, fn(usize) -> usize) = match self.part {
            BodyPart::Complete => return body,
            BodyPart::Events(count) => (count, |_| 0),
            BodyPart::WithinEvent(count) => (count, |length| length / 2),
            BodyPart::AllButLastByte(count) => (count, |length| length.saturating_sub(1)),
        };
        body.truncate(count as usize + 1);
        if let Some(next) = body.get_mut(count as usize) {
            next.truncate(next_bytes(next.len()));
        }
        body
    }
}

/// A response to write to the socket, and the time between two parts of its body.
#[derive(Debug)]
pub(crate) struct RawResponse {
    pub head: String,
    pub body: Vec<String>,
    pub step_time: Duration,
    pub end: ConnectionEnd,
}

/// Returns the head of a response to a request with this id.
pub(crate) fn head(status: StatusCode, request_id: &str, server: &str, is_stream: bool) -> String {
    let content_type = match is_stream {
        true => "content-type: text/event-stream\r\n",
        false => "",
    };
    format!(
        "HTTP/1.1 {status}\r\n{}: {request_id}\r\n{}: {server}.{request_id}\r\n{content_type}connection: close\r\n\r\n",
        names::REQUEST_ID,
        names::SIGNATURE,
    )
}

/// Writes a response. Returns an error if the client has closed the connection.
pub(crate) async fn write(stream: &mut TcpStream, response: &RawResponse) -> std::io::Result<()> {
    stream.write_all(response.head.as_bytes()).await?;
    for part in &response.body {
        stream.write_all(part.as_bytes()).await?;
        tokio::time::sleep(response.step_time).await;
    }
    Ok(())
}
