//! The batch dispatch controller: leases free chunks of running jobs and runs their items.
//!
//! Every gateway runs one. It scans running jobs (earliest deadline first) for chunks
//! with pending items whose lease is free or has run out, takes the lease with a
//! conditional write, sends the pending items to agents as batch work, and commits results
//! with conditional writes that also renew the lease. A write that finds another version
//! means the lease was lost: the holder stops, and its uncommitted results are dropped, so
//! every item's result is recorded exactly once. A reply lost after a write took effect is
//! recognised by reading the chunk back and finding this holding's nonce and commit number.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_web::http::{header::HeaderMap, Method, StatusCode};
use bytes::Bytes;
use futures::StreamExt;
use tokio_util::sync::CancellationToken;

use foxwheel_core::declarations::PriorityClass;
use foxwheel_core::http;
use foxwheel_core::ids::{HostId, Version};
use foxwheel_core::protocol;
use foxwheel_core::{keys, time};
use foxwheel_store::client::{StoreClient, StoreError};
use foxwheel_store::reflector::Reflector;

use crate::batch::jobs::{ChunkLease, ChunkRecord, ItemState, JobRecord, JobState};
use crate::hosts::{HostTable, InFlight};
use crate::settings::GatewaySettings;

/// Tries of one item before it is failed for good.
pub const MAX_ITEM_ATTEMPTS: u32 = 5;
/// Largest answer read for one item, in bytes.
const MAX_ITEM_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// What the controller needs.
#[derive(Clone)]
pub struct Dispatcher {
    settings: GatewaySettings,
    store: StoreClient,
    http: awc::Client,
    hosts: HostTable,
    jobs: Reflector,
    /// Chunk keys this gateway works on now, sorted.
    active: Rc<RefCell<Vec<String>>>,
}

/// How one try of an item ended.
#[derive(Debug)]
enum ItemOutcome {
    Done(serde_json::Value),
    /// The backend refused it for good (a 4xx other than 429).
    Failed(String),
    /// Worth another try later.
    Retry,
}

impl Dispatcher {
    /// A dispatcher for the gateway with `settings`.
    pub fn new(settings: GatewaySettings, hosts: HostTable) -> Self {
        Self {
            store: StoreClient::new(&settings.store_url),
            http: awc::Client::builder().disable_timeout().finish(),
            settings,
            hosts,
            jobs: Reflector::new(keys::JOBS_PREFIX),
            active: Rc::default(),
        }
    }

    /// Runs until `cancel` fires; chunks in progress are committed and released first.
    pub async fn run(self, cancel: CancellationToken) {
        actix_web::rt::spawn(self.jobs.clone().run(self.store.clone(), cancel.clone()));
        let poll = Duration::from_millis(self.settings.dispatch_poll_ms);
        while !cancel.is_cancelled() {
            if let Err(e) = self.scan(&cancel).await {
                log::debug!("dispatch scan: {e}");
            }
            tokio::select! {
                _ = cancel.cancelled() => {}
                _ = tokio::time::sleep(poll) => {}
            }
        }
    }

    fn free_slots(&self) -> usize {
        self.settings
            .batch_chunks_in_flight
            .saturating_sub(self.active.borrow().len())
    }

    fn running_jobs(&self) -> Vec<JobRecord> {
        let mut jobs: Vec<JobRecord> = self.jobs.read(|s| {
            s.objects
                .values()
                .filter_map(|(v, _)| serde_json::from_value::<JobRecord>(v.clone()).ok())
                .filter(|j| j.state == JobState::Running)
                .collect()
        });
        jobs.sort_by_key(|j| (j.deadline_ms, j.created_ms));
        jobs
    }

    fn job_state(&self, id: &str) -> Option<JobState> {
        self.jobs.read(|s| {
            s.objects
                .get(&keys::job(id))
                .and_then(|(v, _)| serde_json::from_value::<JobRecord>(v.clone()).ok())
                .map(|j| j.state)
        })
    }

    async fn scan(&self, cancel: &CancellationToken) -> Result<(), StoreError> {
        for job in self.running_jobs() {
            if self.free_slots() == 0 {
                return Ok(());
            }
            let listed = self.store.list(&keys::chunks_of(&job.id)).await?;
            let now = time::unix_ms();
            let mut all_final = listed.objects.len() as u32 == job.chunk_count;
            for object in listed.objects {
                let Ok(chunk) = serde_json::from_value::<ChunkRecord>(object.value) else {
                    continue;
                };
                if !chunk.has_pending() {
                    continue;
                }
                all_final = false;
                let key = object.key;
                if self.free_slots() == 0
                    || !chunk.is_free(now)
                    || self.active.borrow().binary_search(&key).is_ok()
                {
                    continue;
                }
                if let Some((chunk, version)) = self.lease(&key, chunk, object.version).await {
                    self.start_chunk(key, chunk, version, job.deployment.clone(), cancel.clone());
                }
            }
            if all_final {
                self.complete_job(&job.id).await;
            }
        }
        Ok(())
    }

    async fn lease(
        &self,
        key: &str,
        mut chunk: ChunkRecord,
        version: Version,
    ) -> Option<(ChunkRecord, Version)> {
        chunk.lease = Some(ChunkLease {
            holder: self.settings.name.clone(),
            nonce: rand::random(),
            commit_seq: 0,
            expires_ms: time::unix_ms() + self.settings.chunk_lease_ms,
        });
        match self.write_chunk(key, &chunk, version).await {
            Ok(version) => Some((chunk, version)),
            Err(_) => None,
        }
    }

    /// A conditional write of `chunk` at `version`; on a lost reply, reads back whether it
    /// took effect. Answers the new version, or `Err` when the lease is lost or the store
    /// is down.
    async fn write_chunk(
        &self,
        key: &str,
        chunk: &ChunkRecord,
        version: Version,
    ) -> Result<Version, StoreError> {
        match self.store.put(key, chunk, Some(version)).await {
            Ok(object) => Ok(object.version),
            Err(e @ StoreError::Unavailable { .. }) => {
                let Some((found, found_version)) = self.store.get_value::<ChunkRecord>(key).await?
                else {
                    return Err(e);
                };
                if found.lease == chunk.lease {
                    Ok(found_version)
                } else {
                    Err(e)
                }
            }
            Err(e) => Err(e),
        }
    }

    fn start_chunk(
        &self,
        key: String,
        chunk: ChunkRecord,
        version: Version,
        deployment: String,
        cancel: CancellationToken,
    ) {
        {
            let mut active = self.active.borrow_mut();
            if let Err(at) = active.binary_search(&key) {
                active.insert(at, key.clone());
            }
        }
        let this = self.clone();
        actix_web::rt::spawn(async move {
            this.work(&key, chunk, version, &deployment, cancel).await;
            let mut active = this.active.borrow_mut();
            if let Ok(at) = active.binary_search(&key) {
                active.remove(at);
            }
        });
    }

    /// Runs the chunk's pending items and commits their results while the lease holds.
    async fn work(
        &self,
        key: &str,
        mut chunk: ChunkRecord,
        mut version: Version,
        deployment: &str,
        cancel: CancellationToken,
    ) {
        let committed = chunk.clone();
        let pending: Vec<usize> = (0..chunk.items.len())
            .filter(|&i| chunk.items[i].state == ItemState::Pending)
            .collect();
        let bodies: Vec<(usize, serde_json::Value)> = pending
            .iter()
            .map(|&i| (i, chunk.items[i].body.clone()))
            .collect();
        let mut results = futures::stream::iter(bodies)
            .map(|(i, body)| async move { (i, self.run_item(deployment, body).await) })
            .buffer_unordered(self.settings.batch_items_in_flight);
        let mut tick =
            tokio::time::interval(Duration::from_millis(self.settings.commit_interval_ms));
        tick.tick().await;
        let mut dirty = false;
        loop {
            tokio::select! {
                next = results.next() => {
                    let Some((i, outcome)) = next else { break };
                    apply_outcome(&mut chunk.items[i], outcome);
                    dirty = true;
                }
                _ = tick.tick() => {
                    let cancelled = self.job_state(&chunk.job_id) == Some(JobState::Cancelled);
                    if cancelled || cancel.is_cancelled() {
                        break;
                    }
                    match self.commit(key, &mut chunk, version, &committed, false).await {
                        Ok(v) => { version = v; dirty = false; }
                        Err(StoreError::Unavailable { .. }) => {}
                        Err(_) => return,
                    }
                }
            }
        }
        drop(results);
        if self.job_state(&chunk.job_id) == Some(JobState::Cancelled) {
            for item in chunk
                .items
                .iter_mut()
                .filter(|i| i.state == ItemState::Pending)
            {
                item.state = ItemState::Cancelled;
            }
            dirty = true;
        }
        let _ = dirty;
        for _ in 0..MAX_ITEM_ATTEMPTS {
            match self
                .commit(key, &mut chunk, version, &committed, true)
                .await
            {
                Ok(_) => return,
                Err(StoreError::Unavailable { .. }) => {
                    tokio::time::sleep(Duration::from_millis(self.settings.commit_interval_ms))
                        .await
                }
                Err(_) => return,
            }
        }
    }

    /// Writes the chunk's results, renewing the lease, or releasing it when `release`.
    async fn commit(
        &self,
        key: &str,
        chunk: &mut ChunkRecord,
        version: Version,
        committed: &ChunkRecord,
        release: bool,
    ) -> Result<Version, StoreError> {
        check_transitions(committed, chunk);
        let lease = chunk.lease.as_mut().expect("a worked chunk is leased");
        lease.commit_seq += 1;
        lease.expires_ms = time::unix_ms() + self.settings.chunk_lease_ms;
        let mut written = chunk.clone();
        if release {
            written.lease = None;
        }
        match self.store.put(key, &written, Some(version)).await {
            Ok(object) => Ok(object.version),
            Err(e @ StoreError::Unavailable { .. }) => {
                let Some((found, found_version)) = self.store.get_value::<ChunkRecord>(key).await?
                else {
                    return Err(e);
                };
                if found == written {
                    Ok(found_version)
                } else if found_version == version {
                    Err(e)
                } else {
                    Err(StoreError::Conflict {
                        current_version: found_version,
                    })
                }
            }
            Err(e) => Err(e),
        }
    }

    async fn complete_job(&self, id: &str) {
        let key = keys::job(id);
        let Ok(Some((mut job, version))) = self.store.get_value::<JobRecord>(&key).await else {
            return;
        };
        if job.state != JobState::Running {
            return;
        }
        job.state = JobState::Completed;
        if self.store.put(&key, &job, Some(version)).await.is_ok() {
            log::info!("batch job {id} completed");
        }
    }

    /// Sends one item to a host of `deployment` as batch work.
    async fn run_item(&self, deployment: &str, mut body: serde_json::Value) -> ItemOutcome {
        let path = if body.get("messages").is_some() {
            "/v1/chat/completions"
        } else {
            "/v1/completions"
        };
        if let Some(object) = body.as_object_mut() {
            object.insert("stream".to_owned(), serde_json::Value::Bool(false));
        }
        let bytes = Bytes::from(body.to_string());
        let mut headers = HeaderMap::new();
        headers.insert(
            actix_web::http::header::CONTENT_TYPE,
            actix_web::http::header::HeaderValue::from_static("application/json"),
        );
        let (name, value) = protocol::class_header(PriorityClass::Batch);
        headers.insert(
            actix_web::http::header::HeaderName::from_static(name),
            actix_web::http::header::HeaderValue::from_static(value),
        );
        let excluded: Vec<HostId> = Vec::new();
        let Some(target) = self.hosts.pick(
            deployment,
            PriorityClass::Batch,
            &self.settings.zone,
            &excluded,
        ) else {
            tokio::time::sleep(Duration::from_millis(self.settings.dispatch_poll_ms)).await;
            return ItemOutcome::Retry;
        };
        let _in_flight = InFlight::start(&target);
        let url = format!("http://{}{}", target.member.agent_addr, path);
        let timeout = Duration::from_secs(120);
        let sent = http::forward(&self.http, Method::POST, &url, &headers, bytes, timeout).await;
        let Ok(mut response) = sent else {
            return ItemOutcome::Retry;
        };
        let status = response.status();
        let Ok(answer) = response.body().limit(MAX_ITEM_ANSWER_BYTES).await else {
            return ItemOutcome::Retry;
        };
        if status.is_success() {
            return match serde_json::from_slice(&answer) {
                Ok(value) => ItemOutcome::Done(value),
                Err(_) => ItemOutcome::Retry,
            };
        }
        if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS {
            return ItemOutcome::Failed(format!(
                "status {status}: {}",
                String::from_utf8_lossy(&answer)
            ));
        }
        ItemOutcome::Retry
    }
}

fn apply_outcome(item: &mut crate::batch::jobs::ItemRecord, outcome: ItemOutcome) {
    item.attempts += 1;
    match outcome {
        ItemOutcome::Done(value) => {
            item.state = ItemState::Done;
            item.result = Some(value);
        }
        ItemOutcome::Failed(error) => {
            item.state = ItemState::Failed;
            item.error = Some(error);
        }
        ItemOutcome::Retry if item.attempts >= MAX_ITEM_ATTEMPTS => {
            item.state = ItemState::Failed;
            item.error = Some(format!("gave up after {} attempts", item.attempts));
        }
        ItemOutcome::Retry => {}
    }
}

/// The exactly-once invariant, asserted before every commit: an item that was final when
/// the chunk was leased is unchanged, so no result is written twice.
fn check_transitions(committed: &ChunkRecord, next: &ChunkRecord) {
    debug_assert_eq!(committed.items.len(), next.items.len());
    for (before, after) in committed.items.iter().zip(&next.items) {
        if before.state.is_final() {
            debug_assert_eq!(
                before, after,
                "item {} changed after it was final",
                before.custom_id
            );
        }
    }
}
