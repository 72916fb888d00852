//! Batch jobs: acceptance, ownership by workers, runs of their items and stored results.

pub mod checkpoint;
pub mod item;
pub mod job;
pub mod ledger;
pub mod ownership;
pub mod schedule;
