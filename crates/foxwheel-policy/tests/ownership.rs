//! Which worker runs a job, as heartbeats arrive late and workers die and wake.

mod common;

use std::time::{Duration, Instant};

use foxwheel_policy::batch::ownership::{self, ClaimStatus, JobClaim, Worker};
use foxwheel_policy::load_reports;

const JOB: &str = "7c41e09b52d6a3f8";

fn worker(node: &str, held_parts: Option<u32>) -> Worker {
    let claim = held_parts.map(|parts| JobClaim {
        job: JOB.to_owned(),
        parts,
        standing: ClaimStatus::Held,
    });
    Worker {
        node: node.to_owned(),
        zone: "hall".to_owned(),
        leaving: false,
        has_current_claims: true,
        claims: claim.into_iter().collect(),
        waiting_items: 0,
    }
}

fn idle_workers() -> Vec<Worker> {
    ["a", "b", "c"].map(|node| worker(node, None)).to_vec()
}

#[test]
fn the_first_choice_takes_an_unheld_job_at_once_and_no_other_does() {
    let workers = idle_workers();
    let now = Instant::now();
    let taking = workers
        .iter()
        .filter(|worker| ownership::should_take_over(JOB, &worker.node, &workers, now, now))
        .count();
    assert_eq!(taking, 1);
}

/// All processes were stopped and start again: each worker first hears of those of its own
/// zone, of others within two heartbeats between zones, one of which may be lost. Until then
/// it must not take jobs that others run, and from then on jobs must not stand still.
#[test]
fn jobs_are_taken_after_a_start_of_the_whole_fleet_once_the_others_were_heard() {
    let started_at = Instant::now();
    let between_zones =
        load_reports::HEARTBEAT_INTERVAL * load_reports::REPORTS_PER_REMOTE_REPORT as u32;
    let told_and_one_lost = started_at + between_zones * 3;
    assert!(!ownership::has_received_all_heartbeats(
        started_at,
        told_and_one_lost
    ));
    let after = started_at + between_zones * 4;
    assert!(ownership::has_received_all_heartbeats(started_at, after));
}

/// A worker gives a job back; the first choice and another see it unheld in ledger reads
/// that are 2 s apart, and claims take up to 0.4 s to be heard. The other must not take it
/// before the first choice's claim can have reached it.
#[test]
fn a_second_worker_waits_for_the_first_choices_claim() {
    let workers = idle_workers();
    let first = ownership::preferred_worker(JOB, &workers)
        .expect("none leaves")
        .node
        .clone();
    let other = workers
        .iter()
        .find(|w| w.node != first)
        .expect("three workers");
    let seen_unheld = Instant::now();
    let next_read = seen_unheld + Duration::from_millis(2_400);
    assert!(!ownership::should_take_over(
        JOB,
        &other.node,
        &workers,
        seen_unheld,
        next_read
    ));
    let later = seen_unheld + Duration::from_secs(4);
    assert!(ownership::should_take_over(
        JOB,
        &other.node,
        &workers,
        seen_unheld,
        later
    ));
}

#[test]
fn a_job_that_any_worker_tells_of_is_not_taken() {
    for status in [ClaimStatus::Held, ClaimStatus::Closed] {
        let mut workers = idle_workers();
        workers[0].claims.push(JobClaim {
            job: JOB.to_owned(),
            parts: 0,
            standing: status,
        });
        let start = Instant::now();
        let later = start + Duration::from_secs(60);
        for worker in &workers {
            assert!(!ownership::should_take_over(
                JOB,
                &worker.node,
                &workers,
                start,
                later
            ));
        }
    }
}

#[test]
fn a_leaving_worker_is_no_first_choice_and_gets_no_job_by_yield() {
    let mut workers = idle_workers();
    let first = ownership::preferred_worker(JOB, &workers)
        .expect("none leaves")
        .node
        .clone();
    let at = workers
        .iter()
        .position(|w| w.node == first)
        .expect("it is one of them");
    workers[at].leaving = true;
    assert_ne!(
        ownership::preferred_worker(JOB, &workers)
            .expect("two stay")
            .node,
        first
    );
    workers[at].claims.push(JobClaim {
        job: JOB.to_owned(),
        parts: 9,
        standing: ClaimStatus::Held,
    });
    assert!(!ownership::should_release(JOB, "other", 0, &workers));
}

#[test]
fn a_reader_is_told_of_the_most_parts_that_any_worker_knows() {
    let mut workers = vec![
        worker("a", Some(1)),
        worker("b", Some(3)),
        worker("c", None),
    ];
    workers[1].claims[0].standing = ClaimStatus::Closed;
    assert_eq!(ownership::known_stored_parts(JOB, &workers), 3);
    assert_eq!(ownership::known_stored_parts("unknown", &workers), 0);
}

/// Two workers run one job and hear old claims of each other. In any order and age of the
/// claims at most one yields, and once both hear the newest claims exactly one does.
#[test]
fn of_two_holders_exactly_one_yields() {
    common::run_seeded_cases(500, 64, |u| {
        let parts_a: u32 = u.int_in_range(0..=5)?;
        let parts_b: u32 = u.int_in_range(0..=5)?;
        let heard_a: u32 = u.int_in_range(0..=parts_a)?;
        let heard_b: u32 = u.int_in_range(0..=parts_b)?;
        let job = format!("job-{}", u.int_in_range(0..=50)?);
        let claim = |node: &str, parts| {
            let mut worker = worker(node, Some(parts));
            worker.claims[0].job.clone_from(&job);
            worker
        };
        let a_yields = ownership::should_release(&job, "a", parts_a, &[claim("b", heard_b)]);
        let b_yields = ownership::should_release(&job, "b", parts_b, &[claim("a", heard_a)]);
        assert!(!(a_yields && b_yields));
        let a_yields = ownership::should_release(&job, "a", parts_a, &[claim("b", parts_b)]);
        let b_yields = ownership::should_release(&job, "b", parts_b, &[claim("a", parts_a)]);
        assert!(a_yields != b_yields);
        Ok(())
    });
}

/// Each server has one worker that gives out its batch slots: one of its own zone while any
/// lives there, and not one that leaves.
#[test]
fn one_worker_keeps_the_batch_slots_of_a_server() {
    let mut workers = idle_workers();
    workers[2].zone = "far".to_owned();
    for server in 0..20 {
        let id = format!("server-{server}");
        let keeper = ownership::slot_manager(&id, "hall", &workers).expect("one keeps it");
        assert_eq!(keeper.zone, "hall");
        let far = ownership::slot_manager(&id, "far", &workers).expect("one keeps it");
        assert_eq!(far.node, "c");
        let none = ownership::slot_manager(&id, "elsewhere", &workers);
        assert!(none.is_some(), "a zone without a worker");
    }
    workers[2].leaving = true;
    let keeper = ownership::slot_manager("server-0", "far", &workers).expect("one keeps it");
    assert_ne!(keeper.node, "c");
    let kept = |node: &str| {
        let ids = (0..200).map(|server| format!("server-{server}"));
        ids.filter(|id| {
            ownership::slot_manager(id, "hall", &workers).is_some_and(|w| w.node == node)
        })
        .count()
    };
    assert!(
        kept("a") > 50 && kept("b") > 50,
        "the servers are shared out"
    );
}

/// One worker was given more than its share of the jobs; the others have none left. The slots
/// that those give out would stay half empty.
#[test]
fn slots_are_given_out_by_workers_whose_items_wait() {
    let mut workers = idle_workers();
    for (worker, zone) in workers.iter_mut().zip(["hall", "far", "areal"]) {
        worker.zone = zone.to_owned();
    }
    workers[0].waiting_items = 12;
    let keeper = |zone, workers: &[Worker]| {
        ownership::slot_manager("server-0", zone, workers).map(|worker| worker.node.clone())
    };
    for zone in ["hall", "far", "areal"] {
        assert_eq!(keeper(zone, &workers).as_deref(), Some("a"), "{zone}");
    }
    // The zone's own worker keeps its slots again as soon as items of its own wait.
    workers[1].waiting_items = 1;
    assert_eq!(keeper("far", &workers).as_deref(), Some("b"));
    assert_eq!(keeper("hall", &workers).as_deref(), Some("a"));
    // Of a worker that is not heard it is not known what waits.
    workers[1].waiting_items = 0;
    workers[1].has_current_claims = false;
    assert_eq!(keeper("far", &workers).as_deref(), Some("b"));
    // A worker that leaves keeps nothing.
    workers[0].leaving = true;
    workers[1].has_current_claims = true;
    assert_ne!(keeper("hall", &workers).as_deref(), Some("a"));
}

/// The path between two workers is cut one way for 5 s: the one that hears nothing must not
/// take what the other, alive for everybody else, probably runs.
#[test]
fn jobs_of_a_worker_that_only_others_hear_are_left_to_it() {
    let mut workers = idle_workers();
    let first = ownership::preferred_worker(JOB, &workers)
        .expect("none leaves")
        .node
        .clone();
    for worker in &mut workers {
        worker.has_current_claims = worker.node != first;
    }
    let other = workers
        .iter()
        .find(|w| w.node != first)
        .expect("three workers");
    let unheld = Instant::now();
    let in_the_cut = unheld + Duration::from_secs(5);
    assert!(!ownership::should_take_over(
        JOB,
        &other.node,
        &workers,
        unheld,
        in_the_cut
    ));
    let much_later = unheld + Duration::from_secs(10);
    assert!(ownership::should_take_over(
        JOB,
        &other.node,
        &workers,
        unheld,
        much_later
    ));
}
