//! The emulator's data: objects, the revision, the change history and the call counters.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use foxwheel_core::ids::Version;
use foxwheel_store::api;

/// Why a call was refused by the data layer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refused {
    /// The object is not there.
    NotFound,
    /// A conditional write found another version.
    Conflict(Version),
    /// The watch asked for history no longer kept.
    Gone,
    /// The value is larger than 1 MiB.
    TooLarge,
}

/// Largest value stored, in bytes of JSON.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// A per-second rate limit, counted in whole seconds since start.
#[derive(Debug)]
pub struct RateLimit {
    limit_per_s: u64,
    second: u64,
    used: u64,
}

impl RateLimit {
    /// Allows `limit_per_s` calls in each second.
    pub fn new(limit_per_s: u64) -> Self {
        Self {
            limit_per_s,
            second: 0,
            used: 0,
        }
    }

    /// Takes one call's allowance; `false` when this second's is spent.
    pub fn take(&mut self, started: Instant) -> bool {
        let second = started.elapsed().as_secs();
        if second != self.second {
            self.second = second;
            self.used = 0;
        }
        if self.used >= self.limit_per_s {
            return false;
        }
        self.used += 1;
        true
    }
}

/// All objects and their history.
///
/// Invariant: `revision` is the largest version of any object or event, and every event in
/// `history` is newer than `oldest_kept`.
#[derive(Debug)]
pub struct Data {
    objects: BTreeMap<String, api::Object>,
    revision: Version,
    history: VecDeque<api::Event>,
    history_len: usize,
    oldest_kept: Version,
    stored_bytes: u64,
}

impl Data {
    /// Empty, keeping `history_len` changes for watches.
    pub fn new(history_len: usize) -> Self {
        Self {
            objects: BTreeMap::new(),
            revision: 0,
            history: VecDeque::new(),
            history_len,
            oldest_kept: 0,
            stored_bytes: 0,
        }
    }

    /// The objects of `saved` (a list of everything) at its revision. Watches from before it
    /// must list again, as the changes that led to it are not kept.
    pub fn restore(saved: api::ListResponse, history_len: usize) -> Self {
        let stored_bytes = saved.objects.iter().map(|o| json_len(&o.value)).sum();
        let objects = saved.objects.into_iter();
        Self {
            objects: objects.map(|o| (o.key.clone(), o)).collect(),
            revision: saved.revision,
            oldest_kept: saved.revision,
            stored_bytes,
            ..Self::new(history_len)
        }
    }

    /// The current revision.
    pub fn revision(&self) -> Version {
        self.revision
    }

    /// Counts of objects and bytes.
    pub fn sizes(&self) -> (u64, u64) {
        (self.objects.len() as u64, self.stored_bytes)
    }

    /// One object.
    pub fn get(&self, key: &str) -> Result<api::Object, Refused> {
        self.objects.get(key).cloned().ok_or(Refused::NotFound)
    }

    /// Objects under a prefix, sorted by key.
    pub fn list(&self, prefix: &str) -> api::ListResponse {
        let objects = self
            .objects
            .range(prefix.to_owned()..)
            .take_while(|(k, _)| k.starts_with(prefix))
            .map(|(_, o)| o.clone())
            .collect();
        api::ListResponse {
            objects,
            revision: self.revision,
        }
    }

    /// Writes a value, conditionally when `if_version` is set (0: only if absent).
    pub fn put(
        &mut self,
        key: &str,
        value: serde_json::Value,
        if_version: Option<Version>,
    ) -> Result<api::Object, Refused> {
        let size = serde_json::to_vec(&value).map(|v| v.len()).unwrap_or(0);
        if size > MAX_VALUE_BYTES {
            return Err(Refused::TooLarge);
        }
        let current = self.objects.get(key).map(|o| o.version).unwrap_or(0);
        if if_version.is_some_and(|v| v != current) {
            return Err(Refused::Conflict(current));
        }
        self.revision += 1;
        let object = api::Object {
            key: key.to_owned(),
            version: self.revision,
            value,
        };
        if let Some(old) = self.objects.insert(key.to_owned(), object.clone()) {
            self.stored_bytes -= json_len(&old.value);
        }
        self.stored_bytes += size as u64;
        self.record(api::Event {
            key: key.to_owned(),
            version: self.revision,
            value: Some(object.value.clone()),
        });
        Ok(object)
    }

    /// Deletes an object, conditionally when `if_version` is set.
    pub fn delete(&mut self, key: &str, if_version: Option<Version>) -> Result<(), Refused> {
        let current = self
            .objects
            .get(key)
            .map(|o| o.version)
            .ok_or(Refused::NotFound)?;
        if if_version.is_some_and(|v| v != current) {
            return Err(Refused::Conflict(current));
        }
        if let Some(old) = self.objects.remove(key) {
            self.stored_bytes -= json_len(&old.value);
        }
        self.revision += 1;
        self.record(api::Event {
            key: key.to_owned(),
            version: self.revision,
            value: None,
        });
        Ok(())
    }

    /// Changes under `prefix` after `from`, or `Gone` when they are no longer all kept.
    pub fn changes_since(&self, prefix: &str, from: Version) -> Result<Vec<api::Event>, Refused> {
        if from < self.oldest_kept {
            return Err(Refused::Gone);
        }
        let start = self.history.partition_point(|e| e.version <= from);
        Ok(self
            .history
            .range(start..)
            .filter(|e| e.key.starts_with(prefix))
            .cloned()
            .collect())
    }

    fn record(&mut self, event: api::Event) {
        self.history.push_back(event);
        while self.history.len() > self.history_len {
            if let Some(dropped) = self.history.pop_front() {
                self.oldest_kept = dropped.version;
            }
        }
    }
}

fn json_len(value: &serde_json::Value) -> u64 {
    serde_json::to_vec(value)
        .map(|v| v.len() as u64)
        .unwrap_or(0)
}
