//! How many jobs a worker has in memory.
//!
//! Load pattern: callers submit many jobs with large bodies whose items wait for servers. All workers
//! together could not hold them; the ledger and the store can, until workers have room again.

/// Part of the memory of the host that the jobs take which a worker owns.
const OWNED_SHARE: f64 = 0.25;

/// Most that the jobs take which a worker only reads for callers: half of the memory that a process may
/// use for control.
pub const MAX_UNUSED_BYTES: usize = 16 * 1024 * 1024;

/// The memory that jobs may take which a worker owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobMemory {
    max_owned_bytes: usize,
}

impl JobMemory {
    /// Returns the memory that jobs may take on a host with `memory_bytes`.
    pub fn of_host(memory_bytes: u64) -> Self {
        Self {
            max_owned_bytes: (memory_bytes as f64 * OWNED_SHARE) as usize,
        }
    }

    /// Returns whether a worker whose own jobs take `owned_bytes` may take a job of `job_bytes`. A
    /// worker without jobs takes any, so that each job is run.
    pub fn has_room(&self, owned_bytes: usize, job_bytes: usize) -> bool {
        owned_bytes == 0 || owned_bytes.saturating_add(job_bytes) <= self.max_owned_bytes
    }
}
