//! Saves checkpoints and reads them.
//!
//! A checkpoint that does not fit into one object is written under new names, so that the one before
//! stays complete until then.

use std::time::Duration;

use foxwheel_core::error::Origin;
use foxwheel_core::ids::ItemId;
use foxwheel_core::time;
use foxwheel_platform::store::{EncodedJson, Object, StoreError, Write, WriteOutcome};
use foxwheel_policy::batch::checkpoint::JobCheckpoint;
use foxwheel_policy::batch::packing;
use serde::{Deserialize, Serialize};

use crate::chunked_objects;
use crate::job_store::{self, JobStore};
use crate::store_relay;

const CHECKPOINTS_KIND: &str = "foxwheel-checkpoints";

/// Maximum number of tries to write an object whose revision is not the expected one.
const MAX_WRITE_TRIES: u32 = 4;

/// The progress of the jobs of one worker.
#[derive(Serialize, Deserialize)]
struct CheckpointRecord {
    /// Time of the save, since the Unix epoch.
    #[serde(rename = "saved_unix_ms")]
    #[serde(with = "serde_with::As::<serde_with::DurationMilliSeconds<u64>>")]
    saved_unix: Duration,
    jobs: Vec<JobCheckpoint>,
}

/// The objects of this process's checkpoints.
#[derive(Debug, Default)]
pub(super) struct CheckpointObjects {
    /// Number of checkpoints that were written into new objects, completely or not.
    saves: u64,
    /// The objects that may exist: those of the last complete checkpoint and, if a later one could
    /// not be completed, of that as well.
    known: Vec<CheckpointObject>,
}

/// An object of a checkpoint.
#[derive(Debug)]
struct CheckpointObject {
    name: String,
    /// The revision of the last write; `None` before the first one, or if it is not known.
    revision: Option<u64>,
}

impl JobStore {
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
        match (specs.as_slice(), objects.known.as_mut_slice()) {
            ([spec], [object]) => self.write_object(object, spec).await?,
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
        let earlier = objects.known.len();
        let save = objects.saves;
        objects.saves += 1;
        for (number, spec) in specs.iter().enumerate() {
            let mut object = CheckpointObject {
                name: format!("{process}-{save}-{number}"),
                revision: None,
            };
            let written = self.write_object(&mut object, spec).await;
            // After an error the object may exist all the same.
            objects.known.push(object);
            written?;
        }
        for object in objects.known.drain(..earlier) {
            let delete = Write::Delete {
                kind: CHECKPOINTS_KIND.to_owned(),
                name: object.name.clone(),
                revision: None,
            };
            if let Err(e) = store_relay::write(&self.node, &delete).await {
                log::info!(name = object.name, error:% = e; "could not delete an earlier checkpoint; it expires");
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
            match job_store::decode::<CheckpointRecord>("checkpoint", object.spec) {
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
            let record = job_store::decode::<CheckpointRecord>("checkpoint", object.spec.clone());
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

    /// Creates an object or replaces it at its revision, so that a write that arrives late does not
    /// replace a newer one.
    async fn write_object(
        &self,
        object: &mut CheckpointObject,
        spec: &EncodedJson,
    ) -> Result<(), StoreError> {
        for _ in 0..MAX_WRITE_TRIES {
            let (kind, name) = (CHECKPOINTS_KIND.to_owned(), object.name.clone());
            let spec = spec.clone();
            let write = match object.revision {
                None => Write::Create { kind, name, spec },
                revision => Write::Replace {
                    kind,
                    name,
                    spec,
                    revision,
                },
            };
            match store_relay::write(&self.node, &write).await? {
                WriteOutcome::Done(written) => {
                    object.revision = Some(written.revision);
                    return Ok(());
                }
                // An earlier write whose response was lost has been done, or it expired.
                WriteOutcome::Conflict(existing) => {
                    object.revision = existing.map(|existing| existing.revision);
                }
                WriteOutcome::Missing => object.revision = None,
            }
        }
        Err(StoreError::NotDone {
            origin: Origin::new("write checkpoint", object.name.clone()),
            reason: "its revision changed at each try".to_owned(),
        })
    }
}

/// Encodes checkpoints so that each fits into `max_bytes`. Items that are larger on their own are
/// left out: they start over if the job changes its owner.
fn encode_checkpoints(jobs: &[JobCheckpoint], max_bytes: usize) -> Vec<EncodedJson> {
    let mut encoded = Vec::new();
    for job in jobs {
        let whole = job_store::encode(job);
        if whole.len() <= max_bytes {
            encoded.push(whole);
            continue;
        }
        for part in job.clone().split(max_bytes, job_store::encoded_bytes) {
            let text = job_store::encode(&part);
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
