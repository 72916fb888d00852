//! A connection on which a response can arrive twice. The second copy is sent late: right before the
//! response to the next request.

use std::io::Result;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether the response that is being written is sent again. Clones share the same value.
#[derive(Debug, Clone, Default)]
pub struct RepeatResponse(Arc<AtomicBool>);

impl RepeatResponse {
    /// Sets that the response to the current request is sent again.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// The server's end of a connection.
#[derive(Debug)]
pub struct RepeatingStream {
    stream: TcpStream,
    repeat_response: RepeatResponse,
    /// What was written since the last request, if it is sent again.
    recorded: Vec<u8>,
    /// The rest of the copy, which is written before the next response.
    copy: Vec<u8>,
}

impl RepeatingStream {
    /// Wraps the server's end of a connection. Responses are sent again as `repeat_response` says.
    pub fn new(stream: TcpStream, repeat_response: RepeatResponse) -> Self {
        Self {
            stream,
            repeat_response,
            recorded: Vec::new(),
            copy: Vec::new(),
        }
    }

    /// Returns the connection, on which no copy is sent any more.
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }

    fn poll_write_copy(&mut self, cx: &mut Context<'_>) -> Poll<Result<()>> {
        while !self.copy.is_empty() {
            let written = ready!(Pin::new(&mut self.stream).poll_write(cx, &self.copy))?;
            self.copy.drain(..written);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for RepeatingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() > filled_before && !self.recorded.is_empty() {
            self.repeat_response.0.store(false, Ordering::Relaxed);
            self.copy = std::mem::take(&mut self.recorded);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RepeatingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        ready!(self.poll_write_copy(cx))?;
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        if self.repeat_response.0.load(Ordering::Relaxed) {
            self.recorded.extend_from_slice(&buf[..written]);
        }
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
