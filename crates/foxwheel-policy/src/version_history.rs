//! The software versions whose servers left the list of servers recently. Streams that they began may
//! still be resumed.
//!
//! Load pattern: a release replaces all servers within seconds, and all fronts are killed and start
//! again meanwhile. A process sees only those versions leave that are listed while it runs. Between
//! two complete lists, and before the first one, versions may have come and gone: that is a *gap*.
//! What other processes recorded in the store closes it.

use std::time::{Duration, Instant};

use crate::backend_server::BackendServer;
use crate::stream_origin::StreamOrigin;

/// How long a version is kept after its last server left the list. Longer than callers wait for a
/// stream.
const GONE_VERSION_RETENTION: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct GoneVersion {
    origin: StreamOrigin,
    /// When the last server of the version left; `None` until the first [`VersionHistory::expire`]
    /// after that.
    gone_at: Option<Instant>,
}

/// Identifies a gap: its position among the gaps of a process.
pub type GapNumber = u64;

/// A version that was listed at some time, as recorded in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRecord {
    /// The version.
    pub origin: StreamOrigin,
    /// How long ago its last server left; `None` if nobody recorded that.
    pub gone_for: Option<Duration>,
}

impl VersionRecord {
    /// Returns whether streams of the version may still be resumed, if it is not listed.
    fn may_be_resumed(&self) -> bool {
        self.gone_for
            .is_none_or(|gone_for| gone_for < GONE_VERSION_RETENTION)
    }
}

/// How a record differs from the list of servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordChange {
    /// The version is listed and has no record.
    Create,
    /// The version is listed, and its record says that it has left.
    RecordReturn,
    /// The version is not listed, and its record does not say so.
    RecordLeave,
    /// The version left so long ago that its record is of no use.
    Delete,
}

/// How long the record of a version is kept after its last server left.
const RECORD_RETENTION: Duration = Duration::from_secs(600);

/// Returns what is to be done so that the records agree with the `listed` versions.
pub fn record_changes(
    listed: &[StreamOrigin],
    records: &[VersionRecord],
) -> Vec<(StreamOrigin, RecordChange)> {
    let is_recorded =
        |origin: &&StreamOrigin| records.iter().any(|record| record.origin == **origin);
    let unrecorded = listed.iter().filter(|origin| !is_recorded(origin));
    let created = unrecorded.map(|origin| (origin.clone(), RecordChange::Create));
    let changed = records.iter().filter_map(|record| {
        let change = match (listed.contains(&record.origin), record.gone_for) {
            (true, Some(_)) => RecordChange::RecordReturn,
            (false, None) => RecordChange::RecordLeave,
            (false, Some(gone_for)) if gone_for >= RECORD_RETENTION => RecordChange::Delete,
            (true, None) | (false, Some(_)) => return None,
        };
        Some((record.origin.clone(), change))
    });
    created.chain(changed).collect()
}

/// The versions of servers that have left.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// Sorted by origin.
    gone: Vec<GoneVersion>,
    /// Number of gaps so far.
    gap_count: GapNumber,
    /// Whether the last gap is not closed yet.
    is_open: bool,
}

impl VersionHistory {
    /// Records that a server has left the list, or that its entry was replaced by that of another
    /// instance.
    pub fn record_gone(&mut self, server: &BackendServer) {
        self.record_gone_origin(server.origin());
    }

    fn record_gone_origin(&mut self, origin: StreamOrigin) {
        match self
            .gone
            .binary_search_by(|known| known.origin.cmp(&origin))
        {
            Ok(at) => self.gone[at].gone_at = None,
            Err(at) => {
                let gone_at = None;
                self.gone.insert(at, GoneVersion { origin, gone_at });
            }
        }
    }

    /// Records that versions may have come and gone unnoticed until now.
    pub fn record_gap(&mut self) {
        self.gap_count += 1;
        self.is_open = true;
    }

    /// Returns the gap that is not closed, or `None` if there is none.
    pub fn open_gap(&self) -> Option<GapNumber> {
        self.is_open.then_some(self.gap_count)
    }

    /// Closes a gap, unless there was another one since. `records` were read after it; `is_listed`
    /// tells whether servers of a version are listed.
    pub fn close_gap(
        &mut self,
        gap: GapNumber,
        records: &[VersionRecord],
        is_listed: impl Fn(&StreamOrigin) -> bool,
    ) {
        if self.open_gap() != Some(gap) {
            return;
        }
        let resumable = records.iter().filter(|record| record.may_be_resumed());
        for record in resumable.filter(|record| !is_listed(&record.origin)) {
            self.record_gone_origin(record.origin.clone());
        }
        self.is_open = false;
    }

    /// Drops the versions that left too long ago for any stream to be resumed.
    pub fn expire(&mut self, now: Instant) {
        self.gone.retain_mut(|version| {
            let gone_at = *version.gone_at.get_or_insert(now);
            now.saturating_duration_since(gone_at) < GONE_VERSION_RETENTION
        });
    }

    /// Returns the versions that are kept.
    pub fn origins(&self) -> impl Iterator<Item = &StreamOrigin> {
        self.gone.iter().map(|version| &version.origin)
    }
}
