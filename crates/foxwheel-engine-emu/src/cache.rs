//! The prefix cache: blocks of prompt tokens in limited memory, of which the least recently used
//! is evicted first. Its log of events is published late and with gaps.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Number of tokens in one cache block.
pub const BLOCK_TOKENS: usize = 16;
/// Number of cache events kept for readers.
const MAX_LOGGED_EVENTS: usize = 10_000;

/// The kind of a cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// A cache event, as published by `GET /cache/events`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The sequence number. A missing number means a lost event.
    pub seq: u64,
    /// Whether the block was stored or evicted.
    pub kind: CacheEventKind,
    /// The hash of the block: a hash of all tokens of the prompt up to the end of the block.
    pub block_hash: u64,
}

/// The prefix cache.
///
/// Invariant: `used_tokens == blocks.len() * BLOCK_TOKENS <= capacity_tokens`, and
/// `blocks_by_last_use` holds exactly one entry per block.
#[derive(Debug)]
pub struct PrefixCache {
    capacity_tokens: usize,
    /// The time of the last use of each block, as a value of `access_counter`, by block hash.
    blocks: HashMap<u64, u64>,
    /// The block hashes by the time of their last use, for the eviction.
    blocks_by_last_use: BTreeMap<u64, u64>,
    access_counter: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    next_seq: u64,
    event_drop_interval: u64,
}

impl PrefixCache {
    /// Returns an empty cache for `capacity_tokens` tokens. Every `event_drop_interval`-th event is
    /// dropped, none if it is 0.
    pub fn new(capacity_tokens: usize, event_drop_interval: u64) -> Self {
        Self {
            capacity_tokens,
            blocks: HashMap::new(),
            blocks_by_last_use: BTreeMap::new(),
            access_counter: 0,
            events: VecDeque::new(),
            next_seq: 0,
            event_drop_interval,
        }
    }

    /// Returns the number of tokens in the cache.
    pub fn used_tokens(&self) -> usize {
        self.blocks.len() * BLOCK_TOKENS
    }

    /// Looks up the blocks of a prompt, stores those that are missing, and returns how many of
    /// the leading tokens were cached already.
    pub fn insert_prompt(&mut self, prompt: &str) -> usize {
        let hashes = block_hashes(prompt);
        let mut hit_blocks = 0;
        let mut has_missed = false;
        for hash in hashes {
            self.access_counter += 1;
            if let Some(last_use) = self.blocks.get_mut(&hash) {
                self.blocks_by_last_use.remove(last_use);
                *last_use = self.access_counter;
                self.blocks_by_last_use.insert(self.access_counter, hash);
                if !has_missed {
                    hit_blocks += 1;
                }
                continue;
            }
            has_missed = true;
            self.evict_until_block_fits();
            self.blocks.insert(hash, self.access_counter);
            self.blocks_by_last_use.insert(self.access_counter, hash);
            self.log_event(CacheEventKind::Stored, hash);
        }
        hit_blocks * BLOCK_TOKENS
    }

    /// Returns the events that are at least `lag` old and have a sequence number of at least
    /// `from`.
    pub fn published_events(&self, from: u64, lag: Duration) -> Vec<CacheEvent> {
        let now = Instant::now();
        self.events
            .iter()
            .filter(|(logged_at, event)| event.seq >= from && now.duration_since(*logged_at) >= lag)
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn evict_until_block_fits(&mut self) {
        while self.used_tokens() + BLOCK_TOKENS > self.capacity_tokens {
            let Some((_, hash)) = self.blocks_by_last_use.pop_first() else {
                return;
            };
            self.blocks.remove(&hash);
            self.log_event(CacheEventKind::Evicted, hash);
        }
    }

    fn log_event(&mut self, kind: CacheEventKind, block_hash: u64) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if self.event_drop_interval > 0
            && seq % self.event_drop_interval == self.event_drop_interval - 1
        {
            return;
        }
        self.events.push_back((
            Instant::now(),
            CacheEvent {
                seq,
                kind,
                block_hash,
            },
        ));
        if self.events.len() > MAX_LOGGED_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Returns the hashes of the complete blocks of a prompt. Each covers all tokens up to the end of
/// its block.
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut hasher = std::collections::hash_map::DefaultHasher::new();
    let mut hashes = Vec::new();
    for (index, word) in prompt.split_whitespace().enumerate() {
        word.hash(&mut hasher);
        if (index + 1) % BLOCK_TOKENS == 0 {
            hashes.push(hasher.finish());
        }
    }
    hashes
}
