//! Stable fingerprints of requests and client keys, for use in keys of the store.
//!
//! A fingerprint is the same in every build and process, unlike the standard library's hashes,
//! and contains no character that has a meaning in a key of the store.

use sha2::{Digest, Sha256};

/// Number of bytes of the digest that are used. With 128 bits, accidental collisions are
/// negligible.
const FINGERPRINT_BYTES: usize = 16;

/// Returns the fingerprint of `parts`, in their order, as 32 hexadecimal digits. The length of each
/// part is hashed before the part, so that moving bytes from one part to the next changes the
/// fingerprint.
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
