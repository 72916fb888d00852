//! What a process takes from another that follows the store: late, twice, out of order, or
//! from one that began later.

use std::time::{Duration, Instant};

use foxwheel_policy::membership::{BackendServer, ServerDirectory, ServerState};
use foxwheel_policy::server_changes::{ServerChange, ServerUpdate};

fn server(id: &str, state: ServerState) -> BackendServer {
    BackendServer {
        id: id.to_owned(),
        incarnation: 1,
        service: "model".to_owned(),
        addr: ([10, 0, 0, 1], 80).into(),
        zone: "hall".to_owned(),
        slots: 8,
        state,
    }
}

fn ready(id: &str) -> BackendServer {
    server(id, ServerState::Ready)
}

fn usable(directory: &ServerDirectory) -> Vec<String> {
    let usable = directory.usable_entries("model", Instant::now());
    let fresh = usable.filter(|member| member.grace_until.is_none());
    fresh.map(|member| member.server.id.clone()).collect()
}

/// A follower that listed at revision 10 and took two changes since.
fn follower(now: Instant) -> ServerDirectory {
    let mut directory = ServerDirectory::default();
    directory.apply_list(vec![ready("a"), ready("b")], 10, now);
    directory.apply_change(ServerChange::Listed(ready("c")), 12, now);
    let draining = server("a", ServerState::Draining);
    directory.apply_change(ServerChange::Listed(draining), 14, now);
    directory.advance_revision(14);
    directory
}

#[test]
fn changes_are_told_to_who_knows_the_list_and_the_list_to_others() {
    let now = Instant::now();
    let follower = follower(now);
    assert_eq!(follower.updates_since(Some(14)), ServerUpdate::Nothing);
    assert_eq!(follower.updates_since(Some(15)), ServerUpdate::Nothing);
    match follower.updates_since(Some(12)) {
        ServerUpdate::Changes { changes, revision } => {
            assert_eq!((changes.len(), revision), (1, 14));
        }
        other => panic!("{other:?}"),
    }
    for known in [None, Some(9)] {
        let news = follower.updates_since(known);
        let ServerUpdate::List { servers, .. } = &news else {
            panic!("{news:?}");
        };
        assert_eq!(servers.len(), 3);
        let mut other = ServerDirectory::default();
        assert!(other.apply_update(news, None, now));
        assert_eq!(usable(&other), ["b", "c"]);
        assert_eq!(other.revision(), Some(14));
    }
}

/// An answer that was asked for before something newer came changes nothing.
#[test]
fn stale_news_changes_nothing() {
    let now = Instant::now();
    let follower = follower(now);
    let asked_from = Some(10);
    let news = follower.updates_since(asked_from);
    let mut other = ServerDirectory::default();
    other.apply_list(vec![ready("b")], 20, now);
    assert!(!other.apply_update(news, asked_from, now));
    assert!(!other.apply_update(follower.updates_since(None), None, now));
    assert_eq!(usable(&other), ["b"]);
    assert_eq!(other.revision(), Some(20));
    // Its own watch brings what another told before.
    other.apply_change(ServerChange::Listed(ready("a")), 19, now);
    assert_eq!(usable(&other), ["b"]);
}

/// An entry that another writer spoiled names no server at those who are told of it, also in
/// a whole list, and not even as a last resort.
#[test]
fn a_spoiled_entry_is_refused_at_second_hand() {
    let now = Instant::now();
    let mut follower = follower(now);
    follower.apply_change(ServerChange::Refused("b".to_owned()), 16, now);
    follower.advance_revision(16);
    for known in [Some(14), None] {
        let mut other = ServerDirectory::default();
        other.apply_list(vec![ready("b"), ready("c")], known.unwrap_or(1), now);
        let news = follower.updates_since(known);
        assert!(other.apply_update(news, known, now));
        let all: Vec<_> = other.usable_entries("model", now).collect();
        assert_eq!(all.len(), 1, "only c: {all:?}");
    }
}

/// Whoever follows a follower, by changes or whole lists and at any time, knows what it knows.
#[test]
fn second_hand_knowledge_is_the_same_in_any_order() {
    arbtest::arbtest(|u| {
        let now = Instant::now();
        let (mut follower, mut other) = (ServerDirectory::default(), ServerDirectory::default());
        follower.apply_list(vec![ready("a")], 1, now);
        let ids = ["a", "b", "c"];
        for revision in 2..u.int_in_range(3..=1_500)? {
            let id = *u.choose(&ids)?;
            let change = match u.int_in_range(0..=3)? {
                0 => ServerChange::Removed(id.to_owned()),
                1 => ServerChange::Refused(id.to_owned()),
                2 => ServerChange::Listed(server(id, ServerState::Draining)),
                _ => ServerChange::Listed(ready(id)),
            };
            follower.apply_change(change, revision, now);
            follower.advance_revision(revision);
            if u.ratio(1, 8)? {
                let known = other.revision();
                other.apply_update(follower.updates_since(known), known, now);
            }
        }
        let known = other.revision();
        other.apply_update(follower.updates_since(known), known, now);
        // What vanished may be kept as a last resort for a while, at each by its own clock.
        let later = now + Duration::from_secs(5);
        follower.remove_expired(later);
        other.remove_expired(later);
        let listed = |of: &ServerDirectory| -> Vec<BackendServer> {
            of.entries().iter().map(|one| one.server.clone()).collect()
        };
        assert_eq!(listed(&other), listed(&follower));
        Ok(())
    });
}
