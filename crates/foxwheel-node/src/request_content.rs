//! What stays the same of a request when it comes again.

use std::sync::OnceLock;

use bytes::Bytes;
use foxwheel_core::fingerprint;
use foxwheel_core::ids::ContentFingerprint;

/// A request without what each attempt has of its own: ids, time limits, where to resume.
#[derive(Debug)]
pub struct RequestContent {
    method: String,
    host: String,
    target: String,
    body: Bytes,
    /// Worked out when first needed: most requests never need it.
    fingerprint: OnceLock<ContentFingerprint>,
}

impl RequestContent {
    /// The content of a request to `target` (path and query) at `host`.
    pub fn new(method: &str, host: &str, target: &str, body: Bytes) -> Self {
        Self {
            method: method.to_owned(),
            host: host.to_owned(),
            target: target.to_owned(),
            body,
            fingerprint: OnceLock::new(),
        }
    }

    /// Stands for the content in every process.
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
