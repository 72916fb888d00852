//! The emulator's answers: a fixed function of the prompt, so that a caller can check that
//! the whole answer it got is the one to its own request.

use std::hash::{Hash, Hasher};

/// Words the answers are made of.
const WORDS: &[&str] = &[
    "cedar",
    "larch",
    "roof",
    "panel",
    "permit",
    "street",
    "window",
    "quote",
    "beam",
    "deck",
    "letter",
    "renewal",
    "card",
    "zone",
    "sheet",
    "cut",
    "timber",
    "insulation",
    "door",
    "garden",
];

/// A stable hash of the prompt text.
pub fn prompt_hash(prompt: &str) -> u64 {
    let mut hasher = std::collections::hash_map::DefaultHasher::new();
    prompt.hash(&mut hasher);
    hasher.finish()
}

/// The `index`-th token of the answer to a prompt with hash `hash`, with its trailing space.
pub fn token(hash: u64, index: usize) -> String {
    let scrambled = hash
        .wrapping_add(index as u64)
        .wrapping_mul(0x9E37_79B9_7F4A_7C15)
        .rotate_left(17);
    format!("{} ", WORDS[(scrambled % WORDS.len() as u64) as usize])
}

/// The whole answer of `max_tokens` tokens to `prompt`.
pub fn response_text(prompt: &str, max_tokens: usize) -> String {
    let hash = prompt_hash(prompt);
    (0..max_tokens).map(|i| token(hash, i)).collect()
}

/// The number of tokens in a prompt, counted as whitespace-separated words.
pub fn count_tokens(prompt: &str) -> usize {
    prompt.split_whitespace().count().max(1)
}
