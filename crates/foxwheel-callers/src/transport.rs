//! The socket of a connection that a caller opened: a client, the platform or another process. It records
//! how far the caller is, and reads on for a while after a refused body.

use std::future::Future;
use std::io::{Error, IoSlice, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use foxwheel_policy::caller_connections::Activity;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

use crate::connections::{CallerConnection, HeldBytes};

/// Buffer with which the parser of a connection begins. It counts as memory of every connection.
const FIRST_BUFFER_BYTES: usize = 8 * 1024;

/// How long the rest of a refused body is read. If the socket were closed with unread bytes, it would
/// be reset, and the caller could lose the response.
const DISCARD_TIME: Duration = Duration::from_millis(500);

/// How much of a refused body is read.
const MAX_DISCARDED_BYTES: usize = 512 * 1024;

/// Reads the rest of a refused body.
#[derive(Debug)]
struct Discarding {
    timeout: Pin<Box<Sleep>>,
    discarded_bytes: usize,
}

/// Counts the reads of a socket in which bytes arrived. Clones share the same value.
#[derive(Debug, Clone, Default)]
pub struct ReadCount(Arc<AtomicUsize>);

impl ReadCount {
    /// Returns the number of reads.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// The socket of a caller's connection.
#[derive(Debug)]
pub struct CallerTransport<S> {
    socket: S,
    connection: CallerConnection,
    read_count: ReadCount,
    /// What is held for the current head beyond [`FIRST_BUFFER_BYTES`].
    buffer: HeldBytes,
    /// What was received of the current head.
    head_bytes: usize,
    /// Begins when the caller has been told that nothing more is sent.
    discarding: Option<Discarding>,
}

impl<S: AsyncRead + Unpin> CallerTransport<S> {
    /// Wraps the socket of `connection`.
    pub fn new(socket: S, connection: CallerConnection, read_count: ReadCount) -> Self {
        Self {
            socket,
            buffer: connection.hold_nothing(),
            connection,
            read_count,
            head_bytes: 0,
            discarding: None,
        }
    }

    /// Holds the memory of what was received of a head, which stays in the buffer of the parser until it
    /// is complete. Returns an error if there is no room for it, which closes the connection.
    fn hold_head(&mut self, received_bytes: usize) -> Result<()> {
        if self.connection.activity() != Activity::ReadingHead {
            self.head_bytes = 0;
            self.buffer.shrink_to(0);
            return Ok(());
        }
        self.head_bytes += received_bytes;
        let more_bytes = self.head_bytes.saturating_sub(FIRST_BUFFER_BYTES);
        self.buffer.grow_to(more_bytes).map_err(Error::other)
    }

    /// Reads what still arrives, until the caller closes the connection or a limit is reached.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let discarding = self.discarding.get_or_insert_with(|| Discarding {
            timeout: Box::pin(tokio::time::sleep(DISCARD_TIME)),
            discarded_bytes: 0,
        });
        let mut scratch = [0; 4 * 1024];
        while discarding.discarded_bytes < MAX_DISCARDED_BYTES
            && discarding.timeout.as_mut().poll(cx).is_pending()
        {
            let mut buffer = ReadBuf::new(&mut scratch);
            let read = ready!(Pin::new(&mut self.socket).poll_read(cx, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                break;
            }
            discarding.discarded_bytes += buffer.filled().len();
        }
        Poll::Ready(())
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

impl<S: AsyncRead + Unpin> AsyncRead for CallerTransport<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut self.socket).poll_read(cx, buf);
        let received_bytes = buf.filled().len() - filled_before;
        if received_bytes > 0 {
            self.read_count.increment();
            self.connection.record_received(received_bytes);
            self.hold_head(received_bytes)?;
        }
        polled
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for CallerTransport<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        if self.discarding.is_none() {
            ready!(Pin::new(&mut self.socket).poll_shutdown(cx))?;
        }
        if self.connection.activity() == Activity::Discarding {
            ready!(self.poll_discard(cx));
        }
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
