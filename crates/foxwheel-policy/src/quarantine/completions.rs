//! The contents that backend servers completed recently.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of contents in one generation, 128 KB. A busy gateway fills one in some ten seconds.
const GENERATION_LEN: usize = 16_384;

/// A bounded set of the contents that were completed last, by service.
///
/// When a generation is full, it replaces the one before, so that a content is kept as long as it
/// is completed again before [`GENERATION_LEN`] others are.
#[derive(Debug, Default)]
pub struct RecentCompletions {
    /// Hashes of content and service; sorted, at most [`GENERATION_LEN`].
    recent: Vec<u64>,
    /// The full generation before `recent`; sorted.
    older: Vec<u64>,
}

impl RecentCompletions {
    /// Records that a server of `service` sent a complete response to a request with that content.
    pub fn record(&mut self, content: &str, service: &str) {
        let hash = hash_of(content, service);
        let Err(at) = self.recent.binary_search(&hash) else {
            return;
        };
        self.recent.insert(at, hash);
        if self.recent.len() == GENERATION_LEN {
            self.older = std::mem::take(&mut self.recent);
        }
    }

    /// Returns whether a server of `service` recently completed a request with that content.
    pub fn contains(&self, content: &str, service: &str) -> bool {
        let hash = hash_of(content, service);
        let generations = [&self.recent, &self.older];
        let mut found = generations
            .map(|hashes| hashes.binary_search(&hash))
            .into_iter();
        found.any(|found| found.is_ok())
    }
}

fn hash_of(content: &str, service: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (content, service).hash(&mut hasher);
    hasher.finish()
}
