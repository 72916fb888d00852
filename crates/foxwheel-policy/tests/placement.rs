//! Where requests go under load.

use foxwheel_policy::placement::{self, Candidate};

fn candidate(id: &str, zone: &str, in_flight: u32) -> Candidate {
    Candidate {
        id: id.to_owned(),
        zone: zone.to_owned(),
        slots: 8,
        in_flight,
        batch_in_flight: 0,
        lapsed: false,
        suspect: false,
    }
}

fn picked(candidates: &[Candidate]) -> Option<&str> {
    placement::pick_online(candidates, "here", 0).map(|pick| pick.id.as_str())
}

#[test]
fn the_least_loaded_server_of_the_own_zone_is_taken_while_it_has_slots() {
    let servers = [
        candidate("a", "here", 3),
        candidate("b", "here", 2),
        candidate("c", "there", 1),
    ];
    assert_eq!(picked(&servers), Some("b"));
}

#[test]
fn a_full_zone_sends_its_work_to_another() {
    let servers = [candidate("a", "here", 8), candidate("c", "there", 4)];
    assert_eq!(picked(&servers), Some("c"));
}

#[test]
fn suspect_and_lapsed_servers_are_last_resorts() {
    let mut servers = [
        candidate("a", "here", 0),
        candidate("b", "here", 0),
        candidate("c", "there", 7),
    ];
    servers[0].suspect = true;
    servers[1].lapsed = true;
    assert_eq!(picked(&servers), Some("c"));
    assert_eq!(picked(&servers[..2]), Some("b"));
    assert_eq!(picked(&servers[..1]), Some("a"));
}

#[test]
fn nothing_is_sent_where_it_could_only_wait() {
    assert_eq!(
        picked(&[candidate("a", "here", 12), candidate("b", "there", 13)]),
        None
    );
    assert_eq!(picked(&[]), None);
}

#[test]
fn batch_items_leave_the_reserve_free() {
    let pick = |in_flight| {
        placement::pick_batch(&[candidate("a", "here", in_flight)], "here", 2, 0).is_some()
    };
    assert!(pick(5));
    assert!(!pick(6));
}

/// A step of online requests meets servers that batch items fill: batch gives way by as
/// much as is over the slots, and never by more than it has there.
#[test]
fn batch_gives_way_to_a_step_of_online_requests() {
    let excess = |in_flight, batch_in_flight| {
        placement::batch_excess(&Candidate {
            batch_in_flight,
            ..candidate("a", "here", in_flight)
        })
    };
    assert_eq!(excess(8, 5), 0);
    assert_eq!(excess(11, 5), 3);
    assert_eq!(excess(14, 5), 5);
    assert_eq!(excess(14, 0), 0);
}
