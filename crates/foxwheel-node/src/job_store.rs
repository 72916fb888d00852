//! Reads and writes batch jobs in the platform's store. A write whose response is lost is
//! repeated until its outcome is known.
//!
//! The store holds four kinds of values:
//!
//! - jobs as submitted: created once and never changed;
//! - the ledger of accepted jobs: replaced only at the revision at which it was read;
//! - parts of results, numbered from 0: each created once;
//! - checkpoints, the progress of each worker's items: replaced by the process that wrote
//!   them, read by workers that take over a job, and removed some time later.
//!
//! Jobs and parts of results may have any size ([`crate::chunked_objects`]).

mod checkpoints;
mod ledger;

use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxwheel_core::ids::JobId;
use foxwheel_platform::store::{EncodedJson, StoreError};
use foxwheel_policy::batch::item::{ItemResult, ItemSpec};
use foxwheel_policy::batch::job::{JobProgress, JobSpec};
use foxwheel_policy::batch::ledger::Ledger;
use foxwheel_policy::batch::packing;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::chunked_objects::{self, ValueError};
use crate::job_store::checkpoints::CheckpointObjects;
use crate::node::Node;

const JOBS_KIND: &str = "foxwheel-jobs";
const JOB_PARTS_KIND: &str = "foxwheel-job-parts";
const RESULTS_KIND: &str = "foxwheel-results";

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
    /// Other jobs are being loaded.
    #[error("other jobs are being loaded")]
    Busy,
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
        let record = encode(&JobRecord {
            job: JobSpec {
                id: job.id.clone(),
                host: job.host.clone(),
                path: job.path.clone(),
                route: job.route.clone(),
                submitted_unix: job.submitted_unix,
                items: chunks.first().copied().unwrap_or_default().to_vec(),
            },
            more_parts: chunks.len().saturating_sub(1) as u32,
        });
        self.create(JOBS_KIND, &job.id, record, deadline).await?;
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

    /// Returns the maximum size of one object's encoded payload, in bytes.
    pub fn max_payload_bytes(&self) -> usize {
        (self.node.settings.store_value_bytes as f64 * PAYLOAD_SHARE) as usize
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
