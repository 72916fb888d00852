//! Decides which items run next and at which servers, and which runs are stopped to free
//! slots for online requests.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use foxwheel_core::ids::{JobId, ServiceName};
use foxwheel_policy::batch::ownership;
use foxwheel_policy::batch::schedule::{self, WaitingItem};
use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::placement::{self, Candidate};
use foxwheel_policy::routes::Config;

use crate::item_run::ItemRun;
use crate::ledger_poll;
use crate::load_table::{InFlight, WorkClass};
use crate::worker::{batch_route, Worker};

/// A job whose items may be waiting.
struct WaitingJob {
    job: JobId,
    host: String,
    path: String,
}

impl Worker {
    /// Starts waiting items while servers have free slots.
    pub(super) fn start_items(&mut self) {
        if self.leaving.is_some() {
            return;
        }
        let Some(config) = self.node.config() else {
            return;
        };
        let now = Instant::now();
        let (jobs, mut items) = self.waiting_items(&config, now);
        schedule::sort_waiting_items(&mut items, ledger_poll::unix_now());
        let mut slots = BatchSlots::default();
        let mut without_slot = 0;
        for item in items {
            let job = &jobs[item.job];
            let Some(route) = batch_route(&config, &job.host, &job.path) else {
                continue;
            };
            let service = route.pick_service(rand::random());
            let slot = slots.reserve_slot(self, service, now);
            let Some(slot) = slot else {
                without_slot += 1;
                continue;
            };
            // If the job has left memory since its items were collected, dropping the slot
            // returns it.
            if let Some(run) = self.prepare_run(job, item.item, slot) {
                self.start_run(item.item, run);
            }
        }
        self.node.set_waiting_items(without_slot);
    }

    /// Returns the items that could run now, and the jobs to which their `job` indexes refer.
    fn waiting_items(&self, config: &Config, now: Instant) -> (Vec<WaitingJob>, Vec<WaitingItem>) {
        let (mut jobs, mut items) = (Vec::new(), Vec::new());
        self.jobs.for_each_owned(|entry| {
            let progress = &entry.progress;
            let spec = &progress.spec;
            let Some(route) = batch_route(config, &spec.host, &spec.path) else {
                return;
            };
            let due_unix = spec.submitted_unix + route.completion_target;
            items.extend(progress.waiting_items(now).map(|item| {
                WaitingItem {
                    job: jobs.len(),
                    item,
                    due_unix,
                    remaining_run_time: self
                        .estimate
                        .remaining_run_time(progress.items[item].partial_output.event_count()),
                }
            }));
            jobs.push(WaitingJob {
                job: spec.id.clone(),
                host: spec.host.clone(),
                path: spec.path.clone(),
            });
        });
        (jobs, items)
    }

    /// Marks an item as running and returns its run, or `None` if its job is no longer in
    /// memory.
    fn prepare_run(&self, job: &WaitingJob, item: usize, slot: InFlight) -> Option<ItemRun> {
        self.jobs.with_entry(&job.job, |entry| {
            entry.progress.start_item(item);
            ItemRun {
                job: job.job.clone(),
                host: job.host.clone(),
                item: entry.progress.spec.items[item].clone(),
                output: Arc::new(Mutex::new(
                    entry.progress.items[item].partial_output.clone(),
                )),
                slot,
                cancel: entry.cancel.child_token(),
            }
        })
    }

    /// Returns the servers of `service` as candidates for batch items, and marks those whose
    /// batch slots this worker manages.
    fn batch_candidates(&self, service: &str, now: Instant) -> Vec<Candidate> {
        let workers = self.all_workers(now);
        let own = &self.node.settings.host;
        let mut candidates = self.node.batch_candidates(service, None, now);
        for candidate in &mut candidates {
            let manager = ownership::slot_manager(&candidate.id, &candidate.zone, &workers);
            candidate.is_slot_manager = manager.is_some_and(|manager| manager.host == *own);
        }
        candidates
    }

    /// Stops runs at servers whose slots online requests need, the newest runs first.
    pub(super) fn free_online_slots(&mut self) {
        let now = Instant::now();
        let mut servers: Vec<&ServerInstance> = self.runs.iter().map(|run| &run.server).collect();
        servers.sort_unstable();
        servers.dedup();
        for server in servers {
            let Some(candidate) = self.node.candidate(server, now) else {
                continue;
            };
            let excess = placement::batch_items_to_preempt(&candidate) as usize;
            let runs = self.runs.iter().rev().filter(|run| run.server == *server);
            for run in runs.take(excess) {
                if now.duration_since(run.started_at) >= placement::MIN_RUN_TIME {
                    run.cancel.cancel();
                }
            }
        }
    }
}

/// The batch slots at the servers of each service within one scheduling round. The servers'
/// load is read once per service, and slots taken in the round are counted.
#[derive(Default)]
struct BatchSlots(Vec<(ServiceName, Vec<Candidate>)>);

impl BatchSlots {
    /// Reserves a slot at a server of `service`, or returns `None` if none is free.
    fn reserve_slot(
        &mut self,
        worker: &Worker,
        service: &ServiceName,
        now: Instant,
    ) -> Option<InFlight> {
        let known = self.0.iter().position(|(name, _)| name == service);
        let at = known.unwrap_or_else(|| {
            let candidates = worker.batch_candidates(service, now);
            self.0.push((service.clone(), candidates));
            self.0.len() - 1
        });
        let candidates = &mut self.0[at].1;
        let node = &worker.node;
        let zone = &node.settings.availability_zone;
        let draw = rand::random::<u32>() as usize;
        let Some(server) = placement::pick_batch(candidates, zone, draw).map(Candidate::instance)
        else {
            // No other item of this round searches the service's servers again.
            candidates.clear();
            return None;
        };
        let candidate = candidates.iter_mut().find(|known| known.id == server.id)?;
        candidate.in_flight += 1;
        candidate.batch_in_flight += 1;
        candidate.own_batch_in_flight += 1;
        Some(node.loads.begin_request(&server, WorkClass::Batch))
    }
}
