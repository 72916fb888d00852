//! Selection of the representatives and store watchers of a zone while processes start, die,
//! freeze, are cut off and stop.

use std::time::Duration;

use foxwheel_policy::representatives::{
    self, Rank, ZoneProcess, MAX_REPRESENTATIVES, SILENCE_TIMEOUT,
};
use foxwheel_policy::watcher_selection::{self, WatchState};

fn process(host: &str) -> ZoneProcess {
    ZoneProcess {
        host: host.to_owned(),
        is_worker: host.starts_with("worker"),
        leaving: false,
        store_reached: true,
        silent_for: Duration::ZERO,
    }
}

fn processes_of_zone() -> Vec<ZoneProcess> {
    ["front-1", "front-2", "front-3", "worker-1"]
        .map(process)
        .to_vec()
}

#[test]
fn workers_are_preferred_and_the_selection_ignores_the_input_order() {
    let mut processes = processes_of_zone();
    assert_eq!(representatives::select(&processes), ["worker-1", "front-1"]);
    processes.reverse();
    assert_eq!(representatives::select(&processes), ["worker-1", "front-1"]);
}

#[test]
fn a_silent_stopping_or_cut_off_representative_is_replaced() {
    let mut processes = processes_of_zone();
    processes[3].silent_for = SILENCE_TIMEOUT;
    assert_eq!(representatives::select(&processes), ["front-1", "front-2"]);
    processes[0].store_reached = false;
    assert_eq!(representatives::select(&processes), ["front-2", "front-3"]);
    processes[1].leaving = true;
    assert_eq!(representatives::select(&processes), ["front-3", "front-1"]);
}

/// While the store is out of reach for all processes, the zone still has representatives, and a
/// single process selects itself.
#[test]
fn a_zone_with_a_process_has_a_representative() {
    let mut processes = processes_of_zone();
    for process in &mut processes {
        process.store_reached = false;
    }
    assert_eq!(representatives::select(&processes), ["worker-1", "front-1"]);
    assert_eq!(representatives::select(&processes[1..2]), ["front-2"]);
}

/// Whichever heartbeats the processes of a zone receive, each process selects somebody who watches
/// the store: one or two others, which learn of their selection, or itself.
#[test]
fn every_process_selects_a_store_watcher() {
    arbtest::arbtest(|u| {
        let hosts = ["front-1", "front-2", "front-3", "worker-1"];
        for own in hosts {
            let mut processes = Vec::new();
            for host in hosts {
                let mut seen = process(host);
                if host != own {
                    let silent_ms = u.int_in_range(0..=1_000)?;
                    seen.silent_for = Duration::from_millis(silent_ms);
                    seen.store_reached = u.ratio(3, 4)?;
                }
                processes.push(seen);
            }
            let selected = representatives::select(&processes);
            assert!(!selected.is_empty() && selected.len() <= MAX_REPRESENTATIVES);
            let all_silent = processes
                .iter()
                .all(|process| process.host == own || process.silent_for >= SILENCE_TIMEOUT);
            if all_silent {
                assert_eq!(selected, [own], "no other process is alive");
            }
        }
        Ok(())
    });
}

#[test]
fn a_selected_or_unsynced_process_watches_the_store() {
    let synced = WatchState {
        selects_itself: false,
        selected_by_peer_ago: None,
        synced_ago: Some(Duration::from_millis(100)),
    };
    assert!(!watcher_selection::should_watch_store(synced));
    let watching = [
        WatchState {
            selects_itself: true,
            ..synced
        },
        WatchState {
            selected_by_peer_ago: Some(Duration::ZERO),
            ..synced
        },
        // The watcher died, froze or lost the store, and no longer confirms its state.
        WatchState {
            synced_ago: Some(watcher_selection::MAX_SYNC_AGE),
            ..synced
        },
        // The process has just started and received no heartbeat.
        WatchState {
            synced_ago: None,
            ..synced
        },
    ];
    for state in watching {
        assert!(watcher_selection::should_watch_store(state), "{state:?}");
    }
    let no_longer_selected = WatchState {
        selected_by_peer_ago: Some(watcher_selection::STOP_WATCHING_DELAY),
        ..synced
    };
    assert!(!watcher_selection::should_watch_store(no_longer_selected));
}

/// Processes that receive different heartbeats select different representatives, and each of those
/// acts as one.
#[test]
fn every_selected_process_has_a_rank() {
    let selection =
        |hosts: &[&str]| -> Vec<String> { hosts.iter().map(|host| (*host).to_owned()).collect() };
    let selections = [
        selection(&["worker-1", "front-1"]),
        selection(&["front-1", "front-2"]),
    ];
    let rank = |host| representatives::highest_rank(host, selections.iter().map(Vec::as_slice));
    assert_eq!(rank("worker-1"), Rank::Primary);
    assert_eq!(rank("front-1"), Rank::Primary, "primary of one of them");
    assert_eq!(rank("front-2"), Rank::Secondary);
    assert_eq!(rank("front-3"), Rank::None);
}
