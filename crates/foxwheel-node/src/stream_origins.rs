//! Records where streams began, reports it to the holders, and finds the origin of a stream that a
//! caller resumes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxwheel_policy::stream_origin::{HolderCandidates, StreamKey, StreamOrigin, StreamOrigins};
use futures::stream::{FuturesUnordered, StreamExt};
use serde::{Deserialize, Serialize};

use crate::datagram_sender::DatagramSender;
use crate::node::Node;
use crate::peer_messages::PeerMessage;

/// How long the holders may take to respond. Many round trips, and short for a caller.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);

/// How long the processes that may be holders are remembered, for the streams that begin meanwhile.
const CANDIDATES_TTL: Duration = Duration::from_millis(200);

/// Delay before the holders are asked once more if none knows the stream: the report may still be on
/// its way.
const SECOND_LOOKUP_DELAY: Duration = Duration::from_millis(25);

/// Where a stream began, as reported to a holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOriginReport {
    /// The stream.
    pub stream: StreamKey,
    /// The software that wrote its first event.
    pub origin: StreamOrigin,
}

/// How a process knows the origin of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginSource {
    /// It forwarded the first event, or it is a holder.
    Own,
    /// The holder at this address knew it.
    Holder(SocketAddr),
    /// The caller did not name the stream, but only one version serves or served recently.
    SoleVersion,
}

/// The origins that this process knows.
#[derive(Debug, Default)]
pub struct OriginTable {
    origins: Mutex<StreamOrigins>,
    candidates: Mutex<Option<(Instant, Arc<HolderCandidates>)>>,
}

impl Node {
    /// Records where a stream of this process began, and reports it to the holders.
    pub async fn record_origin(self: &Arc<Self>, stream: StreamKey, origin: StreamOrigin) {
        self.add_origin(stream, &origin);
        let Some(socket) = self.peer_socket.get() else {
            return;
        };
        let zone = &self.settings.availability_zone;
        let holders = self.holder_candidates().to_tell(stream, zone);
        let report = PeerMessage::StreamOrigin(StreamOriginReport { stream, origin });
        let datagrams = DatagramSender::new(Arc::clone(self), Arc::clone(socket));
        datagrams.send(&report, &holders).await;
    }

    /// Records an origin that another process reported to this one as a holder.
    pub fn apply_origin_report(&self, report: &StreamOriginReport) {
        self.add_origin(report.stream, &report.origin);
    }

    fn add_origin(&self, stream: StreamKey, origin: &StreamOrigin) {
        let mut origins = self.stream_origins.origins.lock().expect("origins lock");
        origins.record(stream, origin, Instant::now());
    }

    /// Returns the origin of a stream if this process knows it.
    pub fn known_origin(&self, stream: StreamKey) -> Option<StreamOrigin> {
        let origins = self.stream_origins.origins.lock().expect("origins lock");
        origins.get(stream).cloned()
    }

    /// Returns the origin of a stream, which may have begun at any process, or `None` if neither this
    /// process nor a holder that responds in time knows it.
    pub async fn find_origin(&self, stream: StreamKey) -> Option<(StreamOrigin, OriginSource)> {
        if let Some(origin) = self.known_origin(stream) {
            return Some((origin, OriginSource::Own));
        }
        let asking = async {
            if let Some(found) = self.ask_holders(stream).await {
                return Some(found);
            }
            tokio::time::sleep(SECOND_LOOKUP_DELAY).await;
            self.ask_holders(stream).await
        };
        let found = tokio::time::timeout(LOOKUP_TIMEOUT, asking).await;
        let (origin, source) = found.ok().flatten()?;
        // The caller may come back once more.
        self.add_origin(stream, &origin);
        Some((origin, source))
    }

    /// Asks the holders at the same time and returns the first origin that one of them knows.
    async fn ask_holders(&self, stream: StreamKey) -> Option<(StreamOrigin, OriginSource)> {
        let candidates = self.peers.holder_candidates(Instant::now());
        let holders = candidates.to_ask(stream).into_iter();
        let calls = holders.map(|addr| async move {
            let response = self.peer_calls.fetch_origin(addr, stream).await;
            let response = response.inspect_err(|e| {
                log::info!(peer:% = addr, error:% = e; "origin of a stream not received from peer");
            });
            Some((response.ok()??, OriginSource::Holder(addr)))
        });
        let responses = calls.collect::<FuturesUnordered<_>>();
        let mut found = std::pin::pin!(responses.filter_map(std::future::ready));
        found.next().await
    }

    /// Returns the processes that may be holders, as they were at most [`CANDIDATES_TTL`] ago.
    fn holder_candidates(&self) -> Arc<HolderCandidates> {
        let now = Instant::now();
        let table = &self.stream_origins;
        let mut cached = table.candidates.lock().expect("holder candidates lock");
        match &*cached {
            Some((read_at, candidates)) if now.duration_since(*read_at) < CANDIDATES_TTL => {
                Arc::clone(candidates)
            }
            _ => {
                let candidates = Arc::new(self.peers.holder_candidates(now));
                *cached = Some((now, Arc::clone(&candidates)));
                candidates
            }
        }
    }
}
