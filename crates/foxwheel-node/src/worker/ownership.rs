//! Which jobs this worker takes over, and which it leaves to others.

use std::sync::Arc;
use std::time::Instant;

use foxwheel_core::ids::JobId;
use foxwheel_policy::batch::ownership;

use crate::worker::Worker;

impl Worker {
    /// The live workers with this one.
    pub(super) fn all_workers(&self, now: Instant) -> Vec<ownership::Worker> {
        let settings = &self.node.settings;
        let mut workers = self.node.peers.live_workers(now);
        workers.retain(|worker| worker.node != settings.host);
        workers.push(ownership::Worker {
            node: settings.host.clone(),
            zone: settings.availability_zone.clone(),
            leaving: self.node.is_leaving(),
            heard: true,
            claims: self.node.claims(),
            waiting_items: self.node.waiting_items(),
        });
        workers
    }

    /// Leaves jobs to workers that run them too.
    pub(super) fn yield_jobs(&mut self) {
        let others = self.node.peers.live_workers(Instant::now());
        let own = &self.node.settings.host;
        let mut yielded = Vec::new();
        self.jobs.for_each_owned(|entry| {
            let job = &entry.progress.spec.id;
            if ownership::should_yield(job, own, entry.progress.parts, &others) {
                yielded.push(job.clone());
            }
        });
        for job in yielded {
            log::info!(job; "job left to another worker that runs it too");
            self.jobs.release_job(&job);
        }
    }

    /// Has the ledger read at once when a worker that ran a job is silent or gave it back.
    pub(super) fn notice_orphans(&mut self) {
        let workers = self.node.peers.live_workers(Instant::now());
        let claims = workers.iter().flat_map(|worker| &worker.claims);
        let mut told: Vec<JobId> = claims.map(|claim| claim.job.clone()).collect();
        told.sort_unstable();
        told.dedup();
        let gone = |job: &&JobId| told.binary_search(job).is_err();
        let orphaned = self.told_elsewhere.iter().filter(gone).count();
        if orphaned > 0 {
            log::info!(jobs = orphaned; "jobs no longer told of by other workers");
            self.jobs.ledger_poll_request.notify_one();
        }
        self.told_elsewhere = told;
    }

    /// Looks at the open jobs of the ledger: takes those that nobody runs.
    pub(super) fn take_ledger(&mut self, open: &[JobId]) {
        let now = Instant::now();
        // Right after the start nobody was heard yet.
        let heard = ownership::has_heard_all(self.started_at, now);
        let workers = self.all_workers(now);
        let own = self.node.settings.host.clone();
        let before = std::mem::take(&mut self.unheld);
        for job in open {
            if workers.iter().any(|worker| worker.holds(job)) {
                continue;
            }
            let known = before.binary_search_by(|(id, _)| id.cmp(job));
            let since = known.map_or(now, |at| before[at].1);
            self.unheld.push((job.clone(), since));
            let first = ownership::first_choice(job, &workers).is_some_and(|w| w.node == own);
            let take = ownership::should_take(job, &own, &workers, since, now)
                && (first || !self.jobs.was_recently_missing(job, now));
            if heard && take && !self.node.is_leaving() {
                let jobs = Arc::clone(&self.jobs);
                let job = job.clone();
                tokio::spawn(async move {
                    if let Err(e) = jobs.take_over(&job).await {
                        log::warn!(job, error:% = e; "job not adopted");
                    }
                });
            }
        }
    }
}
