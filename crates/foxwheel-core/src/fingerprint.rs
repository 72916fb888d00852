//! Stable fingerprints of requests and client keys, safe to keep in the store.
//!
//! A fingerprint is the same for every build and process, unlike the standard library's
//! hashers, and holds no character that means something in a store key.

use sha2::{Digest, Sha256};

/// Bytes of the digest kept: 128 bits, far beyond accidental collision.
const FINGERPRINT_BYTES: usize = 16;

/// The fingerprint of `parts` in order, as 32 hex digits. Each part's length is hashed
/// before it, so moving bytes from one part to the next gives another fingerprint.
pub fn hash_parts(parts: &[&[u8]]) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize()[..FINGERPRINT_BYTES]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
