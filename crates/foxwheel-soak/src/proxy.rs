//! Loopback paths that can be broken: a TCP proxy and a UDP relay.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// What a path does to what goes over it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PathFault {
    /// Nothing.
    #[default]
    None,
    /// Everything arrives this many milliseconds later.
    Delay(u64),
    /// Connections break, new ones too.
    Reset,
    /// Nothing arrives, in either direction, until the fault ends.
    Silence,
    /// What goes towards the target arrives; what comes back does not until the fault ends.
    OneWay,
    /// A few bytes arrive at a time.
    Drip,
    /// The connection breaks after this many bytes of answers.
    CutAfter(usize),
}

/// Bytes of one drip, and the pause after it.
const DRIP_BYTES: usize = 64;
const DRIP_PAUSE: Duration = Duration::from_millis(2);

/// Bytes read at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// One path: whatever reaches `addr` is passed on to its target.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    /// Where the path begins.
    pub addr: SocketAddr,
    fault: watch::Sender<PathFault>,
    refusals: Arc<Mutex<Vec<Instant>>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl FaultProxy {
    /// Opens a TCP path from `addr` (port 0: any) to `target`. Cancelling `cancel` closes it:
    /// connections to it are refused then.
    pub async fn open(
        addr: SocketAddr,
        target: SocketAddr,
        cancel: CancellationToken,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let path = Self {
            addr: listener.local_addr()?,
            fault: watch::channel(PathFault::None).0,
            refusals: Arc::default(),
        };
        let fault = path.fault.subscribe();
        let refusals = Arc::clone(&path.refusals);
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    () = cancel.cancelled() => return,
                    accepted = listener.accept() => accepted,
                };
                let Ok((near, _)) = accepted else { continue };
                let (fault, cancel) = (fault.clone(), cancel.clone());
                let refusals = Arc::clone(&refusals);
                tokio::spawn(async move {
                    let passed = tokio::select! {
                        () = cancel.cancelled() => return,
                        passed = pass(near, target, fault) => passed,
                    };
                    if passed.is_err() {
                        refusals
                            .lock()
                            .expect("the refusals' lock")
                            .push(Instant::now());
                    }
                });
            }
        });
        Ok(path)
    }

    /// Passes datagrams on too, under the same faults.
    pub async fn relay_datagrams(
        &self,
        target: SocketAddr,
        cancel: CancellationToken,
    ) -> std::io::Result<()> {
        let near = UdpSocket::bind(self.addr).await?;
        let far = Arc::new(UdpSocket::bind((target.ip(), 0)).await?);
        let fault = self.fault.subscribe();
        tokio::spawn(async move {
            let mut buffer = vec![0; usize::from(u16::MAX)];
            loop {
                let received = tokio::select! {
                    () = cancel.cancelled() => return,
                    received = near.recv_from(&mut buffer) => received,
                };
                let Ok((length, _)) = received else { continue };
                let delay = match *fault.borrow() {
                    PathFault::Delay(ms) => Duration::from_millis(ms),
                    // Towards the target a one-way path is whole.
                    PathFault::None | PathFault::OneWay => Duration::ZERO,
                    _ => continue,
                };
                let (far, datagram) = (far.clone(), buffer[..length].to_vec());
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    // A process that is down loses what is sent to it.
                    let _ = far.send_to(&datagram, target).await;
                });
            }
        });
        Ok(())
    }

    /// When the target refused connections that the path had already taken.
    pub fn refusals(&self) -> Vec<Instant> {
        self.refusals.lock().expect("the refusals' lock").clone()
    }

    /// Sets what the path does from now on.
    pub fn set_fault(&self, fault: PathFault) {
        self.fault.send_replace(fault);
    }

    /// Breaks open connections and closes new ones at once.
    pub fn reset_connections(&self) {
        self.set_fault(PathFault::Reset);
    }

    /// Makes it whole again.
    pub fn clear_fault(&self) {
        self.set_fault(PathFault::None);
    }
}

/// Passes one connection on until it ends; an error if the target refused it.
async fn pass(
    near: TcpStream,
    target: SocketAddr,
    fault: watch::Receiver<PathFault>,
) -> std::io::Result<()> {
    if *fault.borrow() == PathFault::Reset {
        reset(&near);
        return Ok(());
    }
    let far = TcpStream::connect(target).await;
    let far = far.inspect_err(|_| reset(&near))?;
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let mut broken = fault.clone();
    let there = copy(near_in, far_out, Direction::ToTarget, fault.clone());
    let back = copy(far_in, near_out, Direction::FromTarget, fault.clone());
    let copied = async { tokio::try_join!(there, back) };
    tokio::select! {
        // Either side may hang up, and takes the other with it.
        _ = copied => {}
        // The sender ends with the path.
        _ = broken.wait_for(|fault| *fault == PathFault::Reset) => {}
    }
    Ok(())
}

/// The connection cannot go on.
struct Broken;

/// Closes a connection so that its peer sees it break.
fn reset(stream: &TcpStream) {
    // A peer that is gone already sees nothing.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Whether the peer of a connection reset it.
fn was_reset(stream: &TcpStream) -> bool {
    !matches!(stream.take_error(), Ok(None))
}

/// Copies one direction until it ends; the other may go on, as after a half-close.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut fault: watch::Receiver<PathFault>,
) -> Result<(), Broken> {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut answered = 0;
    loop {
        let length = from.read(&mut buffer).await.map_err(|_| Broken)?;
        if length == 0 {
            return to.shutdown().await.map_err(|_| Broken);
        }
        let holds_back = |fault: &PathFault| match fault {
            PathFault::Silence => true,
            PathFault::OneWay => direction == Direction::FromTarget,
            _ => false,
        };
        let held_back = holds_back(&fault.borrow());
        let passes = fault.wait_for(|fault| !holds_back(fault)).await;
        let now = *passes.map_err(|_| Broken)?;
        if held_back && was_reset(from.as_ref()) {
            // What did not arrive is the sender's to send again, and it dropped it.
            return Err(Broken);
        }
        let mut piece = &buffer[..length];
        match now {
            PathFault::Delay(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            PathFault::CutAfter(bytes) if direction == Direction::FromTarget => {
                let left = bytes.saturating_sub(answered);
                piece = &piece[..left.min(length)];
            }
            _ => {}
        }
        answered += piece.len();
        let written = match now {
            PathFault::Drip => drip(&mut to, piece).await,
            _ => to.write_all(piece).await,
        };
        written.map_err(|_| Broken)?;
        if piece.len() < length {
            reset(to.as_ref());
            return Err(Broken);
        }
    }
}

async fn drip(to: &mut OwnedWriteHalf, bytes: &[u8]) -> std::io::Result<()> {
    for drop in bytes.chunks(DRIP_BYTES) {
        to.write_all(drop).await?;
        tokio::time::sleep(DRIP_PAUSE).await;
    }
    Ok(())
}
