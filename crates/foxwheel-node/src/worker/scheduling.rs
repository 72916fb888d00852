//! Decides which items run next and at which servers, and which runs are stopped to free
//! slots for online requests.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxwheel_core::ids::{JobId, ServiceName, SoftwareVersion};
use foxwheel_policy::batch::schedule::{self, WaitingItem};
use foxwheel_policy::batch::{item, ownership};
use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::placement::{self, Candidate};
use foxwheel_policy::routes::{Config, Route};
use foxwheel_policy::stream_origin::StreamOrigin;

use crate::item_run::ItemRun;
use crate::ledger_poll;
use crate::load_table::{InFlight, WorkClass};
use crate::worker::Worker;

/// A job whose items may be waiting.
struct WaitingJob<'a> {
    job: JobId,
    host: String,
    route: &'a Route,
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
            let resumption = self.resumption(&job.job, item.item, job.route, now);
            let service = job.route.pick_service(rand::random());
            let Some((slot, start)) = slots.reserve_for_item(self, service, resumption, now) else {
                without_slot += 1;
                continue;
            };
            // If the job has left memory since its items were collected, dropping the slot
            // returns it.
            if let Some(run) = self.prepare_run(job, item.item, slot, start) {
                self.start_run(item.item, run);
            }
        }
        self.node.set_waiting_items(without_slot);
    }

    /// Returns the items that could run now, and the jobs to which their `job` indexes refer.
    fn waiting_items<'a>(
        &self,
        config: &'a Config,
        now: Instant,
    ) -> (Vec<WaitingJob<'a>>, Vec<WaitingItem>) {
        let (mut jobs, mut items) = (Vec::new(), Vec::new());
        self.jobs.for_each_owned(|entry| {
            let progress = &entry.progress;
            let spec = &progress.spec;
            let Some(route) = entry.route.find(config, spec, now) else {
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
                route,
            });
        });
        (jobs, items)
    }

    /// Returns where an item can resume, or `None` if its next run starts from the beginning: it has no
    /// events, or what wrote them is unknown, not on the route any more or without a server.
    fn resumption(
        &self,
        job: &JobId,
        item: usize,
        route: &Route,
        now: Instant,
    ) -> Option<Resumption> {
        let (origin, waited) = self.jobs.with_entry(job, |entry| {
            let progress = &entry.progress.items[item];
            let origin = progress.partial_output.resumable_origin().cloned();
            (origin, progress.waited(now))
        })?;
        let origin = origin.filter(|origin| route.has_service(&origin.service))?;
        let has_server = self.node.has_server_of(&origin);
        has_server.then_some(Resumption { origin, waited })
    }

    /// Marks an item as running and returns its run, or `None` if its job is no longer in
    /// memory.
    fn prepare_run(
        &self,
        job: &WaitingJob<'_>,
        item: usize,
        slot: InFlight,
        start: RunStart,
    ) -> Option<ItemRun> {
        self.jobs.with_entry(&job.job, |entry| {
            let output = &entry.progress.items[item].partial_output;
            if start == RunStart::FromBeginning && output.has_events() {
                let id = &entry.progress.spec.items[item].id;
                let version = output.origin.as_ref().map(|origin| &origin.version);
                log::info!(request_id = id, job = job.job, version, discarded = output.event_count(); "item starts over: no server of the version of its output");
                entry.progress.discard_output(item);
            }
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

    /// Returns the servers of `service`, or those of `version`, as candidates for batch items, and marks those whose
    /// batch slots this worker manages.
    fn batch_candidates(
        &self,
        service: &str,
        version: Option<&str>,
        now: Instant,
    ) -> Vec<Candidate> {
        let workers = self.all_workers(now);
        let own = &self.node.settings.host;
        let mut candidates = self.node.batch_candidates(service, version, now);
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

/// Where an item with events can resume.
struct Resumption {
    origin: StreamOrigin,
    /// How long the item has been waiting for a slot.
    waited: Duration,
}

/// Where the output of a run starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunStart {
    /// After the last event of the item.
    AfterLastEvent,
    /// With the first event. Events of an earlier run are discarded.
    FromBeginning,
}

/// The candidates for batch items of one service.
struct ServiceCandidates {
    service: ServiceName,
    /// The version of all candidates; `None` if they may have any.
    version: Option<SoftwareVersion>,
    candidates: Vec<Candidate>,
}

/// The batch slots at the servers of each service within one scheduling round. The servers'
/// load is read once per service and version, and slots taken in the round are counted.
#[derive(Default)]
struct BatchSlots(Vec<ServiceCandidates>);

impl BatchSlots {
    /// Reserves a slot for an item: where it can resume, or at any server of `service` if it cannot
    /// or has waited for too long.
    fn reserve_for_item(
        &mut self,
        worker: &Worker,
        service: &ServiceName,
        resumption: Option<Resumption>,
        now: Instant,
    ) -> Option<(InFlight, RunStart)> {
        if let Some(Resumption { origin, waited }) = resumption {
            let version = Some(origin.version.as_str());
            let slot = self.reserve_slot(worker, &origin.service, version, now);
            if let Some(slot) = slot {
                return Some((slot, RunStart::AfterLastEvent));
            }
            if waited < item::MAX_VERSION_WAIT {
                return None;
            }
        }
        let slot = self.reserve_slot(worker, service, None, now)?;
        Some((slot, RunStart::FromBeginning))
    }

    /// Reserves a slot at a server of `service`, or returns `None` if none is free. If `version` is
    /// given, only at a server of that version.
    fn reserve_slot(
        &mut self,
        worker: &Worker,
        service: &ServiceName,
        version: Option<&str>,
        now: Instant,
    ) -> Option<InFlight> {
        let is_known = |known: &ServiceCandidates| {
            known.service == *service && known.version.as_deref() == version
        };
        let at = self.0.iter().position(is_known).unwrap_or_else(|| {
            self.0.push(ServiceCandidates {
                service: service.clone(),
                version: version.map(str::to_owned),
                candidates: worker.batch_candidates(service, version, now),
            });
            self.0.len() - 1
        });
        let candidates = &mut self.0[at].candidates;
        let node = &worker.node;
        let zone = &node.settings.availability_zone;
        let draw = rand::random::<u32>() as usize;
        let Some(server) = placement::pick_batch(candidates, zone, draw).map(Candidate::instance)
        else {
            // No other item of this round searches these servers again.
            candidates.clear();
            return None;
        };
        let all = self.0.iter_mut().flat_map(|known| &mut known.candidates);
        for candidate in all.filter(|candidate| candidate.instance() == server) {
            candidate.in_flight += 1;
            candidate.batch_in_flight += 1;
            candidate.own_batch_in_flight += 1;
        }
        Some(node.loads.begin_request(&server, WorkClass::Batch))
    }
}
