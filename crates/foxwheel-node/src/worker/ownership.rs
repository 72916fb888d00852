//! Decides which jobs this worker takes over and which it releases to other workers.

use std::sync::Arc;
use std::time::Instant;

use foxwheel_core::ids::JobId;
use foxwheel_policy::batch::ownership;

use crate::worker::Worker;

impl Worker {
    /// Returns the live workers, including this one.
    pub(super) fn all_workers(&self, now: Instant) -> Vec<ownership::Worker> {
        let settings = &self.node.settings;
        let mut workers = self.node.peers.live_workers(now);
        workers.retain(|worker| worker.host != settings.host);
        workers.push(ownership::Worker {
            host: settings.host.clone(),
            zone: settings.availability_zone.clone(),
            leaving: self.node.is_leaving(),
            has_current_claims: true,
            claims: self.node.claims(),
            waiting_items: self.node.waiting_items(),
        });
        workers
    }

    /// Releases jobs that another worker owns as well and should keep.
    pub(super) fn release_duplicate_jobs(&mut self) {
        let others = self.node.peers.live_workers(Instant::now());
        let own = &self.node.settings.host;
        let mut duplicates = Vec::new();
        self.jobs.for_each_owned(|entry| {
            let job = &entry.progress.spec.id;
            if ownership::should_release(job, own, entry.progress.stored_parts, &others) {
                duplicates.push(job.clone());
            }
        });
        for job in duplicates {
            log::info!(job; "releasing a job that another worker owns as well");
            self.jobs.release_job(&job);
        }
    }

    /// Requests a read of the ledger when a job is no longer reported by any other worker,
    /// because its owner is silent or released it.
    pub(super) fn check_abandoned_jobs(&mut self) {
        let workers = self.node.peers.live_workers(Instant::now());
        let claims = workers.iter().flat_map(|worker| &worker.claims);
        let mut reported: Vec<JobId> = claims.map(|claim| claim.job.clone()).collect();
        reported.sort_unstable();
        reported.dedup();
        let is_abandoned = |job: &&JobId| reported.binary_search(job).is_err();
        let abandoned = self.reported_by_others.iter().filter(is_abandoned).count();
        if abandoned > 0 {
            log::info!(jobs = abandoned; "other workers no longer report some jobs; reading the ledger");
            self.jobs.ledger_poll_request.notify_one();
        }
        self.reported_by_others = reported;
    }

    /// Starts to take over those of the ledger's `open_jobs` that have no owner and that this
    /// worker should take.
    pub(super) fn take_over_unowned(&mut self, open_jobs: &[JobId]) {
        let now = Instant::now();
        // Right after the start no heartbeat of the other workers has been received yet.
        let knows_workers = ownership::has_received_all_heartbeats(self.started_at, now);
        let workers = self.all_workers(now);
        let own = self.node.settings.host.clone();
        let previous = std::mem::take(&mut self.unowned);
        for job in open_jobs {
            if workers.iter().any(|worker| worker.owns(job)) {
                continue;
            }
            let known = previous.binary_search_by(|(id, _)| id.cmp(job));
            let since = known.map_or(now, |at| previous[at].1);
            self.unowned.push((job.clone(), since));
            let is_preferred =
                ownership::preferred_worker(job, &workers).is_some_and(|worker| worker.host == own);
            let should_take_over = ownership::should_take_over(job, &own, &workers, since, now)
                && (is_preferred || !self.jobs.was_recently_missing(job, now));
            if knows_workers && should_take_over && !self.node.is_leaving() {
                let jobs = Arc::clone(&self.jobs);
                let job = job.clone();
                tokio::spawn(async move {
                    if let Err(e) = jobs.take_over(&job).await {
                        log::warn!(job, error:% = e; "could not take over the job");
                    }
                });
            }
        }
    }
}
