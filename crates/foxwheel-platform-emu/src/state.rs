//! The emulator's data: objects by kind and name, the revision, the change history and the
//! rate limits.

use std::collections::VecDeque;
use std::time::Instant;

use foxwheel_core::ids::Version;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Why a call was refused by the data layer.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreError {
    /// The object is not there.
    NotFound,
    /// The object exists already, or a conditional write found another revision.
    Conflict(Box<Object>),
    /// The watch asked for history no longer kept.
    HistoryExpired,
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
    pub fn try_acquire(&mut self, started: Instant) -> bool {
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

/// What the store says of an object beside its content.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Metadata {
    /// Its name within its kind.
    pub name: String,
    /// The revision of its last change; never zero.
    #[serde(default)]
    pub revision: Version,
    /// The revision at which it was created.
    #[serde(default)]
    pub created: Version,
    /// Names that must be taken off before a deleted object goes.
    #[serde(default)]
    pub finalizers: Vec<String>,
    /// It is deleted but for its finalizers.
    #[serde(default)]
    pub deleting: bool,
}

/// A stored object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Name and revision.
    pub metadata: Metadata,
    /// What its writer stored.
    #[serde(default)]
    pub spec: Value,
    /// What is reported on it.
    #[serde(default)]
    pub status: Value,
}

/// One change.
#[derive(Debug, Clone, Serialize)]
pub struct ChangeEvent {
    /// The kind of the object.
    #[serde(skip)]
    pub kind: String,
    /// The object as it is, or last was.
    pub object: Object,
    /// It was removed.
    pub tombstone: bool,
}

/// Everything that is kept over a restart.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StoreSnapshot {
    /// The store's revision.
    pub revision: Version,
    /// Kinds and their objects, sorted by kind and name.
    pub objects: Vec<(String, Object)>,
}

/// All objects and their history.
///
/// Invariant: `revision` is the largest revision of any object or event, and every event in
/// `history` is newer than `history_start`.
#[derive(Debug)]
pub struct ObjectStore {
    /// Sorted by kind and name.
    objects: Vec<(String, Object)>,
    revision: Version,
    history: VecDeque<ChangeEvent>,
    history_len: usize,
    history_start: Version,
    stored_bytes: u64,
}

impl ObjectStore {
    /// Empty, keeping `history_len` changes for watches.
    pub fn new(history_len: usize) -> Self {
        Self {
            objects: Vec::new(),
            revision: 0,
            history: VecDeque::new(),
            history_len,
            history_start: 0,
            stored_bytes: 0,
        }
    }

    /// The objects of `saved` at its revision. Watches from before it must list again, as
    /// the changes that led to it are not kept.
    pub fn restore(saved: StoreSnapshot, history_len: usize) -> Self {
        let stored_bytes = saved.objects.iter().map(|(_, o)| value_bytes(o)).sum();
        Self {
            objects: saved.objects,
            revision: saved.revision,
            history_start: saved.revision,
            stored_bytes,
            ..Self::new(history_len)
        }
    }

    /// What is kept over a restart.
    pub fn snapshot(&self) -> StoreSnapshot {
        StoreSnapshot {
            revision: self.revision,
            objects: self.objects.clone(),
        }
    }

    /// The current revision.
    pub fn revision(&self) -> Version {
        self.revision
    }

    /// Counts of objects and bytes.
    pub fn object_count_and_bytes(&self) -> (u64, u64) {
        (self.objects.len() as u64, self.stored_bytes)
    }

    /// One object.
    pub fn get(&self, kind: &str, name: &str) -> Result<Object, StoreError> {
        let at = self.position(kind, name);
        at.map(|at| self.objects[at].1.clone())
            .map_err(|_| StoreError::NotFound)
    }

    /// At most `limit` objects of a kind whose names come after `after`, and whether there
    /// are more.
    pub fn list(&self, kind: &str, after: &str, limit: usize) -> (Vec<Object>, bool) {
        let of_kind = self.objects.iter().filter(|(k, _)| k == kind);
        let mut objects: Vec<Object> = of_kind
            .filter(|(_, object)| object.metadata.name.as_str() > after)
            .map(|(_, object)| object.clone())
            .take(limit + 1)
            .collect();
        let has_more = objects.len() > limit;
        objects.truncate(limit);
        (objects, has_more)
    }

    /// Creates an object.
    pub fn create(&mut self, kind: &str, object: Object) -> Result<Object, StoreError> {
        self.check_size(&object)?;
        let Err(at) = self.position(kind, &object.metadata.name) else {
            let current = self.get(kind, &object.metadata.name)?;
            return Err(StoreError::Conflict(Box::new(current)));
        };
        self.revision += 1;
        let mut created = object;
        created.metadata.revision = self.revision;
        created.metadata.created = self.revision;
        created.metadata.deleting = false;
        self.stored_bytes += value_bytes(&created);
        self.objects.insert(at, (kind.to_owned(), created.clone()));
        self.record(kind, created.clone(), false);
        Ok(created)
    }

    /// Changes an object, if it has `revision` where one is given. A change that alters
    /// nothing makes no event. A deleted object goes with its last finalizer.
    pub fn change(
        &mut self,
        kind: &str,
        name: &str,
        revision: Option<Version>,
        alter: impl FnOnce(&mut Object),
    ) -> Result<Object, StoreError> {
        let at = self
            .position(kind, name)
            .map_err(|_| StoreError::NotFound)?;
        let current = self.objects[at].1.clone();
        if revision.is_some_and(|revision| revision != current.metadata.revision) {
            return Err(StoreError::Conflict(Box::new(current)));
        }
        let mut changed = current.clone();
        alter(&mut changed);
        if changed == current {
            return Ok(current);
        }
        self.check_size(&changed)?;
        self.revision += 1;
        changed.metadata.revision = self.revision;
        self.stored_bytes += value_bytes(&changed);
        self.stored_bytes -= value_bytes(&current);
        let goes = changed.metadata.deleting && changed.metadata.finalizers.is_empty();
        if goes {
            self.stored_bytes -= value_bytes(&changed);
            self.objects.remove(at);
        } else {
            self.objects[at].1 = changed.clone();
        }
        self.record(kind, changed.clone(), goes);
        Ok(changed)
    }

    /// Changes of `kind` after `from`, or `HistoryExpired` when they are no longer all kept.
    pub fn changes_since(&self, kind: &str, from: Version) -> Result<Vec<ChangeEvent>, StoreError> {
        if from < self.history_start {
            return Err(StoreError::HistoryExpired);
        }
        let newer =
            |event: &&ChangeEvent| event.object.metadata.revision > from && event.kind == kind;
        Ok(self.history.iter().filter(newer).cloned().collect())
    }

    /// Forgets the whole history.
    pub fn drop_history(&mut self) {
        self.history.clear();
        self.history_start = self.revision;
    }

    fn check_size(&self, object: &Object) -> Result<(), StoreError> {
        if value_bytes(object) > MAX_VALUE_BYTES as u64 {
            return Err(StoreError::TooLarge);
        }
        Ok(())
    }

    fn position(&self, kind: &str, name: &str) -> Result<usize, usize> {
        self.objects.binary_search_by(|(k, object)| {
            (k.as_str(), object.metadata.name.as_str()).cmp(&(kind, name))
        })
    }

    fn record(&mut self, kind: &str, object: Object, tombstone: bool) {
        self.history.push_back(ChangeEvent {
            kind: kind.to_owned(),
            object,
            tombstone,
        });
        while self.history.len() > self.history_len {
            if let Some(dropped) = self.history.pop_front() {
                self.history_start = dropped.object.metadata.revision;
            }
        }
    }
}

fn value_bytes(object: &Object) -> u64 {
    let bytes = |value: &Value| serde_json::to_vec(value).map_or(0, |bytes| bytes.len() as u64);
    bytes(&object.spec) + bytes(&object.status)
}
