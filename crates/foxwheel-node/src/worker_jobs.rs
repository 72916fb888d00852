//! Keeps jobs in a worker's memory: the jobs that it owns and runs, and the jobs that it only
//! reads for callers. [`job_entry`] is one of them; [`take_over`] makes the worker the owner of jobs whose
//! owners are gone.

pub mod job_entry;
mod take_over;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxwheel_core::ids::{ItemId, JobId};
use foxwheel_policy::batch::checkpoint::JobCheckpoint;
use foxwheel_policy::batch::item::ItemResult;
use foxwheel_policy::batch::job::{JobProgress, JobSpec};
use foxwheel_policy::batch::job_memory::{self, JobMemory};
use foxwheel_policy::batch::ledger::{JobStatus, Ledger, LedgerChange, LedgerResponse};
use foxwheel_policy::batch::ownership;
use tokio::sync::{Notify, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::job_store::{JobStore, JobStoreError};
use crate::ledger_writer::{self, LedgerWriter};
use crate::node::Node;
use crate::peer_calls::{ItemBodyResponse, ResultsQuery, ResultsResponse};
use crate::worker_jobs::job_entry::{JobEntry, REFRESH_INTERVAL};
use crate::worker_jobs::take_over::CHECKPOINT_CACHE_TTL;

/// Time limit for reading a job from the store for a caller. Taking over a job may take four
/// times as long.
const LOAD_TIMEOUT: Duration = Duration::from_millis(600);

/// How long an ended job stays in memory after it was last read or changed. Its results are
/// readable for two minutes, and each read of a job that is not in memory costs three calls
/// or more.
const UNUSED_JOB_TTL: Duration = Duration::from_secs(120);

/// How long it is remembered that a caller ended a job that is not in memory. The job may be in the
/// middle of a take-over, or the message that it was accepted may be on its way.
const ENDED_JOB_RETENTION: Duration = Duration::from_secs(30);

/// Maximum number of ended jobs that are remembered.
const MAX_ENDED_JOBS: usize = 1_024;

/// Maximum number of jobs whose sizes are remembered because there was no room for them.
const MAX_LARGE_JOBS: usize = 1_024;

/// Number of jobs that are loaded for readers at the same time. Each is in memory twice while it is
/// decoded.
const MAX_READER_LOADS: usize = 5;

/// Number of jobs that are taken over at the same time, for the same reason.
const MAX_TAKE_OVERS: usize = 3;

/// The jobs in a worker's memory.
#[derive(Debug)]
pub struct WorkerJobs {
    node: Arc<Node>,
    /// Access to the jobs in the platform's store.
    pub store: JobStore,
    /// Writes changes of the ledger while this worker is the ledger writer.
    pub ledger_writer: LedgerWriter,
    /// Sorted by job id.
    entries: Mutex<Vec<JobEntry>>,
    /// Jobs that callers ended while they were not in `entries`, and when; oldest first. Locked only
    /// while `entries` is.
    ended_jobs: Mutex<VecDeque<(JobId, Instant)>>,
    /// Jobs of the ledger that were not found in the store, and when; sorted by job.
    missing_jobs: Mutex<Vec<(JobId, Instant)>>,
    /// The checkpoints of all workers, and when they were read.
    cached_checkpoints: tokio::sync::Mutex<Option<(Instant, Arc<Vec<JobCheckpoint>>)>>,
    /// The ledger as last read to confirm that jobs are open, and when that read began.
    cached_ledger: tokio::sync::Mutex<Option<(Instant, Arc<Ledger>)>>,
    /// Jobs that are being taken over; sorted.
    taking_over: Mutex<Vec<JobId>>,
    /// The memory that the jobs may take.
    memory: JobMemory,
    /// One permit for each job that may be loaded for a reader at the same time.
    reader_loads: Semaphore,
    /// One permit for each job that may be taken over at the same time.
    take_overs: Semaphore,
    /// Jobs that there was no room for, and their sizes in bytes; the oldest first.
    large_jobs: Mutex<VecDeque<(JobId, usize)>>,
    /// Notified when the scheduler may have something to do.
    pub wake: Notify,
    /// Notified when the ledger should be read before its next interval.
    pub ledger_poll_request: Notify,
}

impl WorkerJobs {
    /// Creates an empty set of jobs.
    pub fn new(node: Arc<Node>) -> Arc<Self> {
        let memory = JobMemory::of_host(node.settings.host_limits().memory_bytes);
        Arc::new(Self {
            store: JobStore::new(Arc::clone(&node)),
            ledger_writer: LedgerWriter::default(),
            node,
            entries: Mutex::default(),
            ended_jobs: Mutex::default(),
            missing_jobs: Mutex::default(),
            cached_checkpoints: tokio::sync::Mutex::default(),
            cached_ledger: tokio::sync::Mutex::default(),
            taking_over: Mutex::default(),
            memory,
            reader_loads: Semaphore::new(MAX_READER_LOADS),
            take_overs: Semaphore::new(MAX_TAKE_OVERS),
            large_jobs: Mutex::default(),
            wake: Notify::new(),
            ledger_poll_request: Notify::new(),
        })
    }

    /// Starts to run a job that was just accepted. Does nothing if the worker is leaving or has no room
    /// for the job, or if it owns the job already or knows that it ended.
    pub fn start_new_job(&self, job: JobSpec) {
        if self.node.is_leaving() {
            // The job is in the ledger; another worker takes it over.
            return;
        }
        if self.store.known_status(&job.id) == JobStatus::Closed {
            log::info!(job = job.id; "job not taken: it has ended since it was accepted");
            return;
        }
        if !self.has_room_for(&job.id, job.size_bytes()) {
            return;
        }
        log::info!(job = job.id, items = job.items.len(); "job taken");
        self.insert_job(JobProgress::new(job), true);
    }

    /// Returns whether the worker may take a job of `bytes` beside those that it owns. If not, the job
    /// stays in the ledger, and its size is remembered.
    fn has_room_for(&self, id: &JobId, bytes: usize) -> bool {
        let mut owned_bytes = 0;
        self.for_each_owned(|entry| owned_bytes += entry.progress.size_bytes());
        let has_room = self.memory.has_room(owned_bytes, bytes);
        if !has_room && self.known_size(id).is_none() {
            log::info!(job = id, bytes, owned_bytes; "job not taken: no room; it stays in the ledger");
            let mut large_jobs = self.large_jobs.lock().expect("large jobs lock");
            large_jobs.push_back((id.clone(), bytes));
            if large_jobs.len() > MAX_LARGE_JOBS {
                large_jobs.pop_front();
            }
        }
        has_room
    }

    /// Returns the size of a job that there was no room for; `None` if it is not known.
    fn known_size(&self, id: &JobId) -> Option<usize> {
        let large_jobs = self.large_jobs.lock().expect("large jobs lock");
        let found = large_jobs.iter().find(|(job, _)| job == id);
        found.map(|(_, bytes)| *bytes)
    }

    /// Changes the ledger through [`ledger_writer::change_ledger`].
    pub async fn change_ledger(
        &self,
        change: LedgerChange,
        deadline: Instant,
    ) -> Result<LedgerResponse, JobStoreError> {
        let own = Some(&self.ledger_writer);
        ledger_writer::change_ledger(&self.node, &self.store, own, change, deadline).await
    }

    /// Ends the jobs of this worker that `ledger` does not list as open. The read of the ledger
    /// `began_at` that time; jobs that this worker owns only since then may be newer.
    pub fn end_unlisted_jobs(&self, ledger: &Ledger, began_at: Instant) {
        let mut unlisted = Vec::new();
        self.for_each_owned(|entry| {
            let id = &entry.progress.spec.id;
            if entry.owned_since < began_at && ledger.open_job(id).is_none() {
                unlisted.push(id.clone());
            }
        });
        for id in unlisted {
            self.end_job(&id, "ledger");
        }
    }

    /// Ends a job and stops its items. The results stored so far stay readable. `by` names
    /// what ended the job, for the log.
    pub fn end_job(&self, id: &str, by: &str) {
        let ended = self.with_entry(id, |entry| {
            let newly_ended = entry.owned && !entry.progress.ended;
            entry.progress.ended = true;
            entry.owned = false;
            entry.closed_at.get_or_insert_with(Instant::now);
            entry.cancel.cancel();
            newly_ended
        });
        if ended == Some(true) {
            log::info!(job = id, by; "job ended");
            self.publish_claims();
        }
    }

    /// Ends a job that its caller has ended, as [`Self::end_job`] does. If the job is not in memory, it
    /// is not run later either.
    pub fn end_job_of_caller(&self, id: &JobId) {
        {
            let entries = self.entries.lock().expect("jobs lock");
            if find_entry(&entries, id).is_err() {
                self.remember_ended(id, Instant::now());
                return;
            }
        }
        self.end_job(id, "caller");
    }

    fn remember_ended(&self, id: &JobId, now: Instant) {
        let mut ended_jobs = self.ended_jobs.lock().expect("ended jobs lock");
        let is_old = |(_, at): &(JobId, Instant)| now.duration_since(*at) >= ENDED_JOB_RETENTION;
        while ended_jobs.front().is_some_and(is_old) || ended_jobs.len() >= MAX_ENDED_JOBS {
            ended_jobs.pop_front();
        }
        ended_jobs.push_back((id.clone(), now));
    }

    fn was_ended_by_caller(&self, id: &JobId) -> bool {
        let ended_jobs = self.ended_jobs.lock().expect("ended jobs lock");
        ended_jobs.iter().any(|(ended, _)| ended == id)
    }

    /// Stops running a job without ending it, so that another worker takes it over.
    pub fn release_job(&self, id: &str) {
        self.with_entry(id, |entry| {
            entry.owned = false;
            entry.cancel.cancel();
            entry.cancel = CancellationToken::new();
        });
        self.publish_claims();
    }

    /// Calls `action` with the job `id` and returns its result, or `None` if the job is not in
    /// memory.
    pub fn with_entry<T>(&self, id: &str, action: impl FnOnce(&mut JobEntry) -> T) -> Option<T> {
        let mut entries = self.entries.lock().expect("jobs lock");
        let at = find_entry(&entries, id).ok()?;
        Some(action(&mut entries[at]))
    }

    /// Calls `action` with each job that this worker owns.
    pub fn for_each_owned(&self, mut action: impl FnMut(&mut JobEntry)) {
        let mut entries = self.entries.lock().expect("jobs lock");
        for entry in entries.iter_mut().filter(|entry| entry.owned) {
            action(entry);
        }
    }

    /// Records that part `number` of the job's results is stored with `results`, and wakes
    /// waiting readers.
    pub fn apply_part(&self, id: &str, number: u32, results: Vec<ItemResult>) {
        self.with_entry(id, |entry| {
            entry.progress.apply_part(number, results);
            entry.used_at = Instant::now();
            entry.new_results.notify_waiters();
        });
        self.publish_claims();
    }

    /// Evicts jobs that this worker does not run and nobody has read recently, and cached
    /// checkpoints, which are megabytes in a large fleet.
    pub fn evict_unused(&self, now: Instant) {
        if let Ok(mut cached) = self.cached_checkpoints.try_lock() {
            let is_expired =
                |read_at: Instant| now.saturating_duration_since(read_at) >= CHECKPOINT_CACHE_TTL;
            cached.take_if(|(read_at, _)| is_expired(*read_at));
        }
        let mut entries = self.entries.lock().expect("jobs lock");
        let is_in_use = |entry: &JobEntry| entry.owned || entry.storing;
        entries.retain(|entry| {
            is_in_use(entry) || now.saturating_duration_since(entry.used_at) < UNUSED_JOB_TTL
        });
        let unused = entries.iter().filter(|entry| !is_in_use(entry));
        let mut by_last_use: Vec<(Instant, usize)> = unused
            .map(|entry| (entry.used_at, entry.progress.size_bytes()))
            .collect();
        by_last_use.sort_unstable_by(|a, b| b.cmp(a));
        let mut bytes = 0;
        let first_evicted = by_last_use.into_iter().find(|(_, entry_bytes)| {
            bytes += entry_bytes;
            bytes > job_memory::MAX_UNUSED_BYTES
        });
        if let Some((last_use, _)) = first_evicted {
            entries.retain(|entry| is_in_use(entry) || entry.used_at > last_use);
        }
    }

    /// Returns the address of another worker that owns the job and sends heartbeats, or `None`
    /// if there is none or this worker owns the job.
    pub fn remote_owner(&self, id: &JobId) -> Option<SocketAddr> {
        if self.with_entry(id, |entry| entry.owned) == Some(true) {
            return None;
        }
        let now = Instant::now();
        let workers = self.node.peers.live_workers(now);
        let owner = workers
            .iter()
            .find(|worker| worker.has_current_claims && worker.owns(id))?;
        self.node.peers.live_worker_addr(&owner.host, now)
    }

    /// Reads results of a job for a caller. If there are none yet, waits for the first result
    /// up to the wait time of the query.
    pub async fn read_results(&self, id: &JobId, query: ResultsQuery) -> ResultsResponse {
        let deadline = Instant::now() + query.wait;
        loop {
            match self.ensure_loaded(id, query.known_parts).await {
                Ok(true) => {}
                Ok(false) => return ResultsResponse::NoSuchJob,
                Err(e) => {
                    log::warn!(job = id, error:% = e; "could not read the job for a caller");
                    return ResultsResponse::Undetermined;
                }
            }
            let Some((response, new_results)) =
                self.with_entry(id, |entry| entry.read_results(query))
            else {
                return ResultsResponse::Undetermined;
            };
            let now = Instant::now();
            let is_empty =
                matches!(&response, ResultsResponse::Results { results, .. } if results.is_empty());
            if !is_empty || now >= deadline {
                return response;
            }
            let timeout = (deadline - now).min(REFRESH_INTERVAL);
            // A notification between the read above and this wait is missed and costs one
            // timeout.
            let _ = tokio::time::timeout(timeout, new_results.notified()).await;
        }
    }

    /// Reads the body of an item for a caller.
    pub async fn read_item_body(&self, id: &JobId, item: &ItemId) -> ItemBodyResponse {
        match self.ensure_loaded(id, 0).await {
            Ok(true) => {}
            Ok(false) => return ItemBodyResponse::NoSuchItem,
            Err(e) => {
                log::warn!(job = id, request_id = item, error:% = e; "could not read the item for a caller");
                return ItemBodyResponse::Undetermined;
            }
        }
        let found = self.with_entry(id, |entry| {
            entry.used_at = Instant::now();
            let items = &entry.progress.spec.items;
            items
                .iter()
                .find(|spec| spec.id == *item)
                .map(|spec| spec.body.clone())
        });
        match found.flatten() {
            Some(body) => ItemBodyResponse::Body(body),
            None => ItemBodyResponse::NoSuchItem,
        }
    }

    /// Loads a job into memory for a reader, with at least `known_parts` parts of its results.
    /// Returns whether the job exists.
    async fn ensure_loaded(&self, id: &JobId, known_parts: u32) -> Result<bool, JobStoreError> {
        let deadline = Instant::now() + LOAD_TIMEOUT;
        let workers = self.node.peers.live_workers(Instant::now());
        let known_parts = known_parts.max(ownership::known_stored_parts(id, &workers));
        let refresh = self.with_entry(id, |entry| {
            entry.should_refresh(known_parts, Instant::now())
        });
        match refresh {
            Some(true) => {
                self.load_missing_parts(id, deadline).await?;
                return Ok(true);
            }
            Some(false) => return Ok(true),
            None => {}
        }
        let Ok(Ok(_permit)) = tokio::time::timeout(LOAD_TIMEOUT, self.reader_loads.acquire()).await
        else {
            return Err(JobStoreError::Busy);
        };
        match self.store.load_progress(id, deadline).await? {
            Some(progress) => {
                self.insert_job(progress, false);
                Ok(true)
            }
            None => Ok(false),
        }
    }

    /// Loads every part that was stored since the last read of the store. A caller may have
    /// read all of them from another worker.
    async fn load_missing_parts(&self, id: &JobId, deadline: Instant) -> Result<(), JobStoreError> {
        while let Some(number) = self.with_entry(id, |entry| entry.next_part()).flatten() {
            match self.store.load_part(id, number, deadline).await? {
                Some(results) => self.apply_part(id, number, results),
                None => break,
            }
        }
        Ok(())
    }

    /// Adds a job, or updates it if it is in memory already. A job that its caller has ended meanwhile
    /// is not owned.
    fn insert_job(&self, progress: JobProgress, owned: bool) {
        {
            let mut entries = self.entries.lock().expect("jobs lock");
            if owned && self.was_ended_by_caller(&progress.spec.id) {
                log::info!(job = progress.spec.id; "job not taken: its caller has ended it meanwhile");
                return;
            }
            match find_entry(&entries, &progress.spec.id) {
                Ok(at) => entries[at].update(progress, owned),
                Err(at) => entries.insert(at, JobEntry::new(progress, owned)),
            }
        }
        if owned {
            self.publish_claims();
            self.wake.notify_one();
        }
    }

    /// Reports the owned and recently closed jobs to the other processes.
    fn publish_claims(&self) {
        let now = Instant::now();
        let claims = {
            let entries = self.entries.lock().expect("jobs lock");
            let claims = entries.iter().filter_map(|entry| entry.current_claim(now));
            claims.collect()
        };
        self.node.set_claims(claims);
        self.node.urgent_heartbeat.notify_one();
    }
}

/// Returns the index of the job `id`, or the index at which to insert it.
fn find_entry(entries: &[JobEntry], id: &str) -> Result<usize, usize> {
    entries.binary_search_by(|entry| entry.progress.spec.id.as_str().cmp(id))
}
