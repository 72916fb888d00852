//! The state of the emulated store: objects by kind and name, the store's revision, the change
//! history, and the rate limits.

use std::collections::VecDeque;
use std::time::Instant;

use foxwheel_core::ids::Version;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Why the store refuses a call.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreError {
    /// The object does not exist.
    NotFound,
    /// The object to create exists already, or it has another revision than a conditional write
    /// names. Carries the stored object.
    Conflict(Box<Object>),
    /// The watch starts before the oldest change that is kept.
    HistoryExpired,
    /// The value is larger than the limit.
    TooLarge,
}

/// Largest size of an object's spec and status together, in bytes of JSON.
pub const MAX_VALUE_BYTES: u64 = 1024 * 1024;

/// A limit of calls per second, counted in whole seconds since the start of the emulator.
#[derive(Debug)]
pub struct RateLimit {
    limit_per_s: u64,
    current_second: u64,
    used_calls: u64,
}

impl RateLimit {
    /// Returns a limit of `limit_per_s` calls in each second.
    pub fn new(limit_per_s: u64) -> Self {
        Self {
            limit_per_s,
            current_second: 0,
            used_calls: 0,
        }
    }

    /// Counts one call. Returns false if the calls of the current second are used up.
    pub fn try_acquire(&mut self, started_at: Instant) -> bool {
        let current_second = started_at.elapsed().as_secs();
        if current_second != self.current_second {
            self.current_second = current_second;
            self.used_calls = 0;
        }
        if self.used_calls >= self.limit_per_s {
            return false;
        }
        self.used_calls += 1;
        true
    }
}

/// The metadata of an object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Metadata {
    /// The name of the object, unique within its kind.
    pub name: String,
    /// The revision of the last change of the object. A stored object never has revision 0.
    #[serde(default)]
    pub revision: Version,
    /// The revision at which the object was created.
    #[serde(default)]
    pub created: Version,
    /// Names that must all be removed before a deleted object is removed from the store.
    #[serde(default)]
    pub finalizers: Vec<String>,
    /// Whether the object is deleted and waits for the removal of its finalizers.
    #[serde(default)]
    pub deleting: bool,
}

/// A stored object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// The metadata of the object.
    pub metadata: Metadata,
    /// The content that its writer stores.
    #[serde(default)]
    pub spec: Value,
    /// The status that is reported about the object.
    #[serde(default)]
    pub status: Value,
}

/// One change of an object.
#[derive(Debug, Clone, Serialize)]
pub struct ChangeEvent {
    /// The kind of the object.
    #[serde(skip)]
    pub kind: String,
    /// The object after the change; for a removal, its last state.
    pub object: Object,
    /// Whether the object was removed.
    pub tombstone: bool,
}

/// The content of the store that survives a restart.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StoreSnapshot {
    /// The revision of the store.
    pub revision: Version,
    /// The objects with their kinds, sorted by kind and name.
    pub objects: Vec<(String, Object)>,
}

/// All objects and the history of their changes.
///
/// Invariant: `revision` is the largest revision of any object or event, and every event in
/// `history` is newer than `history_start`.
#[derive(Debug)]
pub struct ObjectStore {
    /// Sorted by kind and name.
    objects: Vec<(String, Object)>,
    revision: Version,
    history: VecDeque<ChangeEvent>,
    max_history_len: usize,
    history_start: Version,
    stored_bytes: u64,
    max_value_bytes: u64,
}

impl ObjectStore {
    /// Returns an empty store that keeps the last `max_history_len` changes for watches.
    pub fn new(max_history_len: usize) -> Self {
        Self {
            objects: Vec::new(),
            revision: 0,
            history: VecDeque::new(),
            max_history_len,
            history_start: 0,
            stored_bytes: 0,
            max_value_bytes: MAX_VALUE_BYTES,
        }
    }

    /// Sets the largest accepted size of an object's spec and status together, in bytes of JSON.
    pub fn set_max_value_bytes(&mut self, max_value_bytes: u64) {
        self.max_value_bytes = max_value_bytes;
    }

    /// Returns a store with the objects and the revision of `saved`. Watches that start before this
    /// revision must list again, because a snapshot does not contain the history.
    pub fn restore(saved: StoreSnapshot, max_history_len: usize) -> Self {
        let stored_bytes = saved
            .objects
            .iter()
            .map(|(_, object)| value_bytes(object))
            .sum();
        Self {
            objects: saved.objects,
            revision: saved.revision,
            history_start: saved.revision,
            stored_bytes,
            ..Self::new(max_history_len)
        }
    }

    /// Returns the content that survives a restart.
    pub fn snapshot(&self) -> StoreSnapshot {
        StoreSnapshot {
            revision: self.revision,
            objects: self.objects.clone(),
        }
    }

    /// Returns the current revision.
    pub fn revision(&self) -> Version {
        self.revision
    }

    /// Returns the number of objects and the sum of their sizes in bytes.
    pub fn object_count_and_bytes(&self) -> (u64, u64) {
        (self.objects.len() as u64, self.stored_bytes)
    }

    /// Returns an object, or [`StoreError::NotFound`].
    pub fn get(&self, kind: &str, name: &str) -> Result<Object, StoreError> {
        let index = self.find_index(kind, name);
        index
            .map(|index| self.objects[index].1.clone())
            .map_err(|_| StoreError::NotFound)
    }

    /// Returns the first `limit` objects of a kind whose names sort after `after`, and whether
    /// there are more.
    pub fn list(&self, kind: &str, after: &str, limit: usize) -> (Vec<Object>, bool) {
        let kind_objects = self
            .objects
            .iter()
            .filter(|(object_kind, _)| object_kind == kind);
        let mut objects: Vec<Object> = kind_objects
            .filter(|(_, object)| object.metadata.name.as_str() > after)
            .map(|(_, object)| object.clone())
            .take(limit + 1)
            .collect();
        let has_more = objects.len() > limit;
        objects.truncate(limit);
        (objects, has_more)
    }

    /// Creates an object and returns it as stored.
    ///
    /// Returns [`StoreError::Conflict`] if it exists, and [`StoreError::TooLarge`] if it is larger
    /// than the limit.
    pub fn create(&mut self, kind: &str, object: Object) -> Result<Object, StoreError> {
        self.check_size(&object)?;
        let Err(index) = self.find_index(kind, &object.metadata.name) else {
            let current = self.get(kind, &object.metadata.name)?;
            return Err(StoreError::Conflict(Box::new(current)));
        };
        self.revision += 1;
        let mut created = object;
        created.metadata.revision = self.revision;
        created.metadata.created = self.revision;
        created.metadata.deleting = false;
        self.stored_bytes += value_bytes(&created);
        self.objects
            .insert(index, (kind.to_owned(), created.clone()));
        self.append_history(kind, created.clone(), false);
        Ok(created)
    }

    /// Updates an object and returns it as stored. An update that changes nothing creates no event.
    /// A deleted object is removed together with its last finalizer.
    ///
    /// Returns [`StoreError::Conflict`] if `revision` is given and is not that of the object,
    /// [`StoreError::NotFound`] if the object does not exist, and [`StoreError::TooLarge`] if it
    /// would be larger than the limit.
    pub fn update(
        &mut self,
        kind: &str,
        name: &str,
        revision: Option<Version>,
        apply_update: impl FnOnce(&mut Object),
    ) -> Result<Object, StoreError> {
        let index = self
            .find_index(kind, name)
            .map_err(|_| StoreError::NotFound)?;
        let current = self.objects[index].1.clone();
        if revision.is_some_and(|revision| revision != current.metadata.revision) {
            return Err(StoreError::Conflict(Box::new(current)));
        }
        let mut changed = current.clone();
        apply_update(&mut changed);
        if changed == current {
            return Ok(current);
        }
        self.check_size(&changed)?;
        self.revision += 1;
        changed.metadata.revision = self.revision;
        self.stored_bytes += value_bytes(&changed);
        self.stored_bytes -= value_bytes(&current);
        let is_removed = changed.metadata.deleting && changed.metadata.finalizers.is_empty();
        if is_removed {
            self.stored_bytes -= value_bytes(&changed);
            self.objects.remove(index);
        } else {
            self.objects[index].1 = changed.clone();
        }
        self.append_history(kind, changed.clone(), is_removed);
        Ok(changed)
    }

    /// Returns the changes of `kind` after the revision `from`, or
    /// [`StoreError::HistoryExpired`] if they are no longer all kept.
    pub fn changes_since(&self, kind: &str, from: Version) -> Result<Vec<ChangeEvent>, StoreError> {
        if from < self.history_start {
            return Err(StoreError::HistoryExpired);
        }
        let is_newer =
            |event: &&ChangeEvent| event.object.metadata.revision > from && event.kind == kind;
        Ok(self.history.iter().filter(is_newer).cloned().collect())
    }

    /// Drops the whole change history.
    pub fn drop_history(&mut self) {
        self.history.clear();
        self.history_start = self.revision;
    }

    fn check_size(&self, object: &Object) -> Result<(), StoreError> {
        if value_bytes(object) > self.max_value_bytes {
            return Err(StoreError::TooLarge);
        }
        Ok(())
    }

    fn find_index(&self, kind: &str, name: &str) -> Result<usize, usize> {
        self.objects.binary_search_by(|(object_kind, object)| {
            (object_kind.as_str(), object.metadata.name.as_str()).cmp(&(kind, name))
        })
    }

    fn append_history(&mut self, kind: &str, object: Object, tombstone: bool) {
        self.history.push_back(ChangeEvent {
            kind: kind.to_owned(),
            object,
            tombstone,
        });
        while self.history.len() > self.max_history_len {
            if let Some(oldest_event) = self.history.pop_front() {
                self.history_start = oldest_event.object.metadata.revision;
            }
        }
    }
}

fn value_bytes(object: &Object) -> u64 {
    let bytes = |value: &Value| serde_json::to_vec(value).map_or(0, |bytes| bytes.len() as u64);
    bytes(&object.spec) + bytes(&object.status)
}
