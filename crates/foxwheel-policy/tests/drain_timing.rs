//! The steps between a server's word that it leaves and the last request that reaches it.

use std::time::Duration;

use foxwheel_policy::{drain_timing, watcher_selection};

/// Each step kept to a bound of its own, chosen as a part of the same two seconds; together
/// they took more than twice as long.
#[test]
fn the_steps_until_a_leaving_server_gets_nothing_stay_within_its_bound_together() {
    // Scheduling on a host with a tenth of a core.
    let slack = Duration::from_millis(100);
    assert!(drain_timing::max_arrival_delay() + slack <= drain_timing::MIN_DRAIN_BOUND);
}

/// A follower's word must not grow too old between two of its probes while the store is slow.
#[test]
fn a_slow_store_makes_no_process_ask_for_itself() {
    let slow_answer = Duration::from_millis(300);
    let heartbeat = Duration::from_millis(100);
    let oldest = watcher_selection::PROBE_INTERVAL + slow_answer + heartbeat;
    assert!(oldest < watcher_selection::MAX_SYNC_AGE);
    assert!(slow_answer < watcher_selection::PROBE_TIMEOUT);
}
