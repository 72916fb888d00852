//! Where foxwheel keeps its objects in the platform store.
//!
//! | key | value |
//! |---|---|
//! | `config/deployments/<name>` | a [`Deployment`](crate::declarations::Deployment) |
//! | `config/rules` | the whole [`RuleSet`](crate::declarations::RuleSet), so its order changes atomically |
//! | `members/<deployment>/<host>` | a [`Member`](crate::protocol::Member) lease |
//! | `jobs/<job>` | a batch job record |
//! | `chunks/<job>/<index>` | a chunk of a job's items with their states and results |
//! | `idempotency/<service>/<key>` | the record of a non-idempotent call |

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

/// The prefix of a job's chunks.
pub fn chunks_of(job: &str) -> String {
    format!("chunks/{job}/")
}

/// The key of one chunk; indexes are zero-padded so keys sort in order.
pub fn chunk(job: &str, index: u32) -> String {
    format!("chunks/{job}/{index:06}")
}

/// The key of a non-idempotent call's record.
pub fn idempotency(service: &str, key: &str) -> String {
    format!("idempotency/{service}/{key}")
}
