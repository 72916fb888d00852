//! Which backend servers may be sent work, as their list lags, lapses and comes back.

use std::time::{Duration, Instant};

use foxwheel_policy::membership::{BackendServer, Directory, ServerState};

fn server(id: &str, state: ServerState) -> BackendServer {
    BackendServer {
        id: id.to_owned(),
        service: "model".to_owned(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        zone: "hall".to_owned(),
        slots: 8,
        state,
    }
}

fn usable(directory: &Directory) -> Vec<&str> {
    directory
        .usable("model")
        .map(|member| member.server.id.as_str())
        .collect()
}

#[test]
fn a_draining_server_gets_nothing_and_other_services_are_not_mixed_in() {
    let mut directory = Directory::default();
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
    let mut directory = Directory::default();
    directory.upsert(server("a", ServerState::Ready));
    directory.remove("a", now);
    assert!(directory
        .usable("model")
        .all(|member| member.lapsed_until.is_some()));
    // Work must not reach it 2 s after its entry went.
    let gone = directory.expire(now + Duration::from_millis(1_900));
    assert_eq!(gone, ["a"]);
    assert!(usable(&directory).is_empty());
}

#[test]
fn a_draining_server_whose_entry_goes_is_gone_at_once() {
    let mut directory = Directory::default();
    directory.upsert(server("a", ServerState::Draining));
    directory.remove("a", Instant::now());
    assert!(directory.members().is_empty());
}

/// All entries expire while the list's source is away: the servers stay usable until they
/// had time to register again, and those that do not are gone.
#[test]
fn entries_that_lapsed_in_an_outage_are_awaited() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.upsert(server("a", ServerState::Ready));
    directory.upsert(server("b", ServerState::Ready));
    directory.source_lost();
    let back = now + Duration::from_secs(5);
    directory.source_back(back);
    assert!(directory.take_list(Vec::new(), 7, back));
    let soon = back + Duration::from_millis(2_000);
    assert!(directory.expire(soon).is_empty());
    assert_eq!(usable(&directory), ["a", "b"]);
    directory.upsert(server("a", ServerState::Ready));
    let later = back + Duration::from_millis(2_500);
    assert_eq!(directory.expire(later), ["b"]);
    assert_eq!(usable(&directory), ["a"]);
}

#[test]
fn an_entry_that_comes_back_is_no_last_resort_any_more() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.upsert(server("a", ServerState::Ready));
    directory.remove("a", now);
    directory.upsert(server("a", ServerState::Ready));
    assert!(directory.expire(now + Duration::from_secs(60)).is_empty());
    assert!(directory
        .usable("model")
        .all(|member| member.lapsed_until.is_none()));
}

/// A watch that waited through an outage tells of the entries that lapsed before anything
/// else shows that the store is back.
#[test]
fn an_entry_that_vanishes_before_its_source_is_found_again_is_awaited() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.upsert(server("a", ServerState::Ready));
    directory.source_lost();
    directory.remove("a", now);
    directory.source_back(now);
    assert!(directory
        .expire(now + Duration::from_millis(2_300))
        .is_empty());
    assert_eq!(usable(&directory), ["a"]);
    assert_eq!(directory.expire(now + Duration::from_millis(2_500)), ["a"]);
}

/// Lists come from the store and from peers. What a peer knew before the last change, or
/// before it had any list, must not take servers away: only a change of its own would bring
/// an entry back.
#[test]
fn an_older_list_never_replaces_a_newer_one() {
    let now = Instant::now();
    let later = now + Duration::from_secs(60);
    let mut directory = Directory::default();
    assert_eq!(directory.revision(), None);
    let both = ["a", "b"].map(|id| server(id, ServerState::Ready));
    assert!(directory.take_list(both.to_vec(), 20, now));
    assert!(!directory.take_list(Vec::new(), 19, now), "a late answer");
    directory.expire(later);
    assert_eq!(usable(&directory), ["a", "b"]);
    // A watch went on to 30: a list of 25 lacks what came since.
    directory.upsert(server("c", ServerState::Ready));
    directory.advance(30);
    assert!(!directory.take_list(both.to_vec(), 25, now));
    directory.expire(later);
    assert_eq!(usable(&directory), ["a", "b", "c"]);
    assert!(directory.take_list(both[..1].to_vec(), 31, now));
    directory.expire(later);
    assert_eq!(usable(&directory), ["a"]);
}
