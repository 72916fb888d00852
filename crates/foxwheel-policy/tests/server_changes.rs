//! Server list updates from a process that watches the store, received late, twice, out of order
//! or from a process that started to watch later.

use std::time::{Duration, Instant};

use foxwheel_policy::membership::{BackendServer, ServerDirectory, ServerState};
use foxwheel_policy::server_changes::{ServerChange, ServerUpdate};

fn server(id: &str, state: ServerState) -> BackendServer {
    BackendServer {
        id: id.to_owned(),
        incarnation: 1,
        service: "model".to_owned(),
        addr: ([10, 0, 0, 1], 80).into(),
        zone: "zone-a".to_owned(),
        version: "v1".to_owned(),
        slots: 8,
        state,
    }
}

fn ready(id: &str) -> BackendServer {
    server(id, ServerState::Ready)
}

fn listed_usable_ids(directory: &ServerDirectory) -> Vec<String> {
    let usable = directory.usable_entries("model", Instant::now());
    let listed = usable.filter(|entry| entry.grace_until.is_none());
    listed.map(|entry| entry.server.id.clone()).collect()
}

/// Returns the directory of a watcher that listed the servers at revision 10 and has applied two
/// changes since.
fn watcher(now: Instant) -> ServerDirectory {
    let mut directory = ServerDirectory::default();
    directory.apply_list(vec![ready("a"), ready("b")], 10, now);
    directory.apply_change(ServerChange::Listed(ready("c")), 12, now);
    let draining = server("a", ServerState::Draining);
    directory.apply_change(ServerChange::Listed(draining), 14, now);
    directory.advance_revision(14);
    directory
}

#[test]
fn changes_are_sent_for_a_known_revision_and_the_complete_list_otherwise() {
    let now = Instant::now();
    let watcher = watcher(now);
    assert_eq!(watcher.updates_since(Some(14)), ServerUpdate::Nothing);
    assert_eq!(watcher.updates_since(Some(15)), ServerUpdate::Nothing);
    match watcher.updates_since(Some(12)) {
        ServerUpdate::Changes { changes, revision } => {
            assert_eq!((changes.len(), revision), (1, 14));
        }
        other => panic!("{other:?}"),
    }
    for known in [None, Some(9)] {
        let update = watcher.updates_since(known);
        let ServerUpdate::List { servers, .. } = &update else {
            panic!("{update:?}");
        };
        assert_eq!(servers.len(), 3);
        let mut other = ServerDirectory::default();
        assert!(other.apply_update(update, None, now));
        assert_eq!(listed_usable_ids(&other), ["b", "c"]);
        assert_eq!(other.revision(), Some(14));
    }
}

/// An update that was requested before something newer arrived has no effect.
#[test]
fn an_outdated_update_has_no_effect() {
    let now = Instant::now();
    let watcher = watcher(now);
    let requested_from = Some(10);
    let update = watcher.updates_since(requested_from);
    let mut other = ServerDirectory::default();
    other.apply_list(vec![ready("b")], 20, now);
    assert!(!other.apply_update(update, requested_from, now));
    assert!(!other.apply_update(watcher.updates_since(None), None, now));
    assert_eq!(listed_usable_ids(&other), ["b"]);
    assert_eq!(other.revision(), Some(20));
    // Its own watch returns a change that another process already sent.
    other.apply_change(ServerChange::Listed(ready("a")), 19, now);
    assert_eq!(listed_usable_ids(&other), ["b"]);
}

/// An entry that another writer corrupted describes no server for the recipients of an update
/// either, neither in a change nor in a complete list, and is not used as a last resort.
#[test]
fn a_corrupted_entry_is_refused_by_the_recipients_of_an_update() {
    let now = Instant::now();
    let mut watcher = watcher(now);
    watcher.apply_change(ServerChange::Corrupted("b".to_owned()), 16, now);
    watcher.advance_revision(16);
    for known in [Some(14), None] {
        let mut other = ServerDirectory::default();
        other.apply_list(vec![ready("b"), ready("c")], known.unwrap_or(1), now);
        let update = watcher.updates_since(known);
        assert!(other.apply_update(update, known, now));
        let all: Vec<_> = other.usable_entries("model", now).collect();
        assert_eq!(all.len(), 1, "only c: {all:?}");
    }
}

/// A process that receives updates from a watcher, as changes or complete lists and at any time,
/// ends up with the same list.
#[test]
fn updates_lead_to_the_same_list_in_any_order() {
    arbtest::arbtest(|u| {
        let now = Instant::now();
        let (mut watcher, mut other) = (ServerDirectory::default(), ServerDirectory::default());
        watcher.apply_list(vec![ready("a")], 1, now);
        let ids = ["a", "b", "c"];
        for revision in 2..u.int_in_range(3..=1_500)? {
            let id = *u.choose(&ids)?;
            let change = match u.int_in_range(0..=3)? {
                0 => ServerChange::Removed(id.to_owned()),
                1 => ServerChange::Corrupted(id.to_owned()),
                2 => ServerChange::Listed(server(id, ServerState::Draining)),
                _ => ServerChange::Listed(ready(id)),
            };
            watcher.apply_change(change, revision, now);
            watcher.advance_revision(revision);
            if u.ratio(1, 8)? {
                let known = other.revision();
                other.apply_update(watcher.updates_since(known), known, now);
            }
        }
        let known = other.revision();
        other.apply_update(watcher.updates_since(known), known, now);
        // Removed entries may be kept as a last resort for a while, by the clock of each process.
        let later = now + Duration::from_secs(5);
        watcher.remove_expired(later);
        other.remove_expired(later);
        let listed = |directory: &ServerDirectory| -> Vec<BackendServer> {
            directory
                .entries()
                .iter()
                .map(|entry| entry.server.clone())
                .collect()
        };
        assert_eq!(listed(&other), listed(&watcher));
        Ok(())
    });
}
