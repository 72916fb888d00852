//! A path to the store that can be cut for one process.

use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// A loopback address that leads to the store while it is open.
#[derive(Debug, Clone)]
pub struct Gate {
    /// Where the process connects.
    pub addr: SocketAddr,
    open: watch::Sender<bool>,
}

impl Gate {
    /// Opens a gate to `target`.
    pub async fn start(target: SocketAddr, cancel: CancellationToken) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("an address");
        let addr = listener.local_addr().expect("an address");
        let (open, state) = watch::channel(true);
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    () = cancel.cancelled() => return,
                    accepted = listener.accept() => accepted,
                };
                let Ok((stream, _)) = accepted else { continue };
                tokio::spawn(pass(stream, target, state.clone()));
            }
        });
        Self { addr, open }
    }

    /// Closes it: open connections break and new ones are closed at once.
    pub fn cut(&self) {
        self.open.send_replace(false);
    }

    /// Opens it again.
    pub fn heal(&self) {
        self.open.send_replace(true);
    }
}

async fn pass(mut near: TcpStream, target: SocketAddr, mut state: watch::Receiver<bool>) {
    if !*state.borrow() {
        return;
    }
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    tokio::select! {
        // Either end may hang up.
        _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
        _ = state.wait_for(|open| !open) => {}
    }
}
