//! Who speaks for a zone and who follows the store for it, as processes start, die, freeze,
//! are cut off and leave.

use std::time::Duration;

use foxwheel_policy::representatives::{
    self, Rank, ZoneProcess, MAX_REPRESENTATIVES, SILENCE_TIMEOUT,
};
use foxwheel_policy::watcher_selection::{self, WatchState};

fn member(host: &str) -> ZoneProcess {
    ZoneProcess {
        host: host.to_owned(),
        is_worker: host.starts_with("worker"),
        leaving: false,
        store_reached: true,
        silent_for: Duration::ZERO,
    }
}

fn zone() -> Vec<ZoneProcess> {
    ["front-1", "front-2", "front-3", "worker-1"]
        .map(member)
        .to_vec()
}

#[test]
fn workers_speak_first_and_all_who_hear_the_same_name_the_same() {
    let mut members = zone();
    assert_eq!(representatives::select(&members), ["worker-1", "front-1"]);
    members.reverse();
    assert_eq!(representatives::select(&members), ["worker-1", "front-1"]);
}

#[test]
fn a_silent_leaving_or_cut_off_process_is_replaced() {
    let mut members = zone();
    members[3].silent_for = SILENCE_TIMEOUT;
    assert_eq!(representatives::select(&members), ["front-1", "front-2"]);
    members[0].store_reached = false;
    assert_eq!(representatives::select(&members), ["front-2", "front-3"]);
    members[1].leaving = true;
    assert_eq!(representatives::select(&members), ["front-3", "front-1"]);
}

/// While the store answers nobody the zone still has speakers, and one process alone names
/// itself.
#[test]
fn there_is_a_speaker_as_long_as_there_is_a_process() {
    let mut members = zone();
    for one in &mut members {
        one.store_reached = false;
    }
    assert_eq!(representatives::select(&members), ["worker-1", "front-1"]);
    assert_eq!(representatives::select(&members[1..2]), ["front-2"]);
}

/// However the processes of a zone hear each other, each finds somebody who follows: the two
/// that it names, who hear of it, or itself.
#[test]
fn nobody_is_left_without_a_follower() {
    arbtest::arbtest(|u| {
        let hosts = ["front-1", "front-2", "front-3", "worker-1"];
        let mut named: Vec<Vec<String>> = Vec::new();
        for own in hosts {
            let mut members = Vec::new();
            for host in hosts {
                let mut one = member(host);
                if host != own {
                    let silent_ms = u.int_in_range(0..=1_000)?;
                    one.silent_for = Duration::from_millis(silent_ms);
                    one.store_reached = u.ratio(3, 4)?;
                }
                members.push(one);
            }
            let picked = representatives::select(&members);
            assert!(!picked.is_empty() && picked.len() <= MAX_REPRESENTATIVES);
            let all_silent = members
                .iter()
                .all(|one| one.host == own || one.silent_for >= SILENCE_TIMEOUT);
            if all_silent {
                assert_eq!(picked, [own], "it is alone");
            }
            named.push(picked);
        }
        Ok(())
    });
}

#[test]
fn who_is_named_or_told_nothing_follows() {
    let told = WatchState {
        selects_itself: false,
        selected_by_peer_ago: None,
        synced_ago: Some(Duration::from_millis(100)),
    };
    assert!(!watcher_selection::should_watch_store(told));
    let follows = [
        WatchState {
            selects_itself: true,
            ..told
        },
        WatchState {
            selected_by_peer_ago: Some(Duration::ZERO),
            ..told
        },
        // The follower died, froze, or lost the store: it tells nothing any more.
        WatchState {
            synced_ago: Some(watcher_selection::MAX_SYNC_AGE),
            ..told
        },
        // It just started and heard nobody.
        WatchState {
            synced_ago: None,
            ..told
        },
    ];
    for standing in follows {
        assert!(
            watcher_selection::should_watch_store(standing),
            "{standing:?}"
        );
    }
    let no_longer = WatchState {
        selected_by_peer_ago: Some(watcher_selection::STOP_WATCHING_DELAY),
        ..told
    };
    assert!(!watcher_selection::should_watch_store(no_longer));
}

/// Processes that hear each other differently name different speakers: each of those acts.
#[test]
fn whoever_is_named_acts() {
    let named = |speakers: &[&str]| -> Vec<String> {
        speakers.iter().map(|host| (*host).to_owned()).collect()
    };
    let all = [
        named(&["worker-1", "front-1"]),
        named(&["front-1", "front-2"]),
    ];
    let rank = |host| representatives::highest_rank(host, all.iter().map(Vec::as_slice));
    assert_eq!(rank("worker-1"), Rank::Primary);
    assert_eq!(rank("front-1"), Rank::Primary, "by one of them");
    assert_eq!(rank("front-2"), Rank::Secondary);
    assert_eq!(rank("front-3"), Rank::None);
}
