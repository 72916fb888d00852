//! Saving how far the items of this worker's jobs got.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Instant;

use foxwheel_policy::batch::checkpoint::{CheckpointClock, JobCheckpoint};

use crate::worker::Worker;
use crate::worker_jobs::WorkerJobs;

/// The checkpoints of one worker.
#[derive(Debug, Default)]
pub(super) struct Checkpoints {
    clock: CheckpointClock,
    /// One is on its way to the store.
    saving: Arc<AtomicBool>,
    /// Tells whether anything changed since the last one.
    last: u64,
}

impl Worker {
    /// Saves the progress of the jobs that this worker runs, if that is due.
    pub(super) fn save_progress(&mut self) {
        let now = Instant::now();
        let checkpoints = &self.checkpoints;
        if !checkpoints.clock.is_due(now) || self.is_saving() {
            return;
        }
        let jobs = self.job_checkpoints();
        let bytes = jobs.iter().map(text_bytes).sum();
        let checkpoints = &mut self.checkpoints;
        checkpoints.clock.note(bytes, now);
        let current = fingerprint(&jobs);
        if jobs.is_empty() || current == checkpoints.last {
            return;
        }
        checkpoints.last = current;
        checkpoints.saving.store(true, Ordering::Relaxed);
        let saving = Arc::clone(&checkpoints.saving);
        let store = Arc::clone(&self.jobs);
        tokio::spawn(async move {
            save(&store, &jobs).await;
            saving.store(false, Ordering::Relaxed);
        });
    }

    /// Whether a checkpoint is on its way to the store. A later one must not overtake it.
    pub(super) fn is_saving(&self) -> bool {
        self.checkpoints.saving.load(Ordering::Relaxed)
    }

    /// Saves the progress whether or not that is due. The answered flag is set when it is
    /// saved, or could not be.
    pub(super) fn save_progress_now(&mut self) -> Arc<AtomicBool> {
        let jobs = self.job_checkpoints();
        let saved = Arc::new(AtomicBool::new(jobs.is_empty()));
        let (done, store) = (Arc::clone(&saved), Arc::clone(&self.jobs));
        tokio::spawn(async move {
            if !jobs.is_empty() {
                save(&store, &jobs).await;
            }
            done.store(true, Ordering::Relaxed);
            store.wake.notify_one();
        });
        saved
    }

    fn job_checkpoints(&mut self) -> Vec<JobCheckpoint> {
        for run in &self.runs {
            let output = run.output.lock().expect("output lock");
            self.jobs.with_entry(&run.job, |entry| {
                entry.progress.note_output(run.item, &output);
            });
        }
        let mut jobs = Vec::new();
        self.jobs
            .for_each_owned(|entry| jobs.extend(JobCheckpoint::of(&entry.progress)));
        jobs
    }
}

async fn save(store: &WorkerJobs, jobs: &[JobCheckpoint]) {
    match store.store.save_checkpoints(jobs).await {
        Ok(bytes) => log::info!(jobs = jobs.len(), bytes; "progress saved"),
        Err(e) => log::info!(jobs = jobs.len(), error:% = e; "progress not saved"),
    }
}

fn text_bytes(job: &JobCheckpoint) -> usize {
    job.items.iter().map(|item| item.output.text.len()).sum()
}

fn fingerprint(jobs: &[JobCheckpoint]) -> u64 {
    let mut hasher = DefaultHasher::new();
    for job in jobs {
        job.job.hash(&mut hasher);
        for item in &job.items {
            item.id.hash(&mut hasher);
            item.failures.hash(&mut hasher);
            item.output.last_event_id.hash(&mut hasher);
            item.ending.is_some().hash(&mut hasher);
        }
    }
    hasher.finish()
}
