//! The socket of a caller's connection, which records how far the caller is.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll};

use foxwheel_callers::connections::CallerConnection;
use foxwheel_http1::transport::Transport;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The socket of a caller's connection.
#[derive(Debug)]
pub struct CallerTransport {
    transport: Transport,
    connection: CallerConnection,
}

impl CallerTransport {
    /// Wraps the socket of `connection`.
    pub fn new(transport: Transport, connection: CallerConnection) -> Self {
        Self {
            transport,
            connection,
        }
    }

    fn record_write(&self, written: &Poll<Result<usize>>) {
        match written {
            Poll::Ready(Ok(bytes)) => self.connection.record_sent(*bytes),
            // The connection is closed.
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.connection.record_write_blocked(),
        }
    }
}

impl AsyncRead for CallerTransport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut self.transport).poll_read(cx, buf);
        let received_bytes = buf.filled().len() - filled_before;
        if received_bytes > 0 {
            self.connection.record_received(received_bytes);
        }
        polled
    }
}

impl AsyncWrite for CallerTransport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.transport).poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.transport).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.transport).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.transport).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.transport.is_write_vectored()
    }
}
