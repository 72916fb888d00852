//! Simulates one variant of a scenario, in ticks of a millisecond.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use foxwheel_policy::admission::{RetrySchedule, SlotSupply};
use foxwheel_policy::batch::schedule::{self, RunEstimate, WaitingItem};
use foxwheel_policy::moving_average::MovingAverage;
use foxwheel_policy::placement::{self, Candidate};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::arrivals::{Arrivals, OnlineArrival};
use crate::engine::{Engine, EngineEvent, Task, TaskId};
use crate::loads::Loads;
use crate::outcome::Outcome;
use crate::scenario::{BatchOrder, RetryPlan, Scenario, Variant};

/// The simulated time between two iterations.
const TICK: Duration = Duration::from_millis(1);

/// The interval at which a worker starts and preempts batch items. Real workers do so about as
/// often, whenever they receive a heartbeat.
const WORKER_INTERVAL: Duration = Duration::from_millis(5);

/// How long the simulation continues after the last arrival, so that batch items can finish.
const DRAIN_TIME: Duration = Duration::from_secs(18);

/// What a task belongs to: an online request or a batch item.
#[derive(Debug, Clone, Copy)]
enum TaskSource {
    Online {
        front: usize,
        /// The time of the caller's last attempt.
        attempted_at: Duration,
        is_retry: bool,
        output_tokens: u32,
    },
    Item {
        worker: usize,
        item: usize,
    },
}

#[derive(Debug, Clone, Copy)]
struct TaskRecord {
    source: TaskSource,
    engine: usize,
    sent_at: Duration,
}

#[derive(Debug, Default)]
struct Front {
    retry_schedule: RetrySchedule,
    hold_time: MovingAverage,
    /// Requests that wait for a slot, with the time at which they are refused, in the order of
    /// their arrival.
    waiting: VecDeque<(TaskId, Duration)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ItemState {
    Waiting { not_before: Duration },
    Running,
    Done,
}

#[derive(Debug, Clone, Copy)]
struct Item {
    state: ItemState,
    output_tokens: u32,
    generated_tokens: u32,
    submitted_at: Duration,
}

#[derive(Debug, Default)]
struct Worker {
    items: Vec<Item>,
    /// Tasks of the running items, in the order in which they started.
    runs: Vec<TaskId>,
    estimate: RunEstimate,
}

/// A running simulation of one variant.
struct Simulation<'a> {
    scenario: &'a Scenario,
    variant: &'a Variant,
    /// The start of the simulation, for policy functions that take an `Instant`.
    epoch: Instant,
    now: Duration,
    rng: StdRng,
    zones: Vec<String>,
    engines: Vec<Engine>,
    loads: Loads,
    /// All tasks, indexed by task id. The engine is `usize::MAX` until the task is sent.
    tasks: Vec<TaskRecord>,
    fronts: Vec<Front>,
    workers: Vec<Worker>,
    /// The refused online requests with the times at which their callers retry.
    pending_retries: Vec<(Duration, TaskId)>,
    outcome: &'a mut Outcome,
}

/// Simulates `variant` on the arrivals of `seed` and adds the results to `outcome`.
///
/// Batch items that are unfinished at the end count as late.
pub fn simulate_variant(scenario: &Scenario, variant: &Variant, seed: u64, outcome: &mut Outcome) {
    let arrivals = Arrivals::generate(scenario, seed);
    let mut simulation = Simulation::new(scenario, variant, seed, outcome);
    let mut online = arrivals.online.into_iter().peekable();
    let mut jobs = arrivals.jobs.into_iter().peekable();
    let end = Duration::from_secs(scenario.length_s) + DRAIN_TIME;
    while simulation.now < end {
        while let Some(request) = online.next_if(|request| request.at <= simulation.now) {
            simulation.receive_request(request);
        }
        while let Some(job) = jobs.next_if(|job| job.at <= simulation.now) {
            if variant.batch {
                simulation.receive_job(&job.item_tokens);
            }
        }
        simulation.advance_tick();
    }
    simulation.outcome.items_late += simulation.unfinished_items();
}

impl<'a> Simulation<'a> {
    fn new(
        scenario: &'a Scenario,
        variant: &'a Variant,
        seed: u64,
        outcome: &'a mut Outcome,
    ) -> Self {
        let fleet = &scenario.fleet;
        let zones = (0..fleet.zones).map(|zone| format!("zone-{zone}"));
        Self {
            scenario,
            variant,
            epoch: Instant::now(),
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed.rotate_left(32)),
            zones: zones.collect(),
            engines: vec![Engine::new(scenario.engine); fleet.engines],
            loads: Loads::new(fleet.fronts + fleet.workers, fleet),
            tasks: Vec::new(),
            fronts: (0..fleet.fronts).map(|_| Front::default()).collect(),
            workers: (0..fleet.workers).map(|_| Worker::default()).collect(),
            pending_retries: Vec::new(),
            outcome,
        }
    }

    fn advance_tick(&mut self) {
        self.now += TICK;
        for engine in 0..self.engines.len() {
            for event in self.engines[engine].advance(self.now) {
                self.record_engine_event(event);
            }
        }
        self.loads.record_report(self.now);
        self.queue_due_retries();
        for front in 0..self.fronts.len() {
            self.serve_waiting_requests(front);
        }
        if self.now.as_millis() % WORKER_INTERVAL.as_millis() == 0 {
            for worker in 0..self.workers.len() {
                self.preempt_items(worker);
                self.start_items(worker);
            }
        }
    }

    /// Returns the process number of a worker. Fronts have the first numbers, workers follow.
    fn worker_process(&self, worker: usize) -> usize {
        self.scenario.fleet.fronts + worker
    }

    /// Returns the zone of the front, worker or engine with this index in its list.
    fn zone_at(&self, index: usize) -> &str {
        &self.zones[index % self.zones.len()]
    }

    /// Returns the engines as placement candidates, with the loads that `process` knows of.
    /// `index` is the index of the process among the fronts or among the workers.
    fn candidates(&self, process: usize, index: usize) -> Vec<Candidate> {
        let fronts = self.scenario.fleet.fronts;
        let zone = index % self.zones.len();
        let is_local = |other: usize| {
            let index = other.checked_sub(fronts).unwrap_or(other);
            index % self.zones.len() == zone
        };
        let others = self.loads.load_of_others(process, is_local, self.now);
        let engines = others.into_iter().enumerate();
        let candidates = engines.map(|(engine, others)| {
            let own = self.loads.own_load(process, engine);
            let batch_in_flight = own.batch + others.batch;
            Candidate {
                id: engine.to_string(),
                zone: self.zone_at(engine).to_owned(),
                slots: self.scenario.engine.slots,
                in_flight: own.online + others.online + batch_in_flight,
                batch_in_flight,
                own_batch_in_flight: own.batch,
                is_slot_manager: self.slot_manager(engine) == Some(process),
                ..Candidate::default()
            }
        });
        candidates.collect()
    }

    /// Returns the process that manages the batch slots of an engine: a worker of the engine's
    /// zone, or of any zone if its own has none. None without workers.
    fn slot_manager(&self, engine: usize) -> Option<usize> {
        let zones = self.zones.len();
        let workers = self.workers.len();
        let local = (0..workers).filter(|worker| worker % zones == engine % zones);
        let local: Vec<usize> = local.collect();
        let manager = match local.len() {
            0 => engine % workers.max(1),
            count => local[engine / zones % count],
        };
        (workers > 0).then(|| self.worker_process(manager))
    }

    fn random_number(&mut self) -> usize {
        self.rng.random_range(0..usize::MAX)
    }

    fn send_task(&mut self, process: usize, engine: usize, id: TaskId, task: Task) {
        self.tasks[id].engine = engine;
        self.tasks[id].sent_at = self.now;
        let load = self.loads.own_load_mut(process, engine);
        match self.tasks[id].source {
            TaskSource::Online { .. } => load.online += 1,
            TaskSource::Item { .. } => load.batch += 1,
        }
        self.engines[engine].enqueue(task);
    }

    fn new_task(&mut self, source: TaskSource) -> TaskId {
        self.tasks.push(TaskRecord {
            source,
            engine: usize::MAX,
            sent_at: self.now,
        });
        self.tasks.len() - 1
    }

    fn record_engine_event(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::FirstToken(id) => {
                if let TaskSource::Online { attempted_at, .. } = self.tasks[id].source {
                    let target = Duration::from_millis(self.scenario.online.target_ms);
                    self.outcome
                        .record_first_token(self.now - attempted_at, target);
                }
            }
            EngineEvent::Finished(id) => self.finish_task(id),
        }
    }

    fn finish_task(&mut self, id: TaskId) {
        let TaskRecord {
            source,
            engine,
            sent_at,
        } = self.tasks[id];
        let elapsed = self.now - sent_at;
        match source {
            TaskSource::Online { front, .. } => {
                self.loads.own_load_mut(front, engine).online -= 1;
                self.fronts[front].hold_time.push_duration(elapsed);
            }
            TaskSource::Item { worker, item } => {
                let process = self.worker_process(worker);
                self.loads.own_load_mut(process, engine).batch -= 1;
                let due = Duration::from_secs(self.scenario.batch.due_s);
                let worker = &mut self.workers[worker];
                worker.runs.retain(|run| *run != id);
                let item = &mut worker.items[item];
                let generated_tokens = u64::from(item.output_tokens - item.generated_tokens);
                item.state = ItemState::Done;
                worker.estimate.record_run(generated_tokens, elapsed);
                worker
                    .estimate
                    .record_full_output(item.output_tokens.into());
                match self.now <= item.submitted_at + due {
                    true => self.outcome.items_on_time += 1,
                    false => self.outcome.items_late += 1,
                }
            }
        }
    }

    fn receive_request(&mut self, request: OnlineArrival) {
        self.outcome.requests += 1;
        let id = self.new_task(TaskSource::Online {
            front: request.caller_number % self.fronts.len(),
            attempted_at: request.at,
            is_retry: false,
            output_tokens: request.output_tokens,
        });
        self.queue_at_front(id);
    }

    fn queue_at_front(&mut self, id: TaskId) {
        let TaskSource::Online { front, .. } = self.tasks[id].source else {
            return;
        };
        let refuse_at = self.now + Duration::from_millis(self.variant.slot_wait_ms);
        self.fronts[front].waiting.push_back((id, refuse_at));
    }

    /// Sends the requests that wait at a front while engines have free slots, and refuses the
    /// requests that waited too long.
    fn serve_waiting_requests(&mut self, front: usize) {
        while let Some((id, refuse_at)) = self.fronts[front].waiting.front().copied() {
            let candidates = self.candidates(front, front);
            let random_number = self.random_number();
            let zone = self.zone_at(front);
            let limits = &self.variant.limits;
            let picked_engine = limits.pick_online(&candidates, zone, random_number);
            match picked_engine.and_then(|pick| pick.id.parse().ok()) {
                Some(engine) => self.send_request(front, engine, id),
                None if self.now >= refuse_at => self.refuse_request(front, id),
                None => return,
            }
            self.fronts[front].waiting.pop_front();
        }
    }

    fn send_request(&mut self, front: usize, engine: usize, id: TaskId) {
        let TaskSource::Online {
            is_retry,
            output_tokens,
            ..
        } = self.tasks[id].source
        else {
            return;
        };
        self.outcome.served_on_retry += u64::from(is_retry);
        let task = Task {
            id,
            prompt_tokens: self.scenario.online.prompt_tokens,
            output_tokens,
        };
        self.send_task(front, engine, id, task);
    }

    fn refuse_request(&mut self, front: usize, id: TaskId) {
        let TaskSource::Online { is_retry, .. } = &mut self.tasks[id].source else {
            return;
        };
        if *is_retry {
            self.outcome.refused_twice += 1;
            return;
        }
        *is_retry = true;
        let delay = match self.variant.returns {
            RetryPlan::After(delay_ms) => Duration::from_millis(delay_ms),
            RetryPlan::AsSlotsAreFreed => self.retry_delay(front),
        };
        self.pending_retries.push((self.now + delay, id));
    }

    fn retry_delay(&mut self, front: usize) -> Duration {
        /// The hold time that the real fronts assume until a request has ended.
        const ASSUMED_HOLD_TIME: Duration = Duration::from_millis(500);
        let random_number = self.rng.random_range(0.0..1.0);
        let now = self.epoch + self.now;
        let fronts = self.fronts.len();
        let hold_time = self.fronts[front].hold_time.duration();
        let supply = SlotSupply {
            slots: self.scenario.engine.slots * self.engines.len() as u32,
            hold_time: hold_time.unwrap_or(ASSUMED_HOLD_TIME),
            fronts,
        };
        self.fronts[front]
            .retry_schedule
            .next_retry_after(supply, random_number, now)
    }

    /// Queues the requests whose callers retry now, each at a randomly chosen front.
    fn queue_due_retries(&mut self) {
        let now = self.now;
        let due_ids: Vec<TaskId> = {
            let due = self.pending_retries.iter().filter(|(at, _)| *at <= now);
            due.map(|(_, id)| *id).collect()
        };
        self.pending_retries.retain(|(at, _)| *at > now);
        for id in due_ids {
            let new_front = self.random_number() % self.fronts.len();
            if let TaskSource::Online {
                front,
                attempted_at,
                ..
            } = &mut self.tasks[id].source
            {
                *front = new_front;
                *attempted_at = now;
            }
            self.queue_at_front(id);
        }
    }

    fn receive_job(&mut self, item_tokens: &[u32]) {
        let worker = self.random_number() % self.workers.len();
        let submitted_at = self.now;
        self.outcome.items += item_tokens.len() as u64;
        let items = item_tokens.iter().map(|output_tokens| Item {
            state: ItemState::Waiting {
                not_before: submitted_at,
            },
            output_tokens: *output_tokens,
            generated_tokens: 0,
            submitted_at,
        });
        self.workers[worker].items.extend(items);
    }

    fn start_items(&mut self, worker: usize) {
        let process = self.worker_process(worker);
        let mut candidates = self.candidates(process, worker);
        for item in self.waiting_items(worker) {
            let random_number = self.random_number();
            let zone = self.zone_at(worker);
            let picked_engine = self
                .variant
                .limits
                .pick_batch(&candidates, zone, random_number);
            let Some(engine) = picked_engine.and_then(|pick| pick.id.parse::<usize>().ok()) else {
                return;
            };
            candidates[engine].in_flight += 1;
            self.start_item(worker, item, engine);
        }
    }

    fn waiting_items(&self, worker: usize) -> Vec<usize> {
        let due = Duration::from_secs(self.scenario.batch.due_s);
        let worker = &self.workers[worker];
        let items = worker.items.iter().enumerate();
        let waiting = items.filter(
            |(_, item)| matches!(item.state, ItemState::Waiting { not_before } if not_before <= self.now),
        );
        let mut waiting: Vec<WaitingItem> = waiting
            .map(|(index, item)| WaitingItem {
                job: index,
                item: 0,
                due_unix: item.submitted_at + due,
                remaining_run_time: worker
                    .estimate
                    .remaining_run_time(item.generated_tokens.into()),
            })
            .collect();
        match self.variant.batch_order {
            BatchOrder::Schedule => schedule::sort_waiting_items(&mut waiting, self.now),
            BatchOrder::Submission => waiting.sort_by_key(|item| (item.due_unix, item.job)),
        }
        waiting.into_iter().map(|item| item.job).collect()
    }

    fn start_item(&mut self, worker: usize, item_index: usize, engine: usize) {
        let id = self.new_task(TaskSource::Item {
            worker,
            item: item_index,
        });
        let item = &mut self.workers[worker].items[item_index];
        item.state = ItemState::Running;
        let task = Task {
            id,
            // A resumed run also processes the tokens that earlier runs generated.
            prompt_tokens: self.scenario.batch.prompt_tokens + item.generated_tokens,
            output_tokens: item.output_tokens - item.generated_tokens,
        };
        self.workers[worker].runs.push(id);
        let process = self.worker_process(worker);
        self.send_task(process, engine, id, task);
    }

    /// Preempts items at engines whose slots online requests need, the newest first.
    fn preempt_items(&mut self, worker: usize) {
        let process = self.worker_process(worker);
        let candidates = self.candidates(process, worker);
        for (engine, candidate) in candidates.iter().enumerate() {
            let preempt_count = placement::batch_items_to_preempt(candidate) as usize;
            let runs = self.workers[worker].runs.iter().rev();
            let newest: Vec<TaskId> = runs
                .filter(|id| self.tasks[**id].engine == engine)
                .take(preempt_count)
                .copied()
                .collect();
            for id in newest {
                if self.now - self.tasks[id].sent_at >= placement::MIN_RUN_TIME {
                    self.preempt_item(worker, id);
                }
            }
        }
    }

    fn preempt_item(&mut self, worker: usize, id: TaskId) {
        let TaskRecord {
            source,
            engine,
            sent_at,
        } = self.tasks[id];
        let TaskSource::Item { item, .. } = source else {
            return;
        };
        let generated_tokens = self.engines[engine].cancel(id);
        let process = self.worker_process(worker);
        self.loads.own_load_mut(process, engine).batch -= 1;
        self.outcome.runs_preempted += 1;
        let worker = &mut self.workers[worker];
        worker.runs.retain(|run| *run != id);
        worker
            .estimate
            .record_run(generated_tokens.into(), self.now - sent_at);
        worker.items[item].generated_tokens += generated_tokens;
        worker.items[item].state = ItemState::Waiting {
            not_before: self.now + placement::PREEMPTED_RETRY_DELAY,
        };
    }

    fn unfinished_items(&self) -> u64 {
        let items = self.workers.iter().flat_map(|worker| &worker.items);
        items.filter(|item| item.state != ItemState::Done).count() as u64
    }
}
