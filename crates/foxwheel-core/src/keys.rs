//! Keys of the objects that foxwheel keeps in the platform's store.
//!
//! | key | value |
//! |---|---|
//! | `config/deployments/<name>` | a [`Deployment`](crate::declarations::Deployment) |
//! | `config/rules` | the complete [`RuleSet`](crate::declarations::RuleSet), so that the order of rules changes atomically |
//! | `members/<deployment>/<host>` | the lease of an agent, a [`Member`](crate::protocol::Member) |
//! | `jobs/<job>` | a batch job record |
//! | `chunks/<job>/<index>` | a chunk of a job's items with their states and results |
//! | `progress/<job>` | the finished chunks of a job and its item counts |
//! | `answers/<job>/<chunk>/<item>-<lease>` | a response that is too large for its chunk |
//! | `archive/<job>` | the record of a job that ended |
//! | `idempotency/<service>/<key>` | the record of a non-idempotent call |
//!
//! The store identifies an object by its kind and name and lists objects by kind.
//! [`kind_and_name`] splits a key into both. The kind is the first segment, except that the
//! chunks and responses of each job are a kind of their own, because they are listed by job.

use crate::fingerprint;

/// Prefix of the keys of all configuration objects.
pub const CONFIG_PREFIX: &str = "config/";
/// Prefix of the keys of deployment declarations.
pub const DEPLOYMENTS_PREFIX: &str = "config/deployments/";
/// Key of the ordered rules.
pub const RULES_KEY: &str = "config/rules";
/// Prefix of the keys of membership leases.
pub const MEMBERS_PREFIX: &str = "members/";
/// Prefix of the keys of batch job records.
pub const JOBS_PREFIX: &str = "jobs/";

/// Returns the key of a deployment declaration.
pub fn deployment(name: &str) -> String {
    format!("{DEPLOYMENTS_PREFIX}{name}")
}

/// Returns the key of a membership lease.
pub fn member(deployment: &str, host: &str) -> String {
    format!("{MEMBERS_PREFIX}{deployment}/{host}")
}

/// Returns the key of a batch job record.
pub fn job(job: &str) -> String {
    format!("{JOBS_PREFIX}{job}")
}

/// Returns the key of a job's progress.
pub fn progress(job: &str) -> String {
    format!("progress/{job}")
}

/// Returns the key of the record of a job that ended.
pub fn archived_job(job: &str) -> String {
    format!("archive/{job}")
}

/// Returns the key of a response that is stored outside its chunk. The key contains the nonce of the
/// chunk's lease, so that different holders of the chunk do not overwrite each other's responses.
pub fn response(job: &str, chunk: u32, item: usize, lease_nonce: u64) -> String {
    format!("answers/{job}/{chunk:06}/{item:03}-{lease_nonce:016x}")
}

/// Returns the prefix of the keys of a job's chunks.
pub fn chunks_prefix(job: &str) -> String {
    format!("chunks/{job}/")
}

/// Returns the key of a chunk. The index is zero-padded so that keys sort in the order of the
/// chunks.
pub fn chunk(job: &str, index: u32) -> String {
    format!("chunks/{job}/{index:06}")
}

/// Returns the key of the record of a non-idempotent call. Only a fingerprint of `workspace` and
/// `key` becomes part of the store's key, because callers choose both.
pub fn idempotency(service: &str, workspace: &str, key: &str) -> String {
    let caller_fingerprint = fingerprint::hash_parts(&[workspace.as_bytes(), key.as_bytes()]);
    format!("idempotency/{service}/{caller_fingerprint}")
}

/// First segments of keys whose kind consists of the first two segments.
const TWO_SEGMENT_KINDS: [&str; 2] = ["answers", "chunks"];

/// Separates the segments within a kind or a name. It never occurs in a segment.
const SEGMENT_SEPARATOR: char = '~';

/// Returns the kind and the name of the object at `key`.
pub fn kind_and_name(key: &str) -> (String, String) {
    let split_at = kind_end(key).unwrap_or(key.len());
    let (kind, name) = key.split_at(split_at);
    (
        join_segments(kind),
        join_segments(name.trim_start_matches('/')),
    )
}

/// Returns the kind that contains all keys with `prefix`, and the prefix of the names within that
/// kind. Returns `None` if `prefix` does not include a complete kind, so that its keys may belong
/// to several kinds.
pub fn kind_and_name_prefix(prefix: &str) -> Option<(String, String)> {
    let split_at = kind_end(prefix)?;
    let (kind, name) = prefix.split_at(split_at);
    Some((join_segments(kind), join_segments(&name[1..])))
}

/// Returns the key of the object `name` of `kind`.
pub fn join_key(kind: &str, name: &str) -> String {
    format!("{kind}/{name}").replace(SEGMENT_SEPARATOR, "/")
}

/// Returns the index of the slash between kind and name, or `None` if there is none.
fn kind_end(key: &str) -> Option<usize> {
    let first_slash = key.find('/')?;
    if !TWO_SEGMENT_KINDS.contains(&&key[..first_slash]) {
        return Some(first_slash);
    }
    key[first_slash + 1..]
        .find('/')
        .map(|second| first_slash + 1 + second)
}

fn join_segments(part: &str) -> String {
    part.replace('/', &SEGMENT_SEPARATOR.to_string())
}
