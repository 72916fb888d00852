//! One engine: runs a fixed number of requests together, a token each a step, and queues the
//! rest in order of arrival.

use std::collections::VecDeque;
use std::time::Duration;

use crate::scenario::EngineShape;

/// Identifies a request in the model.
pub type TaskId = usize;

/// Work for an engine.
#[derive(Debug, Clone, Copy)]
pub struct Task {
    /// Which request.
    pub id: TaskId,
    /// Tokens to read before the first token.
    pub prompt_tokens: u32,
    /// Tokens still to make.
    pub output_tokens: u32,
}

/// What a step brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The request has its first token.
    First(TaskId),
    /// The request is finished.
    Finished(TaskId),
}

#[derive(Debug, Clone, Copy)]
struct Running {
    task: Task,
    made: u32,
    /// No token before this.
    starts_at: Duration,
}

/// An engine.
#[derive(Debug, Clone)]
pub struct Engine {
    shape: EngineShape,
    /// At most `shape.slots`.
    running: Vec<Running>,
    queue: VecDeque<Task>,
    /// When the step under way ends.
    step_ends_at: Duration,
}

impl Engine {
    /// An idle engine.
    pub fn new(shape: EngineShape) -> Self {
        Self {
            shape,
            running: Vec::new(),
            queue: VecDeque::new(),
            step_ends_at: Duration::ZERO,
        }
    }

    /// Takes a request.
    pub fn send(&mut self, task: Task) {
        self.queue.push_back(task);
    }

    /// Drops a request whose sender left; answers the tokens it made.
    pub fn cancel(&mut self, id: TaskId) -> u32 {
        self.queue.retain(|task| task.id != id);
        let found = self.running.iter().position(|one| one.task.id == id);
        found.map_or(0, |at| self.running.remove(at).made)
    }

    /// Lets time pass until `now`; answers what it brought, in order.
    pub fn advance(&mut self, now: Duration) -> Vec<Progress> {
        let mut brought = Vec::new();
        while self.step_ends_at <= now {
            let prompt_tokens = self.admit();
            if self.running.is_empty() {
                self.step_ends_at = now + Duration::from_millis(1);
                break;
            }
            self.make_tokens(&mut brought);
            let step_ms = self.shape.step_ms
                + self.shape.step_ms_per_slot * self.running.len() as f64
                + f64::from(prompt_tokens) / self.shape.prefill_tokens_per_ms;
            self.step_ends_at += Duration::from_secs_f64(step_ms / 1_000.0);
        }
        brought
    }

    /// Fills free slots from the queue; answers the prompt tokens to read for them.
    fn admit(&mut self) -> u32 {
        let mut prompt_tokens = 0;
        while self.running.len() < self.shape.slots as usize {
            let Some(task) = self.queue.pop_front() else {
                break;
            };
            prompt_tokens += task.prompt_tokens;
            let first = Duration::from_secs_f64(self.shape.first_token_ms / 1_000.0);
            self.running.push(Running {
                task,
                made: 0,
                starts_at: self.step_ends_at + first,
            });
        }
        prompt_tokens
    }

    fn make_tokens(&mut self, brought: &mut Vec<Progress>) {
        let now = self.step_ends_at;
        for one in self.running.iter_mut().filter(|one| one.starts_at <= now) {
            one.made += 1;
            if one.made == 1 {
                brought.push(Progress::First(one.task.id));
            }
            if one.made >= one.task.output_tokens {
                brought.push(Progress::Finished(one.task.id));
            }
        }
        self.running.retain(|one| one.made < one.task.output_tokens);
    }
}
