//! The ids of the exchanges that a connection has carried.
//!
//! A server can send a second copy of a response late, where the response to the next request on the
//! connection is expected. The id in it shows which request it belongs to, but not which attempt. If a
//! connection carries each id once, a response with the id of the present request cannot be a copy.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of exchanges after which a connection is not used again. It bounds the memory for their ids.
pub const MAX_EXCHANGES: usize = 256;

/// The ids of the exchanges of one connection.
#[derive(Debug, Default)]
pub struct ExchangeIds {
    /// Hashes of the ids, sorted; at most [`MAX_EXCHANGES`]. Two ids with the same hash cost a new
    /// connection.
    hashes: Vec<u64>,
}

impl ExchangeIds {
    /// Returns whether there was an exchange with this id.
    pub fn contains(&self, id: &str) -> bool {
        self.hashes.binary_search(&hash(id)).is_ok()
    }

    /// Adds the id of an exchange.
    pub fn insert(&mut self, id: &str) {
        let hash = hash(id);
        if let Err(at) = self.hashes.binary_search(&hash) {
            self.hashes.insert(at, hash);
        }
    }

    /// Returns whether no more exchanges are allowed.
    pub fn is_full(&self) -> bool {
        self.hashes.len() >= MAX_EXCHANGES
    }
}

fn hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
