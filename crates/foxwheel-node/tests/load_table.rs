//! The requests in flight at each server, and the servers to avoid.

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

/// Several servers may be chosen before any of the requests is sent, so a request must count from
/// the choice on.
#[test]
fn a_request_counts_from_the_choice_of_its_server_to_its_end() {
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

/// At a full server, one request may wait long while others receive events. The server is working
/// and must not count as silent.
#[test]
fn a_server_that_sends_anything_is_not_silent() {
    let (table, start) = (LoadTable::default(), Instant::now());
    let (server, limit) = (server(1), Duration::from_millis(400));
    assert!(table.is_silent(&server, limit, start));
    table.record_progress(&server, start);
    assert!(!table.is_silent(&server, limit, start + Duration::from_millis(399)));
    assert!(table.is_silent(&server, limit, start + limit));
}

#[test]
fn a_suspected_server_is_avoided_until_it_sends_something_or_time_passes() {
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

#[test]
fn the_silence_of_a_suspected_server_is_known_when_it_ends() {
    let (table, start) = (LoadTable::default(), Instant::now());
    let server = server(1);
    assert_eq!(table.record_progress(&server, start), None);
    let end = start + Duration::from_millis(900);
    assert_eq!(table.record_progress(&server, end), None, "not suspected");
    table.mark_suspected(&server, end);
    let end = end + Duration::from_millis(700);
    let silence = table.record_progress(&server, end);
    assert_eq!(silence, Some(Duration::from_millis(700)));
    assert_eq!(table.record_progress(&server, end), None, "reported once");
}

/// A server restarts with the same id. Failures of its earlier instance, and requests that are
/// still in flight there, must not count for the new instance.
#[test]
fn a_restarted_server_begins_without_load_and_failures() {
    let (table, now) = (Arc::new(LoadTable::default()), Instant::now());
    let earlier_request = table.begin_request(&server(1), WorkClass::Online);
    table.mark_suspected(&server(1), now);
    for _ in 0..20 {
        table.record_outcome(&server(1), true, now);
    }
    let load = table.own_load(&server(2), now);
    assert_eq!(
        (load.online, load.is_suspected, load.failure_rate),
        (0, false, 0.0)
    );
    let later_request = table.begin_request(&server(2), WorkClass::Online);
    drop(earlier_request);
    assert_eq!(table.own_load(&server(2), now).online, 1);
    drop(later_request);
    assert!(table.snapshot().is_empty());
}
