//! Batch jobs in the platform's store: what is written where, and how writes whose answers
//! are lost are settled.
//!
//! - a job as submitted: created once, before it stands in the ledger;
//! - the ledger of accepted jobs: replaced only at the revision it was read at;
//! - parts of results, numbered from 0: each created once;
//! - how far each worker's items got: replaced by the process that wrote it, read by whoever
//!   adopts a job, and removed long after.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxwheel_core::ids::JobId;
use foxwheel_core::time;
use foxwheel_platform::store::{EncodedJson, Object, StoreError, Write, WriteOutcome};
use foxwheel_policy::batch::checkpoint::JobCheckpoint;
use foxwheel_policy::batch::item::{ItemResult, ItemSpec};
use foxwheel_policy::batch::job::{JobProgress, JobSpec};
use foxwheel_policy::batch::ledger::Ledger;
use serde::{Deserialize, Serialize};

use crate::node::Node;
use crate::store_access::Backoff;
use crate::store_relay;

const JOBS_KIND: &str = "foxwheel-jobs";
const JOB_PARTS_KIND: &str = "foxwheel-job-parts";
const CHECKPOINTS_KIND: &str = "foxwheel-checkpoints";
const RESULTS_KIND: &str = "foxwheel-results";
const LEDGER_KIND: &str = "foxwheel-ledger";
const LEDGER_NAME: &str = "jobs";

/// Share of the largest value that one object's payload may take; the rest is left for
/// field names and escapes.
const VALUE_SHARE: f64 = 0.8;

/// Longest time to settle one write whose answer was lost.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// A job's first object; the items beyond `parts` follow in objects of their own.
#[derive(Serialize, Deserialize)]
struct JobRecord {
    job: JobSpec,
    more_parts: u32,
}

/// How far the jobs of one worker got.
#[derive(Serialize, Deserialize)]
struct CheckpointRecord {
    /// When it was saved, since the Unix epoch.
    #[serde(rename = "saved_unix_ms")]
    #[serde(with = "serde_with::As::<serde_with::DurationMilliSeconds<u64>>")]
    saved_unix: Duration,
    jobs: Vec<JobCheckpoint>,
}

/// What became of creating a part of results.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartCreated {
    /// It stands as given.
    Done,
    /// Another process created it with these results.
    Taken(Vec<ItemResult>),
}

/// Why a job could not be stored or read.
#[derive(Debug, thiserror::Error)]
pub enum JobStoreError {
    /// The store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A stored value is not what this version writes.
    #[error("stored {what} is not readable: {source}")]
    Format {
        /// Which value.
        what: String,
        /// The decoder's error.
        source: serde_json::Error,
    },
    /// One item alone is larger than a value may be.
    #[error("item '{item}' is larger than the store's values may be")]
    ItemTooLarge {
        /// The item's id.
        item: String,
    },
    /// The ledger kept changing under this process's updates.
    #[error("the ledger was changed by others until the time was up")]
    Contended,
}

/// Jobs in the platform's store.
#[derive(Debug)]
pub struct JobStore {
    node: Arc<Node>,
    /// The newest ledger seen and its revision; a hint that an update checks.
    cached: Mutex<Option<(u64, Ledger)>>,
}

impl JobStore {
    /// Access to the jobs through `node`'s store.
    pub fn new(node: Arc<Node>) -> Self {
        Self {
            node,
            cached: Mutex::default(),
        }
    }

    /// Stores a job unless it is stored already.
    pub async fn save_job(&self, job: &JobSpec, deadline: Instant) -> Result<(), JobStoreError> {
        let chunks = self.split_items(&job.items)?;
        for (number, chunk) in chunks.iter().enumerate().skip(1) {
            let spec = encode(&chunk);
            let name = numbered(&job.id, number as u32);
            self.create(JOB_PARTS_KIND, name, spec, deadline).await?;
        }
        let record = JobRecord {
            job: JobSpec {
                items: chunks[0].to_vec(),
                ..job.clone()
            },
            more_parts: chunks.len() as u32 - 1,
        };
        self.create(JOBS_KIND, job.id.clone(), encode(&record), deadline)
            .await?;
        Ok(())
    }

    /// A stored job, or none.
    pub async fn load_job(
        &self,
        id: &JobId,
        deadline: Instant,
    ) -> Result<Option<JobSpec>, JobStoreError> {
        let Some(object) = self.get(JOBS_KIND, id, deadline).await? else {
            return Ok(None);
        };
        let record: JobRecord = decode("job", object.spec)?;
        let mut job = record.job;
        for number in 1..=record.more_parts {
            let name = numbered(id, number);
            let Some(part) = self.get(JOB_PARTS_KIND, &name, deadline).await? else {
                return Ok(None);
            };
            let items: Vec<ItemSpec> = decode("part of a job", part.spec)?;
            job.items.extend(items);
        }
        Ok(Some(job))
    }

    /// A stored job with the results stored so far, or none.
    pub async fn load_progress(
        &self,
        id: &JobId,
        deadline: Instant,
    ) -> Result<Option<JobProgress>, JobStoreError> {
        let Some(job) = self.load_job(id, deadline).await? else {
            return Ok(None);
        };
        let mut progress = JobProgress::new(job);
        while !progress.is_listed() {
            let number = progress.parts;
            let Some(results) = self.load_part(id, number, deadline).await? else {
                break;
            };
            progress.take_part(number, results);
        }
        Ok(Some(progress))
    }

    /// The results of part `number`, or none if it was not created yet.
    pub async fn load_part(
        &self,
        id: &JobId,
        number: u32,
        deadline: Instant,
    ) -> Result<Option<Vec<ItemResult>>, JobStoreError> {
        let name = numbered(id, number);
        match self.get(RESULTS_KIND, &name, deadline).await? {
            Some(object) => Ok(Some(decode("part of results", object.spec)?)),
            None => Ok(None),
        }
    }

    /// Creates part `number` of a job's results.
    pub async fn create_part(
        &self,
        id: &JobId,
        number: u32,
        results: &[ItemResult],
    ) -> Result<PartCreated, JobStoreError> {
        let deadline = Instant::now() + SETTLE_TIME;
        let name = numbered(id, number);
        let existing = self
            .create(RESULTS_KIND, name, encode(&results), deadline)
            .await?;
        let Some(object) = existing else {
            return Ok(PartCreated::Done);
        };
        let stored: Vec<ItemResult> = decode("part of results", object.spec)?;
        if stored == results {
            // This process's own write, whose answer was lost.
            Ok(PartCreated::Done)
        } else {
            Ok(PartCreated::Taken(stored))
        }
    }

    /// Saves how far the jobs of this worker got, in place of what this process saved before;
    /// answers the bytes. What the host's process before it saved stays, as its jobs may not
    /// be adopted yet. Jobs that do not fit into one object go into further ones.
    pub async fn save_checkpoints(&self, jobs: &[JobCheckpoint]) -> Result<usize, StoreError> {
        let encoded: Vec<EncodedJson> = jobs.iter().map(encode).collect();
        let process = format!("{}.{}", self.node.settings.host, self.node.incarnation);
        let saved_unix_ms = time::unix_ms();
        let mut bytes = 0;
        for (number, group) in groups(&encoded, self.part_bytes()).into_iter().enumerate() {
            let name = numbered(&process, number as u32);
            let jobs = group.join(",");
            let spec = format!("{{\"saved_unix_ms\":{saved_unix_ms},\"jobs\":[{jobs}]}}");
            bytes += spec.len();
            self.put(CHECKPOINTS_KIND, name, spec).await?;
        }
        Ok(bytes)
    }

    /// How far jobs got, as their workers last saved it. An object of another writer is
    /// passed over.
    pub async fn load_checkpoints(&self) -> Result<Vec<JobCheckpoint>, StoreError> {
        let listing = self.node.store.list(CHECKPOINTS_KIND).await?;
        let mut saved = Vec::new();
        for object in listing.objects {
            match decode::<CheckpointRecord>("checkpoint", object.spec) {
                Ok(record) => saved.extend(record.jobs),
                Err(e) => log::warn!(name = object.name, error:% = e; "checkpoint passed over"),
            }
        }
        Ok(saved)
    }

    /// Removes checkpoints that were saved before `before_unix`: their jobs ended or were
    /// adopted since. Answers how many.
    pub async fn prune_checkpoints(&self, before_unix: Duration) -> Result<usize, StoreError> {
        let listing = self.node.store.list(CHECKPOINTS_KIND).await?;
        let is_old = |object: &Object| {
            let record = decode::<CheckpointRecord>("checkpoint", object.spec.clone());
            record.map_or(true, |record| record.saved_unix < before_unix)
        };
        let old: Vec<Object> = listing.objects.into_iter().filter(is_old).collect();
        for object in &old {
            let delete = Write::Delete {
                kind: CHECKPOINTS_KIND.to_owned(),
                name: object.name.clone(),
                revision: Some(object.revision),
            };
            self.node.store.write(&delete).await?;
        }
        Ok(old.len())
    }

    /// Writes an object in place of whatever stands there.
    async fn put(&self, kind: &str, name: String, spec: EncodedJson) -> Result<(), StoreError> {
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

    /// Most bytes of results in one part.
    pub fn part_bytes(&self) -> usize {
        (self.node.settings.store_value_bytes as f64 * VALUE_SHARE) as usize
    }

    /// The ledger as it is now.
    pub async fn read_ledger(&self, deadline: Instant) -> Result<Ledger, JobStoreError> {
        Ok(self.fresh_ledger(deadline).await?.1)
    }

    /// Changes the ledger: `change` alters it and answers something, and is asked again
    /// whenever the ledger turns out to be another one. A ledger that `change` leaves as it
    /// is was read within this call. An error means that the change may come into force.
    pub async fn update_ledger<T>(
        &self,
        deadline: Instant,
        mut change: impl FnMut(&mut Ledger) -> T,
    ) -> Result<T, JobStoreError> {
        let mut known = self.cached.lock().expect("ledger lock").clone();
        let mut fresh = false;
        let mut backoff = Backoff::default();
        loop {
            let (revision, ledger) = match known.take() {
                Some(known) => known,
                None => {
                    fresh = true;
                    self.fresh_ledger(deadline).await?
                }
            };
            let mut changed = ledger.clone();
            let answer = change(&mut changed);
            if changed == ledger {
                if fresh {
                    return Ok(answer);
                }
                continue;
            }
            match self.put_ledger(revision, &changed).await {
                Ok(WriteOutcome::Done(object)) => {
                    self.cache(object.revision, changed);
                    return Ok(answer);
                }
                Ok(WriteOutcome::Conflict(Some(object))) if !object.spec.is_null() => {
                    known = Some((object.revision, decode("ledger", object.spec)?));
                    fresh = true;
                }
                Ok(WriteOutcome::Conflict(_) | WriteOutcome::Missing) => {}
                Err(e) if Instant::now() >= deadline => return Err(e.into()),
                // Done or not, the next look at the ledger tells.
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

    async fn put_ledger(&self, revision: u64, ledger: &Ledger) -> Result<WriteOutcome, StoreError> {
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

    async fn fresh_ledger(&self, deadline: Instant) -> Result<(u64, Ledger), JobStoreError> {
        let object = self.get(LEDGER_KIND, LEDGER_NAME, deadline).await?;
        let known = match object {
            Some(object) => (object.revision, decode("ledger", object.spec)?),
            None => (NO_LEDGER, Ledger::default()),
        };
        self.cache(known.0, known.1.clone());
        Ok(known)
    }

    fn cache(&self, revision: u64, ledger: Ledger) {
        let mut cached = self.cached.lock().expect("ledger lock");
        if cached.as_ref().is_none_or(|(known, _)| *known < revision) {
            *cached = Some((revision, ledger));
        }
    }

    /// Creates an object, settling lost answers. Answers the object that stands there if
    /// it was not created by the last try.
    async fn create(
        &self,
        kind: &str,
        name: String,
        spec: EncodedJson,
        deadline: Instant,
    ) -> Result<Option<Object>, StoreError> {
        let write = Write::Create {
            kind: kind.to_owned(),
            name: name.clone(),
            spec,
        };
        let mut backoff = Backoff::default();
        // An earlier try whose answer was lost may be done late.
        let mut perhaps_done = None;
        loop {
            match store_relay::write(&self.node, &write).await {
                Ok(WriteOutcome::Done(_)) => return Ok(None),
                Ok(WriteOutcome::Conflict(Some(object))) if !object.spec.is_null() => {
                    return Ok(Some(object))
                }
                Ok(WriteOutcome::Conflict(_) | WriteOutcome::Missing) => {
                    if let Some(object) = self.get(kind, &name, deadline).await? {
                        return Ok(Some(object));
                    }
                }
                Err(e) if Instant::now() >= deadline => return Err(perhaps_done.unwrap_or(e)),
                // A write that was done after all is met as a conflict.
                Err(e) => {
                    if !e.is_not_done() {
                        perhaps_done = Some(e);
                    }
                    self.node
                        .store
                        .wait_before_retry(backoff.next_delay())
                        .await;
                }
            }
        }
    }

    async fn get(
        &self,
        kind: &str,
        name: &str,
        deadline: Instant,
    ) -> Result<Option<Object>, StoreError> {
        store_relay::get_with_retries(&self.node, kind, name, deadline).await
    }

    /// Splits items into chunks that fit into one value each; at least one chunk.
    pub fn split_items<'a>(
        &self,
        items: &'a [ItemSpec],
    ) -> Result<Vec<&'a [ItemSpec]>, JobStoreError> {
        let limit = self.part_bytes();
        let mut chunks = Vec::new();
        let mut start = 0;
        let mut bytes = 0;
        for (at, item) in items.iter().enumerate() {
            let size = encode(item).len();
            if size > limit {
                return Err(JobStoreError::ItemTooLarge {
                    item: item.id.clone(),
                });
            }
            if bytes + size > limit {
                chunks.push(&items[start..at]);
                start = at;
                bytes = 0;
            }
            bytes += size;
        }
        chunks.push(&items[start..]);
        Ok(chunks)
    }
}

/// Groups of values that fit into `max_bytes` each; a value that does not fit alone is left
/// out.
fn groups(values: &[EncodedJson], max_bytes: usize) -> Vec<Vec<&str>> {
    let mut groups: Vec<Vec<&str>> = Vec::new();
    let mut bytes = max_bytes;
    for value in values.iter().filter(|value| value.len() <= max_bytes) {
        if bytes + value.len() > max_bytes {
            groups.push(Vec::new());
            bytes = 0;
        }
        bytes += value.len();
        groups.last_mut().expect("pushed above").push(value);
    }
    groups
}

/// Stands for the revision of a ledger that does not exist yet; the store counts from 1.
const NO_LEDGER: u64 = 0;

fn numbered(id: &str, number: u32) -> String {
    format!("{id}-{number}")
}

fn encode<T: Serialize + ?Sized>(value: &T) -> EncodedJson {
    serde_json::to_string(value).expect("values of strings, numbers and lists always encode")
}

fn decode<T: for<'de> Deserialize<'de>>(
    what: &str,
    value: serde_json::Value,
) -> Result<T, JobStoreError> {
    serde_json::from_value(value).map_err(|source| JobStoreError::Format {
        what: what.to_owned(),
        source,
    })
}
