//! Selection from samples of many servers.

use foxwheel_policy::membership::{BackendServer, ServerDirectory, ServerState};
use foxwheel_policy::placement::{self, Candidate};
use foxwheel_policy::server_index::{ServerIndex, MAX_LOCAL_SAMPLE};
use foxwheel_policy::zone_loads;
use rand::{RngExt, SeedableRng};

const SLOTS: u32 = 7;

/// Every fortieth server has another version than the others.
const RARE_VERSION_INTERVAL: usize = 40;

fn index_of_servers(count: usize) -> ServerIndex {
    let mut directory = ServerDirectory::default();
    for at in 0..count {
        directory.upsert(BackendServer {
            id: format!("server-{at:04}"),
            incarnation: 1,
            service: "model".to_owned(),
            addr: ([10, 0, 0, 1], 80).into(),
            zone: "zone-a".to_owned(),
            version: match at % RARE_VERSION_INTERVAL {
                0 => "v1.1".to_owned(),
                _ => "v1".to_owned(),
            },
            slots: SLOTS,
            state: match at % 10 {
                9 => ServerState::Draining,
                _ => ServerState::Ready,
            },
        });
    }
    ServerIndex::new(directory.entries())
}

#[test]
fn samples_are_bounded_complete_for_small_groups_and_cover_every_server() {
    for count in [0, 1, 9, 40, 700] {
        let index = index_of_servers(count);
        let Some(group) = index.groups_of_service("model").next() else {
            assert_eq!(count, 0);
            continue;
        };
        let ready = count - count / 10;
        assert_eq!((group.len(), group.slots), (ready, ready as u32 * SLOTS));
        let mut sampled = Vec::new();
        for draw in 0..group.len() {
            let sample: Vec<_> = group.sample(MAX_LOCAL_SAMPLE, draw).collect();
            assert_eq!(sample.len(), ready.min(MAX_LOCAL_SAMPLE));
            sampled.extend(sample.into_iter().cloned());
        }
        sampled.sort_unstable();
        sampled.dedup();
        assert_eq!(sampled.len(), ready);
        for server in &sampled {
            let found = group.find_by_fingerprint(zone_loads::fingerprint(server));
            assert_eq!(found, Some(server));
        }
    }
}

/// A traffic step takes nine in ten slots of a zone of 600 servers. Each request goes to the least
/// loaded server of a sample, and none may be queued at a full server.
#[test]
fn requests_find_free_slots_in_samples_of_many_servers() {
    for seed in 0..5 {
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let index = index_of_servers(667);
        let group = index.groups_of_service("model").next().expect("a group");
        let mut in_flight: Vec<u32> = vec![0; 667];
        let position = |id: &str| -> usize { id["server-".len()..].parse().expect("a number") };
        for _ in 0..group.slots * 9 / 10 {
            let sample = group.sample(MAX_LOCAL_SAMPLE, rng.random_range(0..10_000));
            let candidates: Vec<Candidate> = sample
                .map(|instance| Candidate {
                    id: instance.id.clone(),
                    zone: "zone-a".to_owned(),
                    slots: SLOTS,
                    in_flight: in_flight[position(&instance.id)],
                    ..Candidate::default()
                })
                .collect();
            let pick = placement::pick_online(&candidates, "zone-a", rng.random_range(0..100));
            in_flight[position(&pick.expect("a server").id)] += 1;
        }
        let max_load = in_flight.iter().max();
        assert!(
            max_load <= Some(&SLOTS),
            "seed {seed}: {max_load:?} at one server"
        );
    }
}

/// At the end of a release few servers of the old version are left, which a random sample would miss.
#[test]
fn a_sample_of_a_version_finds_its_few_servers() {
    let index = index_of_servers(1_000);
    let group = index.groups_of_service("model").next().expect("a group");
    for draw in 0..group.len() {
        let sample = group.sample_of_version("v1.1", 8, draw);
        let mut ids: Vec<&str> = sample.map(|server| server.id.as_str()).collect();
        ids.sort_unstable();
        ids.dedup();
        assert_eq!(ids.len(), 8);
        let number = |id: &str| id["server-".len()..].parse::<usize>().expect("a number");
        assert!(ids.iter().all(|id| number(id) % RARE_VERSION_INTERVAL == 0));
    }
    assert_eq!(group.sample_of_version("v2", 8, 0).count(), 0);
}
