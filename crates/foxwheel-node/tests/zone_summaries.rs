//! What a process knows of other zones: load summaries, how they are forwarded, and who sends
//! messages to whom across zones.

mod common;

use std::time::{Duration, Instant};

use common::peer_messages::{addr, heartbeat, server, worker_peers};
use foxwheel_node::load_table::ServerLoad;
use foxwheel_node::other_zones::SummarySource;
use foxwheel_node::peer_directory::HeartbeatScope;
use foxwheel_node::peer_messages::{
    AgedSummary, CrossZoneLoads, Introduction, PeerEndpoint, WorkerSummary, ZoneSummary,
};
use foxwheel_node::peers::Peers;
use foxwheel_node::settings::Role;
use foxwheel_policy::load_reports::DEAD_TIMEOUT;
use foxwheel_policy::placement::{self, Candidate};
use foxwheel_policy::zone_loads::{self, RequestCounts};

/// Returns a summary of the zone `yard` with `online` requests in flight at `server(1)`.
fn yard_summary(host: u8, incarnation: u64, sequence: u64, online: u32) -> ZoneSummary {
    let load = RequestCounts { online, batch: 0 };
    ZoneSummary {
        zone: "yard".to_owned(),
        host: format!("host-{host}"),
        addr: addr(host),
        quarantine_digest: 0,
        incarnation,
        sequence,
        representatives: vec![addr(host)],
        fronts: 3,
        servers: vec![(zone_loads::fingerprint(&server(1)), load)],
        dead_instances: Vec::new(),
        workers: vec![WorkerSummary {
            host: format!("host-{host}"),
            addr: addr(host),
            leaving: false,
            store_reached: true,
            waiting_items: 0,
            silent_for: Duration::ZERO,
        }],
    }
}

fn aged_summary(age_ms: u64, summary: ZoneSummary) -> AgedSummary {
    let age = Duration::from_millis(age_ms);
    AgedSummary { age, summary }
}

fn load_in_yard(peers: &Peers, now: Instant) -> Option<u32> {
    let zone = "yard".to_owned();
    let load = peers.other_zone_load(&zone, &server(1), 8, RequestCounts::default(), now)?;
    Some(load.online)
}

/// Summaries arrive late, twice, out of order, from two representatives and from an earlier
/// incarnation of one.
#[test]
fn the_newest_summary_of_a_zone_is_used() {
    let (peers, start) = (worker_peers(), Instant::now());
    let now = start + Duration::from_secs(10);
    assert_eq!(
        load_in_yard(&peers, now),
        Some(0),
        "no process of the zone is known"
    );
    peers.apply_summary(
        aged_summary(0, yard_summary(5, 2, 7, 4)),
        SummarySource::Direct,
        now,
    );
    assert_eq!(load_in_yard(&peers, now), Some(4));
    peers.apply_summary(
        aged_summary(0, yard_summary(5, 2, 6, 1)),
        SummarySource::Direct,
        now,
    );
    peers.apply_summary(
        aged_summary(0, yard_summary(5, 1, 9, 1)),
        SummarySource::Direct,
        now,
    );
    assert_eq!(
        load_in_yard(&peers, now),
        Some(4),
        "an older sequence number and an older incarnation"
    );
    peers.apply_summary(
        aged_summary(300, yard_summary(6, 1, 99, 2)),
        SummarySource::Direct,
        now,
    );
    assert_eq!(
        load_in_yard(&peers, now),
        Some(4),
        "from another representative, but older"
    );
    peers.apply_summary(
        aged_summary(0, yard_summary(6, 1, 100, 2)),
        SummarySource::Direct,
        now + Duration::from_millis(1),
    );
    assert_eq!(
        load_in_yard(&peers, now + Duration::from_millis(1)),
        Some(2)
    );
}

/// When the last summary of a zone has expired, the load on its servers is estimated as for a
/// silent zone, and its workers count as dead.
#[test]
fn a_summary_expires_by_its_age() {
    let (peers, start) = (worker_peers(), Instant::now());
    let now = start + Duration::from_secs(10);
    peers.apply_summary(
        aged_summary(1_000, yard_summary(5, 1, 1, 4)),
        SummarySource::Direct,
        now,
    );
    assert_eq!(peers.live_workers(now).len(), 1);
    assert_eq!(peers.other_front_count(now), 3);
    let later = now + DEAD_TIMEOUT - Duration::from_millis(1_000);
    assert_eq!(
        load_in_yard(&peers, later),
        Some(6),
        "a silent zone: three quarters of 8 slots"
    );
    assert!(peers.live_workers(later).is_empty());
    assert_eq!(peers.other_front_count(later), 0);
}

/// Requests that this zone sent since the summary count. A server missing from the summary counts
/// as full.
#[test]
fn load_in_another_zone_includes_requests_sent_since_its_summary() {
    let (peers, now) = (worker_peers(), Instant::now());
    peers.apply_summary(
        aged_summary(0, yard_summary(5, 1, 1, 4)),
        SummarySource::Direct,
        now,
    );
    let mut sender = heartbeat(2, 1, &[]);
    sender.loads[0].online = 2;
    peers.apply_heartbeat(sender, addr(1), now);
    assert_eq!(load_in_yard(&peers, now), Some(6));
    let zone = "yard".to_owned();
    let unreported = peers.other_zone_load(&zone, &server(9), 8, RequestCounts::default(), now);
    assert_eq!(
        unreported.expect("a summary of the zone is known").total(),
        8
    );
}

fn cross_zone_report(incarnation: u64, sequence: u64, online: u32) -> CrossZoneLoads {
    let load = ServerLoad {
        server: server(1),
        online,
        batch: 0,
    };
    CrossZoneLoads {
        host: "host-7".to_owned(),
        zone: "yard".to_owned(),
        incarnation,
        sequence,
        is_forwarded: false,
        loads: vec![load],
    }
}

/// A process's load from another zone counts once, in the order of its reports, until the process
/// is silent.
#[test]
fn cross_zone_loads_count_until_their_process_is_silent() {
    let (peers, now) = (worker_peers(), Instant::now());
    assert!(peers.apply_cross_zone_loads(&cross_zone_report(1, 2, 3), now));
    assert!(
        !peers.apply_cross_zone_loads(&cross_zone_report(1, 2, 3), now),
        "forwarded by the other representative"
    );
    assert!(!peers.apply_cross_zone_loads(&cross_zone_report(1, 1, 9), now));
    assert_eq!(peers.in_flight(&server(1), now), (3, 0));
    assert!(
        peers.apply_cross_zone_loads(&cross_zone_report(2, 1, 1), now),
        "the process restarted"
    );
    assert_eq!(peers.in_flight(&server(1), now), (1, 0));
    // The summary for a zone excludes the load that comes from that zone itself.
    let from_yard = peers.cross_zone_loads(&"yard".to_owned(), now);
    assert_eq!(from_yard.in_flight(&server(1)), (1, 0));
    let from_attic = peers.cross_zone_loads(&"attic".to_owned(), now);
    assert_eq!(from_attic.in_flight(&server(1)), (0, 0));
    assert_eq!(peers.in_flight(&server(1), now + DEAD_TIMEOUT), (0, 0));
}

/// Heartbeats to other zones are limited to what is needed: a front sends none, a worker sends
/// them to workers, and an unknown process gets them until it has introduced itself.
#[test]
fn heartbeats_stay_within_the_zone_except_between_workers() {
    let endpoint = |host, zone: &str, role| PeerEndpoint {
        addr: addr(host),
        zone: zone.to_owned(),
        role,
    };
    for (own_role, other_zone_recipients) in [
        (Role::Front, vec![addr(9)]),
        (Role::Worker, vec![addr(5), addr(9)]),
    ] {
        let (peers, now) = (Peers::new("hall".to_owned(), own_role), Instant::now());
        peers.add_endpoint(&endpoint(2, "hall", Role::Front), now);
        for host in 10..200 {
            peers.add_endpoint(&endpoint(host, "yard", Role::Front), now);
        }
        peers.add_endpoint(&endpoint(5, "yard", Role::Worker), now);
        peers.add_address(addr(9), addr(1), now);
        assert_eq!(
            peers.heartbeat_recipients(HeartbeatScope::OwnZone, now),
            [addr(2)]
        );
        assert_eq!(
            peers.heartbeat_recipients(HeartbeatScope::OtherZones, now),
            other_zone_recipients
        );
        assert_eq!(
            peers.known_addresses(now).len(),
            5,
            "only a few fronts of another zone are kept"
        );
        let introduction = Introduction {
            sender: endpoint(9, "yard", Role::Front),
            others: vec![endpoint(3, "hall", Role::Front)],
        };
        peers.apply_introduction(&introduction, addr(1), now);
        assert_eq!(
            peers.heartbeat_recipients(HeartbeatScope::OwnZone, now),
            [addr(2), addr(3)]
        );
        assert!(!peers
            .heartbeat_recipients(HeartbeatScope::OtherZones, now)
            .contains(&addr(9)));
    }
}

/// Two workers that start at the same time may each miss the other's entry in the store. Without
/// heartbeats between them, both would run the same jobs. A worker therefore learns of the other
/// one from its zone's summary.
#[test]
fn a_worker_learns_of_another_from_its_zones_summary() {
    let (peers, now) = (worker_peers(), Instant::now());
    peers.apply_summary(
        aged_summary(0, yard_summary(5, 1, 1, 4)),
        SummarySource::Direct,
        now,
    );
    assert_eq!(
        peers.heartbeat_recipients(HeartbeatScope::OtherZones, now),
        [addr(5)]
    );
}

/// If the path between the primary representatives of two zones is cut, the secondary one still
/// receives the other zone's summaries. It forwards only those that the primary does not.
#[test]
fn the_secondary_representative_forwards_what_the_primary_does_not() {
    let (peers, start) = (worker_peers(), Instant::now());
    let at = |ms| start + Duration::from_secs(10) + Duration::from_millis(ms);
    let forwarded_count = |ms| peers.summaries_to_forward(false, at(ms)).len();
    peers.apply_summary(
        aged_summary(0, yard_summary(5, 1, 1, 4)),
        SummarySource::Forwarded,
        at(0),
    );
    peers.apply_summary(
        aged_summary(0, yard_summary(5, 1, 2, 4)),
        SummarySource::Direct,
        at(400),
    );
    assert_eq!(
        forwarded_count(400),
        0,
        "the primary representative forwarded one 400 ms ago"
    );
    peers.apply_summary(
        aged_summary(0, yard_summary(5, 1, 3, 4)),
        SummarySource::Direct,
        at(600),
    );
    assert_eq!(forwarded_count(600), 1);
    assert_eq!(forwarded_count(700), 0, "no new summary");
    peers.apply_summary(
        aged_summary(0, yard_summary(5, 1, 4, 4)),
        SummarySource::Forwarded,
        at(800),
    );
    assert_eq!(
        forwarded_count(800),
        0,
        "already forwarded by the primary representative"
    );
    peers.apply_summary(
        aged_summary(0, yard_summary(5, 1, 5, 4)),
        SummarySource::Direct,
        at(900),
    );
    assert_eq!(
        peers.summaries_to_forward(true, at(900)).len(),
        1,
        "as the primary representative"
    );
}

/// While the processes of a zone select different representatives, one process may be the primary
/// one of some and the secondary one of others. The latter received no summaries from it.
#[test]
fn a_summary_is_forwarded_to_subscribers_of_both_ranks() {
    let (peers, now) = (worker_peers(), Instant::now());
    peers.apply_summary(
        aged_summary(0, yard_summary(5, 1, 1, 4)),
        SummarySource::Direct,
        now,
    );
    for is_primary in [true, false] {
        let forwarded = peers.summaries_to_forward(is_primary, now);
        assert_eq!(forwarded.len(), 1, "primary: {is_primary}");
        let again = peers.summaries_to_forward(is_primary, now);
        assert!(again.is_empty(), "primary: {is_primary}");
    }
}

/// A process without a recent summary of a zone asks the processes of that zone, and only of such
/// zones.
#[test]
fn processes_of_zones_without_a_recent_summary_are_asked() {
    let (peers, now) = (worker_peers(), Instant::now());
    assert!(peers.silent_zone_recipients(now).is_empty());
    peers.apply_summary(
        aged_summary(0, yard_summary(5, 1, 1, 4)),
        SummarySource::Forwarded,
        now,
    );
    assert!(peers.silent_zone_recipients(now).is_empty());
    assert_eq!(
        peers.silent_zone_recipients(now + DEAD_TIMEOUT),
        [[addr(5)]]
    );
}

/// A front whose zone is full sends requests to another zone only while that zone has free slots.
/// The summary shows it the requests that the zone's own fronts, whose heartbeats it does not
/// receive, have in flight there.
#[test]
fn placement_uses_the_summarized_load_of_another_zone() {
    const SLOTS: u32 = 8;
    let candidate = |zone: &str, load: RequestCounts| Candidate {
        id: format!("server of {zone}"),
        zone: zone.to_owned(),
        slots: SLOTS,
        in_flight: load.total(),
        ..Candidate::default()
    };
    let now = Instant::now();
    for (summarized, wanted) in [(3, Some("yard")), (10, None)] {
        let peers = worker_peers();
        peers.apply_summary(
            aged_summary(0, yard_summary(5, 1, 1, summarized)),
            SummarySource::Forwarded,
            now,
        );
        let load = peers.other_zone_load(
            &"yard".to_owned(),
            &server(1),
            SLOTS,
            RequestCounts::default(),
            now,
        );
        let local = RequestCounts {
            online: 10,
            batch: 0,
        };
        let candidates = [
            candidate("hall", local),
            candidate("yard", load.expect("another zone")),
        ];
        let picked = placement::pick_online(&candidates, "hall", 0);
        assert_eq!(
            picked.map(|one| one.zone.as_str()),
            wanted,
            "{summarized} in the summary"
        );
    }
}
