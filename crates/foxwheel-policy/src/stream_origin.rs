//! Where streams began, and which processes know it.
//!
//! Load pattern: during a release, servers of two versions serve side by side for minutes. Servers
//! crash and fronts are killed meanwhile, and callers resume the streams that were cut off at any
//! front. What two versions write does not fit together, so a stream may go on only at the version
//! that wrote its first event. The caller does not know that version, and the servers do not check
//! it.
//!
//! The front that forwards the first event of a stream tells a fixed number of other processes,
//! the *holders*, which every process computes from the id of the request. A front that does not
//! know a stream asks them. A stream that nobody knows is not resumed.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_core::ids::{ServiceName, SoftwareVersion, Zone};
use serde::{Deserialize, Serialize};

/// Identifies a stream by the request that brought its first event.
pub type StreamKey = u64;

/// Returns the key of the stream that the request with this id began. The ids of callers of
/// different hosts are independent.
pub fn stream_key(host: &str, request_id: &str) -> StreamKey {
    let mut hasher = DefaultHasher::new();
    (host.to_ascii_lowercase(), request_id).hash(&mut hasher);
    hasher.finish()
}

/// The software that wrote the first event of a stream.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service of the server.
    pub service: ServiceName,
    /// The version of the server's software.
    pub version: SoftwareVersion,
}

/// How long the origin of a stream is kept at least, unless many streams begin. Longer than callers
/// wait for a stream.
const ORIGIN_RETENTION: Duration = Duration::from_secs(60);

/// Number of streams in one generation, 256 KB.
const GENERATION_LEN: usize = 16_384;

#[derive(Debug)]
struct Entry {
    stream: StreamKey,
    /// `None` if two origins were reported under the same key.
    origin: Option<Arc<StreamOrigin>>,
}

/// The origins of the streams that began last, in two generations of bounded size.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    /// Sorted by stream; at most [`GENERATION_LEN`].
    recent: Vec<Entry>,
    /// The generation before `recent`; sorted by stream.
    older: Vec<Entry>,
    /// When the first stream of `recent` was recorded; `None` if there is none.
    recent_since: Option<Instant>,
    /// The distinct origins of all entries, sorted.
    distinct: Vec<Arc<StreamOrigin>>,
}

impl StreamOrigins {
    /// Records where a stream began.
    pub fn record(&mut self, stream: StreamKey, origin: &StreamOrigin, now: Instant) {
        self.rotate_if_due(now);
        self.recent_since.get_or_insert(now);
        let known = self.find(stream);
        if known.is_some_and(|entry| entry.origin.as_deref() == Some(origin)) {
            return;
        }
        // Two streams with the same id cannot be told apart.
        let is_ambiguous = known.is_some();
        let entry = Entry {
            stream,
            origin: (!is_ambiguous).then(|| self.shared(origin)),
        };
        match self
            .recent
            .binary_search_by_key(&stream, |known| known.stream)
        {
            Ok(at) => self.recent[at] = entry,
            Err(at) => self.recent.insert(at, entry),
        }
    }

    /// Returns where a stream began, or `None` if that is not known.
    pub fn get(&self, stream: StreamKey) -> Option<&StreamOrigin> {
        self.find(stream)?.origin.as_deref()
    }

    fn find(&self, stream: StreamKey) -> Option<&Entry> {
        let mut generations = [&self.recent, &self.older].into_iter();
        generations.find_map(|entries| {
            let found = entries.binary_search_by_key(&stream, |known| known.stream);
            found.ok().map(|at| &entries[at])
        })
    }

    fn rotate_if_due(&mut self, now: Instant) {
        let is_old = self
            .recent_since
            .is_some_and(|since| now.saturating_duration_since(since) >= ORIGIN_RETENTION);
        if is_old || self.recent.len() >= GENERATION_LEN {
            self.older = std::mem::take(&mut self.recent);
            self.recent_since = None;
            self.distinct.retain(|origin| Arc::strong_count(origin) > 1);
        }
    }

    fn shared(&mut self, origin: &StreamOrigin) -> Arc<StreamOrigin> {
        match self
            .distinct
            .binary_search_by(|known| (**known).cmp(origin))
        {
            Ok(at) => Arc::clone(&self.distinct[at]),
            Err(at) => {
                let shared = Arc::new(origin.clone());
                self.distinct.insert(at, Arc::clone(&shared));
                shared
            }
        }
    }
}

/// The live processes that may be holders, without the process that chooses among them.
#[derive(Debug, Clone, Default)]
pub struct HolderCandidates {
    /// The processes of the own zone.
    pub own_zone: Vec<SocketAddr>,
    /// The workers of all zones, which every process knows.
    pub workers: Vec<(Zone, SocketAddr)>,
}

impl HolderCandidates {
    /// Returns the processes that a front of `own_zone` tells where a stream began: one of the own
    /// zone, and a worker of another zone in case the own one is lost. If no other zone has a worker,
    /// both are of the own zone.
    pub fn to_tell(&self, stream: StreamKey, own_zone: &str) -> Vec<SocketAddr> {
        let (first, second) = self.best_in_own_zone(stream);
        let remote = self.best_worker(stream, |zone| zone != own_zone);
        let remote = remote.map(|(_, addr)| addr);
        first.into_iter().chain(remote.or(second)).collect()
    }

    /// Returns the processes that a front asks where a stream began, at most four: of the own zone the two best, as the best one may have
    /// ended a moment ago, and the best workers of two zones, as the stream may have begun in the zone
    /// of the first one.
    pub fn to_ask(&self, stream: StreamKey) -> Vec<SocketAddr> {
        let (first, second) = self.best_in_own_zone(stream);
        let mut asked: Vec<SocketAddr> = first.into_iter().chain(second).collect();
        let best = self.best_worker(stream, |_| true);
        let next = best.and_then(|(best, _)| self.best_worker(stream, |zone| zone != best));
        for (_, worker) in best.into_iter().chain(next) {
            if !asked.contains(&worker) {
                asked.push(worker);
            }
        }
        asked
    }

    fn best_in_own_zone(&self, stream: StreamKey) -> (Option<SocketAddr>, Option<SocketAddr>) {
        let best_except = |excluded: Option<SocketAddr>| {
            let processes = self.own_zone.iter().copied();
            processes
                .filter(|addr| Some(*addr) != excluded)
                .max_by_key(|addr| rank(stream, *addr))
        };
        let first = best_except(None);
        (first, first.and_then(|_| best_except(first)))
    }

    /// Returns the worker with the highest rank in the zones for which `is_wanted` returns true.
    fn best_worker(
        &self,
        stream: StreamKey,
        is_wanted: impl Fn(&str) -> bool,
    ) -> Option<(&str, SocketAddr)> {
        let workers = self.workers.iter();
        workers
            .map(|(zone, addr)| (zone.as_str(), *addr))
            .filter(|(zone, _)| is_wanted(zone))
            .max_by_key(|(_, addr)| rank(stream, *addr))
    }
}

fn rank(stream: StreamKey, process: SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    (stream, process).hash(&mut hasher);
    hasher.finish()
}
