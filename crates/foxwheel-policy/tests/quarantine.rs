//! Load pattern: servers crash under requests, and each crash accuses all that ran there.

use std::time::{Duration, Instant};

use foxwheel_policy::quarantine::{Quarantine, Standing, ENOUGH_CRASHES, REMEMBERED_FOR};

const CULPRIT: &str = "culprit";

fn quarantined(quarantine: &Quarantine, content: &str, now: Instant) -> bool {
    matches!(quarantine.standing(content, now), Standing::Quarantined(_))
}

fn after(now: Instant, secs: u64) -> Instant {
    now + Duration::from_secs(secs)
}

/// A process that saw as many crashes of the culprit as are enough.
fn knowing(now: Instant) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for server in 0..ENOUGH_CRASHES as u64 {
        quarantine.note_crash(CULPRIT, server, now);
    }
    quarantine
}

#[test]
fn crashes_seen_by_several_processes_add_up_in_any_order() {
    let now = Instant::now();
    let seen: Vec<Quarantine> = (0..ENOUGH_CRASHES as u64)
        .map(|server| {
            let mut one = Quarantine::default();
            assert!(!one.note_crash(CULPRIT, server, now));
            one
        })
        .collect();
    let mut forth = Quarantine::default();
    let mut back = Quarantine::default();
    for at in 0..seen.len() {
        assert!(!quarantined(&forth, CULPRIT, now), "{at} crashes");
        assert!(forth.merge(&seen[at].reports(now), now));
        assert!(!forth.merge(&seen[at].reports(now), now), "told twice");
        back.merge(&seen[seen.len() - 1 - at].reports(now), now);
    }
    assert!(quarantined(&forth, CULPRIT, now));
    assert_eq!(forth.state(), back.state());
    assert_eq!(forth.standing("another", now), Standing::Clear);
}

#[test]
fn a_start_of_a_server_crashes_once_however_many_tell_of_it() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for _ in 0..10 {
        quarantine.note_crash(CULPRIT, 7, now);
    }
    assert_eq!(quarantine.standing(CULPRIT, now), Standing::Suspect);
}

#[test]
fn a_whole_answer_clears_a_content_wherever_it_was_accused() {
    let now = Instant::now();
    let mut here = knowing(now);
    let mut there = knowing(now);
    assert!(here.note_success(CULPRIT));
    assert!(!here.note_success(CULPRIT), "nothing is left to clear");
    // What the other one still holds against it does not come back.
    here.merge(&there.reports(now), now);
    assert_eq!(here.standing(CULPRIT, now), Standing::Clear);
    assert!(there.merge(&here.reports(now), now));
    assert_eq!(there.standing(CULPRIT, now), Standing::Clear);
    assert_eq!(here.state(), there.state());
    // New crashes count again.
    for server in 100..100 + ENOUGH_CRASHES as u64 {
        here.note_crash(CULPRIT, server, now);
    }
    assert!(quarantined(&here, CULPRIT, now));
}

#[test]
fn after_its_time_a_content_has_one_trial_and_is_forgotten_in_the_end() {
    let now = Instant::now();
    let mut quarantine = knowing(now);
    let Standing::Quarantined(left) = quarantine.standing(CULPRIT, now) else {
        panic!("not quarantined");
    };
    let trial = now + left;
    assert_eq!(quarantine.standing(CULPRIT, trial), Standing::Suspect);
    assert!(
        quarantine.note_crash(CULPRIT, 50, trial),
        "one crash is enough"
    );
    assert!(quarantined(&quarantine, CULPRIT, trial));
    let much_later = trial + REMEMBERED_FOR;
    quarantine.merge(&[], much_later);
    assert!(quarantine.is_empty());
    assert_eq!(quarantine.state(), 0);
}

#[test]
fn a_crowd_of_crashes_neither_accuses_nor_pushes_out_nor_grows() {
    let now = Instant::now();
    let mut quarantine = knowing(now);
    // 300 servers are lost at once with 16 requests each: each request saw one crash.
    for server in 1_000..1_300 {
        for request in 0..16 {
            let content = format!("innocent-{server}-{request}");
            assert!(!quarantine.note_crash(&content, server, after(now, 1)));
        }
    }
    assert!(quarantined(&quarantine, CULPRIT, after(now, 1)));
    let contents = quarantine.reports(after(now, 1)).len();
    assert!(contents <= 1_024, "{contents} crashes remembered");
}

#[test]
fn a_fleet_that_tells_each_other_at_random_agrees() {
    arbtest::arbtest(|u| {
        let now = Instant::now();
        let mut processes: Vec<Quarantine> = (0..4).map(|_| Quarantine::default()).collect();
        for _ in 0..u.int_in_range(0..=60)? {
            let at = u.choose_index(processes.len())?;
            let content = format!("content-{}", u.int_in_range(0..=3)?);
            match u.int_in_range(0..=3)? {
                0 | 1 => {
                    let server = u.int_in_range(0..=7)?;
                    processes[at].note_crash(&content, server, now);
                }
                2 => {
                    processes[at].note_success(&content);
                }
                _ => {
                    let from = u.choose_index(processes.len())?;
                    let reports = processes[from].reports(now);
                    processes[at].merge(&reports, now);
                }
            }
        }
        // Each hears of all, in two rounds.
        for _ in 0..2 {
            for at in 0..processes.len() {
                let reports = processes[at].reports(now);
                for process in &mut processes {
                    process.merge(&reports, now);
                }
            }
        }
        let states: Vec<_> = processes.iter().map(Quarantine::state).collect();
        assert!(states.iter().all(|state| *state == states[0]), "{states:?}");
        Ok(())
    });
}
