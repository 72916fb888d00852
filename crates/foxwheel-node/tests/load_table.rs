//! Slots in flight and servers to avoid.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_node::load_table::{LoadTable, WorkClass};

/// Several choices are made before any of the chosen requests is sent: each counts at once.
#[test]
fn a_slot_counts_from_the_choice_to_the_end() {
    let (table, now) = (Arc::new(LoadTable::default()), Instant::now());
    let server = "server-1".to_owned();
    let online = table.begin(&server, WorkClass::Online);
    let batch = table.begin(&server, WorkClass::Batch);
    let load = table.own(&server, now);
    assert_eq!((load.online, load.batch), (1, 1));
    assert_eq!(table.snapshot(), [(server.clone(), 1, 1)]);
    drop(online);
    drop(batch);
    assert!(table.snapshot().is_empty());
}

/// At a full server one request waits long while others get their events: it is at work.
#[test]
fn a_server_that_sends_anything_is_not_silent() {
    let (table, start) = (LoadTable::default(), Instant::now());
    let (server, silence) = ("server-1".to_owned(), Duration::from_millis(400));
    assert!(table.is_silent(&server, silence, start));
    table.progress(&server, start);
    assert!(!table.is_silent(&server, silence, start + Duration::from_millis(399)));
    assert!(table.is_silent(&server, silence, start + silence));
}

#[test]
fn a_suspect_is_avoided_until_it_sends_something_or_time_passes() {
    let (table, start) = (LoadTable::default(), Instant::now());
    let server = "server-1".to_owned();
    assert!(table.suspect(&server, start));
    assert!(!table.suspect(&server, start), "known already");
    assert!(table.own(&server, start).suspect);
    assert!(!table.own(&server, start + Duration::from_secs(2)).suspect);
    table.suspect(&server, start);
    table.progress(&server, start);
    assert!(!table.own(&server, start).suspect);
}
