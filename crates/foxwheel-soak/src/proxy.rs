//! Proxies that inject network faults into a loopback path: a TCP proxy and a UDP relay.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Fault of a network path. Plan files and logs write the names of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PathFault {
    /// No fault.
    #[default]
    None,
    /// All data arrives this many milliseconds later.
    Delay(u64),
    /// Open connections are reset, and so are new ones.
    Reset,
    /// No data arrives in either direction until the fault ends.
    Silence,
    /// Data to the target arrives. Data from the target does not arrive until the fault ends.
    OneWay,
    /// Data arrives in pieces of a few bytes.
    Drip,
    /// A connection is reset after this many bytes from the target.
    CutAfter(usize),
}

/// Size of the pieces into which [`PathFault::Drip`] splits data.
const DRIP_BYTES: usize = 64;
/// Pause after each of these pieces.
const DRIP_PAUSE: Duration = Duration::from_millis(2);

/// Size of the buffer for reads.
const BUFFER_BYTES: usize = 16 * 1024;

/// A proxy that forwards everything received at `addr` to its target.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    /// Address of the proxy.
    pub addr: SocketAddr,
    fault: watch::Sender<PathFault>,
    refusal_times: Arc<Mutex<Vec<Instant>>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl FaultProxy {
    /// Opens a TCP proxy that listens on `addr`, on a free port if the port is 0, and forwards to
    /// `target`. Cancelling `cancel` resets its connections and refuses new ones.
    pub async fn open(
        addr: SocketAddr,
        target: SocketAddr,
        cancel: CancellationToken,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let proxy = Self {
            addr: listener.local_addr()?,
            fault: watch::channel(PathFault::None).0,
            refusal_times: Arc::default(),
        };
        let fault = proxy.fault.subscribe();
        let refusal_times = Arc::clone(&proxy.refusal_times);
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    () = cancel.cancelled() => return,
                    accepted = listener.accept() => accepted,
                };
                let Ok((client, _)) = accepted else { continue };
                let (fault, cancel) = (fault.clone(), cancel.clone());
                let refusal_times = Arc::clone(&refusal_times);
                tokio::spawn(async move {
                    if forward_connection(client, target, fault, cancel)
                        .await
                        .is_err()
                    {
                        refusal_times
                            .lock()
                            .expect("the lock of the refusal times")
                            .push(Instant::now());
                    }
                });
            }
        });
        Ok(proxy)
    }

    /// Also relays UDP datagrams from `addr` to `target`, under the same faults.
    pub async fn relay_datagrams(
        &self,
        target: SocketAddr,
        cancel: CancellationToken,
    ) -> std::io::Result<()> {
        let client_socket = UdpSocket::bind(self.addr).await?;
        let target_socket = Arc::new(UdpSocket::bind((target.ip(), 0)).await?);
        let fault = self.fault.subscribe();
        tokio::spawn(async move {
            let mut buffer = vec![0; usize::from(u16::MAX)];
            loop {
                let received = tokio::select! {
                    () = cancel.cancelled() => return,
                    received = client_socket.recv_from(&mut buffer) => received,
                };
                let Ok((length, _)) = received else { continue };
                let delay = match *fault.borrow() {
                    PathFault::Delay(ms) => Duration::from_millis(ms),
                    // A one-way fault only affects data from the target.
                    PathFault::None | PathFault::OneWay => Duration::ZERO,
                    _ => continue,
                };
                let (target_socket, datagram) = (target_socket.clone(), buffer[..length].to_vec());
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    // A datagram to a process that is down is lost.
                    let _ = target_socket.send_to(&datagram, target).await;
                });
            }
        });
        Ok(())
    }

    /// Returns when the target refused a connection that the proxy had already accepted.
    pub fn refusal_times(&self) -> Vec<Instant> {
        self.refusal_times
            .lock()
            .expect("the lock of the refusal times")
            .clone()
    }

    /// Sets the fault of the path.
    pub fn set_fault(&self, fault: PathFault) {
        self.fault.send_replace(fault);
    }

    /// Resets open connections and all new ones, until the fault is changed.
    pub fn reset_connections(&self) {
        self.set_fault(PathFault::Reset);
    }

    /// Ends the fault.
    pub fn clear_fault(&self) {
        self.set_fault(PathFault::None);
    }
}

/// Forwards one connection until it ends. Returns an error if the target refuses the connection.
async fn forward_connection(
    mut client: TcpStream,
    target: SocketAddr,
    fault: watch::Receiver<PathFault>,
    cancel: CancellationToken,
) -> std::io::Result<()> {
    if *fault.borrow() == PathFault::Reset {
        reset_on_close(&client);
        return Ok(());
    }
    let target = TcpStream::connect(target).await;
    let mut target = target.inspect_err(|_| reset_on_close(&client))?;
    let (client_in, client_out) = client.split();
    let (target_in, target_out) = target.split();
    let mut fault_changes = fault.clone();
    let requests = forward_bytes(client_in, target_out, Direction::ToTarget, fault.clone());
    let responses = forward_bytes(target_in, client_out, Direction::FromTarget, fault.clone());
    let forwarding = async { tokio::try_join!(requests, responses) };
    let is_reset = tokio::select! {
        forwarded = forwarding => forwarded.is_err(),
        // The wait ends with an error when the proxy is dropped.
        reset = fault_changes.wait_for(|fault| *fault == PathFault::Reset) => reset.is_ok(),
        // A close would look like the end of a response that has no length.
        () = cancel.cancelled() => true,
    };
    if is_reset {
        // When one side fails, the other sees a reset as well.
        reset_on_close(&client);
        reset_on_close(&target);
    }
    Ok(())
}

/// The connection was reset or failed.
struct ConnectionBroken;

/// Makes the connection send a reset to its peer when it is closed.
fn reset_on_close(stream: &TcpStream) {
    // An error does not matter: a peer that has closed the connection does not see the reset.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Returns whether the peer has reset the connection.
fn has_been_reset(stream: &TcpStream) -> bool {
    !matches!(stream.take_error(), Ok(None))
}

/// Forwards one direction until it ends. The other direction may continue, as after a half-close.
async fn forward_bytes(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    direction: Direction,
    mut fault: watch::Receiver<PathFault>,
) -> Result<(), ConnectionBroken> {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut response_bytes = 0;
    loop {
        let length = from.read(&mut buffer).await.map_err(|_| ConnectionBroken)?;
        if length == 0 {
            return to.shutdown().await.map_err(|_| ConnectionBroken);
        }
        let is_held_back_by = |fault: &PathFault| match fault {
            PathFault::Silence => true,
            PathFault::OneWay => direction == Direction::FromTarget,
            _ => false,
        };
        let was_held_back = is_held_back_by(&fault.borrow());
        let released = fault.wait_for(|fault| !is_held_back_by(fault)).await;
        let current_fault = *released.map_err(|_| ConnectionBroken)?;
        if was_held_back && has_been_reset(from.as_ref()) {
            // TCP would have left these bytes with the sender for retransmission, and the sender
            // discarded them when it reset the connection.
            return Err(ConnectionBroken);
        }
        let mut piece = &buffer[..length];
        match current_fault {
            PathFault::Delay(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            PathFault::CutAfter(bytes) if direction == Direction::FromTarget => {
                let left = bytes.saturating_sub(response_bytes);
                piece = &piece[..left.min(length)];
            }
            _ => {}
        }
        response_bytes += piece.len();
        let written = match current_fault {
            PathFault::Drip => write_slowly(&mut to, piece).await,
            _ => to.write_all(piece).await,
        };
        written.map_err(|_| ConnectionBroken)?;
        if piece.len() < length {
            return Err(ConnectionBroken);
        }
    }
}

async fn write_slowly(to: &mut WriteHalf<'_>, bytes: &[u8]) -> std::io::Result<()> {
    for chunk in bytes.chunks(DRIP_BYTES) {
        to.write_all(chunk).await?;
        tokio::time::sleep(DRIP_PAUSE).await;
    }
    Ok(())
}
