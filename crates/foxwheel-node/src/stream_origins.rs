//! Records where streams began, tells the holders, and finds the origin of a stream that a caller
//! resumes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxwheel_policy::stream_origin::{HolderCandidates, StreamKey, StreamOrigin, StreamOrigins};
use futures::stream::{FuturesUnordered, StreamExt};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::datagram_sender::DatagramSender;
use crate::node::Node;
use crate::peer_messages::PeerMessage;

/// How long the holders may take to respond. Many round trips, and short for a caller.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);

/// How long the processes that may be holders are remembered. They are looked up for each stream.
const CANDIDATES_TTL: Duration = Duration::from_millis(200);

/// Maximum number of origins in one datagram, some 1,300 bytes.
const MAX_REPORTS_PER_DATAGRAM: usize = 32;

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

/// The origins that this process knows, and those that it has not reported yet.
#[derive(Debug, Default)]
pub struct OriginTable {
    origins: Mutex<StreamOrigins>,
    unreported: Mutex<Vec<StreamOriginReport>>,
    /// Notified when there is an unreported origin.
    began: Notify,
    candidates: Mutex<Option<(Instant, Arc<HolderCandidates>)>>,
}

impl Node {
    /// Records that this process forwards the first event of a stream, and reports it to the
    /// holders in the background.
    pub fn record_origin(&self, stream: StreamKey, origin: StreamOrigin) {
        self.add_origin(stream, &origin);
        let table = &self.stream_origins;
        let mut unreported = table.unreported.lock().expect("unreported origins lock");
        unreported.push(StreamOriginReport { stream, origin });
        table.began.notify_one();
    }

    /// Records the origins that another process reported to this one as a holder.
    pub fn apply_origin_reports(&self, reports: &[StreamOriginReport]) {
        for report in reports {
            self.add_origin(report.stream, &report.origin);
        }
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
        let holders = self.holder_candidates().to_ask(stream);
        let calls = holders.into_iter().map(|addr| async move {
            let response = self.peer_calls.fetch_origin(addr, stream).await;
            let found = response.inspect_err(|e| {
                log::info!(peer:% = addr, error:% = e; "origin of a stream not received from peer");
            });
            Some((found.ok()??, OriginSource::Holder(addr)))
        });
        let mut responses: FuturesUnordered<_> = calls.collect();
        let first_found = async {
            while let Some(found) = responses.next().await {
                if found.is_some() {
                    return found;
                }
            }
            None
        };
        let found = tokio::time::timeout(LOOKUP_TIMEOUT, first_found).await;
        let (origin, source) = found.ok().flatten()?;
        // The caller may come back once more.
        self.add_origin(stream, &origin);
        Some((origin, source))
    }

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

/// Reports the origins of this process's streams to their holders. Never returns.
pub async fn report_origins(datagrams: DatagramSender) {
    let node = Arc::clone(datagrams.node());
    let table = &node.stream_origins;
    loop {
        table.began.notified().await;
        let unreported = {
            let mut unreported = table.unreported.lock().expect("unreported origins lock");
            std::mem::take(&mut *unreported)
        };
        let candidates = node.holder_candidates();
        // Sorted by address.
        let mut by_holder: Vec<(SocketAddr, Vec<StreamOriginReport>)> = Vec::new();
        for report in unreported {
            let zone = &node.settings.availability_zone;
            for addr in candidates.to_tell(report.stream, zone) {
                match by_holder.binary_search_by_key(&addr, |(known, _)| *known) {
                    Ok(at) => by_holder[at].1.push(report.clone()),
                    Err(at) => by_holder.insert(at, (addr, vec![report.clone()])),
                }
            }
        }
        for (addr, reports) in by_holder {
            for reports in reports.chunks(MAX_REPORTS_PER_DATAGRAM) {
                let message = PeerMessage::StreamOrigins(reports.to_vec());
                datagrams.send(&message, &[addr]).await;
            }
        }
    }
}
