//! Which backend servers may be sent work, as their list lags, lapses and comes back.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use foxwheel_policy::membership::{BackendServer, ServerDirectory, ServerState};

fn server(id: &str, state: ServerState) -> BackendServer {
    BackendServer {
        id: id.to_owned(),
        incarnation: 0,
        service: "model".to_owned(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        zone: "hall".to_owned(),
        slots: 8,
        state,
    }
}

fn usable(directory: &ServerDirectory) -> Vec<&str> {
    usable_at(directory, Instant::now())
}

fn usable_at(directory: &ServerDirectory, now: Instant) -> Vec<&str> {
    directory
        .usable_entries("model", now)
        .map(|member| member.server.id.as_str())
        .collect()
}

#[test]
fn a_draining_server_gets_nothing_and_other_services_are_not_mixed_in() {
    let mut directory = ServerDirectory::default();
    directory.upsert(server("a", ServerState::Ready));
    directory.upsert(server("b", ServerState::Ready));
    let mut other = server("c", ServerState::Ready);
    other.service = "cards".to_owned();
    directory.upsert(other);
    directory.upsert(server("b", ServerState::Draining));
    assert_eq!(usable(&directory), ["a"]);
}

#[test]
fn a_removed_entry_is_a_last_resort_for_a_moment_only() {
    let now = Instant::now();
    let mut directory = ServerDirectory::default();
    directory.upsert(server("a", ServerState::Ready));
    directory.remove_entry("a", now);
    assert!(directory
        .usable_entries("model", Instant::now())
        .all(|member| member.grace_until.is_some()));
    // Work must not reach it 2 s after its entry went.
    let gone = directory.remove_expired(now + Duration::from_millis(1_900));
    assert_eq!(gone, ["a"]);
    assert!(usable(&directory).is_empty());
}

#[test]
fn a_draining_server_whose_entry_goes_is_gone_at_once() {
    let mut directory = ServerDirectory::default();
    directory.upsert(server("a", ServerState::Draining));
    directory.remove_entry("a", Instant::now());
    assert!(directory.entries().is_empty());
}

/// All entries expire while the list's source is away: the servers stay usable until they
/// had time to register again, and those that do not are gone.
#[test]
fn entries_that_lapsed_in_an_outage_are_awaited() {
    let now = Instant::now();
    let mut directory = ServerDirectory::default();
    directory.upsert(server("a", ServerState::Ready));
    directory.upsert(server("b", ServerState::Ready));
    directory.record_source_lost();
    let back = now + Duration::from_secs(5);
    directory.record_source_regained(back);
    assert!(directory.apply_list(Vec::new(), 7, back));
    let soon = back + Duration::from_millis(2_000);
    assert!(directory.remove_expired(soon).is_empty());
    assert_eq!(usable(&directory), ["a", "b"]);
    directory.upsert(server("a", ServerState::Ready));
    let later = back + Duration::from_millis(2_500);
    assert_eq!(directory.remove_expired(later), ["b"]);
    assert_eq!(usable(&directory), ["a"]);
}

#[test]
fn an_entry_that_comes_back_is_no_last_resort_any_more() {
    let now = Instant::now();
    let mut directory = ServerDirectory::default();
    directory.upsert(server("a", ServerState::Ready));
    directory.remove_entry("a", now);
    directory.upsert(server("a", ServerState::Ready));
    assert!(directory
        .remove_expired(now + Duration::from_secs(60))
        .is_empty());
    assert!(directory
        .usable_entries("model", Instant::now())
        .all(|member| member.grace_until.is_none()));
}

/// A watch that waited through an outage tells of the entries that lapsed before anything
/// else shows that the store is back.
#[test]
fn an_entry_that_vanishes_before_its_source_is_found_again_is_awaited() {
    let now = Instant::now();
    let mut directory = ServerDirectory::default();
    directory.upsert(server("a", ServerState::Ready));
    directory.record_source_lost();
    directory.remove_entry("a", now);
    directory.record_source_regained(now);
    assert!(directory
        .remove_expired(now + Duration::from_millis(2_300))
        .is_empty());
    assert_eq!(usable(&directory), ["a"]);
    assert_eq!(
        directory.remove_expired(now + Duration::from_millis(2_500)),
        ["a"]
    );
}

/// Lists come from the store and from peers. What a peer knew before the last change, or
/// before it had any list, must not take servers away: only a change of its own would bring
/// an entry back.
#[test]
fn an_older_list_never_replaces_a_newer_one() {
    let now = Instant::now();
    let later = now + Duration::from_secs(60);
    let mut directory = ServerDirectory::default();
    assert_eq!(directory.revision(), None);
    let both = ["a", "b"].map(|id| server(id, ServerState::Ready));
    assert!(directory.apply_list(both.to_vec(), 20, now));
    assert!(!directory.apply_list(Vec::new(), 19, now), "a late answer");
    directory.remove_expired(later);
    assert_eq!(usable(&directory), ["a", "b"]);
    // A watch went on to 30: a list of 25 lacks what came since.
    directory.upsert(server("c", ServerState::Ready));
    directory.advance_revision(30);
    assert!(!directory.apply_list(both.to_vec(), 25, now));
    directory.remove_expired(later);
    assert_eq!(usable(&directory), ["a", "b", "c"]);
    assert!(directory.apply_list(both[..1].to_vec(), 31, now));
    directory.remove_expired(later);
    assert_eq!(usable(&directory), ["a"]);
}

fn start(id: &str, incarnation: u64, port: u16) -> BackendServer {
    BackendServer {
        incarnation,
        addr: SocketAddr::from(([10, 0, 0, 1], port)),
        ..server(id, ServerState::Ready)
    }
}

/// A write of the earlier start may be done late, and a stale read may show it.
#[test]
fn an_earlier_start_never_replaces_a_later_one() {
    let mut directory = ServerDirectory::default();
    directory.upsert(start("a", 2_000, 80));
    directory.upsert(start("a", 1_000, 81));
    let known = &directory.entries()[0].server;
    assert_eq!((known.incarnation, known.addr.port()), (2_000, 80));
    let mut leaving = start("a", 1_000, 81);
    leaving.state = ServerState::Draining;
    directory.upsert(leaving);
    assert_eq!(usable(&directory), ["a"]);
    directory.upsert(start("a", 3_000, 82));
    assert_eq!(directory.entries()[0].server.addr.port(), 82);
}

/// Its entry goes and another start comes, at any time of day that its host believes in.
#[test]
fn a_start_after_a_removal_counts_whatever_its_time() {
    let now = Instant::now();
    let mut directory = ServerDirectory::default();
    directory.upsert(start("a", 2_000, 80));
    directory.remove_entry("a", now);
    directory.upsert(start("a", 1_000, 81));
    assert_eq!(directory.entries()[0].server.addr.port(), 81);
}

/// An entry that another writer spoiled names no server; its id is no last resort either.
#[test]
fn a_spoiled_entry_takes_its_server_out_and_no_other() {
    let now = Instant::now();
    let mut directory = ServerDirectory::default();
    directory.upsert(server("a", ServerState::Ready));
    directory.upsert(server("b", ServerState::Ready));
    directory.refuse_entry("a");
    assert_eq!(usable(&directory), ["b"]);
    // In a whole list too.
    let listed = vec![server("c", ServerState::Ready)];
    directory.record_source_lost();
    assert!(directory.apply_list(listed, 9, now));
    assert_eq!(usable(&directory), ["b", "c"], "b is awaited");
    directory.refuse_entry("b");
    assert_eq!(usable(&directory), ["c"]);
}

/// Servers crash and start anew while the list cannot show it: their address answers that
/// another start has it. The listed start is gone for certain, whoever heard it, until the
/// list shows a later one.
#[test]
fn a_start_that_is_gone_for_certain_takes_no_work() {
    let now = Instant::now();
    let soon = now + Duration::from_secs(1);
    let mut directory = ServerDirectory::default();
    directory.upsert(start("a", 1_000, 80));
    directory.upsert(start("b", 1_000, 81));
    let gone = start("a", 1_000, 80).instance();
    assert!(directory.record_dead_instance(gone.clone(), now));
    assert!(
        !directory.record_dead_instance(gone.clone(), now),
        "known already"
    );
    assert_eq!(usable_at(&directory, soon), ["b"]);
    assert_eq!(directory.dead_instances(soon), [gone]);
    // The list is read again and still shows it.
    directory.upsert(start("a", 1_000, 80));
    assert_eq!(usable_at(&directory, soon), ["b"]);
    directory.upsert(start("a", 5_000, 80));
    assert_eq!(usable_at(&directory, soon), ["a", "b"]);
}

/// Nothing is believed for ever: an answer may have been spoiled on its way.
#[test]
fn a_start_that_was_called_gone_is_tried_again_later() {
    let now = Instant::now();
    let mut directory = ServerDirectory::default();
    directory.upsert(start("a", 1_000, 80));
    directory.record_dead_instance(start("a", 1_000, 80).instance(), now);
    let later = now + Duration::from_secs(60);
    assert_eq!(usable_at(&directory, later), ["a"]);
    assert!(directory.dead_instances(later).is_empty());
}
