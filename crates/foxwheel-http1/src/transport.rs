//! A socket that can be reset when it is dropped, instead of closed in order, and from which a limited
//! number of bytes can be read.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a socket is reset when it is dropped. Clones share the same value.
#[derive(Debug, Clone, Default)]
pub struct ResetOnDrop(Arc<AtomicBool>);

impl ResetOnDrop {
    /// Sets whether the socket is reset.
    pub fn set(&self, reset: bool) {
        self.0.store(reset, Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// The number of bytes that may still be read from a socket. Clones share the same value.
#[derive(Debug, Clone)]
pub struct ReadAllowance(Arc<AtomicUsize>);

impl Default for ReadAllowance {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }
}

impl ReadAllowance {
    /// Allows `bytes` from now on.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Allows any number of bytes.
    pub fn lift(&self) {
        self.set(usize::MAX);
    }

    /// Uses up `bytes`. Returns an error if fewer are left.
    fn use_up(&self, bytes: usize) -> Result<()> {
        let left = self.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return Ok(());
        }
        let Some(left) = left.checked_sub(bytes) else {
            return Err(Error::new(
                ErrorKind::InvalidData,
                "the peer sent too many bytes before the end of the head",
            ));
        };
        self.0.store(left, Ordering::Relaxed);
        Ok(())
    }
}

/// Whether the peer takes no more of what is being written. Clones share the same value.
#[derive(Debug, Clone, Default)]
pub struct WriteBlocked(Arc<AtomicBool>);

impl WriteBlocked {
    /// Returns whether the last write found no space.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn record(&self, written: &Poll<Result<usize>>) {
        self.0.store(written.is_pending(), Ordering::Relaxed);
    }
}

/// A socket that is reset if it is dropped while its [`ResetOnDrop`] is set, and closed in order
/// otherwise.
#[derive(Debug)]
pub struct Transport {
    stream: TcpStream,
    reset_on_drop: ResetOnDrop,
    read_allowance: ReadAllowance,
    write_blocked: WriteBlocked,
}

impl Transport {
    /// Wraps `stream`.
    pub fn new(stream: TcpStream, reset_on_drop: ResetOnDrop) -> Self {
        Self {
            stream,
            reset_on_drop,
            read_allowance: ReadAllowance::default(),
            write_blocked: WriteBlocked::default(),
        }
    }

    /// Returns whether the peer takes no more of what is being written.
    pub fn write_blocked(&self) -> WriteBlocked {
        self.write_blocked.clone()
    }

    /// Limits what is read to `read_allowance`.
    pub fn with_read_allowance(mut self, read_allowance: ReadAllowance) -> Self {
        self.read_allowance = read_allowance;
        self
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        if self.reset_on_drop.is_set() {
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
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read_bytes = buf.filled().len() - filled_before;
        match polled {
            Poll::Ready(Ok(())) => Poll::Ready(self.read_allowance.use_up(read_bytes)),
            unread => unread,
        }
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.write_blocked.record(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        if self.reset_on_drop.is_set() {
            // The peer would take a shutdown for the end of a complete message.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.write_blocked.record(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
