//! Reads and changes the ledger of accepted jobs.

use std::sync::atomic::Ordering;
use std::time::Instant;

use foxwheel_core::ids::JobId;
use foxwheel_platform::store::{StoreError, Write, WriteOutcome};
use foxwheel_policy::batch::ledger::{JobStatus, Ledger, LedgerTerm};

use crate::job_store::{self, JobStore, JobStoreError};
use crate::store_access::Backoff;
use crate::store_relay;

const LEDGER_KIND: &str = "foxwheel-ledger";
const LEDGER_NAME: &str = "jobs";

/// Revision of a ledger that does not exist yet. The store counts revisions from 1.
const NO_LEDGER: u64 = 0;

impl JobStore {
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
                    candidate = Some((object.revision, job_store::decode("ledger", object.spec)?));
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
        let spec = job_store::encode(ledger);
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
            Some(object) => (object.revision, job_store::decode("ledger", object.spec)?),
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
}
