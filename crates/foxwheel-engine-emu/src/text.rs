//! Generates the text of the emulator's responses. The same prompt and number of tokens always
//! give the same text, so that a caller can check that the complete response it received belongs
//! to its own request.

use std::hash::{Hash, Hasher};

/// The words that generated text consists of.
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

/// Returns a stable hash of the text of a prompt.
pub fn prompt_hash(prompt: &str) -> u64 {
    let mut hasher = std::collections::hash_map::DefaultHasher::new();
    prompt.hash(&mut hasher);
    hasher.finish()
}

/// Returns the token at `index` of the response to the prompt whose hash is `prompt_hash`: a word
/// and a space.
pub fn response_token(prompt_hash: u64, index: usize) -> String {
    // The factor is 2^64 divided by the golden ratio, a usual one for mixing the bits of a hash.
    let mixed_hash = prompt_hash
        .wrapping_add(index as u64)
        .wrapping_mul(0x9E37_79B9_7F4A_7C15)
        .rotate_left(17);
    format!("{} ", WORDS[(mixed_hash % WORDS.len() as u64) as usize])
}

/// Returns the complete response of `max_tokens` tokens to `prompt`.
pub fn response_text(prompt: &str, max_tokens: usize) -> String {
    let hash = prompt_hash(prompt);
    (0..max_tokens)
        .map(|index| response_token(hash, index))
        .collect()
}

/// Returns the number of tokens in a prompt: its words separated by whitespace, at least 1.
pub fn count_tokens(prompt: &str) -> usize {
    prompt.split_whitespace().count().max(1)
}
