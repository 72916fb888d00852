//! The jobs in a worker's memory: those it runs, and those it only reads for callers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxwheel_core::ids::{ItemId, JobId};
use foxwheel_policy::batch::checkpoint::JobCheckpoint;
use foxwheel_policy::batch::item::ItemResult;
use foxwheel_policy::batch::job::{JobProgress, JobSpec};
use foxwheel_policy::batch::ledger::{LedgerAnswer, LedgerChange};
use foxwheel_policy::batch::ownership::{self, ClaimStanding, JobClaim};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::job_store::{JobStore, JobStoreError};
use crate::ledger_writer::{self, LedgerWriter};
use crate::node::Node;
use crate::peer_calls::{ItemBodyResponse, ResultsQuery, ResultsResponse};
use crate::settings::Role;

/// How often a job that another worker runs is looked up again for a reader.
const REFRESH_EVERY: Duration = Duration::from_millis(500);

/// Longest time to read a job from the store for a caller.
const LOAD_TIME: Duration = Duration::from_millis(600);

/// How long a closed job is told of, so that readers elsewhere know how many parts its
/// results have. Several times the silence after which a process counts as dead.
const TELL_CLOSED: Duration = Duration::from_secs(10);

/// How long a worker that is not a job's first choice leaves it to that one after it found
/// it not stored: each look of each worker is a call.
const LOOK_AGAIN_AFTER: Duration = Duration::from_secs(20);

/// How long saved progress serves the jobs that are adopted together: they are within some
/// hundred milliseconds after a worker died.
const READ_CHECKPOINTS_AGAIN_AFTER: Duration = Duration::from_millis(1_000);

/// How long a job that nobody reads stays in memory after it ended: its results are readable
/// for two minutes, and each read of a job that is not in memory costs three calls or more.
const KEEP_UNREAD: Duration = Duration::from_secs(120);

/// Most bytes of such jobs, the ones unread for longest go first: half of the memory that a
/// process may take for control.
const MAX_UNREAD_BYTES: usize = 16_000_000;

/// A job in memory.
#[derive(Debug)]
pub struct JobEntry {
    /// Its progress.
    pub progress: JobProgress,
    /// This worker runs it.
    pub owned: bool,
    /// A part of its results is being stored.
    pub storing: bool,
    /// When it was closed.
    closed_at: Option<Instant>,
    /// Cancelled when no item of it may run any more.
    pub cancel: CancellationToken,
    /// Woken when results are listed.
    listed: Arc<Notify>,
    /// When the store was last asked for more parts.
    refreshed_at: Instant,
    /// When it was last read or changed.
    used_at: Instant,
}

/// The jobs in a worker's memory.
#[derive(Debug)]
pub struct WorkerJobs {
    node: Arc<Node>,
    /// The jobs in the platform's store.
    pub store: JobStore,
    /// Changes of the ledger that wait here.
    pub ledger_writer: LedgerWriter,
    /// Sorted by job id.
    entries: Mutex<Vec<JobEntry>>,
    /// Jobs of the ledger that were not in the store, and when; sorted by job.
    not_stored: Mutex<Vec<(JobId, Instant)>>,
    /// Progress that workers saved, and when it was read.
    checkpoints: tokio::sync::Mutex<Option<(Instant, Arc<Vec<JobCheckpoint>>)>>,
    /// Woken when there may be something to run.
    pub wake: Notify,
    /// Woken when the ledger should be read at once.
    pub ledger_poll_request: Notify,
}

impl WorkerJobs {
    /// No jobs yet.
    pub fn new(node: Arc<Node>) -> Arc<Self> {
        Arc::new(Self {
            store: JobStore::new(Arc::clone(&node)),
            ledger_writer: LedgerWriter::default(),
            node,
            entries: Mutex::default(),
            not_stored: Mutex::default(),
            checkpoints: tokio::sync::Mutex::default(),
            wake: Notify::new(),
            ledger_poll_request: Notify::new(),
        })
    }

    /// Runs a job that was just accepted, unless it is known.
    pub fn start_new_job(&self, job: JobSpec) {
        if self.node.is_leaving() {
            // It stands in the ledger: another worker takes it.
            return;
        }
        log::info!(job = job.id, items = job.items.len(); "job taken");
        self.insert(JobProgress::new(job), true);
    }

    /// Changes the ledger, through its keeper if that answers.
    pub async fn change_ledger(
        &self,
        change: LedgerChange,
        deadline: Instant,
    ) -> Result<LedgerAnswer, JobStoreError> {
        let own = Some(&self.ledger_writer);
        ledger_writer::change_ledger(&self.node, &self.store, own, change, deadline).await
    }

    /// Runs a job that no live worker runs, from what the store has of it.
    pub async fn take_over(&self, id: &JobId) -> Result<(), JobStoreError> {
        let deadline = Instant::now() + 4 * LOAD_TIME;
        match self.store.load_progress(id, deadline).await? {
            Some(mut progress) => {
                let restored = self.restore(&mut progress).await;
                let listed = progress.listed.len();
                log::info!(job = id, listed, parts = progress.parts, restored; "job adopted");
                self.insert(progress, true);
            }
            // Its front answered no acceptance; its client may come again.
            None => self.note_not_stored(id, Instant::now()),
        }
        Ok(())
    }

    /// Takes over what the workers before saved of a job; answers for how many items.
    async fn restore(&self, progress: &mut JobProgress) -> usize {
        let saved = match self.saved_checkpoints().await {
            Ok(saved) => saved,
            Err(e) => {
                log::info!(job = progress.spec.id, error:% = e; "no saved progress");
                return 0;
            }
        };
        let mut items = 0;
        for checkpoint in saved.iter() {
            if checkpoint.job != progress.spec.id {
                continue;
            }
            items += checkpoint.items.len();
            checkpoint.restore(progress, Instant::now());
        }
        items
    }

    /// What workers saved; read once for all jobs that are adopted at one time.
    async fn saved_checkpoints(&self) -> Result<Arc<Vec<JobCheckpoint>>, JobStoreError> {
        let mut known = self.checkpoints.lock().await;
        if let Some((read_at, saved)) = known.as_ref() {
            if read_at.elapsed() < READ_CHECKPOINTS_AGAIN_AFTER {
                return Ok(Arc::clone(saved));
            }
        }
        let saved = Arc::new(self.store.load_checkpoints().await?);
        *known = Some((Instant::now(), Arc::clone(&saved)));
        Ok(saved)
    }

    fn note_not_stored(&self, id: &JobId, now: Instant) {
        log::info!(job = id; "job of the ledger is not in the store");
        let mut missing = self.not_stored.lock().expect("missing jobs lock");
        missing.retain(|(_, at)| now.duration_since(*at) < LOOK_AGAIN_AFTER);
        match missing.binary_search_by(|(job, _)| job.cmp(id)) {
            Ok(at) => missing[at].1 = now,
            Err(at) => missing.insert(at, (id.clone(), now)),
        }
    }

    /// Whether a job was not in the store a short while ago.
    pub fn was_recently_missing(&self, id: &JobId, now: Instant) -> bool {
        let missing = self.not_stored.lock().expect("missing jobs lock");
        let found = missing.binary_search_by(|(job, _)| job.cmp(id));
        found.is_ok_and(|at| now.duration_since(missing[at].1) < LOOK_AGAIN_AFTER)
    }

    /// Stops a job's items; what is listed stays readable.
    pub fn end_job(&self, id: &str, by: &str) {
        let ended = self.with_entry(id, |entry| {
            let news = entry.owned && !entry.progress.ended;
            entry.progress.ended = true;
            entry.owned = false;
            entry.closed_at.get_or_insert_with(Instant::now);
            entry.cancel.cancel();
            news
        });
        if ended == Some(true) {
            log::info!(job = id, by; "job ended");
            self.publish_held();
        }
    }

    /// Stops running a job without ending it: another worker goes on.
    pub fn release_job(&self, id: &str) {
        self.with_entry(id, |entry| {
            entry.owned = false;
            entry.cancel.cancel();
            entry.cancel = CancellationToken::new();
        });
        self.publish_held();
    }

    /// Does `act` with the job `id`, if it is in memory.
    pub fn with_entry<T>(&self, id: &str, act: impl FnOnce(&mut JobEntry) -> T) -> Option<T> {
        let mut entries = self.entries.lock().expect("jobs lock");
        let at = position(&entries, id).ok()?;
        Some(act(&mut entries[at]))
    }

    /// Does `act` with every job that this worker runs.
    pub fn for_each_owned(&self, mut act: impl FnMut(&mut JobEntry)) {
        let mut entries = self.entries.lock().expect("jobs lock");
        for entry in entries.iter_mut().filter(|entry| entry.owned) {
            act(entry);
        }
    }

    /// Takes a part of results as stored and wakes readers.
    pub fn apply_part(&self, id: &str, number: u32, results: Vec<ItemResult>) {
        self.with_entry(id, |entry| {
            entry.progress.take_part(number, results);
            entry.used_at = Instant::now();
            entry.listed.notify_waiters();
        });
        self.publish_held();
    }

    /// Drops jobs that ended and that nobody read for a while, and saved progress that was read
    /// for jobs adopted before: megabytes in a large fleet.
    pub fn evict_unused(&self, now: Instant) {
        if let Ok(mut known) = self.checkpoints.try_lock() {
            let is_old = |read_at: Instant| {
                now.saturating_duration_since(read_at) >= READ_CHECKPOINTS_AGAIN_AFTER
            };
            known.take_if(|(read_at, _)| is_old(*read_at));
        }
        let mut entries = self.entries.lock().expect("jobs lock");
        let is_kept = |entry: &JobEntry| entry.owned || entry.storing;
        entries.retain(|entry| {
            is_kept(entry) || now.saturating_duration_since(entry.used_at) < KEEP_UNREAD
        });
        let unread = entries.iter().filter(|entry| !is_kept(entry));
        let mut by_use: Vec<(Instant, usize)> = unread
            .map(|entry| (entry.used_at, entry.progress.bytes()))
            .collect();
        by_use.sort_unstable_by(|a, b| b.cmp(a));
        let mut bytes = 0;
        let too_many = by_use.into_iter().find(|(_, of_entry)| {
            bytes += of_entry;
            bytes > MAX_UNREAD_BYTES
        });
        if let Some((unread_since, _)) = too_many {
            entries.retain(|entry| is_kept(entry) || entry.used_at > unread_since);
        }
    }

    /// Where another worker that is heard runs the job, if this one does not.
    pub fn remote_owner(&self, id: &JobId) -> Option<SocketAddr> {
        if self.with_entry(id, |entry| entry.owned) == Some(true) {
            return None;
        }
        let now = Instant::now();
        let workers = self.node.peers.live_workers(now);
        let holder = workers
            .iter()
            .find(|worker| worker.heard && worker.holds(id))?;
        let live = self.node.peers.live_processes(Role::Worker, now);
        let found = live.into_iter().find(|(host, _)| *host == holder.node);
        found.map(|(_, addr)| addr)
    }

    /// Reads results for a caller.
    pub async fn read_results(&self, id: &JobId, read: ResultsQuery) -> ResultsResponse {
        let until = Instant::now() + read.wait;
        loop {
            match self.ensure(id, read.known_parts).await {
                Ok(true) => {}
                Ok(false) => return ResultsResponse::NoSuchJob,
                Err(e) => {
                    log::warn!(job = id, error:% = e; "job not readable for a caller");
                    return ResultsResponse::Unsure;
                }
            }
            let Some((answer, listed)) = self.with_entry(id, |entry| entry.read(read)) else {
                return ResultsResponse::Unsure;
            };
            let now = Instant::now();
            let empty =
                matches!(&answer, ResultsResponse::Results { results, .. } if results.is_empty());
            if !empty || now >= until {
                return answer;
            }
            let pause = (until - now).min(REFRESH_EVERY);
            // A wake-up between the look and this wait costs one pause.
            let _ = tokio::time::timeout(pause, listed.notified()).await;
        }
    }

    /// Reads an item's body for a caller.
    pub async fn read_item_body(&self, id: &JobId, item: &ItemId) -> ItemBodyResponse {
        match self.ensure(id, 0).await {
            Ok(true) => {}
            Ok(false) => return ItemBodyResponse::NoSuchItem,
            Err(e) => {
                log::warn!(job = id, request_id = item, error:% = e; "item not readable for a caller");
                return ItemBodyResponse::Unsure;
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

    /// Brings a job into memory for a reader, with `known_parts` of its results at least;
    /// answers whether it exists.
    async fn ensure(&self, id: &JobId, known_parts: u32) -> Result<bool, JobStoreError> {
        let deadline = Instant::now() + LOAD_TIME;
        let workers = self.node.peers.live_workers(Instant::now());
        let known_parts = known_parts.max(ownership::known_parts(id, &workers));
        let look = self.with_entry(id, |entry| entry.should_look(known_parts, Instant::now()));
        match look {
            Some(true) => {
                self.load_missing_parts(id, deadline).await?;
                return Ok(true);
            }
            Some(false) => return Ok(true),
            None => {}
        }
        match self.store.load_progress(id, deadline).await? {
            Some(progress) => {
                self.insert(progress, false);
                Ok(true)
            }
            None => Ok(false),
        }
    }

    /// Takes every part that was stored since the last look; a caller may have read them
    /// all from another worker.
    async fn load_missing_parts(&self, id: &JobId, deadline: Instant) -> Result<(), JobStoreError> {
        while let Some(number) = self.with_entry(id, |entry| entry.next_part()).flatten() {
            match self.store.load_part(id, number, deadline).await? {
                Some(results) => self.apply_part(id, number, results),
                None => break,
            }
        }
        Ok(())
    }

    fn insert(&self, progress: JobProgress, held: bool) {
        {
            let mut entries = self.entries.lock().expect("jobs lock");
            match position(&entries, &progress.spec.id) {
                Ok(at) => entries[at].refresh(progress, held),
                Err(at) => entries.insert(at, JobEntry::new(progress, held)),
            }
        }
        if held {
            self.publish_held();
            self.wake.notify_one();
        }
    }

    fn publish_held(&self) {
        let now = Instant::now();
        let claims = {
            let entries = self.entries.lock().expect("jobs lock");
            let claims = entries.iter().filter_map(|entry| entry.claim(now));
            claims.collect()
        };
        self.node.set_claims(claims);
        self.node.urgent_heartbeat.notify_one();
    }
}

impl JobEntry {
    fn new(progress: JobProgress, held: bool) -> Self {
        let now = Instant::now();
        Self {
            progress,
            owned: held,
            storing: false,
            closed_at: None,
            cancel: CancellationToken::new(),
            listed: Arc::new(Notify::new()),
            refreshed_at: now,
            used_at: now,
        }
    }

    /// Takes a newer reading of the store, and whether this worker runs the job now.
    fn refresh(&mut self, loaded: JobProgress, held: bool) {
        if self.owned || self.progress.ended {
            return;
        }
        if loaded.parts >= self.progress.parts {
            self.progress = loaded;
        }
        self.owned = held;
        self.used_at = Instant::now();
    }

    /// What this worker tells the others of the job.
    fn claim(&self, now: Instant) -> Option<JobClaim> {
        let standing = if self.owned {
            ClaimStanding::Held
        } else {
            let closed_at = self.closed_at?;
            let recent = now.duration_since(closed_at) < TELL_CLOSED;
            recent.then_some(ClaimStanding::Closed)?
        };
        Some(JobClaim {
            job: self.progress.spec.id.clone(),
            parts: self.progress.parts,
            standing,
        })
    }

    fn read(&mut self, read: ResultsQuery) -> (ResultsResponse, Arc<Notify>) {
        self.used_at = Instant::now();
        let mut bytes = 0;
        let listed = self.progress.listed.iter().skip(read.from);
        let results = listed.take_while(|result| {
            let first = bytes == 0;
            bytes += result.output.len();
            first || bytes <= read.max_bytes
        });
        let answer = ResultsResponse::Results {
            item_count: self.progress.spec.items.len(),
            results: results.cloned().collect(),
        };
        (answer, Arc::clone(&self.listed))
    }

    /// Whether a reader may be missing parts: some are known to be stored, or another
    /// worker runs the job and the last look is a while ago.
    fn should_look(&mut self, known_parts: u32, now: Instant) -> bool {
        let current = self.owned || self.storing || self.progress.is_listed();
        let stale = !current && now.duration_since(self.refreshed_at) >= REFRESH_EVERY;
        if stale {
            self.refreshed_at = now;
        }
        stale || self.progress.parts < known_parts
    }

    /// The number of the next part, unless every result is listed.
    fn next_part(&self) -> Option<u32> {
        (!self.progress.is_listed()).then_some(self.progress.parts)
    }
}

fn position(entries: &[JobEntry], id: &str) -> Result<usize, usize> {
    entries.binary_search_by(|entry| entry.progress.spec.id.as_str().cmp(id))
}
