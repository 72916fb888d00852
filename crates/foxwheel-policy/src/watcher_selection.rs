//! Which processes follow the platform's store themselves, and which take its changes from a
//! process of their zone that does.
//!
//! Load pattern: each change of a server or of the configuration wakes every watcher, and each
//! watch is a call. With 63 processes that all watch, a calm day of 60 s cost 3,555 calls. So
//! the two speakers of a zone follow, and the others ask them as soon as a heartbeat tells of
//! something newer. Whoever is told nothing follows by itself.

use std::time::Duration;

/// Age of what a process was told at which it asks the store itself. Longer than it takes until
/// another speaker is named and has asked (0.6 s), so that the end of a follower does not make
/// every process of the zone ask; half of the shortest bound for a change met so far (2 s).
pub const MAX_SYNC_AGE: Duration = Duration::from_millis(1_000);

/// How often a process that does not follow looks whether it should.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long a process goes on following after no other names it any more: speakers change
/// for a moment when a heartbeat is late, and taking up again costs a list of each kind.
pub const STOP_WATCHING_DELAY: Duration = Duration::from_secs(1);

/// How often a follower on whom others rely makes sure that the store answers it. A watch
/// waits for many seconds, and a silent path shows itself only after 2 s or more. Others count
/// the age of what it told from the last answer, so with the answer of a slow store (0.3 s)
/// and a heartbeat this stays below [`MAX_SYNC_AGE`].
pub const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Longest wait for the answer to such a probe: the store takes milliseconds, and some 250
/// when it is slow.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// What a process knows of who follows the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchState {
    /// It takes itself as one of the zone's speakers.
    pub selects_itself: bool,
    /// How long ago another process of the zone last named it as a speaker.
    pub selected_by_peer_ago: Option<Duration>,
    /// How long ago the store last answered a process that follows it, as far as that process
    /// told of nothing that is not known here.
    pub synced_ago: Option<Duration>,
}

/// Whether a process follows the store itself.
pub fn should_watch_store(standing: WatchState) -> bool {
    let relied_on = standing
        .selected_by_peer_ago
        .is_some_and(|ago| ago < STOP_WATCHING_DELAY);
    let told = standing.synced_ago.is_some_and(|ago| ago < MAX_SYNC_AGE);
    standing.selects_itself || relied_on || !told
}
