//! Load pattern: all servers of a service end within a short time, while requests with the same
//! popular content run at each of them. None of these responses is completed, so nothing clears the
//! content before its last server is gone.

use std::time::{Duration, Instant};

use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::quarantine::{
    self, ContentStatus, Doubt, ObservedCrash, Quarantine, RunKind, RunPermission, TrialEnd,
    CRASHES_TO_QUARANTINE,
};

const CONTENT: &str = "popular";
const SERVICE: &str = "model";
const FIRST_TRIAL: RunPermission = RunPermission::Trial { is_shared: false };

/// Time after a fault in which callers must be served again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(5);

fn millis_after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// Records that `server` crashed at `cut_off_ms` under a request that was sent at `sent_ms`.
fn record_crash(
    quarantine: &mut Quarantine,
    start: Instant,
    server: u64,
    sent_ms: u64,
    cut_off_ms: u64,
) {
    record_crash_under(CONTENT, quarantine, start, server, sent_ms, cut_off_ms);
}

fn record_crash_under(
    content: &str,
    quarantine: &mut Quarantine,
    start: Instant,
    server: u64,
    sent_ms: u64,
    cut_off_ms: u64,
) {
    let crash = ObservedCrash {
        server,
        service: SERVICE.to_owned(),
        sent_at: millis_after(start, sent_ms),
        cut_off_at: millis_after(start, cut_off_ms),
        run_kind: RunKind::Online,
    };
    quarantine.record_crash(content, crash, millis_after(start, cut_off_ms));
}

/// Records crashes of as many servers as quarantine the content, 60 ms apart. Returns when the
/// last one crashed.
fn record_restart_of_service(quarantine: &mut Quarantine, start: Instant) -> Instant {
    let servers = CRASHES_TO_QUARANTINE as u64;
    for server in 0..servers {
        record_crash(quarantine, start, server, 60 * server + 5, 60 * server + 60);
    }
    millis_after(start, 60 * servers)
}

fn refused_for(quarantine: &mut Quarantine, now: Instant) -> Duration {
    match quarantine.begin_run(CONTENT, now) {
        RunPermission::Refused(time_left) => time_left,
        permission => panic!("{permission:?}"),
    }
}

/// Guards against a refusal for ten minutes: the content was in flight at three servers that a
/// crashing request, a restart, or anything else took down in succession.
#[test]
fn content_that_was_completed_before_is_tried_again_within_the_recovery_time() {
    let crashes_ms = [
        [(5, 25), (30, 143), (145, 160)],
        [(0, 20_000), (0, 20_300), (0, 20_600)],
        [(5, 60), (65, 120), (125, 180)],
    ];
    for crashes_ms in crashes_ms {
        let start = Instant::now();
        let mut quarantine = Quarantine::default();
        quarantine.record_success(CONTENT, SERVICE);
        for (server, (sent_ms, cut_off_ms)) in (0..).zip(crashes_ms) {
            record_crash(&mut quarantine, start, server, sent_ms, cut_off_ms);
        }
        let last_crash = millis_after(start, crashes_ms[2].1);
        let time_left = refused_for(&mut quarantine, last_crash);
        assert!(time_left < RECOVERY_TIMEOUT, "refused for {time_left:?}");
        let evidence = quarantine.take_new_evidence(last_crash);
        assert_eq!(evidence[0].doubt, Some(Doubt::CompletedBefore));
        let retry_at = last_crash + time_left;
        assert_eq!(
            quarantine.begin_run(CONTENT, retry_at),
            FIRST_TRIAL,
            "refused after the time that callers were told"
        );
        quarantine.record_success(CONTENT, SERVICE);
        quarantine.end_trial(CONTENT, TrialEnd::Over, retry_at);
        assert_eq!(
            quarantine.begin_run(CONTENT, retry_at),
            RunPermission::Unrestricted
        );
    }
}

/// Servers may be replaced by a version that a content crashes although it was completed before.
#[test]
fn content_that_begins_to_crash_servers_is_tried_less_and_less_often() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    quarantine.record_success(CONTENT, SERVICE);
    record_restart_of_service(&mut quarantine, start);
    let mut trials_ms = Vec::new();
    for now_ms in (200..600_000).step_by(100) {
        let now = millis_after(start, now_ms);
        if quarantine.begin_run(CONTENT, now) == FIRST_TRIAL {
            let server = 100 + trials_ms.len() as u64;
            record_crash(&mut quarantine, start, server, now_ms, now_ms + 20);
            quarantine.end_trial(CONTENT, TrialEnd::Over, millis_after(start, now_ms + 20));
            trials_ms.push(now_ms);
        }
    }
    let soon = trials_ms.iter().filter(|at| **at < 30_000).count();
    assert!(soon <= CRASHES_TO_QUARANTINE, "{trials_ms:?}");
    let delays_ms = trials_ms.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(delays_ms.is_sorted(), "{trials_ms:?}");
}

#[test]
fn content_that_was_never_completed_is_refused_for_ten_minutes() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    quarantine.record_success("another content", SERVICE);
    quarantine.record_success(CONTENT, "another service");
    let last_crash = record_restart_of_service(&mut quarantine, start);
    let time_left = refused_for(&mut quarantine, last_crash);
    assert_eq!(time_left, Duration::from_secs(600));
    assert_eq!(
        quarantine.begin_run(CONTENT, last_crash + time_left),
        FIRST_TRIAL,
        "only one run at a time even then"
    );
}

fn doubt_about(quarantine: &mut Quarantine, content: &str, now: Instant) -> Option<Doubt> {
    let evidence = quarantine.take_new_evidence(now);
    let evidence = evidence.iter().find(|about| about.content == content);
    evidence.expect("a quarantined content").doubt
}

/// Guards against a refusal for ten minutes of a content that only one caller sends, after a restart
/// of all servers of the service cut it off three times.
#[test]
fn content_beside_crashes_without_it_is_tried_again_within_the_recovery_time() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    record_crash_under("another", &mut quarantine, start, 100, 0, 3);
    let last_crash = record_restart_of_service(&mut quarantine, start);
    let time_left = refused_for(&mut quarantine, last_crash);
    assert!(time_left < RECOVERY_TIMEOUT, "refused for {time_left:?}");
    let doubt = doubt_about(&mut quarantine, CONTENT, last_crash);
    assert_eq!(doubt, Some(Doubt::OtherServersCrashed));
}

/// Each of two requests that crash servers is refused although servers also crash under the other.
#[test]
fn two_contents_that_crash_servers_do_not_excuse_each_other() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    for server in 0..3 {
        record_crash(
            &mut quarantine,
            start,
            server,
            60 * server,
            60 * server + 50,
        );
        let (sent_ms, cut_off_ms) = (60 * server + 20, 60 * server + 70);
        record_crash_under(
            "second",
            &mut quarantine,
            start,
            100 + server,
            sent_ms,
            cut_off_ms,
        );
    }
    let last_crash = millis_after(start, 190);
    for content in [CONTENT, "second"] {
        let status = quarantine.status(content, last_crash);
        let refused_long = |left: Duration| left > Duration::from_secs(60);
        assert!(
            matches!(status, ContentStatus::Quarantined(left) if refused_long(left)),
            "{content}: {status:?}"
        );
    }
}

/// A second request that crashes servers began to do so just after the first one was quarantined,
/// which was then tried again and took down one server more.
#[test]
fn crash_after_a_quarantine_began_does_not_excuse_its_content() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    let last_crash = record_restart_of_service(&mut quarantine, start);
    record_crash_under("second", &mut quarantine, start, 100, 400, 500);
    assert!(refused_for(&mut quarantine, last_crash) > Duration::from_secs(60));
}

/// At a service with one server, each request in flight is at each crash.
#[test]
fn contents_that_share_all_crashes_are_tried_until_one_of_them_is_found() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    for server in 0..3 {
        for content in [CONTENT, "bystander"] {
            let (sent_ms, cut_off_ms) = (500 * server, 500 * server + 40);
            record_crash_under(content, &mut quarantine, start, server, sent_ms, cut_off_ms);
        }
    }
    let last_crash = millis_after(start, 1_040);
    let time_left = refused_for(&mut quarantine, last_crash);
    assert!(time_left < RECOVERY_TIMEOUT, "refused for {time_left:?}");
    let doubt = doubt_about(&mut quarantine, CONTENT, last_crash);
    assert_eq!(doubt, Some(Doubt::SharedCrashes));
    // Their trials tell them apart.
    quarantine.record_success("bystander", SERVICE);
    record_crash(&mut quarantine, start, 3, 3_100, 3_140);
    let after_trials = millis_after(start, 3_140);
    assert!(refused_for(&mut quarantine, after_trials) > Duration::from_secs(60));
    assert_eq!(
        quarantine.begin_run("bystander", after_trials),
        RunPermission::Unrestricted
    );
}

#[test]
fn requests_on_trial_share_its_server_until_that_is_lost() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    quarantine.record_success(CONTENT, SERVICE);
    let last_crash = record_restart_of_service(&mut quarantine, start);
    let now = last_crash + refused_for(&mut quarantine, last_crash);
    assert_eq!(quarantine.begin_run(CONTENT, now), FIRST_TRIAL);
    let shared_trial = RunPermission::Trial { is_shared: true };
    assert_eq!(quarantine.begin_run(CONTENT, now), shared_trial);
    // Another process had its trial at the same server, which crashed under it.
    quarantine.end_trial(CONTENT, TrialEnd::ServerLost, now);
    let delay = refused_for(&mut quarantine, now);
    assert!(delay >= Duration::from_secs(1), "{delay:?}");
    quarantine.end_trial(CONTENT, TrialEnd::Over, now);
    assert_eq!(refused_for(&mut quarantine, now), delay);
    assert_eq!(quarantine.begin_run(CONTENT, now + delay), FIRST_TRIAL);
    quarantine.end_trial(CONTENT, TrialEnd::Over, now + delay);
    assert_eq!(quarantine.begin_run(CONTENT, now + delay), FIRST_TRIAL);
}

/// Items of several jobs may have the same content, and would all be tried at once.
#[test]
fn one_item_of_a_quarantined_content_is_tried_at_a_time() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    let last_crash = record_restart_of_service(&mut quarantine, start);
    let now = last_crash + Duration::from_secs(10);
    assert_eq!(quarantine.begin_item_run(CONTENT, now), FIRST_TRIAL);
    let second = quarantine.begin_item_run(CONTENT, now);
    assert!(matches!(second, RunPermission::Refused(_)), "{second:?}");
    // Another process saw the content completed.
    quarantine.record_success(CONTENT, SERVICE);
    assert_eq!(
        quarantine.begin_item_run(CONTENT, now),
        RunPermission::Unrestricted
    );
}

/// An item whose content crashes no server was given up after two trials that other crashes cut off.
#[test]
fn item_that_may_not_be_at_fault_is_tried_as_long_as_its_job_waits() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    quarantine.record_success(CONTENT, SERVICE);
    let mut now = record_restart_of_service(&mut quarantine, start);
    for trial in 0..4 {
        let RunPermission::Refused(delay) = quarantine.begin_item_run(CONTENT, now) else {
            panic!("trial {trial} starts too early");
        };
        now += delay;
        assert_eq!(quarantine.begin_item_run(CONTENT, now), FIRST_TRIAL);
        let now_ms = now.duration_since(start).as_millis() as u64;
        record_crash(&mut quarantine, start, 100 + trial, now_ms, now_ms + 20);
        quarantine.end_trial(CONTENT, TrialEnd::Over, now);
    }
}

#[test]
fn processes_try_a_content_at_the_same_server_and_contents_at_different_ones() {
    let server = |number: u64| ServerInstance {
        id: format!("server-{number}"),
        incarnation: number,
    };
    let trial_server = |content: &str, numbers: &mut dyn Iterator<Item = u64>| {
        numbers.max_by_key(|number| quarantine::trial_rank(content, &server(*number)))
    };
    let mut chosen = Vec::new();
    for number in 0..40 {
        let content = format!("content-{number}");
        let first = trial_server(&content, &mut (0..20));
        assert_eq!(first, trial_server(&content, &mut (0..20).rev()));
        // A process that does not know all of the servers, but this one, chooses it as well.
        let chosen_number = first.expect("a server");
        let known = |number: &u64| number % 3 != 0 || *number == chosen_number;
        assert_eq!(first, trial_server(&content, &mut (0..20).filter(known)));
        chosen.push(chosen_number);
    }
    chosen.sort_unstable();
    chosen.dedup();
    assert!(chosen.len() > 10, "{chosen:?}");
}

/// A content with a known completion is never refused for longer than its crashes allow, and any
/// refusal ends when callers were told that it would.
#[test]
fn random_crashes_and_completions_never_refuse_beyond_the_announced_time() {
    arbtest::arbtest(|u| {
        let start = Instant::now();
        let mut quarantine = Quarantine::default();
        quarantine.record_success(CONTENT, SERVICE);
        let mut now_ms = 0;
        for server in 0..u.int_in_range(0..=20)? {
            let ran_ms = u.int_in_range(1..=400)?;
            now_ms += u.int_in_range(0..=3_000)?;
            match u.ratio(1, 5)? {
                true => {
                    quarantine.record_success(CONTENT, SERVICE);
                }
                false => {
                    let sent_ms = now_ms;
                    now_ms += ran_ms;
                    record_crash(&mut quarantine, start, server, sent_ms, now_ms);
                }
            }
            let now = millis_after(start, now_ms);
            if let ContentStatus::Quarantined(left) = quarantine.status(CONTENT, now) {
                assert!(left < Duration::from_secs(600), "{left:?}");
                let permission = quarantine.begin_run(CONTENT, now + left);
                assert_eq!(permission, FIRST_TRIAL);
                quarantine.end_trial(CONTENT, TrialEnd::Over, now + left);
            }
        }
        Ok(())
    });
}
