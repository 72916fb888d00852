//! Load on servers of other zones, as it is estimated from what their zones told a moment ago.

use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::placement::{self, Candidate};
use foxwheel_policy::zone_loads::{self, RequestCounts, MAX_REPORTED_SERVERS};

fn online(online: u32) -> RequestCounts {
    RequestCounts { online, batch: 0 }
}

/// A step that fills a zone: its fronts send what is too much to another zone, and must count
/// what they sent there since its last summary, or they all fill the first server.
#[test]
fn a_step_spreads_over_the_other_zones_servers() {
    const SLOTS: u32 = 7;
    let told = [online(2), online(3), online(2), online(4)];
    let mut sent = [0; 4];
    for _ in 0..17 {
        let load = |at: usize| zone_loads::estimate_reported(told[at], online(sent[at])).total();
        let least = (0..4).min_by_key(|at| load(*at)).expect("a server");
        sent[least] += 1;
    }
    let filled: Vec<u32> = (0..4).map(|at| told[at].online + sent[at]).collect();
    assert_eq!(filled, [SLOTS; 4], "each to its slots and none beyond");
}

/// A zone of any size is told of in one packet, its freest servers first.
#[test]
fn a_large_zone_tells_of_its_freest_servers() {
    let servers = (0..200).map(|at| {
        let key = ServerInstance {
            id: format!("server-{at}"),
            incarnation: 1,
        };
        (zone_loads::fingerprint(&key), online(at % 10), 8)
    });
    let told = zone_loads::select_freest_servers(servers.collect());
    assert_eq!(told.len(), MAX_REPORTED_SERVERS);
    assert!(told.iter().all(|(_, load)| load.online <= 1));
    assert!(told.is_sorted_by_key(|(server, _)| *server));
}

/// Nobody speaks for a zone: a full zone leaves some to it, and does not take its servers for
/// empty; batch items stay away.
#[test]
fn servers_of_a_silent_zone_are_neither_empty_nor_full() {
    const SLOTS: u32 = 8;
    let candidate = |zone: &str, load: RequestCounts| Candidate {
        id: format!("server of {zone}"),
        zone: zone.to_owned(),
        slots: SLOTS,
        in_flight: load.total(),
        batch_in_flight: load.batch,
        ..Candidate::default()
    };
    let silent = candidate("yard", zone_loads::estimate_silent_zone(SLOTS, online(0)));
    for (local, wanted) in [(7, "hall"), (9, "hall"), (10, "yard")] {
        let candidates = [candidate("hall", online(local)), silent.clone()];
        let pick = placement::pick_online(&candidates, "hall", 0).expect("a server");
        assert_eq!(pick.zone, wanted, "{local} in flight here");
    }
    assert!(placement::pick_batch(&[silent], "hall", 0).is_none());
}

/// A zone without processes: what this zone sends there the others are taken to send too.
#[test]
fn a_zone_without_processes_is_shared() {
    assert_eq!(
        zone_loads::estimate_zone_without_processes(3, online(0)).total(),
        0
    );
    assert_eq!(
        zone_loads::estimate_zone_without_processes(3, online(2)).total(),
        6
    );
}
