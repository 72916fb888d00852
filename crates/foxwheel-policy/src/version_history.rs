//! The software versions whose servers left the list of servers recently. Streams that they began may
//! still be resumed.

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

/// The versions of servers that have left.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// Sorted by origin.
    gone: Vec<GoneVersion>,
}

impl VersionHistory {
    /// Records that a server has left the list, or that its entry was replaced by that of another
    /// instance.
    pub fn record_gone(&mut self, server: &BackendServer) {
        let origin = server.origin();
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
