//! Load pattern: requests crash servers, and each crash makes all requests at the server suspected.

use std::time::{Duration, Instant};

use foxwheel_policy::quarantine::{
    ContentStatus, ObservedCrash, Quarantine, RunKind, RunPermission, TrialEnd,
    CRASHES_TO_QUARANTINE, CRASH_RETENTION,
};

const CRASHING: &str = "crashing";

fn is_quarantined(quarantine: &Quarantine, content: &str, now: Instant) -> bool {
    matches!(
        quarantine.status(content, now),
        ContentStatus::Quarantined(_)
    )
}

fn seconds_after(now: Instant, secs: u64) -> Instant {
    now + Duration::from_secs(secs)
}

/// Returns a crash of `server` at `at`, 20 ms after the request was sent there.
fn crash(server: u64, at: Instant) -> ObservedCrash {
    ObservedCrash {
        server,
        service: "model".to_owned(),
        sent_at: at - Duration::from_millis(20),
        cut_off_at: at,
        run_kind: RunKind::Online,
    }
}

/// Returns the crash of `server` as number `server` of several successive ones from `now` on.
fn successive_crash(server: u64, now: Instant) -> ObservedCrash {
    crash(server, now + Duration::from_millis(100 * (server % 10)))
}

/// Returns the quarantine of a process that observed enough crashes to quarantine `CRASHING`.
fn with_quarantined_content(now: Instant) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for server in 0..CRASHES_TO_QUARANTINE as u64 {
        quarantine.record_crash(CRASHING, successive_crash(server, now), now);
    }
    quarantine
}

#[test]
fn crashes_observed_by_several_processes_add_up_in_any_merge_order() {
    let now = Instant::now();
    let observers: Vec<Quarantine> = (0..CRASHES_TO_QUARANTINE as u64)
        .map(|server| {
            let mut observer = Quarantine::default();
            assert!(!observer.record_crash(CRASHING, successive_crash(server, now), now));
            observer
        })
        .collect();
    let later = seconds_after(now, 1);
    let mut in_order = Quarantine::default();
    let mut reversed = Quarantine::default();
    for at in 0..observers.len() {
        assert!(!is_quarantined(&in_order, CRASHING, later), "{at} crashes");
        assert!(in_order.merge(&observers[at].reports(later), later));
        assert!(
            !in_order.merge(&observers[at].reports(later), later),
            "merged twice"
        );
        reversed.merge(&observers[observers.len() - 1 - at].reports(later), later);
    }
    assert!(is_quarantined(&in_order, CRASHING, later));
    assert_eq!(in_order.digest(), reversed.digest());
    assert_eq!(in_order.status("another", later), ContentStatus::Clear);
}

#[test]
fn repeated_reports_of_one_crash_count_once() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for _ in 0..10 {
        quarantine.record_crash(CRASHING, crash(7, now), now);
    }
    assert_eq!(quarantine.status(CRASHING, now), ContentStatus::Suspect);
}

#[test]
fn a_complete_response_clears_a_content_in_all_processes() {
    let now = Instant::now();
    let mut first = with_quarantined_content(now);
    let mut second = with_quarantined_content(now);
    assert!(first.record_success(CRASHING, "model"));
    assert!(
        !first.record_success(CRASHING, "model"),
        "no crash is left to clear"
    );
    // The crashes that the second process still counts do not return.
    first.merge(&second.reports(now), now);
    assert_eq!(first.status(CRASHING, now), ContentStatus::Clear);
    assert!(second.merge(&first.reports(now), now));
    assert_eq!(second.status(CRASHING, now), ContentStatus::Clear);
    assert_eq!(first.digest(), second.digest());
    // New crashes count again.
    for server in 100..100 + CRASHES_TO_QUARANTINE as u64 {
        first.record_crash(CRASHING, successive_crash(server, now), now);
    }
    assert!(is_quarantined(&first, CRASHING, now));
}

#[test]
fn one_crash_quarantines_a_content_again_and_all_crashes_expire() {
    let now = Instant::now();
    let mut quarantine = with_quarantined_content(now);
    let ContentStatus::Quarantined(left) = quarantine.status(CRASHING, now) else {
        panic!("not quarantined");
    };
    let trial = now + left;
    assert_eq!(quarantine.status(CRASHING, trial), ContentStatus::Suspect);
    assert!(
        quarantine.record_crash(CRASHING, crash(50, trial), trial),
        "a single crash quarantines the content again"
    );
    assert!(is_quarantined(&quarantine, CRASHING, trial));
    let much_later = trial + CRASH_RETENTION;
    quarantine.merge(&[], much_later);
    assert!(quarantine.is_empty());
    assert_eq!(quarantine.digest(), 0);
}

#[test]
fn servers_lost_together_count_as_one_crash() {
    let now = Instant::now();
    let mut merged = Quarantine::default();
    for round in 0..CRASHES_TO_QUARANTINE as u64 {
        assert!(
            !is_quarantined(&merged, CRASHING, seconds_after(now, round)),
            "{round}"
        );
        // 20 processes, each with a request of its own at a different server.
        for process in 0..20 {
            let mut observer = Quarantine::default();
            let observed = crash(100 * round + process, seconds_after(now, round));
            observer.record_crash(CRASHING, observed, seconds_after(now, round));
            merged.merge(
                &observer.reports(seconds_after(now, round)),
                seconds_after(now, round),
            );
        }
    }
    let end = seconds_after(now, CRASHES_TO_QUARANTINE as u64);
    assert!(
        is_quarantined(&merged, CRASHING, end),
        "three successive losses"
    );
}

/// At full servers a request waits for seconds before it runs, so that its repetitions overlap.
#[test]
fn separate_crashes_count_even_if_the_requests_overlapped() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for server in 0..CRASHES_TO_QUARANTINE as u64 {
        let at = now + Duration::from_millis(300 * server);
        let waited = ObservedCrash {
            sent_at: at - Duration::from_secs(2),
            ..crash(server, at)
        };
        quarantine.record_crash(CRASHING, waited, at);
    }
    assert!(is_quarantined(&quarantine, CRASHING, seconds_after(now, 1)));
}

#[test]
fn a_response_of_another_service_clears_nothing() {
    let now = Instant::now();
    let mut quarantine = with_quarantined_content(now);
    assert!(!quarantine.record_success(CRASHING, "another"));
    assert!(is_quarantined(&quarantine, CRASHING, now));
}

#[test]
fn many_simultaneous_crashes_quarantine_nothing_evict_no_quarantined_content_and_stay_bounded() {
    let now = Instant::now();
    let mut quarantine = with_quarantined_content(now);
    // 300 servers are lost together with 16 requests each, so that each request has one crash.
    for server in 1_000..1_300 {
        for request in 0..16 {
            let content = format!("not-at-fault-{server}-{request}");
            assert!(!quarantine.record_crash(&content, crash(server, now), seconds_after(now, 1)));
        }
    }
    assert!(is_quarantined(&quarantine, CRASHING, seconds_after(now, 1)));
    let contents = quarantine.reports(seconds_after(now, 1)).len();
    assert!(contents <= 1_024, "{contents} crashes kept");
}

#[test]
fn processes_that_merge_reports_in_random_order_agree() {
    arbtest::arbtest(|u| {
        let now = Instant::now();
        let mut processes: Vec<Quarantine> = (0..4).map(|_| Quarantine::default()).collect();
        for _ in 0..u.int_in_range(0..=60)? {
            let at = u.choose_index(processes.len())?;
            let content = format!("content-{}", u.int_in_range(0..=3)?);
            match u.int_in_range(0..=3)? {
                0 | 1 => {
                    let server = u.int_in_range(0..=7)?;
                    processes[at].record_crash(&content, successive_crash(server, now), now);
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
        // In two rounds, each process merges the reports of all.
        for _ in 0..2 {
            for at in 0..processes.len() {
                let reports = processes[at].reports(now);
                for process in &mut processes {
                    process.merge(&reports, now);
                }
            }
        }
        let digests: Vec<_> = processes.iter().map(Quarantine::digest).collect();
        assert!(
            digests.iter().all(|digest| *digest == digests[0]),
            "{digests:?}"
        );
        Ok(())
    });
}

/// Time after the last crash within which an accepted item must be at a server.
const MAX_CALM_WAIT: Duration = Duration::from_secs(5);

/// Guards against batch items that are never run again although servers are free: an item was cut off
/// by server after server, and was quarantined as if it were the cause. If it is the cause, it takes
/// down one server each time.
#[test]
fn an_item_is_tried_again_soon_after_each_crash_however_many_there_were() {
    let now = Instant::now();
    for has_doubt in [false, true] {
        let mut quarantine = with_quarantined_content(now);
        if has_doubt {
            // Another server crashed without the item.
            quarantine.record_crash("another", crash(90, now), now);
        }
        let mut at = now;
        for trial in 0..12 {
            let too_early = seconds_after(at, 1);
            let refused = quarantine.begin_item_run(CRASHING, too_early);
            let RunPermission::Refused(delay) = refused else {
                panic!("trial {trial} after a second: {refused:?}");
            };
            assert!(too_early + delay <= at + MAX_CALM_WAIT, "trial {trial}");
            at = too_early + delay;
            let begun = quarantine.begin_item_run(CRASHING, at);
            assert_eq!(begun, RunPermission::Trial { is_shared: false });
            let second = quarantine.begin_item_run(CRASHING, at);
            assert!(matches!(second, RunPermission::Refused(_)), "one at a time");
            assert!(
                has_doubt || is_quarantined(&quarantine, CRASHING, at),
                "online requests are not tried"
            );
            quarantine.record_crash(CRASHING, crash(50 + trial, at), at);
            quarantine.end_trial(CRASHING, TrialEnd::Over, at);
        }
        quarantine.record_success(CRASHING, "model");
        let cleared = quarantine.begin_item_run(CRASHING, at);
        assert_eq!(cleared, RunPermission::Unrestricted);
    }
}

/// Guards against a quarantine that no log explains: a verdict that rests on the reports of other
/// processes was not announced at all, and none listed its crashes.
#[test]
fn each_process_reports_a_quarantine_once_with_its_crashes_and_the_other_contents_there() {
    let now = Instant::now();
    let later = seconds_after(now, 1);
    let mut observer = with_quarantined_content(now);
    observer.record_crash("bystander", successive_crash(1, now), later);
    let mut other_process = Quarantine::default();
    other_process.merge(&observer.reports(later), later);
    for process in [&mut observer, &mut other_process] {
        let evidence = process.take_new_evidence(later);
        assert_eq!(evidence.len(), 1, "{evidence:?}");
        assert_eq!(evidence[0].content, CRASHING);
        let servers: Vec<_> = evidence[0].crashes.iter().map(|c| c.server).collect();
        assert_eq!(servers, [0, 1, 2]);
        assert_eq!(evidence[0].other_contents, ["bystander"]);
        assert_eq!(process.take_new_evidence(later), [], "reported twice");
        process.record_crash(CRASHING, successive_crash(3, now), later);
        assert_eq!(process.take_new_evidence(later).len(), 1, "a further crash");
    }
}

/// Returns a crash of `server` that cut off a batch item, as number `server` of several successive ones.
fn crash_under_item(server: u64, now: Instant) -> ObservedCrash {
    ObservedCrash {
        run_kind: RunKind::BatchItem,
        ..successive_crash(server, now)
    }
}

/// Guards against online requests that are refused because servers crashed under batch items with the
/// same content.
#[test]
fn crashes_under_batch_items_count_against_no_online_request() {
    let now = Instant::now();
    let later = seconds_after(now, 1);
    let mut quarantine = Quarantine::default();
    for server in 0..6 {
        quarantine.record_crash(CRASHING, crash_under_item(server, now), later);
    }
    assert_eq!(quarantine.status(CRASHING, later), ContentStatus::Clear);
    let online = quarantine.begin_run(CRASHING, later);
    assert_eq!(online, RunPermission::Unrestricted);
    let item = quarantine.begin_item_run(CRASHING, later);
    assert!(matches!(item, RunPermission::Refused(_)), "{item:?}");
    // An online request with the content at the same servers counts, in any order of the reports.
    let mut other_process = Quarantine::default();
    for server in 0..3 {
        other_process.record_crash(CRASHING, successive_crash(server, now), later);
    }
    let reports = quarantine.reports(later);
    quarantine.merge(&other_process.reports(later), later);
    other_process.merge(&reports, later);
    assert!(is_quarantined(&quarantine, CRASHING, later));
    assert!(is_quarantined(&other_process, CRASHING, later));
    assert_eq!(quarantine.digest(), other_process.digest());
}

/// Guards against a request that goes on crashing servers: an item that ran at each of them was taken
/// for another possible cause.
#[test]
fn batch_items_at_the_crashed_servers_do_not_excuse_the_cause() {
    let now = Instant::now();
    let mut quarantine = with_quarantined_content(now);
    for server in 0..CRASHES_TO_QUARANTINE as u64 {
        quarantine.record_crash("item", crash_under_item(server, now), now);
    }
    let evidence = quarantine.take_new_evidence(seconds_after(now, 1));
    assert_eq!(evidence.len(), 1, "{evidence:?}");
    assert_eq!(
        (evidence[0].content.as_str(), evidence[0].doubt),
        (CRASHING, None)
    );
}
