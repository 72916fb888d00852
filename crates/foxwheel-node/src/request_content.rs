//! The content of a request: what stays the same when the request is sent again.

use std::sync::OnceLock;

use bytes::Bytes;
use foxwheel_core::fingerprint;
use foxwheel_core::ids::{ContentFingerprint, PromptPartId};

/// A request without the headers that differ between attempts: request id, time limit and the
/// event to resume after.
#[derive(Debug)]
pub struct RequestContent {
    method: String,
    host: String,
    target: String,
    body: Bytes,
    /// The parts of the prompt that other requests may share, in their order.
    pub shared_parts: Vec<PromptPartId>,
    /// Computed on first use: most requests never need it.
    fingerprint: OnceLock<ContentFingerprint>,
}

impl RequestContent {
    /// Creates the content of a request to `target` (path and query) at `host`. Other requests may
    /// share the parts `shared_parts` of its prompt.
    pub fn new(
        method: &str,
        host: &str,
        target: &str,
        body: Bytes,
        shared_parts: Vec<PromptPartId>,
    ) -> Self {
        Self {
            method: method.to_owned(),
            host: host.to_owned(),
            target: target.to_owned(),
            body,
            shared_parts,
            fingerprint: OnceLock::new(),
        }
    }

    /// Returns a hash that identifies the content in every process.
    pub fn fingerprint(&self) -> &ContentFingerprint {
        self.fingerprint.get_or_init(|| {
            fingerprint::hash_parts(&[
                self.method.as_bytes(),
                self.host.as_bytes(),
                self.target.as_bytes(),
                &self.body,
            ])
        })
    }
}
