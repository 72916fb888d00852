//! Socket of a client connection that can discard a request which was not delivered yet.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a request was sent and its response has not come yet, on a connection that is reset
/// when such an exchange is dropped. Shared between the connection and its transport.
#[derive(Debug, Clone, Default)]
pub(crate) struct AwaitsResponse(Arc<AtomicBool>);

impl AwaitsResponse {
    pub(crate) fn set(&self, awaits_response: bool) {
        self.0.store(awaits_response, Ordering::Relaxed);
    }
}

/// A socket that is reset if it is dropped while a request awaits its response. If it were closed
/// in order, the kernel would still deliver the request, for as long as it retransmits.
///
/// Once the response has come, the request was delivered, and the socket is closed in order: the
/// peer could miss a reset and would go on working on the request.
#[derive(Debug)]
pub(crate) struct Transport {
    stream: TcpStream,
    awaits_response: AwaitsResponse,
}

impl Transport {
    pub(crate) fn new(stream: TcpStream, awaits_response: AwaitsResponse) -> Self {
        Self {
            stream,
            awaits_response,
        }
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        if self.awaits_response.0.load(Ordering::Relaxed) {
            // This fails only for a socket that is closed already, which delivers nothing more.
            let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        if self.awaits_response.0.load(Ordering::Relaxed) {
            // A shutdown would deliver the end of the stream after the request; the socket is reset
            // instead.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
