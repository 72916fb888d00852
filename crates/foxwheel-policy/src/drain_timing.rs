//! How late a request may reach a backend server that has said that it is leaving.
//!
//! Load pattern: servers leave by the dozen while paths between hosts break. A request that
//! reaches one after its drain bound is cut off when the server exits. The time goes to two
//! things: until a process knows, and until what it sent before has arrived or never will.

use std::time::Duration;

use crate::watcher_selection;

/// The shortest bound that users have set.
pub const MIN_DRAIN_BOUND: Duration = Duration::from_millis(2_000);

/// Pause of a follower after a watch that brought changes: servers register and drain
/// together, and several changes cost one call.
pub const WATCH_COALESCING_DELAY: Duration = Duration::from_millis(150);

/// Longest time that a request is on its way to a server: two retransmissions at a usual
/// distance. What has not arrived by then never will.
pub const MAX_TRANSIT_TIME: Duration = Duration::from_millis(700);

/// Longest usual wait for the store's or a peer's answer.
const ANSWER: Duration = Duration::from_millis(50);

/// Longest time from the store's acknowledgement until a process that reaches the store knows
/// of it, by its own watch or by a follower's word, whichever fails.
pub fn max_notification_delay() -> Duration {
    let by_watch = WATCH_COALESCING_DELAY + ANSWER;
    // Nobody vouches for what it knows any more, so it lists the servers itself.
    let by_list = watcher_selection::MAX_SYNC_AGE + watcher_selection::CHECK_INTERVAL + ANSWER;
    by_watch.max(by_list)
}

/// Longest time from the store's acknowledgement until the last request has arrived.
pub fn max_arrival_delay() -> Duration {
    max_notification_delay() + MAX_TRANSIT_TIME
}
