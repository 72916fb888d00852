//! Simulates one engine. It runs a fixed number of requests at once, generates one token for
//! each of them per step, and queues further requests in order of arrival.

use std::collections::VecDeque;
use std::time::Duration;

use crate::scenario::EngineSpec;

/// Identifies a request in the simulation.
pub type TaskId = usize;

/// A request as an engine receives it.
#[derive(Debug, Clone, Copy)]
pub struct Task {
    /// The request.
    pub id: TaskId,
    /// The number of prompt tokens to process before the first output token.
    pub prompt_tokens: u32,
    /// The number of tokens to generate.
    pub output_tokens: u32,
}

/// An event that a step of the engine produces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// The first token of the request is generated.
    FirstToken(TaskId),
    /// The last token of the request is generated.
    Finished(TaskId),
}

#[derive(Debug, Clone, Copy)]
struct RunningRequest {
    task: Task,
    generated_tokens: u32,
    /// The request generates no token before this time.
    first_token_not_before: Duration,
}

/// A simulated engine.
#[derive(Debug, Clone)]
pub struct Engine {
    spec: EngineSpec,
    /// The requests in slots, at most `spec.slots`.
    running: Vec<RunningRequest>,
    queue: VecDeque<Task>,
    /// The time at which the current step ends.
    step_ends_at: Duration,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            running: Vec::new(),
            queue: VecDeque::new(),
            step_ends_at: Duration::ZERO,
        }
    }

    /// Appends a request to the queue.
    pub fn enqueue(&mut self, task: Task) {
        self.queue.push_back(task);
    }

    /// Removes a request that its sender cancelled. Returns the number of tokens that it has
    /// generated; 0 if it was queued or is unknown.
    pub fn cancel(&mut self, id: TaskId) -> u32 {
        self.queue.retain(|task| task.id != id);
        let found = self
            .running
            .iter()
            .position(|request| request.task.id == id);
        found.map_or(0, |index| self.running.remove(index).generated_tokens)
    }

    /// Advances the engine to `now` and returns the events of this time, in order.
    pub fn advance(&mut self, now: Duration) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        while self.step_ends_at <= now {
            let prompt_tokens = self.fill_slots();
            if self.running.is_empty() {
                self.step_ends_at = now + Duration::from_millis(1);
                break;
            }
            self.generate_tokens(&mut events);
            let step_ms = self.spec.step_ms
                + self.spec.step_ms_per_slot * self.running.len() as f64
                + f64::from(prompt_tokens) / self.spec.prefill_tokens_per_ms;
            self.step_ends_at += Duration::from_secs_f64(step_ms / 1_000.0);
        }
        events
    }

    /// Fills free slots from the queue. Returns the number of prompt tokens to process for them.
    fn fill_slots(&mut self) -> u32 {
        let mut prompt_tokens = 0;
        while self.running.len() < self.spec.slots as usize {
            let Some(task) = self.queue.pop_front() else {
                break;
            };
            prompt_tokens += task.prompt_tokens;
            let first_token_time = Duration::from_secs_f64(self.spec.first_token_ms / 1_000.0);
            self.running.push(RunningRequest {
                task,
                generated_tokens: 0,
                first_token_not_before: self.step_ends_at + first_token_time,
            });
        }
        prompt_tokens
    }

    fn generate_tokens(&mut self, events: &mut Vec<EngineEvent>) {
        let now = self.step_ends_at;
        for request in self
            .running
            .iter_mut()
            .filter(|request| request.first_token_not_before <= now)
        {
            request.generated_tokens += 1;
            if request.generated_tokens == 1 {
                events.push(EngineEvent::FirstToken(request.task.id));
            }
            if request.generated_tokens >= request.task.output_tokens {
                events.push(EngineEvent::Finished(request.task.id));
            }
        }
        self.running
            .retain(|request| request.generated_tokens < request.task.output_tokens);
    }
}
