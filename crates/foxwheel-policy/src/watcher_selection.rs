//! Selection of the processes that watch the platform's store; the other processes of a zone
//! receive store changes from a watcher.
//!
//! Load pattern: each change of a server or of the configuration completes the pending watch of
//! every watcher, and each watch is one store call. With 63 processes that all watch, an idle
//! period of 60 s cost 3,555 calls. So only the two representatives of a zone watch, and the
//! others fetch changes from them as soon as a heartbeat announces something newer. A process
//! that receives nothing from any watcher watches the store itself.

use std::time::Duration;

/// Age of the last confirmed state at which a process contacts the store itself. It is longer
/// than the time until another representative is selected and has called the store (0.6 s), so
/// that the loss of one watcher does not send every process of the zone to the store, and half
/// of the shortest bound for applying a change (2 s).
pub const MAX_SYNC_AGE: Duration = Duration::from_millis(1_000);

/// How often a process that does not watch checks whether it should.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum delay between two requests for the state of a watcher, because changes often come several
/// at a time.
pub const MIN_SYNC_DELAY: Duration = Duration::from_millis(20);

/// How long a process keeps watching after its last selection by another process.
/// Representatives change for a moment when a heartbeat is late, and starting to watch again
/// costs one list call for each kind of object.
pub const STOP_WATCHING_DELAY: Duration = Duration::from_secs(1);

/// How often a watcher with subscribers probes the store. A watch blocks for many seconds, and
/// a broken path is detected only after 2 s or more. Subscribers measure the age of their state
/// from the watcher's last response from the store; together with the response of a slow store
/// (0.3 s) and one heartbeat, that age stays below [`MAX_SYNC_AGE`].
pub const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of such a probe: the store responds within milliseconds, and within about 250 ms
/// when it is slow.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long the store may hold one watch open while nothing changes. Probes do not show that the
/// response to a watch is lost, because the store responds to them on other connections. So this
/// wait and [`WATCH_GRACE`] are the longest time for which a watch is trusted.
pub const WATCH_WAIT: Duration = Duration::from_millis(2_400);

/// How long after its wait the response to a watch may arrive. A slow store takes about 250 ms.
pub const WATCH_GRACE: Duration = Duration::from_millis(500);

/// What a process knows about the store watchers of its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchState {
    /// The process selects itself as a representative of the zone.
    pub selects_itself: bool,
    /// Time since another process of the zone last selected this one as a representative.
    pub selected_by_peer_ago: Option<Duration>,
    /// Time since the last response of the store to a watcher that announces no state newer
    /// than this process has.
    pub synced_ago: Option<Duration>,
}

/// Returns whether a process should watch the store itself.
pub fn should_watch_store(state: WatchState) -> bool {
    let selected = state
        .selected_by_peer_ago
        .is_some_and(|ago| ago < STOP_WATCHING_DELAY);
    let synced = state.synced_ago.is_some_and(|ago| ago < MAX_SYNC_AGE);
    state.selects_itself || selected || !synced
}
