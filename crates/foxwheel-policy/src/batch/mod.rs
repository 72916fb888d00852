//! The rules of batch jobs: how they are accepted, which worker owns each, in which order their
//! items run, and how the results are stored.

pub mod checkpoint;
pub mod claim_pages;
pub mod item;
pub mod job;
pub mod job_memory;
pub mod job_route;
pub mod ledger;
pub mod ownership;
pub mod packing;
pub mod schedule;
