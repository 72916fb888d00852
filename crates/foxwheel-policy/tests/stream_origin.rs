//! Where streams began, while processes come and go and streams end by the thousand.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use foxwheel_policy::stream_origin::{self, HolderCandidates, StreamOrigin, StreamOrigins};

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "model".to_owned(),
        version: version.to_owned(),
    }
}

fn addr(zone: u8, host: u8) -> SocketAddr {
    ([10, zone, 0, host], 7_500).into()
}

fn zone(number: u8) -> String {
    format!("zone-{number}")
}

/// Zones with the number of their fronts. Each has one worker, host 0.
const FRONTS: [u8; 3] = [2, 1, 4];

/// Returns the candidates as the front `host` of zone `own` sees them without the processes in `dead`.
fn candidates(own: u8, host: u8, dead: &[SocketAddr]) -> HolderCandidates {
    let is_live = |addr: &SocketAddr| !dead.contains(addr);
    let own_hosts = (0..=FRONTS[usize::from(own)]).filter(|other| *other != host);
    let workers = (0..FRONTS.len() as u8).map(|number| (zone(number), addr(number, 0)));
    HolderCandidates {
        own_zone: own_hosts
            .map(|host| addr(own, host))
            .filter(is_live)
            .collect(),
        workers: workers.filter(|(_, addr)| is_live(addr)).collect(),
    }
}

#[test]
fn an_origin_is_known_until_its_retention_has_passed() {
    let mut origins = StreamOrigins::default();
    let start = Instant::now();
    origins.record(1, &origin("v1"), start);
    origins.record(2, &origin("v1.1"), start + Duration::from_secs(59));
    origins.record(3, &origin("v1"), start + Duration::from_secs(61));
    assert_eq!(origins.get(1), Some(&origin("v1")));
    assert_eq!(origins.get(2), Some(&origin("v1.1")));
    assert_eq!(origins.get(4), None);
    origins.record(5, &origin("v1"), start + Duration::from_secs(200));
    assert_eq!(origins.get(1), None);
}

/// A caller that uses an id twice must not get the events of two versions.
#[test]
fn an_id_with_two_origins_has_none() {
    let mut origins = StreamOrigins::default();
    let now = Instant::now();
    origins.record(1, &origin("v1"), now);
    origins.record(1, &origin("v1"), now);
    assert_eq!(origins.get(1), Some(&origin("v1")));
    origins.record(1, &origin("v1.1"), now);
    assert_eq!(origins.get(1), None);
    origins.record(1, &origin("v1"), now);
    assert_eq!(origins.get(1), None);
}

#[test]
fn the_number_of_streams_kept_is_bounded() {
    let mut origins = StreamOrigins::default();
    let now = Instant::now();
    for stream in 0..100_000 {
        origins.record(stream, &origin("v1"), now);
    }
    let kept = (0..100_000).filter(|stream| origins.get(*stream).is_some());
    assert!(kept.count() <= 2 * 16_384);
    assert!(origins.get(99_999).is_some());
}

/// Whichever front a caller comes back to asks a process that was told, also after the first front
/// has ended.
#[test]
fn every_front_asks_a_process_that_was_told() {
    for stream in 0..500 {
        for (own, fronts) in (0..).zip(FRONTS) {
            for host in 1..=fronts {
                let told = candidates(own, host, &[]).to_tell(stream, &zone(own));
                assert_eq!(told.len(), 2);
                check_asked(stream, &told, &[]);
                check_asked(stream, &told, &[addr(own, host)]);
            }
        }
    }
}

fn check_asked(stream: u64, told: &[SocketAddr], dead: &[SocketAddr]) {
    for (own, fronts) in (0..).zip(FRONTS) {
        for host in 1..=fronts {
            let this = addr(own, host);
            let asked = candidates(own, host, dead).to_ask(stream);
            assert!(asked.len() <= 4);
            let knows = |addr: &SocketAddr| told.contains(addr) || told.contains(&this);
            assert!(asked.iter().any(knows), "{told:?} {asked:?} {this}");
        }
    }
}

/// The loss of a process that was told, of its zone or of the first front's zone leaves one that
/// knows, whichever front of the other zones is asked.
#[test]
fn the_loss_of_a_zone_leaves_a_process_that_knows() {
    for stream in 0..500 {
        for (own, fronts) in (0..).zip(FRONTS) {
            let lost: Vec<SocketAddr> = (0..=fronts).map(|host| addr(own, host)).collect();
            let told = candidates(own, 1, &[]).to_tell(stream, &zone(own));
            for other in (0..FRONTS.len() as u8).filter(|other| *other != own) {
                let asked = candidates(other, 1, &lost).to_ask(stream);
                let knows = |addr: &SocketAddr| told.contains(addr) && !lost.contains(addr);
                let is_told = told.contains(&addr(other, 1));
                assert!(is_told || asked.iter().any(knows), "{told:?} {asked:?}");
            }
        }
    }
}

/// Without a worker in another zone, two processes of the own zone are told.
#[test]
fn a_single_zone_has_two_holders() {
    let own_zone = vec![addr(0, 2), addr(0, 3), addr(0, 4)];
    let candidates = HolderCandidates {
        workers: vec![(zone(0), addr(0, 4))],
        own_zone,
    };
    let told = candidates.to_tell(7, &zone(0));
    assert_eq!(told.len(), 2);
    assert_ne!(told[0], told[1]);
    let asked = candidates.to_ask(7);
    assert!(told.iter().all(|addr| asked.contains(addr)));
}

/// Each process is told of an equal share of the streams.
#[test]
fn streams_are_spread_over_the_holders() {
    let candidates = candidates(2, 1, &[]);
    let mut told = Vec::new();
    for request in 0..3_000 {
        let stream = stream_origin::stream_key("calls.example", &format!("r-{request}"));
        told.extend(candidates.to_tell(stream, &zone(2)));
    }
    for process in &candidates.own_zone {
        let share = told.iter().filter(|addr| *addr == process).count();
        assert!((500..1_000).contains(&share), "{process}: {share} of 3,000");
    }
}

#[test]
fn the_key_of_a_stream_depends_on_its_host_and_request() {
    let key = stream_origin::stream_key;
    assert_eq!(key("Calls.example", "r-1"), key("calls.example", "r-1"));
    assert_ne!(key("calls.example", "r-1"), key("calls.example", "r-2"));
    assert_ne!(key("calls.example", "r-1"), key("other.example", "r-1"));
}
