//! Where requests go under load.

use foxwheel_policy::placement::{self, Candidate};

fn candidate(id: &str, zone: &str, in_flight: u32) -> Candidate {
    Candidate {
        id: id.to_owned(),
        incarnation: 0,
        zone: zone.to_owned(),
        slots: 8,
        in_flight,
        batch_in_flight: 0,
        own_batch_in_flight: 0,
        entry_expired: false,
        suspect: false,
        failure_rate: 0.0,
        is_slot_manager: false,
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
    servers[1].entry_expired = true;
    assert_eq!(picked(&servers), Some("c"));
    assert_eq!(picked(&servers[..2]), Some("b"));
    assert_eq!(picked(&servers[..1]), Some("a"));
}

/// The end of a trough: batch items fill the other zone and some of the own one's servers.
/// They give way within milliseconds, online requests do not: a request goes where batch
/// items are, and out of a zone that online requests fill.
#[test]
fn batch_items_hold_up_less_than_online_requests() {
    let with_batch = |id, zone, in_flight, batch_in_flight| Candidate {
        batch_in_flight,
        ..candidate(id, zone, in_flight)
    };
    let own = [candidate("a", "here", 7), with_batch("b", "here", 8, 6)];
    assert_eq!(picked(&own), Some("b"));
    let other_zone = [candidate("a", "here", 8), with_batch("c", "there", 8, 6)];
    assert_eq!(picked(&other_zone), Some("c"));
    // Full of batch items alone, a server still takes a request.
    assert_eq!(picked(&[with_batch("b", "here", 10, 8)]), Some("b"));
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
fn batch_items_leave_the_reserve_free_and_more_where_another_worker_keeps_the_slots() {
    let pick = |is_slot_manager, in_flight| {
        let server = Candidate {
            is_slot_manager,
            ..candidate("a", "here", in_flight)
        };
        placement::pick_batch(&[server], "here", 0).is_some()
    };
    assert!(pick(true, 6));
    assert!(!pick(true, 7));
    assert!(pick(false, 3));
    assert!(!pick(false, 4));
}

/// The least loaded server is another worker's to give out and full for this one; its own has
/// room.
#[test]
fn a_batch_item_takes_the_server_with_room_for_it() {
    let guest = candidate("a", "there", 4);
    let own = Candidate {
        is_slot_manager: true,
        ..candidate("b", "here", 6)
    };
    for draw in 0..2 {
        let servers = [guest.clone(), own.clone()];
        let pick = placement::pick_batch(&servers, "here", draw);
        assert_eq!(pick.map(|one| one.id.as_str()), Some("b"));
    }
}

/// Servers of every size take batch items while they are idle, and keep a slot free for
/// online requests if they have one to spare.
#[test]
fn idle_servers_of_every_size_take_batch_items() {
    for slots in 1..=64 {
        for is_slot_manager in [true, false] {
            let mut server = Candidate {
                slots,
                is_slot_manager,
                ..candidate("a", "here", 0)
            };
            while placement::pick_batch(std::slice::from_ref(&server), "here", 0).is_some() {
                server.in_flight += 1;
            }
            let taken = server.in_flight;
            assert!(taken > 0, "{slots} slots, keeper {is_slot_manager}");
            assert!(taken < slots || slots == 1, "{slots} slots, {taken} taken");
        }
    }
}

/// A step of online requests meets servers that batch items fill: each process takes its
/// share of the excess off, and all together no more than the batch items there.
#[test]
fn batch_gives_way_to_a_step_of_online_requests() {
    let excess = |in_flight, batch_in_flight, own_batch_in_flight| {
        placement::batch_items_to_preempt(&Candidate {
            batch_in_flight,
            own_batch_in_flight,
            ..candidate("a", "here", in_flight)
        })
    };
    assert_eq!(excess(8, 5, 5), 0);
    assert_eq!(excess(11, 5, 5), 3);
    assert_eq!(excess(14, 5, 5), 5);
    assert_eq!(excess(14, 0, 0), 0);
    assert_eq!([4, 1].map(|own| excess(10, 5, own)), [2, 1]);
    assert_eq!(excess(20, 5, 1), 1);
}

/// Three workers see one server of a far zone through heartbeats that are 0.4 s old, and
/// each starts what it sees room for at once. Together they stay within its slots and do
/// not have to stop runs again.
#[test]
fn workers_that_hear_late_do_not_overfill_a_far_server() {
    let seen = candidate("a", "far", 3);
    let mut started = 0;
    for zone in ["one", "two", "three"] {
        let mut own = seen.clone();
        while placement::pick_batch(std::slice::from_ref(&own), zone, 0).is_some() {
            own.in_flight += 1;
            started += 1;
        }
    }
    assert!(started > 0);
    assert!(seen.in_flight + started <= seen.slots, "{started} started");
}
