//! Saves checkpoints: the progress of the items of this worker's jobs.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Instant;

use foxwheel_policy::batch::checkpoint::{CheckpointTimer, JobCheckpoint};

use crate::worker::Worker;
use crate::worker_jobs::WorkerJobs;

/// State of the checkpoints of one worker.
#[derive(Debug, Default)]
pub(super) struct Checkpoints {
    timer: CheckpointTimer,
    /// Whether a checkpoint is being written to the store.
    saving: Arc<AtomicBool>,
    /// Fingerprint of the last checkpoint, to skip checkpoints without changes.
    last_fingerprint: u64,
}

impl Worker {
    /// Starts to save the progress of the jobs that this worker owns, if a checkpoint is due
    /// and something changed since the last one.
    pub(super) fn save_progress(&mut self) {
        let now = Instant::now();
        let checkpoints = &self.checkpoints;
        if !checkpoints.timer.is_due(now) || self.is_saving() {
            return;
        }
        let jobs = self.collect_checkpoints();
        let bytes = jobs.iter().map(output_bytes).sum();
        let checkpoints = &mut self.checkpoints;
        checkpoints.timer.record_checkpoint(bytes, now);
        let current_fingerprint = fingerprint(&jobs);
        if jobs.is_empty() || current_fingerprint == checkpoints.last_fingerprint {
            return;
        }
        checkpoints.last_fingerprint = current_fingerprint;
        checkpoints.saving.store(true, Ordering::Relaxed);
        let saving = Arc::clone(&checkpoints.saving);
        let worker_jobs = Arc::clone(&self.jobs);
        tokio::spawn(async move {
            save_checkpoints(&worker_jobs, &jobs).await;
            saving.store(false, Ordering::Relaxed);
        });
    }

    /// Returns whether a checkpoint is being written to the store. No other checkpoint may be
    /// written meanwhile, as the older one could replace it.
    pub(super) fn is_saving(&self) -> bool {
        self.checkpoints.saving.load(Ordering::Relaxed)
    }

    /// Starts to save the progress even if no checkpoint is due. The returned flag is set once
    /// the attempt has finished, whether or not it succeeded.
    pub(super) fn save_progress_now(&mut self) -> Arc<AtomicBool> {
        let jobs = self.collect_checkpoints();
        let finished = Arc::new(AtomicBool::new(jobs.is_empty()));
        let (flag, worker_jobs) = (Arc::clone(&finished), Arc::clone(&self.jobs));
        tokio::spawn(async move {
            if !jobs.is_empty() {
                save_checkpoints(&worker_jobs, &jobs).await;
            }
            flag.store(true, Ordering::Relaxed);
            worker_jobs.wake.notify_one();
        });
        finished
    }

    fn collect_checkpoints(&mut self) -> Vec<JobCheckpoint> {
        for run in &self.runs {
            let output = run.output.lock().expect("output lock");
            self.jobs.with_entry(&run.job, |entry| {
                entry.progress.record_output(run.item, &output);
            });
        }
        let mut jobs = Vec::new();
        self.jobs
            .for_each_owned(|entry| jobs.extend(JobCheckpoint::from_progress(&entry.progress)));
        jobs
    }
}

async fn save_checkpoints(worker_jobs: &WorkerJobs, jobs: &[JobCheckpoint]) {
    match worker_jobs.store.save_checkpoints(jobs).await {
        Ok(bytes) => log::info!(jobs = jobs.len(), bytes; "checkpoint saved"),
        Err(e) => log::info!(jobs = jobs.len(), error:% = e; "could not save the checkpoint"),
    }
}

fn output_bytes(job: &JobCheckpoint) -> usize {
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
            item.outcome.is_some().hash(&mut hasher);
        }
    }
    hasher.finish()
}
