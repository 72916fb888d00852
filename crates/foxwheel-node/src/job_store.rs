//! Reads and writes batch jobs in the platform's store. A write whose response is lost is
//! repeated until its outcome is known.
//!
//! The store holds four kinds of objects:
//!
//! - jobs as submitted: created once and never changed;
//! - the ledger of accepted jobs: replaced only at the revision at which it was read;
//! - parts of results, numbered from 0: each created once;
//! - checkpoints, the progress of each worker's items: replaced by the process that wrote
//!   them, read by workers that take over a job, and removed some time later.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxwheel_core::ids::{ItemId, JobId};
use foxwheel_core::time;
use foxwheel_platform::store::{EncodedJson, Object, StoreError, Write, WriteOutcome};
use foxwheel_policy::batch::checkpoint::JobCheckpoint;
use foxwheel_policy::batch::item::{ItemResult, ItemSpec};
use foxwheel_policy::batch::job::{JobProgress, JobSpec};
use foxwheel_policy::batch::ledger::{JobStatus, Ledger, LedgerTerm};
use foxwheel_policy::batch::packing;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::chunked_objects::{self, ValueError};
use crate::node::Node;
use crate::store_access::Backoff;
use crate::store_relay;

const JOBS_KIND: &str = "foxwheel-jobs";
const JOB_PARTS_KIND: &str = "foxwheel-job-parts";
const CHECKPOINTS_KIND: &str = "foxwheel-checkpoints";
const RESULTS_KIND: &str = "foxwheel-results";
const LEDGER_KIND: &str = "foxwheel-ledger";
const LEDGER_NAME: &str = "jobs";

/// Share of the store's maximum object size that the encoded payload of one object may use. The
/// rest is left for the object's metadata, and for a store whose own encoding is longer.
const PAYLOAD_SHARE: f64 = 0.8;

/// Time limit for creating a part of results, including retries after lost responses.
const CREATE_PART_TIMEOUT: Duration = Duration::from_secs(6);

/// The first object of a job. Items that do not fit into it are in `more_parts` further
/// objects.
#[derive(Serialize, Deserialize)]
struct JobRecord {
    job: JobSpec,
    more_parts: u32,
}

/// The progress of the jobs of one worker.
#[derive(Serialize, Deserialize)]
struct CheckpointRecord {
    /// Time of the save, since the Unix epoch.
    #[serde(rename = "saved_unix_ms")]
    #[serde(with = "serde_with::As::<serde_with::DurationMilliSeconds<u64>>")]
    saved_unix: Duration,
    jobs: Vec<JobCheckpoint>,
}

/// Outcome of creating a part of results.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartCreation {
    /// The part is stored with the given results.
    Created,
    /// Another process created the part before, with these results.
    AlreadyExists(Vec<ItemResult>),
}

/// Error of storing or reading a job.
#[derive(Debug, thiserror::Error)]
pub enum JobStoreError {
    /// A call to the store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A stored value does not have the format that this version writes.
    #[error("stored {what} is not readable: {source}")]
    Format {
        /// What the value holds.
        what: String,
        /// The error of the decoder.
        source: serde_json::Error,
    },
    /// A value that may be stored in chunks could not be read or written.
    #[error(transparent)]
    Value(#[from] ValueError),
    /// Other processes kept changing the ledger until the time limit of the update.
    #[error("the ledger was changed by others until the time was up")]
    Contended,
}

impl JobStoreError {
    /// Returns the error of the call to the store that failed, if one did.
    pub fn store_error(&self) -> Option<&StoreError> {
        match self {
            Self::Store(e) | Self::Value(ValueError::Store(e)) => Some(e),
            _ => None,
        }
    }
}

/// Access to the batch jobs in the platform's store.
#[derive(Debug)]
pub struct JobStore {
    node: Arc<Node>,
    /// The newest known ledger and its revision. It may be outdated: a write based on it
    /// succeeds only if the revision still matches.
    cached_ledger: Mutex<Option<(u64, Ledger)>>,
    /// The term of the ledger as last read, written or learned from the ledger writer.
    known_term: AtomicU64,
    checkpoint_objects: tokio::sync::Mutex<CheckpointObjects>,
}

/// The objects of this process's checkpoints.
#[derive(Debug, Default)]
struct CheckpointObjects {
    /// Number of checkpoints that were written into new objects, completely or not.
    saves: u64,
    /// Names of the objects that may exist: those of the last complete checkpoint and, if a later
    /// one could not be completed, of that as well.
    names: Vec<String>,
}

impl JobStore {
    /// Creates access to the jobs through the store connection of `node`.
    pub fn new(node: Arc<Node>) -> Self {
        Self {
            node,
            cached_ledger: Mutex::default(),
            known_term: AtomicU64::new(0),
            checkpoint_objects: tokio::sync::Mutex::default(),
        }
    }

    /// Stores a job. Does nothing if it is stored already.
    pub async fn save_job(&self, job: &JobSpec, deadline: Instant) -> Result<(), JobStoreError> {
        let chunks = self.split_items(&job.items);
        for (number, chunk) in chunks.iter().enumerate().skip(1) {
            let spec = encode(&chunk);
            let name = numbered_name(&job.id, number as u32);
            self.create(JOB_PARTS_KIND, &name, spec, deadline).await?;
        }
        let record = JobRecord {
            job: JobSpec {
                items: chunks.first().copied().unwrap_or_default().to_vec(),
                ..job.clone()
            },
            more_parts: chunks.len().saturating_sub(1) as u32,
        };
        self.create(JOBS_KIND, &job.id, encode(&record), deadline)
            .await?;
        Ok(())
    }

    /// Returns a stored job, or `None` if it is not stored or one of its parts is missing.
    pub async fn load_job(
        &self,
        id: &JobId,
        deadline: Instant,
    ) -> Result<Option<JobSpec>, JobStoreError> {
        let Some(record) = self.get(JOBS_KIND, id, deadline).await? else {
            return Ok(None);
        };
        let record: JobRecord = decode("job", record)?;
        let mut job = record.job;
        for number in 1..=record.more_parts {
            let name = numbered_name(id, number);
            let Some(part) = self.get(JOB_PARTS_KIND, &name, deadline).await? else {
                return Ok(None);
            };
            let items: Vec<ItemSpec> = decode("part of a job", part)?;
            job.items.extend(items);
        }
        Ok(Some(job))
    }

    /// Returns a job with the results stored so far, or `None` if the job is not stored.
    pub async fn load_progress(
        &self,
        id: &JobId,
        deadline: Instant,
    ) -> Result<Option<JobProgress>, JobStoreError> {
        let Some(job) = self.load_job(id, deadline).await? else {
            return Ok(None);
        };
        let mut progress = JobProgress::new(job);
        while !progress.is_fully_stored() {
            let number = progress.stored_parts;
            let Some(results) = self.load_part(id, number, deadline).await? else {
                break;
            };
            progress.apply_part(number, results);
        }
        Ok(Some(progress))
    }

    /// Returns the results in part `number` of a job, or `None` if that part does not exist
    /// yet.
    pub async fn load_part(
        &self,
        id: &JobId,
        number: u32,
        deadline: Instant,
    ) -> Result<Option<Vec<ItemResult>>, JobStoreError> {
        let name = numbered_name(id, number);
        match self.get(RESULTS_KIND, &name, deadline).await? {
            Some(part) => Ok(Some(decode("part of results", part)?)),
            None => Ok(None),
        }
    }

    /// Creates part `number` of the results of a job.
    pub async fn create_part(
        &self,
        id: &JobId,
        number: u32,
        results: &[ItemResult],
    ) -> Result<PartCreation, JobStoreError> {
        let deadline = Instant::now() + CREATE_PART_TIMEOUT;
        let name = numbered_name(id, number);
        let existing = self
            .create(RESULTS_KIND, &name, encode(&results), deadline)
            .await?;
        let Some(stored) = existing else {
            return Ok(PartCreation::Created);
        };
        let stored: Vec<ItemResult> = decode("part of results", stored)?;
        if stored == results {
            // An earlier write of this process, whose response was lost.
            Ok(PartCreation::Created)
        } else {
            Ok(PartCreation::AlreadyExists(stored))
        }
    }

    /// Saves the progress of this worker's jobs and returns the number of bytes written.
    ///
    /// This replaces earlier checkpoints of this process once it is complete. Checkpoints of a
    /// previous process on the same host stay, as its jobs may not have been taken over yet. What
    /// does not fit into one object goes into further objects.
    pub async fn save_checkpoints(&self, jobs: &[JobCheckpoint]) -> Result<usize, StoreError> {
        let mut max_bytes = self.max_payload_bytes();
        loop {
            match self.save_within(jobs, max_bytes).await {
                Err(StoreError::TooLarge { .. })
                    if max_bytes > chunked_objects::MIN_OBJECT_BYTES =>
                {
                    max_bytes /= 2;
                    log::warn!(max_bytes; "checkpoint too large for the store; saving it in smaller objects");
                }
                saved => return saved,
            }
        }
    }

    /// Saves a checkpoint in objects of at most `max_bytes`.
    async fn save_within(
        &self,
        jobs: &[JobCheckpoint],
        max_bytes: usize,
    ) -> Result<usize, StoreError> {
        let saved_unix_ms = time::unix_ms();
        let encoded = encode_checkpoints(jobs, max_bytes);
        let groups = packing::split_into_groups(&encoded, max_bytes, |job| job.len() + 1);
        let specs = groups.into_iter().map(|group| {
            let jobs = group.join(",");
            format!("{{\"saved_unix_ms\":{saved_unix_ms},\"jobs\":[{jobs}]}}")
        });
        let specs: Vec<EncodedJson> = specs.collect();
        let bytes = specs.iter().map(EncodedJson::len).sum();
        let mut objects = self.checkpoint_objects.lock().await;
        match (specs.as_slice(), objects.names.as_slice()) {
            ([spec], [name]) => {
                self.replace_or_create(CHECKPOINTS_KIND, name.clone(), spec.clone())
                    .await?;
            }
            _ => self.write_checkpoint(&specs, &mut objects).await?,
        }
        Ok(bytes)
    }

    /// Writes a checkpoint into new objects, and then deletes those of the earlier ones.
    async fn write_checkpoint(
        &self,
        specs: &[EncodedJson],
        objects: &mut CheckpointObjects,
    ) -> Result<(), StoreError> {
        let process = format!("{}.{}", self.node.settings.host, self.node.incarnation);
        let earlier = objects.names.len();
        let save = objects.saves;
        objects.saves += 1;
        for (number, spec) in specs.iter().enumerate() {
            let name = format!("{process}-{save}-{number}");
            // After an error the object may exist all the same.
            objects.names.push(name.clone());
            let create = Write::Create {
                kind: CHECKPOINTS_KIND.to_owned(),
                name,
                spec: spec.clone(),
            };
            store_relay::write(&self.node, &create).await?;
        }
        for name in objects.names.drain(..earlier) {
            let delete = Write::Delete {
                kind: CHECKPOINTS_KIND.to_owned(),
                name: name.clone(),
                revision: None,
            };
            if let Err(e) = store_relay::write(&self.node, &delete).await {
                log::info!(name, error:% = e; "could not delete an earlier checkpoint; it expires");
            }
        }
        Ok(())
    }

    /// Returns the progress of all jobs as their workers last saved it. Objects that cannot
    /// be decoded are skipped.
    pub async fn load_checkpoints(&self) -> Result<Vec<JobCheckpoint>, StoreError> {
        let listing = self.node.store.list(CHECKPOINTS_KIND).await?;
        let mut saved = Vec::new();
        for object in listing.objects {
            match decode::<CheckpointRecord>("checkpoint", object.spec) {
                Ok(record) => saved.extend(record.jobs),
                Err(e) => {
                    log::warn!(name = object.name, error:% = e; "cannot decode a checkpoint; skipping it")
                }
            }
        }
        Ok(saved)
    }

    /// Removes checkpoints that were saved before `before_unix` (since the Unix epoch) and
    /// returns how many. Their jobs have ended or been taken over since.
    pub async fn prune_checkpoints(&self, before_unix: Duration) -> Result<usize, StoreError> {
        let listing = self.node.store.list(CHECKPOINTS_KIND).await?;
        let is_expired = |object: &Object| {
            let record = decode::<CheckpointRecord>("checkpoint", object.spec.clone());
            record.map_or(true, |record| record.saved_unix < before_unix)
        };
        let expired: Vec<Object> = listing.objects.into_iter().filter(is_expired).collect();
        for object in &expired {
            let delete = Write::Delete {
                kind: CHECKPOINTS_KIND.to_owned(),
                name: object.name.clone(),
                revision: Some(object.revision),
            };
            self.node.store.write(&delete).await?;
        }
        Ok(expired.len())
    }

    /// Writes an object unconditionally, replacing any existing one.
    async fn replace_or_create(
        &self,
        kind: &str,
        name: String,
        spec: EncodedJson,
    ) -> Result<(), StoreError> {
        let replace = Write::Replace {
            kind: kind.to_owned(),
            name: name.clone(),
            spec: spec.clone(),
            revision: None,
        };
        if let WriteOutcome::Missing = store_relay::write(&self.node, &replace).await? {
            let create = Write::Create {
                kind: kind.to_owned(),
                name,
                spec,
            };
            store_relay::write(&self.node, &create).await?;
        }
        Ok(())
    }

    /// Returns the maximum size of one object's encoded payload, in bytes.
    pub fn max_payload_bytes(&self) -> usize {
        (self.node.settings.store_value_bytes as f64 * PAYLOAD_SHARE) as usize
    }

    /// Reads the current ledger from the store.
    pub async fn read_ledger(&self, deadline: Instant) -> Result<Ledger, JobStoreError> {
        Ok(self.fetch_ledger(deadline).await?.1)
    }

    /// Applies `change` to the ledger and returns the value that `change` returns.
    ///
    /// `change` is called again on a newer ledger whenever the write is rejected because
    /// another process changed the ledger. If `change` leaves the ledger unchanged, nothing is
    /// written, but it has then seen a ledger that was read during this call. After an error
    /// the change may still take effect.
    pub async fn update_ledger<T>(
        &self,
        deadline: Instant,
        mut change: impl FnMut(&mut Ledger) -> T,
    ) -> Result<T, JobStoreError> {
        let mut candidate = self.cached_ledger.lock().expect("ledger lock").clone();
        let mut is_fresh = false;
        let mut backoff = Backoff::default();
        loop {
            let (revision, ledger) = match candidate.take() {
                Some(candidate) => candidate,
                None => {
                    is_fresh = true;
                    self.fetch_ledger(deadline).await?
                }
            };
            let mut changed = ledger.clone();
            let result = change(&mut changed);
            if changed == ledger {
                if is_fresh {
                    return Ok(result);
                }
                continue;
            }
            match self.write_ledger(revision, &changed).await {
                Ok(WriteOutcome::Done(object)) => {
                    self.cache_ledger(object.revision, changed);
                    return Ok(result);
                }
                Ok(WriteOutcome::Conflict(Some(object))) if !object.spec.is_null() => {
                    candidate = Some((object.revision, decode("ledger", object.spec)?));
                    is_fresh = true;
                }
                Ok(WriteOutcome::Conflict(_) | WriteOutcome::Missing) => {}
                Err(e) if !e.may_succeed_later() || Instant::now() >= deadline => {
                    return Err(e.into())
                }
                // The write may have been done; the next read of the ledger shows it.
                Err(_) => {
                    self.node
                        .store
                        .wait_before_retry(backoff.next_delay())
                        .await
                }
            }
            if Instant::now() >= deadline {
                return Err(JobStoreError::Contended);
            }
        }
    }

    async fn write_ledger(
        &self,
        revision: u64,
        ledger: &Ledger,
    ) -> Result<WriteOutcome, StoreError> {
        let spec = encode(ledger);
        let kind = LEDGER_KIND.to_owned();
        let name = LEDGER_NAME.to_owned();
        let write = match revision {
            NO_LEDGER => Write::Create { kind, name, spec },
            revision => Write::Replace {
                kind,
                name,
                spec,
                revision: Some(revision),
            },
        };
        store_relay::write(&self.node, &write).await
    }

    async fn fetch_ledger(&self, deadline: Instant) -> Result<(u64, Ledger), JobStoreError> {
        let object =
            store_relay::get_with_retries(&self.node, LEDGER_KIND, LEDGER_NAME, deadline).await?;
        let fetched = match object {
            Some(object) => (object.revision, decode("ledger", object.spec)?),
            None => (NO_LEDGER, Ledger::default()),
        };
        self.cache_ledger(fetched.0, fetched.1.clone());
        Ok(fetched)
    }

    fn cache_ledger(&self, revision: u64, ledger: Ledger) {
        let mut cached = self.cached_ledger.lock().expect("ledger lock");
        if cached.as_ref().is_none_or(|(cached, _)| *cached < revision) {
            self.learn_term(ledger.term);
            *cached = Some((revision, ledger));
        }
    }

    /// Returns the status of a job in the newest ledger that this process knows.
    pub fn known_status(&self, id: &JobId) -> JobStatus {
        let cached = self.cached_ledger.lock().expect("ledger lock");
        cached
            .as_ref()
            .map_or(JobStatus::Unknown, |(_, ledger)| ledger.job_status(id))
    }

    /// Returns the newest term of the ledger that this process knows; 0 if it knows none.
    pub fn known_term(&self) -> LedgerTerm {
        self.known_term.load(Ordering::Relaxed)
    }

    /// Records the current term of the ledger.
    pub fn learn_term(&self, term: LedgerTerm) {
        self.known_term.store(term, Ordering::Relaxed);
    }

    async fn create(
        &self,
        kind: &str,
        name: &str,
        encoded: EncodedJson,
        deadline: Instant,
    ) -> Result<Option<Value>, JobStoreError> {
        let max_bytes = self.max_payload_bytes();
        let created =
            chunked_objects::create(&self.node, kind, name, encoded, max_bytes, deadline).await;
        Ok(created?)
    }

    async fn get(
        &self,
        kind: &str,
        name: &str,
        deadline: Instant,
    ) -> Result<Option<Value>, JobStoreError> {
        Ok(chunked_objects::get(&self.node, kind, name, deadline).await?)
    }

    /// Splits items into groups that fit into one object each, if a single item does.
    fn split_items<'a>(&self, items: &'a [ItemSpec]) -> Vec<&'a [ItemSpec]> {
        packing::split_into_groups(items, self.max_payload_bytes(), encoded_bytes)
    }
}

/// Encodes checkpoints so that each fits into `max_bytes`. Items that are larger on their own are
/// left out: they start over if the job changes its owner.
fn encode_checkpoints(jobs: &[JobCheckpoint], max_bytes: usize) -> Vec<EncodedJson> {
    let mut encoded = Vec::new();
    for job in jobs {
        let whole = encode(job);
        if whole.len() <= max_bytes {
            encoded.push(whole);
            continue;
        }
        for part in job.clone().split(max_bytes, encoded_bytes) {
            let text = encode(&part);
            match text.len() <= max_bytes {
                true => encoded.push(text),
                false => {
                    let items: Vec<&ItemId> = part.items.iter().map(|item| &item.id).collect();
                    log::warn!(job = job.job, items:?, bytes = text.len(); "progress too large to be saved");
                }
            }
        }
    }
    encoded
}

/// Revision of a ledger that does not exist yet. The store counts revisions from 1.
const NO_LEDGER: u64 = 0;

fn numbered_name(id: &str, number: u32) -> String {
    format!("{id}-{number}")
}

fn encode<T: Serialize + ?Sized>(value: &T) -> EncodedJson {
    serde_json::to_string(value).expect("values of strings, numbers and lists always encode")
}

/// Returns the size of a value within a stored list, in bytes: that of its JSON text and a separator.
pub fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    encode(value).len() + 1
}

fn decode<T: for<'de> Deserialize<'de>>(what: &str, value: Value) -> Result<T, JobStoreError> {
    serde_json::from_value(value).map_err(|source| JobStoreError::Format {
        what: what.to_owned(),
        source,
    })
}
