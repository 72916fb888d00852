//! The batch dispatch controller, which distributes the chunks of running jobs among gateways.
//!
//! Every gateway runs one. It scans the jobs by deadline and, for each job, the chunks that the
//! progress record does not show as finished. Each gateway starts at a different index, so that
//! gateways seldom read the same chunk. The dispatcher reads one chunk at a time, takes its lease if
//! that is free ([`chunk_work`]) and adds finished chunks to the progress record ([`progress`]). The
//! load on the store therefore grows with the number of chunks worked on, not with the size of the
//! jobs.
//!
//! [`chunk_work`]: crate::batch::chunk_work

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use foxwheel_core::ids::{JobId, Version};
use foxwheel_core::telemetry::Counters;
use foxwheel_core::{fingerprint, keys, time};
use foxwheel_http_client::client::HttpClient;
use foxwheel_store::client::{StoreClient, StoreError};
use foxwheel_store::reflector::Reflector;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::batch::chunk_work::{ChunkOutcome, ChunkWorkOptions, FreeChunk, LeasedChunk};
use crate::batch::items::ItemRunner;
use crate::batch::jobs::{ChunkRecord, JobRecord, JobState};
use crate::batch::progress::{self, FinishedChunk, JobProgress};
use crate::hosts::HostTable;
use crate::settings::GatewaySettings;

/// Maximum number of chunks read in one scan, which bounds this gateway's reads from the store.
const MAX_CHUNK_READS_PER_SCAN: usize = 64;
/// Delay before a chunk that another gateway holds, or that was released, is read again.
const REVISIT_DELAY: Duration = Duration::from_secs(1);
/// Interval at which finished chunks are added to the progress record. They are added at once when
/// this gateway has no other chunk of the job left.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(2);

/// A chunk that may have pending items. It is read at `not_before` at the earliest.
#[derive(Debug, Clone, Copy)]
struct ChunkCandidate {
    index: u32,
    not_before: Instant,
}

/// State of the dispatch of one job at this gateway.
struct JobDispatchState {
    job_id: JobId,
    /// Chunks that are not known to be finished and that this gateway does not work on.
    candidates: VecDeque<ChunkCandidate>,
    /// Number of chunks that this gateway works on now.
    chunks_in_progress: u32,
    /// Finished chunks that are not in the progress record yet.
    unpublished_chunks: Vec<FinishedChunk>,
    published_at: Instant,
    /// The progress record as last read or written.
    progress: JobProgress,
}

impl JobDispatchState {
    /// Creates the state with the chunks of `job` that `progress` does not show as finished, starting
    /// at an index that depends on the gateway.
    fn new(job: &JobRecord, progress: JobProgress, gateway: &str) -> Self {
        let now = Instant::now();
        let mut state = Self {
            job_id: job.id.clone(),
            candidates: VecDeque::new(),
            chunks_in_progress: 0,
            unpublished_chunks: Vec::new(),
            published_at: now,
            progress,
        };
        let start = start_index(&job.id, gateway, job.chunk_count);
        for index in (start..job.chunk_count).chain(0..start) {
            if !state.progress.is_finished(index) {
                state.candidates.push_back(ChunkCandidate {
                    index,
                    not_before: now,
                });
            }
        }
        state
    }

    /// Removes and returns the index of the next chunk to read. Returns `None` if no chunk is left or
    /// all others are still delayed.
    fn next_candidate(&mut self, now: Instant) -> Option<u32> {
        for _ in 0..self.candidates.len() {
            let candidate = self.candidates.pop_front()?;
            if self.progress.is_finished(candidate.index) {
                continue;
            }
            if candidate.not_before <= now {
                return Some(candidate.index);
            }
            self.candidates.push_back(candidate);
        }
        None
    }

    fn schedule_revisit(&mut self, index: u32) {
        self.candidates.push_back(ChunkCandidate {
            index,
            not_before: Instant::now() + REVISIT_DELAY,
        });
    }

    fn is_publish_due(&self) -> bool {
        let is_idle = self.chunks_in_progress == 0 && self.candidates.is_empty();
        !self.unpublished_chunks.is_empty()
            && (is_idle || self.published_at.elapsed() >= PUBLISH_INTERVAL)
    }
}

fn start_index(job: &str, gateway: &str, chunk_count: u32) -> u32 {
    let hash = fingerprint::hash_parts(&[job.as_bytes(), gateway.as_bytes()]);
    let number = u32::from_str_radix(&hash[..8], 16).unwrap_or(0);
    number.checked_rem(chunk_count).unwrap_or(0)
}

/// The batch dispatch controller of one gateway.
#[derive(Clone)]
pub struct Dispatcher {
    settings: GatewaySettings,
    options: ChunkWorkOptions,
    store: StoreClient,
    http: HttpClient,
    hosts: HostTable,
    counters: Counters,
    jobs: Reflector,
    /// State of each listed job, sorted by job id.
    dispatch_states: Rc<RefCell<Vec<JobDispatchState>>>,
    /// Starts the next scan when the work on a chunk ends, so that its slot is not idle until the next
    /// poll.
    chunk_ended: Rc<Notify>,
}

impl Dispatcher {
    /// Creates the dispatcher of the gateway with these settings.
    pub fn new(settings: GatewaySettings, hosts: HostTable, counters: Counters) -> Self {
        let options = ChunkWorkOptions {
            holder: settings.name.clone(),
            lease_duration: Duration::from_millis(settings.chunk_lease_ms),
            commit_interval: Duration::from_millis(settings.commit_interval_ms),
            items_in_flight: settings.batch_items_in_flight,
        };
        Self {
            store: StoreClient::new(&settings.store_url),
            http: HttpClient::default(),
            settings,
            options,
            hosts,
            counters,
            jobs: Reflector::new(keys::JOBS_PREFIX),
            dispatch_states: Rc::default(),
            chunk_ended: Rc::default(),
        }
    }

    /// Runs until `cancel` is cancelled. Returns after the chunks in progress have been committed and
    /// released, as far as the store is available.
    pub async fn run(self, cancel: CancellationToken) {
        let jobs_cancel = CancellationToken::new();
        actix_web::rt::spawn(
            self.jobs
                .clone()
                .run(self.store.clone(), jobs_cancel.clone()),
        );
        let poll = Duration::from_millis(self.settings.dispatch_poll_ms);
        while !cancel.is_cancelled() {
            self.scan_jobs(&cancel).await;
            tokio::select! {
                () = cancel.cancelled() => {}
                () = self.chunk_ended.notified() => {}
                () = tokio::time::sleep(poll) => {}
            }
        }
        while self.chunks_in_progress() > 0 {
            self.chunk_ended.notified().await;
        }
        self.publish_all_progress().await;
        jobs_cancel.cancel();
    }

    /// Scans all jobs once, in the order of their deadlines.
    async fn scan_jobs(&self, cancel: &CancellationToken) {
        let jobs = self.listed_jobs();
        self.drop_unlisted_jobs(&jobs);
        let mut chunk_reads_left = MAX_CHUNK_READS_PER_SCAN;
        for job in jobs {
            let result = self.scan_job(&job, &mut chunk_reads_left, cancel).await;
            if let Err(e) = result {
                log::debug!("scan of batch job {} failed: {e}", job.id);
                return;
            }
        }
    }

    async fn scan_job(
        &self,
        job: &JobRecord,
        chunk_reads_left: &mut usize,
        cancel: &CancellationToken,
    ) -> Result<(), StoreError> {
        self.ensure_job_state(job).await?;
        let hosts_are_live = self.hosts.live_count(&job.deployment) > 0;
        let may_continue = || match job.state {
            JobState::Running => hosts_are_live && self.free_slots() > 0 && !cancel.is_cancelled(),
            JobState::Cancelled => true,
            JobState::Completed => false,
        };
        while *chunk_reads_left > 0 && may_continue() {
            let now = Instant::now();
            let Some(index) = self
                .with_job(&job.id, |state| state.next_candidate(now))
                .flatten()
            else {
                break;
            };
            *chunk_reads_left -= 1;
            if let Err(e) = self.dispatch_chunk(job, index, cancel).await {
                self.with_job(&job.id, |state| state.schedule_revisit(index));
                return Err(e);
            }
        }
        self.publish_if_due(job).await
    }

    /// Reads one chunk. Records it if it is finished, cancels its items if the job is cancelled, and
    /// otherwise takes its lease and starts to work on it. A chunk that another gateway holds is read
    /// again later.
    async fn dispatch_chunk(
        &self,
        job: &JobRecord,
        index: u32,
        cancel: &CancellationToken,
    ) -> Result<(), StoreError> {
        let key = keys::chunk(&job.id, index);
        let Some((chunk, version)) = self.store.get_value::<ChunkRecord>(&key).await? else {
            self.with_job(&job.id, |state| state.schedule_revisit(index));
            return Ok(());
        };
        if !chunk.has_pending_items() {
            let counts = chunk.counts();
            self.record_finished_chunk(&job.id, FinishedChunk { index, counts });
            return Ok(());
        }
        let Some(free_chunk) = FreeChunk::new(chunk, version, time::unix_ms()) else {
            self.with_job(&job.id, |state| state.schedule_revisit(index));
            return Ok(());
        };
        if job.state == JobState::Cancelled {
            match free_chunk.cancel_items(&self.store).await {
                Some(chunk) => self.record_finished_chunk(&job.id, chunk),
                None => self.schedule_revisit(&job.id, index),
            }
            return Ok(());
        }
        match free_chunk.take_lease(&self.store, &self.options).await {
            Some(leased) => {
                self.counters.incr("batch.chunks_leased");
                self.with_job(&job.id, |state| state.chunks_in_progress += 1);
                let (this, job, cancel) = (self.clone(), job.clone(), cancel.clone());
                actix_web::rt::spawn(async move {
                    let outcome = this.run_chunk(&job, leased, &cancel).await;
                    this.record_chunk_outcome(&job.id, index, outcome);
                });
            }
            None => self.schedule_revisit(&job.id, index),
        }
        Ok(())
    }

    /// Works on a chunk whose lease was just taken, if the job is still running. Otherwise releases
    /// the chunk.
    async fn run_chunk(
        &self,
        job: &JobRecord,
        leased: LeasedChunk,
        cancel: &CancellationToken,
    ) -> ChunkOutcome {
        // The job is read from the store, because the watched copy may not yet contain a cancellation
        // that has already been confirmed to its caller.
        let read = self.store.get_value::<JobRecord>(&keys::job(&job.id)).await;
        match read.map(|found| found.map(|(record, _)| record.state)) {
            Ok(Some(JobState::Running)) => {
                let runner = self.item_runner(job);
                let is_job_cancelled =
                    || self.watched_job_state(&job.id) == Some(JobState::Cancelled);
                leased
                    .run_items(&runner, &self.options, cancel, is_job_cancelled)
                    .await
            }
            Ok(Some(JobState::Cancelled)) => leased.cancel_and_release(&self.options, cancel).await,
            Ok(Some(JobState::Completed) | None) => leased.release(&self.options, cancel).await,
            Err(e) => {
                log::info!("batch job {}: chunk released without running its items, the job cannot be read: {e}", job.id);
                leased.release(&self.options, cancel).await
            }
        }
    }

    fn item_runner(&self, job: &JobRecord) -> ItemRunner {
        ItemRunner {
            http: self.http.clone(),
            hosts: self.hosts.clone(),
            zone: self.settings.zone.clone(),
            deployment: job.deployment.clone(),
            workspace: job.workspace.clone(),
        }
    }

    fn record_chunk_outcome(&self, job: &JobId, index: u32, outcome: ChunkOutcome) {
        self.with_job(job, |state| state.chunks_in_progress -= 1);
        match outcome {
            ChunkOutcome::Finished(chunk) => {
                self.counters.incr("batch.chunks_finished");
                self.record_finished_chunk(job, chunk);
            }
            ChunkOutcome::Unfinished => {
                self.counters.incr("batch.chunks_given_back");
                self.schedule_revisit(job, index);
            }
            ChunkOutcome::LeaseLost => {
                self.counters.incr("batch.leases_lost");
                self.schedule_revisit(job, index);
            }
        }
        self.chunk_ended.notify_one();
    }

    fn record_finished_chunk(&self, job: &JobId, chunk: FinishedChunk) {
        self.with_job(job, |state| state.unpublished_chunks.push(chunk));
    }

    fn schedule_revisit(&self, job: &JobId, index: u32) {
        self.with_job(job, |state| state.schedule_revisit(index));
    }

    /// Adds finished chunks to the progress record if that is due. Ends the job if all its chunks are
    /// finished.
    async fn publish_if_due(&self, job: &JobRecord) -> Result<(), StoreError> {
        if self.with_job(&job.id, |state| state.is_publish_due()) == Some(true) {
            self.publish_progress(&job.id).await?;
        }
        let progress = self.with_job(&job.id, |state| state.progress.clone());
        match progress {
            Some(progress) if progress.finished_count() == job.chunk_count => {
                self.end_job(job, &progress).await
            }
            _ => Ok(()),
        }
    }

    async fn publish_progress(&self, job: &JobId) -> Result<(), StoreError> {
        let chunks = self.with_job(job, |state| state.unpublished_chunks.clone());
        let chunks = chunks.unwrap_or_default();
        let progress = progress::publish(&self.store, job, &chunks).await?;
        self.with_job(job, |state| {
            state.unpublished_chunks.drain(..chunks.len());
            state.published_at = Instant::now();
            state.progress = progress;
        });
        Ok(())
    }

    async fn publish_all_progress(&self) {
        let jobs: Vec<JobId> = self
            .dispatch_states
            .borrow()
            .iter()
            .map(|state| state.job_id.clone())
            .collect();
        for job in jobs {
            if let Err(e) = self.publish_progress(&job).await {
                log::debug!("progress of batch job {job} not recorded: {e}");
            }
        }
    }

    /// Writes the final counts to the job record, then moves it out of the watched prefix.
    async fn end_job(&self, job: &JobRecord, progress: &JobProgress) -> Result<(), StoreError> {
        debug_assert_eq!(progress.counts.total, job.item_count, "{}", job.id);
        let key = keys::job(&job.id);
        let Some((mut record, mut version)) = self.store.get_value::<JobRecord>(&key).await? else {
            return Ok(());
        };
        if record.final_counts.is_none() {
            if record.state == JobState::Running {
                record.state = JobState::Completed;
            }
            record.final_counts = Some(progress.counts);
            version = self.store.put(&key, &record, Some(version)).await?.version;
            log::info!("batch job {} ended: {:?}", job.id, record.state);
        }
        self.archive_job(&record, version).await
    }

    /// Moves a job record to the archive. The archived copy is written before the record is deleted,
    /// so that a reader that tries the record first and then the copy always finds one of them.
    async fn archive_job(&self, record: &JobRecord, version: Version) -> Result<(), StoreError> {
        let archived = keys::archived_job(&record.id);
        self.store.put(&archived, record, None).await?;
        self.store
            .delete(&keys::job(&record.id), Some(version))
            .await
    }

    async fn ensure_job_state(&self, job: &JobRecord) -> Result<(), StoreError> {
        if self.with_job(&job.id, |_| ()).is_some() {
            return Ok(());
        }
        let progress = progress::read(&self.store, &job.id).await?;
        let state = JobDispatchState::new(job, progress, &self.settings.name);
        let mut dispatch_states = self.dispatch_states.borrow_mut();
        if let Err(at) = dispatch_states.binary_search_by(|state| state.job_id.cmp(&job.id)) {
            dispatch_states.insert(at, state);
        }
        Ok(())
    }

    /// Drops the state of jobs that are no longer listed, unless this gateway works on chunks of them.
    fn drop_unlisted_jobs(&self, jobs: &[JobRecord]) {
        let mut listed_ids: Vec<&JobId> = jobs.iter().map(|job| &job.id).collect();
        listed_ids.sort();
        let mut dispatch_states = self.dispatch_states.borrow_mut();
        dispatch_states.retain(|state| {
            state.chunks_in_progress > 0 || listed_ids.binary_search(&&state.job_id).is_ok()
        });
    }

    fn with_job<R>(&self, job: &JobId, f: impl FnOnce(&mut JobDispatchState) -> R) -> Option<R> {
        let mut dispatch_states = self.dispatch_states.borrow_mut();
        let at = dispatch_states
            .binary_search_by(|state| state.job_id.cmp(job))
            .ok()?;
        Some(f(&mut dispatch_states[at]))
    }

    fn chunks_in_progress(&self) -> usize {
        self.dispatch_states
            .borrow()
            .iter()
            .map(|state| state.chunks_in_progress as usize)
            .sum()
    }

    fn free_slots(&self) -> usize {
        let slots = self.settings.batch_chunks_in_flight;
        slots.saturating_sub(self.chunks_in_progress())
    }

    /// Returns the jobs in the store that have not been archived, sorted by deadline.
    fn listed_jobs(&self) -> Vec<JobRecord> {
        let mut jobs: Vec<JobRecord> = self
            .jobs
            .read(|snapshot| snapshot.decode_all("dispatch"))
            .into_iter()
            .map(|(job, _)| job)
            .collect();
        jobs.sort_by_key(|job| (job.deadline_ms, job.created_ms));
        jobs
    }

    fn watched_job_state(&self, id: &str) -> Option<JobState> {
        let key = keys::job(id);
        self.jobs.read(|snapshot| {
            let (value, _) = snapshot.objects.get(&key)?;
            let state = value.get("state")?.clone();
            serde_json::from_value(state).ok()
        })
    }
}
