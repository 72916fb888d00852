//! Batch jobs: the caller API ([`api`]), the records in the store ([`jobs`]) and the
//! controller that leases chunks of items and runs them ([`dispatch`]).

pub mod api;
pub mod dispatch;
pub mod jobs;
