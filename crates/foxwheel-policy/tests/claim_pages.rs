//! Replays the reports of a worker's jobs to a process that misses some of them.

mod common;

use foxwheel_policy::batch::claim_pages::{ClaimPager, MAX_PAGE_BYTES};
use foxwheel_policy::batch::ownership::{ClaimStatus, JobClaim};

fn claim(number: usize) -> JobClaim {
    JobClaim {
        job: format!("{number:016x}"),
        stored_parts: 0,
        status: ClaimStatus::Owned,
    }
}

/// Number of reports in which all claims are sent in turn, if none of them holds changes.
fn reports_per_round(claims: &[JobClaim]) -> usize {
    claims.len() * (claims[0].job.len() + 8) / MAX_PAGE_BYTES + 2
}

#[test]
fn few_claims_are_one_page() {
    let claims: Vec<JobClaim> = (0..20).map(claim).collect();
    let mut pager = ClaimPager::default();
    for _ in 0..3 {
        let (range, page) = pager.next_page(&claims);
        assert_eq!((range.after, range.until), (None, None));
        assert_eq!(page, claims);
    }
    let (range, page) = pager.next_page(&[]);
    let mut known = claims;
    range.apply(page, &mut known);
    assert!(known.is_empty());
}

#[test]
fn changes_among_many_claims_are_reported_soon() {
    let mut claims: Vec<JobClaim> = (0..5_000).map(claim).collect();
    let mut pager = ClaimPager::default();
    let mut known = Vec::new();
    for _ in 0..2 * reports_per_round(&claims) {
        let (range, page) = pager.next_page(&claims);
        range.apply(page, &mut known);
    }
    assert_eq!(known, claims);
    claims[4_000].stored_parts = 1;
    claims.remove(3_990);
    for _ in 0..2 {
        let (range, page) = pager.next_page(&claims);
        range.apply(page, &mut known);
    }
    assert_eq!(known, claims);
}

/// Jobs come, change and go while any report is lost. Once no report is lost and nothing changes, the
/// process knows the claims after one round, and no page exceeds its limit.
#[test]
fn all_claims_are_known_a_round_after_the_last_loss() {
    common::run_seeded_cases(25, 3_000, |u| {
        let mut claims: Vec<JobClaim> = (0..400).step_by(2).map(claim).collect();
        let mut pager = ClaimPager::default();
        let mut known = Vec::new();
        while !u.is_empty() {
            for _ in 0..u.int_in_range(0..=4)? {
                let at = u.choose_index(claims.len())?;
                match u.int_in_range(0..=2)? {
                    0 if claims.len() > 100 => {
                        claims.remove(at);
                    }
                    1 => claims[at].stored_parts += 1,
                    _ => {
                        let new = claim(u.int_in_range(0..=400)?);
                        if let Err(at) = claims.binary_search_by(|it| it.job.cmp(&new.job)) {
                            claims.insert(at, new);
                        }
                    }
                }
            }
            let (range, page) = pager.next_page(&claims);
            let bytes: usize = page.iter().map(|claim| claim.job.len() + 8).sum();
            assert!(bytes <= MAX_PAGE_BYTES);
            assert!(page.iter().all(|claim| range.contains(&claim.job)));
            if u.ratio(2, 3)? {
                range.apply(page, &mut known);
            }
        }
        // Changes that are not sent yet come before the round.
        for _ in 0..2 * reports_per_round(&claims) {
            let (range, page) = pager.next_page(&claims);
            range.apply(page, &mut known);
        }
        assert_eq!(known, claims);
        Ok(())
    });
}
