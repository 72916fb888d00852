//! The batch dispatch controller: shares the chunks of running jobs out among gateways.
//!
//! Every gateway runs one. It goes through the jobs by deadline and, for each, through the
//! chunks its progress record does not show as finished, starting at a place of its own so
//! that gateways seldom meet. It reads one chunk at a time, takes its lease if it is free
//! ([`chunk_work`]) and reports finished chunks to the progress record ([`progress`]). So
//! the store's share grows with the chunks worked on, not with the size of the jobs.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use foxwheel_core::ids::{JobId, Version};
use foxwheel_core::telemetry::Counters;
use foxwheel_core::{fingerprint, keys, time};
use foxwheel_store::client::{StoreClient, StoreError};
use foxwheel_store::reflector::Reflector;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::batch::chunk_work::{ChunkEnd, FreeChunk, HeldChunk, WorkShape};
use crate::batch::items::ItemRunner;
use crate::batch::jobs::{ChunkRecord, JobRecord, JobState};
use crate::batch::progress::{self, FinishedChunk, JobProgress};
use crate::hosts::HostTable;
use crate::settings::GatewaySettings;

/// Chunks read in one scan, at most: bounds this gateway's reads of the store.
const MAX_PROBES: usize = 64;
/// How long a chunk that another gateway holds, or that was given back, is left alone.
const REVISIT: Duration = Duration::from_secs(1);
/// Finished chunks are reported at least this often.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(2);

/// A chunk this gateway does not know to be finished, looked at again at `not_before`.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    index: u32,
    not_before: Instant,
}

/// What this gateway knows of one job's chunks.
struct JobWork {
    job_id: JobId,
    /// Neither finished nor worked on here.
    candidates: VecDeque<Candidate>,
    /// Worked on here now.
    working: u32,
    /// Finished, not yet in the progress record.
    unpublished: Vec<FinishedChunk>,
    published_at: Instant,
    /// The progress record as last read or written.
    progress: JobProgress,
}

impl JobWork {
    /// The chunks of `job` that `progress` does not show as finished, from a place that
    /// depends on the gateway.
    fn new(job: &JobRecord, progress: JobProgress, gateway: &str) -> Self {
        let now = Instant::now();
        let mut work = Self {
            job_id: job.id.clone(),
            candidates: VecDeque::new(),
            working: 0,
            unpublished: Vec::new(),
            published_at: now,
            progress,
        };
        let start = starting_place(&job.id, gateway, job.chunk_count);
        for index in (start..job.chunk_count).chain(0..start) {
            if !work.progress.is_finished(index) {
                work.candidates.push_back(Candidate {
                    index,
                    not_before: now,
                });
            }
        }
        work
    }

    /// The next chunk to look at, unless the rest is to be left alone for now.
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

    fn revisit(&mut self, index: u32) {
        self.candidates.push_back(Candidate {
            index,
            not_before: Instant::now() + REVISIT,
        });
    }

    fn publish_is_due(&self) -> bool {
        let idle = self.working == 0 && self.candidates.is_empty();
        !self.unpublished.is_empty() && (idle || self.published_at.elapsed() >= PUBLISH_INTERVAL)
    }
}

fn starting_place(job: &str, gateway: &str, chunk_count: u32) -> u32 {
    let print = fingerprint::hash_parts(&[job.as_bytes(), gateway.as_bytes()]);
    let place = u32::from_str_radix(&print[..8], 16).unwrap_or(0);
    place.checked_rem(chunk_count).unwrap_or(0)
}

/// The controller.
#[derive(Clone)]
pub struct Dispatcher {
    settings: GatewaySettings,
    shape: WorkShape,
    store: StoreClient,
    http: awc::Client,
    hosts: HostTable,
    counters: Counters,
    jobs: Reflector,
    /// Sorted by job id.
    works: Rc<RefCell<Vec<JobWork>>>,
    /// Wakes the scan when a chunk ended, so that its slot is not idle until the next poll.
    chunk_ended: Rc<Notify>,
}

impl Dispatcher {
    /// A dispatcher for the gateway with `settings`.
    pub fn new(settings: GatewaySettings, hosts: HostTable, counters: Counters) -> Self {
        let shape = WorkShape {
            holder: settings.name.clone(),
            lease: Duration::from_millis(settings.chunk_lease_ms),
            commit_interval: Duration::from_millis(settings.commit_interval_ms),
            items_in_flight: settings.batch_items_in_flight,
        };
        Self {
            store: StoreClient::new(&settings.store_url),
            http: awc::Client::builder().disable_timeout().finish(),
            settings,
            shape,
            hosts,
            counters,
            jobs: Reflector::new(keys::JOBS_PREFIX),
            works: Rc::default(),
            chunk_ended: Rc::default(),
        }
    }

    /// Runs until `cancel` fires; chunks in progress are committed and released first.
    pub async fn run(self, cancel: CancellationToken) {
        let jobs_cancel = CancellationToken::new();
        actix_web::rt::spawn(
            self.jobs
                .clone()
                .run(self.store.clone(), jobs_cancel.clone()),
        );
        let poll = Duration::from_millis(self.settings.dispatch_poll_ms);
        while !cancel.is_cancelled() {
            self.scan(&cancel).await;
            tokio::select! {
                () = cancel.cancelled() => {}
                () = self.chunk_ended.notified() => {}
                () = tokio::time::sleep(poll) => {}
            }
        }
        while self.working() > 0 {
            self.chunk_ended.notified().await;
        }
        self.publish_all().await;
        jobs_cancel.cancel();
    }

    /// Looks through all jobs once, by deadline.
    async fn scan(&self, cancel: &CancellationToken) {
        let jobs = self.listed_jobs();
        self.forget_ended(&jobs);
        let mut probes = MAX_PROBES;
        for job in jobs {
            let scanned = self.scan_job(&job, &mut probes, cancel).await;
            if let Err(e) = scanned {
                log::debug!("dispatch of {}: {e}", job.id);
                return;
            }
        }
    }

    async fn scan_job(
        &self,
        job: &JobRecord,
        probes: &mut usize,
        cancel: &CancellationToken,
    ) -> Result<(), StoreError> {
        self.ensure_work(job).await?;
        let hosts_are_live = self.hosts.live_count(&job.deployment) > 0;
        let may_work = || match job.state {
            JobState::Running => hosts_are_live && self.free_slots() > 0 && !cancel.is_cancelled(),
            JobState::Cancelled => true,
            JobState::Completed => false,
        };
        while *probes > 0 && may_work() {
            let now = Instant::now();
            let Some(index) = self.with_work(&job.id, |w| w.next_candidate(now)).flatten() else {
                break;
            };
            *probes -= 1;
            if let Err(e) = self.probe(job, index, cancel).await {
                self.with_work(&job.id, |w| w.revisit(index));
                return Err(e);
            }
        }
        self.publish_if_due(job).await
    }

    /// Reads one chunk and does what it needs.
    async fn probe(
        &self,
        job: &JobRecord,
        index: u32,
        cancel: &CancellationToken,
    ) -> Result<(), StoreError> {
        let key = keys::chunk(&job.id, index);
        let Some((chunk, version)) = self.store.get_value::<ChunkRecord>(&key).await? else {
            self.with_work(&job.id, |w| w.revisit(index));
            return Ok(());
        };
        if !chunk.has_pending() {
            let counts = chunk.counts();
            self.finished(&job.id, FinishedChunk { index, counts });
            return Ok(());
        }
        let Some(free) = FreeChunk::new(chunk, version, time::unix_ms()) else {
            self.with_work(&job.id, |w| w.revisit(index));
            return Ok(());
        };
        if job.state == JobState::Cancelled {
            match free.cancel(&self.store).await {
                Some(chunk) => self.finished(&job.id, chunk),
                None => self.revisit(&job.id, index),
            }
            return Ok(());
        }
        match free.lease(&self.store, &self.shape).await {
            Some(held) => {
                self.counters.incr("batch.chunks_leased");
                self.with_work(&job.id, |w| w.working += 1);
                let (this, job, cancel) = (self.clone(), job.clone(), cancel.clone());
                actix_web::rt::spawn(async move {
                    let end = this.work(&job, held, &cancel).await;
                    this.chunk_done(&job.id, index, end);
                });
            }
            None => self.revisit(&job.id, index),
        }
        Ok(())
    }

    /// Works on a chunk whose lease was just taken, if its job still runs.
    async fn work(&self, job: &JobRecord, held: HeldChunk, cancel: &CancellationToken) -> ChunkEnd {
        // The watched copy may miss a cancel that its caller has had confirmed.
        let read = self.store.get_value::<JobRecord>(&keys::job(&job.id)).await;
        match read.map(|found| found.map(|(record, _)| record.state)) {
            Ok(Some(JobState::Running)) => {
                let runner = self.runner(job);
                let job_cancelled = || self.job_state(&job.id) == Some(JobState::Cancelled);
                held.work(&runner, &self.shape, cancel, job_cancelled).await
            }
            Ok(Some(JobState::Cancelled)) => held.cancel(&self.shape, cancel).await,
            Ok(Some(JobState::Completed) | None) => held.release(&self.shape, cancel).await,
            Err(e) => {
                log::info!("batch job {}: a chunk given back unrun: {e}", job.id);
                held.release(&self.shape, cancel).await
            }
        }
    }

    fn runner(&self, job: &JobRecord) -> ItemRunner {
        ItemRunner {
            http: self.http.clone(),
            hosts: self.hosts.clone(),
            zone: self.settings.zone.clone(),
            deployment: job.deployment.clone(),
            workspace: job.workspace.clone(),
        }
    }

    fn chunk_done(&self, job: &JobId, index: u32, end: ChunkEnd) {
        self.with_work(job, |w| w.working -= 1);
        match end {
            ChunkEnd::Finished(chunk) => {
                self.counters.incr("batch.chunks_finished");
                self.finished(job, chunk);
            }
            ChunkEnd::Unfinished => {
                self.counters.incr("batch.chunks_given_back");
                self.revisit(job, index);
            }
            ChunkEnd::Lost => {
                self.counters.incr("batch.leases_lost");
                self.revisit(job, index);
            }
        }
        self.chunk_ended.notify_one();
    }

    fn finished(&self, job: &JobId, chunk: FinishedChunk) {
        self.with_work(job, |w| w.unpublished.push(chunk));
    }

    fn revisit(&self, job: &JobId, index: u32) {
        self.with_work(job, |w| w.revisit(index));
    }

    /// Reports finished chunks when due; ends the job when all its chunks are finished.
    async fn publish_if_due(&self, job: &JobRecord) -> Result<(), StoreError> {
        if self.with_work(&job.id, |w| w.publish_is_due()) == Some(true) {
            self.publish(&job.id).await?;
        }
        let progress = self.with_work(&job.id, |w| w.progress.clone());
        match progress {
            Some(p) if p.finished_count() == job.chunk_count => self.end_job(job, &p).await,
            _ => Ok(()),
        }
    }

    async fn publish(&self, job: &JobId) -> Result<(), StoreError> {
        let chunks = self.with_work(job, |w| w.unpublished.clone());
        let chunks = chunks.unwrap_or_default();
        let progress = progress::publish(&self.store, job, &chunks).await?;
        self.with_work(job, |w| {
            w.unpublished.drain(..chunks.len());
            w.published_at = Instant::now();
            w.progress = progress;
        });
        Ok(())
    }

    async fn publish_all(&self) {
        let jobs: Vec<JobId> = self
            .works
            .borrow()
            .iter()
            .map(|w| w.job_id.clone())
            .collect();
        for job in jobs {
            if let Err(e) = self.publish(&job).await {
                log::debug!("progress of {job} not reported: {e}");
            }
        }
    }

    /// Writes the final counts, then moves the record out of the watched prefix.
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
        self.archive(&record, version).await
    }

    /// The archived copy is written before the record is deleted, so a reader that looks
    /// at both in that order always finds one.
    async fn archive(&self, record: &JobRecord, version: Version) -> Result<(), StoreError> {
        let archived = keys::archived_job(&record.id);
        self.store.put(&archived, record, None).await?;
        self.store
            .delete(&keys::job(&record.id), Some(version))
            .await
    }

    async fn ensure_work(&self, job: &JobRecord) -> Result<(), StoreError> {
        if self.with_work(&job.id, |_| ()).is_some() {
            return Ok(());
        }
        let progress = progress::read(&self.store, &job.id).await?;
        let work = JobWork::new(job, progress, &self.settings.name);
        let mut works = self.works.borrow_mut();
        if let Err(at) = works.binary_search_by(|w| w.job_id.cmp(&job.id)) {
            works.insert(at, work);
        }
        Ok(())
    }

    /// Drops what is known of jobs no longer listed, unless chunks of theirs are worked on.
    fn forget_ended(&self, jobs: &[JobRecord]) {
        let mut listed: Vec<&JobId> = jobs.iter().map(|job| &job.id).collect();
        listed.sort();
        let mut works = self.works.borrow_mut();
        works.retain(|w| w.working > 0 || listed.binary_search(&&w.job_id).is_ok());
    }

    fn with_work<R>(&self, job: &JobId, f: impl FnOnce(&mut JobWork) -> R) -> Option<R> {
        let mut works = self.works.borrow_mut();
        let at = works.binary_search_by(|w| w.job_id.cmp(job)).ok()?;
        Some(f(&mut works[at]))
    }

    fn working(&self) -> usize {
        self.works.borrow().iter().map(|w| w.working as usize).sum()
    }

    fn free_slots(&self) -> usize {
        let slots = self.settings.batch_chunks_in_flight;
        slots.saturating_sub(self.working())
    }

    /// Jobs in the store that have not been archived, by deadline.
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

    fn job_state(&self, id: &str) -> Option<JobState> {
        let key = keys::job(id);
        self.jobs.read(|snapshot| {
            let (value, _) = snapshot.objects.get(&key)?;
            let state = value.get("state")?.clone();
            serde_json::from_value(state).ok()
        })
    }
}
