//! Choices among samples of many servers.

use foxwheel_policy::membership::{BackendServer, ServerDirectory, ServerState};
use foxwheel_policy::placement::{self, Candidate};
use foxwheel_policy::server_index::{ServerIndex, MAX_LOCAL_SAMPLE};
use foxwheel_policy::zone_loads;
use rand::{RngExt, SeedableRng};

const SLOTS: u32 = 7;

fn index(count: usize) -> ServerIndex {
    let mut directory = ServerDirectory::default();
    for at in 0..count {
        directory.upsert(BackendServer {
            id: format!("server-{at:04}"),
            incarnation: 1,
            service: "model".to_owned(),
            addr: ([10, 0, 0, 1], 80).into(),
            zone: "hall".to_owned(),
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
fn a_sample_is_bounded_whole_if_small_and_leaves_no_server_out() {
    for count in [0, 1, 9, 40, 700] {
        let index = index(count);
        let Some(group) = index.groups_of_service("model").next() else {
            assert_eq!(count, 0);
            continue;
        };
        let ready = count - count / 10;
        assert_eq!((group.len(), group.slots), (ready, ready as u32 * SLOTS));
        let mut seen = Vec::new();
        for draw in 0..group.len() {
            let sample: Vec<_> = group.sample(MAX_LOCAL_SAMPLE, draw).collect();
            assert_eq!(sample.len(), ready.min(MAX_LOCAL_SAMPLE));
            seen.extend(sample.into_iter().cloned());
        }
        seen.sort_unstable();
        seen.dedup();
        assert_eq!(seen.len(), ready);
        for server in &seen {
            let found = group.find_by_fingerprint(zone_loads::fingerprint(server));
            assert_eq!(found, Some(server));
        }
    }
}

/// A zone of 600 servers in a step that takes nine in ten of its slots: each request goes to
/// the least loaded of a sample, and none waits behind a full server.
#[test]
fn a_step_on_many_servers_finds_free_slots_by_samples() {
    for seed in 0..5 {
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let index = index(667);
        let group = index.groups_of_service("model").next().expect("a group");
        let mut in_flight: Vec<u32> = vec![0; 667];
        let number = |id: &str| -> usize { id["server-".len()..].parse().expect("a number") };
        for _ in 0..group.slots * 9 / 10 {
            let sample = group.sample(MAX_LOCAL_SAMPLE, rng.random_range(0..10_000));
            let candidates: Vec<Candidate> = sample
                .map(|key| Candidate {
                    id: key.id.clone(),
                    zone: "hall".to_owned(),
                    slots: SLOTS,
                    in_flight: in_flight[number(&key.id)],
                    ..Candidate::default()
                })
                .collect();
            let pick = placement::pick_online(&candidates, "hall", rng.random_range(0..100));
            in_flight[number(&pick.expect("a server").id)] += 1;
        }
        let most = in_flight.iter().max();
        assert!(most <= Some(&SLOTS), "seed {seed}: {most:?} at one server");
    }
}
