//! Which items run next and at which servers, and which runs give way to online requests.

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

/// A job with items that wait.
struct WaitingJob {
    job: JobId,
    host: String,
    path: String,
}

impl Worker {
    /// Starts waiting items while servers have slots.
    pub(super) fn start_items(&mut self) {
        if self.leaving.is_some() {
            return;
        }
        let Some(config) = self.node.config() else {
            return;
        };
        let now = Instant::now();
        let (jobs, mut items) = self.waiting_items(&config, now);
        schedule::sort(&mut items, ledger_poll::unix_now());
        let mut places = Places::default();
        let mut without_slot = 0;
        for item in items {
            let job = &jobs[item.job];
            let Some(route) = batch_route(&config, &job.host, &job.path) else {
                continue;
            };
            let service = route.pick_service(rand::random());
            let slot = places.take(self, service, now);
            let Some(slot) = slot else {
                without_slot += 1;
                continue;
            };
            // A job that was dropped since it was looked at gives its slot back.
            if let Some(run) = self.run_of(job, item.item, slot) {
                self.start(item.item, run);
            }
        }
        self.node.set_waiting_items(without_slot);
    }

    /// Items that could run now, with the jobs that their numbers mean.
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
                    remaining: self
                        .estimate
                        .remaining(progress.items[item].partial.events()),
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

    /// Marks an item as running; none if its job is not in memory any more.
    fn run_of(&self, job: &WaitingJob, item: usize, slot: InFlight) -> Option<ItemRun> {
        self.jobs.with_entry(&job.job, |entry| {
            entry.progress.start(item);
            ItemRun {
                job: job.job.clone(),
                host: job.host.clone(),
                item: entry.progress.spec.items[item].clone(),
                output: Arc::new(Mutex::new(entry.progress.items[item].partial.clone())),
                slot,
                cancel: entry.cancel.child_token(),
            }
        })
    }

    /// The servers of `service` as places for batch items.
    fn batch_candidates(&self, service: &str, now: Instant) -> Vec<Candidate> {
        let workers = self.all_workers(now);
        let own = &self.node.settings.host;
        let mut candidates = self.node.batch_candidates(service, now);
        for candidate in &mut candidates {
            let keeper = ownership::slot_keeper(&candidate.id, &candidate.zone, &workers);
            candidate.is_slot_manager = keeper.is_some_and(|keeper| keeper.node == *own);
        }
        candidates
    }

    /// Stops runs on servers whose slots online requests need, the newest first.
    pub(super) fn yield_slots(&mut self) {
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

/// Places for batch items at the servers of each service, as one look at their load shows
/// them; what is taken counts.
#[derive(Default)]
struct Places(Vec<(ServiceName, Vec<Candidate>)>);

impl Places {
    /// Takes a slot at a server of `service`; none if none is free.
    fn take(&mut self, worker: &Worker, service: &ServiceName, now: Instant) -> Option<InFlight> {
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
            // Nothing is looked for again in this round.
            candidates.clear();
            return None;
        };
        let taken = candidates.iter_mut().find(|one| one.id == server.id)?;
        taken.in_flight += 1;
        taken.batch_in_flight += 1;
        taken.own_batch_in_flight += 1;
        Some(node.loads.begin_request(&server, WorkClass::Batch))
    }
}
