//! Callers that send what they are told and keep their connections open, without reading a response.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;

/// A crowd has settled when no caller could send anything for this long.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// How long a crowd is waited for that never settles.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(120);

/// Send buffer of a caller's socket. A crowd that has sent everything would otherwise have left
/// megabytes of each caller to the kernel.
const SEND_BUFFER_BYTES: u32 = 16 * 1024;

/// How often it is checked whether a crowd has settled.
const SETTLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What one caller sends.
#[derive(Debug, Clone)]
pub struct Upload {
    /// The head of the request, or a part of it.
    pub head: String,
    /// Sent `part_count` times after the head.
    pub part: Bytes,
    /// How often `part` is sent.
    pub part_count: usize,
    /// Sent after the last part.
    pub end: Bytes,
    /// Whether the request is complete, so that a response is due. The caller has finished when the
    /// first bytes of it have arrived, which it does not read.
    pub is_complete: bool,
}

impl Upload {
    /// Sends a complete request.
    pub fn complete(request: String) -> Self {
        Self {
            is_complete: true,
            ..Self::head_only(request)
        }
    }

    /// Sends `head` and nothing else.
    pub fn head_only(head: String) -> Self {
        Self {
            head,
            part: Bytes::new(),
            part_count: 0,
            end: Bytes::new(),
            is_complete: false,
        }
    }

    /// Sends `head`, whose body has a length, and `body`.
    pub fn with_length(head: &str, announced_bytes: usize, body: Bytes) -> Self {
        Self {
            head: format!("{head}content-length: {announced_bytes}\r\n\r\n"),
            part: body,
            part_count: 1,
            end: Bytes::new(),
            is_complete: false,
        }
    }

    /// Sends `head` and `chunk_count` chunks of `chunk_bytes`, without the last chunk that would end
    /// the body.
    pub fn in_chunks(head: &str, chunk_bytes: usize, chunk_count: usize) -> Self {
        /// Small chunks are written many at once.
        const WRITE_BYTES: usize = 64 * 1024;
        let filler = "a".repeat(chunk_bytes);
        let chunk = format!("{chunk_bytes:x}\r\n{filler}\r\n");
        let chunks_per_part = (WRITE_BYTES / chunk_bytes).clamp(1, chunk_count);
        Self {
            head: format!("{head}transfer-encoding: chunked\r\n\r\n"),
            part: Bytes::from(chunk.repeat(chunks_per_part)),
            part_count: chunk_count / chunks_per_part,
            end: Bytes::from(chunk.repeat(chunk_count % chunks_per_part)),
            is_complete: false,
        }
    }
}

/// Callers with open connections. Dropping the crowd closes them.
#[derive(Debug)]
pub struct Crowd {
    callers: JoinSet<()>,
    progress: Arc<Progress>,
}

/// Counts the steps that the callers have completed: connections, writes, ends.
#[derive(Debug, Default)]
struct Progress(AtomicUsize);

impl Progress {
    fn record_step(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn steps(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Crowd {
    /// Starts `caller_count` callers that send `upload` to `addr` at the same time.
    pub fn start(addr: SocketAddr, caller_count: usize, upload: Upload) -> Self {
        Self::start_each(addr, vec![upload; caller_count])
    }

    /// Starts a caller for each of `uploads`.
    pub fn start_each(addr: SocketAddr, uploads: Vec<Upload>) -> Self {
        let progress = Arc::new(Progress::default());
        let mut callers = JoinSet::new();
        for upload in uploads {
            let progress = Arc::clone(&progress);
            callers.spawn(async move {
                // An error means that the process refuses or closes the connection, as it may.
                let stream = send(addr, upload, &progress).await;
                progress.record_step();
                if let Ok(stream) = stream {
                    std::future::pending::<()>().await;
                    drop(stream);
                }
            });
        }
        Self { callers, progress }
    }

    /// Waits until no caller goes on: each has finished, has lost its connection, or is blocked.
    pub async fn settle(&self) {
        let started_at = Instant::now();
        let mut last_change = (0, started_at);
        while last_change.1.elapsed() < SETTLE_TIME && started_at.elapsed() < MAX_SETTLE_TIME {
            tokio::time::sleep(SETTLE_CHECK_INTERVAL).await;
            let steps = self.progress.steps();
            if steps != last_change.0 {
                last_change = (steps, Instant::now());
            }
        }
    }

    /// Closes all connections.
    pub async fn leave(mut self) {
        self.callers.shutdown().await;
    }
}

async fn send(addr: SocketAddr, upload: Upload, progress: &Progress) -> std::io::Result<TcpStream> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    let mut stream = socket.connect(addr).await?;
    progress.record_step();
    stream.write_all(upload.head.as_bytes()).await?;
    for _ in 0..upload.part_count {
        let mut unsent = upload.part.clone();
        while !unsent.is_empty() {
            stream.write_buf(&mut unsent).await?;
            progress.record_step();
        }
    }
    stream.write_all(&upload.end).await?;
    progress.record_step();
    if upload.is_complete {
        stream.readable().await?;
    }
    Ok(stream)
}
