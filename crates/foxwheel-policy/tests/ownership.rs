//! Tests job ownership and slot management when heartbeats arrive late or not at all, and when
//! workers start, die and shut down.

mod common;

use std::time::{Duration, Instant};

use foxwheel_policy::batch::ownership::{self, ClaimStatus, JobClaim, Worker};
use foxwheel_policy::load_reports;

const JOB: &str = "7c41e09b52d6a3f8";

/// Returns a worker that owns `JOB` with `owned_parts` stored parts, or no job if that is `None`.
fn worker(host: &str, owned_parts: Option<u32>) -> Worker {
    let claim = owned_parts.map(|parts| JobClaim {
        job: JOB.to_owned(),
        stored_parts: parts,
        status: ClaimStatus::Owned,
    });
    Worker {
        host: host.to_owned(),
        zone: "hall".to_owned(),
        leaving: false,
        has_current_claims: true,
        claims: claim.into_iter().collect(),
        waiting_items: 0,
    }
}

fn idle_workers() -> Vec<Worker> {
    ["a", "b", "c"].map(|host| worker(host, None)).to_vec()
}

#[test]
fn only_the_preferred_worker_takes_over_a_job_immediately() {
    let workers = idle_workers();
    let now = Instant::now();
    let taking_over = workers
        .iter()
        .filter(|worker| ownership::should_take_over(JOB, &worker.host, &workers, now, now))
        .count();
    assert_eq!(taking_over, 1);
}

/// After a start of the whole fleet each worker first receives heartbeats from its own zone, and
/// from other zones within two heartbeats between zones, one of which may be lost. Before that a
/// worker must not take over jobs that others own; after it jobs must not stand still.
#[test]
fn jobs_are_taken_over_only_after_the_heartbeats_of_all_workers() {
    let started_at = Instant::now();
    let zone_heartbeat_interval =
        load_reports::HEARTBEAT_INTERVAL * load_reports::REPORTS_PER_REMOTE_REPORT as u32;
    let after_three_heartbeats = started_at + zone_heartbeat_interval * 3;
    assert!(!ownership::has_received_all_heartbeats(
        started_at,
        after_three_heartbeats
    ));
    let after_four_heartbeats = started_at + zone_heartbeat_interval * 4;
    assert!(ownership::has_received_all_heartbeats(
        started_at,
        after_four_heartbeats
    ));
}

/// A worker releases a job. The preferred worker and another one see in the ledger that it has no
/// owner, in polls that are up to 2 s apart, and claims take up to 0.4 s to arrive. The other
/// worker must not take the job over before the preferred worker's claim can have arrived.
#[test]
fn other_workers_wait_for_the_claim_of_the_preferred_worker() {
    let workers = idle_workers();
    let preferred = ownership::preferred_worker(JOB, &workers)
        .expect("no worker shuts down")
        .host
        .clone();
    let other = workers
        .iter()
        .find(|w| w.host != preferred)
        .expect("three workers");
    let seen_unowned = Instant::now();
    let claim_arrival = seen_unowned + Duration::from_millis(2_400);
    assert!(!ownership::should_take_over(
        JOB,
        &other.host,
        &workers,
        seen_unowned,
        claim_arrival
    ));
    let after_grace = seen_unowned + Duration::from_secs(4);
    assert!(ownership::should_take_over(
        JOB,
        &other.host,
        &workers,
        seen_unowned,
        after_grace
    ));
}

#[test]
fn job_that_any_worker_reports_is_not_taken_over() {
    for status in [ClaimStatus::Owned, ClaimStatus::Closed] {
        let mut workers = idle_workers();
        workers[0].claims.push(JobClaim {
            job: JOB.to_owned(),
            stored_parts: 0,
            status,
        });
        let start = Instant::now();
        let much_later = start + Duration::from_secs(60);
        for worker in &workers {
            assert!(!ownership::should_take_over(
                JOB,
                &worker.host,
                &workers,
                start,
                much_later
            ));
        }
    }
}

#[test]
fn worker_that_shuts_down_is_not_preferred_and_gets_no_released_job() {
    let mut workers = idle_workers();
    let preferred = ownership::preferred_worker(JOB, &workers)
        .expect("no worker shuts down")
        .host
        .clone();
    let index = workers
        .iter()
        .position(|w| w.host == preferred)
        .expect("the preferred worker is one of them");
    workers[index].leaving = true;
    assert_ne!(
        ownership::preferred_worker(JOB, &workers)
            .expect("two workers remain")
            .host,
        preferred
    );
    workers[index].claims.push(JobClaim {
        job: JOB.to_owned(),
        stored_parts: 9,
        status: ClaimStatus::Owned,
    });
    assert!(!ownership::should_release(JOB, "other", 0, &workers));
}

#[test]
fn known_stored_parts_is_the_maximum_over_all_workers() {
    let mut workers = vec![
        worker("a", Some(1)),
        worker("b", Some(3)),
        worker("c", None),
    ];
    workers[1].claims[0].status = ClaimStatus::Closed;
    assert_eq!(ownership::known_stored_parts(JOB, &workers), 3);
    assert_eq!(ownership::known_stored_parts("unknown", &workers), 0);
}

/// Two workers own the same job and have received claims of any age from each other. At most one
/// of them releases the job, and exactly one does once both have received the newest claims.
#[test]
fn exactly_one_of_two_owners_releases_the_job() {
    common::run_seeded_cases(500, 64, |u| {
        let parts_a: u32 = u.int_in_range(0..=5)?;
        let parts_b: u32 = u.int_in_range(0..=5)?;
        let received_a: u32 = u.int_in_range(0..=parts_a)?;
        let received_b: u32 = u.int_in_range(0..=parts_b)?;
        let job = format!("job-{}", u.int_in_range(0..=50)?);
        let claim = |host: &str, parts| {
            let mut worker = worker(host, Some(parts));
            worker.claims[0].job.clone_from(&job);
            worker
        };
        let a_releases = ownership::should_release(&job, "a", parts_a, &[claim("b", received_b)]);
        let b_releases = ownership::should_release(&job, "b", parts_b, &[claim("a", received_a)]);
        assert!(!(a_releases && b_releases));
        let a_releases = ownership::should_release(&job, "a", parts_a, &[claim("b", parts_b)]);
        let b_releases = ownership::should_release(&job, "b", parts_b, &[claim("a", parts_a)]);
        assert!(a_releases != b_releases);
        Ok(())
    });
}

/// Each server has one worker as slot manager. It is a worker of the server's zone as long as there
/// is one, and never a worker that shuts down.
#[test]
fn each_server_has_one_slot_manager_in_its_zone() {
    let mut workers = idle_workers();
    workers[2].zone = "far".to_owned();
    for server in 0..20 {
        let id = format!("server-{server}");
        let manager = ownership::slot_manager(&id, "hall", &workers).expect("a slot manager");
        assert_eq!(manager.zone, "hall");
        let far = ownership::slot_manager(&id, "far", &workers).expect("a slot manager");
        assert_eq!(far.host, "c");
        let other_zone = ownership::slot_manager(&id, "elsewhere", &workers);
        assert!(other_zone.is_some(), "a zone without a worker");
    }
    workers[2].leaving = true;
    let manager = ownership::slot_manager("server-0", "far", &workers).expect("a slot manager");
    assert_ne!(manager.host, "c");
    let managed_servers = |host: &str| {
        let ids = (0..200).map(|server| format!("server-{server}"));
        ids.filter(|id| {
            ownership::slot_manager(id, "hall", &workers).is_some_and(|w| w.host == host)
        })
        .count()
    };
    assert!(
        managed_servers("a") > 50 && managed_servers("b") > 50,
        "the servers are spread over the workers"
    );
}

/// One worker has more than its share of the jobs and the others have no items left. If these were
/// slot managers, half of their slots would stay empty.
#[test]
fn slot_managers_are_workers_with_waiting_items() {
    let mut workers = idle_workers();
    for (worker, zone) in workers.iter_mut().zip(["hall", "far", "areal"]) {
        worker.zone = zone.to_owned();
    }
    workers[0].waiting_items = 12;
    let manager = |zone, workers: &[Worker]| {
        ownership::slot_manager("server-0", zone, workers).map(|worker| worker.host.clone())
    };
    for zone in ["hall", "far", "areal"] {
        assert_eq!(manager(zone, &workers).as_deref(), Some("a"), "{zone}");
    }
    // A worker of the zone is the slot manager again as soon as it has waiting items.
    workers[1].waiting_items = 1;
    assert_eq!(manager("far", &workers).as_deref(), Some("b"));
    assert_eq!(manager("hall", &workers).as_deref(), Some("a"));
    // A worker whose heartbeats do not arrive here may have waiting items.
    workers[1].waiting_items = 0;
    workers[1].has_current_claims = false;
    assert_eq!(manager("far", &workers).as_deref(), Some("b"));
    // A worker that shuts down is never a slot manager.
    workers[0].leaving = true;
    workers[1].has_current_claims = true;
    assert_ne!(manager("hall", &workers).as_deref(), Some("a"));
}

/// The network path between two workers is interrupted in one direction for 5 s. The worker that
/// receives nothing must not take over jobs that the other one, whose heartbeats all other
/// processes receive, probably owns.
#[test]
fn jobs_of_an_unreachable_live_worker_are_not_taken_over() {
    let mut workers = idle_workers();
    let preferred = ownership::preferred_worker(JOB, &workers)
        .expect("no worker shuts down")
        .host
        .clone();
    for worker in &mut workers {
        worker.has_current_claims = worker.host != preferred;
    }
    let other = workers
        .iter()
        .find(|w| w.host != preferred)
        .expect("three workers");
    let unowned_since = Instant::now();
    let during_interruption = unowned_since + Duration::from_secs(5);
    assert!(!ownership::should_take_over(
        JOB,
        &other.host,
        &workers,
        unowned_since,
        during_interruption
    ));
    let after_grace = unowned_since + Duration::from_secs(10);
    assert!(ownership::should_take_over(
        JOB,
        &other.host,
        &workers,
        unowned_since,
        after_grace
    ));
}
