//! The prefix cache: blocks of prompt tokens kept in limited memory, least recently used
//! evicted first, with a log of events published late and with gaps.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Tokens in one cache block.
pub const BLOCK_TOKENS: usize = 16;
/// Cache events kept for readers.
const EVENT_LOG_LEN: usize = 10_000;

/// What happened to a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// One cache event, as published on `GET /cache/events`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; gaps mean lost events.
    pub seq: u64,
    /// Stored or evicted.
    pub kind: CacheEventKind,
    /// The block's hash: a hash of every token up to its end.
    pub block_hash: u64,
}

/// The cache.
///
/// Invariant: `used_tokens == blocks.len() * BLOCK_TOKENS <= capacity_tokens`, and
/// `blocks_by_last_use` holds exactly one entry per block.
#[derive(Debug)]
pub struct PrefixCache {
    capacity_tokens: usize,
    blocks: HashMap<u64, u64>,
    blocks_by_last_use: BTreeMap<u64, u64>,
    access_counter: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    next_seq: u64,
    gap_every: u64,
}

impl PrefixCache {
    /// A cache of `capacity_tokens`, dropping every `gap_every`-th event (0: none).
    pub fn new(capacity_tokens: usize, gap_every: u64) -> Self {
        Self {
            capacity_tokens,
            blocks: HashMap::new(),
            blocks_by_last_use: BTreeMap::new(),
            access_counter: 0,
            events: VecDeque::new(),
            next_seq: 0,
            gap_every,
        }
    }

    /// Tokens held now.
    pub fn used_tokens(&self) -> usize {
        self.blocks.len() * BLOCK_TOKENS
    }

    /// Looks the prompt up block by block, stores the blocks it lacks, and returns how many
    /// leading tokens were already cached.
    pub fn insert_prompt(&mut self, prompt: &str) -> usize {
        let hashes = block_hashes(prompt);
        let mut hit_blocks = 0;
        let mut missed = false;
        for hash in hashes {
            self.access_counter += 1;
            if let Some(age) = self.blocks.get_mut(&hash) {
                self.blocks_by_last_use.remove(age);
                *age = self.access_counter;
                self.blocks_by_last_use.insert(self.access_counter, hash);
                if !missed {
                    hit_blocks += 1;
                }
                continue;
            }
            missed = true;
            self.evict_until_block_fits();
            self.blocks.insert(hash, self.access_counter);
            self.blocks_by_last_use.insert(self.access_counter, hash);
            self.publish(CacheEventKind::Stored, hash);
        }
        hit_blocks * BLOCK_TOKENS
    }

    /// Events published at least `lag` ago with a sequence number of `from` or more.
    pub fn published_events(&self, from: u64, lag: Duration) -> Vec<CacheEvent> {
        let now = Instant::now();
        self.events
            .iter()
            .filter(|(at, e)| e.seq >= from && now.duration_since(*at) >= lag)
            .map(|(_, e)| e.clone())
            .collect()
    }

    fn evict_until_block_fits(&mut self) {
        while self.used_tokens() + BLOCK_TOKENS > self.capacity_tokens {
            let Some((_, hash)) = self.blocks_by_last_use.pop_first() else {
                return;
            };
            self.blocks.remove(&hash);
            self.publish(CacheEventKind::Evicted, hash);
        }
    }

    fn publish(&mut self, kind: CacheEventKind, block_hash: u64) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if self.gap_every > 0 && seq % self.gap_every == self.gap_every - 1 {
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
        if self.events.len() > EVENT_LOG_LEN {
            self.events.pop_front();
        }
    }
}

/// Hashes of each whole block of the prompt, each covering every token before its end.
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut hasher = std::collections::hash_map::DefaultHasher::new();
    let mut hashes = Vec::new();
    for (i, word) in prompt.split_whitespace().enumerate() {
        word.hash(&mut hasher);
        if (i + 1) % BLOCK_TOKENS == 0 {
            hashes.push(hasher.finish());
        }
    }
    hashes
}
