//! The ledger of accepted jobs: quota and repeats, also when fronts race each other.

mod common;

use std::time::Duration;

use foxwheel_policy::batch::ledger::{
    self, Admission, JobStatus, Ledger, LedgerChange, LedgerResponse,
};

const NOW: Duration = Duration::from_secs(1_000);

fn admit(ledger: &mut Ledger, id: &str, tokens: u64, quota: u64) -> Admission {
    ledger.admit(id, "route", tokens, quota, NOW)
}

#[test]
fn a_job_is_accepted_once_also_after_it_was_closed() {
    let mut ledger = Ledger::default();
    assert_eq!(admit(&mut ledger, "a", 10, 0), Admission::Accepted);
    assert_eq!(admit(&mut ledger, "a", 10, 0), Admission::Repeat);
    assert!(ledger.close("a", NOW));
    assert!(!ledger.close("a", NOW));
    assert_eq!(admit(&mut ledger, "a", 10, 0), Admission::Repeat);
    assert_eq!(ledger.job_status("a"), JobStatus::Closed);
}

#[test]
fn the_quota_counts_waiting_tokens_of_the_route_only() {
    let mut ledger = Ledger::default();
    assert_eq!(admit(&mut ledger, "a", 60, 100), Admission::Accepted);
    assert_eq!(admit(&mut ledger, "b", 41, 100), Admission::OverQuota);
    assert_eq!(ledger.job_status("b"), JobStatus::Unknown);
    assert_eq!(
        ledger.admit("c", "other", 90, 100, NOW),
        Admission::Accepted
    );
    assert!(ledger.lower_unfinished_tokens("a", 20));
    assert!(
        !ledger.lower_unfinished_tokens("a", 30),
        "waiting tokens never grow"
    );
    assert_eq!(admit(&mut ledger, "b", 41, 100), Admission::Accepted);
    ledger.close("a", NOW);
    assert_eq!(ledger.unfinished_tokens("route"), 41);
}

#[test]
fn closed_jobs_are_forgotten_after_a_while_and_open_ones_never() {
    let mut ledger = Ledger::default();
    admit(&mut ledger, "a", 1, 0);
    admit(&mut ledger, "b", 1, 0);
    ledger.close("a", NOW);
    let keep = Duration::from_secs(60);
    assert!(!ledger.prune_closed(NOW + Duration::from_secs(59), keep));
    assert!(ledger.prune_closed(NOW + Duration::from_secs(60), keep));
    assert_eq!(ledger.job_status("a"), JobStatus::Unknown);
    assert_eq!(ledger.job_status("b"), JobStatus::Open);
}

#[test]
fn the_ledger_survives_its_stored_form() {
    let mut ledger = Ledger::default();
    admit(&mut ledger, "a", 7, 0);
    admit(&mut ledger, "b", 8, 0);
    ledger.close("b", NOW);
    let stored = serde_json::to_string(&ledger).expect("it encodes");
    let read: Ledger = serde_json::from_str(&stored).expect("it decodes");
    assert_eq!(read, ledger);
}

/// The store's object: replaced only at the revision it was read at. A write may be done
/// and its answer lost, or done late if its revision still holds.
#[derive(Default)]
struct Object {
    revision: u64,
    ledger: Ledger,
}

impl Object {
    fn replace(&mut self, revision: u64, ledger: &Ledger) -> bool {
        if revision != self.revision {
            return false;
        }
        self.revision += 1;
        self.ledger = ledger.clone();
        true
    }
}

/// Four fronts submit and end jobs with ledgers they read earlier, in any order of steps,
/// with answers lost and writes done late: the quota is never exceeded and a closed job
/// never opens again.
#[test]
fn racing_fronts_never_exceed_the_quota_nor_reopen_a_job() {
    const STEPS: usize = 10_000;
    const QUOTA: u64 = 100;
    common::run_seeded_cases(8, 120000, |u| {
        let mut object = Object::default();
        let mut cached: Vec<(u64, Ledger)> = vec![Default::default(); 4];
        let mut late: Vec<(u64, Ledger)> = Vec::new();
        let mut closed: Vec<String> = Vec::new();
        for _ in 0..STEPS {
            if u.is_empty() {
                break;
            }
            let front = u.choose_index(cached.len())?;
            let id = format!("job-{}", u.int_in_range(0..=12)?);
            let (revision, mut ledger) = cached[front].clone();
            match u.int_in_range(0..=5)? {
                0 | 1 => {
                    admit(&mut ledger, &id, u.int_in_range(10..=60)?, QUOTA);
                }
                2 => {
                    ledger.close(&id, NOW);
                }
                3 => {
                    if let Some((revision, ledger)) = late.pop() {
                        object.replace(revision, &ledger);
                    }
                    continue;
                }
                _ => {
                    cached[front] = (object.revision, object.ledger.clone());
                    continue;
                }
            }
            if u.ratio(1, 5)? {
                late.push((revision, ledger));
            } else if object.replace(revision, &ledger) && u.ratio(4, 5)? {
                cached[front] = (object.revision, object.ledger.clone());
            }
            assert!(object.ledger.unfinished_tokens("route") <= QUOTA);
            for id in &closed {
                assert_ne!(
                    object.ledger.job_status(id),
                    JobStatus::Open,
                    "{id} is open again"
                );
            }
            closed = object
                .ledger
                .closed
                .iter()
                .map(|job| job.id.clone())
                .collect();
        }
        Ok(())
    });
}

/// Repeating any change after a lost answer alters nothing more.
#[test]
fn changes_are_idempotent() {
    let admit = |id: &str| LedgerChange::Admit {
        id: id.to_owned(),
        route: "route".to_owned(),
        tokens: 10,
        quota_tokens: 15,
        now_unix: NOW,
    };
    let mut ledger = Ledger::default();
    assert_eq!(
        ledger.apply(&admit("a")),
        LedgerResponse::Admission(Admission::Accepted)
    );
    let over = LedgerResponse::Admission(Admission::OverQuota);
    assert_eq!(ledger.apply(&admit("b")), over);
    let changes = [
        (admit("a"), LedgerResponse::Admission(Admission::Repeat)),
        (
            LedgerChange::Close {
                id: "a".to_owned(),
                now_unix: NOW,
            },
            LedgerResponse::Standing(JobStatus::Closed),
        ),
        (
            LedgerChange::Withdraw { id: "a".to_owned() },
            LedgerResponse::Standing(JobStatus::Closed),
        ),
        (
            LedgerChange::Withdraw { id: "b".to_owned() },
            LedgerResponse::Standing(JobStatus::Unknown),
        ),
    ];
    for (change, expected) in changes {
        assert_eq!(ledger.apply(&change), expected, "{change:?}");
        let once = ledger.clone();
        assert_eq!(ledger.apply(&change), expected, "{change:?} again");
        assert_eq!(ledger, once, "{change:?} again");
    }
}

/// A submission while the ledger's keeper is dead: after waiting for it there is time for a read
/// and a write of the ledger within the shortest target for an acceptance (400 ms).
#[test]
fn a_dead_keeper_does_not_make_an_acceptance_late() {
    const TARGET: Duration = Duration::from_millis(400);
    const STORE_CALL: Duration = Duration::from_millis(4);
    assert!(ledger::LEDGER_WRITER_TIMEOUT + 4 * STORE_CALL < TARGET);
    // While each call takes 240 ms the keeper is still waited for.
    assert!(ledger::LEDGER_WRITER_TIMEOUT > Duration::from_millis(250));
}
