//! Slots in flight and servers to avoid.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_node::load_table::{LoadTable, ServerLoad, WorkClass};
use foxwheel_policy::membership::ServerInstance;

fn server(incarnation: u64) -> ServerInstance {
    ServerInstance {
        id: "server-1".to_owned(),
        incarnation,
    }
}

/// Several choices are made before any of the chosen requests is sent: each counts at once.
#[test]
fn a_slot_counts_from_the_choice_to_the_end() {
    let (table, now) = (Arc::new(LoadTable::default()), Instant::now());
    let server = server(1);
    let online = table.begin_request(&server, WorkClass::Online);
    let batch = table.begin_request(&server, WorkClass::Batch);
    let load = table.own_load(&server, now);
    assert_eq!((load.online, load.batch), (1, 1));
    let load = ServerLoad {
        server,
        online: 1,
        batch: 1,
    };
    assert_eq!(table.snapshot(), [load]);
    drop(online);
    drop(batch);
    assert!(table.snapshot().is_empty());
}

/// At a full server one request waits long while others get their events: it is at work.
#[test]
fn a_server_that_sends_anything_is_not_silent() {
    let (table, start) = (LoadTable::default(), Instant::now());
    let (server, silence) = (server(1), Duration::from_millis(400));
    assert!(table.is_silent(&server, silence, start));
    table.record_progress(&server, start);
    assert!(!table.is_silent(&server, silence, start + Duration::from_millis(399)));
    assert!(table.is_silent(&server, silence, start + silence));
}

#[test]
fn a_suspect_is_avoided_until_it_sends_something_or_time_passes() {
    let (table, start) = (LoadTable::default(), Instant::now());
    let server = server(1);
    assert!(table.mark_suspected(&server, start));
    assert!(!table.mark_suspected(&server, start), "known already");
    assert!(table.own_load(&server, start).is_suspected);
    assert!(
        !table
            .own_load(&server, start + Duration::from_secs(2))
            .is_suspected
    );
    table.mark_suspected(&server, start);
    table.record_progress(&server, start);
    assert!(!table.own_load(&server, start).is_suspected);
}

/// A server starts again under its id: what is known of the earlier start, and what still
/// hangs there, says nothing of the later one.
#[test]
fn a_later_start_begins_with_nothing() {
    let (table, now) = (Arc::new(LoadTable::default()), Instant::now());
    let hanging = table.begin_request(&server(1), WorkClass::Online);
    table.mark_suspected(&server(1), now);
    for _ in 0..20 {
        table.record_outcome(&server(1), true, now);
    }
    let load = table.own_load(&server(2), now);
    assert_eq!(
        (load.online, load.is_suspected, load.failure_rate),
        (0, false, 0.0)
    );
    let other = table.begin_request(&server(2), WorkClass::Online);
    drop(hanging);
    assert_eq!(table.own_load(&server(2), now).online, 1);
    drop(other);
    assert!(table.snapshot().is_empty());
}
