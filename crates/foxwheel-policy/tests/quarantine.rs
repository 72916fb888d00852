//! Load pattern: servers crash under requests, and each crash accuses all that ran there.

use std::time::{Duration, Instant};

use foxwheel_policy::quarantine::{
    ContentStatus, ObservedCrash, Quarantine, CRASHES_TO_QUARANTINE, CRASH_RETENTION,
};

const CULPRIT: &str = "culprit";

fn quarantined(quarantine: &Quarantine, content: &str, now: Instant) -> bool {
    matches!(
        quarantine.status(content, now),
        ContentStatus::Quarantined(_)
    )
}

fn after(now: Instant, secs: u64) -> Instant {
    now + Duration::from_secs(secs)
}

/// A crash of `server` at `at`, 20 ms after the request was sent there.
fn crash(server: u64, at: Instant) -> ObservedCrash {
    ObservedCrash {
        server,
        service: "model".to_owned(),
        sent_at: at - Duration::from_millis(20),
        cut_off_at: at,
    }
}

/// The crash of `server` as the `server`th of several one after the other from `now` on.
fn in_turn(server: u64, now: Instant) -> ObservedCrash {
    crash(server, now + Duration::from_millis(100 * (server % 10)))
}

/// A process that saw as many crashes of the culprit as are enough.
fn knowing(now: Instant) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for server in 0..CRASHES_TO_QUARANTINE as u64 {
        quarantine.record_crash(CULPRIT, in_turn(server, now), now);
    }
    quarantine
}

#[test]
fn crashes_seen_by_several_processes_add_up_in_any_order() {
    let now = Instant::now();
    let seen: Vec<Quarantine> = (0..CRASHES_TO_QUARANTINE as u64)
        .map(|server| {
            let mut one = Quarantine::default();
            assert!(!one.record_crash(CULPRIT, in_turn(server, now), now));
            one
        })
        .collect();
    let later = after(now, 1);
    let mut forth = Quarantine::default();
    let mut back = Quarantine::default();
    for at in 0..seen.len() {
        assert!(!quarantined(&forth, CULPRIT, later), "{at} crashes");
        assert!(forth.merge(&seen[at].reports(later), later));
        assert!(!forth.merge(&seen[at].reports(later), later), "told twice");
        back.merge(&seen[seen.len() - 1 - at].reports(later), later);
    }
    assert!(quarantined(&forth, CULPRIT, later));
    assert_eq!(forth.digest(), back.digest());
    assert_eq!(forth.status("another", later), ContentStatus::Clear);
}

#[test]
fn a_start_of_a_server_crashes_once_however_many_tell_of_it() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for _ in 0..10 {
        quarantine.record_crash(CULPRIT, crash(7, now), now);
    }
    assert_eq!(quarantine.status(CULPRIT, now), ContentStatus::Suspect);
}

#[test]
fn a_whole_answer_clears_a_content_wherever_it_was_accused() {
    let now = Instant::now();
    let mut here = knowing(now);
    let mut there = knowing(now);
    assert!(here.record_success(CULPRIT, "model"));
    assert!(
        !here.record_success(CULPRIT, "model"),
        "nothing is left to clear"
    );
    // What the other one still holds against it does not come back.
    here.merge(&there.reports(now), now);
    assert_eq!(here.status(CULPRIT, now), ContentStatus::Clear);
    assert!(there.merge(&here.reports(now), now));
    assert_eq!(there.status(CULPRIT, now), ContentStatus::Clear);
    assert_eq!(here.digest(), there.digest());
    // New crashes count again.
    for server in 100..100 + CRASHES_TO_QUARANTINE as u64 {
        here.record_crash(CULPRIT, in_turn(server, now), now);
    }
    assert!(quarantined(&here, CULPRIT, now));
}

#[test]
fn after_its_time_a_content_has_one_trial_and_is_forgotten_in_the_end() {
    let now = Instant::now();
    let mut quarantine = knowing(now);
    let ContentStatus::Quarantined(left) = quarantine.status(CULPRIT, now) else {
        panic!("not quarantined");
    };
    let trial = now + left;
    assert_eq!(quarantine.status(CULPRIT, trial), ContentStatus::Suspect);
    assert!(
        quarantine.record_crash(CULPRIT, crash(50, trial), trial),
        "one crash is enough"
    );
    assert!(quarantined(&quarantine, CULPRIT, trial));
    let much_later = trial + CRASH_RETENTION;
    quarantine.merge(&[], much_later);
    assert!(quarantine.is_empty());
    assert_eq!(quarantine.digest(), 0);
}

#[test]
fn servers_lost_together_count_once_however_many_saw_it() {
    let now = Instant::now();
    let mut told = Quarantine::default();
    for round in 0..CRASHES_TO_QUARANTINE as u64 {
        assert!(!quarantined(&told, CULPRIT, after(now, round)), "{round}");
        // 20 processes, each with a request of its own at another server.
        for process in 0..20 {
            let mut one = Quarantine::default();
            let seen = crash(100 * round + process, after(now, round));
            one.record_crash(CULPRIT, seen, after(now, round));
            told.merge(&one.reports(after(now, round)), after(now, round));
        }
    }
    let end = after(now, CRASHES_TO_QUARANTINE as u64);
    assert!(
        quarantined(&told, CULPRIT, end),
        "three losses, one after the other"
    );
}

/// At full servers the request waits for seconds before it runs, so that its repeats overlap.
#[test]
fn crashes_apart_count_though_the_requests_waited_beside_each_other() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for server in 0..CRASHES_TO_QUARANTINE as u64 {
        let at = now + Duration::from_millis(300 * server);
        let waited = ObservedCrash {
            sent_at: at - Duration::from_secs(2),
            ..crash(server, at)
        };
        quarantine.record_crash(CULPRIT, waited, at);
    }
    assert!(quarantined(&quarantine, CULPRIT, after(now, 1)));
}

#[test]
fn what_another_service_answers_clears_nothing() {
    let now = Instant::now();
    let mut quarantine = knowing(now);
    assert!(!quarantine.record_success(CULPRIT, "another"));
    assert!(quarantined(&quarantine, CULPRIT, now));
}

#[test]
fn a_crowd_of_crashes_neither_accuses_nor_pushes_out_nor_grows() {
    let now = Instant::now();
    let mut quarantine = knowing(now);
    // 300 servers are lost at once with 16 requests each: each request saw one crash.
    for server in 1_000..1_300 {
        for request in 0..16 {
            let content = format!("innocent-{server}-{request}");
            assert!(!quarantine.record_crash(&content, crash(server, now), after(now, 1)));
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
                    processes[at].record_crash(&content, in_turn(server, now), now);
                }
                2 => {
                    processes[at].record_success(&content, "model");
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
        let states: Vec<_> = processes.iter().map(Quarantine::digest).collect();
        assert!(states.iter().all(|state| *state == states[0]), "{states:?}");
        Ok(())
    });
}

/// Servers that were cut off and started again broke an item three times in turn; it was held
/// for as long as a culprit, and lay still though servers were free.
#[test]
fn an_item_is_tried_again_after_a_pause_and_a_culprit_only_twice() {
    let now = Instant::now();
    let mut quarantine = knowing(now);
    let mut at = after(now, 1);
    for trial in 0..2 {
        assert!(
            !quarantine.may_run_item(CULPRIT, at),
            "trial {trial} comes too soon"
        );
        at = after(at, 5);
        assert!(quarantine.may_run_item(CULPRIT, at), "trial {trial}");
        assert!(
            quarantined(&quarantine, CULPRIT, at),
            "no caller's request is tried"
        );
        quarantine.record_crash(CULPRIT, crash(50 + trial, at), at);
    }
    assert!(
        !quarantine.may_run_item(CULPRIT, after(at, 60)),
        "it crashed five servers"
    );
    quarantine.record_success(CULPRIT, "model");
    assert!(quarantine.may_run_item(CULPRIT, at));
}
