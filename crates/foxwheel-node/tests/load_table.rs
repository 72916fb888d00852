//! Slots in flight and servers to avoid.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_node::load_table::{LoadTable, ServerLoad, WorkClass};
use foxwheel_policy::membership::ServerKey;

fn server(incarnation: u64) -> ServerKey {
    ServerKey {
        id: "server-1".to_owned(),
        incarnation,
    }
}

/// Several choices are made before any of the chosen requests is sent: each counts at once.
#[test]
fn a_slot_counts_from_the_choice_to_the_end() {
    let (table, now) = (Arc::new(LoadTable::default()), Instant::now());
    let server = server(1);
    let online = table.begin(&server, WorkClass::Online);
    let batch = table.begin(&server, WorkClass::Batch);
    let load = table.own(&server, now);
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
    table.progress(&server, start);
    assert!(!table.is_silent(&server, silence, start + Duration::from_millis(399)));
    assert!(table.is_silent(&server, silence, start + silence));
}

#[test]
fn a_suspect_is_avoided_until_it_sends_something_or_time_passes() {
    let (table, start) = (LoadTable::default(), Instant::now());
    let server = server(1);
    assert!(table.suspect(&server, start));
    assert!(!table.suspect(&server, start), "known already");
    assert!(table.own(&server, start).suspect);
    assert!(!table.own(&server, start + Duration::from_secs(2)).suspect);
    table.suspect(&server, start);
    table.progress(&server, start);
    assert!(!table.own(&server, start).suspect);
}

/// A server starts again under its id: what is known of the earlier start, and what still
/// hangs there, says nothing of the later one.
#[test]
fn a_later_start_begins_with_nothing() {
    let (table, now) = (Arc::new(LoadTable::default()), Instant::now());
    let hanging = table.begin(&server(1), WorkClass::Online);
    table.suspect(&server(1), now);
    for _ in 0..20 {
        table.note_outcome(&server(1), true, now);
    }
    let load = table.own(&server(2), now);
    assert_eq!(
        (load.online, load.suspect, load.failure_rate),
        (0, false, 0.0)
    );
    let other = table.begin(&server(2), WorkClass::Online);
    drop(hanging);
    assert_eq!(table.own(&server(2), now).online, 1);
    drop(other);
    assert!(table.snapshot().is_empty());
}
