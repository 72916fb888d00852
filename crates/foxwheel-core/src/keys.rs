//! Where foxwheel keeps its objects in the platform store.
//!
//! | key | value |
//! |---|---|
//! | `config/deployments/<name>` | a [`Deployment`](crate::declarations::Deployment) |
//! | `config/rules` | the whole [`RuleSet`](crate::declarations::RuleSet), so its order changes atomically |
//! | `members/<deployment>/<host>` | a [`Member`](crate::protocol::Member) lease |
//! | `jobs/<job>` | a batch job record |
//! | `chunks/<job>/<index>` | a chunk of a job's items with their states and results |
//! | `progress/<job>` | which chunks of a job are finished, and its item counts |
//! | `answers/<job>/<chunk>/<item>-<lease>` | an answer too large for its chunk |
//! | `archive/<job>` | the record of a job that ended |
//! | `idempotency/<service>/<key>` | the record of a non-idempotent call |

//!
//! The store keeps objects by kind and name and lists by kind. [`kind_and_name`] turns a key into
//! both: the first segment is the kind, but each job's chunks and answers are a kind of
//! their own, because they are listed by job.

use crate::fingerprint;

/// Prefix of all configuration.
pub const CONFIG_PREFIX: &str = "config/";
/// Prefix of deployment declarations.
pub const DEPLOYMENTS_PREFIX: &str = "config/deployments/";
/// The ordered rules.
pub const RULES_KEY: &str = "config/rules";
/// Prefix of membership leases.
pub const MEMBERS_PREFIX: &str = "members/";
/// Prefix of batch job records.
pub const JOBS_PREFIX: &str = "jobs/";

/// The key of a deployment declaration.
pub fn deployment(name: &str) -> String {
    format!("{DEPLOYMENTS_PREFIX}{name}")
}

/// The key of a membership lease.
pub fn member(deployment: &str, host: &str) -> String {
    format!("{MEMBERS_PREFIX}{deployment}/{host}")
}

/// The key of a batch job record.
pub fn job(job: &str) -> String {
    format!("{JOBS_PREFIX}{job}")
}

/// The key of a job's progress.
pub fn progress(job: &str) -> String {
    format!("progress/{job}")
}

/// The key of an ended job's record.
pub fn archived_job(job: &str) -> String {
    format!("archive/{job}")
}

/// The key of an answer kept outside its chunk; `lease` keeps holders from overwriting each
/// other's.
pub fn answer(job: &str, chunk: u32, item: usize, lease: u64) -> String {
    format!("answers/{job}/{chunk:06}/{item:03}-{lease:016x}")
}

/// The prefix of a job's chunks.
pub fn chunks_prefix(job: &str) -> String {
    format!("chunks/{job}/")
}

/// The key of one chunk; indexes are zero-padded so keys sort in order.
pub fn chunk(job: &str, index: u32) -> String {
    format!("chunks/{job}/{index:06}")
}

/// The key of a non-idempotent call's record. Callers choose `key` and `workspace`, so only
/// their fingerprint becomes part of the store key.
pub fn idempotency(service: &str, workspace: &str, key: &str) -> String {
    let caller = fingerprint::hash_parts(&[workspace.as_bytes(), key.as_bytes()]);
    format!("idempotency/{service}/{caller}")
}

/// First segments under which each second segment is a kind of its own.
const SPLIT_KINDS: [&str; 2] = ["answers", "chunks"];

/// Joins segments within a kind or a name; never part of a segment.
const JOINER: char = '~';

/// The kind and name of the object at `key`.
pub fn kind_and_name(key: &str) -> (String, String) {
    let split_at = kind_end(key).unwrap_or(key.len());
    let (kind, name) = key.split_at(split_at);
    (joined(kind), joined(name.trim_start_matches('/')))
}

/// The kind that holds every key under `prefix`, and how names there begin. `prefix` must
/// name a whole kind; none if it spans several.
pub fn kind_and_name_prefix(prefix: &str) -> Option<(String, String)> {
    let split_at = kind_end(prefix)?;
    let (kind, name) = prefix.split_at(split_at);
    Some((joined(kind), joined(&name[1..])))
}

/// The key of the object `name` of `kind`.
pub fn join_key(kind: &str, name: &str) -> String {
    format!("{kind}/{name}").replace(JOINER, "/")
}

/// Where the slash between kind and name stands.
fn kind_end(key: &str) -> Option<usize> {
    let first = key.find('/')?;
    if !SPLIT_KINDS.contains(&&key[..first]) {
        return Some(first);
    }
    key[first + 1..].find('/').map(|second| first + 1 + second)
}

fn joined(part: &str) -> String {
    part.replace('/', &JOINER.to_string())
}
