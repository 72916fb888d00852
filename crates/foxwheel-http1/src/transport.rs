//! The socket of a client connection, which takes back what was not delivered.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a request was sent that is to be taken back as long as no answer has come to it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Unanswered(Arc<AtomicBool>);

impl Unanswered {
    pub(crate) fn set(&self, unanswered: bool) {
        self.0.store(unanswered, Ordering::Relaxed);
    }
}

/// A socket that is reset when it is dropped while a request is unanswered. Closed in order,
/// the kernel would go on delivering the request, for as long as it retransmits.
///
/// An answered request was delivered; its connection is closed in order, as the peer may miss
/// a reset and would go on working.
#[derive(Debug)]
pub(crate) struct Transport {
    stream: TcpStream,
    unanswered: Unanswered,
}

impl Transport {
    pub(crate) fn new(stream: TcpStream, unanswered: Unanswered) -> Self {
        Self { stream, unanswered }
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        if self.unanswered.0.load(Ordering::Relaxed) {
            // It fails only on a socket that is closed already, which delivers nothing.
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
        if self.unanswered.0.load(Ordering::Relaxed) {
            // The end of the stream would be delivered behind the request.
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
