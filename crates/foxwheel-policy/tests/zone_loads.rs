//! Load estimates for servers of other zones from the load summaries of those zones.

use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::placement::{self, Candidate};
use foxwheel_policy::zone_loads::{self, RequestCounts, MAX_REPORTED_SERVERS};

fn online(online: u32) -> RequestCounts {
    RequestCounts { online, batch: 0 }
}

/// A traffic step fills a zone, and its fronts send the excess to another zone. They must count
/// the requests that they sent there since its last summary, or all of them fill the same server.
#[test]
fn excess_requests_are_spread_over_the_servers_of_another_zone() {
    const SLOTS: u32 = 7;
    let reported = [online(2), online(3), online(2), online(4)];
    let mut sent = [0; 4];
    for _ in 0..17 {
        let load =
            |at: usize| zone_loads::estimate_reported(reported[at], online(sent[at])).total();
        let least_loaded = (0..4).min_by_key(|at| load(*at)).expect("a server");
        sent[least_loaded] += 1;
    }
    let filled: Vec<u32> = (0..4).map(|at| reported[at].online + sent[at]).collect();
    assert_eq!(
        filled, [SLOTS; 4],
        "each server is filled to its slots and not beyond"
    );
}

/// The summary of a zone of any size fits into one packet and covers its least loaded servers.
#[test]
fn a_large_zone_reports_its_least_loaded_servers() {
    let servers = (0..200).map(|at| {
        let instance = ServerInstance {
            id: format!("server-{at}"),
            incarnation: 1,
        };
        (zone_loads::fingerprint(&instance), online(at % 10), 8)
    });
    let reported = zone_loads::select_freest_servers(servers.collect());
    assert_eq!(reported.len(), MAX_REPORTED_SERVERS);
    assert!(reported.iter().all(|(_, load)| load.online <= 1));
    assert!(reported.is_sorted_by_key(|(server, _)| *server));
}

/// A zone sends no load summaries: online requests of a full zone may use its servers, but do not
/// treat them as empty, and batch items do not use them.
#[test]
fn servers_of_a_silent_zone_count_as_neither_empty_nor_full() {
    const SLOTS: u32 = 8;
    let candidate = |zone: &str, load: RequestCounts| Candidate {
        id: format!("server of {zone}"),
        zone: zone.to_owned(),
        slots: SLOTS,
        in_flight: load.total(),
        batch_in_flight: load.batch,
        ..Candidate::default()
    };
    let silent = candidate("zone-b", zone_loads::estimate_silent_zone(SLOTS, online(0)));
    for (local_load, expected_zone) in [(7, "zone-a"), (9, "zone-a"), (10, "zone-b")] {
        let candidates = [candidate("zone-a", online(local_load)), silent.clone()];
        let pick = placement::pick_online(&candidates, "zone-a", 0).expect("a server");
        assert_eq!(
            pick.zone, expected_zone,
            "{local_load} in flight in the own zone"
        );
    }
    assert!(placement::pick_batch(&[silent], "zone-a", 0).is_none());
}

/// In a zone without processes, the other zones are assumed to send as many requests as this one.
#[test]
fn the_load_of_a_zone_without_processes_is_scaled_by_the_number_of_zones() {
    assert_eq!(
        zone_loads::estimate_zone_without_processes(3, online(0)).total(),
        0
    );
    assert_eq!(
        zone_loads::estimate_zone_without_processes(3, online(2)).total(),
        6
    );
}
