//! How late a request may still reach a backend server that leaves.
//!
//! Load pattern: servers leave by the dozen while paths between hosts break. A request that
//! reaches a server after its drain bound is cut off when the server exits. Some servers report
//! that they drain, of others only the entry is removed. Three delays add up: the time until a
//! process knows of the change, the time for which it goes on using a server without an entry, and
//! the time until a request sent before that has arrived or can no longer arrive.

use std::time::Duration;

use crate::{load_reports, watcher_selection};

/// The shortest drain bound that operators set.
pub const MIN_DRAIN_BOUND: Duration = Duration::from_millis(2_000);

/// Delay of a watcher between a watch that returned changes and the next watch. Servers
/// register and drain in groups, so that several changes cost one call.
pub const WATCH_COALESCING_DELAY: Duration = Duration::from_millis(150);

/// Longest time that a request takes to reach a server: two retransmissions at the usual
/// round-trip time. A request that has not arrived by then is never delivered.
pub const MAX_TRANSIT_TIME: Duration = Duration::from_millis(700);

/// Longest usual response time of the store or of a peer.
const RESPONSE_TIME: Duration = Duration::from_millis(50);

/// Longest time for which a runnable process on a host with a tenth of a core waits.
const SCHEDULING_DELAY: Duration = Duration::from_millis(100);

/// How long after the last confirmation of the list a server whose entry was removed since may get
/// requests. The store may have acknowledged the removal right after that confirmation.
pub const MAX_USE_AFTER_CONFIRMATION: Duration = MIN_DRAIN_BOUND
    .checked_sub(MAX_TRANSIT_TIME)
    .expect("a request arrives within the drain bound")
    .checked_sub(SCHEDULING_DELAY)
    .expect("a request arrives within the drain bound");

/// Returns the longest time from the store's acknowledgement of a change until a process that
/// can reach the store knows of it, through its own watch or through a peer, if either fails.
pub fn max_notification_delay() -> Duration {
    // The watcher's heartbeat, or the next one if that datagram is lost, makes others fetch the
    // change. The watcher may be between two watches.
    let by_peer = max_watch_delay()
        + load_reports::HEARTBEAT_INTERVAL
        + watcher_selection::MIN_SYNC_DELAY
        + RESPONSE_TIME;
    // No watcher confirms the process's state any more, so it lists the servers itself. The last
    // confirmation may have passed the change on its way to the watcher.
    let by_list = RESPONSE_TIME
        + watcher_selection::MAX_SYNC_AGE
        + watcher_selection::CHECK_INTERVAL
        + RESPONSE_TIME;
    by_peer.max(by_list)
}

/// Returns the longest time from the store's acknowledgement of a change until a process whose own
/// watch is not hung knows of it.
pub fn max_watch_delay() -> Duration {
    WATCH_COALESCING_DELAY + RESPONSE_TIME
}

/// How long the store must have been without fault before operators rely on the drain bound.
pub const MIN_STORE_STABILITY: Duration = Duration::from_millis(3_000);

/// Returns the longest time from the last fault of the store until a process has replaced a watch
/// whose response the store lost, by a list.
pub fn max_hung_watch_time() -> Duration {
    watcher_selection::WATCH_WAIT + watcher_selection::WATCH_GRACE + RESPONSE_TIME
}

/// Returns the longest time from the store's acknowledgement of a drain until the last request
/// has arrived at the draining server.
pub fn max_arrival_delay() -> Duration {
    max_notification_delay() + SCHEDULING_DELAY + MAX_TRANSIT_TIME
}

/// Returns the longest time from the store's acknowledgement that an entry was removed until the
/// last request has arrived at its server.
pub fn max_arrival_delay_without_entry() -> Duration {
    let last_use = max_notification_delay().max(MAX_USE_AFTER_CONFIRMATION);
    last_use + SCHEDULING_DELAY + MAX_TRANSIT_TIME
}
