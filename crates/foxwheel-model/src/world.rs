//! Plays one variant of a scenario: time passes in steps of a millisecond.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use foxwheel_policy::admission::{RetrySchedule, SlotSupply};
use foxwheel_policy::batch::schedule::{self, RunEstimate, WaitingItem};
use foxwheel_policy::moving_average::MovingAverage;
use foxwheel_policy::placement::{self, Candidate};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::arrivals::{Arrivals, OnlineArrival};
use crate::engine::{Engine, Progress, Task, TaskId};
use crate::loads::Loads;
use crate::outcome::Outcome;
use crate::scenario::{BatchOrder, ReturnPlan, Scenario, Variant};

/// The model's clock.
const TICK: Duration = Duration::from_millis(1);

/// How often a worker looks for places: about as often as heartbeats wake it.
const WORKER_EVERY: Duration = Duration::from_millis(5);

/// How long items may run on after the last request came.
const RUN_ON: Duration = Duration::from_secs(18);

/// A request on its way or waiting.
#[derive(Debug, Clone, Copy)]
enum Owner {
    Online {
        front: usize,
        /// Of the caller's last attempt.
        asked_at: Duration,
        has_returned: bool,
        output_tokens: u32,
    },
    Item {
        worker: usize,
        item: usize,
    },
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    owner: Owner,
    engine: usize,
    sent_at: Duration,
}

#[derive(Debug, Default)]
struct Front {
    returns: RetrySchedule,
    hold_time: MovingAverage,
    /// Requests that wait for a slot and until when, in the order in which they came.
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
    made: u32,
    submitted_at: Duration,
}

#[derive(Debug, Default)]
struct Worker {
    items: Vec<Item>,
    /// Items under way, in the order of their starts.
    runs: Vec<TaskId>,
    estimate: RunEstimate,
}

/// A scenario being played.
struct World<'a> {
    scenario: &'a Scenario,
    variant: &'a Variant,
    /// Stands for the start where the policy asks for an instant.
    epoch: Instant,
    now: Duration,
    draws: StdRng,
    zones: Vec<String>,
    engines: Vec<Engine>,
    loads: Loads,
    /// By task id; an engine is known once the task is sent.
    tasks: Vec<Sent>,
    fronts: Vec<Front>,
    workers: Vec<Worker>,
    /// Callers that were refused and when they return.
    returning: Vec<(Duration, TaskId)>,
    outcome: &'a mut Outcome,
}

/// Plays `variant` on the arrivals of `seed` and adds what became of them to `outcome`.
pub fn play(scenario: &Scenario, variant: &Variant, seed: u64, outcome: &mut Outcome) {
    let arrivals = Arrivals::draw(scenario, seed);
    let mut world = World::new(scenario, variant, seed, outcome);
    let mut online = arrivals.online.into_iter().peekable();
    let mut jobs = arrivals.jobs.into_iter().peekable();
    let end = Duration::from_secs(scenario.length_s) + RUN_ON;
    while world.now < end {
        while let Some(request) = online.next_if(|request| request.at <= world.now) {
            world.take_request(request);
        }
        while let Some(job) = jobs.next_if(|job| job.at <= world.now) {
            if variant.batch {
                world.take_job(&job.item_tokens);
            }
        }
        world.pass_tick();
    }
    world.outcome.items_late += world.unfinished_items();
}

impl<'a> World<'a> {
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
            draws: StdRng::seed_from_u64(seed.rotate_left(32)),
            zones: zones.collect(),
            engines: vec![Engine::new(scenario.engine); fleet.engines],
            loads: Loads::new(fleet.fronts + fleet.workers, fleet),
            tasks: Vec::new(),
            fronts: (0..fleet.fronts).map(|_| Front::default()).collect(),
            workers: (0..fleet.workers).map(|_| Worker::default()).collect(),
            returning: Vec::new(),
            outcome,
        }
    }

    fn pass_tick(&mut self) {
        self.now += TICK;
        for engine in 0..self.engines.len() {
            for progress in self.engines[engine].advance(self.now) {
                self.take_progress(progress);
            }
        }
        self.loads.tell(self.now);
        self.bring_callers_back();
        for front in 0..self.fronts.len() {
            self.serve_waiting(front);
        }
        if self.now.as_millis() % WORKER_EVERY.as_millis() == 0 {
            for worker in 0..self.workers.len() {
                self.stop_runs(worker);
                self.start_items(worker);
            }
        }
    }

    /// The process number of a worker; fronts come first.
    fn worker_process(&self, worker: usize) -> usize {
        self.scenario.fleet.fronts + worker
    }

    fn zone_of(&self, number: usize) -> &str {
        &self.zones[number % self.zones.len()]
    }

    /// The engines as `process` of `zone` sees them. Its number within its kind is `number`.
    fn candidates(&self, process: usize, number: usize) -> Vec<Candidate> {
        let fronts = self.scenario.fleet.fronts;
        let zone = number % self.zones.len();
        let is_local = |other: usize| {
            let number = other.checked_sub(fronts).unwrap_or(other);
            number % self.zones.len() == zone
        };
        let others = self.loads.others(process, is_local, self.now);
        let engines = others.into_iter().enumerate();
        let candidates = engines.map(|(engine, others)| {
            let own = self.loads.own(process, engine);
            let batch_in_flight = own.batch + others.batch;
            Candidate {
                id: engine.to_string(),
                zone: self.zone_of(engine).to_owned(),
                slots: self.scenario.engine.slots,
                in_flight: own.online + others.online + batch_in_flight,
                batch_in_flight,
                own_batch_in_flight: own.batch,
                is_slot_manager: self.keeper(engine) == Some(process),
                ..Candidate::default()
            }
        });
        candidates.collect()
    }

    /// The process that gives out an engine's batch slots: a worker of its zone, if any.
    fn keeper(&self, engine: usize) -> Option<usize> {
        let zones = self.zones.len();
        let workers = self.workers.len();
        let local = (0..workers).filter(|worker| worker % zones == engine % zones);
        let local: Vec<usize> = local.collect();
        let keeper = match local.len() {
            0 => engine % workers.max(1),
            count => local[engine / zones % count],
        };
        (workers > 0).then(|| self.worker_process(keeper))
    }

    fn draw(&mut self) -> usize {
        self.draws.random_range(0..usize::MAX)
    }

    fn send(&mut self, process: usize, engine: usize, id: TaskId, task: Task) {
        self.tasks[id].engine = engine;
        self.tasks[id].sent_at = self.now;
        let load = self.loads.own_mut(process, engine);
        match self.tasks[id].owner {
            Owner::Online { .. } => load.online += 1,
            Owner::Item { .. } => load.batch += 1,
        }
        self.engines[engine].send(task);
    }

    fn new_task(&mut self, owner: Owner) -> TaskId {
        self.tasks.push(Sent {
            owner,
            engine: usize::MAX,
            sent_at: self.now,
        });
        self.tasks.len() - 1
    }

    fn take_progress(&mut self, progress: Progress) {
        match progress {
            Progress::First(id) => {
                if let Owner::Online { asked_at, .. } = self.tasks[id].owner {
                    let target = Duration::from_millis(self.scenario.online.target_ms);
                    self.outcome.note_first_token(self.now - asked_at, target);
                }
            }
            Progress::Finished(id) => self.finish(id),
        }
    }

    fn finish(&mut self, id: TaskId) {
        let Sent {
            owner,
            engine,
            sent_at,
        } = self.tasks[id];
        let took = self.now - sent_at;
        match owner {
            Owner::Online { front, .. } => {
                self.loads.own_mut(front, engine).online -= 1;
                self.fronts[front].hold_time.push_duration(took);
            }
            Owner::Item { worker, item } => {
                let process = self.worker_process(worker);
                self.loads.own_mut(process, engine).batch -= 1;
                let due = Duration::from_secs(self.scenario.batch.due_s);
                let worker = &mut self.workers[worker];
                worker.runs.retain(|run| *run != id);
                let item = &mut worker.items[item];
                let made = u64::from(item.output_tokens - item.made);
                item.state = ItemState::Done;
                worker.estimate.record_run(made, took);
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

    fn take_request(&mut self, request: OnlineArrival) {
        self.outcome.requests += 1;
        let id = self.new_task(Owner::Online {
            front: request.caller % self.fronts.len(),
            asked_at: request.at,
            has_returned: false,
            output_tokens: request.output_tokens,
        });
        self.wait_for_slot(id);
    }

    fn wait_for_slot(&mut self, id: TaskId) {
        let Owner::Online { front, .. } = self.tasks[id].owner else {
            return;
        };
        let until = self.now + Duration::from_millis(self.variant.slot_wait_ms);
        self.fronts[front].waiting.push_back((id, until));
    }

    /// Sends what waits at a front while engines have room; refuses what waited too long.
    fn serve_waiting(&mut self, front: usize) {
        while let Some((id, until)) = self.fronts[front].waiting.front().copied() {
            let candidates = self.candidates(front, front);
            let draw = self.draw();
            let zone = self.zone_of(front);
            let limits = &self.variant.limits;
            let picked = limits.pick_online(&candidates, zone, draw);
            match picked.and_then(|pick| pick.id.parse().ok()) {
                Some(engine) => self.send_request(front, engine, id),
                None if self.now >= until => self.refuse(front, id),
                None => return,
            }
            self.fronts[front].waiting.pop_front();
        }
    }

    fn send_request(&mut self, front: usize, engine: usize, id: TaskId) {
        let Owner::Online {
            has_returned,
            output_tokens,
            ..
        } = self.tasks[id].owner
        else {
            return;
        };
        self.outcome.returned += u64::from(has_returned);
        let task = Task {
            id,
            prompt_tokens: self.scenario.online.prompt_tokens,
            output_tokens,
        };
        self.send(front, engine, id, task);
    }

    fn refuse(&mut self, front: usize, id: TaskId) {
        let Owner::Online { has_returned, .. } = &mut self.tasks[id].owner else {
            return;
        };
        if *has_returned {
            self.outcome.lost += 1;
            return;
        }
        *has_returned = true;
        let after = match self.variant.returns {
            ReturnPlan::After(after_ms) => Duration::from_millis(after_ms),
            ReturnPlan::AsSlotsAreFreed => self.time_to_return(front),
        };
        self.returning.push((self.now + after, id));
    }

    fn time_to_return(&mut self, front: usize) -> Duration {
        /// As the fronts assume before a request ended.
        const ASSUMED_HOLD: Duration = Duration::from_millis(500);
        let draw = self.draws.random_range(0.0..1.0);
        let now = self.epoch + self.now;
        let fronts = self.fronts.len();
        let hold_time = self.fronts[front].hold_time.duration();
        let supply = SlotSupply {
            slots: self.scenario.engine.slots * self.engines.len() as u32,
            hold_time: hold_time.unwrap_or(ASSUMED_HOLD),
            fronts,
        };
        self.fronts[front]
            .returns
            .next_retry_after(supply, draw, now)
    }

    /// Callers return to any front.
    fn bring_callers_back(&mut self) {
        let now = self.now;
        let back: Vec<TaskId> = {
            let due = self.returning.iter().filter(|(at, _)| *at <= now);
            due.map(|(_, id)| *id).collect()
        };
        self.returning.retain(|(at, _)| *at > now);
        for id in back {
            let other = self.draw() % self.fronts.len();
            if let Owner::Online {
                front, asked_at, ..
            } = &mut self.tasks[id].owner
            {
                *front = other;
                *asked_at = now;
            }
            self.wait_for_slot(id);
        }
    }

    fn take_job(&mut self, item_tokens: &[u32]) {
        let worker = self.draw() % self.workers.len();
        let submitted_at = self.now;
        self.outcome.items += item_tokens.len() as u64;
        let items = item_tokens.iter().map(|output_tokens| Item {
            state: ItemState::Waiting {
                not_before: submitted_at,
            },
            output_tokens: *output_tokens,
            made: 0,
            submitted_at,
        });
        self.workers[worker].items.extend(items);
    }

    fn start_items(&mut self, worker: usize) {
        let process = self.worker_process(worker);
        let mut candidates = self.candidates(process, worker);
        for item in self.waiting_items(worker) {
            let draw = self.draw();
            let zone = self.zone_of(worker);
            let picked = self.variant.limits.pick_batch(&candidates, zone, draw);
            let Some(engine) = picked.and_then(|pick| pick.id.parse::<usize>().ok()) else {
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
            .map(|(at, item)| WaitingItem {
                job: at,
                item: 0,
                due_unix: item.submitted_at + due,
                remaining_run_time: worker.estimate.remaining_run_time(item.made.into()),
            })
            .collect();
        match self.variant.batch_order {
            BatchOrder::Schedule => schedule::sort_waiting_items(&mut waiting, self.now),
            BatchOrder::Submission => waiting.sort_by_key(|item| (item.due_unix, item.job)),
        }
        waiting.into_iter().map(|item| item.job).collect()
    }

    fn start_item(&mut self, worker: usize, at: usize, engine: usize) {
        let id = self.new_task(Owner::Item { worker, item: at });
        let item = &mut self.workers[worker].items[at];
        item.state = ItemState::Running;
        let task = Task {
            id,
            // A resumed run reads what it had made as well.
            prompt_tokens: self.scenario.batch.prompt_tokens + item.made,
            output_tokens: item.output_tokens - item.made,
        };
        self.workers[worker].runs.push(id);
        let process = self.worker_process(worker);
        self.send(process, engine, id, task);
    }

    /// Stops runs at engines whose slots online requests need, the newest first.
    fn stop_runs(&mut self, worker: usize) {
        let process = self.worker_process(worker);
        let candidates = self.candidates(process, worker);
        for (engine, candidate) in candidates.iter().enumerate() {
            let excess = placement::batch_items_to_preempt(candidate) as usize;
            let runs = self.workers[worker].runs.iter().rev();
            let newest: Vec<TaskId> = runs
                .filter(|id| self.tasks[**id].engine == engine)
                .take(excess)
                .copied()
                .collect();
            for id in newest {
                if self.now - self.tasks[id].sent_at >= placement::MIN_RUN_TIME {
                    self.stop_run(worker, id);
                }
            }
        }
    }

    fn stop_run(&mut self, worker: usize, id: TaskId) {
        let Sent {
            owner,
            engine,
            sent_at,
        } = self.tasks[id];
        let Owner::Item { item, .. } = owner else {
            return;
        };
        let made = self.engines[engine].cancel(id);
        let process = self.worker_process(worker);
        self.loads.own_mut(process, engine).batch -= 1;
        self.outcome.runs_stopped += 1;
        let worker = &mut self.workers[worker];
        worker.runs.retain(|run| *run != id);
        worker.estimate.record_run(made.into(), self.now - sent_at);
        worker.items[item].made += made;
        worker.items[item].state = ItemState::Waiting {
            not_before: self.now + placement::PREEMPTED_RETRY_DELAY,
        };
    }

    fn unfinished_items(&self) -> u64 {
        let items = self.workers.iter().flat_map(|worker| &worker.items);
        items.filter(|item| item.state != ItemState::Done).count() as u64
    }
}
