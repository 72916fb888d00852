//! Batch jobs: acceptance, ownership, items and results.

pub mod checkpoint;
pub mod item;
pub mod job;
pub mod ledger;
pub mod ownership;
pub mod schedule;
